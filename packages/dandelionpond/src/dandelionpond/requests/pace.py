"""Judge the silence of a stream by the stream's own pace."""

from dandelionpond.requests.settings import RequestsSettings


class Pace:
    """Bound the silence of one attempt; times in seconds.

    Until two pieces have come, the bound is `first_token_factor` times the estimated
    time to first token. After that it is `silence_factor` times a moving mean of the
    time between pieces, so slow streams are not cut and fast ones are not waited for.
    It is never under `silence_min_s`.
    """

    __slots__ = ("_estimate_s", "_heard", "_mean", "_paused", "_pieces", "_settings")

    def __init__(
        self, settings: RequestsSettings, estimate_s: float, now: float
    ) -> None:
        self._settings = settings
        self._estimate_s = estimate_s
        self._mean = 0.0
        self._heard = now
        self._pieces = 0
        self._paused = False

    @property
    def bound_s(self) -> float:
        """Return the silence that is still normal."""
        # The prefill of a long prompt takes minutes and says nothing about the time
        # between pieces, so it stays out of the mean.
        if self._pieces < 2:
            bound = self._settings.first_token_factor * self._estimate_s
        else:
            bound = self._settings.silence_factor * self._mean
        return max(self._settings.silence_min_s, bound)

    def hear(self, now: float) -> None:
        """Take the arrival of a piece."""
        gap = max(0.0, now - self._heard)
        self._heard = now
        self._pieces += 1
        if self._pieces == 2:
            self._mean = gap
        elif self._pieces > 2:
            self._mean += self._settings.pace_weight * (gap - self._mean)

    def pause(self) -> None:
        """Stop judging while the node itself does not read."""
        self._paused = True

    def resume(self, now: float) -> None:
        """Judge again from now on."""
        self._paused = False
        self._heard = now

    def is_silent(self, now: float) -> bool:
        """Return whether the attempt has been silent for longer than the bound."""
        return not self._paused and now - self._heard > self.bound_s

    def due(self) -> float:
        """Return when `is_silent` can become true."""
        return self._heard + self.bound_s
