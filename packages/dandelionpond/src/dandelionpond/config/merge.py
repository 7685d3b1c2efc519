"""Merge the published files in name order and check the result.

`Merger` keeps the parsed files and the checked entries of its last call, so that one
changed file among many costs little. The result depends on the bytes alone.
"""

import hashlib
from collections.abc import Iterable, Mapping
from typing import Any, get_type_hints

import json_merge_patch  # type: ignore[import-untyped]
import msgspec
from expression import Error, Ok, Result

from dandelionpond.config.check import (
    Problem,
    SettingsError,
    check_account,
    check_key_hashes,
    check_upstream,
    collect,
    join,
)
from dandelionpond.config.parse import Parsed, parse_file
from dandelionpond.config.schema import Settings

__all__ = ["Merged", "Merger", "SettingsError", "merge_folder"]

COLLECTIONS = ("failure_domains", "client_accounts", "models", "services", "upstreams")

Key = tuple[str, ...]
_KINDS: dict[str, Any] = get_type_hints(Settings, include_extras=True)


class _Entry:
    """Hold one member of a collection, or one whole section, merged and checked."""

    __slots__ = ("errors", "parts", "present", "text", "typed", "value")

    def __init__(self) -> None:
        self.parts: dict[str, Any] = {}
        self.present = False
        self.value: Any = None
        self.typed: Any = None
        self.text = b""
        self.errors: list[SettingsError] = []


class Merged:
    """Hold merged settings; `digest` is BLAKE2b-256 over the canonical JSON."""

    __slots__ = ("_origins", "_parts", "digest", "document", "settings")

    def __init__(
        self,
        settings: Settings,
        document: dict[str, Any],
        digest: str,
        parts: tuple[tuple[str, dict[str, Any]], ...],
    ) -> None:
        self.settings = settings
        self.document = document
        self.digest = digest
        self._parts = parts
        self._origins: dict[str, str] | None = None

    @property
    def origins(self) -> dict[str, str]:
        """Return the file of each leaf path; an empty object has no leaf.

        It is computed at the first use, because only operators read it.
        """
        if self._origins is None:
            self._origins = _origins("", self._parts)
        return self._origins


