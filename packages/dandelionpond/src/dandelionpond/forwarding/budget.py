"""Retry budget that all nodes share, split evenly among them."""

import msgspec

# Share of the common budget that the nodes use together. The rest is a margin for nodes
# that count too few others.
USED_SHARE = 0.8
# Part of a node's share that may be spent in one burst. The rest is refilled evenly
# over the window.
BURST_SHARE = 0.5


class BudgetSettings(msgspec.Struct, frozen=True):
    """The retry budget of each service, for all nodes together.

    In any `window_s` seconds, there are at most `ratio` retries per request, plus
    `slack`.
    """

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 100.0


class RetryBudgetShare:
    """This node's share of a service's retry budget, as a token bucket.

    Times are monotonic seconds. `node_count` has to include the nodes that a split of
    the fleet hides, because they use their shares too.
    """

    __slots__ = (
        "_node_count",
        "_refilled_at",
        "_settings",
        "_tokens",
        "refused",
        "taken",
    )

    def __init__(self, settings: BudgetSettings, node_count: int, now: float) -> None:
        self._settings = settings
        self._node_count = max(1, node_count)
        self._refilled_at = now
        self._tokens = self._capacity
        self.taken = 0
        self.refused = 0

    @property
    def _slack(self) -> float:
        return self._settings.slack * USED_SHARE / self._node_count

    @property
    def _capacity(self) -> float:
        return max(1.0, self._slack * BURST_SHARE)

    def set_node_count(self, node_count: int) -> None:
        """Set the number of nodes that share the budget."""
        self._node_count = max(1, node_count)

    def add_request(self, now: float) -> None:
        """Count one request, which adds `ratio` times `USED_SHARE` retries."""
        self._refill(now)
        self._tokens = min(
            self._capacity, self._tokens + self._settings.ratio * USED_SHARE
        )

    def can_take(self, now: float) -> bool:
        """Return whether the budget permits a retry now."""
        self._refill(now)
        return self._tokens >= 1.0

    def take(self, now: float) -> bool:
        """Take one retry; return False and count a refusal if none is left."""
        if not self.can_take(now):
            self.refused += 1
            return False
        self._tokens -= 1.0
        self.taken += 1
        return True

    def _refill(self, now: float) -> None:
        rate = self._slack * (1 - BURST_SHARE) / self._settings.window_s
        self._tokens = min(
            self._capacity, self._tokens + rate * max(0.0, now - self._refilled_at)
        )
        self._refilled_at = now
