"""Encode and verify the tickets of at-most-once calls."""

import base64
import binascii
import hashlib
import hmac

import msgspec

PREFIX = "dpt1."
# A longer header is not decoded, so a caller cannot make a node parse a large document.
MAX_TEXT = 2_048


class Ticket(msgspec.Struct, frozen=True, array_like=True):
    """Bind one call to one incarnation of one node.

    `expires_at` is in seconds on the issuer's CLOCK_BOOTTIME and means nothing on
    another machine. Only the issuer can verify a ticket.
    """

    issuer: str
    incarnation: str
    peer_address: str
    account: str
    service: str
    expires_at: float
    nonce: str

    def encode(self, secret: bytes) -> str:
        """Return the ticket with its HMAC-SHA256, safe in an HTTP header."""
        payload = msgspec.json.encode(self)
        tag = hmac.digest(secret, payload, hashlib.sha256)
        return f"{PREFIX}{_text(payload)}.{_text(tag)}"


class Signed(msgspec.Struct, frozen=True):
    """Hold a decoded ticket whose HMAC has not been verified yet."""

    ticket: Ticket
    payload: bytes
    tag: bytes

    def verify(self, secret: bytes) -> bool:
        """Return whether the holder of the secret made it; takes constant time."""
        expected = hmac.digest(secret, self.payload, hashlib.sha256)
        return hmac.compare_digest(expected, self.tag)


def decode_ticket(key: str) -> Signed | None:
    """Return the unverified ticket, or None if the key has not the form of one."""
    if not key.startswith(PREFIX) or len(key) > MAX_TEXT:
        return None
    body, separator, tag = key[len(PREFIX) :].partition(".")
    if not separator:
        return None
    try:
        payload = _bytes(body)
        return Signed(msgspec.json.decode(payload, type=Ticket), payload, _bytes(tag))
    except (msgspec.DecodeError, binascii.Error, UnicodeError, ValueError):
        return None


def _text(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode("ascii")


def _bytes(text: str) -> bytes:
    raw = text.encode("ascii")
    return base64.b64decode(raw + b"=" * (-len(raw) % 4), altchars=b"-_", validate=True)