class Merger:
    """Merge folders one after another and reuse what has not changed."""

    __slots__ = ("_cross", "_entries", "_files", "_irregular", "_names", "_sections")

    def __init__(self) -> None:
        self._reset()

    def _reset(self) -> None:
        self._files: dict[str, Parsed] = {}
        self._entries: dict[str, dict[Key, _Entry]] = {}
        self._sections: dict[str, int] = {}
        self._irregular: frozenset[str] = frozenset()
        self._names: tuple[set[str], ...] = ()
        self._cross: dict[Key, list[SettingsError]] = {}

    def merge(self, files: Mapping[str, bytes]) -> Result[Merged, list[SettingsError]]:
        """Merge and check a folder; an error is the sorted list of all errors."""
        parsed: dict[str, Parsed] = {}
        for name in sorted(files):
            known = self._files.get(name)
            if known is not None and known.data == files[name]:
                parsed[name] = known
            else:
                parsed[name] = parse_file(name, files[name])
        irregular = frozenset(
            section
            for item in parsed.values()
            for section in COLLECTIONS
            if not isinstance(item.document.get(section, {}), dict)
        )
        if irregular != self._irregular:
            self._reset()
            self._irregular = irregular
        dirty = self._replace_files(parsed)
        for key in dirty:
            self._evaluate(key)
        errors = [error for item in parsed.values() for error in item.errors]
        errors += [
            error
            for section in self._entries.values()
            for entry in section.values()
            for error in entry.errors
        ]
        fields = self._fields()
        errors += self._cross_check(fields, dirty)
        if errors:
            return Error(sorted(set(errors)))
        document, digest = self._document()
        parts = tuple((name, item.document) for name, item in parsed.items())
        return Ok(Merged(Settings(**fields), document, digest, parts))

    def _keys(self, document: dict[str, Any]) -> Iterable[tuple[Key, Any]]:
        for section, value in document.items():
            if section in COLLECTIONS and section not in self._irregular:
                for name, item in value.items():
                    yield (section, name), item
            else:
                yield (section,), value

    def _replace_files(self, parsed: dict[str, Parsed]) -> set[Key]:
        dirty: set[Key] = set()
        for name in self._files.keys() | parsed.keys():
            old, new = self._files.get(name), parsed.get(name)
            if old is new:
                continue
            if old is not None:
                for section in old.document:
                    self._sections[section] -= 1
                for key, _ in self._keys(old.document):
                    self._entries[key[0]][key].parts.pop(name)
                    dirty.add(key)
            if new is not None:
                for section in new.document:
                    self._sections[section] = self._sections.get(section, 0) + 1
                for key, part in self._keys(new.document):
                    section_entries = self._entries.setdefault(key[0], {})
                    section_entries.setdefault(key, _Entry()).parts[name] = part
                    dirty.add(key)
        self._files = parsed
        return dirty

    def _evaluate(self, key: Key) -> None:
        entry = self._entries[key[0]][key]
        if not entry.parts:
            del self._entries[key[0]][key]
            self._cross.pop(key, None)
            return
        patches = [{"v": entry.parts[name]} for name in sorted(entry.parts)]
        merged = json_merge_patch.merge({}, *patches)
        entry.present, entry.value = "v" in merged, merged.get("v")
        entry.typed, entry.text, entry.errors = None, b"", []
        if not entry.present:
            return
        section, value = key[0], entry.value
        kind = _KINDS.get(section)
        if len(key) == 2:
            value = {key[1]: value}
        if kind is None:
            entry.errors = self._locate(
                entry, key, [(join("", section), "unknown field")]
            )
            return
        try:
            typed = msgspec.convert(value, kind)
        except msgspec.ValidationError:
            problems = collect(kind, value, section)
            entry.errors = self._locate(entry, key, problems)
            return
        entry.typed = typed[key[1]] if len(key) == 2 else typed
        entry.text = (
            msgspec.json.encode(key[-1])
            + b":"
            + msgspec.json.encode(entry.value, order="sorted")
        )

    def _locate(
        self, entry: _Entry, key: Key, problems: list[Problem]
    ) -> list[SettingsError]:
        path = ""
        for token in key:
            path = join(path, token)
        parts = tuple((name, entry.parts[name]) for name in sorted(entry.parts))
        origins = _origins(path, parts)
        return [
            SettingsError(_file_of(where, origins, parts[-1][0]), where, reason)
            for where, reason in problems
        ]

    def _fields(self) -> dict[str, Any]:
        fields: dict[str, Any] = {}
        for section, entries in self._entries.items():
            if section in COLLECTIONS and section not in self._irregular:
                fields[section] = {
                    key[1]: entry.typed
                    for key, entry in entries.items()
                    if entry.typed is not None
                }
            else:
                for entry in entries.values():
                    if entry.typed is not None:
                        fields[section] = entry.typed
        return fields

    def _known(self, section: str) -> set[str]:
        entries = self._entries.get(section, {})
        if section not in self._irregular:
            return {key[1] for key, entry in entries.items() if entry.present}
        entry = entries.get((section,))
        return set(entry.value) if entry and isinstance(entry.value, dict) else set()

    def _cross_check(
        self, fields: dict[str, Any], dirty: set[Key]
    ) -> list[SettingsError]:
        names = tuple(self._known(s) for s in ("failure_domains", "models", "services"))
        domains, models, services = names
        everything = bool(self._irregular) or names != self._names
        self._names = names
        if everything:
            self._cross = {}
        for section in ("client_accounts", "upstreams"):
            typed = fields.get(section, {})
            for name in typed if everything else {k[1] for k in dirty if k[1:]}:
                key = (section, name)
                if not everything and key not in dirty:
                    continue
                problems: list[Problem] = []
                if name in typed and section == "client_accounts":
                    problems = check_account(name, typed[name], models, services)
                elif name in typed:
                    problems = check_upstream(
                        name, typed[name], domains, models, services
                    )
                self._cross.pop(key, None)
                if problems:
                    self._cross[key] = self._attribute(key, problems)
        found = [error for errors in self._cross.values() for error in errors]
        for path, reason in check_key_hashes(fields.get("client_accounts", {})):
            name = path.split("/")[1].replace("~1", "/").replace("~0", "~")
            found += self._attribute(("client_accounts", name), [(path, reason)])
        return found + self._definitions()

    def _attribute(self, key: Key, problems: list[Problem]) -> list[SettingsError]:
        if key[0] in self._irregular:
            key = key[:1]
        return self._locate(self._entries[key[0]][key], key, problems)

    def _definitions(self) -> list[SettingsError]:
        """Return accounts that more than one file defines; `null` only removes."""
        section = "client_accounts"
        definers: dict[str, list[str]] = {}
        if section in self._irregular:
            for file, parsed in self._files.items():
                part = parsed.document.get(section)
                for name, value in part.items() if isinstance(part, dict) else ():
                    if value is not None:
                        definers.setdefault(name, []).append(file)
        else:
            for key, entry in self._entries.get(section, {}).items():
                if len(entry.parts) > 1:
                    definers[key[1]] = sorted(
                        file for file, part in entry.parts.items() if part is not None
                    )
        return [
            SettingsError(
                file, join(section, name), f"account is already defined in {files[0]}"
            )
            for name, files in definers.items()
            for file in files[1:]
        ]

    def _document(self) -> tuple[dict[str, Any], str]:
        document: dict[str, Any] = {}
        hasher = hashlib.blake2b(b"{", digest_size=32)
        separator = b""
        for section in sorted(self._sections):
            if not self._sections[section]:
                continue
            entries = self._entries.get(section, {})
            if section in COLLECTIONS and section not in self._irregular:
                keys = sorted(key for key, entry in entries.items() if entry.present)
                document[section] = {key[1]: entries[key].value for key in keys}
                text = b",".join([entries[key].text for key in keys])
                text = msgspec.json.encode(section) + b":{" + text + b"}"
            else:
                entry = entries[(section,)]
                if not entry.present:
                    continue
                document[section] = entry.value
                text = entry.text
            hasher.update(separator + text)
            separator = b","
        hasher.update(b"}")
        return document, hasher.hexdigest()


