"""Take engines out of use that fail, are slow or report a false load."""

import math
import statistics
from collections.abc import Collection, Iterator

import msgspec

from dandelionpond.routing.settings import RoutingSettings

_WINDOW_DECAY = 0.9
_MIN_SAMPLES = 5.0
_FAILURE_SHARE = 0.5
_SLOW_FACTOR = 3.0
_CONTRADICTION_SHARE = 0.5
# An observation this many times over the estimate on a reportedly idle engine
# contradicts the report.
_CONTRADICTION_FACTOR = 4.0
_MAX_BACKOFF = 8


class EngineEjected(msgspec.Struct, frozen=True, tag=True):
    """State that an engine is out of use until a monotonic time in seconds."""

    engine: str
    reason: str
    until: float


class EngineReturned(msgspec.Struct, frozen=True, tag=True):
    """State that an engine is in use again, with slow start."""

    engine: str


class _Record:
    __slots__ = (
        "contradictions",
        "ejections",
        "failures",
        "results",
        "returned_at",
        "slowness",
        "timings",
        "until",
    )

    def __init__(self) -> None:
        self.ejections = 0
        self.until = -math.inf
        self.returned_at = -math.inf
        self.clear()

    def clear(self) -> None:
        self.results = 0.0
        self.failures = 0.0
        self.timings = 0.0
        self.slowness = 0.0
        self.contradictions = 0.0


class Outliers:
    """Decide ejection and return of the engines in reach.

    At most `max_ejected_share` of the engines that can take work is out at once; at the
    bound further ejections are refused and counted in `refused_ejections`, and engines
    beyond it return early.
    """

    __slots__ = ("_policy", "_records", "refused_ejections")

    def __init__(self, policy: RoutingSettings) -> None:
        self._policy = policy
        self._records: dict[str, _Record] = {}
        self.refused_ejections = 0

    @property
    def ejected(self) -> frozenset[str]:
        """Return the engines that are out of use."""
        return frozenset(name for name, _ in self._ejected())

    def configure(self, policy: RoutingSettings) -> None:
        """Take new settings from the next event on."""
        self._policy = policy

    def set_engines(self, engines: tuple[str, ...]) -> None:
        """Replace the engines in reach; records of the others are dropped."""
        self._records = {name: self._records.get(name) or _Record() for name in engines}

    def succeeded(self, engine: str, ratio: float | None, reported_idle: bool) -> None:
        """Record a first token, and observed over predicted time where known."""
        record = self._records.get(engine)
        if record is None:
            return
        _count(record, failed=False)
        if ratio is None:
            return
        record.timings = record.timings * _WINDOW_DECAY + 1.0
        record.slowness = record.slowness * _WINDOW_DECAY + math.log(max(1e-3, ratio))
        record.contradictions *= _WINDOW_DECAY
        if reported_idle and ratio > _CONTRADICTION_FACTOR:
            record.contradictions += 1.0

    def failed(self, engine: str) -> None:
        """Record a failed attempt that the engine caused."""
        record = self._records.get(engine)
        if record is not None:
            _count(record, failed=True)

    def start_share(self, engine: str, now: float) -> float:
        """Return the part of its normal work an engine takes, from 0 to 1."""
        record = self._records.get(engine)
        if record is None:
            return 1.0
        return min(
            1.0, max(0.0, (now - record.returned_at) / self._policy.slow_start_s)
        )

    def tick(
        self, now: float, usable: Collection[str]
    ) -> list[EngineEjected | EngineReturned]:
        """Return engines whose time is over, then eject those that misbehave.

        `usable` are the engines in reach that answer and do not leave. The others take
        no work anyway: if they counted, a node that a partition leaves with few engines
        would give up one that answers for one that does not.
        """
        limit = int(self._policy.max_ejected_share * len(usable))
        actions: list[EngineEjected | EngineReturned] = []
        out = sorted((record.until, name) for name, record in self._ejected())
        for index, (until, name) in enumerate(out):
            if until <= now or len(out) - index > limit:
                record = self._records[name]
                record.until = -math.inf
                record.returned_at = now
                record.clear()
                actions.append(EngineReturned(name))
        for name, record in self._records.items():
            if record.until > -math.inf:
                continue
            reason = self._reason(name, record)
            if reason is None:
                if now - record.returned_at > self._policy.ejection_s * _MAX_BACKOFF:
                    record.ejections = 0
                continue
            if len(self.ejected) >= limit:
                self.refused_ejections += 1
                continue
            factor = min(_MAX_BACKOFF, 2**record.ejections)
            record.until = now + self._policy.ejection_s * factor
            record.ejections += 1
            actions.append(EngineEjected(name, reason, record.until))
        return actions

    def _ejected(self) -> Iterator[tuple[str, _Record]]:
        for name, record in self._records.items():
            if record.until > -math.inf:
                yield name, record

    def _reason(self, name: str, record: _Record) -> str | None:
        if (
            record.results >= _MIN_SAMPLES * 0.8
            and record.failures / record.results > _FAILURE_SHARE
        ):
            return "failures"
        if record.timings < _MIN_SAMPLES * 0.8:
            return None
        if record.contradictions / record.timings > _CONTRADICTION_SHARE:
            return "contradicts_reports"
        others = [
            other.slowness / other.timings
            for key, other in self._records.items()
            if key != name and other.timings >= _MIN_SAMPLES * 0.8
        ]
        if len(others) >= 2:
            excess = record.slowness / record.timings - statistics.median(others)
            if excess > math.log(_SLOW_FACTOR):
                return "slow"
        return None


def _count(record: _Record, failed: bool) -> None:
    record.results = record.results * _WINDOW_DECAY + 1.0
    record.failures = record.failures * _WINDOW_DECAY + float(failed)
