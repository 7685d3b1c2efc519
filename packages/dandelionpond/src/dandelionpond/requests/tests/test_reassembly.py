"""Test the assembly of streamed pieces."""

from dandelionpond.requests.messages import Finished, Piece
from dandelionpond.requests.reassembly import End, StreamReassembler


def piece(offset, text, attempt=1, request_id="r-1"):
    return Piece(attempt, request_id, offset, len(text), text)


def accept(assembly, *args, **fields):
    return "".join(item.text for item in assembly.accept(piece(*args, **fields)))


class TestStreamAssembly:
    def test_early_pieces_wait_for_the_gap(self):
        """Guard against text out of order and against a needless resume."""
        assembly = StreamReassembler(4)
        assembly.open(1, "r-1")
        assert accept(assembly, 2, "c") == "" and accept(assembly, 3, "d") == ""
        assert accept(assembly, 0, "ab") == "abcd"
        assert assembly.next_offset == 4 and assembly.counters.held == 2

    def test_reorder_buffer_is_bounded(self):
        """Guard against an engine that fills the memory of the node."""
        assembly = StreamReassembler(1)
        assembly.open(1, "r-1")
        for offset in (2, 3, 2):
            accept(assembly, offset, "x")
        assert assembly.counters.held_full == 1 and assembly.counters.late == 1
        assert accept(assembly, 0, "abc") == "abc"
        # The held piece overlapped and was freed, so there is room for another.
        assert assembly.counters.overlapping == 1
        accept(assembly, 5, "f")
        assert assembly.counters.held == 2

    def test_foreign_pieces_are_dropped_and_counted(self):
        """Guard against text of another request or of an abandoned attempt."""
        assembly = StreamReassembler(1)
        assembly.open(1, "r-1")
        assert accept(assembly, 0, "x", request_id="r-2") == ""
        assert accept(assembly, 0, "x", attempt=2, request_id="r-2") == ""
        assert assembly.accept(Piece(1, "r-1", 0, 0, "x")) == []
        counters = assembly.counters
        assert counters.wrong_request == counters.wrong_attempt == 1
        assert counters.malformed == 1

    def test_end_marker(self):
        """Guard against an incomplete answer that is called complete."""
        assembly = StreamReassembler(1)
        assembly.open(1, "r-1")
        accept(assembly, 0, "ab")
        assert assembly.end(Finished(1, "r-2", 2)) is End.IGNORED
        assert assembly.end(Finished(1, "r-1", 3)) is End.MISMATCH
        assert assembly.end(Finished(1, "r-1", 2)) is End.COMPLETE
