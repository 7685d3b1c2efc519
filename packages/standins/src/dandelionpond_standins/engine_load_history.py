"""Recent load of the engine model, for reports that lag."""

from collections import deque
from collections.abc import Callable

from dandelionpond_standins.engine_types import LoadReport

_SAMPLES_PER_LAG = 8


class LoadHistory:
    """A bounded history of load samples.

    `lag_s` is the least age of a reported sample in seconds of the model's clock. A
    sample is taken only if an eighth of this time has passed since the last one.
    """

    __slots__ = ("_lag_s", "_samples")

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._samples: deque[LoadReport] = deque(maxlen=8 * _SAMPLES_PER_LAG)

    def record(
        self, measure_load: Callable[[float], LoadReport], at: float, now: float
    ) -> None:
        """Add a sample for the time `at` unless the last sample is recent.

        A last sample of the same or a later time is replaced, because the load may have
        changed after it was taken.
        """
        if self._lag_s <= 0:
            return
        if self._samples:
            if now < self._samples[-1].at + self._lag_s / _SAMPLES_PER_LAG:
                return
            if self._samples[-1].at >= at:
                self._samples.pop()
        self._samples.append(measure_load(at))

    def latest(self, now: float) -> LoadReport:
        """Return the newest sample that is at least `lag_s` old, or an empty report."""
        newest = LoadReport(0.0, 0, 0, 0, 0)
        for sample in self._samples:
            if sample.at > now - self._lag_s:
                break
            newest = sample
        return newest
