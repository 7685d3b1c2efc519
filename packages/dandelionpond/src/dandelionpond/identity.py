"""Name a node and one run of it."""

import msgspec


class Identity(msgspec.Struct, frozen=True, order=True):
    """Identify one incarnation of a node.

    `name` comes from the node's settings and survives a restart. `started_ms` is the
    start in milliseconds since the Unix epoch and `nonce` a random 64-bit number, so a
    restarted node is told apart even if the wall clock stepped back.
    """

    name: str
    started_ms: int
    nonce: int

    @property
    def incarnation(self) -> str:
        """Return the incarnation as text, for messages, owners and logs."""
        return f"{self.started_ms:x}-{self.nonce:016x}"

    @property
    def owner(self) -> str:
        """Return `name/incarnation`, the owner that engines list."""
        return f"{self.name}/{self.incarnation}"
