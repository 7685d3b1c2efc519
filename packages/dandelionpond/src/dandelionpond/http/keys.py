"""Check bearer keys against hashes in constant time."""

import hashlib
import hmac

from expression import Error, Ok, Result
from starlette.datastructures import Headers

from dandelionpond.config.schema import Settings
from dandelionpond.errors import ErrorKind, Failure

MAX_KEY_CHARS = 512


def hash_key(key: str) -> str:
    """Return the hash under which a bearer key stands in the settings.

    Keys are random and long, so a plain SHA-256 is enough; a slow password hash would
    cost more than the rest of the request.
    """
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_key(headers: Headers) -> Result[str, Failure]:
    """Return the bearer key of a request."""
    scheme, _, key = headers.get("authorization", "").partition(" ")
    key = key.strip()
    if scheme.lower() != "bearer" or not key:
        return Error(Failure(ErrorKind.MISSING_KEY, "a bearer key is required"))
    if len(key) > MAX_KEY_CHARS:
        return Error(Failure(ErrorKind.INVALID_KEY, "the bearer key is not known"))
    return Ok(key)


def matches(key: str, key_hash: str) -> bool:
    """Compare a key with a hash in constant time."""
    return hmac.compare_digest(hash_key(key), key_hash)


class KeyIndex:
    """Find the client account of a key.

    The index is keyed by the key's hash, so the time of a look-up tells nothing about
    how many characters of a guess are right; the final comparison is constant in time.
    """

    __slots__ = ("_accounts",)

    def __init__(self, settings: Settings) -> None:
        self._accounts = {
            key_hash: name
            for name, account in settings.client_accounts.items()
            for key_hash in account.key_hashes
        }

    def account(self, headers: Headers) -> Result[str, Failure]:
        """Return the name of the client account that a request's key belongs to."""
        return bearer_key(headers).bind(self._lookup)

    def _lookup(self, key: str) -> Result[str, Failure]:
        digest = hash_key(key)
        name = self._accounts.get(digest)
        if name is None or not matches(key, digest):
            return Error(Failure(ErrorKind.INVALID_KEY, "the bearer key is not known"))
        return Ok(name)
