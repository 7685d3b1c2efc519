"""Number orders so that an engine can refuse an old one, and drop late ones."""

import msgspec

from dandelionpond.identity import Identity
from dandelionpond.orders.messages import FencingToken, SendOrder
from dandelionpond.orders.settings import OrdersSettings

# A giver that takes over at one revision starts at the next multiple of 2 ** 20, more
# orders than its predecessor can give before the settings get another revision.
EPOCH_BITS = 20


class FencingCounters(msgspec.Struct):
    """Count tokens that were not given and orders that were not sent."""

    behind: int = 0
    late: int = 0


class Fencing:
    """Own the sequence of this incarnation's orders."""

    __slots__ = ("_identity", "_sequence", "_settings", "counters")

    def __init__(self, identity: Identity, settings: OrdersSettings) -> None:
        self._identity = identity
        self._settings = settings
        self._sequence = 0
        self.counters = FencingCounters()

    def configure(self, settings: OrdersSettings) -> None:
        """Take new settings; the sequence continues."""
        self._settings = settings

    def next(self, revision: int, highest: FencingToken) -> FencingToken | None:
        """Return a token above `highest`, the greatest one that the engine has seen.

        None means that the engine has seen a newer settings revision: another node
        knows better what to order. At the same revision a giver that started earlier
        than its predecessor, or whose wall clock stepped back, could never exceed the
        predecessor's `started_ms`; it continues that number in a new epoch of the
        sequence, above everything that the predecessor can have in flight.
        """
        if highest.revision > revision:
            self.counters.behind += 1
            return None
        self._sequence += 1
        own = FencingToken(revision, self._identity.started_ms, self._sequence)
        if own > highest:
            return own
        epoch = (highest.sequence >> EPOCH_BITS) + 1
        if highest.started_ms == self._identity.started_ms:
            self._sequence = epoch << EPOCH_BITS
        return FencingToken(revision, highest.started_ms, epoch << EPOCH_BITS)

    def may_send(self, order: SendOrder, now: float) -> bool:
        """Return whether an order may still be written at `now` (monotonic seconds).

        Call it immediately before the write. An engine that ignores tokens depends on
        it: only a pause between this check and the write is not covered.
        """
        if 0 <= now - order.decided_at <= self._settings.order_validity_s:
            return True
        self.counters.late += 1
        return False
