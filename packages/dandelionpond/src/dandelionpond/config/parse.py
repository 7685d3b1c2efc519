"""Parse one published file strictly, so that each node gives the same verdict."""

import json
import re
from typing import Any

import msgspec

from dandelionpond.config.check import Problem, SettingsError, join_path

COLLECTIONS = ("failure_domains", "client_accounts", "models", "services", "upstreams")

MAX_FILE_BYTES = 1_000_000
# Python's own recursion limit depends on the caller's stack depth, so nesting is
# bounded by a number that is the same on every node.
MAX_DEPTH = 32

_FILE_NAME = re.compile(r"[0-9]{2}-[A-Za-z0-9][A-Za-z0-9._-]{0,119}\.json")
# The pattern also ends at the end of the data and never backtracks, so that it takes
# linear time on an unterminated string of escaped quotes.
_STRING = re.compile(rb'"(?:[^"\\]|\\.?)*+(?:"|\Z)', re.DOTALL)
_BRACKET = re.compile(rb"[\[\]{}]")


class Parsed(msgspec.Struct, frozen=True):
    """Hold a file that was checked, or the errors that exclude it.

    `irregular` names the collections for which the file has another value than an
    object. Decoded objects take four times the memory of the text and are not kept.
    """

    data: bytes
    errors: tuple[SettingsError, ...] = ()
    irregular: tuple[str, ...] = ()

    def decode(self) -> dict[str, Any]:
        """Return the object of the file, empty if the file is excluded."""
        document: dict[str, Any] = {} if self.errors else msgspec.json.decode(self.data)
        return document


class _Pairs(list[tuple[str, Any]]):
    """Keep the members of a JSON object including repeated keys."""


def parse_file(name: str, data: bytes) -> Parsed:
    """Parse a file; an excluded file has at least one error."""
    reasons = _refusals(name, data)
    if reasons:
        errors = tuple(SettingsError(name, path, reason) for path, reason in reasons)
        return Parsed(data, errors)
    document = msgspec.json.decode(data)
    if not isinstance(document, dict):
        error = SettingsError(name, "", "the file does not hold a JSON object")
        return Parsed(data, (error,))
    irregular = tuple(
        section
        for section in COLLECTIONS
        if not isinstance(document.get(section, {}), dict)
    )
    return Parsed(data, (), irregular)


def _refusals(name: str, data: bytes) -> list[Problem]:
    found: list[Problem] = []
    if not _FILE_NAME.fullmatch(name):
        found.append(("", "file name is not of the form NN-name.json"))
    if len(data) > MAX_FILE_BYTES:
        return [*found, ("", f"{len(data)} bytes, more than {MAX_FILE_BYTES}")]
    if _depth(data) > MAX_DEPTH:
        return [*found, ("", f"nested deeper than {MAX_DEPTH} levels")]
    try:
        # msgspec refuses NaN, infinities, lone surrogates and invalid UTF-8. The
        # canonical form must be encodable as well, or it would have no hash.
        msgspec.json.encode(msgspec.json.decode(data))
    except (msgspec.MsgspecError, ValueError, OverflowError) as error:
        return [*found, ("", f"invalid JSON: {error}")]
    repeated = False

    def members(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        nonlocal repeated
        result = dict(pairs)
        repeated = repeated or len(result) != len(pairs)
        return result

    json.loads(data, object_pairs_hook=members)
    if repeated:
        _duplicates(json.loads(data, object_pairs_hook=_Pairs), "", found)
    return found


def _duplicates(value: object, path: str, found: list[Problem]) -> None:
    if isinstance(value, _Pairs):
        seen: set[str] = set()
        for key, item in value:
            if key in seen:
                found.append((join_path(path, key), "duplicate key in one object"))
            seen.add(key)
            _duplicates(item, join_path(path, key), found)
    elif isinstance(value, list):
        for index, item in enumerate(value):
            _duplicates(item, join_path(path, index), found)


def _depth(data: bytes) -> int:
    depth = deepest = 0
    for bracket in _BRACKET.findall(_STRING.sub(b"", data)):
        depth += 1 if bracket in b"[{" else -1
        deepest = max(deepest, depth)
    return deepest
