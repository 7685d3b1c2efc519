"""Define the datagrams that nodes exchange."""

from collections.abc import Iterable

import msgspec

from dandelionpond.admission.messages import RoomNews
from dandelionpond.placement.jobs import Job, Phase
from dandelionpond.placement.speeds import Speed
from dandelionpond.quarantine.messages import QuarantineNews

MS_PER_S = 1000
# Number of fields that each heartbeat has. Fields after them are left out if they and
# all that follow are empty.
FIXED_FIELDS = 21
# The value of a job is sent as a whole number of tenths.
VALUE_SCALE = 10


class WireJob(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """A job in compact form: times in whole milliseconds, the value in tenths."""

    instance: str
    phase: Phase
    age_ms: int
    prefill_ms: int = 0
    context_tokens: int = 0
    memory_tokens: int = 0
    gap_target_ms: int = 0
    value: int = VALUE_SCALE
    is_late: bool = False
    is_held: bool = False


class WireSpeed(msgspec.Struct, frozen=True, array_like=True):
    """A measured speed in compact form: the ratio in percent, the age in ms."""

    instance: str
    started_ms: int
    ratio_percent: int
    samples: int
    age_ms: int


class KnownNodes(msgspec.Struct, frozen=True, array_like=True):
    """The most nodes that the sender has known lately, and how long ago in seconds."""

    count: int
    age_s: int


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """A report that a node is alive, which state it holds and its outstanding work.

    `started_ms` identifies the incarnation of the sender, `sequence` numbers its
    heartbeats. `list_age_ms` is the age of the sender's list of upstreams, negative
    before the first list, and `read_number` the number of the read that it counts from.
    `unresponsive_upstreams` names upstreams that accept no
    connection from the sender, or that have sent nothing for longer than their
    outstanding work explains. `peer_addresses` holds the addresses of some peers that
    the sender considers live. `wants_reply` requests an immediate heartbeat in return.
    `needs_relay` asks the receiver to forward the heartbeat to the peers in its own
    failure domain; `address` remains the datagram address of the original sender.
    `capacity` is the sender's capacity in percent of a reference VM. `quarantine` holds
    what the sender knows of parts of prompts that crash engines. `failed_read_age_ms`
    is the time since a read of the sender failed, negative if none has lately, and
    `hold_left_ms` for how long it still uses entries that expired in an outage.
    `speeds` holds upstreams whose answers take unusually long or short, and `room`
    what waits for capacity, only while it is short. `known_nodes` is only sent while
    the sender hears fewer nodes than it has known lately.
    """

    node: str
    address: str
    started_ms: int
    sequence: int
    failure_domain: str
    is_leaving: bool
    list_revision: int
    digest: int
    document_version: int
    list_age_ms: int
    jobs: tuple[WireJob, ...] = ()
    unresponsive_upstreams: tuple[str, ...] = ()
    fetch_address: str = ""
    peer_addresses: tuple[str, ...] = ()
    wants_reply: bool = False
    needs_relay: bool = False
    capacity: int = 100
    quarantine: QuarantineNews | None = None
    read_number: int = 0
    failed_read_age_ms: int = -1
    hold_left_ms: int = 0
    speeds: tuple[WireSpeed, ...] = ()
    room: RoomNews | None = None
    known_nodes: KnownNodes | None = None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Heartbeat)


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return a heartbeat as a datagram.

    Encoded structs contain all fields; empty ones after the first `FIXED_FIELDS` are
    left out, so that deployments which do not use them send nothing for them.
    """
    values = list(msgspec.structs.astuple(heartbeat))
    while len(values) > FIXED_FIELDS and not values[-1]:
        values.pop()
    return _encoder.encode(values)


def decode_heartbeat(data: bytes) -> Heartbeat:
    """Decode a datagram; raise `msgspec.MsgspecError` if it is not a heartbeat."""
    return _decoder.decode(data)


def pack_jobs(jobs: Iterable[Job]) -> tuple[WireJob, ...]:
    """Convert jobs to the form that is sent to peers."""
    return tuple(
        WireJob(
            job.instance,
            job.phase,
            round(job.age_s * MS_PER_S),
            round(job.prefill_s * MS_PER_S),
            job.context_tokens,
            job.memory_tokens,
            round(job.gap_target_s * MS_PER_S),
            round(job.value * VALUE_SCALE),
            job.is_late,
            job.is_held,
        )
        for job in jobs
    )


def unpack_jobs(jobs: Iterable[WireJob]) -> tuple[Job, ...]:
    """Convert received jobs to the form that the node works with."""
    return tuple(
        Job(
            job.instance,
            job.phase,
            job.age_ms / MS_PER_S,
            job.prefill_ms / MS_PER_S,
            job.context_tokens,
            job.memory_tokens,
            job.gap_target_ms / MS_PER_S,
            job.value / VALUE_SCALE,
            job.is_late,
            job.is_held,
        )
        for job in jobs
    )


def pack_speeds(speeds: Iterable[Speed]) -> tuple[WireSpeed, ...]:
    """Convert measured speeds to the form that is sent to peers."""
    return tuple(
        WireSpeed(
            speed.instance,
            speed.started_ms,
            round(speed.ratio * 100),
            speed.samples,
            round(speed.age_s * MS_PER_S),
        )
        for speed in speeds
    )


def unpack_speeds(speeds: Iterable[WireSpeed]) -> tuple[Speed, ...]:
    """Convert received speeds to the form that the node works with."""
    return tuple(
        Speed(
            speed.instance,
            speed.started_ms,
            speed.ratio_percent / 100,
            speed.samples,
            speed.age_ms / MS_PER_S,
        )
        for speed in speeds
    )
