"""Define the settings that a node needs before it can read published state."""

import msgspec

from dandelionpond.entry.upstream_client import CONNECT_TIMEOUT_S
from dandelionpond.forwarding.budget import BudgetSettings
from dandelionpond.published.readers import ReadTiming
from dandelionpond.shutdown.settings import ShutdownSettings

# Share of the grace period after which the remaining requests are interrupted.
DRAIN_GRACE_SHARE = 0.94
# Time in seconds that the process waits for requests that it has interrupted. The rest
# of the grace period, 0.28 s of 8 s, is left for closing connections and for exiting.
INTERRUPT_TIMEOUT_S = 0.2
# Share of the descriptors for connections of peers, and their smallest number.
PEER_DESCRIPTOR_SHARE = 0.1
MIN_PEER_CONNECTIONS = 16
# Time in seconds from the shutdown signal until new requests are refused. The load
# balancer probes a node once a second and removes it after two failed probes.
BALANCER_DELAY_S = 2.6


class ColdBound(msgspec.Struct, frozen=True):
    """The hard bound on requests a second to a cold upstream.

    It is `overage` times the rate that its service states, plus `slack`.
    """

    overage: float
    slack: float


class EntrySettings(msgspec.Struct, frozen=True):
    """This node's name and addresses, and the limits that all nodes share.

    Addresses are `IP:port`. `mesh_address` receives datagrams from other nodes,
    `fetch_address` serves gRPC, and `seeds` holds the datagram addresses of some nodes.
    `grace_s` is the time between the signal of a planned shutdown and the kill.
    `effect_limit_s` is the time within which new settings and departures of upstreams
    have to be in effect; it applies again from `return_limit_s` after an outage of the
    platform or of the node's path to it. `connect_timeout_s` limits the time to open a
    connection to an upstream. `capacity` is the capacity of this VM in percent of a
    reference VM; nodes with more capacity are preferred for serving their peers.
    `memory_bytes` is the memory that the process may use, and `max_descriptors` the
    number of its open files and sockets. `cold_bound` is None if the platform states no
    bound for cold upstreams. `evacuation_limit_s` is the time within which an
    evacuation of a failure domain has to be in effect, None if there are none.
    `regions` maps each failure domain to its region. `buffers_streams` is whether
    upstreams abort a response that stays unread, so that streams are buffered for
    clients that read slowly.
    """

    name: str
    failure_domain: str
    front_address: str
    ready_address: str
    metrics_address: str
    mesh_address: str
    fetch_address: str
    store_address: str
    seeds: tuple[str, ...]
    grace_s: float
    budget: BudgetSettings
    effect_limit_s: float = 2.0
    return_limit_s: float = 3.0
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    capacity: int = 100
    memory_bytes: int = 256 << 20
    max_descriptors: int = 1_024
    cold_bound: ColdBound | None = None
    evacuation_limit_s: float | None = None
    regions: dict[str, str] = msgspec.field(default_factory=dict)
    buffers_streams: bool = False

    @property
    def reads(self) -> ReadTiming:
        """Return the timing of reads of the metadata store."""
        effect_limit_s = self.effect_limit_s
        if self.evacuation_limit_s is not None:
            effect_limit_s = min(effect_limit_s, self.evacuation_limit_s)
        return ReadTiming(effect_limit_s, self.return_limit_s)

    @property
    def max_peer_connections(self) -> int:
        """Return how many connections of peers the process accepts."""
        share = int(PEER_DESCRIPTOR_SHARE * self.max_descriptors)
        return max(MIN_PEER_CONNECTIONS, share)

    @property
    def shutdown(self) -> ShutdownSettings:
        """Return the timing of a planned shutdown."""
        return ShutdownSettings(
            balancer_delay_s=BALANCER_DELAY_S,
            drain_timeout_s=max(
                0.1, self.grace_s * DRAIN_GRACE_SHARE - BALANCER_DELAY_S
            ),
            interrupt_timeout_s=INTERRUPT_TIMEOUT_S,
            release_timeout_s=0.2,
        )
