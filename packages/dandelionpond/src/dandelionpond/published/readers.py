"""Decide which nodes read the platform's metadata store, to limit its load."""

from collections.abc import Iterable

import msgspec
import xxhash

# Interval in seconds between two reads of the elected reader. The time limits within
# which departures of upstreams and new settings have to take effect are at least 2 s; a
# read and its distribution to peers take about 10 ms.
READ_INTERVAL_S = 0.6
# Age of the list in seconds at which the node with rank 1 reads the store itself,
# because the elected reader is silent or cannot reach the platform.
TAKEOVER_AGE_S = 1.1
# Additional age in seconds for each further rank, and the number of ranks that wait
# longer than the one before. The step exceeds the time in which the result of a read
# reaches the peers.
TAKEOVER_STEP_S = 0.15
MAX_TAKEOVER_STEPS = 4
# Longest delay in seconds before the next read after failed reads.
MAX_BACKOFF_S = 2.0


class ReaderCandidate(msgspec.Struct, frozen=True):
    """A node that may read; `capacity` is in percent of a reference VM."""

    name: str
    failure_domain: str
    capacity: int = 100


def reader_rank(
    name: str, failure_domain: str, nodes: Iterable[ReaderCandidate]
) -> int:
    """Return the rank of a node among the readers of its failure domain.

    The node with rank 0 reads the store; the others take over in order if it fails.
    Nodes with more capacity rank first, because the reader also serves snapshots to its
    peers; ties are broken by a hash of the name. Nodes that agree on the live peers
    compute the same order. Nodes that disagree cause a second reader for a while, which
    is harmless.
    """
    local = [node for node in nodes if node.failure_domain == failure_domain]
    order = [node.name for node in sorted(local, key=_sort_key, reverse=True)]
    return order.index(name)


class ReadSchedule:
    """The schedule of a node's reads of the store; times are in seconds."""

    __slots__ = ("_failures", "_next_at", "takeovers")

    def __init__(self) -> None:
        self._failures = 0
        self._next_at = 0.0
        self.takeovers = 0

    def is_due(self, now: float, rank: int, list_age_s: float | None) -> bool:
        """Return whether to read now.

        `rank` is the result of `reader_rank`, `list_age_s` the age of the list in
        effect, or None before the first list.
        """
        if now < self._next_at:
            return False
        if rank == 0 or list_age_s is None:
            return True
        steps = min(rank - 1, MAX_TAKEOVER_STEPS)
        if list_age_s > TAKEOVER_AGE_S + TAKEOVER_STEP_S * steps:
            self.takeovers += 1
            return True
        return False

    def read_started(self, now: float) -> None:
        """Schedule the next read one interval after the start of this one."""
        self._next_at = now + READ_INTERVAL_S

    def read_finished(self, now: float, succeeded: bool) -> None:
        """Record the outcome of a read; consecutive failures increase the delay."""
        if succeeded:
            self._failures = 0
            return
        # The delay reaches MAX_BACKOFF_S before the 8th failure.
        self._failures = min(self._failures + 1, 8)
        delay = min(MAX_BACKOFF_S, READ_INTERVAL_S * 1.3**self._failures)
        self._next_at = now + delay


def _sort_key(node: ReaderCandidate) -> tuple[int, int]:
    return node.capacity, xxhash.xxh64_intdigest(node.name.encode())
