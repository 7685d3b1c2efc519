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
    def run(self, separation, demand, start, end):
        """Let half of the fleet's demand, in engines' worth, arrive at this node."""
        for second in range(start, end):
            for tokens, engines in demand.items():
                separation.arrived(tokens, engines * 10_000.0, float(second))
            separation.tick(16, 2, 20_000.0, float(second))

    @pytest.mark.parametrize("kind", ["long", "short"])
    def test_reserved_engines_follow_lasting_demand(self, kind):
        """Guard against a fixed split when the mix of lengths changes."""
        policy = RoutingSettings(reserve_long=1.0, reserve_short=1.0)
        separation = Separation(policy)
        tokens = 200_000 if kind == "long" else 1_000
        self.run(separation, {tokens: 4.0, 50_000: 8.0}, 0, 600)
        assert getattr(separation, f"reserved_{kind}") == 4
        assert list(separation.roles(ENGINES).values()).count(kind) == 4
        self.run(separation, {50_000: 8.0}, 600, 1_500)
        assert getattr(separation, f"reserved_{kind}") == 0

    def test_short_peak_moves_nothing(self):
        """Guard against roles that follow each single long prompt."""
        separation = Separation(RoutingSettings(reserve_long=1.0))
        self.run(separation, {200_000: 4.0}, 0, 600)
        self.run(separation, {200_000: 12.0}, 600, 610)
        self.run(separation, {200_000: 3.0}, 610, 625)
        assert separation.reserved_long == 4

    def test_share_is_bounded_and_sets_are_nested(self):
        """Guard against nodes that reserve different engines for long prompts."""
        separation = Separation(RoutingSettings(reserve_long=1.0))
        self.run(separation, {200_000: 15.0}, 0, 100)
        assert separation.reserved_long == 8
        many = {n for n, role in separation.roles(ENGINES).items() if role == "long"}
        self.run(separation, {200_000: 2.0}, 100, 900)
        few = {n for n, role in separation.roles(ENGINES).items() if role == "long"}
        assert few < many

    def test_memory_is_kept_for_short_prompts(self):
        """Guard against long prompts that fill a shared engine's memory."""
        separation = Separation(RoutingSettings())
        assert separation.long_memory_tokens(400_000, "general") == 320_000
        assert separation.long_memory_tokens(400_000, "long") == 400_000
