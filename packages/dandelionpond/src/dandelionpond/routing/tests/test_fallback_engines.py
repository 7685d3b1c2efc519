"""Tests of the engines that a placed prompt may be retried on."""

from random import Random

from dandelionpond.config.schema import EngineUpstream, Settings
from dandelionpond.routing.dispatcher import Dispatcher
from dandelionpond.routing.load import LoadReport
from dandelionpond.routing.messages import DispatchRequest, PlaceOnEngine


class TestFallbackEngines:
    def test_engines_with_stale_reports_come_last(self):
        """A prompt must not spend its attempts on unreachable engines."""
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
        request = DispatchRequest("r", "acme", 1.0, "m", 200, 8, 160.0)
        [place] = dispatcher.submit(request, 100.0)
        assert isinstance(place, PlaceOnEngine)
        assert {place.engine, place.fallback_engines[0]} == {"a", "b"}
        assert set(place.fallback_engines[1:]) == {"far-1", "far-2"}

    def test_own_failure_domain_comes_first(self):
        """Attempts must not all go to the other side of a new partition."""
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
        actions = dispatcher.submit(
            DispatchRequest("r", "acme", 1.0, "m", 200, 8, 160.0), 100.0
        )
        [place] = actions
        near = [name for name in ("a", "b") if name != place.engine]
        assert sorted(place.fallback_engines[: len(near)]) == near
