"""Test recording and replay."""

import msgspec
import pytest

from dandelionpond.record.recorder import Recorder
from dandelionpond.record.registry import Registry
from dandelionpond.record.replay import replay
from dandelionpond.record.settings import RecordSettings


class Ask(msgspec.Struct, frozen=True):
    tokens: int
    names: tuple[str, ...] = ("a", "b")


class Choice(msgspec.Struct, frozen=True):
    name: str
    scores: tuple[float, ...] = (0.5, 1.0)


class Private(msgspec.Struct, frozen=True):
    inner: dict[str, "Prompted"]


class Prompted(msgspec.Struct, frozen=True):
    prompt: str


def choose(ask):
    return Choice(ask.names[ask.tokens % 2])


def registry(function=choose):
    known = Registry()
    return known, known.register("routing", "choose", Ask, Choice, function)


def recorded(count=4, function=choose, **settings):
    decision = registry()[1]
    recorder = Recorder(RecordSettings(**settings), "1.0")
    for tokens in range(count):
        recorder.record(decision, Ask(tokens), function(Ask(tokens)), 1.5, "d1")
    return recorder


class TestRecorder:
    def test_ring_and_buffers_are_bounded(self):
        """Guard against records that fill the memory."""
        decision = registry()[1]
        recorder = Recorder(
            RecordSettings(ring_size=3, subscriber_buffer=2, max_subscribers=1), "1.0"
        )
        reader = recorder.subscribe()
        assert recorder.subscribe() is None
        for tokens in range(5):
            recorder.record(decision, Ask(tokens), Choice("a"), 0.0, "d1")
        assert (len(recorder), recorder.dropped, reader.dropped) == (3, 2, 3)
        assert [msgspec.json.decode(line)["seq"] for line in reader.take()] == [4, 5]
        assert reader.take() == []

    def test_long_text_is_left_out(self):
        """Guard against prompt text that leaves the node in a record."""
        decision = registry()[1]
        recorder = Recorder(RecordSettings(), "1.0")
        recorder.record(decision, Ask(1, ("x" * 600,)), Choice("a"), 0.0, "d1")
        assert recorder.lines() == []
        assert recorder.refused == 1


class TestRegistry:
    @pytest.mark.parametrize("kind", [Private, Prompted, bytes, list[Prompted] | None])
    def test_private_types_are_refused(self, kind):
        """Guard against a decision whose input holds a key or a prompt."""
        with pytest.raises(ValueError, match=r"routing\.choose"):
            Registry().register("routing", "choose", kind, Choice, choose)

    def test_second_registration_is_refused(self):
        """Guard against a name that replays another function."""
        known, _ = registry()
        with pytest.raises(ValueError, match="already"):
            known.register("routing", "choose", Ask, Choice, choose)


class TestReplay:
    def test_same_decisions_are_clean(self):
        """Guard against differences that come from the encoding alone."""
        report = replay(recorded().lines(), registry()[0], "1.0", "d1")
        assert report.is_clean
        assert report.same == 4

    def test_first_difference_is_shown(self):
        """Guard against a changed rule that replay does not notice."""
        changed = registry(lambda ask: Choice("b", (0.5, 2.0)))[0]
        lines = recorded().lines()
        report = replay(lines, changed, "1.0")
        assert (report.same, report.different) == (0, 4)
        first = report.differences[0]
        assert (first.seq, first.path) == (1, "$.name")
        assert (first.recorded, first.decided) == ('"a"', '"b"')
        assert report.differences[1].path == "$.scores[1]"
        assert report.detail == lines[0].decode()

    def test_failing_decision_is_a_difference(self):
        """Guard against a replay that ends at the first exception."""
        report = replay(recorded().lines(), registry(lambda ask: 1 / 0)[0], "1.0")
        assert report.different == 4
        assert "ZeroDivisionError" in report.differences[0].decided

    def test_other_versions_decisions_settings_and_lines_are_named(self):
        """Guard against records that are skipped without a word."""
        lines = recorded().lines()
        assert replay(lines, registry()[0], "2.0").other_versions == {"1.0": 4}
        unknown = replay(lines, Registry(), "1.0").unknown_decisions
        assert unknown == {"routing.choose": 4}
        other = replay(lines, registry()[0], "1.0", "d2")
        assert other.other_settings == {"d1": 4}
        assert not other.is_clean
        assert len(replay([b"{", *lines], registry()[0], "1.0").invalid) == 1
