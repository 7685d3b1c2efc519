"""Track what an aggregator gave away of one client account's part."""

import msgspec

from dandelionpond.limits.messages import DemandReport, Share


class Held(msgspec.Struct, frozen=True):
    """Hold a share until a monotonic time in seconds."""

    share: Share
    until: float


class Pool:
    """Track what an aggregator gave away of one account's part."""

    __slots__ = ("demands", "granted")

    def __init__(self) -> None:
        self.demands: dict[str, tuple[DemandReport, float]] = {}
        self.granted: dict[str, list[Held]] = {}


def covers(larger: Share, smaller: Share) -> bool:
    """Return whether a share is at least as large in both measures."""
    return (
        larger.tokens_per_s >= smaller.tokens_per_s
        and larger.concurrency >= smaller.concurrency
    )


def max_min(demands: list[tuple[float, int]], total: float, own: float) -> float:
    """Return the max-min fair part of a demand; what is left is shared evenly.

    Each entry is a demand and the number of nodes that have it.
    """
    left, nodes = total, sum(number for _, number in demands)
    count = nodes
    part = own
    for demand, number in sorted(demands):
        each = min(demand, left / nodes)
        if demand <= own:
            part = each
        left -= each * number
        nodes -= number
    return part + max(0.0, left) / count
