"""Split a stream into whole events and keep their order over several runs."""

_SEPARATOR = b"\n\n"
_ID = b"id:"


class StreamError(Exception):
    """Report bytes that are not the next events of the stream."""


class EventSplitter:
    """Pass whole events on, each once and in the order of their ids.

    After a new run that goes on behind the last event, events that the client has are
    dropped. A gap in the ids raises `StreamError`. Partial events stay buffered, at
    most `max_event_bytes`.
    """

    __slots__ = ("_buffer", "_max_event_bytes", "dropped", "forwarded", "last_event_id")

    def __init__(
        self, last_event_id: int | None, max_event_bytes: int = 1 << 20
    ) -> None:
        self._buffer = b""
        self._max_event_bytes = max_event_bytes
        self.last_event_id = last_event_id
        self.forwarded = 0
        self.dropped = 0

    @property
    def is_partial(self) -> bool:
        """Return whether an event has begun and not ended."""
        return bool(self._buffer)

    def discard_partial(self) -> None:
        """Discard the incomplete event of an attempt that was interrupted."""
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the new events that `data` completes."""
        buffer = self._buffer + data
        end = buffer.rfind(_SEPARATOR)
        if end < 0:
            self._buffer = buffer
            self._check_size()
            return b""
        end += len(_SEPARATOR)
        self._buffer = buffer[end:]
        self._check_size()
        forwarded = []
        start = 0
        while start < end:
            stop = buffer.index(_SEPARATOR, start) + len(_SEPARATOR)
            event = buffer[start:stop]
            if self._is_next(event):
                forwarded.append(event)
            start = stop
        return b"".join(forwarded)

    def _check_size(self) -> None:
        if len(self._buffer) > self._max_event_bytes:
            raise StreamError(f"an event is over {self._max_event_bytes} bytes")

    def _is_next(self, event: bytes) -> bool:
        number = _event_id(event)
        if number is None:
            # Comments and events without an id carry no order.
            self.forwarded += 1
            return True
        last = self.last_event_id
        if last is not None and number <= last:
            self.dropped += 1
            return False
        if last is not None and number != last + 1:
            raise StreamError(f"event {number} follows event {last}")
        self.last_event_id = number
        self.forwarded += 1
        return True


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            if not text.isdigit():
                raise StreamError("an event id is not a number")
            return int(text)
    return None
