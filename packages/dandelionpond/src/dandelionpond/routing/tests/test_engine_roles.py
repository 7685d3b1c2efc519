"""Tests of engine priorities and of engines reserved by prompt length."""

import pytest

from dandelionpond.routing.engine_roles import (
    URGENT_PRIORITY,
    RoleAssigner,
    engine_priority,
)
from dandelionpond.routing.settings import RoutingSettings

ENGINES = tuple(f"e{i}" for i in range(16))


class TestEnginePriority:
    @pytest.mark.parametrize("weight", [0.0, 0.3, 1.0])
    def test_shorter_is_never_later(self, weight):
        """A long prompt must not precede a short one unless its deadline is near."""
        policy = RoutingSettings(short_weight=weight)
        lengths = (1_000, 4_000, 8_000, 50_000, 200_000, 1_000_000)
        levels = [engine_priority(length, 1e6, 1.0, policy) for length in lengths]
        assert levels == sorted(levels)
        assert (levels[-1] > levels[0] + 1) == (weight > 0)

    def test_prompt_near_its_deadline_is_urgent(self):
        """A long prompt must not wait behind short ones past its deadline."""
        policy = RoutingSettings(short_weight=1.0)
        assert engine_priority(1_000_000, 149.0, 50.0, policy) == URGENT_PRIORITY
        assert engine_priority(1_000_000, 151.0, 50.0, policy) > URGENT_PRIORITY


class TestReservedEngines:
    def run_demand(self, assigner, demand, start, end):
        """Record this node's half of a demand, once a second from `start` to `end`.

        `demand` maps a prompt length to the number of engines that both nodes together
        keep busy with such prompts.
        """
        for second in range(start, end):
            for tokens, engines in demand.items():
                assigner.record_demand(tokens, engines * 10_000.0, float(second))
            assigner.tick(16, 2, 20_000.0, float(second))

    @pytest.mark.parametrize("kind", ["long", "short"])
    def test_reserved_engines_follow_lasting_demand(self, kind):
        """The number of reserved engines must follow the mix of prompt lengths."""
        policy = RoutingSettings(reserve_long=1.0, reserve_short=1.0)
        assigner = RoleAssigner(policy)
        tokens = 200_000 if kind == "long" else 1_000
        self.run_demand(assigner, {tokens: 4.0, 50_000: 8.0}, 0, 600)
        assert getattr(assigner, f"reserved_{kind}") == 4
        assert list(assigner.assign_roles(ENGINES).values()).count(kind) == 4
        self.run_demand(assigner, {50_000: 8.0}, 600, 1_500)
        assert getattr(assigner, f"reserved_{kind}") == 0

    def test_brief_peak_changes_nothing(self):
        """Roles must not change with each single long prompt."""
        assigner = RoleAssigner(RoutingSettings(reserve_long=1.0))
        self.run_demand(assigner, {200_000: 4.0}, 0, 600)
        self.run_demand(assigner, {200_000: 12.0}, 600, 610)
        self.run_demand(assigner, {200_000: 3.0}, 610, 625)
        assert assigner.reserved_long == 4

    def test_share_is_bounded_and_sets_are_nested(self):
        """Nodes with different demand must reserve nested sets of engines."""
        assigner = RoleAssigner(RoutingSettings(reserve_long=1.0))
        self.run_demand(assigner, {200_000: 15.0}, 0, 100)
        assert assigner.reserved_long == 8
        larger_set = {
            n for n, role in assigner.assign_roles(ENGINES).items() if role == "long"
        }
        self.run_demand(assigner, {200_000: 2.0}, 100, 900)
        smaller_set = {
            n for n, role in assigner.assign_roles(ENGINES).items() if role == "long"
        }
        assert smaller_set < larger_set

    def test_memory_is_kept_for_short_prompts(self):
        """Long prompts must not fill the memory of a shared engine."""
        assigner = RoleAssigner(RoutingSettings())
        assert assigner.long_prompt_memory_tokens(400_000, "general") == 320_000
        assert assigner.long_prompt_memory_tokens(400_000, "long") == 400_000
