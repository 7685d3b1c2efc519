"""Detection of stalled streams from the time between their pieces."""

from dandelionpond.requests.settings import RequestsSettings


class SilenceDetector:
    """Adaptive idle timeout of one attempt; times in seconds.

    Until two pieces have arrived, the limit is `first_token_factor` times the estimated
    time to first token. After that it is `silence_factor` times a moving average of the
    time between pieces, so that slow streams are not cut off and stalls of fast streams
    are detected early. The limit is at least `silence_min_s`.
    """

    __slots__ = (
        "_last_active_at",
        "_mean_gap_s",
        "_paused",
        "_piece_count",
        "_settings",
        "_ttft_estimate_s",
    )

    def __init__(
        self, settings: RequestsSettings, ttft_estimate_s: float, now: float
    ) -> None:
        self._settings = settings
        self._ttft_estimate_s = ttft_estimate_s
        self._mean_gap_s = 0.0
        self._last_active_at = now
        self._piece_count = 0
        self._paused = False

    @property
    def silence_limit_s(self) -> float:
        """Return the time without a piece after which the attempt counts as silent."""
        # The prefill of a long prompt takes minutes and does not predict the time
        # between pieces, so the time to the first piece is not part of the average.
        if self._piece_count < 2:
            limit_s = self._settings.first_token_factor * self._ttft_estimate_s
        else:
            limit_s = self._settings.silence_factor * self._mean_gap_s
        return max(self._settings.silence_min_s, limit_s)

    def record_piece(self, now: float) -> None:
        """Restart the timeout and update the average on the arrival of a piece."""
        gap_s = max(0.0, now - self._last_active_at)
        self._last_active_at = now
        self._piece_count += 1
        if self._piece_count == 2:
            self._mean_gap_s = gap_s
        elif self._piece_count > 2:
            self._mean_gap_s += self._settings.pace_weight * (gap_s - self._mean_gap_s)

    def pause(self) -> None:
        """Suspend the timeout while the node itself does not read the stream."""
        self._paused = True

    def resume(self, now: float) -> None:
        """Restart the timeout at `now`."""
        self._paused = False
        self._last_active_at = now

    def is_silent(self, now: float) -> bool:
        """Return whether the stream has been silent for over `silence_limit_s`."""
        return not self._paused and now - self._last_active_at > self.silence_limit_s

    def silent_at(self) -> float:
        """Return the earliest time at which `is_silent` can become true."""
        return self._last_active_at + self.silence_limit_s
