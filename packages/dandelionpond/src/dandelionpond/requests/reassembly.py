"""Reassembly of streamed answers, with each token delivered exactly once."""

from enum import Enum

import msgspec

from dandelionpond.requests.messages import Deliver, Finished, Piece


class EndMarkerResult(Enum):
    """Result of comparing an end marker with the delivered tokens."""

    COMPLETE = "complete"
    MISMATCH = "mismatch"
    IGNORED = "ignored"


class PieceCounters(msgspec.Struct):
    """Counts of pieces that were dropped or buffered."""

    wrong_attempt: int = 0
    wrong_request: int = 0
    late: int = 0
    overlapping: int = 0
    held: int = 0
    held_full: int = 0
    malformed: int = 0


class StreamReassembler:
    """Reassembler that delivers pieces in order, without gaps or duplicates.

    Two attempts can be open, because of a stall or a hedge. `PromptAttempts` closes the
    other one when an attempt delivers text, so text of two attempts is never
    interleaved. Offsets are in tokens. Each open attempt buffers at most
    `reorder_pieces` pieces that arrive ahead of the next offset.
    """

    __slots__ = ("_early_pieces", "_max_early_pieces", "_next_offset", "counters")

    def __init__(self, reorder_pieces: int, offset: int = 0) -> None:
        self._max_early_pieces = reorder_pieces
        self._next_offset = offset
        # For each open attempt (number, request ID): buffered pieces by offset.
        self._early_pieces: dict[tuple[int, str], dict[int, Piece]] = {}
        self.counters = PieceCounters()

    @property
    def next_offset(self) -> int:
        """Return the offset in tokens of the next piece to deliver."""
        return self._next_offset

    @property
    def open_attempts(self) -> list[int]:
        """Return the numbers of the attempts whose pieces are accepted."""
        return [attempt for attempt, _ in self._early_pieces]

    def open(self, attempt: int, request_id: str) -> None:
        """Start accepting the pieces of an attempt."""
        self._early_pieces[attempt, request_id] = {}

    def close(self, attempt: int) -> None:
        """Stop accepting the pieces of an attempt and drop its buffered ones."""
        for key in [key for key in self._early_pieces if key[0] == attempt]:
            del self._early_pieces[key]

    def accept(self, piece: Piece) -> list[Deliver]:
        """Add a piece and return the text that can be delivered now, in order."""
        early_pieces = self._early_pieces.get((piece.attempt, piece.request_id))
        if early_pieces is None:
            if piece.attempt in self.open_attempts:
                self.counters.wrong_request += 1
            else:
                self.counters.wrong_attempt += 1
            return []
        if piece.tokens <= 0 or piece.offset < 0:
            self.counters.malformed += 1
            return []
        if piece.offset < self._next_offset:
            # Text cannot be split at a token boundary, so a piece that overlaps
            # delivered text is dropped as a whole.
            if piece.offset + piece.tokens > self._next_offset:
                self.counters.overlapping += 1
            else:
                self.counters.late += 1
            return []
        if piece.offset > self._next_offset:
            if piece.offset in early_pieces:
                self.counters.late += 1
            elif len(early_pieces) >= self._max_early_pieces:
                self.counters.held_full += 1
            else:
                self.counters.held += 1
                early_pieces[piece.offset] = piece
            return []
        delivered = []
        next_piece: Piece | None = piece
        while next_piece is not None:
            delivered.append(Deliver(next_piece.offset, next_piece.text))
            self._next_offset += next_piece.tokens
            next_piece = early_pieces.pop(self._next_offset, None)
        for offset in [offset for offset in early_pieces if offset < self._next_offset]:
            del early_pieces[offset]
            self.counters.overlapping += 1
        return delivered

    def check_end_marker(self, marker: Finished) -> EndMarkerResult:
        """Compare the token count of an end marker with the delivered tokens."""
        if (marker.attempt, marker.request_id) not in self._early_pieces:
            self.counters.wrong_attempt += 1
            return EndMarkerResult.IGNORED
        return (
            EndMarkerResult.COMPLETE
            if marker.tokens == self._next_offset
            else EndMarkerResult.MISMATCH
        )
