"""Decide which nodes read the platform, so that its reads stay bounded."""

from collections.abc import Iterable

import msgspec
import xxhash

# Interval between two reads of a reader, in seconds. The bounds of leaving and of
# settings are 2 s and more; a read and the news to peers take some 10 ms.
READ_INTERVAL_S = 0.6
# Age of the list, in seconds, at which the next node in order reads for itself: the
# reader is silent or has lost the platform.
TAKE_OVER_S = 1.1
# Further age in seconds for each later place in the order, and the last place that
# waits longer: what one node reads reaches its peers in less.
TAKE_OVER_STEP_S = 0.15
TAKE_OVER_PLACES = 4
# Longest interval between the reads of a node that takes over, in seconds.
MAX_BACKOFF_S = 2.0


class Candidate(msgspec.Struct, frozen=True):
    """Name a node that may read; `capacity` is in percent of a usual VM."""

    name: str
    failure_domain: str
    capacity: int = 100


def place_of(name: str, failure_domain: str, nodes: Iterable[Candidate]) -> int:
    """Return a node's place in the order of its failure domain's readers.

    The node at place 0 reads; the others follow if it is silent. Larger VMs come first,
    because the reader also serves its peers, then rendezvous hashing decides.
    All nodes with the same view of who is live find the same order; a different view
    costs a second reader for a while, which does no harm.
    """
    near = [node for node in nodes if node.failure_domain == failure_domain]
    order = [node.name for node in sorted(near, key=_rank, reverse=True)]
    return order.index(name)


class ReadPace:
    """Decide when a node reads next; times are in seconds."""

    __slots__ = ("_failures", "_next_at", "take_overs")

    def __init__(self) -> None:
        self._failures = 0
        self._next_at = 0.0
        self.take_overs = 0

    def is_due(self, now: float, place: int, age_s: float | None) -> bool:
        """Return whether to read now.

        `place` is the node's one in the order of readers, `age_s` the age of the list
        in force.
        """
        if now < self._next_at:
            return False
        if place == 0 or age_s is None:
            return True
        later = min(place - 1, TAKE_OVER_PLACES)
        if age_s > TAKE_OVER_S + TAKE_OVER_STEP_S * later:
            self.take_overs += 1
            return True
        return False

    def begun(self, now: float) -> None:
        """Learn that a read has begun."""
        self._next_at = now + READ_INTERVAL_S

    def ended(self, now: float, succeeded: bool) -> None:
        """Learn the outcome of a read; failures are repeated less often."""
        if succeeded:
            self._failures = 0
            return
        self._failures = min(self._failures + 1, 8)
        pause = min(MAX_BACKOFF_S, READ_INTERVAL_S * 1.3**self._failures)
        self._next_at = now + pause


def _rank(node: Candidate) -> tuple[int, int]:
    return node.capacity, xxhash.xxh64_intdigest(node.name.encode())
