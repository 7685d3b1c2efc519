"""Check parsed settings and report every error with its path."""

import re
import types
from collections.abc import Collection, Mapping
from typing import Annotated, Any, Union, get_args, get_origin, get_type_hints

import msgspec

from dandelionpond.config.schema import ClientAccount, EngineUpstream, Upstream

Problem = tuple[str, str]
"""Pair a path with the reason it is refused."""

_LOCATION = re.compile(r" - at `.*`$", re.DOTALL)


class SettingsError(msgspec.Struct, frozen=True, order=True):
    """Report one error: the file, a JSON-pointer-like path in it and the reason.

    `path` is empty where the error concerns the whole file.
    """

    file: str
    path: str
    reason: str

    def __str__(self) -> str:
        """Return the error as one line."""
        return f"{self.file}: {self.path or '(file)'}: {self.reason}"


def join_path(path: str, key: object) -> str:
    """Append one key to a path, with `~` and `/` escaped as in RFC 6901."""
    token = str(key).replace("~", "~0").replace("/", "~1")
    return f"{path}/{token}" if path else token


def collect(kind: Any, value: object, path: str) -> list[Problem]:
    """Return all type errors of a value; `msgspec` itself stops at the first one."""
    try:
        msgspec.convert(value, kind)
        return []
    except msgspec.ValidationError as error:
        reason = _LOCATION.sub("", str(error))
    origin = get_origin(kind)
    found: list[Problem] = []
    if origin is dict and isinstance(value, dict):
        key_kind, value_kind = get_args(kind)
        for key, item in value.items():
            found += collect(key_kind, key, join_path(path, key))
            found += collect(value_kind, item, join_path(path, key))
    elif origin is tuple and isinstance(value, list):
        for index, item in enumerate(value):
            found += collect(get_args(kind)[0], item, join_path(path, index))
    elif origin in (Union, types.UnionType) and isinstance(value, dict):
        for member in get_args(kind):
            config = getattr(member, "__struct_config__", None)
            if config is not None and value.get(config.tag_field) == config.tag:
                return collect(member, value, path)
    elif origin is Annotated:
        pass
    elif isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        found = _collect_struct(kind, value, path)
    return found or [(path, reason)]


def _collect_struct(
    kind: type[msgspec.Struct], value: object, path: str
) -> list[Problem]:
    if not isinstance(value, dict):
        return []
    found: list[Problem] = []
    hints = get_type_hints(kind, include_extras=True)
    fields = msgspec.structs.fields(kind)
    known = {field.name for field in fields}
    for key in value:
        if key not in known and key != kind.__struct_config__.tag_field:
            found.append((join_path(path, key), "unknown field"))
    for field in fields:
        if field.name in value:
            found += collect(
                hints[field.name], value[field.name], join_path(path, field.name)
            )
        elif field.required:
            found.append((join_path(path, field.name), "required field is missing"))
    return found


def check_account(
    name: str,
    account: ClientAccount,
    models: Collection[str],
    services: Collection[str],
) -> list[Problem]:
    """Return the references of an account to unknown models or services."""
    path = join_path("client_accounts", name)
    return _dangling(path, "models", "model", account.models, models, "*") + _dangling(
        path, "services", "service", account.services, services, "*"
    )


def check_upstream(
    name: str,
    upstream: Upstream,
    domains: Collection[str],
    models: Collection[str],
    services: Collection[str],
) -> list[Problem]:
    """Return the references of an upstream to unknown names."""
    path = join_path("upstreams", name)
    found: list[Problem] = []
    if upstream.failure_domain not in domains:
        reason = f"unknown failure domain {upstream.failure_domain!r}"
        found.append((join_path(path, "failure_domain"), reason))
    if isinstance(upstream, EngineUpstream):
        return found + _dangling(path, "models", "model", upstream.models, models)
    return found + _dangling(path, "services", "service", upstream.services, services)


def check_key_hashes(
    accounts: Mapping[str, ClientAccount],
) -> list[tuple[str, Problem]]:
    """Return accounts that share a key hash with an account of a lower name."""
    owners: dict[str, str] = {}
    found: list[tuple[str, Problem]] = []
    for name in sorted(accounts):
        for index, key_hash in enumerate(accounts[name].key_hashes):
            first = owners.setdefault(key_hash, name)
            if first != name:
                path = join_path(
                    join_path(join_path("client_accounts", name), "key_hashes"), index
                )
                reason = f"key hash is also that of account {first!r}"
                found.append((name, (path, reason)))
    return found


def _dangling(
    path: str,
    field: str,
    what: str,
    names: tuple[str, ...],
    known: Collection[str],
    wildcard: str | None = None,
) -> list[Problem]:
    return [
        (join_path(join_path(path, field), index), f"unknown {what} {name!r}")
        for index, name in enumerate(names)
        if name not in known and name != wildcard
    ]
