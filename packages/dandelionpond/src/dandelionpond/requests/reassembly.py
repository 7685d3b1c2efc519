"""Put the pieces of a streamed answer together, each token exactly once."""

from enum import Enum

import msgspec

from dandelionpond.requests.messages import Deliver, Finished, Piece


class End(Enum):
    """Say what an end marker means."""

    COMPLETE = "complete"
    MISMATCH = "mismatch"
    IGNORED = "ignored"


class PieceCounters(msgspec.Struct):
    """Count the pieces that did not reach the caller directly."""

    wrong_attempt: int = 0
    wrong_request: int = 0
    late: int = 0
    overlapping: int = 0
    held: int = 0
    held_full: int = 0
    malformed: int = 0


class StreamReassembler:
    """Accept a piece only from an open attempt and at the next offset.

    Two attempts are open while an old connection is in doubt. The first that continues
    becomes the only one, so text of two attempts is never interleaved. Offsets are in
    tokens. Each open attempt holds at most `reorder_pieces` early pieces.
    """

    __slots__ = ("_bound", "_next", "_open", "counters")

    def __init__(self, reorder_pieces: int, offset: int = 0) -> None:
        self._bound = reorder_pieces
        self._next = offset
        # Early pieces of each open attempt by offset.
        self._open: dict[tuple[int, str], dict[int, Piece]] = {}
        self.counters = PieceCounters()

    @property
    def next_offset(self) -> int:
        """Return the offset in tokens that the caller needs next."""
        return self._next

    @property
    def open_attempts(self) -> list[int]:
        """Return the attempts whose pieces are accepted."""
        return [attempt for attempt, _ in self._open]

    def open(self, attempt: int, request_id: str) -> None:
        """Accept the pieces of an attempt from now on."""
        self._open[attempt, request_id] = {}

    def close(self, attempt: int) -> None:
        """Drop an attempt and the pieces that it holds."""
        for key in [key for key in self._open if key[0] == attempt]:
            del self._open[key]

    def accept(self, piece: Piece) -> list[Deliver]:
        """Return the text that can go to the caller now, in order."""
        early = self._open.get((piece.attempt, piece.request_id))
        if early is None:
            if piece.attempt in self.open_attempts:
                self.counters.wrong_request += 1
            else:
                self.counters.wrong_attempt += 1
            return []
        if piece.tokens <= 0 or piece.offset < 0:
            self.counters.malformed += 1
            return []
        if piece.offset < self._next:
            # Text cannot be cut at a token, so an overlapping piece is lost as well.
            if piece.offset + piece.tokens > self._next:
                self.counters.overlapping += 1
            else:
                self.counters.late += 1
            return []
        if piece.offset > self._next:
            if piece.offset in early:
                self.counters.late += 1
            elif len(early) >= self._bound:
                self.counters.held_full += 1
            else:
                self.counters.held += 1
                early[piece.offset] = piece
            return []
        delivered = []
        following: Piece | None = piece
        while following is not None:
            delivered.append(Deliver(following.offset, following.text))
            self._next += following.tokens
            following = early.pop(self._next, None)
        for offset in [offset for offset in early if offset < self._next]:
            del early[offset]
            self.counters.overlapping += 1
        return delivered

    def end(self, marker: Finished) -> End:
        """Compare an end marker with the text that was delivered."""
        if (marker.attempt, marker.request_id) not in self._open:
            self.counters.wrong_attempt += 1
            return End.IGNORED
        return End.COMPLETE if marker.tokens == self._next else End.MISMATCH
