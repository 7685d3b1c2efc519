"""Test the choice of an engine."""

import msgspec
import pytest

from dandelionpond.routing.choice import (
    MAX_CANDIDATES,
    Candidate,
    RefusedCandidate,
    RouteRequest,
    choose_engine,
    choose_engine_group,
)
from dandelionpond.routing.settings import RoutingSettings

POLICY = RoutingSettings()
REQUEST = RouteRequest("r", 1_000, 100, 60.0)
LONG = RouteRequest("l", 200_000, 100, 600.0)


def engine(name="a", **changes):
    fields = {
        "queue_tokens": 0.0,
        "free_tokens": 400_000.0,
        "capacity_tokens": 400_000,
        "prefill_tokens_per_s": 20_000.0,
    }
    return Candidate(name, **{**fields, **changes})


class TestChoose:
    @pytest.mark.parametrize(
        ("changes", "reason"),
        [
            ({"state": "leaving"}, "leaving"),
            ({"state": "gone"}, "gone"),
            ({"state": "ejected"}, "ejected"),
            ({"state": "suspect"}, "suspect"),
            ({"capacity_tokens": 1_000}, "prompt_too_large"),
            ({"free_tokens": 1_099.0}, "insufficient_memory"),
            ({"window_open": False}, "window_full"),
            ({"queue_tokens": 1_200_000.0}, "deadline"),
            ({"queue_tokens": 1_000.0}, "slower"),
            ({"queue_tokens": 10.0}, "not_drawn"),
            ({"report_age_s": 5.1}, "stale_report"),
            ({"role": "long"}, "reserved"),
        ],
    )
    def test_names_the_reason_of_each_refusal(self, changes, reason):
        """Guard against an unusable engine that is chosen or refused silently."""
        outcomes = {
            choose_engine(
                REQUEST, (engine("bad", **changes), engine("good")), POLICY, seed
            )
            for seed in range(20)
        }
        refusals = {out.refused for out in outcomes if out.engine == "good"}
        assert refusals == {(RefusedCandidate("bad", reason),)}
        if reason != "not_drawn":
            assert {out.engine for out in outcomes} == {"good"}

    @pytest.mark.parametrize(
        "changes", [{"state": "suspect"}, {"report_age_s": 60.0}, {"role": "long"}]
    )
    def test_doubtful_engine_is_used_when_none_else_remains(self, changes):
        """Guard against refusing all work when every report is stale."""
        choice = choose_engine(REQUEST, (engine("a", **changes),), POLICY, 1)
        assert choice.engine == "a"

    @pytest.mark.parametrize(
        ("request_", "role", "chosen"),
        [
            (REQUEST, "short", "other"),
            (REQUEST, "long", "general"),
            (LONG, "short", "general"),
            (LONG, "long", "other"),
        ],
    )
    def test_reserved_engine_takes_only_its_length(self, request_, role, chosen):
        """Guard against a long prompt on an engine kept for short ones."""
        candidates = (engine("other", role=role), engine("general", queue_tokens=1e5))
        assert choose_engine(request_, candidates, POLICY, 3).engine == chosen

    @pytest.mark.parametrize(
        ("cached", "queue", "chosen"),
        [(800.0, 500.0, "cached"), (800.0, 5_000.0, "empty")],
    )
    def test_prefix_is_followed_only_if_it_saves_time(self, cached, queue, chosen):
        """Guard against a hot prefix that overloads the engine that holds it."""
        candidates = (
            engine("cached", cached_tokens=cached, queue_tokens=queue),
            engine("empty"),
        )
        policy = RoutingSettings(near_equal_share=0.0, near_equal_s=0.0)
        assert choose_engine(REQUEST, candidates, policy, 5).engine == chosen

    def test_reservation_holds_while_others_are_only_full(self):
        """Guard against short prompts that meet longer ones on their own engine."""
        medium = RouteRequest("m", 20_000, 100, 60.0)
        candidates = (engine("full", window_open=False), engine("own", role="short"))
        assert choose_engine(medium, candidates, POLICY, 1).engine is None
        assert choose_engine(medium, candidates[1:], POLICY, 1).engine == "own"

    def test_delay_of_others_counts(self):
        """Guard against a prompt that holds up a longer one beside an idle engine."""
        medium = RouteRequest("m", 20_000, 100, 60.0)
        candidates = (engine("busy", later_tokens=90_000.0), engine("idle"))
        chosen = {
            choose_engine(medium, candidates, POLICY, seed).engine for seed in range(20)
        }
        assert chosen == {"idle"}

    def test_home_engine_is_drawn_more_often(self):
        """Guard against nodes that meet on the one engine that looks idle to all."""
        candidates = (engine("home", is_home=True), engine("away"))
        drawn = [
            choose_engine(REQUEST, candidates, POLICY, seed).engine
            for seed in range(900)
        ]
        assert drawn.count("home") > 6 * drawn.count("away") > 0

    def test_outcome_survives_a_recorded_input(self):
        """Guard against a decision that a replay cannot repeat."""
        candidates = tuple(engine(f"e{i}", queue_tokens=i * 50.0) for i in range(32))
        for seed in range(20):
            first = choose_engine(REQUEST, candidates, POLICY, seed)
            text = msgspec.json.encode((REQUEST, candidates, POLICY, seed))
            types = tuple[RouteRequest, tuple[Candidate, ...], RoutingSettings, int]
            assert choose_engine(*msgspec.json.decode(text, type=types)) == first
            assert len(first.refused) == 31

    def test_candidates_beyond_the_limit_are_refused(self):
        """Guard against a decision whose cost and record grow with the fleet."""
        candidates = tuple(engine(f"e{i}") for i in range(MAX_CANDIDATES + 3))
        choice = choose_engine(REQUEST, candidates, POLICY, 1)
        over = [one for one in choice.refused if one.reason == "over_candidate_limit"]
        assert len(over) == 3

    def test_equal_engines_are_drawn_evenly(self):
        """Guard against nodes that all pick the same engine on one report."""
        candidates = tuple(engine(f"e{i}") for i in range(10))
        counts = dict.fromkeys((one.engine for one in candidates), 0)
        for seed in range(2_000):
            counts[choose_engine(REQUEST, candidates, POLICY, seed).engine] += 1
        assert max(counts.values()) < 1.4 * 200

    def test_returning_engine_is_drawn_less_often(self):
        """Guard against a full load on an engine with cold caches."""
        candidates = (engine("new", start_share=0.1), engine("old"))
        count = sum(
            choose_engine(REQUEST, candidates, POLICY, seed).engine == "new"
            for seed in range(1_000)
        )
        assert 0 < count < 100

    def test_without_an_engine_the_passing_estimate_remains(self):
        """Guard against a refusal without a time for Retry-After."""
        blocked = choose_engine(REQUEST, (engine(window_open=False),), POLICY, 1)
        assert blocked.engine is None
        assert blocked.ttft_s == pytest.approx(0.05)
        gone = choose_engine(REQUEST, (engine(state="gone"),), POLICY, 1)
        assert gone.ttft_s == float("inf")
        assert choose_engine(REQUEST, (), POLICY, 1).engine is None


class TestChooseGroup:
    @pytest.mark.parametrize(
        ("prompt", "free", "size"),
        [(900_000, 400_000, 3), (900_000, 250_000, 4), (900_000, 100_000, 0)],
    )
    def test_smallest_group_with_room_for_equal_parts(self, prompt, free, size):
        """Guard against a group that cannot hold the prompt."""
        candidates = tuple(
            engine(f"e{i}", free_tokens=float(free)) for i in range(5, 0, -1)
        )
        group = choose_engine_group(RouteRequest("g", prompt, 0, 60.0), candidates, 3)
        assert len(group) == size
        assert list(group) == sorted(group)

    def test_engines_for_short_prompts_take_no_part(self):
        """Guard against a part of a long prompt in front of short ones."""
        candidates = tuple(
            engine(f"e{i}", role="short" if i < 2 else "general") for i in range(5)
        )
        group = choose_engine_group(RouteRequest("g", 900_000, 0, 60.0), candidates, 3)
        assert group == ("e2", "e3", "e4")
