"""Decide how many requests an upstream may get that nobody knows to be cold.

An upstream may have restarted without any node knowing it yet. Until the news, the only
limit is what each node knows of the requests of the last second: its own and those of
the peers that it hears.
"""

import math

import msgspec

# Time in seconds after which a change of a service's upstreams is known to all nodes.
# An entry is at most 1.2 s old when it is read, and the list is read about each 1.2 s.
SETTLE_S = 3.0
# Number of groups of nodes that do not hear each other for which the bound holds while
# nobody knows that an upstream is cold.
SEPARATE_GROUPS = 3
# Share of the bound that nodes use which hear each other. The rest is for requests that
# start in the about 5 ms until peers have heard of the last ones.
USED_SHARE = 0.9


class NodeGroup(msgspec.Struct, frozen=True):
    """The nodes of the fleet that are not leaving, this one included.

    `live` is the number of those heard now, `known` of those heard in the last minute.
    """

    live: int = 1
    known: int = 1


class Sends(msgspec.Struct, frozen=True):
    """The requests to an upstream in the last second that a node knows of.

    `own` are those of the node itself, `peers` those of the peers that it hears.
    """

    own: int
    peers: int


class SendLimits:
    """The limits of requests in a second to upstreams that are not known to be cold.

    A service is unsettled while some of its upstreams are out of use and for
    `SETTLE_S` after the last change of them. Its load has then moved to other
    upstreams, and an upstream with little load may restart unnoticed. Peers do not
    tell of plain calls in time, so each node then keeps to its part of the bound.
    Times are monotonic seconds.
    """

    __slots__ = ("_unsettled_until", "group")

    def __init__(self) -> None:
        self.group = NodeGroup()
        self._unsettled_until: dict[str, float] = {}

    def record_change(self, service: str, now: float) -> None:
        """Record that an upstream of a service is out of use or has changed."""
        self._unsettled_until[service] = now + SETTLE_S

    def retain(self, services: frozenset[str]) -> None:
        """Forget the services that are not in `services`."""
        for name in self._unsettled_until.keys() - services:
            del self._unsettled_until[name]

    def unsettled_until(self, service: str) -> float:
        """Return until when a service is unsettled."""
        return self._unsettled_until.get(service, -math.inf)

    def may_send(
        self, service: str, bound: float, sends: Sends, is_confirmed: bool, now: float
    ) -> bool:
        """Return whether an upstream may get one more request now.

        `bound` is its hard bound of requests in a second. `is_confirmed` is whether
        this node has a reason to take it for warm.
        """
        total = sends.own + sends.peers
        if total >= self._group_limit(bound):
            return False
        if total < group_share(bound):
            return True
        if not is_confirmed:
            return False
        is_settled = now >= self.unsettled_until(service)
        return is_settled or sends.own < self._node_part(bound)

    def own_limit(
        self, service: str, bound: float, is_confirmed: bool, now: float
    ) -> int:
        """Return how many requests in a second this node may send if peers send none.

        The limit does not become higher before `unsettled_until`, nor before the
        upstream is confirmed.
        """
        limit = self._group_limit(bound)
        if is_confirmed and now >= self.unsettled_until(service):
            return limit
        part = self._node_part(bound) if is_confirmed else 0
        return min(limit, max(group_share(bound), part))

    def _group_limit(self, bound: float) -> int:
        """Return the part of the bound of the nodes that hear each other.

        The parts of a fleet that was split lately add up to at most the bound, except
        if there are more groups than it has requests.
        """
        group = self.group
        if group.live == group.known == 1:
            return max(1, math.floor(bound))
        return max(
            1, math.floor(bound * USED_SHARE * min(1.0, group.live / group.known))
        )

    def _node_part(self, bound: float) -> int:
        return math.floor(bound / self.group.known)


def group_share(bound: float) -> int:
    """Return the share of the bound of a group of nodes that hear each other."""
    return max(1, math.floor(bound / SEPARATE_GROUPS))
