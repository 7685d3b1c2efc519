"""Tests of recording and replay."""

import msgspec
import pytest

from dandelionpond.record.recorder import Recorder
from dandelionpond.record.registry import Registry
from dandelionpond.record.replay import replay
from dandelionpond.record.settings import RecordSettings


class ChoiceInput(msgspec.Struct, frozen=True):
    tokens: int
    names: tuple[str, ...] = ("a", "b")


class Choice(msgspec.Struct, frozen=True):
    name: str
    scores: tuple[float, ...] = (0.5, 1.0)


class NestedPromptInput(msgspec.Struct, frozen=True):
    inner: dict[str, "PromptInput"]


class PromptInput(msgspec.Struct, frozen=True):
    prompt: str


def choose(choice_input):
    return Choice(choice_input.names[choice_input.tokens % 2])


def make_registry(function=choose):
    registry = Registry()
    return registry, registry.register(
        "routing", "choose", ChoiceInput, Choice, function
    )


def make_recorder(count=4, function=choose, **settings):
    decision = make_registry()[1]
    recorder = Recorder(RecordSettings(**settings), "1.0")
    for tokens in range(count):
        recorder.record(
            decision, ChoiceInput(tokens), function(ChoiceInput(tokens)), 1.5, "d1"
        )
    return recorder


class TestRecorder:
    def test_ring_and_buffers_are_bounded(self):
        """Guard against records that pile up in the ring or for a slow reader."""
        decision = make_registry()[1]
        recorder = Recorder(
            RecordSettings(ring_size=3, subscriber_buffer=2, max_subscribers=1), "1.0"
        )
        reader = recorder.subscribe()
        assert recorder.subscribe() is None
        for tokens in range(5):
            recorder.record(decision, ChoiceInput(tokens), Choice("a"), 0.0, "d1")
        assert (len(recorder), recorder.dropped, reader.dropped) == (3, 2, 3)
        assert [msgspec.json.decode(line)["seq"] for line in reader.take()] == [4, 5]
        assert reader.take() == []

    def test_long_text_is_left_out(self):
        """Guard against prompt text that leaves the node in a record."""
        decision = make_registry()[1]
        recorder = Recorder(RecordSettings(), "1.0")
        recorder.record(decision, ChoiceInput(1, ("x" * 600,)), Choice("a"), 0.0, "d1")
        assert recorder.lines() == []
        assert recorder.skipped == 1


class TestRegistry:
    @pytest.mark.parametrize(
        "input_type", [NestedPromptInput, PromptInput, bytes, list[PromptInput] | None]
    )
    def test_types_with_secrets_are_refused(self, input_type):
        """Guard against a decision whose input contains a key or a prompt."""
        with pytest.raises(ValueError, match=r"routing\.choose"):
            Registry().register("routing", "choose", input_type, Choice, choose)

    def test_second_registration_is_refused(self):
        """Guard against replaying a decision with another function of the same name."""
        registry, _ = make_registry()
        with pytest.raises(ValueError, match="already"):
            registry.register("routing", "choose", ChoiceInput, Choice, choose)


class TestReplay:
    def test_same_decisions_are_clean(self):
        """Guard against differences that are caused only by the encoding."""
        report = replay(make_recorder().lines(), make_registry()[0], "1.0", "d1")
        assert report.is_clean
        assert report.same == 4

    def test_first_difference_is_reported(self):
        """Guard against a replay that misses a changed decision."""
        changed_registry = make_registry(lambda _: Choice("b", (0.5, 2.0)))[0]
        lines = make_recorder().lines()
        report = replay(lines, changed_registry, "1.0")
        assert (report.same, report.different) == (0, 4)
        first = report.differences[0]
        assert (first.seq, first.path) == (1, "$.name")
        assert (first.recorded, first.decided) == ('"a"', '"b"')
        assert report.differences[1].path == "$.scores[1]"
        assert report.detail == lines[0].decode()

    def test_failing_decision_is_a_difference(self):
        """Guard against a replay that stops at the first exception."""
        report = replay(
            make_recorder().lines(), make_registry(lambda _: 1 / 0)[0], "1.0"
        )
        assert report.different == 4
        assert "ZeroDivisionError" in report.differences[0].decided

    def test_skipped_records_and_other_settings_are_reported(self):
        """Guard against records that are skipped silently."""
        lines = make_recorder().lines()
        assert replay(lines, make_registry()[0], "2.0").other_versions == {"1.0": 4}
        unknown = replay(lines, Registry(), "1.0").unknown_decisions
        assert unknown == {"routing.choose": 4}
        other = replay(lines, make_registry()[0], "1.0", "d2")
        assert other.other_settings == {"d1": 4}
        assert not other.is_clean
        assert len(replay([b"{", *lines], make_registry()[0], "1.0").invalid) == 1
