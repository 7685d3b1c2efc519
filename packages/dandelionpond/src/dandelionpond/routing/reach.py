"""Bound the engines that one node communicates with."""

from collections.abc import Iterable

from dandelionpond.hashing import top
from dandelionpond.routing.settings import RoutingSettings


def select_engines_in_reach(
    node: str, engines: Iterable[str], policy: RoutingSettings
) -> tuple[str, ...]:
    """Return the node's engines by rendezvous hashing, best first.

    The rank differs from node to node, so many nodes cover all engines evenly, and one
    engine that joins or leaves changes at most one place of each subset.
    """
    return tuple(top(node, engines, policy.engines_in_reach))
