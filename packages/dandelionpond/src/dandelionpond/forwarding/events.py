"""Splitting of a server-sent event stream into complete events in id order."""

from collections.abc import Set

_SEPARATOR = b"\n\n"
_FIELDS = frozenset((b"data", b"event", b"id", b"retry"))
MAX_ID_DIGITS = 18


class StreamError(Exception):
    """An event is invalid or has the wrong id."""


class EventSplitter:
    """A filter that forwards complete events, each one once and in order of their ids.

    All attempts of one response share it. When a new attempt resumes the stream, events
    that the client already has are dropped. The state only advances past events that
    `feed` has returned: if an event is invalid, `feed` returns the valid ones before it
    and sets `error`, and the attempt must end.

    A valid event is UTF-8 and has known fields only, at least one line of data and an
    id that is one above the id before it; events before the first id may lack one.
    Comments are forwarded. `more_fields` names fields beyond the standard ones. An
    incomplete event is buffered up to `max_event_bytes`.
    """

    __slots__ = (
        "_buffer",
        "_fields",
        "_is_first_id_confirmed",
        "_max_event_bytes",
        "_previous_id",
        "dropped",
        "error",
        "forwarded",
        "last_event_id",
        "may_resume",
        "progress",
        "resume_id",
    )

    def __init__(
        self,
        last_event_id: int | None,
        max_event_bytes: int = 1 << 20,
        more_fields: Set[bytes] = frozenset(),
    ) -> None:
        self._buffer = b""
        self._max_event_bytes = max_event_bytes
        self._fields = _FIELDS | more_fields
        # Id of the last event of the current attempt, forwarded or dropped.
        self._previous_id: int | None = None
        # Nothing says with which id a stream begins: unless it is 1, a wrong first id
        # is only recognized by the id after it.
        self._is_first_id_confirmed = last_event_id is not None
        self.last_event_id = last_event_id
        # Id of the last event that was forwarded, None before the first.
        self.resume_id: int | None = None
        # The reason why the current attempt must end.
        self.error: str | None = None
        # Whether an attempt that resumes after `resume_id` would continue the response.
        self.may_resume = True
        self.forwarded = 0
        self.dropped = 0
        # Number of complete events that were more than a comment.
        self.progress = 0

    @property
    def is_partial(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._buffer)

    def begin_attempt(self) -> None:
        """Forget the incomplete event and the error of the attempt before."""
        self._buffer = b""
        self._previous_id = None
        self.error = None

    def feed(self, data: bytes) -> bytes:
        """Return the new events that `data` completes, up to the first invalid one."""
        if self.error is not None:
            return b""
        buffer = self._buffer + data
        had_id = self.last_event_id is not None
        events: list[bytes] = []
        start = 0
        try:
            while (end := buffer.find(_SEPARATOR, start)) >= 0:
                end += len(_SEPARATOR)
                event = buffer[start:end]
                if self._accept(event):
                    events.append(event)
                start = end
            self._buffer = buffer[start:]
            if len(self._buffer) > self._max_event_bytes:
                raise StreamError(f"event exceeds {self._max_event_bytes} bytes")
        except StreamError as error:
            self.error = str(error)
            self._buffer = b""
            if self.last_event_id is not None and not self._is_first_id_confirmed:
                if had_id:
                    self.may_resume = False
                else:
                    # The event with the doubtful id is the last one, not yet returned.
                    events.pop()
                    self.forwarded -= 1
                    self.last_event_id = self.resume_id = None
        return b"".join(events)

    def _accept(self, event: bytes) -> bool:
        """Return whether an event is new, and count it.

        Raises StreamError if it is invalid.
        """
        fields = self._parse_fields(event)
        if not fields or fields.keys() == {b"retry"}:
            self.forwarded += 1
            return True
        if b"data" not in fields:
            raise StreamError("event has no data")
        previous, last = self._previous_id, self.last_event_id
        if b"id" not in fields:
            if previous is not None or last is not None:
                raise StreamError("event has no id")
            self.may_resume = False
            self.progress += 1
            self.forwarded += 1
            return True
        event_id = _parse_id(fields[b"id"])
        if previous is not None and event_id != previous + 1:
            raise StreamError(f"event id {event_id} follows event id {previous}")
        if previous is None and last is not None and event_id > last + 1:
            raise StreamError(f"event id {event_id} follows event id {last}")
        if previous is not None or event_id == 1:
            self._is_first_id_confirmed = True
        self._previous_id = event_id
        self.progress += 1
        if last is not None and event_id <= last:
            self.dropped += 1
            return False
        self.last_event_id = self.resume_id = event_id
        self.may_resume = True
        self.forwarded += 1
        return True

    def _parse_fields(self, event: bytes) -> dict[bytes, list[bytes]]:
        """Return the values by field; none for a comment."""
        try:
            event.decode()
        except UnicodeDecodeError as error:
            raise StreamError(f"event is not UTF-8: {error.reason}") from None
        fields: dict[bytes, list[bytes]] = {}
        for line in event.split(b"\n"):
            if not line or line.startswith(b":"):
                continue
            field, _, value = line.partition(b":")
            if field not in self._fields:
                raise StreamError(f"event has an unknown field {field[:20]!r}")
            fields.setdefault(field, []).append(value.strip())
        return fields


def _parse_id(values: list[bytes]) -> int:
    if len(values) != 1:
        raise StreamError(f"event has {len(values)} ids")
    text = values[0]
    if not text.isdigit() or len(text) > MAX_ID_DIGITS:
        raise StreamError("event id is not a number")
    return int(text)
