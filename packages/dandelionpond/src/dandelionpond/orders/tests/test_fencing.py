"""Tests of fencing tokens."""

from hypothesis import given, strategies as st

from dandelionpond.identity import Identity
from dandelionpond.orders.fencing import FencingTokenIssuer
from dandelionpond.orders.messages import EngineChange, FencingToken, SendOrder
from dandelionpond.orders.settings import OrdersSettings

TOKEN_FIELD = st.integers(0, 2**41)


def make_issuer(started_ms=1_000):
    return FencingTokenIssuer(Identity("n", started_ms, 1), OrdersSettings())


class TestFencing:
    @given(TOKEN_FIELD, TOKEN_FIELD, TOKEN_FIELD, st.integers(0, 5))
    def test_next_token_exceeds_what_the_engine_has_seen(
        self, revision, started_ms, sequence, later
    ):
        """An engine that enforces fencing must not refuse all orders of a node."""
        issuer = make_issuer()
        highest = FencingToken(revision, started_ms, sequence)
        token = issuer.next_token(revision + later, highest)
        assert token > highest
        assert issuer.next_token(revision + later, token) > token

    def test_order_under_older_settings_gets_no_token(self):
        """A node with older settings must not undo an order of newer settings."""
        issuer = make_issuer()
        assert issuer.next_token(4, FencingToken(5, 0, 0)) is None
        assert issuer.counters.behind == 1

    def test_successor_that_started_earlier_exceeds_orders_in_flight(self):
        """Orders of a paused predecessor must be refused after a takeover."""
        predecessor, successor = make_issuer(2_000), make_issuer(1_000)
        highest_seen = predecessor.next_token(5, FencingToken())
        in_flight = [predecessor.next_token(5, highest_seen) for _ in range(100)]
        assert successor.next_token(5, highest_seen) > max(in_flight)

    def test_late_order_is_not_sent(self):
        """An order must be dropped after a pause between its decision and the write."""
        issuer = make_issuer()
        order = SendOrder("e", FencingToken(), EngineChange("set_role"), 10.0)
        assert issuer.may_send(order, 13.0)
        assert not issuer.may_send(order, 13.1)
        assert issuer.counters.late == 1
