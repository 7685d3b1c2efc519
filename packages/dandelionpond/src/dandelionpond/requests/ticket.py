"""Encoding and verification of the tickets of at-most-once calls."""

import base64
import binascii
import hashlib
import hmac

import msgspec

TICKET_PREFIX = "dpt1."
# Longer keys are not decoded, so that a caller cannot make a node parse large JSON.
MAX_TICKET_CHARACTERS = 2_048


class Ticket(msgspec.Struct, frozen=True, array_like=True):
    """A permit for one call, bound to the node incarnation that issued the ticket.

    `expires_at` is in seconds of the issuer's CLOCK_BOOTTIME and cannot be compared
    with the clock of another machine. Only the issuer can verify a ticket.
    """

    issuer: str
    incarnation: str
    peer_address: str
    account: str
    service: str
    expires_at: float
    nonce: str

    def encode(self, secret: bytes) -> str:
        """Return the ticket and its HMAC-SHA256 as text for an HTTP header."""
        payload = msgspec.json.encode(self)
        tag = hmac.digest(secret, payload, hashlib.sha256)
        return f"{TICKET_PREFIX}{_encode_base64(payload)}.{_encode_base64(tag)}"


class UnverifiedTicket(msgspec.Struct, frozen=True):
    """A decoded ticket whose HMAC has not been verified."""

    ticket: Ticket
    payload: bytes
    tag: bytes

    def verify(self, secret: bytes) -> bool:
        """Return whether the HMAC matches the secret; compares in constant time."""
        expected = hmac.digest(secret, self.payload, hashlib.sha256)
        return hmac.compare_digest(expected, self.tag)


def decode_ticket(key: str) -> UnverifiedTicket | None:
    """Return the unverified ticket, or None if the key is not formatted as one."""
    if not key.startswith(TICKET_PREFIX) or len(key) > MAX_TICKET_CHARACTERS:
        return None
    body, separator, tag = key[len(TICKET_PREFIX) :].partition(".")
    if not separator:
        return None
    try:
        payload = _decode_base64(body)
        return UnverifiedTicket(
            msgspec.json.decode(payload, type=Ticket), payload, _decode_base64(tag)
        )
    except (msgspec.DecodeError, binascii.Error, UnicodeError, ValueError):
        return None


def _encode_base64(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode("ascii")


def _decode_base64(text: str) -> bytes:
    raw = text.encode("ascii")
    return base64.b64decode(raw + b"=" * (-len(raw) % 4), altchars=b"-_", validate=True)
