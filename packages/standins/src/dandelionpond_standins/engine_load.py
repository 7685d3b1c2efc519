"""Keep the recent load of the engine model, so that reports can lag."""

from collections import deque
from collections.abc import Callable

from dandelionpond_standins.engine_types import LoadReport

_PER_LAG = 8


class LoadHistory:
    """Sample the load at most eight times in the lag, and forget what is older."""

    __slots__ = ("_lag_s", "_samples")

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._samples: deque[LoadReport] = deque(maxlen=8 * _PER_LAG)

    def record(
        self, sample: Callable[[float], LoadReport], at: float, now: float
    ) -> None:
        """Take a sample for the instant `at`, unless the last one is recent."""
        if self._lag_s <= 0:
            return
        if self._samples:
            if now < self._samples[-1].at + self._lag_s / _PER_LAG:
                return
            if self._samples[-1].at >= at:
                self._samples.pop()
        self._samples.append(sample(at))

    def latest(self, now: float) -> LoadReport:
        """Return the newest sample that is at least the lag old."""
        best = LoadReport(0.0, 0, 0, 0, 0)
        for sample in self._samples:
            if sample.at > now - self._lag_s:
                break
            best = sample
        return best
