"""The state that a node announces about itself."""

from dandelionpond.identity import Identity
from dandelionpond.membership.messages import Exchange, Rumor
from dandelionpond.membership.table import EPOCH_SIZE


class LocalNode:
    """The identity and the heartbeat of this node and whether it is leaving."""

    __slots__ = ("_address", "_domain", "heartbeat", "identity", "is_leaving")

    def __init__(self, identity: Identity, address: str, domain: str) -> None:
        self.identity = identity
        self._address = address
        self._domain = domain
        self.heartbeat = 1
        self.is_leaving = False

    @property
    def incarnation(self) -> tuple[int, int]:
        """Return the start time in milliseconds and the nonce."""
        return self.identity.started_ms, self.identity.nonce

    def leave(self) -> None:
        """Announce `leaving` from now on, in a new epoch that replaces earlier ones."""
        self.is_leaving = True
        self.heartbeat += EPOCH_SIZE

    def refute(self, incarnation: tuple[int, int], heartbeat: int, state: str) -> bool:
        """Start an epoch above that of a false rumor; return whether one was needed."""
        if incarnation not in (self.incarnation, (0, 0)) or state == "live":
            return False
        if state == "leaving" and self.is_leaving:
            return False
        epoch = heartbeat // EPOCH_SIZE
        if epoch < self.heartbeat // EPOCH_SIZE:
            return False
        self.heartbeat = (epoch + 1) * EPOCH_SIZE + self.heartbeat % EPOCH_SIZE
        return True

    def to_rumor(self) -> Rumor:
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

    def to_exchange(
        self, settings_version: tuple[int, str], rumors: tuple[Rumor, ...]
    ) -> Exchange:
        """Return a message with this state, the settings' revision and digest."""
        return Exchange(
            self.identity,
            self._address,
            self._domain,
            "leaving" if self.is_leaving else "serving",
            self.heartbeat,
            *settings_version,
            rumors,
        )
