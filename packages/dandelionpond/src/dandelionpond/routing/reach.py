"""Selection of the engines that a node communicates with."""

from collections.abc import Iterable

from dandelionpond.hashing import top_ranked
from dandelionpond.routing.settings import RoutingSettings


def select_engines_in_reach(
    node: str, engines: Iterable[str], policy: RoutingSettings
) -> tuple[str, ...]:
    """Return the node's subset of the engines by rendezvous hashing, best first.

    The setting `engines_in_reach` is the size of the subset. The ranking differs from
    node to node, so many nodes cover all engines evenly. An engine that joins or leaves
    changes at most one member of each subset.
    """
    return tuple(top_ranked(node, engines, policy.engines_in_reach))
