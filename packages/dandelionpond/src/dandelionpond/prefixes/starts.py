"""Restarts of engines, noticed from the uptime that they report."""

# Drift between the clocks of a node and an engine from one report to the next, and the
# rounding of the reported uptime, in seconds.
_TOLERANCE_S = 0.5


class StartTimes:
    """The latest time at which each engine can have started.

    An uptime was true at some moment between the question and the answer, so an engine
    started between `asked_at - uptime_s` and `answered_at - uptime_s`.
    """

    __slots__ = ("_latest_starts",)

    def __init__(self) -> None:
        self._latest_starts: dict[str, float] = {}

    def has_restarted(
        self, engine: str, uptime_s: float | None, asked_at: float, answered_at: float
    ) -> bool:
        """Record an uptime and return whether the engine restarted since the last."""
        if uptime_s is None:
            return False
        latest_start = self._latest_starts.get(engine)
        self._latest_starts[engine] = answered_at - uptime_s
        return (
            latest_start is not None
            and asked_at - uptime_s > latest_start + _TOLERANCE_S
        )

    def forget(self, engine: str) -> None:
        """Forget the start time of an engine."""
        self._latest_starts.pop(engine, None)
