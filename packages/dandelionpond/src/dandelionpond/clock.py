"""Provide time through an interface, so that decisions can be tested and replayed."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic time and wall time.

    Elapsed-time checks use monotonic time. Wall time is only for display and for
    timestamps that are exchanged with other machines.
    """

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start, including time spent suspended."""
        ...

    def wall(self) -> datetime:
        """Return the current time in UTC; it jumps when the system clock is set."""
        ...


class SystemClock:
    """Clock of the operating system."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Return CLOCK_BOOTTIME in seconds.

        On Linux, CLOCK_MONOTONIC does not advance during suspend, so after a resume a
        lease or deadline would seem to have more time left than it has.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> datetime:
        """Return the current time in UTC."""
        return datetime.now(UTC)


class ManualClock:
    """Clock that only `advance` moves, for tests, simulations and replay."""

    __slots__ = ("_now", "_start")

    def __init__(self, now: float = 0.0, start: datetime | None = None) -> None:
        self._now = now
        self._start = start or datetime(2026, 1, 1, tzinfo=UTC)

    def monotonic(self) -> float:
        """Return the initial time plus all advances, in seconds."""
        return self._now

    def wall(self) -> datetime:
        """Return the start date plus `monotonic()`."""
        return self._start + timedelta(seconds=self._now)

    def advance(self, seconds: float) -> None:
        """Move the clock forward by a number of seconds."""
        self._now += seconds
