"""Test placement on the arrivals of heavy days, in the time of a replay.

The days are arrivals that nodes logged; engines work by the published passes. Bounds
are the counts that the bench showed for these arrivals, or better.
"""

import pytest

from dandelionpond.published.messages import EngineCostModel
from dandelionpond_standins.load_replay.engines import (
    DecodeStream,
    PrefillPart,
    SimulatedEngine,
)
from dandelionpond_standins.load_replay.replay import (
    Replay,
    forced_loss,
    load_trace,
    measure,
)

MODEL = EngineCostModel(8, 315_000, 51, 0.00085, 0.0, 0.0, 177_000.0, 0.0)


class Clock:
    """Perform actions in their order."""

    def __init__(self):
        self.now = 0.0
        self.waiting = []

    def call_later(self, delay_s, action):
        self.waiting.append((self.now + delay_s, action))

    def run(self):
        while self.waiting:
            self.waiting.sort(key=lambda one: one[0])
            self.now, action = self.waiting.pop(0)
            action()


class TestPassEngine:
    def test_newest_part_is_read_first(self):
        """Guard against a replay that hides what overtaking costs."""
        clock, done = Clock(), []
        engine = SimulatedEngine(MODEL, clock.call_later)
        engine.start_prefill(
            PrefillPart(177_000, 1.0, lambda: done.append(("old", clock.now)))
        )
        clock.call_later(
            0.5,
            lambda: engine.start_prefill(
                PrefillPart(88_500, 0.5, lambda: done.append(("new", clock.now)))
            ),
        )
        clock.run()
        assert [name for name, _ in done] == ["new", "old"]
        assert done[0][1] == pytest.approx(1.05, abs=0.06)
        assert done[1][1] == pytest.approx(1.6, abs=0.06)

    def test_reading_delays_the_next_event(self):
        """Guard against a replay without pauses between events."""
        clock, events = Clock(), []
        engine = SimulatedEngine(MODEL, clock.call_later)
        engine.start_decode(
            DecodeStream(3, 100, lambda is_last: events.append(clock.now))
        )
        clock.call_later(
            0.01, lambda: engine.start_prefill(PrefillPart(88_500, 0.5, lambda: None))
        )
        clock.run()
        gaps = [events[0], events[1] - events[0], events[2] - events[1]]
        assert gaps == pytest.approx([0.043, 0.543, 0.043], abs=0.002)


class TestGiantPromptsWithinSeconds:
    def test_all_but_the_largest_are_in_time(self):
        """Guard against long prompts that overtake or wait for each other.

        Seven prompts of 140,000 to 460,000 tokens arrive in three seconds.
        """
        trace = load_trace("brambilla-calm")
        found = measure(trace, Replay(trace).run())
        assert found["kinds"]["long"]["in_time"] >= 28
        assert found["kinds"]["long"]["refused"] == 0
        assert found["kinds"]["middle"]["in_time"] >= 24
        assert found["kinds"]["short"]["in_time"] >= 518
        assert found["worst_window"]["served"] > 0.6


class TestBurstsOfAllKinds:
    def test_short_prompts_keep_their_pauses(self):
        """Guard against long prompts that are read where short answers are written."""
        trace = load_trace("mwambao-bursts")
        found = measure(trace, Replay(trace).run())
        assert found["kinds"]["short"]["in_time"] >= 0.95 * 567
        assert found["kinds"]["long"]["in_time"] >= 25
        assert found["served"] > 0.95

    def test_picture_without_delay_gains_little(self):
        """Guard against news so late that nodes pile up on the same engines."""
        trace = load_trace("mwambao-bursts")
        delayed = measure(trace, Replay(trace).run())["served"]
        at_once = measure(trace, Replay(trace, network_delay_s=0.0).run())["served"]
        assert delayed > at_once - 0.02


class TestForcedLoss:
    def test_engines_have_the_time_for_these_days(self):
        """Guard against an excuse: what is lost here is lost by choice."""
        for name in ("brambilla-calm", "mwambao-bursts"):
            assert forced_loss(load_trace(name)) == 0.0
