"""Define the datagram between nodes."""

import msgspec

from dandelionpond.placement.jobs import Job


class Beat(msgspec.Struct, frozen=True, array_like=True):
    """Tell peers that a node lives, what it knows and what it has outstanding.

    `started_ms` and `sequence` order the beats of one node: a new incarnation starts
    later. `list_age_s` is the age of the list of upstreams, negative before the first.
    `peers` holds addresses of some nodes that the sender hears. `wants_answer` asks for
    a beat in return at once.
    """

    node: str
    started_ms: int
    sequence: int
    failure_domain: str
    is_leaving: bool
    list_revision: int
    digest: int
    version: int
    list_age_s: float
    jobs: tuple[Job, ...] = ()
    peers: tuple[str, ...] = ()
    fetch_address: str = ""
    wants_answer: bool = False


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Beat)


def encode(beat: Beat) -> bytes:
    """Return a beat as a datagram."""
    return _encoder.encode(beat)


def decode(data: bytes) -> Beat:
    """Return the beat in a datagram; raise `msgspec.MsgspecError` if it is none."""
    return _decoder.decode(data)
