"""Count the nodes of the fleet, including those that a split hides."""

from collections.abc import Mapping

from dandelionpond.mesh.messages import KnownNodes

# Time in seconds for which nodes count after they have become silent without having
# announced that they leave. Nothing tells a split from nodes that are gone: a shorter
# time ends during a split, and a longer one leaves the shares of lost nodes unused.
KNOWN_NODES_S = 3_600.0
# Time in seconds that is added to the age of a count that is sent to peers. With it,
# a count never becomes younger on its way through several nodes, as long as a datagram
# takes less than a second.
AGE_MARGIN_S = 2
# Limit of the counts that peers report: the largest table of peers and the node itself.
MAX_NODES = 513


class NodeCountTracker:
    """The most nodes that were live at once lately, less those that left.

    Times are monotonic seconds. `seed_count` is the number of peers that the node is
    told of at its start; they count as live then.
    """

    __slots__ = ("_counts", "_leaving", "_live_count", "_seed_count")

    def __init__(self, seed_count: int) -> None:
        self._seed_count = seed_count
        # Counts with the times at which they were last seen. Later ones are lower, so
        # there are at most as many as nodes.
        self._counts: list[tuple[float, int]] = []
        self._leaving: frozenset[str] = frozenset()
        self._live_count = 0

    def update(self, live_peers: Mapping[str, bool], now: float) -> int:
        """Record the live peers and return the number of nodes.

        `live_peers` maps addresses to whether the peer leaves. A leaving peer that has
        become silent does not count any more.
        """
        if not self._counts:
            self._record(self._seed_count + 1, now)
        self._live_count = len(live_peers) + 1
        departed = sum(address not in live_peers for address in self._leaving)
        self._leaving = frozenset(
            address for address, is_leaving in live_peers.items() if is_leaving
        )
        if departed:
            counts, self._counts = self._counts, []
            for seen_at, count in counts:
                self._record(count - departed, seen_at)
        self._record(self._live_count, now)
        while now - self._counts[0][0] > KNOWN_NODES_S:
            del self._counts[0]
        return self._counts[0][1]

    def receive(self, news: KnownNodes, now: float) -> bool:
        """Record what a peer knows; return False if the values are out of range."""
        if not (0 < news.count <= MAX_NODES and news.age_s >= 0):
            return False
        if news.age_s <= KNOWN_NODES_S:
            self._record(news.count, now - news.age_s)
        return True

    def news(self, now: float) -> KnownNodes | None:
        """Return what to tell peers: None if all known nodes are live."""
        if not self._counts or self._counts[0][1] <= self._live_count:
            return None
        seen_at, count = self._counts[0]
        return KnownNodes(count, int(now - seen_at) + AGE_MARGIN_S)

    def _record(self, count: int, seen_at: float) -> None:
        """Add a count, and keep only those without a later one that is as high."""
        counts = sorted([*self._counts, (seen_at, count)], reverse=True)
        self._counts = []
        for entry in counts:
            if not self._counts or entry[1] > self._counts[0][1]:
                self._counts.insert(0, entry)
