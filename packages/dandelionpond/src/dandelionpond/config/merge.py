"""Merge the published files in name order and check the result.

`Merger` keeps the parsed files and the checked entries of its last call, so that one
changed file among many costs little. The result depends on the bytes alone.
"""

import hashlib
from collections import Counter
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
    collect_type_errors,
    join_path,
)
from dandelionpond.config.origins import file_of, origins_of
from dandelionpond.config.parse import COLLECTIONS, Parsed, parse_file
from dandelionpond.config.schema import ClientAccount, Settings

__all__ = ["MergedSettings", "Merger", "SettingsError", "merge_folder"]

_ACCOUNTS = "client_accounts"

# A section and the name of a member, which is empty where the section is one unit.
Key = tuple[str, str]
_KINDS: dict[str, Any] = get_type_hints(Settings, include_extras=True)


class MergedSettings:
    """Hold merged settings; `digest` is BLAKE2b-256 over the canonical JSON.

    `document` and `origins` are computed at each use, because only operators read them.
    """

    __slots__ = ("_files", "digest", "settings")

    def __init__(
        self, settings: Settings, digest: str, files: dict[str, Parsed]
    ) -> None:
        self.settings = settings
        self.digest = digest
        self._files = files

    @property
    def document(self) -> dict[str, Any]:
        """Return the merged JSON document."""
        documents = [item.decode() for item in self._files.values()]
        merged: dict[str, Any] = json_merge_patch.merge({}, *documents)
        return merged

    @property
    def origins(self) -> dict[str, str]:
        """Return the file of each leaf path; an empty object has no leaf."""
        parts = [(name, item.decode()) for name, item in self._files.items()]
        return origins_of("", parts)


class _Section:
    """Hold the merged and checked members of one section by name.

    `sources` names the files that have a part of a member, `texts` is its canonical
    JSON and `whole` the value of a section that is one unit. A member that is present
    has either a typed value and a text or errors.
    """

    __slots__ = ("errors", "files", "names", "sources", "texts", "typed", "whole")

    def __init__(self) -> None:
        self.files = 0
        self.sources: dict[str, tuple[str, ...]] = {}
        self.whole: Any = None
        self.typed: dict[str, Any] = {}
        self.texts: dict[str, bytes] = {}
        self.errors: dict[str, list[SettingsError]] = {}
        self.names: list[str] | None = None

    def clear(self, name: str) -> None:
        """Forget the merged value of a member."""
        self.names = None
        self.whole = None
        for table in (self.typed, self.texts, self.errors):
            table.pop(name, None)

    def text(self) -> bytes:
        """Return the members as canonical JSON text, sorted by name."""
        if self.names is None:
            self.names = sorted(self.texts)
        return b",".join([self.texts[name] for name in self.names])


