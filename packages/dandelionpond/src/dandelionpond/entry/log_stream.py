"""Write log lines without ever blocking the event loop."""

import asyncio
import os
from collections import deque

# Lines a second that are written in the long run, and at once after a quiet time.
LINES_PER_S = 200.0
BURST_LINES = 1_000
# Bytes that wait while the reader of the output is slow.
MAX_WAITING_BYTES = 256 * 1024


class LogStream:
    """Be the stream of a log handler: bounded in lines a second and in bytes waiting.

    Lines over a bound are left out; the next line that is written is preceded by their
    number.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._level = float(BURST_LINES)
        self._at = 0.0
        self._has_writer = False
        self.left_out = 0
        self._told = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write or queue one line; the handler passes text and end together."""
        loop = asyncio.get_event_loop()
        now = loop.time()
        self._level = min(BURST_LINES, self._level + (now - self._at) * LINES_PER_S)
        self._at = now
        data = text.encode()
        is_full = self._waiting_bytes + len(data) > MAX_WAITING_BYTES
        if self._level < 1.0 or is_full:
            self.left_out += 1
            return len(text)
        self._level -= 1.0
        if self.left_out > self._told:
            count = self.left_out - self._told
            self._told = self.left_out
            note = f'{{"message": "log lines left out", "count": {count}}}\n'
            self._put(note.encode())
        self._put(data)
        if not self._has_writer:
            self._drain(loop)
        return len(text)

    def flush(self) -> None:
        """Do nothing: a flush would block on a slow reader."""

    def _put(self, data: bytes) -> None:
        self._waiting.append(data)
        self._waiting_bytes += len(data)

    def _drain(self, loop: asyncio.AbstractEventLoop) -> None:
        while self._waiting:
            data = self._waiting[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                break
            except OSError:
                # Nobody reads the output any more; there is no other place to say so.
                self.left_out += len(self._waiting)
                self._waiting.clear()
                self._waiting_bytes = 0
                break
            self._waiting_bytes -= written
            if written < len(data):
                self._waiting[0] = data[written:]
                break
            self._waiting.popleft()
        if self._waiting and not self._has_writer:
            loop.add_writer(self._descriptor, self._drain, loop)
            self._has_writer = True
        elif not self._waiting and self._has_writer:
            loop.remove_writer(self._descriptor)
            self._has_writer = False
