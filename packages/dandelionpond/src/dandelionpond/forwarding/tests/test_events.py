"""Test that each event of a stream is passed on once, whole and in order."""

import pytest

from dandelionpond.forwarding.events import EventSplitter, StreamError


def event(number, text=b"x"):
    return b"id: %d\ndata: %s\n\n" % (number, text)


class TestEventSplitter:
    @pytest.mark.parametrize("size", [1, 2, 3, 7, 1000])
    def test_any_cut_gives_the_same_events(self, size):
        """Guard against events that a read cuts in two."""
        data = b"".join(event(number) for number in range(1, 6))
        splitter = EventSplitter(None)
        passed = [
            splitter.feed(data[at : at + size]) for at in range(0, len(data), size)
        ]
        assert b"".join(passed) == data
        assert not splitter.is_partial

    def test_resumed_run_goes_on_behind_the_last_event(self):
        """Guard against a piece that comes twice or is joined of two runs."""
        splitter = EventSplitter(None)
        splitter.feed(event(1) + event(2) + event(3)[:6])
        assert splitter.is_partial
        splitter.discard_partial()
        assert splitter.feed(event(2) + event(3)) == event(3)
        assert splitter.dropped == 1

    def test_gap_is_an_error(self):
        """Guard against a missing piece that nobody notices."""
        splitter = EventSplitter(4)
        assert splitter.feed(event(5)) == event(5)
        with pytest.raises(StreamError):
            splitter.feed(event(7))

    @pytest.mark.parametrize("bad", [b"id: x\n\n", b"id: -1\n\n"])
    def test_bad_id_is_an_error(self, bad):
        """Guard against wrong bytes that are passed on as an event."""
        with pytest.raises(StreamError):
            EventSplitter(None).feed(bad)

    def test_event_without_end_is_bounded(self):
        """Guard against an upstream that fills this node's memory."""
        splitter = EventSplitter(None, max_event_bytes=100)
        with pytest.raises(StreamError):
            for _ in range(20):
                splitter.feed(b"x" * 10)

    def test_events_without_id_pass(self):
        """Guard against dropped comments and preambles."""
        assert EventSplitter(3).feed(b": note\n\n") == b": note\n\n"
