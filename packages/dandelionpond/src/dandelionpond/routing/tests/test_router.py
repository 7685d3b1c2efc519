"""Test the assembly of the input of a choice."""

import random

from dandelionpond.decisions import REGISTRY, ROUTE
from dandelionpond.record.recorder import Recorder
from dandelionpond.record.replay import replay
from dandelionpond.record.settings import RecordSettings
from dandelionpond.routing.load import EngineTraits, LoadReport
from dandelionpond.routing.router import Router
from dandelionpond.routing.settings import RoutingSettings


class TestRouter:
    def test_choice_beside_an_engine_without_a_report_is_replayed(self):
        """Guard against a recorded value that JSON turns into null."""
        router = Router(RoutingSettings(), random.Random(1), lambda *_: True)
        traits = EngineTraits(100_000, 1_000.0, 100.0)
        router.set_reach({"e1": traits, "e2": traits})
        router.report(LoadReport("e1", 0.0, {}, 0.0), now=1.0)
        request = router.request("r", 10, 1, 60.0)
        choice, made = router.route(request, (), now=1.0)
        assert choice.engine == "e1"
        recorder = Recorder(RecordSettings(), "1")
        recorder.record(ROUTE, made, choice, 0.0, "digest")
        report = replay(recorder.lines(), REGISTRY, "1")
        assert report.is_clean, report.differences
