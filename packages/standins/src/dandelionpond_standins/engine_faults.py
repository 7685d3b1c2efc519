"""Faults that a test can inject into the engine stand-in."""

from typing import Literal

import msgspec


class StreamFault(msgspec.Struct, frozen=True):
    """A fault in the next `streams` answers after `after_tokens` tokens of each.

    `truncate` ends the answer without an end marker, `silence` sends nothing more,
    `reset` resets the connection, `garbage` sends bytes that are not JSON. `wrong_id`
    sends the identifier of another request, `duplicate` sends each piece twice,
    `reorder` reverses the order of the pieces that are sent together and `repeat` sends
    the first `after_tokens` pieces again.
    """

    kind: Literal[
        "truncate",
        "silence",
        "reset",
        "garbage",
        "wrong_id",
        "duplicate",
        "reorder",
        "repeat",
    ]
    after_tokens: int = 0
    streams: int = 1


class Faults(msgspec.Struct):
    """All active faults of one engine; the defaults mean no fault.

    `slow_factor` multiplies the duration of each step. `fail_fast` refuses requests at
    once with status 500. `load_factor` multiplies the reported load. `lose_cancels` is
    the number of cancels that are dropped by resetting their connections. The process
    exits after `die_after_tokens` sent tokens; -1 means never. `leaving` refuses new
    requests and is stated in the load report. The process exits when it gets a prompt
    that contains `crash_text`, if that is not empty. Above zero, `reject_s` rejects new
    requests and asks for none for that many seconds; `says_leaving` states in the head
    of each response that the engine is about to stop.
    """

    stream: StreamFault | None = None
    slow_factor: float = 1.0
    fail_fast: bool = False
    load_factor: float = 1.0
    lose_cancels: int = 0
    die_after_tokens: int = -1
    leaving: bool = False
    crash_text: str = ""
    reject_s: float = 0.0
    says_leaving: bool = False

    def take_stream_fault(self) -> StreamFault | None:
        """Return the fault of a new stream, if any, and count the stream."""
        fault = self.stream
        if fault is not None:
            remaining = fault.streams - 1
            self.stream = (
                msgspec.structs.replace(fault, streams=remaining)
                if remaining > 0
                else None
            )
        return fault


def apply_stream_fault(
    fault: StreamFault,
    pieces: list[bytes],
    earlier_pieces: list[bytes],
    mislabeled_pieces: list[bytes],
) -> list[bytes]:
    """Return the pieces to send in place of `pieces`.

    `mislabeled_pieces` are the same pieces with the identifier of another request.
    """
    match fault.kind:
        case "wrong_id":
            return mislabeled_pieces
        case "duplicate":
            return [piece for piece in pieces for _ in range(2)]
        case "reorder":
            return pieces[::-1]
        case "repeat":
            return earlier_pieces + pieces
    return pieces
