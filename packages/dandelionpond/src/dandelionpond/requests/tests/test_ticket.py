"""Test the codec of tickets."""

from hypothesis import given, strategies as st

from dandelionpond.requests.ticket import MAX_TEXT, PREFIX, Ticket, decode_ticket

TICKET = Ticket("n1", "1-2", "10.0.0.1:7", "acme", "pay", 600.25, "00ff")


class TestTicket:
    def test_round_trip_and_secret(self):
        """Guard against a ticket that another incarnation's secret verifies."""
        signed = decode_ticket(TICKET.encode(b"secret"))
        assert signed is not None and signed.ticket == TICKET
        assert signed.verify(b"secret") and not signed.verify(b"other")

    @given(st.integers(0, 400), st.integers(1, 127))
    def test_changed_text_is_not_verified(self, position, change):
        """Guard against a ticket whose expiry or account was edited."""
        text = TICKET.encode(b"secret")
        position %= len(text)
        changed = chr(ord(text[position]) ^ change)
        signed = decode_ticket(text[:position] + changed + text[position + 1 :])
        # Unused bits at the end of base64 can change without changing the bytes.
        assert signed is None or not signed.verify(b"secret") or signed.ticket == TICKET

    @given(st.text(max_size=60))
    def test_any_text_decodes_without_an_exception(self, text):
        """Guard against a header that raises an unexpected error."""
        assert decode_ticket(text) is None
        assert decode_ticket(PREFIX + text) is None

    def test_long_text_is_refused(self):
        """Guard against a large document in a header."""
        assert decode_ticket(PREFIX + "A" * MAX_TEXT) is None
