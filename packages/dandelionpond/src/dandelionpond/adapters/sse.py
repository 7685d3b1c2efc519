"""Read the engine's server-sent events in batches."""

import msgspec

from dandelionpond.adapters.engine_api import Piece, StreamEnd


class _Event(msgspec.Struct, frozen=True):
    request_id: str
    offset: int = 0
    text: str = ""
    tokens: int = 1
    end: bool = False


_decoder = msgspec.json.Decoder(list[_Event])
_START = b"data: "


class EventReader:
    """Turn bytes into events; ValueError for bytes that are not such events.

    One decoder call reads all events of a read, and neighbouring pieces are joined,
    because a node relays about 12,600 tokens/s. An incomplete event stays buffered, at
    most `max_event_bytes`.
    """

    __slots__ = ("_buffer", "_max_event_bytes")

    def __init__(self, max_event_bytes: int) -> None:
        self._buffer = b""
        self._max_event_bytes = max_event_bytes

    @property
    def is_partial(self) -> bool:
        """Return whether an event has begun and not ended."""
        return bool(self._buffer)

    def read(self, data: bytes) -> list[Piece | StreamEnd]:
        """Return the events completed by `data`; nothing follows a StreamEnd."""
        *frames, self._buffer = (self._buffer + data).split(b"\n\n")
        if len(self._buffer) > self._max_event_bytes:
            raise ValueError(f"an event is over {self._max_event_bytes} bytes")
        bodies = []
        for frame in frames:
            if not frame or frame.startswith(b":"):
                continue
            # A frame without the prefix is not JSON, so the decoder refuses it.
            bodies.append(frame.removeprefix(_START))
        if not bodies:
            return []
        try:
            events = _decoder.decode(b"[" + b",".join(bodies) + b"]")
        except msgspec.MsgspecError:
            events = _until_end(bodies)
        return _join(events)


def _until_end(bodies: list[bytes]) -> list[_Event]:
    """Decode up to the end marker; what follows an answer does not belong to it."""
    events: list[_Event] = []
    for body in bodies:
        try:
            events += _decoder.decode(b"[" + body + b"]")
        except msgspec.MsgspecError as error:
            raise ValueError(str(error)) from None
        if events and events[-1].end:
            break
    return events


def _join(events: list[_Event]) -> list[Piece | StreamEnd]:
    joined: list[Piece | StreamEnd] = []
    name, start, position = "", 0, -1
    texts: list[str] = []
    for event in events:
        if event.end:
            if texts:
                joined.append(Piece(name, start, position - start, "".join(texts)))
            joined.append(StreamEnd(event.request_id, event.tokens))
            return joined
        if event.offset != position or event.request_id != name:
            if texts:
                joined.append(Piece(name, start, position - start, "".join(texts)))
            name, start, position = event.request_id, event.offset, event.offset
            texts = []
        texts.append(event.text)
        position += event.tokens
    if texts:
        joined.append(Piece(name, start, position - start, "".join(texts)))
    return joined
