"""Splitting of a server-sent event stream into complete events in id order."""

_SEPARATOR = b"\n\n"
_ID = b"id:"
MAX_ID_DIGITS = 18


class StreamError(Exception):
    """The stream is invalid, or its next event has the wrong id."""


class EventSplitter:
    """A filter that forwards complete events, each one once and in order of their ids.

    When a new attempt resumes the stream, events that the client already has are
    dropped. A gap in the ids raises `StreamError`. An incomplete event is buffered up
    to `max_event_bytes`.
    """

    __slots__ = (
        "_buffer",
        "_max_event_bytes",
        "dropped",
        "forwarded",
        "last_event_id",
        "progress",
    )

    def __init__(
        self, last_event_id: int | None, max_event_bytes: int = 1 << 20
    ) -> None:
        self._buffer = b""
        self._max_event_bytes = max_event_bytes
        self.last_event_id = last_event_id
        self.forwarded = 0
        self.dropped = 0
        # Number of complete events that were more than a comment.
        self.progress = 0

    @property
    def is_partial(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._buffer)

    def discard_partial(self) -> None:
        """Discard the incomplete event of an attempt that was interrupted."""
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Return the new events that `data` completes."""
        buffer = self._buffer + data
        end = buffer.rfind(_SEPARATOR)
        if end < 0:
            self._buffer = buffer
            self._check_size()
            return b""
        end += len(_SEPARATOR)
        self._buffer = buffer[end:]
        self._check_size()
        events = []
        start = 0
        while start < end:
            stop = buffer.index(_SEPARATOR, start) + len(_SEPARATOR)
            event = buffer[start:stop]
            if self._accept(event):
                events.append(event)
            start = stop
        return b"".join(events)

    def _check_size(self) -> None:
        if len(self._buffer) > self._max_event_bytes:
            raise StreamError(f"event exceeds {self._max_event_bytes} bytes")

    def _accept(self, event: bytes) -> bool:
        """Return whether an event is new, and count it."""
        event_id = _event_id(event)
        self.progress += event_id is not None or not _is_comment(event)
        if event_id is None:
            # Comments and events without an id have no position in the order.
            self.forwarded += 1
            return True
        last = self.last_event_id
        if last is not None and event_id <= last:
            self.dropped += 1
            return False
        if last is not None and event_id != last + 1:
            raise StreamError(f"event id {event_id} follows event id {last}")
        self.last_event_id = event_id
        self.forwarded += 1
        return True


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            if not text.isdigit() or len(text) > MAX_ID_DIGITS:
                raise StreamError("event id is not a number")
            return int(text)
    return None


def _is_comment(event: bytes) -> bool:
    return all(not line or line.startswith(b":") for line in event.split(b"\n"))
