"""Test the engines that a placed prompt may move to."""

from random import Random

from dandelionpond.config.schema import EngineUpstream, Settings
from dandelionpond.routing.dispatcher import Dispatcher
from dandelionpond.routing.load import LoadReport
from dandelionpond.routing.messages import DispatchRequest, PlaceOnEngine


class TestReplacements:
    def test_engines_out_of_touch_come_last(self):
        """Guard against a prompt that spends its attempts on unreachable engines."""
        engines = {
            name: EngineUpstream("d", "http://127.0.0.1:1", ("m",))
            for name in ("a", "b", "far-1", "far-2")
        }
        dispatcher = Dispatcher("n", Settings(), Random(1))
        dispatcher.configure(Settings(), engines)
        for name, at, queued in (
            ("far-1", 0.0, 0.0),
            ("far-2", 0.0, 0.0),
            ("a", 100.0, 4_000.0),
            ("b", 100.0, 4_000.0),
        ):
            report = LoadReport(name, 0.0, {0: queued}, 0.0, 0)
            dispatcher.router.record_load_report(report, at)
        work = DispatchRequest("r", "acme", 1.0, "m", 200, 8, 160.0)
        [place] = dispatcher.submit(work, 100.0)
        assert isinstance(place, PlaceOnEngine)
        assert {place.engine, place.fallback_engines[0]} == {"a", "b"}
        assert set(place.fallback_engines[1:]) == {"far-1", "far-2"}

    def test_own_failure_domain_comes_first(self):
        """Guard against attempts that all go to the other side of a new partition."""
        engines = {
            name: EngineUpstream(domain, "http://127.0.0.1:1", ("m",))
            for name, domain in (("a", "d"), ("b", "d"), ("far-1", "e"), ("far-2", "f"))
        }
        dispatcher = Dispatcher("n", Settings(), Random(1), "d")
        dispatcher.configure(Settings(), engines)
        for name, queued in (("a", 9_000.0), ("b", 9_000.0), ("far-1", 0.0)):
            report = LoadReport(name, 0.0, {0: queued}, 0.0, 0)
            dispatcher.router.record_load_report(report, 100.0)
        dispatcher.router.record_load_report(
            LoadReport("far-2", 0.0, {0: 0.0}, 0.0, 0), 100.0
        )
        found = dispatcher.submit(
            DispatchRequest("r", "acme", 1.0, "m", 200, 8, 160.0), 100.0
        )
        [place] = found
        near = [name for name in ("a", "b") if name != place.engine]
        assert sorted(place.fallback_engines[: len(near)]) == near
