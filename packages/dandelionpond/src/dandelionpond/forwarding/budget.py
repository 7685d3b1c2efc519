"""Bound the repeated sends of one node, so that all nodes keep a shared budget."""

import msgspec

# Part of the shared budget that nodes use; the rest covers a wrong count of nodes.
USED_SHARE = 0.8
# Part of a node's share that may be spent at once; the rest comes over the window.
BURST_SHARE = 0.5


class BudgetSettings(msgspec.Struct, frozen=True):
    """Hold the budget that all nodes share for each service.

    In any `window_s` seconds, repeated sends stay below `ratio` of the requests plus
    `slack`.
    """

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 100.0


class RetryBudgetShare:
    """Own this node's share of one service's budget as a token bucket."""

    __slots__ = ("_at", "_level", "_nodes", "_settings", "refused", "taken")

    def __init__(self, settings: BudgetSettings, nodes: int, now: float) -> None:
        self._settings = settings
        self._nodes = max(1, nodes)
        self._at = now
        self._level = self._burst
        self.taken = 0
        self.refused = 0

    @property
    def _share(self) -> float:
        return self._settings.slack * USED_SHARE / self._nodes

    @property
    def _burst(self) -> float:
        return max(1.0, self._share * BURST_SHARE)

    def set_node_count(self, nodes: int) -> None:
        """Learn how many nodes share the budget."""
        self._nodes = max(1, nodes)

    def earn(self, now: float) -> None:
        """Count one request."""
        self._refill(now)
        self._level = min(self._burst, self._level + self._settings.ratio * USED_SHARE)

    def can_take(self, now: float) -> bool:
        """Return whether a repeated send is permitted now."""
        self._refill(now)
        return self._level >= 1.0

    def take(self, now: float) -> bool:
        """Take one repeated send; return False and count if none is left."""
        if not self.can_take(now):
            self.refused += 1
            return False
        self._level -= 1.0
        self.taken += 1
        return True

    def _refill(self, now: float) -> None:
        rate = self._share * (1 - BURST_SHARE) / self._settings.window_s
        self._level = min(self._burst, self._level + rate * max(0.0, now - self._at))
        self._at = now
