"""Tests of the input and the outcome of routing decisions."""

import random

import pytest

from dandelionpond.decisions import REGISTRY, ROUTE
from dandelionpond.record.recorder import Recorder
from dandelionpond.record.replay import replay
from dandelionpond.record.settings import RecordSettings
from dandelionpond.routing.choice import choose_engine
from dandelionpond.routing.load import EngineCapacity, LoadReport
from dandelionpond.routing.router import Router
from dandelionpond.routing.settings import RoutingSettings

ENGINES = ("a", "b", "c", "d")


def make_router():
    router = Router(
        RoutingSettings(), random.Random(1), lambda queue, rate, waited: True
    )
    router.set_engines(
        dict.fromkeys(ENGINES, EngineCapacity(400_000, 20_000.0, 2_000.0))
    )
    for name in ENGINES:
        router.record_load_report(LoadReport(name, 0.0, {}, 0), 0.0)
    return router


class TestRouter:
    def test_recorded_input_repeats_the_choice(self):
        """A choice must be repeatable from its recorded input alone."""
        router = make_router()
        for index in range(20):
            request = router.build_request(str(index), 5_000, 100, 60.0)
            choice, route_input = router.route(request, (1, 2), 0.1)
            assert (
                choose_engine(
                    *(
                        getattr(route_input, field)
                        for field in route_input.__struct_fields__
                    )
                )
                == choice
            )
            router.record_sent(route_input, choice.engine, choice.ttft_s, (1, 2), 0.1)
        assert sum(router.loads.outstanding_tokens(name) for name in ENGINES) > 50_000

    def test_follows_a_sent_prefix(self):
        """A cached prefix must not be computed again on another engine."""
        router = make_router()
        hashes = tuple(range(100))
        request = router.build_request("x", 30_000, 100, 60.0)
        choice, route_input = router.route(request, hashes, 0.1)
        router.record_sent(route_input, choice.engine, choice.ttft_s, hashes, 0.1)
        router.record_first_token("x", choice.engine, 1.6)
        router.record_finished("x", 1.7)
        second, _ = router.route(
            router.build_request("y", 30_000, 100, 60.0), hashes, 2.0
        )
        assert second.engine == choice.engine
        assert second.ttft_s == pytest.approx(4_400 / 20_000, rel=0.1)

    def test_each_engine_has_one_home(self):
        """Two nodes must not both prefer the same engine."""
        nodes = ("n0", "n1", "n2")
        homes = []
        for node in nodes:
            router = make_router()
            router.set_nodes(node, nodes)
            request = router.build_request("x", 1_000, 10, 60.0)
            candidates = router.build_candidates(request, (), 0.1, 0.0)
            homes += [candidate.engine for candidate in candidates if candidate.is_home]
        assert sorted(homes) == list(ENGINES)

    def test_prompt_that_fills_an_engine_needs_a_group(self):
        """A single prompt must not use the memory that other prompts need."""
        router = make_router()
        assert not router.needs_group(router.build_request("x", 300_000, 100, 60.0))
        large = router.build_request("y", 390_000, 100, 60.0)
        assert router.needs_group(large)
        assert len(router.route_group(large, 0.1, 3)) == 3

    def test_ejected_and_leaving_engines_are_refused(self):
        """An ejected or leaving engine must not be chosen."""
        router = make_router()
        for index in range(10):
            router.record_failure(str(index), "a", 0.1)
            for name in "bcd":
                router.record_first_token(str(index), name, 0.1)
        router.tick(0.2)
        assert router.outliers.ejected == {"a"}
        request = router.build_request("x", 1_000, 10, 60.0)
        chosen = {router.route(request, (), 0.3)[0].engine for _ in range(50)}
        assert chosen == {"b", "c", "d"}
        router.set_membership_state("b", "leaving")
        chosen = {router.route(request, (), 0.3)[0].engine for _ in range(50)}
        assert chosen == {"c", "d"}

    def test_choice_beside_an_engine_without_a_report_is_replayed(self):
        """A choice beside an engine without a report must be replayed.

        An infinite report age would become null in JSON, which cannot be replayed.
        """
        router = Router(RoutingSettings(), random.Random(1), lambda *_: True)
        capacity = EngineCapacity(100_000, 1_000.0, 100.0)
        router.set_engines({"e1": capacity, "e2": capacity})
        router.record_load_report(LoadReport("e1", 0.0, {}, 0.0), now=1.0)
        request = router.build_request("r", 10, 1, 60.0)
        choice, route_input = router.route(request, (), now=1.0)
        assert choice.engine == "e1"
        recorder = Recorder(RecordSettings(), "1")
        recorder.record(ROUTE, route_input, choice, 0.0, "digest")
        report = replay(recorder.lines(), REGISTRY, "1")
        assert report.is_clean, report.differences
