"""Test the reassembly of streamed pieces."""

from dandelionpond.requests.messages import Finished, Piece
from dandelionpond.requests.reassembly import EndMarkerResult, StreamReassembler


def make_piece(offset, text, attempt=1, request_id="r-1"):
    return Piece(attempt, request_id, offset, len(text), text)


def accept(reassembler, *piece_args, **piece_fields):
    return "".join(
        item.text
        for item in reassembler.accept(make_piece(*piece_args, **piece_fields))
    )


class TestStreamReassembler:
    def test_early_pieces_wait_for_the_gap(self):
        """Guard against text out of order and unnecessary resumes."""
        reassembler = StreamReassembler(4)
        reassembler.open(1, "r-1")
        assert accept(reassembler, 2, "c") == "" and accept(reassembler, 3, "d") == ""
        assert accept(reassembler, 0, "ab") == "abcd"
        assert reassembler.next_offset == 4 and reassembler.counters.held == 2

    def test_reorder_buffer_is_bounded(self):
        """Guard against unbounded memory for early pieces."""
        reassembler = StreamReassembler(1)
        reassembler.open(1, "r-1")
        for offset in (2, 3, 2):
            accept(reassembler, offset, "x")
        assert reassembler.counters.held_full == 1 and reassembler.counters.late == 1
        assert accept(reassembler, 0, "abc") == "abc"
        # The buffered piece overlapped and was dropped, so another one fits.
        assert reassembler.counters.overlapping == 1
        accept(reassembler, 5, "f")
        assert reassembler.counters.held == 2

    def test_mismatched_pieces_are_dropped_and_counted(self):
        """Guard against text of another request or of a closed attempt."""
        reassembler = StreamReassembler(1)
        reassembler.open(1, "r-1")
        assert accept(reassembler, 0, "x", request_id="r-2") == ""
        assert accept(reassembler, 0, "x", attempt=2, request_id="r-2") == ""
        assert reassembler.accept(Piece(1, "r-1", 0, 0, "x")) == []
        counters = reassembler.counters
        assert counters.wrong_request == counters.wrong_attempt == 1
        assert counters.malformed == 1

    def test_end_marker(self):
        """Guard against reporting an incomplete answer as complete."""
        reassembler = StreamReassembler(1)
        reassembler.open(1, "r-1")
        accept(reassembler, 0, "ab")
        assert (
            reassembler.check_end_marker(Finished(1, "r-2", 2))
            is EndMarkerResult.IGNORED
        )
        assert (
            reassembler.check_end_marker(Finished(1, "r-1", 3))
            is EndMarkerResult.MISMATCH
        )
        assert (
            reassembler.check_end_marker(Finished(1, "r-1", 2))
            is EndMarkerResult.COMPLETE
        )
