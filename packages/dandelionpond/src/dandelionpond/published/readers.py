"""Decide which nodes read the platform's metadata store, to limit its load."""

from collections.abc import Iterable

import msgspec
import xxhash

# Shortest and longest time in seconds that `ReadTiming` is derived from. With a shorter
# one, reads would take over while the reader's own read is on its way; with a longer
# one, upstreams that have crashed would be noticed late.
MIN_EFFECT_LIMIT_S = 0.5
MAX_EFFECT_LIMIT_S = 4.0
# Time in seconds that a starting node waits for its peers to tell it what they have
# read, before it reads the store itself.
FIRST_READ_DELAY_S = 0.1
# Number of takeover steps after which the remaining nodes read at the same time.
MAX_TAKEOVER_STEPS = 4
# Longest delay in seconds before the next read after failed reads, at the lowest rank
# after the elected reader; it grows with the rank.
MAX_BACKOFF_S = 2.0


class ReadTiming(msgspec.Struct, frozen=True):
    """The timing of reads, in seconds.

    It follows from `effect_limit_s`, the time within which departures of upstreams and
    new settings have to be in effect on all nodes. `return_limit_s` is the time after
    an outage of the platform, or after a node was cut off from it, from which on that
    limit applies again.
    """

    effect_limit_s: float = 2.0
    return_limit_s: float = 3.0

    @property
    def interval_s(self) -> float:
        """Return the interval between two reads of the elected reader."""
        return 0.3 * self._limit_s

    @property
    def takeover_age_s(self) -> float:
        """Return the age of the list at which the next node in order reads.

        The elected reader is silent or cannot reach the platform then.
        """
        return 0.55 * self._limit_s

    @property
    def takeover_step_s(self) -> float:
        """Return the additional age after which twice as many nodes read.

        The step exceeds the time in which the result of a read reaches the peers.
        """
        return 0.075 * self._limit_s

    @property
    def outage_age_s(self) -> float:
        """Return the age of the list that indicates an outage of the platform.

        All nodes in turn have tried to read by then. Upstreams report every 1.2 s and
        expire after three missing reports, so a shorter outage lets few expire.
        """
        return max(2.5, self.takeover_age_s + MAX_TAKEOVER_STEPS * self.takeover_step_s)

    @property
    def _limit_s(self) -> float:
        return max(MIN_EFFECT_LIMIT_S, min(self.effect_limit_s, MAX_EFFECT_LIMIT_S))


class ReaderCandidate(msgspec.Struct, frozen=True):
    """A node that may read; `capacity` is in percent of a reference VM."""

    name: str
    failure_domain: str
    capacity: int = 100


def reader_order(nodes: Iterable[ReaderCandidate]) -> list[str]:
    """Return the names of nodes in the order in which they read the store.

    The first one reads; the others take over in order if it fails. The order takes one
    node of each failure domain in turn, so that a partitioned domain does not hold
    several successive readers. Nodes with more capacity come first, because readers
    also serve snapshots to their peers; ties are broken by a hash of the name. Nodes
    that agree on the live peers compute the same order. Nodes that disagree cause a
    second reader for a while, which is harmless.
    """
    domains: dict[str, list[tuple[int, int, str]]] = {}
    for node in nodes:
        key = (node.capacity, xxhash.xxh64_intdigest(node.name.encode()), node.name)
        domains.setdefault(node.failure_domain, []).append(key)
    turns = []
    for members in domains.values():
        members.sort(reverse=True)
        turns += [(-turn, *key) for turn, key in enumerate(members)]
    turns.sort(reverse=True)
    return [name for _, _, _, name in turns]


def reader_rank(name: str, nodes: Iterable[ReaderCandidate]) -> int:
    """Return the position of a node in the order of readers."""
    return reader_order(nodes).index(name)


class ReadSchedule:
    """The schedule of a node's reads of the store; times are in seconds.

    `rank` is the result of `reader_rank`. If reads fail, one node reads first, then one
    more, and after each further step twice as many. So few nodes read during an outage,
    and each node reads in time if it is the only one that can reach the platform. The
    elected reader keeps its interval: what it knows of the end of an outage is as exact
    as the time between its last failed read and the first successful one.
    """

    __slots__ = (
        "_failures",
        "_next_at",
        "_read_started_at",
        "_started_at",
        "_timing",
        "takeovers",
    )

    def __init__(self, timing: ReadTiming) -> None:
        self._timing = timing
        self._started_at: float | None = None
        self._failures = 0
        self._next_at = 0.0
        self._read_started_at = 0.0
        self.takeovers = 0

    def is_fresh(self, list_age_s: float | None) -> bool:
        """Return whether no node has to read, whatever its rank."""
        return list_age_s is not None and list_age_s < self._timing.interval_s

    def is_due(self, now: float, rank: int, list_age_s: float | None) -> bool:
        """Return whether to read now.

        `list_age_s` is the age of the list in effect, or None before the first list.
        """
        if self._started_at is None:
            self._started_at = now
        if now < self._next_at:
            return False
        timing = self._timing
        if list_age_s is None:
            delay_s = FIRST_READ_DELAY_S + timing.takeover_step_s * _takeover_step(rank)
            return now - self._started_at >= delay_s
        if rank == 0:
            return True
        step = _takeover_step(rank) - 1
        if list_age_s > timing.takeover_age_s + timing.takeover_step_s * step:
            self.takeovers += 1
            return True
        return False

    def read_started(self, now: float) -> None:
        """Schedule the next read one interval after the start of this one."""
        self._read_started_at = now
        self._next_at = now + self._timing.interval_s

    def read_finished(self, now: float, rank: int, succeeded: bool) -> None:
        """Record the outcome of a read.

        Consecutive failures increase the delay of nodes other than the elected reader,
        the more so the higher their rank: there are more of them, and one that reads
        successfully tells the others.
        """
        if succeeded:
            self._failures = 0
            return
        if rank == 0:
            self._next_at = max(now, self._read_started_at + self._timing.interval_s)
            return
        # The delay reaches MAX_BACKOFF_S before the 8th failure.
        self._failures = min(self._failures + 1, 8)
        delay = min(MAX_BACKOFF_S, self._timing.interval_s * 1.3**self._failures)
        self._next_at = now + delay * (1 + rank.bit_length() / 2)


def _takeover_step(rank: int) -> int:
    """Return the number of takeover steps that a rank waits; 0 for the reader."""
    return min(rank.bit_length(), 1 + MAX_TAKEOVER_STEPS)
