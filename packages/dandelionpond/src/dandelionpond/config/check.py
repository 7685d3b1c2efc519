"""Validate parsed settings and report every error with its path."""

import re
import types
from collections.abc import Collection, Mapping
from typing import Annotated, Any, Union, get_args, get_origin, get_type_hints

import msgspec

from dandelionpond.config.schema import ClientAccount, EngineUpstream, Upstream

Problem = tuple[str, str]
"""Path of an invalid value and the reason why it is invalid."""

_MSGSPEC_PATH_SUFFIX = re.compile(r" - at `.*`$", re.DOTALL)


class SettingsError(msgspec.Struct, frozen=True, order=True):
    """An error in the settings, with its file, path and reason.

    `path` is written like a JSON pointer without the leading slash; it is empty if the
    error concerns the whole file.
    """

    file: str
    path: str
    reason: str

    def __str__(self) -> str:
        """Return the error as one line."""
        return f"{self.file}: {self.path or '(file)'}: {self.reason}"


def join_path(path: str, key: object) -> str:
    """Append a key to a path, escaping `~` and `/` as in RFC 6901."""
    token = str(key).replace("~", "~0").replace("/", "~1")
    return f"{path}/{token}" if path else token


def collect_type_errors(expected_type: Any, value: object, path: str) -> list[Problem]:
    """Return all type errors in a value; `msgspec` alone reports only the first."""
    try:
        msgspec.convert(value, expected_type)
        return []
    except msgspec.ValidationError as error:
        reason = _MSGSPEC_PATH_SUFFIX.sub("", str(error))
    origin = get_origin(expected_type)
    problems: list[Problem] = []
    if origin is dict and isinstance(value, dict):
        key_type, value_type = get_args(expected_type)
        for key, item in value.items():
            problems += collect_type_errors(key_type, key, join_path(path, key))
            problems += collect_type_errors(value_type, item, join_path(path, key))
    elif origin is tuple and isinstance(value, list):
        for index, item in enumerate(value):
            problems += collect_type_errors(
                get_args(expected_type)[0], item, join_path(path, index)
            )
    elif origin in (Union, types.UnionType) and isinstance(value, dict):
        for union_member in get_args(expected_type):
            config = getattr(union_member, "__struct_config__", None)
            if config is not None and value.get(config.tag_field) == config.tag:
                return collect_type_errors(union_member, value, path)
    elif origin is Annotated:
        pass
    elif isinstance(expected_type, type) and issubclass(expected_type, msgspec.Struct):
        problems = _collect_struct_errors(expected_type, value, path)
    return problems or [(path, reason)]


def _collect_struct_errors(
    expected_type: type[msgspec.Struct], value: object, path: str
) -> list[Problem]:
    if not isinstance(value, dict):
        return []
    problems: list[Problem] = []
    hints = get_type_hints(expected_type, include_extras=True)
    fields = msgspec.structs.fields(expected_type)
    field_names = {field.name for field in fields}
    for key in value:
        if key not in field_names and key != expected_type.__struct_config__.tag_field:
            problems.append((join_path(path, key), "unknown field"))
    for field in fields:
        if field.name in value:
            problems += collect_type_errors(
                hints[field.name], value[field.name], join_path(path, field.name)
            )
        elif field.required:
            problems.append((join_path(path, field.name), "required field is missing"))
    return problems


def check_account(
    name: str,
    account: ClientAccount,
    models: Collection[str],
    services: Collection[str],
) -> list[Problem]:
    """Return an error for each unknown model or service that an account names."""
    path = join_path("client_accounts", name)
    return _unknown_references(
        path, "models", "model", account.models, models, "*"
    ) + _unknown_references(
        path, "services", "service", account.services, services, "*"
    )


def check_upstream(
    name: str,
    upstream: Upstream,
    domains: Collection[str],
    models: Collection[str],
    services: Collection[str],
) -> list[Problem]:
    """Return an error for each unknown name that an upstream refers to."""
    path = join_path("upstreams", name)
    problems: list[Problem] = []
    if upstream.failure_domain not in domains:
        reason = f"unknown failure domain {upstream.failure_domain!r}"
        problems.append((join_path(path, "failure_domain"), reason))
    if isinstance(upstream, EngineUpstream):
        return problems + _unknown_references(
            path, "models", "model", upstream.models, models
        )
    return problems + _unknown_references(
        path, "services", "service", upstream.services, services
    )


def check_key_hashes(
    accounts: Mapping[str, ClientAccount],
) -> list[tuple[str, Problem]]:
    """Return an error, with the account's name, for each key hash used repeatedly.

    The account whose name sorts first is the owner; the other accounts get the errors.
    """
    owners: dict[str, str] = {}
    problems: list[tuple[str, Problem]] = []
    for name in sorted(accounts):
        for index, key_hash in enumerate(accounts[name].key_hashes):
            owner = owners.setdefault(key_hash, name)
            if owner != name:
                path = join_path(
                    join_path(join_path("client_accounts", name), "key_hashes"), index
                )
                reason = f"key hash is already used by account {owner!r}"
                problems.append((name, (path, reason)))
    return problems


def _unknown_references(
    path: str,
    field: str,
    kind: str,
    names: tuple[str, ...],
    known_names: Collection[str],
    wildcard: str | None = None,
) -> list[Problem]:
    return [
        (join_path(join_path(path, field), index), f"unknown {kind} {name!r}")
        for index, name in enumerate(names)
        if name not in known_names and name != wildcard
    ]
