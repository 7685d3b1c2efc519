"""Parse published files strictly, so that all nodes accept the same files."""

import json
import re
from typing import Any

import msgspec

from dandelionpond.config.check import Problem, SettingsError, join_path

COLLECTIONS = ("failure_domains", "client_accounts", "models", "services", "upstreams")

MAX_FILE_BYTES = 1_000_000
# Python's recursion limit includes the caller's stack, so without this limit the depth
# at which parsing fails could differ between nodes.
MAX_NESTING_DEPTH = 32

_FILE_NAME = re.compile(r"[0-9]{2}-[A-Za-z0-9][A-Za-z0-9._-]{0,119}\.json")
# The possessive quantifier and the match at the end of the data prevent backtracking,
# which would take more than linear time on an unterminated string of escaped quotes.
_STRING = re.compile(rb'"(?:[^"\\]|\\.?)*+(?:"|\Z)', re.DOTALL)
_BRACKET = re.compile(rb"[\[\]{}]")


class ParsedFile(msgspec.Struct, frozen=True):
    """The content of a file and the errors that exclude it from the merge.

    `non_object_collections` are the collections whose value in the file is not an
    object. Decoded objects are not stored, because they take four times the memory of
    the text.
    """

    data: bytes
    errors: tuple[SettingsError, ...] = ()
    non_object_collections: tuple[str, ...] = ()

    def decode(self) -> dict[str, Any]:
        """Return the JSON object in the file, or an empty one if it has errors."""
        document: dict[str, Any] = {} if self.errors else msgspec.json.decode(self.data)
        return document


class _ObjectMembers(list[tuple[str, Any]]):
    """The members of a JSON object, including duplicate keys."""


def parse_file(name: str, data: bytes) -> ParsedFile:
    """Parse and validate one file; an invalid file is returned with its errors."""
    problems = _find_problems(name, data)
    if problems:
        errors = tuple(SettingsError(name, path, reason) for path, reason in problems)
        return ParsedFile(data, errors)
    document = msgspec.json.decode(data)
    if not isinstance(document, dict):
        error = SettingsError(name, "", "the file does not contain a JSON object")
        return ParsedFile(data, (error,))
    non_object_collections = tuple(
        section
        for section in COLLECTIONS
        if not isinstance(document.get(section, {}), dict)
    )
    return ParsedFile(data, (), non_object_collections)


def _find_problems(name: str, data: bytes) -> list[Problem]:
    problems: list[Problem] = []
    if not _FILE_NAME.fullmatch(name):
        problems.append(("", "file name does not have the form NN-name.json"))
    if len(data) > MAX_FILE_BYTES:
        return [*problems, ("", f"{len(data)} bytes, more than {MAX_FILE_BYTES}")]
    if _nesting_depth(data) > MAX_NESTING_DEPTH:
        return [*problems, ("", f"nested deeper than {MAX_NESTING_DEPTH} levels")]
    try:
        # msgspec rejects NaN, infinities, lone surrogates and invalid UTF-8. Encoding
        # must succeed as well, since the digest is computed from the encoded settings.
        msgspec.json.encode(msgspec.json.decode(data))
    except (msgspec.MsgspecError, ValueError, OverflowError) as error:
        return [*problems, ("", f"invalid JSON: {error}")]
    has_duplicate_keys = False

    def build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        nonlocal has_duplicate_keys
        result = dict(pairs)
        has_duplicate_keys = has_duplicate_keys or len(result) != len(pairs)
        return result

    json.loads(data, object_pairs_hook=build_object)
    if has_duplicate_keys:
        _find_duplicate_keys(
            json.loads(data, object_pairs_hook=_ObjectMembers), "", problems
        )
    return problems


def _find_duplicate_keys(value: object, path: str, problems: list[Problem]) -> None:
    if isinstance(value, _ObjectMembers):
        earlier_keys: set[str] = set()
        for key, item in value:
            if key in earlier_keys:
                problems.append((join_path(path, key), "duplicate key in an object"))
            earlier_keys.add(key)
            _find_duplicate_keys(item, join_path(path, key), problems)
    elif isinstance(value, list):
        for index, item in enumerate(value):
            _find_duplicate_keys(item, join_path(path, index), problems)


def _nesting_depth(data: bytes) -> int:
    depth = deepest = 0
    for bracket in _BRACKET.findall(_STRING.sub(b"", data)):
        depth += 1 if bracket in b"[{" else -1
        deepest = max(deepest, depth)
    return deepest
