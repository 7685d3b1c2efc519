"""Issue fencing tokens, by which engines refuse old orders, and drop late orders."""

import msgspec

from dandelionpond.identity import Identity
from dandelionpond.orders.messages import FencingToken, SendOrder
from dandelionpond.orders.settings import OrdersSettings

# A node that takes over an engine at the same settings revision starts its sequence at
# the next multiple of 2 ** 20. Its predecessor cannot send that many orders before the
# revision changes.
EPOCH_BITS = 20


class FencingCounters(msgspec.Struct):
    """Numbers of tokens that were not issued and of orders that were not sent."""

    behind: int = 0
    late: int = 0


class FencingTokenIssuer:
    """Issuer of the fencing tokens for the orders of this node's incarnation."""

    __slots__ = ("_identity", "_sequence", "_settings", "counters")

    def __init__(self, identity: Identity, settings: OrdersSettings) -> None:
        self._identity = identity
        self._settings = settings
        self._sequence = 0
        self.counters = FencingCounters()

    def configure(self, settings: OrdersSettings) -> None:
        """Apply new settings; the sequence continues."""
        self._settings = settings

    def next_token(
        self, revision: int, highest_seen: FencingToken
    ) -> FencingToken | None:
        """Return a token above `highest_seen`, the greatest that the engine has seen.

        None means that the engine has seen a newer settings revision, so another node
        has more recent settings and this one must not send orders. At the same
        revision, a node that started earlier than its predecessor, or whose wall clock
        stepped back, could never exceed the predecessor's `started_ms`. It reuses that
        `started_ms` with a new epoch of the sequence, which is above all orders that
        the predecessor can have in flight.
        """
        if highest_seen.revision > revision:
            self.counters.behind += 1
            return None
        self._sequence += 1
        own = FencingToken(revision, self._identity.started_ms, self._sequence)
        if own > highest_seen:
            return own
        epoch = (highest_seen.sequence >> EPOCH_BITS) + 1
        if highest_seen.started_ms == self._identity.started_ms:
            self._sequence = epoch << EPOCH_BITS
        return FencingToken(revision, highest_seen.started_ms, epoch << EPOCH_BITS)

    def may_send(self, order: SendOrder, now: float) -> bool:
        """Return whether an order is recent enough to be sent at `now`.

        Times are monotonic seconds. Call this immediately before writing the order. It
        is the only protection of engines that ignore fencing tokens, and it does not
        cover a pause of the process between this check and the write.
        """
        if 0 <= now - order.decided_at <= self._settings.order_validity_s:
            return True
        self.counters.late += 1
        return False
