"""Test the assembly of a choice's input."""

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


def router():
    made = Router(RoutingSettings(), random.Random(1), lambda queue, rate, waited: True)
    made.set_engines(dict.fromkeys(ENGINES, EngineCapacity(400_000, 20_000.0, 2_000.0)))
    for name in ENGINES:
        made.record_load_report(LoadReport(name, 0.0, {}, 0), 0.0)
    return made


class TestRouter:
    def test_recorded_input_repeats_the_choice(self):
        """Guard against a record that lacks a part of the input."""
        routes = router()
        for index in range(20):
            request = routes.build_request(str(index), 5_000, 100, 60.0)
            choice, made = routes.route(request, (1, 2), 0.1)
            assert (
                choose_engine(*(getattr(made, f) for f in made.__struct_fields__))
                == choice
            )
            routes.record_sent(made, choice.engine, choice.ttft_s, (1, 2), 0.1)
        assert sum(routes.loads.outstanding_tokens(name) for name in ENGINES) > 50_000

    def test_follows_a_sent_prefix(self):
        """Guard against a cached prefix that is computed again elsewhere."""
        routes = router()
        hashes = tuple(range(100))
        request = routes.build_request("x", 30_000, 100, 60.0)
        choice, made = routes.route(request, hashes, 0.1)
        routes.record_sent(made, choice.engine, choice.ttft_s, hashes, 0.1)
        routes.record_first_token("x", choice.engine, 1.6)
        routes.record_finished("x", 1.7)
        second, _ = routes.route(
            routes.build_request("y", 30_000, 100, 60.0), hashes, 2.0
        )
        assert second.engine == choice.engine
        assert second.ttft_s == pytest.approx(4_400 / 20_000, rel=0.1)

    def test_each_engine_has_one_home(self):
        """Guard against two nodes that both prefer one engine."""
        nodes = ("n0", "n1", "n2")
        homes = []
        for node in nodes:
            routes = router()
            routes.set_nodes(node, nodes)
            request = routes.build_request("x", 1_000, 10, 60.0)
            found = routes.build_candidates(request, (), 0.1, 0.0)
            homes += [one.engine for one in found if one.is_home]
        assert sorted(homes) == list(ENGINES)

    def test_prompt_that_fills_an_engine_needs_a_group(self):
        """Guard against one prompt that leaves no memory for all others."""
        routes = router()
        assert not routes.needs_group(routes.build_request("x", 300_000, 100, 60.0))
        large = routes.build_request("y", 390_000, 100, 60.0)
        assert routes.needs_group(large)
        assert len(routes.route_group(large, 0.1, 3)) == 3

    def test_failing_engine_is_refused(self):
        """Guard against an ejection that the choice does not see."""
        routes = router()
        for index in range(10):
            routes.record_failure(str(index), "a", 0.1)
            for name in "bcd":
                routes.record_first_token(str(index), name, 0.1)
        routes.tick(0.2)
        assert routes.outliers.ejected == {"a"}
        request = routes.build_request("x", 1_000, 10, 60.0)
        chosen = {routes.route(request, (), 0.3)[0].engine for _ in range(50)}
        assert chosen == {"b", "c", "d"}
        routes.set_membership_state("b", "leaving")
        chosen = {routes.route(request, (), 0.3)[0].engine for _ in range(50)}
        assert chosen == {"c", "d"}

    def test_choice_beside_an_engine_without_a_report_is_replayed(self):
        """Guard against a recorded value that JSON turns into null."""
        router = Router(RoutingSettings(), random.Random(1), lambda *_: True)
        traits = EngineCapacity(100_000, 1_000.0, 100.0)
        router.set_engines({"e1": traits, "e2": traits})
        router.record_load_report(LoadReport("e1", 0.0, {}, 0.0), now=1.0)
        request = router.build_request("r", 10, 1, 60.0)
        choice, made = router.route(request, (), now=1.0)
        assert choice.engine == "e1"
        recorder = Recorder(RecordSettings(), "1")
        recorder.record(ROUTE, made, choice, 0.0, "digest")
        report = replay(recorder.lines(), REGISTRY, "1")
        assert report.is_clean, report.differences
