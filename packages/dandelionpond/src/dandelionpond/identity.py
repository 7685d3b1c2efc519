"""Identify a node and its current run."""

import msgspec


class Identity(msgspec.Struct, frozen=True, order=True):
    """Identity of one incarnation of a node.

    `name` comes from the node's settings and stays the same after a restart.
    `started_ms` is the start time in milliseconds since the Unix epoch. `nonce` is a
    random 64-bit number that makes each incarnation unique even if the wall clock was
    set back.
    """

    name: str
    started_ms: int
    nonce: int

    @property
    def incarnation(self) -> str:
        """Return the incarnation as text, for messages, owner names and logs."""
        return f"{self.started_ms:x}-{self.nonce:016x}"

    @property
    def owner(self) -> str:
        """Return `name/incarnation`, which engines list as the owner of a holding."""
        return f"{self.name}/{self.incarnation}"