class Merger:
    """Merge folders one after another and reuse what has not changed.

    A collection in which each file has an object is merged member by member. If any
    file replaces a whole collection by another value, that collection is merged as one
    unit until no file does so.
    """

    __slots__ = (
        "_cross",
        "_documents",
        "_files",
        "_hash_uses",
        "_irregular",
        "_known",
        "_odd",
        "_sections",
        "_several",
        "_shared_hashes",
    )

    def __init__(self) -> None:
        self._reset()

    def _reset(self) -> None:
        self._files: dict[str, Parsed] = {}
        self._documents: dict[str, dict[str, Any]] = {}
        self._odd: dict[str, Parsed] = {}
        self._sections: dict[str, _Section] = {}
        self._irregular: frozenset[str] = frozenset()
        self._known: tuple[set[str], ...] = ()
        self._cross: dict[Key, list[SettingsError]] = {}
        self._several: set[str] = set()
        self._hash_uses: Counter[str] = Counter()
        self._shared_hashes = 0

    def merge(
        self, files: Mapping[str, bytes]
    ) -> Result[MergedSettings, list[SettingsError]]:
        """Merge and check a folder; an error is the sorted list of all errors."""
        parsed: dict[str, Parsed] = {}
        for name in sorted(files):
            known = self._files.get(name)
            if known is not None and known.data == files[name]:
                parsed[name] = known
            else:
                parsed[name] = parse_file(name, files[name])
        changed = [
            name
            for name in self._files.keys() | parsed.keys()
            if self._files.get(name) is not parsed.get(name)
        ]
        odd = {name: item for name, item in self._odd.items() if name in parsed}
        for name in changed:
            odd.pop(name, None)
            if name in parsed and (parsed[name].errors or parsed[name].irregular):
                odd[name] = parsed[name]
        irregular = frozenset(s for item in odd.values() for s in item.irregular)
        if irregular != self._irregular:
            self._reset()
            self._irregular = irregular
            changed = list(parsed)
        self._odd = odd
        dirty = self._replace_files(parsed, changed)
        for key in dirty:
            self._evaluate(key)
        errors = [error for item in odd.values() for error in item.errors]
        for section in self._sections.values():
            errors += [error for found in section.errors.values() for error in found]
        fields: dict[str, Any] = {
            name: dict(section.typed) if self._by_member(name) else section.typed[""]
            for name, section in self._sections.items()
            if section.typed
        }
        errors += self._cross_check(fields, dirty)
        self._documents = {}
        if errors:
            return Error(sorted(set(errors)))
        return Ok(MergedSettings(Settings(**fields), self._digest(), parsed))

    def _by_member(self, section: str) -> bool:
        return section in COLLECTIONS and section not in self._irregular

    def _keys(self, document: dict[str, Any]) -> Iterable[Key]:
        for section, value in document.items():
            if self._by_member(section):
                for name in value:
                    yield section, name
            else:
                yield section, ""

    def _parts(self, key: Key) -> list[tuple[str, Any]]:
        """Return each file with its part of a member, in merge order."""
        section, name = key
        found: list[tuple[str, Any]] = []
        for file in self._sections[section].sources[name]:
            if file not in self._documents:
                self._documents[file] = self._files[file].decode()
            part = self._documents[file][section]
            found.append((file, part[name] if self._by_member(section) else part))
        return found

    def _replace_files(
        self, parsed: dict[str, Parsed], changed: Iterable[str]
    ) -> set[Key]:
        dirty: set[Key] = set()
        for file in changed:
            old, new = self._files.get(file), parsed.get(file)
            if old is not None:
                document = old.decode()
                for section in document:
                    self._sections[section].files -= 1
                for section, name in self._keys(document):
                    sources = self._sections[section].sources
                    sources[name] = tuple(f for f in sources[name] if f != file)
                    dirty.add((section, name))
            if new is not None:
                document = self._documents[file] = new.decode()
                only = (file,)
                for section in document:
                    self._sections.setdefault(section, _Section()).files += 1
                for section, name in self._keys(document):
                    sources = self._sections[section].sources
                    held = sources.get(name)
                    sources[name] = tuple(sorted({*held, file})) if held else only
                    dirty.add((section, name))
        self._files = parsed
        return dirty

    def _evaluate(self, key: Key) -> None:
        section_name, name = key
        section = self._sections[section_name]
        by_member = self._by_member(section_name)
        if section_name == _ACCOUNTS and by_member:
            self._count_hashes(section.typed.get(name), -1)
        parts = self._parts(key)
        merged = _merge_parts(parts)
        if name not in section.texts or "v" not in merged:
            section.clear(name)
        if section_name == _ACCOUNTS:
            self._several.discard(name)
            if len(parts) > 1:
                self._several.add(name)
        if not parts:
            del section.sources[name]
        if "v" not in merged:
            return
        value = merged["v"]
        section.whole = None if by_member else value
        section.errors.pop(name, None)
        section.typed.pop(name, None)
        kind = _KINDS.get(section_name)
        if kind is None:
            section.clear(name)
            problems = [(join_path("", section_name), "unknown field")]
            section.errors[name] = self._locate(key, problems)
            return
        whole = {name: value} if by_member else value
        try:
            typed = msgspec.convert(whole, kind)
        except msgspec.ValidationError:
            section.names = None
            section.texts.pop(name, None)
            problems = collect_type_errors(kind, whole, section_name)
            section.errors[name] = self._locate(key, problems)
            return
        section.typed[name] = typed[name] if by_member else typed
        section.texts[name] = (
            msgspec.json.encode(name if by_member else section_name)
            + b":"
            + msgspec.json.encode(value, order="sorted")
        )
        if section_name == _ACCOUNTS and by_member:
            self._count_hashes(section.typed[name], 1)

    def _count_hashes(self, account: ClientAccount | None, step: int) -> None:
        for key_hash in account.key_hashes if account else ():
            uses = self._hash_uses[key_hash] + step
            if max(uses, uses - step) == 2:
                self._shared_hashes += step
            if uses:
                self._hash_uses[key_hash] = uses
            else:
                del self._hash_uses[key_hash]

    def _locate(self, key: Key, problems: list[Problem]) -> list[SettingsError]:
        section, name = key
        if not self._by_member(section):
            name = ""
        path = join_path("", section)
        if self._by_member(section):
            path = join_path(path, name)
        parts = self._parts((section, name))
        origins = origins_of(path, parts)
        return [
            SettingsError(file_of(where, origins, parts[-1][0]), where, reason)
            for where, reason in problems
        ]

    def _names(self, section: str) -> set[str]:
        held = self._sections.get(section)
        if held is None:
            return set()
        if self._by_member(section):
            return held.texts.keys() | held.errors.keys()
        return set(held.whole) if isinstance(held.whole, dict) else set()

    def _cross_check(
        self, fields: dict[str, Any], dirty: set[Key]
    ) -> list[SettingsError]:
        known = tuple(self._names(s) for s in ("failure_domains", "models", "services"))
        domains, models, services = known
        keys: Iterable[Key] = dirty
        if self._irregular or known != self._known:
            self._cross = {}
            keys = [(s, n) for s in (_ACCOUNTS, "upstreams") for n in fields.get(s, ())]
        self._known = known
        for key in keys:
            section, name = key
            self._cross.pop(key, None)
            value = (
                fields.get(section, {}).get(name) if section in COLLECTIONS else None
            )
            problems: list[Problem] = []
            if value is not None and section == _ACCOUNTS:
                problems = check_account(name, value, models, services)
            elif value is not None and section == "upstreams":
                problems = check_upstream(name, value, domains, models, services)
            if problems:
                self._cross[key] = self._locate(key, problems)
        found = [error for errors in self._cross.values() for error in errors]
        if self._shared_hashes or _ACCOUNTS in self._irregular:
            for name, problem in check_key_hashes(fields.get(_ACCOUNTS, {})):
                found += self._locate((_ACCOUNTS, name), [problem])
        return found + self._definitions()

    def _definitions(self) -> list[SettingsError]:
        """Return accounts that more than one file defines; `null` only removes."""
        definers: dict[str, list[str]] = {}
        if _ACCOUNTS in self._irregular:
            for file, parsed in self._files.items():
                part = parsed.decode().get(_ACCOUNTS)
                for name, value in part.items() if isinstance(part, dict) else ():
                    if value is not None:
                        definers.setdefault(name, []).append(file)
        elif _ACCOUNTS in self._sections:
            for name in self._several:
                parts = self._parts((_ACCOUNTS, name))
                definers[name] = [file for file, part in parts if part is not None]
        return [
            SettingsError(
                file,
                join_path(_ACCOUNTS, name),
                f"account is already defined in {files[0]}",
            )
            for name, files in definers.items()
            for file in files[1:]
        ]

    def _digest(self) -> str:
        hasher = hashlib.blake2b(b"{", digest_size=32)
        separator = b""
        for name in sorted(self._sections):
            section = self._sections[name]
            if not section.files:
                continue
            text = section.text()
            if self._by_member(name):
                text = msgspec.json.encode(name) + b":{" + text + b"}"
            elif not text:
                continue
            hasher.update(separator)
            hasher.update(text)
            separator = b","
        hasher.update(b"}")
        return hasher.hexdigest()


def merge_folder(
    files: Mapping[str, bytes],
) -> Result[MergedSettings, list[SettingsError]]:
    """Merge the files of a folder, by name, into settings or all of their errors."""
    return Merger().merge(files)


def _merge_parts(parts: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return `{"v": value}`, or an empty object if the patches leave no value."""
    if len(parts) == 1:
        [(_, part)] = parts
        if not _has_null(part):
            # A patch without null is its own result; this saves a copy.
            return {"v": part}
    patches = [{"v": part} for _, part in parts]
    merged: dict[str, Any] = json_merge_patch.merge({}, *patches)
    return merged


def _has_null(part: Any) -> bool:
    if isinstance(part, dict):
        return any(_has_null(value) for value in part.values())
    return part is None
