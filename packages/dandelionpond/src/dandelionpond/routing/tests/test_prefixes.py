"""Test the map from prefixes to engines."""

import pytest

from dandelionpond.routing.prefixes import CacheEvent, PrefixMap
from dandelionpond.routing.settings import RoutingSettings


class TestPrefixMap:
    def test_only_an_unbroken_prefix_counts(self):
        """Guard against an estimate that counts blocks the engine cannot reuse."""
        prefixes = PrefixMap(RoutingSettings())
        prefixes.sent("a", (1, 2, 4))
        prefixes.sent("b", (2, 3))
        assert prefixes.cached_tokens((1, 2, 3, 4)) == {"a": 512.0}

    def test_removal_is_applied(self):
        """Guard against routing to a prefix that was evicted."""
        prefixes = PrefixMap(RoutingSettings())
        prefixes.sent("a", (1, 2))
        prefixes.apply(CacheEvent("a", 7, removed=(2,)))
        assert prefixes.cached_tokens((1, 2)) == {"a": 256.0}
        prefixes.apply(CacheEvent("a", 8, cleared=True))
        assert prefixes.cached_tokens((1, 2)) == {}
        assert len(prefixes) == 0

    def test_gap_lowers_certainty_and_sequence_restores_it(self):
        """Guard against full trust in a map that missed an eviction."""
        prefixes = PrefixMap(RoutingSettings())
        prefixes.apply(CacheEvent("a", 1, added=(1,)))
        prefixes.apply(CacheEvent("a", 5, added=(2,)))
        assert prefixes.gaps == 1
        assert prefixes.cached_tokens((1, 2)) == {"a": pytest.approx(256.0)}
        prefixes.apply(CacheEvent("a", 3, removed=(1, 2)))
        assert prefixes.cached_tokens((1, 2)) == {"a": pytest.approx(256.0)}
        for seq in range(6, 60):
            prefixes.apply(CacheEvent("a", seq))
        assert prefixes.certainty("a") > 0.99

    def test_bound(self):
        """Guard against a map that grows with the traffic."""
        prefixes = PrefixMap(RoutingSettings(max_prefix_blocks=3))
        prefixes.sent("a", (1, 2, 3, 4, 5))
        assert len(prefixes) == 3
        assert prefixes.evicted == 2
        for name in "bcdefg":
            prefixes.sent(name, (5,))
        assert set(prefixes.cached_tokens((5,))) == set("defg")
