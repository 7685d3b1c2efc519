"""Read time through an interface, so that decisions can be replayed and tested."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Give elapsed time for rules and wall time for people and other machines."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; time in suspend counts."""
        ...

    def wall(self) -> datetime:
        """Return the current time in UTC; it may step."""
        ...


class SystemClock:
    """Read the clocks of the operating system."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Return CLOCK_BOOTTIME in seconds.

        CLOCK_MONOTONIC stops during suspend on Linux, so a lease or a deadline would
        look younger than it is after a wake-up.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> datetime:
        """Return the current time in UTC."""
        return datetime.now(UTC)


class ManualClock:
    """Advance only when told to; for tests, experiments and replay."""

    __slots__ = ("_now", "_start")

    def __init__(self, now: float = 0.0, start: datetime | None = None) -> None:
        self._now = now
        self._start = start or datetime(2026, 1, 1, tzinfo=UTC)

    def monotonic(self) -> float:
        """Return the seconds set so far."""
        return self._now

    def wall(self) -> datetime:
        """Return the start time plus the seconds set so far."""
        return self._start + timedelta(seconds=self._now)

    def advance(self, seconds: float) -> None:
        """Move the clock forward by a number of seconds."""
        self._now += seconds
