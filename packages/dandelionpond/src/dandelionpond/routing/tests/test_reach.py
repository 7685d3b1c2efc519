"""Test the subset of engines of a node."""

from collections import Counter

from dandelionpond.routing.reach import select_engines_in_reach
from dandelionpond.routing.settings import RoutingSettings

POLICY = RoutingSettings()


class TestEnginesInReach:
    def test_nodes_spread_over_engines(self):
        """Guard against engines that no node or too many nodes reach."""
        engines = [f"e{i}" for i in range(400)]
        counts = Counter()
        for index in range(300):
            counts.update(select_engines_in_reach(f"n{index}", engines, POLICY))
        mean = 300 * 32 / 400
        assert len(counts) == 400
        assert max(counts.values()) < 2 * mean

    def test_one_engine_changes_one_place(self):
        """Guard against moving every connection when one engine leaves."""
        engines = [f"e{i}" for i in range(400)]
        before = set(select_engines_in_reach("n", engines, POLICY))
        gone = next(iter(before))
        after = set(
            select_engines_in_reach("n", [e for e in engines if e != gone], POLICY)
        )
        assert len(before - after) == 1
