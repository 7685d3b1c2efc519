"""Tests that each event of a stream is forwarded once, complete and in order."""

import pytest

from dandelionpond.forwarding.events import EventSplitter, StreamError


def event(event_id, text=b"x"):
    return b"id: %d\ndata: %s\n\n" % (event_id, text)


class TestEventSplitter:
    @pytest.mark.parametrize("size", [1, 2, 3, 7, 1000])
    def test_events_do_not_depend_on_chunk_size(self, size):
        """Events must survive being split across several reads."""
        data = b"".join(event(event_id) for event_id in range(1, 6))
        splitter = EventSplitter(None)
        forwarded = [
            splitter.feed(data[at : at + size]) for at in range(0, len(data), size)
        ]
        assert b"".join(forwarded) == data
        assert not splitter.is_partial

    def test_resumed_stream_continues_after_the_last_event(self):
        """A second attempt must not repeat an event or complete a partial one.

        The first attempt stops in the middle of an event, and the second one sends an
        event that was already forwarded.
        """
        splitter = EventSplitter(None)
        splitter.feed(event(1) + event(2) + event(3)[:6])
        assert splitter.is_partial
        splitter.discard_partial()
        assert splitter.feed(event(2) + event(3)) == event(3)
        assert splitter.dropped == 1

    def test_gap_is_an_error(self):
        """A missing event must not go unnoticed."""
        splitter = EventSplitter(4)
        assert splitter.feed(event(5)) == event(5)
        with pytest.raises(StreamError):
            splitter.feed(event(7))

    @pytest.mark.parametrize("data", [b"id: x\n\n", b"id: -1\n\n"])
    def test_invalid_id_is_an_error(self, data):
        """Invalid data must not be forwarded as an event."""
        with pytest.raises(StreamError):
            EventSplitter(None).feed(data)

    def test_size_of_incomplete_event_is_limited(self):
        """An upstream that never ends an event must not use up this node's memory."""
        splitter = EventSplitter(None, max_event_bytes=100)
        with pytest.raises(StreamError):
            for _ in range(20):
                splitter.feed(b"x" * 10)

    def test_events_without_id_are_forwarded(self):
        """Comments and preambles have no id and must not be dropped."""
        assert EventSplitter(3).feed(b": note\n\n") == b": note\n\n"
