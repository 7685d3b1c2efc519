"""Hold what a node says about itself."""

from dandelionpond.identity import Identity
from dandelionpond.membership.messages import Exchange, Rumor
from dandelionpond.membership.table import EPOCH


class LocalNode:
    """Hold the identity, the heartbeat and the phase of this node."""

    __slots__ = ("_address", "_domain", "heartbeat", "identity", "is_leaving")

    def __init__(self, identity: Identity, address: str, domain: str) -> None:
        self.identity = identity
        self._address = address
        self._domain = domain
        self.heartbeat = 1
        self.is_leaving = False

    @property
    def incarnation(self) -> tuple[int, int]:
        """Return the start in milliseconds and the nonce."""
        return self.identity.started_ms, self.identity.nonce

    def leave(self) -> None:
        """Say `leaving` from now on, above every earlier heartbeat."""
        self.is_leaving = True
        self.heartbeat += EPOCH

    def refute(self, incarnation: tuple[int, int], heartbeat: int, state: str) -> bool:
        """Raise the heartbeat above a false rumor; say whether that was needed."""
        if incarnation not in (self.incarnation, (0, 0)) or state == "live":
            return False
        if state == "leaving" and self.is_leaving:
            return False
        epoch = heartbeat // EPOCH
        if epoch < self.heartbeat // EPOCH:
            return False
        self.heartbeat = (epoch + 1) * EPOCH + self.heartbeat % EPOCH
        return True

    def rumor(self) -> Rumor:
        """Return this node's own state as a rumor."""
        name = self.identity.name
        return Rumor(
            name,
            "node",
            "leaving" if self.is_leaving else "live",
            *self.incarnation,
            self.heartbeat,
            self._address,
            self._domain,
            name,
        )

    def exchange(
        self, settings: tuple[int, str], rumors: tuple[Rumor, ...]
    ) -> Exchange:
        """Return a message with this state, a settings revision and its digest."""
        return Exchange(
            self.identity,
            self._address,
            self._domain,
            "leaving" if self.is_leaving else "serving",
            self.heartbeat,
            *settings,
            rumors,
        )
