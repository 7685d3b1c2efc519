"""Track the grants that an aggregator has made for one client account."""

import msgspec

from dandelionpond.limits.messages import DemandReport, Share


class ExpiringShare(msgspec.Struct, frozen=True):
    """A share that is valid until a monotonic time in seconds."""

    share: Share
    until: float


class AccountGrants:
    """The nodes' last demand reports and grants for one client account."""

    __slots__ = ("demands", "granted")

    def __init__(self) -> None:
        self.demands: dict[str, tuple[DemandReport, float]] = {}
        self.granted: dict[str, list[ExpiringShare]] = {}


def covers(larger: Share, smaller: Share) -> bool:
    """Return whether `larger` is at least `smaller` in both tokens and concurrency."""
    return (
        larger.tokens_per_s >= smaller.tokens_per_s
        and larger.concurrency >= smaller.concurrency
    )


def max_min_share(demands: list[tuple[float, int]], total: float, own: float) -> float:
    """Return the max-min fair share for the demand `own`; spare is split evenly.

    Each entry is a demand and the number of nodes that have it.
    """
    remaining, remaining_nodes = total, sum(number for _, number in demands)
    node_count = remaining_nodes
    share = own
    for demand, number in sorted(demands):
        share_per_node = min(demand, remaining / remaining_nodes)
        if demand <= own:
            share = share_per_node
        remaining -= share_per_node * number
        remaining_nodes -= number
    return share + max(0.0, remaining) / node_count
