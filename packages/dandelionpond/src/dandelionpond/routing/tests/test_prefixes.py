"""Tests of the map from prompt prefixes to engines."""

import pytest

from dandelionpond.routing.prefixes import CacheEvent, PrefixMap
from dandelionpond.routing.settings import RoutingSettings


class TestPrefixMap:
    def test_only_an_unbroken_prefix_counts(self):
        """Blocks that the engine cannot reuse must not count as cached."""
        prefixes = PrefixMap(RoutingSettings())
        prefixes.record_sent("a", (1, 2, 4))
        prefixes.record_sent("b", (2, 3))
        assert prefixes.cached_tokens((1, 2, 3, 4)) == {"a": 512.0}

    def test_removed_blocks_are_not_cached(self):
        """Requests must not be routed to a prefix that was evicted."""
        prefixes = PrefixMap(RoutingSettings())
        prefixes.record_sent("a", (1, 2))
        prefixes.apply_event(CacheEvent("a", 7, removed=(2,)))
        assert prefixes.cached_tokens((1, 2)) == {"a": 256.0}
        prefixes.apply_event(CacheEvent("a", 8, cleared=True))
        assert prefixes.cached_tokens((1, 2)) == {}
        assert len(prefixes) == 0

    def test_gap_lowers_certainty_and_sequence_restores_it(self):
        """Data that may have missed an eviction must not have full certainty."""
        prefixes = PrefixMap(RoutingSettings())
        prefixes.apply_event(CacheEvent("a", 1, added=(1,)))
        prefixes.apply_event(CacheEvent("a", 5, added=(2,)))
        assert prefixes.sequence_gaps == 1
        assert prefixes.cached_tokens((1, 2)) == {"a": pytest.approx(256.0)}
        prefixes.apply_event(CacheEvent("a", 3, removed=(1, 2)))
        assert prefixes.cached_tokens((1, 2)) == {"a": pytest.approx(256.0)}
        for seq in range(6, 60):
            prefixes.apply_event(CacheEvent("a", seq))
        assert prefixes.certainty("a") > 0.99

    def test_blocks_and_engines_per_block_are_bounded(self):
        """The map must not grow with the traffic."""
        prefixes = PrefixMap(RoutingSettings(max_prefix_blocks=3))
        prefixes.record_sent("a", (1, 2, 3, 4, 5))
        assert len(prefixes) == 3
        assert prefixes.evicted_blocks == 2
        for name in "bcdefg":
            prefixes.record_sent(name, (5,))
        assert set(prefixes.cached_tokens((5,))) == set("defg")
