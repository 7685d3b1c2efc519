"""Ejection of engines that fail, are slow or report a false load."""

import math
import statistics
from collections.abc import Collection, Iterator

import msgspec

from dandelionpond.routing.settings import RoutingSettings

# Factor by which each attempt reduces the weight of the earlier ones.
_DECAY_PER_ATTEMPT = 0.9
# Attempts needed before an engine is judged. Their weights decay, so the checks compare
# with 80% of this: five attempts weigh 4.1, four weigh 3.4.
_MIN_SAMPLES = 5.0
_MAX_FAILURE_SHARE = 0.5
# Ratio of an engine's slowdown to the median of the others above which it is slow.
_SLOW_RATIO = 3.0
_MAX_CONTRADICTION_SHARE = 0.5
# A first token that takes more than this multiple of the estimate contradicts a report
# that the engine was idle.
_CONTRADICTION_RATIO = 4.0
_MAX_BACKOFF_FACTOR = 8


class EngineEjected(msgspec.Struct, frozen=True, tag=True):
    """An engine was ejected until a monotonic time in seconds."""

    engine: str
    reason: str
    until: float


class EngineReturned(msgspec.Struct, frozen=True, tag=True):
    """An ejected engine is in use again and begins its slow start."""

    engine: str


class _EngineStats:
    __slots__ = (
        "attempts",
        "contradictions",
        "ejected_until",
        "ejection_count",
        "failures",
        "log_ratio_sum",
        "returned_at",
        "timed_attempts",
    )

    def __init__(self) -> None:
        self.ejection_count = 0
        self.ejected_until = -math.inf
        self.returned_at = -math.inf
        self.reset()

    def reset(self) -> None:
        self.attempts = 0.0
        self.failures = 0.0
        self.timed_attempts = 0.0
        self.log_ratio_sum = 0.0
        self.contradictions = 0.0


class OutlierDetector:
    """A detector that decides which engines in reach are ejected and when they return.

    At most `max_ejected_share` of the usable engines is ejected at once. Ejections
    beyond this bound are refused and counted in `refused_ejections`; if the bound
    falls, the engines beyond it return early.
    """

    __slots__ = ("_policy", "_stats", "refused_ejections")

    def __init__(self, policy: RoutingSettings) -> None:
        self._policy = policy
        self._stats: dict[str, _EngineStats] = {}
        self.refused_ejections = 0

    @property
    def ejected(self) -> frozenset[str]:
        """Return the engines that are ejected."""
        return frozenset(name for name, _ in self._iter_ejected())

    def configure(self, policy: RoutingSettings) -> None:
        """Apply new settings to the events that follow."""
        self._policy = policy

    def set_engines(self, engines: tuple[str, ...]) -> None:
        """Replace the engines in reach and drop the statistics of all others."""
        self._stats = {
            name: self._stats.get(name) or _EngineStats() for name in engines
        }

    def record_success(
        self, engine: str, ratio: float | None, reported_idle: bool
    ) -> None:
        """Record a first token; `ratio` is observed over predicted time, if known."""
        stats = self._stats.get(engine)
        if stats is None:
            return
        _count_attempt(stats, failed=False)
        if ratio is None:
            return
        stats.timed_attempts = stats.timed_attempts * _DECAY_PER_ATTEMPT + 1.0
        stats.log_ratio_sum = stats.log_ratio_sum * _DECAY_PER_ATTEMPT + math.log(
            max(1e-3, ratio)
        )
        stats.contradictions *= _DECAY_PER_ATTEMPT
        if reported_idle and ratio > _CONTRADICTION_RATIO:
            stats.contradictions += 1.0

    def record_failure(self, engine: str) -> None:
        """Record a failed attempt that the engine caused."""
        stats = self._stats.get(engine)
        if stats is not None:
            _count_attempt(stats, failed=True)

    def start_share(self, engine: str, now: float) -> float:
        """Return the share of its normal load an engine takes in slow start, 0 to 1."""
        stats = self._stats.get(engine)
        if stats is None:
            return 1.0
        return min(1.0, max(0.0, (now - stats.returned_at) / self._policy.slow_start_s))

    def tick(
        self, now: float, usable: Collection[str]
    ) -> list[EngineEjected | EngineReturned]:
        """Return engines whose ejection has ended, then eject outliers.

        `usable` are the engines in reach that respond and are not leaving. Only they
        count for the bound, because the others take no work. If all counted, a node
        that a network partition leaves with few engines could eject one of the engines
        that still respond.
        """
        limit = int(self._policy.max_ejected_share * len(usable))
        actions: list[EngineEjected | EngineReturned] = []
        ejected = sorted(
            (stats.ejected_until, name) for name, stats in self._iter_ejected()
        )
        for index, (ejected_until, name) in enumerate(ejected):
            if ejected_until <= now or len(ejected) - index > limit:
                stats = self._stats[name]
                stats.ejected_until = -math.inf
                stats.returned_at = now
                stats.reset()
                actions.append(EngineReturned(name))
        for name, stats in self._stats.items():
            if stats.ejected_until > -math.inf:
                continue
            reason = self._ejection_reason(name, stats)
            if reason is None:
                if (
                    now - stats.returned_at
                    > self._policy.ejection_s * _MAX_BACKOFF_FACTOR
                ):
                    stats.ejection_count = 0
                continue
            if len(self.ejected) >= limit:
                self.refused_ejections += 1
                continue
            factor = min(_MAX_BACKOFF_FACTOR, 2**stats.ejection_count)
            stats.ejected_until = now + self._policy.ejection_s * factor
            stats.ejection_count += 1
            actions.append(EngineEjected(name, reason, stats.ejected_until))
        return actions

    def _iter_ejected(self) -> Iterator[tuple[str, _EngineStats]]:
        for name, stats in self._stats.items():
            if stats.ejected_until > -math.inf:
                yield name, stats

    def _ejection_reason(self, name: str, stats: _EngineStats) -> str | None:
        if (
            stats.attempts >= _MIN_SAMPLES * 0.8
            and stats.failures / stats.attempts > _MAX_FAILURE_SHARE
        ):
            return "failures"
        if stats.timed_attempts < _MIN_SAMPLES * 0.8:
            return None
        if stats.contradictions / stats.timed_attempts > _MAX_CONTRADICTION_SHARE:
            return "contradicts_reports"
        others = [
            other.log_ratio_sum / other.timed_attempts
            for key, other in self._stats.items()
            if key != name and other.timed_attempts >= _MIN_SAMPLES * 0.8
        ]
        if len(others) >= 2:
            excess = stats.log_ratio_sum / stats.timed_attempts - statistics.median(
                others
            )
            if excess > math.log(_SLOW_RATIO):
                return "slow"
        return None


def _count_attempt(stats: _EngineStats, failed: bool) -> None:
    stats.attempts = stats.attempts * _DECAY_PER_ATTEMPT + 1.0
    stats.failures = stats.failures * _DECAY_PER_ATTEMPT + float(failed)
