"""Decide how much of their streams a process buffers for clients that read slowly."""

from collections import deque
from enum import StrEnum

import msgspec

from dandelionpond.http.connection_limits import BufferLimit, LogLimiter

# Share of the VM's memory for the buffers of all streams. Long bodies with connections
# may take 0.4 and short bodies 0.15 of it; the rest is for the process itself.
STREAM_MEMORY_SHARE = 0.05
# Bytes that one stream may have buffered. An answer of 33 events of 52 tokens fits with
# 70 bytes a token.
MAX_STREAM_BYTES = 128 * 1024
# Bytes of memory of a chunk beyond its length: a byte string and a place in a queue.
# Without them, a stream of short comments would take a multiple of its bound.
CHUNK_OVERHEAD_BYTES = 64
# Bytes that are written at once if there are several chunks. More would move the data
# from a bounded buffer to that of the transport.
MAX_PIECE_BYTES = 16 * 1024


class BufferState(StrEnum):
    """What happened to a stream whose client reads slowly."""

    BUFFERED = "buffered"
    AT_STREAM_BOUND = "at_stream_bound"
    AT_PROCESS_BOUND = "at_process_bound"


class StreamBufferCounters(msgspec.Struct):
    """Counts of streams and bytes; each stream counts once in each of its states.

    `dropped_bytes` were buffered when the client left, the deadline passed or the node
    stopped. `late` counts the streams of which a part was unread at the deadline.
    """

    buffered: int = 0
    buffered_bytes: int = 0
    at_stream_bound: int = 0
    at_process_bound: int = 0
    dropped_bytes: int = 0
    late: int = 0


class StreamBufferLimits:
    """The bounds and the counters that the buffers of all streams share."""

    __slots__ = ("counters", "log_limiter", "max_stream_bytes", "total")

    def __init__(
        self, memory_bytes: int, max_stream_bytes: int = MAX_STREAM_BYTES
    ) -> None:
        self.max_stream_bytes = max_stream_bytes
        self.total = BufferLimit(int(STREAM_MEMORY_SHARE * memory_bytes))
        self.counters = StreamBufferCounters()
        self.log_limiter = LogLimiter()

    def admit_log(self, state: BufferState, now: float) -> int | None:
        """Return as `LogLimiter.admit` whether to log a stream's change of state."""
        return self.log_limiter.admit("", state, now)

    def read_counters(self) -> dict[str, int]:
        """Return the counters by name."""
        suppressed = self.log_limiter.counters["suppressed"]
        return {**msgspec.structs.asdict(self.counters), "log_suppressed": suppressed}


class StreamBuffer:
    """The data of one stream that is not written to its client yet, in order.

    A chunk that exceeds a bound is kept as the overflow, which is not counted: it has
    already been read. Until it fits or is taken, no other chunk may be added.
    """

    __slots__ = ("_chunks", "_held_bytes", "_limits", "_overflow", "_states")

    def __init__(self, limits: StreamBufferLimits) -> None:
        self._limits = limits
        self._chunks: deque[bytes] = deque()
        self._held_bytes = 0
        self._overflow = b""
        self._states: set[BufferState] = set()

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to write."""
        return not self._chunks and not self._overflow

    def add(self, data: bytes) -> list[BufferState]:
        """Add a chunk, which must not be empty; return the states that are new."""
        assert not self._overflow
        self._limits.counters.buffered_bytes += len(data)
        bound = self._append(data)
        if bound is not None:
            self._overflow = data
        states = [BufferState.BUFFERED] + ([] if bound is None else [bound])
        return [state for state in states if self._enter(state)]

    def may_read(self) -> bool:
        """Return whether the node may read on; the overflow is added if it fits now."""
        if self._overflow and self._append(self._overflow) is None:
            self._overflow = b""
        return not self._overflow

    def take_piece(self) -> bytes:
        """Remove and return the chunks to write next; nothing if there are none."""
        chunks: list[bytes] = []
        size = 0
        while self._chunks:
            if chunks and size + len(self._chunks[0]) > MAX_PIECE_BYTES:
                return b"".join(chunks)
            chunks.append(self._chunks.popleft())
            size += len(chunks[-1])
            self._release(len(chunks[-1]) + CHUNK_OVERHEAD_BYTES)
        if not chunks:
            chunks.append(self._overflow)
            self._overflow = b""
        return b"".join(chunks)

    def clear(self) -> None:
        """Drop everything."""
        dropped = sum(map(len, self._chunks)) + len(self._overflow)
        self._limits.counters.dropped_bytes += dropped
        self._release(self._held_bytes)
        self._chunks.clear()
        self._overflow = b""

    def _append(self, data: bytes) -> BufferState | None:
        """Append a chunk within the bounds, else return the bound that it exceeds."""
        size = len(data) + CHUNK_OVERHEAD_BYTES
        if self._held_bytes + size > self._limits.max_stream_bytes:
            return BufferState.AT_STREAM_BOUND
        if not self._limits.total.take(size):
            return BufferState.AT_PROCESS_BOUND
        self._held_bytes += size
        self._chunks.append(data)
        return None

    def _release(self, size: int) -> None:
        self._held_bytes -= size
        self._limits.total.release(size)

    def _enter(self, state: BufferState) -> bool:
        """Count a state; return whether the stream was not in it before."""
        if state in self._states:
            return False
        self._states.add(state)
        counters = self._limits.counters
        match state:
            case BufferState.BUFFERED:
                counters.buffered += 1
            case BufferState.AT_STREAM_BOUND:
                counters.at_stream_bound += 1
            case BufferState.AT_PROCESS_BOUND:
                counters.at_process_bound += 1
        return True
