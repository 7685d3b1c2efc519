"""Check bearer keys against their stored hashes in constant time."""

import hashlib
import hmac

from expression import Error, Ok, Result
from starlette.datastructures import Headers

from dandelionpond.config.schema import Settings
from dandelionpond.errors import ErrorKind, Failure

MAX_BEARER_KEY_CHARS = 512


def hash_key(key: str) -> str:
    """Return the SHA-256 hash of a bearer key, as stored in the settings.

    Keys are long and random, so a fast hash is sufficient; a slow password hash would
    cost more than the rest of the request.
    """
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_key(headers: Headers) -> Result[str, Failure]:
    """Return the bearer key of a request."""
    scheme, _, key = headers.get("authorization", "").partition(" ")
    key = key.strip()
    if scheme.lower() != "bearer" or not key:
        return Error(Failure(ErrorKind.MISSING_KEY, "a bearer key is required"))
    if len(key) > MAX_BEARER_KEY_CHARS:
        return Error(Failure(ErrorKind.INVALID_KEY, "the bearer key is not known"))
    return Ok(key)


def key_matches(key: str, key_hash: str) -> bool:
    """Return whether a key has the given hash, compared in constant time."""
    return hmac.compare_digest(hash_key(key), key_hash)


class KeyIndex:
    """Index from bearer keys to client accounts.

    The index uses hashes, so the time of a lookup does not reveal how many characters
    of a guessed key are correct; the final comparison takes constant time.
    """

    __slots__ = ("_accounts",)

    def __init__(self, settings: Settings) -> None:
        self._accounts = {
            key_hash: name
            for name, account in settings.client_accounts.items()
            for key_hash in account.key_hashes
        }

    def account_name(self, headers: Headers) -> Result[str, Failure]:
        """Return the name of the client account that owns a request's bearer key."""
        return bearer_key(headers).bind(self._lookup)

    def _lookup(self, key: str) -> Result[str, Failure]:
        digest = hash_key(key)
        name = self._accounts.get(digest)
        if name is None or not key_matches(key, digest):
            return Error(Failure(ErrorKind.INVALID_KEY, "the bearer key is not known"))
        return Ok(name)
