"""Judge how long a message may have waited unread because this process was paused."""

import msgspec

# A loop that is only busy is later than its timer by less than this, in seconds.
PAUSE_THRESHOLD_S = 0.5
# Time after a pause, in seconds, in which messages from before it are still read.
SETTLE_S = 1.0
# Interval of `tick` in seconds.
TICK_S = 0.1


class PauseCounters(msgspec.Struct):
    """Count pauses and the messages that may have waited through one."""

    pauses: int = 0
    aged_messages: int = 0


class PauseDetector:
    """Notice pauses of this process from the time between two ticks.

    A process that was stopped reads messages long after they arrived, and the time
    limits that they carry count from their arrival. Nothing tells when a message
    arrived, so one that is read right after a pause counts as old as the pause.
    Times are in seconds from CLOCK_BOOTTIME.
    """

    __slots__ = ("_oldest", "_settled_at", "_ticked_at", "counters")

    def __init__(self, now: float) -> None:
        self._ticked_at = now
        # The start of the last pause, and the end of the time after it.
        self._oldest = now
        self._settled_at = now
        self.counters = PauseCounters()

    def tick(self, now: float) -> None:
        """Learn that the event loop runs."""
        if now - self._ticked_at > PAUSE_THRESHOLD_S:
            self.counters.pauses += 1
            self._oldest = self._unread_since()
            self._settled_at = now + SETTLE_S
        self._ticked_at = now

    def arrived_at(self, now: float) -> float:
        """Return the earliest time at which a message that is read now can have come.

        This is `now` unless there was a pause.
        """
        if now - self._ticked_at > PAUSE_THRESHOLD_S:
            self.counters.aged_messages += 1
            return self._unread_since()
        if now < self._settled_at:
            self.counters.aged_messages += 1
            return self._oldest
        return now

    def _unread_since(self) -> float:
        # A message may have waited through a pause and the next one.
        is_settled = self._ticked_at >= self._settled_at
        return self._ticked_at if is_settled else self._oldest
