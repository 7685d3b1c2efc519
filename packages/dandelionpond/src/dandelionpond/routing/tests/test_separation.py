"""Test the separation by length."""

import pytest

from dandelionpond.routing.separation import URGENT_PRIORITY, Separation, priority
from dandelionpond.routing.settings import RoutingSettings

ENGINES = tuple(f"e{i}" for i in range(16))


class TestPriority:
    @pytest.mark.parametrize("weight", [0.0, 0.3, 1.0])
    def test_shorter_is_never_later(self, weight):
        """Guard against a long prompt ahead of a short one with time to spare."""
        policy = RoutingSettings(short_weight=weight)
        lengths = (1_000, 4_000, 8_000, 50_000, 200_000, 1_000_000)
        levels = [priority(length, 1e6, 1.0, policy) for length in lengths]
        assert levels == sorted(levels)
        assert (levels[-1] > levels[0] + 1) == (weight > 0)

    def test_prompt_near_its_deadline_is_urgent(self):
        """Guard against a long prompt that waits behind short ones for ever."""
        policy = RoutingSettings(short_weight=1.0)
        assert priority(1_000_000, 149.0, 50.0, policy) == URGENT_PRIORITY
        assert priority(1_000_000, 151.0, 50.0, policy) > URGENT_PRIORITY


class TestSeparation:
    def run(self, separation, share, start, end):
        for second in range(start, end):
            separation.arrived(200_000, 1_000.0 * share, float(second))
            separation.arrived(1_000, 1_000.0 * (1 - share), float(second))
            separation.tick(16, float(second))

    def test_reserved_engines_follow_lasting_demand(self):
        """Guard against a fixed split when the mix of lengths changes."""
        separation = Separation(RoutingSettings(short_weight=1.0))
        self.run(separation, 0.25, 0, 300)
        assert separation.reserved == 4
        self.run(separation, 0.0, 300, 900)
        assert separation.reserved == 0

    def test_short_peak_moves_nothing(self):
        """Guard against roles that follow each single long prompt."""
        separation = Separation(RoutingSettings(short_weight=1.0))
        self.run(separation, 0.25, 0, 300)
        self.run(separation, 0.9, 300, 310)
        self.run(separation, 0.25, 310, 315)
        assert separation.reserved == 4

    def test_share_is_bounded_and_sets_are_nested(self):
        """Guard against nodes that reserve different engines for long prompts."""
        separation = Separation(RoutingSettings(short_weight=1.0))
        self.run(separation, 1.0, 0, 100)
        assert separation.reserved == 8
        many = {n for n, role in separation.roles(ENGINES).items() if role == "long"}
        self.run(separation, 0.2, 100, 500)
        few = {n for n, role in separation.roles(ENGINES).items() if role == "long"}
        assert few < many

    def test_memory_is_kept_for_short_prompts(self):
        """Guard against long prompts that fill a shared engine's memory."""
        separation = Separation(RoutingSettings())
        assert separation.long_memory_tokens(400_000, "general") == 320_000
        assert separation.long_memory_tokens(400_000, "long") == 400_000
