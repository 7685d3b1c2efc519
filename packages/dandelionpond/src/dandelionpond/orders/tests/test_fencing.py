"""Test fencing tokens."""

from hypothesis import given, strategies as st

from dandelionpond.identity import Identity
from dandelionpond.orders.fencing import Fencing
from dandelionpond.orders.messages import EngineChange, FencingToken, SendOrder
from dandelionpond.orders.settings import OrdersSettings

NUMBER = st.integers(0, 2**41)


def fencing(started_ms=1_000):
    return Fencing(Identity("n", started_ms, 1), OrdersSettings())


class TestFencing:
    @given(NUMBER, NUMBER, NUMBER, st.integers(0, 5))
    def test_next_token_exceeds_what_the_engine_has_seen(
        self, revision, started_ms, sequence, later
    ):
        """Guard against a giver whose orders an enforcing engine always refuses."""
        source = fencing()
        highest = FencingToken(revision, started_ms, sequence)
        token = source.next(revision + later, highest)
        assert token > highest
        assert source.next(revision + later, token) > token

    def test_order_under_older_settings_gets_no_token(self):
        """Guard against a node that undoes an order of newer settings."""
        source = fencing()
        assert source.next(4, FencingToken(5, 0, 0)) is None
        assert source.counters.behind == 1

    def test_successor_that_started_earlier_exceeds_orders_in_flight(self):
        """Guard against a paused predecessor whose next order still counts."""
        predecessor, successor = fencing(2_000), fencing(1_000)
        seen = predecessor.next(5, FencingToken())
        in_flight = [predecessor.next(5, seen) for _ in range(100)]
        assert successor.next(5, seen) > max(in_flight)

    def test_late_order_is_not_sent(self):
        """Guard against a pause between the decision and the write."""
        source = fencing()
        order = SendOrder("e", FencingToken(), EngineChange("set_role"), 10.0)
        assert source.may_send(order, 13.0)
        assert not source.may_send(order, 13.1)
        assert source.counters.late == 1
