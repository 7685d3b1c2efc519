"""Deliver a stream to its client, buffering what the client does not read yet."""

import asyncio
import logging
from collections.abc import Callable

from dandelionpond.entry.client_requests import ClientConnection, Reply
from dandelionpond.entry.stream_buffers import (
    BufferState,
    StreamBuffer,
    StreamBufferLimits,
)

log = logging.getLogger("dandelionpond.requests")

# Interval in seconds between checks whether other streams have left room, while the
# bound of the process keeps a stream from being read.
RECHECK_S = 0.1
# The same for the deadline. The clock of the event loop stops while the system is
# suspended, that of the deadline does not.
DEADLINE_RECHECK_S = 1.0


class DeliveryTimeout(Exception):
    """The deadline of a request passed before its client had read the response."""


class ClientLeft(Exception):
    """The client closed its connection before it had read the response."""


class StreamDelivery:
    """The delivery of one response; `close` must be called at the end.

    Data is written directly while the client reads. Otherwise it is buffered, and a
    task writes it once the client reads again. `deadline_at` is a time of `now`.
    """

    __slots__ = (
        "_buffer",
        "_connection",
        "_deadline_at",
        "_limits",
        "_now",
        "_progress",
        "_reply",
        "_request_id",
        "_writer",
    )

    def __init__(
        self,
        reply: Reply,
        connection: ClientConnection,
        limits: StreamBufferLimits,
        request_id: str,
        deadline_at: float,
        now: Callable[[], float],
    ) -> None:
        self._reply = reply
        self._connection = connection
        self._limits = limits
        self._request_id = request_id
        self._deadline_at = deadline_at
        self._now = now
        self._buffer = StreamBuffer(limits)
        # Set when a piece was written, and when the writer ends.
        self._progress = asyncio.Event()
        self._writer: asyncio.Task[None] | None = None

    async def write(self, data: bytes) -> None:
        """Write or buffer a part of the body; wait while it exceeds a bound.

        Raises DeliveryTimeout if the deadline passes during the wait, and ClientLeft if
        buffered data can no longer be written.
        """
        if self._buffer.is_empty and not self._connection.write_paused:
            await self._reply.write(data)
            return
        for state in self._buffer.add(data):
            self._log(state)
        writer = self._start_writer()
        while not self._buffer.may_read():
            await self._wait(writer, RECHECK_S)

    async def flush(self) -> None:
        """Wait until the client has been sent all data.

        Raises DeliveryTimeout if the deadline passes before, and ClientLeft.
        """
        if self._buffer.is_empty and not self._connection.write_paused:
            return
        writer = self._start_writer()
        while not writer.done():
            await self._wait(writer, DEADLINE_RECHECK_S)
        writer.result()

    async def finish(self) -> None:
        """Send all data and the end of the body; raises as `flush`."""
        await self.flush()
        await self._reply.finish()

    def close(self) -> None:
        """Drop what is still buffered."""
        if self._writer is not None and not self._writer.cancel():
            # Without this, asyncio logs an exception that nobody has waited for.
            self._writer.cancelled() or self._writer.exception()
        self._buffer.clear()

    def _start_writer(self) -> asyncio.Task[None]:
        """Return the running writer, or a new one; raise ClientLeft if one failed."""
        if self._writer is not None and self._writer.done():
            self._writer.result()
            self._writer = None
        if self._writer is None:
            self._writer = asyncio.create_task(self._write_buffered())
        return self._writer

    async def _write_buffered(self) -> None:
        """Write the buffered data; return once more data can be written directly."""
        try:
            while True:
                await self._connection.drain()
                if self._connection.is_lost:
                    raise ClientLeft
                # The relay may have written since the connection was writable again.
                if self._connection.write_paused:
                    continue
                piece = self._buffer.take_piece()
                if not piece:
                    return
                await self._reply.write(piece)
                self._progress.set()
        finally:
            self._progress.set()

    async def _wait(self, writer: asyncio.Task[None], timeout_s: float) -> None:
        """Wait until data was written, at most for the time given in seconds."""
        remaining_s = self._deadline_at - self._now()
        if remaining_s <= 0:
            self._limits.counters.late += 1
            raise DeliveryTimeout
        if writer.done():
            writer.result()
        self._progress.clear()
        try:
            async with asyncio.timeout(min(timeout_s, remaining_s)):
                await self._progress.wait()
        except TimeoutError:
            pass

    def _log(self, state: BufferState) -> None:
        """Log that a stream entered a state, at most once a minute for each state."""
        suppressed = self._limits.admit_log(state, self._now())
        if suppressed is not None:
            log.info(
                "stream buffered for a slow client",
                extra={
                    "request_id": self._request_id,
                    "state": state,
                    "buffered_bytes": self._limits.total.used_bytes,
                    "suppressed": suppressed,
                },
            )
