"""Test the encoding and verification of tickets."""

from hypothesis import given, strategies as st

from dandelionpond.requests.ticket import (
    MAX_TICKET_CHARACTERS,
    TICKET_PREFIX,
    Ticket,
    decode_ticket,
)

TICKET = Ticket("n1", "1-2", "10.0.0.1:7", "acme", "pay", 600.25, "00ff")


class TestTicket:
    def test_round_trip_and_secret(self):
        """Guard against accepting a ticket with the secret of another incarnation."""
        unverified = decode_ticket(TICKET.encode(b"secret"))
        assert unverified is not None and unverified.ticket == TICKET
        assert unverified.verify(b"secret") and not unverified.verify(b"other")

    @given(st.integers(0, 400), st.integers(1, 127))
    def test_changed_text_is_not_verified(self, position, bit_mask):
        """Guard against accepting a ticket with a forged expiry or account."""
        text = TICKET.encode(b"secret")
        position %= len(text)
        changed_character = chr(ord(text[position]) ^ bit_mask)
        unverified = decode_ticket(
            text[:position] + changed_character + text[position + 1 :]
        )
        # Unused bits in the last base64 character do not change the decoded bytes.
        assert (
            unverified is None
            or not unverified.verify(b"secret")
            or unverified.ticket == TICKET
        )

    @given(st.text(max_size=60))
    def test_any_text_decodes_without_an_exception(self, text):
        """Guard against an unhandled exception for a malformed header."""
        assert decode_ticket(text) is None
        assert decode_ticket(TICKET_PREFIX + text) is None

    def test_long_text_is_refused(self):
        """Guard against parsing a large document from a header."""
        assert decode_ticket(TICKET_PREFIX + "A" * MAX_TICKET_CHARACTERS) is None
