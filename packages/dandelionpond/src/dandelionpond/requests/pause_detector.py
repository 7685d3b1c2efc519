"""Detection of process pauses, and the age of messages that are read after them."""

import msgspec

# A longer time between two ticks, in seconds, counts as a pause. Load alone delays the
# timer of `tick` by less than this.
PAUSE_THRESHOLD_S = 0.5
# Seconds after a pause in which messages from before it may still be read.
SETTLE_S = 1.0
# Interval in seconds at which a node calls `tick`.
TICK_S = 0.1


class PauseCounters(msgspec.Struct):
    """Counts of pauses and of messages that may have waited unread during one."""

    pauses: int = 0
    aged_messages: int = 0


class PauseDetector:
    """Detector of pauses of this process, from the time between two ticks.

    A process that was stopped reads messages long after they arrived, but the time
    limits in them count from their arrival. The arrival time itself is not known, so a
    message read shortly after a pause is assumed to have arrived when the pause began.
    Times are in seconds of CLOCK_BOOTTIME.
    """

    __slots__ = ("_last_tick_at", "_pause_started_at", "_settle_until", "counters")

    def __init__(self, now: float) -> None:
        self._last_tick_at = now
        # The start of the last pause and the end of the settling time after it.
        self._pause_started_at = now
        self._settle_until = now
        self.counters = PauseCounters()

    def tick(self, now: float) -> None:
        """Record that the event loop is running; call this at a short interval."""
        if now - self._last_tick_at > PAUSE_THRESHOLD_S:
            self.counters.pauses += 1
            self._pause_started_at = self._oldest_unread_at()
            self._settle_until = now + SETTLE_S
        self._last_tick_at = now

    def arrived_at(self, now: float) -> float:
        """Return the earliest time at which a message read now can have arrived.

        This is `now` unless the process was paused.
        """
        if now - self._last_tick_at > PAUSE_THRESHOLD_S:
            self.counters.aged_messages += 1
            return self._oldest_unread_at()
        if now < self._settle_until:
            self.counters.aged_messages += 1
            return self._pause_started_at
        return now

    def _oldest_unread_at(self) -> float:
        # If a pause follows within the settling time of an earlier one, a message may
        # have waited during both.
        is_settled = self._last_tick_at >= self._settle_until
        return self._last_tick_at if is_settled else self._pause_started_at
