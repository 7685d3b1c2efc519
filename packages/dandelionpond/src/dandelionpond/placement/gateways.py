"""Decide whether this node is one of the few that send to a cold upstream."""

import math

import msgspec
import xxhash

# Requests a second that each gateway may take from the rate that a service states for
# its cold upstreams. Of these, the refill is continuous; the rest is one request at
# once.
GATEWAY_SHARE_PER_S = 1.75
GATEWAY_REFILL_PER_S = 0.75
MIN_REFILL_PER_S = 0.1
# Time in seconds from a node's start until it may be a gateway. It does not know what
# its previous incarnation has sent, nor its peers.
MIN_UPTIME_S = 2.0


class DomainPeers(msgspec.Struct, frozen=True):
    """The other nodes of this node's failure domain that are not leaving.

    `live` holds the names of those heard now, `known` the number of those heard in the
    last minute.
    """

    live: tuple[str, ...] = ()
    known: int = 0


class GatewayTable:
    """The upstreams of the node's failure domain that it is a gateway of.

    The gateways of an upstream are the first live nodes of its failure domain by
    rendezvous hash. Nodes that hear the same peers agree on them without a message.
    Times are monotonic seconds.
    """

    __slots__ = ("_by_instance", "_domain", "_node", "_peers", "_started_at")

    def __init__(self, node: str, failure_domain: str, started_at: float) -> None:
        self._node = node
        self._domain = failure_domain
        self._started_at = started_at
        self._peers = DomainPeers()
        # By instance and number of gateways, while the live peers are the same.
        self._by_instance: dict[tuple[str, int], bool] = {}

    def set_peers(self, peers: DomainPeers) -> None:
        """Set the nodes that this node shares its failure domain with."""
        if peers.live != self._peers.live:
            self._by_instance.clear()
        self._peers = peers

    def is_gateway(
        self, instance: str, failure_domain: str, requests_per_s: float, now: float
    ) -> bool:
        """Return whether this node may send to an upstream that bears this rate."""
        if failure_domain != self._domain or now - self._started_at < MIN_UPTIME_S:
            return False
        # Of two sides of a partition within the domain, at most one has gateways.
        if 2 * len(self._peers.live) < self._peers.known:
            return False
        count = max(1, math.floor(requests_per_s / GATEWAY_SHARE_PER_S))
        is_gateway = self._by_instance.get((instance, count))
        if is_gateway is None:
            own = _rank_key(instance, self._node)
            before = sum(_rank_key(instance, name) < own for name in self._peers.live)
            is_gateway = self._by_instance[instance, count] = before < count
        return is_gateway


def spacing_s(requests_per_s: float) -> float:
    """Return the least time between two requests of one gateway.

    It is the refill time of a token bucket that holds one token.
    """
    if requests_per_s < GATEWAY_SHARE_PER_S:
        return 1.0 / max(MIN_REFILL_PER_S, requests_per_s - 1.0)
    return 1.0 / GATEWAY_REFILL_PER_S


def _rank_key(instance: str, node: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{instance}/{node}".encode()), node
