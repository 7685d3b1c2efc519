"""Tests of the subset of engines that a node uses."""

from collections import Counter

from dandelionpond.routing.reach import select_engines_in_reach
from dandelionpond.routing.settings import RoutingSettings

POLICY = RoutingSettings()


class TestSelectEnginesInReach:
    def test_nodes_spread_over_engines(self):
        """Every engine must be used by some nodes, and none by too many."""
        engines = [f"e{i}" for i in range(400)]
        counts = Counter()
        for index in range(300):
            counts.update(select_engines_in_reach(f"n{index}", engines, POLICY))
        mean = 300 * 32 / 400
        assert len(counts) == 400
        assert max(counts.values()) < 2 * mean

    def test_one_engine_changes_one_place(self):
        """Only one connection of a node may change when an engine leaves."""
        engines = [f"e{i}" for i in range(400)]
        before = set(select_engines_in_reach("n", engines, POLICY))
        removed = next(iter(before))
        after = set(
            select_engines_in_reach(
                "n", [engine for engine in engines if engine != removed], POLICY
            )
        )
        assert len(before - after) == 1
