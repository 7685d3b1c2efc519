"""Tests of placement while the version of a model changes."""

from random import Random

from dandelionpond.config.schema import EngineUpstream, FailureDomain, Model, Settings
from dandelionpond.routing.dispatcher import Dispatcher
from dandelionpond.routing.messages import (
    DispatchRequest,
    PlaceOnEngine,
    PlaceOnGroup,
    RefusePrompt,
)
from dandelionpond.routing.readiness import ModelReadiness


def make_dispatcher(capacity=10_000, engines=4):
    """Return a dispatcher whose engines all serve version 1 of the model."""
    upstreams = {
        f"e{index}": EngineUpstream(
            "d", "http://[::1]:1", ("m",), kv_capacity_tokens=capacity
        )
        for index in range(engines)
    }
    settings = Settings(
        failure_domains={"d": FailureDomain()},
        models={"m": Model("2", 1_000_000)},
        upstreams=upstreams,
    )
    dispatcher = Dispatcher("n", settings, Random(1))
    dispatcher.configure(settings, upstreams)
    for name in upstreams:
        dispatcher.set_ready_models(name, {"m": "1"}, 0.0)
    return dispatcher


def make_request(name, prompt=100, output=10):
    return DispatchRequest(name, "a", 1.0, "m", prompt, output, 600.0)


class TestReadiness:
    def test_unknown_engines_are_ready_and_loading_ones_are_not(self):
        """An engine must not be excluded because it does not report its models."""
        readiness = ModelReadiness()
        readiness.set_engines(("e",))
        assert readiness.is_ready("e", "m")
        readiness.record_report("e", {"m": "1"}, 0.0)
        assert (readiness.is_ready("e", "m"), readiness.served_version("e", "m")) == (
            True,
            "1",
        )
        readiness.record_report("e", {"k": "1"}, 0.0)
        assert not readiness.is_ready("e", "m")
        readiness.record_report("e", None, 0.0)
        assert readiness.is_ready("e", "m")

    def test_report_from_before_a_refusal_does_not_end_it(self):
        """A report requested before a refusal must not clear the refusal.

        A load report in transit showed the old version as ready again. A version change
        on four engines then caused 21 refused attempts instead of at most 12.
        """
        readiness = ModelReadiness()
        readiness.set_engines(("e", "unknown"))
        for name in ("e", "unknown"):
            readiness.record_refusal(name, "m", 2.0)
            readiness.record_report(name, {"m": "1"} if name == "e" else None, 1.9)
            assert not readiness.is_ready(name, "m")
            readiness.record_report(name, {"m": "2"} if name == "e" else None, 2.1)
            assert readiness.is_ready(name, "m")

    def test_engines_out_of_reach_are_not_kept(self):
        """The table must not grow with the fleet."""
        readiness = ModelReadiness()
        readiness.set_engines(("e",))
        readiness.record_report("x", {}, 0.0)
        readiness.record_report("e", {}, 0.0)
        readiness.set_engines(("x",))
        assert readiness.is_ready("x", "m")
        assert readiness.is_ready("e", "m")


class TestVersions:
    def test_an_answer_stays_with_one_version(self):
        """An answer must not resume on an engine with another version."""
        dispatcher = make_dispatcher()
        dispatcher.set_ready_models("e0", {"m": "2"}, 1.0)
        dispatcher.set_ready_models("e1", {"m": "2"}, 1.0)
        versions = set()
        for index in range(20):
            (action,) = dispatcher.submit(make_request(f"r{index}"), 0.0)
            assert isinstance(action, PlaceOnEngine)
            same = {"e0", "e1"} if action.version == "2" else {"e2", "e3"}
            assert {action.engine, *action.fallback_engines} <= same
            versions.add(action.version)
            dispatcher.finish(f"r{index}", 10, 0.1, 0.0)
        assert versions == {"1", "2"}
        assert 0 < dispatcher.counters["placed_on_other_version"] < 20

    def test_a_prompt_waits_while_every_engine_loads(self):
        """Prompts must not be sent to engines that are loading the model."""
        dispatcher = make_dispatcher()
        for name in dispatcher.engines:
            dispatcher.record_model_refusal(name, "m", 0.5)
        assert dispatcher.submit(make_request("r"), 0.0) == []
        dispatcher.set_ready_models("e3", {"m": "2"}, 1.0)
        (action,) = dispatcher.place_waiting(1.0)
        assert (action.engine, action.version, action.fallback_engines) == (
            "e3",
            "2",
            (),
        )

    def test_a_group_has_one_version(self):
        """The parts of a prompt must not run on two versions of a model."""
        dispatcher = make_dispatcher()
        dispatcher.set_ready_models("e1", {"m": "2"}, 1.0)
        (action,) = dispatcher.submit(make_request("r", 24_000), 0.0)
        assert isinstance(action, PlaceOnGroup)
        assert (action.version, action.engines) == ("1", ("e0", "e2", "e3"))


class TestGroupSize:
    def test_each_part_has_room_for_the_whole_answer(self):
        """The lead must not wait for memory for its answer while parts are reserved."""
        (action,) = make_dispatcher().submit(make_request("r", 21_000, 2_000), 0.0)
        assert isinstance(action, PlaceOnGroup)
        assert (len(action.engines), action.part_tokens) == (3, 9_000)

    def test_a_prompt_that_never_fits_is_refused_at_once(self):
        """A prompt must not wait for memory that does not exist."""
        (refusal,) = make_dispatcher(engines=3).submit(
            make_request("r", 21_000, 4_000), 0.0
        )
        assert isinstance(refusal, RefusePrompt)
        assert refusal.failure.kind == "insufficient_memory"