def merge_folder(files: Mapping[str, bytes]) -> Result[Merged, list[SettingsError]]:
    """Merge the files of a folder, by name, into settings or all of their errors."""
    return Merger().merge(files)


def _origins(path: str, parts: tuple[tuple[str, Any], ...]) -> dict[str, str]:
    tree: Any = None
    for file, part in parts:
        tree = None if part is None else _mark(tree, part, file)
    found: dict[str, str] = {}
    _flatten(tree, path, found)
    return found


def _mark(tree: Any, part: Any, file: str) -> Any:
    """Apply a patch to a tree that holds file names in place of values."""
    if not isinstance(part, dict):
        return file
    result = tree if isinstance(tree, dict) else {}
    for key, value in part.items():
        if value is None:
            result.pop(key, None)
        else:
            result[key] = _mark(result.get(key), value, file)
    return result


def _flatten(tree: Any, path: str, found: dict[str, str]) -> None:
    if isinstance(tree, dict):
        for key, value in tree.items():
            _flatten(value, join(path, key), found)
    elif tree is not None:
        found[path] = tree


def _file_of(path: str, origins: dict[str, str], default: str) -> str:
    while path:
        if path in origins:
            return origins[path]
        below = [file for leaf, file in origins.items() if leaf.startswith(path + "/")]
        if below:
            return max(below)
        path = path.rpartition("/")[0]
    return default
