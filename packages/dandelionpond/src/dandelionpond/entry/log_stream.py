"""Write log lines without blocking the event loop."""

import asyncio
import os
from collections import deque

# Token bucket of the log: sustained lines per second, and the largest burst in lines.
LINES_PER_S = 200.0
BURST_LINES = 1_000
# Limit in bytes on the lines that are queued while the reader of the output is slow.
MAX_QUEUED_BYTES = 256 * 1024


class LogStream:
    """A stream for a log handler, with limits on its rate and its queue.

    Lines that exceed a limit are dropped. The next line that is accepted is preceded by
    a line with their number.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._tokens = float(BURST_LINES)
        self._refilled_at = 0.0
        self._has_writer = False
        self.dropped_lines = 0
        self._reported_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write or queue one line; the handler passes text and newline together."""
        loop = asyncio.get_event_loop()
        now = loop.time()
        self._tokens = min(
            BURST_LINES, self._tokens + (now - self._refilled_at) * LINES_PER_S
        )
        self._refilled_at = now
        data = text.encode()
        is_full = self._queued_bytes + len(data) > MAX_QUEUED_BYTES
        if self._tokens < 1.0 or is_full:
            self.dropped_lines += 1
            return len(text)
        self._tokens -= 1.0
        if self.dropped_lines > self._reported_lines:
            count = self.dropped_lines - self._reported_lines
            self._reported_lines = self.dropped_lines
            note = f'{{"message": "log lines left out", "count": {count}}}\n'
            self._enqueue(note.encode())
        self._enqueue(data)
        if not self._has_writer:
            self._write_queue(loop)
        return len(text)

    def flush(self) -> None:
        """Do nothing: flushing would block on a slow reader."""

    def _enqueue(self, data: bytes) -> None:
        self._queue.append(data)
        self._queued_bytes += len(data)

    def _write_queue(self, loop: asyncio.AbstractEventLoop) -> None:
        """Write until the descriptor would block; then continue when it is writable."""
        while self._queue:
            data = self._queue[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                break
            except OSError:
                # The reader has closed the output and there is nowhere else to log it.
                self.dropped_lines += len(self._queue)
                self._queue.clear()
                self._queued_bytes = 0
                break
            self._queued_bytes -= written
            if written < len(data):
                self._queue[0] = data[written:]
                break
            self._queue.popleft()
        if self._queue and not self._has_writer:
            loop.add_writer(self._descriptor, self._write_queue, loop)
            self._has_writer = True
        elif not self._queue and self._has_writer:
            loop.remove_writer(self._descriptor)
            self._has_writer = False
