"""Test the comparison of policies."""

import pytest

from dandelionpond.routing.settings import RoutingSettings
from dandelionpond_standins.bench.baselines import BASELINES
from dandelionpond_standins.bench.measures import (
    jain_index,
    max_min_fair_shares,
    median_and_range,
)
from dandelionpond_standins.bench.runs import Job, run_job
from dandelionpond_standins.bench.workload import (
    DEPLOYMENTS,
    LONG_PROMPT_TOKENS,
    engine_time_s,
    generate_arrivals,
    length_range,
)
from dandelionpond_standins.engine_model import EngineModel, EngineSpec, ModelRequest
from dandelionpond_standins.routing_bench import Case, run

SPEC = EngineSpec()


class TestWorkload:
    def test_same_seed_gives_the_same_arrivals(self):
        """Guard against policies that are compared on different work."""
        first, second = (
            generate_arrivals(DEPLOYMENTS[0], SPEC, 0.8, 60.0, 7) for _ in range(2)
        )
        assert first == second
        assert first != generate_arrivals(DEPLOYMENTS[0], SPEC, 0.8, 60.0, 8)

    def test_load_and_lengths_are_as_stated(self):
        """Guard against a load that is not the stated share of capacity."""
        arrivals = generate_arrivals(DEPLOYMENTS[0], SPEC, 0.8, 20_000.0, 1)
        work = sum(engine_time_s(SPEC, a.prompt_tokens, a.max_tokens) for a in arrivals)
        assert work / 20_000.0 / 16 == pytest.approx(0.8, rel=0.03)
        longs = sum(a.prompt_tokens > LONG_PROMPT_TOKENS for a in arrivals)
        assert longs / len(arrivals) == pytest.approx(0.02, rel=0.05)
        assert {length_range(n) for n in (1_000, 4_000)} == {"1k-4k"}
        assert length_range(100_001) == "100k-400k"


class TestMeasures:
    def test_fairness(self):
        """Guard against a fairness index that hides a starved account."""
        assert jain_index([1.0, 1.0, 1.0]) == pytest.approx(1.0)
        assert jain_index([1.0, 0.0, 0.0]) == pytest.approx(1 / 3)
        parts = max_min_fair_shares({"a": 1.0, "b": 9.0, "c": 5.0}, 9.0)
        assert parts == {"a": 1.0, "b": 4.0, "c": 4.0}

    def test_missing_seed_gives_no_figure(self):
        """Guard against a median over the seeds that happened to work."""
        assert median_and_range([1.0, None]) is None
        assert median_and_range([1.0, 3.0, 2.0]) == {
            "median": 2.0,
            "min": 1.0,
            "max": 3.0,
        }


class TestRuns:
    @pytest.mark.parametrize("policy", ["ours", *BASELINES])
    def test_light_load_is_served_whole(self, policy):
        """Guard against a policy that loses requests in the experiment."""
        job = Job(DEPLOYMENTS[0], policy, 0.3, 1, 60.0)
        figures = run_job(job)
        assert figures["refused_share"] == figures["late_share"] == 0.0
        assert figures["long_completed_share"] == 1.0
        assert run_job(job) == figures


class TestSpread:
    def test_ours_follows_the_load(self):
        """Guard against choices that pile up on one lagging report."""
        case = Case(5, 5, 2.0)
        ours = run(case, "ours", RoutingSettings())
        assert ours["decisions"] == pytest.approx(210, abs=5)
        assert ours["max_over_mean"] < 2.0


class TestEngineModelForGroups:
    def test_reserved_memory_goes_to_the_request_that_reserved_it(self):
        """Guard against another waiting request that takes released memory."""
        engine = EngineModel(EngineSpec(kv_capacity_tokens=10_000), 1)
        assert engine.reserve("r", "n", 8_000, 60.0, 0.0)
        engine.submit(ModelRequest("first", "n", "m", 5_000), 0.0)
        engine.submit(
            ModelRequest("mine", "n", "m", 7_000, priority=9, reservation="r"), 0.0
        )
        held = {one.holding_id: one.tokens for one in engine.holdings(0.0)}
        assert held["mine"] == 7_016
        assert held["first"] == 0

    def test_report_splits_the_queue_by_priority(self):
        """Guard against a split that differs from the total."""
        engine = EngineModel(EngineSpec(report_lag_s=0.0), 1)
        for index in range(4):
            request = ModelRequest(str(index), "n", "m", 5_000, priority=index % 2)
            engine.submit(request, 0.0)
        for now in (0.0, 0.3, 0.7):
            engine.advance(now)
            report = engine.load(now)
            assert (
                sum(report.queued_by_priority.values()) == report.queued_prefill_tokens
            )
        engine.cancel("3", 0.7)
        engine.advance(60.0)
        assert engine.load(60.0).queued_by_priority == {}
