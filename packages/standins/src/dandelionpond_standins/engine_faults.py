"""Hold the faults that a test switches on in the engine stand-in."""

from typing import Literal

import msgspec


class StreamFault(msgspec.Struct, frozen=True):
    """Disturb the next `streams` answers after `after_tokens` tokens.

    `truncate` ends the answer without an end marker, `silence` sends nothing more,
    `reset` resets the connection, `garbage` sends bytes that are not JSON. `wrong_id`
    names another request, `duplicate` sends each piece twice, `reorder` swaps
    neighbours and `repeat` sends all earlier pieces again.
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
    """Hold all faults in force; the defaults mean no fault.

    `load_factor` multiplies reported load. `lose_cancels` drops that many cancels and
    closes their connections. `die_after_tokens` ends the process; -1 means never.
    """

    stream: StreamFault | None = None
    slow_factor: float = 1.0
    fail_fast: bool = False
    load_factor: float = 1.0
    lose_cancels: int = 0
    die_after_tokens: int = -1
    leaving: bool = False

    def next_stream(self) -> StreamFault | None:
        """Return the fault of a new stream and count it."""
        fault = self.stream
        if fault is not None:
            left = fault.streams - 1
            self.stream = (
                msgspec.structs.replace(fault, streams=left) if left > 0 else None
            )
        return fault


def disturb(
    fault: StreamFault, pieces: list[bytes], sent: list[bytes], other: list[bytes]
) -> list[bytes]:
    """Return the pieces to send in place of `pieces`.

    `sent` has earlier pieces, `other` the same pieces under another request identifier.
    """
    match fault.kind:
        case "wrong_id":
            return other
        case "duplicate":
            return [piece for piece in pieces for _ in range(2)]
        case "reorder":
            return pieces[::-1]
        case "repeat":
            return sent + pieces
    return pieces
