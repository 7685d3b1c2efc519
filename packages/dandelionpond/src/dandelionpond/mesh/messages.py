"""Define the datagram between nodes."""

from collections.abc import Iterable

import msgspec

from dandelionpond.placement.jobs import Job, Phase

MS = 1000
# Values of jobs travel as whole numbers of this many parts.
VALUE_PARTS = 10


class WireJob(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Carry a job in few bytes: whole milliseconds and tenths of a value."""

    instance: str
    phase: Phase
    age_ms: int
    read_ms: int = 0
    context_tokens: int = 0
    memory_tokens: int = 0
    gap_target_ms: int = 0
    value: int = VALUE_PARTS
    is_late: bool = False
    is_held: bool = False


class Beat(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """Tell peers that a node lives, what it knows and what it has outstanding.

    `started_ms` and `sequence` order the beats of one node: a new incarnation starts
    later. `list_age_ms` is the age of the list of upstreams, negative before the first.
    `unresponsive` names upstreams that take no connection from the sender or are silent
    for longer than their work explains. `peers` holds addresses of some nodes that the
    sender hears. `wants_answer` asks for a beat in return at once. `is_to_relay` asks
    the receiver to pass the beat on within its failure domain; `address` is the
    datagram address of the node that the beat is about. `capacity` is the sender's, in
    percent of a usual VM.
    """

    node: str
    address: str
    started_ms: int
    sequence: int
    failure_domain: str
    is_leaving: bool
    list_revision: int
    digest: int
    version: int
    list_age_ms: int
    jobs: tuple[WireJob, ...] = ()
    unresponsive: tuple[str, ...] = ()
    fetch_address: str = ""
    peers: tuple[str, ...] = ()
    wants_answer: bool = False
    is_to_relay: bool = False
    capacity: int = 100


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Beat)


def encode(beat: Beat) -> bytes:
    """Return a beat as a datagram."""
    return _encoder.encode(beat)


def decode(data: bytes) -> Beat:
    """Return the beat in a datagram; raise `msgspec.MsgspecError` if it is none."""
    return _decoder.decode(data)


def pack(jobs: Iterable[Job]) -> tuple[WireJob, ...]:
    """Return jobs in the form that travels."""
    return tuple(
        WireJob(
            job.instance,
            job.phase,
            round(job.age_s * MS),
            round(job.prefill_s * MS),
            job.context_tokens,
            job.memory_tokens,
            round(job.gap_target_s * MS),
            round(job.value * VALUE_PARTS),
            job.is_late,
            job.is_held,
        )
        for job in jobs
    )


def unpack(jobs: Iterable[WireJob]) -> tuple[Job, ...]:
    """Return jobs as the node keeps them."""
    return tuple(
        Job(
            job.instance,
            job.phase,
            job.age_ms / MS,
            job.read_ms / MS,
            job.context_tokens,
            job.memory_tokens,
            job.gap_target_ms / MS,
            job.value / VALUE_PARTS,
            job.is_late,
            job.is_held,
        )
        for job in jobs
    )
