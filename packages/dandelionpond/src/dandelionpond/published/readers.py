"""Decide which nodes read the platform, so that its reads stay bounded."""

from collections.abc import Iterable

import msgspec
import xxhash

# Interval between two reads of a reader, in seconds. The bounds of leaving and of
# settings are 2 s and more; a read and the news to peers take some 10 ms.
READ_INTERVAL_S = 0.6
# Age of the list, in seconds, at which a node reads for itself: its reader is silent
# or has lost the platform.
TAKE_OVER_S = 1.1
# Longest interval between the reads of a node that takes over, in seconds.
MAX_BACKOFF_S = 2.0


class Candidate(msgspec.Struct, frozen=True):
    """Name a node that may read."""

    name: str
    failure_domain: str


def reader_of(failure_domain: str, nodes: Iterable[Candidate]) -> str | None:
    """Return the reader of a failure domain by rendezvous hashing.

    All nodes with the same view of who is live find the same one; a different view
    costs a second reader for a while, which does no harm.
    """
    names = [node.name for node in nodes if node.failure_domain == failure_domain]
    return max(names, key=_rank, default=None)


class ReadPace:
    """Decide when a node reads next; times are in seconds."""

    __slots__ = ("_failures", "_next_at", "take_overs")

    def __init__(self) -> None:
        self._failures = 0
        self._next_at = 0.0
        self.take_overs = 0

    def is_due(self, now: float, is_reader: bool, age_s: float | None) -> bool:
        """Return whether to read now; `age_s` is the age of the list in force."""
        if now < self._next_at:
            return False
        if is_reader or age_s is None:
            return True
        if age_s > TAKE_OVER_S:
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


def _rank(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
