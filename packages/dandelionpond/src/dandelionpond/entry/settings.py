"""Hold what one process must know before it can read anything."""

import msgspec

from dandelionpond.entry.upstream_client import CONNECT_TIMEOUT_S
from dandelionpond.forwarding.budget import BudgetSettings
from dandelionpond.shutdown.settings import ShutdownSettings

# Share of the grace period of a planned stop after which what is left is cut off.
GRACE_SHARE = 0.94
# Time in seconds from a stop signal until new requests are refused: the balancer asks
# once a second and takes a node out after two misses.
BALANCER_DELAY_S = 2.6


class EntrySettings(msgspec.Struct, frozen=True):
    """Name this node, its addresses and the bounds that it shares with its peers.

    Addresses are `IP:port`. `mesh_address` is for datagrams between nodes,
    `fetch_address` for gRPC, `seeds` holds datagram addresses of some nodes.
    `grace_s` is the time between the signal of a planned stop and the kill,
    `connect_timeout_s` the longest time for a connection to an upstream to open.
    `capacity` is what the VM can do for its peers, in percent of a usual one.
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
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    capacity: int = 100

    @property
    def shutdown(self) -> ShutdownSettings:
        """Return the phases of a planned stop."""
        return ShutdownSettings(
            balancer_delay_s=BALANCER_DELAY_S,
            drain_timeout_s=max(0.1, self.grace_s * GRACE_SHARE - BALANCER_DELAY_S),
            release_timeout_s=0.2,
        )
