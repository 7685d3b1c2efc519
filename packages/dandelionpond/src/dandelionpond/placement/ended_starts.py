"""Remember when peers' jobs began that have ended within the same second."""

import heapq
from collections import Counter
from collections.abc import Iterable

# Time in seconds by which the start of a job may differ between two messages of a peer,
# which state its age.
MAX_JITTER_S = 0.05
MAX_STARTS = 4_096


class EndedStarts:
    """The starts in the last second of jobs of peers that have ended since.

    Messages of peers name outstanding jobs only. An upstream that answers or fails at
    once would otherwise seem to have got nothing from them. At most `MAX_STARTS` are
    kept; beyond that, the oldest one is dropped and counted in `dropped`.
    """

    __slots__ = ("_counts", "_starts", "dropped")

    def __init__(self) -> None:
        self._starts: list[tuple[float, str]] = []
        self._counts: Counter[str] = Counter()
        self.dropped = 0

    def count(self, instance: str, since: float) -> int:
        """Return how many jobs on an upstream began after a time; forget older ones."""
        while self._starts and self._starts[0][0] < since:
            self._forget(heapq.heappop(self._starts)[1])
        return self._counts.get(instance, 0)

    def record_ends(
        self,
        before: Iterable[tuple[str, float]],
        after: Iterable[tuple[str, float]],
        since: float,
    ) -> None:
        """Compare the jobs of two messages of a peer, by upstream and start.

        Those that began after `since` and are not in the later message have ended.
        """
        recent = [(name, start) for name, start in before if start >= since]
        if not recent:
            return
        left: dict[str, list[float]] = {}
        for name, start in after:
            if start >= since - MAX_JITTER_S:
                left.setdefault(name, []).append(start)
        for name, start in recent:
            starts = left.get(name, [])
            near = (other for other in starts if abs(other - start) <= MAX_JITTER_S)
            match = next(near, None)
            if match is None:
                self._add(name, start)
            else:
                starts.remove(match)

    def _add(self, instance: str, start: float) -> None:
        self._counts[instance] += 1
        heapq.heappush(self._starts, (start, instance))
        if len(self._starts) > MAX_STARTS:
            self._forget(heapq.heappop(self._starts)[1])
            self.dropped += 1

    def _forget(self, instance: str) -> None:
        self._counts[instance] -= 1
        if not self._counts[instance]:
            del self._counts[instance]
