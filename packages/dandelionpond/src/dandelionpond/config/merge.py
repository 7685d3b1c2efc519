"""Merge the published files in name order and validate the result.

`Merger` reuses the parsed files and validated members of its last call, which makes a
change of one file among many cheap. The result depends on nothing but the files.
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
from dandelionpond.config.origins import find_origin, origins_by_path
from dandelionpond.config.parse import COLLECTIONS, ParsedFile, parse_file
from dandelionpond.config.schema import ClientAccount, Settings

__all__ = ["MergedSettings", "Merger", "SettingsError", "merge_folder"]

_ACCOUNTS_SECTION = "client_accounts"

# A section and the name of a member, or an empty name if the section is one unit.
MemberKey = tuple[str, str]
_SECTION_TYPES: dict[str, Any] = get_type_hints(Settings, include_extras=True)


class MergedSettings:
    """The merged settings; `digest` is the BLAKE2b-256 hash of the canonical JSON.

    `document` and `origins` are computed at each access, because only operators' tools
    read them.
    """

    __slots__ = ("_parsed_files", "digest", "settings")

    def __init__(
        self, settings: Settings, digest: str, files: dict[str, ParsedFile]
    ) -> None:
        self.settings = settings
        self.digest = digest
        self._parsed_files = files

    @property
    def document(self) -> dict[str, Any]:
        """Return the merged JSON document."""
        documents = [item.decode() for item in self._parsed_files.values()]
        merged: dict[str, Any] = json_merge_patch.merge({}, *documents)
        return merged

    @property
    def origins(self) -> dict[str, str]:
        """Return the file that set each leaf, by path; an empty object has no leaf."""
        patches = [(name, item.decode()) for name, item in self._parsed_files.items()]
        return origins_by_path("", patches)


class _Section:
    """The merged and validated members of one section by name.

    `sources` are the names of the files that contain a member and `json_texts` its
    canonical JSON. `unit_value` is the value of a section that is one unit. A member
    has either a typed value and a text, or errors.
    """

    __slots__ = (
        "errors",
        "file_count",
        "json_texts",
        "sorted_names",
        "sources",
        "typed_values",
        "unit_value",
    )

    def __init__(self) -> None:
        self.file_count = 0
        self.sources: dict[str, tuple[str, ...]] = {}
        self.unit_value: Any = None
        self.typed_values: dict[str, Any] = {}
        self.json_texts: dict[str, bytes] = {}
        self.errors: dict[str, list[SettingsError]] = {}
        self.sorted_names: list[str] | None = None

    def clear_member(self, name: str) -> None:
        """Remove the merged value of a member and its errors."""
        self.sorted_names = None
        self.unit_value = None
        for table in (self.typed_values, self.json_texts, self.errors):
            table.pop(name, None)

    def canonical_json(self) -> bytes:
        """Return the members as canonical JSON, sorted by name."""
        if self.sorted_names is None:
            self.sorted_names = sorted(self.json_texts)
        return b",".join([self.json_texts[name] for name in self.sorted_names])


class Merger:
    """A merger of successive versions of a folder that reuses what has not changed.

    A collection is merged member by member if its value in each file is an object. As
    long as a file has another value for it, the collection is merged as one unit.
    """

    __slots__ = (
        "_accounts_in_several_files",
        "_decoded_files",
        "_exceptional_files",
        "_key_hash_counts",
        "_known_names",
        "_non_object_collections",
        "_parsed_files",
        "_reference_errors",
        "_sections",
        "_shared_hash_count",
    )

    def __init__(self) -> None:
        self._reset()

    def _reset(self) -> None:
        self._parsed_files: dict[str, ParsedFile] = {}
        self._decoded_files: dict[str, dict[str, Any]] = {}
        # Files with errors or with collections that are not objects.
        self._exceptional_files: dict[str, ParsedFile] = {}
        self._sections: dict[str, _Section] = {}
        self._non_object_collections: frozenset[str] = frozenset()
        self._known_names: tuple[set[str], ...] = ()
        self._reference_errors: dict[MemberKey, list[SettingsError]] = {}
        self._accounts_in_several_files: set[str] = set()
        self._key_hash_counts: Counter[str] = Counter()
        self._shared_hash_count = 0

    def merge(
        self, files: Mapping[str, bytes]
    ) -> Result[MergedSettings, list[SettingsError]]:
        """Merge and validate a folder, or return the sorted list of all errors."""
        parsed: dict[str, ParsedFile] = {}
        for name in sorted(files):
            previous = self._parsed_files.get(name)
            if previous is not None and previous.data == files[name]:
                parsed[name] = previous
            else:
                parsed[name] = parse_file(name, files[name])
        changed = [
            name
            for name in self._parsed_files.keys() | parsed.keys()
            if self._parsed_files.get(name) is not parsed.get(name)
        ]
        exceptional_files = {
            name: item
            for name, item in self._exceptional_files.items()
            if name in parsed
        }
        for name in changed:
            exceptional_files.pop(name, None)
            if name in parsed and (
                parsed[name].errors or parsed[name].non_object_collections
            ):
                exceptional_files[name] = parsed[name]
        non_object_collections = frozenset(
            collection
            for item in exceptional_files.values()
            for collection in item.non_object_collections
        )
        if non_object_collections != self._non_object_collections:
            self._reset()
            self._non_object_collections = non_object_collections
            changed = list(parsed)
        self._exceptional_files = exceptional_files
        changed_keys = self._replace_files(parsed, changed)
        for key in changed_keys:
            self._merge_member(key)
        errors = [error for item in exceptional_files.values() for error in item.errors]
        for section in self._sections.values():
            errors += [
                error
                for member_errors in section.errors.values()
                for error in member_errors
            ]
        fields: dict[str, Any] = {
            name: dict(section.typed_values)
            if self._is_merged_by_member(name)
            else section.typed_values[""]
            for name, section in self._sections.items()
            if section.typed_values
        }
        errors += self._check_references(fields, changed_keys)
        self._decoded_files = {}
        if errors:
            return Error(sorted(set(errors)))
        return Ok(MergedSettings(Settings(**fields), self._digest(), parsed))

    def _is_merged_by_member(self, section: str) -> bool:
        return section in COLLECTIONS and section not in self._non_object_collections

    def _member_keys(self, document: dict[str, Any]) -> Iterable[MemberKey]:
        for section, value in document.items():
            if self._is_merged_by_member(section):
                for name in value:
                    yield section, name
            else:
                yield section, ""

    def _patches_of_member(self, key: MemberKey) -> list[tuple[str, Any]]:
        """Return pairs of a file name and its patch of a member, in merge order."""
        section, name = key
        patches: list[tuple[str, Any]] = []
        for file in self._sections[section].sources[name]:
            if file not in self._decoded_files:
                self._decoded_files[file] = self._parsed_files[file].decode()
            patch = self._decoded_files[file][section]
            patches.append(
                (file, patch[name] if self._is_merged_by_member(section) else patch)
            )
        return patches

    def _replace_files(
        self, parsed: dict[str, ParsedFile], changed: Iterable[str]
    ) -> set[MemberKey]:
        changed_keys: set[MemberKey] = set()
        for file in changed:
            old, new = self._parsed_files.get(file), parsed.get(file)
            if old is not None:
                document = old.decode()
                for section in document:
                    self._sections[section].file_count -= 1
                for section, name in self._member_keys(document):
                    sources = self._sections[section].sources
                    sources[name] = tuple(f for f in sources[name] if f != file)
                    changed_keys.add((section, name))
            if new is not None:
                document = self._decoded_files[file] = new.decode()
                sole_source = (file,)
                for section in document:
                    self._sections.setdefault(section, _Section()).file_count += 1
                for section, name in self._member_keys(document):
                    sources = self._sections[section].sources
                    previous = sources.get(name)
                    sources[name] = (
                        tuple(sorted({*previous, file})) if previous else sole_source
                    )
                    changed_keys.add((section, name))
        self._parsed_files = parsed
        return changed_keys

    def _merge_member(self, key: MemberKey) -> None:
        section_name, name = key
        section = self._sections[section_name]
        is_by_member = self._is_merged_by_member(section_name)
        if section_name == _ACCOUNTS_SECTION and is_by_member:
            self._count_key_hashes(section.typed_values.get(name), -1)
        patches = self._patches_of_member(key)
        merged = _merge_patches(patches)
        if name not in section.json_texts or "v" not in merged:
            section.clear_member(name)
        if section_name == _ACCOUNTS_SECTION:
            self._accounts_in_several_files.discard(name)
            if len(patches) > 1:
                self._accounts_in_several_files.add(name)
        if not patches:
            del section.sources[name]
        if "v" not in merged:
            return
        value = merged["v"]
        section.unit_value = None if is_by_member else value
        section.errors.pop(name, None)
        section.typed_values.pop(name, None)
        section_type = _SECTION_TYPES.get(section_name)
        if section_type is None:
            section.clear_member(name)
            problems = [(join_path("", section_name), "unknown field")]
            section.errors[name] = self._add_origins(key, problems)
            return
        whole = {name: value} if is_by_member else value
        try:
            typed = msgspec.convert(whole, section_type)
        except msgspec.ValidationError:
            section.sorted_names = None
            section.json_texts.pop(name, None)
            problems = collect_type_errors(section_type, whole, section_name)
            section.errors[name] = self._add_origins(key, problems)
            return
        section.typed_values[name] = typed[name] if is_by_member else typed
        section.json_texts[name] = (
            msgspec.json.encode(name if is_by_member else section_name)
            + b":"
            + msgspec.json.encode(value, order="sorted")
        )
        if section_name == _ACCOUNTS_SECTION and is_by_member:
            self._count_key_hashes(section.typed_values[name], 1)

    def _count_key_hashes(self, account: ClientAccount | None, step: int) -> None:
        """Add `step`, 1 or -1, to the count of each key hash of an account.

        Also count the hashes that are used more than once.
        """
        for key_hash in account.key_hashes if account else ():
            count = self._key_hash_counts[key_hash] + step
            if max(count, count - step) == 2:
                self._shared_hash_count += step
            if count:
                self._key_hash_counts[key_hash] = count
            else:
                del self._key_hash_counts[key_hash]

    def _add_origins(
        self, key: MemberKey, problems: list[Problem]
    ) -> list[SettingsError]:
        """Return the problems of a member as errors that name the file at fault."""
        section, name = key
        if not self._is_merged_by_member(section):
            name = ""
        path = join_path("", section)
        if self._is_merged_by_member(section):
            path = join_path(path, name)
        patches = self._patches_of_member((section, name))
        origins = origins_by_path(path, patches)
        return [
            SettingsError(
                find_origin(problem_path, origins, patches[-1][0]), problem_path, reason
            )
            for problem_path, reason in problems
        ]

    def _member_names(self, section: str) -> set[str]:
        members = self._sections.get(section)
        if members is None:
            return set()
        if self._is_merged_by_member(section):
            return members.json_texts.keys() | members.errors.keys()
        return (
            set(members.unit_value) if isinstance(members.unit_value, dict) else set()
        )

    def _check_references(
        self, fields: dict[str, Any], changed_keys: set[MemberKey]
    ) -> list[SettingsError]:
        known_names = tuple(
            self._member_names(section)
            for section in ("failure_domains", "models", "services")
        )
        domains, models, services = known_names
        keys: Iterable[MemberKey] = changed_keys
        if self._non_object_collections or known_names != self._known_names:
            self._reference_errors = {}
            keys = [
                (section, name)
                for section in (_ACCOUNTS_SECTION, "upstreams")
                for name in fields.get(section, ())
            ]
        self._known_names = known_names
        for key in keys:
            section, name = key
            self._reference_errors.pop(key, None)
            value = (
                fields.get(section, {}).get(name) if section in COLLECTIONS else None
            )
            problems: list[Problem] = []
            if value is not None and section == _ACCOUNTS_SECTION:
                problems = check_account(name, value, models, services)
            elif value is not None and section == "upstreams":
                problems = check_upstream(name, value, domains, models, services)
            if problems:
                self._reference_errors[key] = self._add_origins(key, problems)
        errors = [
            error
            for member_errors in self._reference_errors.values()
            for error in member_errors
        ]
        if self._shared_hash_count or _ACCOUNTS_SECTION in self._non_object_collections:
            for name, problem in check_key_hashes(fields.get(_ACCOUNTS_SECTION, {})):
                errors += self._add_origins((_ACCOUNTS_SECTION, name), [problem])
        return errors + self._duplicate_account_errors()

    def _duplicate_account_errors(self) -> list[SettingsError]:
        """Return an error for each further file that defines an account.

        A file in which the account is `null` does not define it.
        """
        files_by_account: dict[str, list[str]] = {}
        if _ACCOUNTS_SECTION in self._non_object_collections:
            for file, parsed in self._parsed_files.items():
                patch = parsed.decode().get(_ACCOUNTS_SECTION)
                for name, value in patch.items() if isinstance(patch, dict) else ():
                    if value is not None:
                        files_by_account.setdefault(name, []).append(file)
        elif _ACCOUNTS_SECTION in self._sections:
            for name in self._accounts_in_several_files:
                patches = self._patches_of_member((_ACCOUNTS_SECTION, name))
                files_by_account[name] = [
                    file for file, patch in patches if patch is not None
                ]
        return [
            SettingsError(
                file,
                join_path(_ACCOUNTS_SECTION, name),
                f"account is already defined in {files[0]}",
            )
            for name, files in files_by_account.items()
            for file in files[1:]
        ]

    def _digest(self) -> str:
        hasher = hashlib.blake2b(b"{", digest_size=32)
        separator = b""
        for name in sorted(self._sections):
            section = self._sections[name]
            if not section.file_count:
                continue
            text = section.canonical_json()
            if self._is_merged_by_member(name):
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
    """Merge and validate the files of a folder, or return the sorted list of errors."""
    return Merger().merge(files)


def _merge_patches(patches: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return the merged value as `{"v": value}`, or `{}` if the patches remove it."""
    if len(patches) == 1:
        [(_, patch)] = patches
        if not _has_null(patch):
            # A patch without null is the result itself, so no copy is needed.
            return {"v": patch}
    wrapped_patches = [{"v": patch} for _, patch in patches]
    merged: dict[str, Any] = json_merge_patch.merge({}, *wrapped_patches)
    return merged


def _has_null(patch: Any) -> bool:
    if isinstance(patch, dict):
        return any(_has_null(value) for value in patch.values())
    return patch is None
