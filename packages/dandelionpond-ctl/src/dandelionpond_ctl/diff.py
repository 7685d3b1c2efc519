"""Compare two folders of settings and list what each change affects."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from dandelionpond.config.schema import Settings
from dandelionpond_ctl.exit_codes import FINDINGS, OK
from dandelionpond_ctl.folder import load_valid_settings, print_json, print_table
from dandelionpond_ctl.render import iterate_leaves
from dandelionpond_ctl.user_settings import wants_json

MAX_SHOWN_NAMES = 5

_KIND_BY_SECTION = {
    "client_accounts": "client account",
    "services": "service",
    "models": "model",
    "upstreams": "upstream",
    "failure_domains": "failure domain",
}
_REPETITION_KIND = "rules of repetition"
_SERVICE_REPETITION_FIELDS = ("idempotent", "deduplicates", "states_not_run")
_REQUEST_REPETITION_FIELDS = (
    "max_attempts",
    "retry_ratio",
    "retry_burst",
    "ticket_ttl_s",
    "max_tickets",
)


class Change(msgspec.Struct, frozen=True, order=True):
    """A change and, in `affects`, the names of what it affects.

    `before` and `after` are JSON texts, empty if the value is absent. `field` is empty
    for an added or removed entry.
    """

    kind: str
    name: str
    change: str
    field: str
    before: str
    after: str
    affects: tuple[str, ...]


def diff(before: Path, after: Path, /, *, json: bool | None = None) -> int:
    """Show what changes for client accounts, services, models and upstreams.

    Defaults count as values, so a field that is set to its default is no change. The
    exit code is 1 if there are changes.

    Parameters
    ----------
    before
        Folder of published files.
    after
        Folder to compare with it.
    json
        Print JSON in place of a table.
    """
    old, new = load_valid_settings(before), load_valid_settings(after)
    changes = compare_settings(old.settings, new.settings)
    if wants_json(json):
        print_json({"before": old.digest, "after": new.digest, "changes": changes})
    elif changes:
        rows = [
            # Only the JSON output has the whole value of an added or removed entry.
            (change.kind, change.name, change.change, change.field)
            + ((change.before, change.after) if change.field else ("", ""))
            + (_format_names(change.affects),)
            for change in changes
        ]
        columns = ("kind", "name", "change", "field", "before", "after", "for")
        print_table(columns, rows)
    else:
        print("no changes")
    return FINDINGS if changes else OK


def compare_settings(old: Settings, new: Settings) -> list[Change]:
    """Return all changes, sorted."""
    changes: list[Change] = []
    old_sections, new_sections = msgspec.to_builtins(old), msgspec.to_builtins(new)
    for section, kind in _KIND_BY_SECTION.items():
        for name in sorted(old_sections[section].keys() | new_sections[section].keys()):
            old_value, new_value = (
                old_sections[section].get(name),
                new_sections[section].get(name),
            )
            if old_value == new_value:
                continue
            affects = _affected_names(section, name, old, new)
            if old_value is None or new_value is None:
                change_type = "added" if old_value is None else "removed"
                texts = (_to_json(old_value), _to_json(new_value))
                changes.append(Change(kind, name, change_type, "", *texts, affects))
                continue
            for field, old_field, new_field in _changed_fields(old_value, new_value):
                is_repetition = (
                    section == "services" and field in _SERVICE_REPETITION_FIELDS
                )
                change_kind = _REPETITION_KIND if is_repetition else kind
                texts = (_to_json(old_field), _to_json(new_field))
                changes.append(
                    Change(change_kind, name, "changed", field, *texts, affects)
                )
    for section in old_sections.keys() - _KIND_BY_SECTION.keys():
        for field, old_field, new_field in _changed_fields(
            old_sections[section], new_sections[section]
        ):
            is_repetition = (
                section == "requests" and field in _REQUEST_REPETITION_FIELDS
            )
            change_kind = _REPETITION_KIND if is_repetition else "setting"
            texts = (_to_json(old_field), _to_json(new_field))
            changes.append(
                Change(change_kind, section, "changed", field, *texts, ("all nodes",))
            )
    return sorted(changes)


def _changed_fields(old_value: Any, new_value: Any) -> Iterator[tuple[str, Any, Any]]:
    old_leaves, new_leaves = (
        dict(iterate_leaves(old_value)),
        dict(iterate_leaves(new_value)),
    )
    for field in sorted(old_leaves.keys() | new_leaves.keys()):
        if old_leaves.get(field) != new_leaves.get(field):
            yield field, old_leaves.get(field), new_leaves.get(field)


def _affected_names(
    section: str, name: str, old: Settings, new: Settings
) -> tuple[str, ...]:
    affected: set[str] = set()
    for settings in (old, new):
        if section in ("services", "models"):
            if name not in getattr(settings, section):
                continue
            for account, value in settings.client_accounts.items():
                permitted = getattr(value, section)
                if name in permitted or "*" in permitted:
                    affected.add(account)
        elif section == "upstreams" and name in settings.upstreams:
            upstream = settings.upstreams[name]
            for field in ("models", "services"):
                affected |= {
                    f"{_KIND_BY_SECTION[field]} {item}"
                    for item in getattr(upstream, field, ())
                }
        elif section == "failure_domains":
            affected |= {
                f"upstream {upstream}"
                for upstream, value in settings.upstreams.items()
                if value.failure_domain == name
            }
    if section == "client_accounts":
        affected = {name}
    return tuple(sorted(affected))


def _to_json(value: Any) -> str:
    return "" if value is None else msgspec.json.encode(value).decode()


def _format_names(names: tuple[str, ...]) -> str:
    omitted = len(names) - MAX_SHOWN_NAMES
    return ", ".join(names[:MAX_SHOWN_NAMES]) + (
        f" and {omitted} more" if omitted > 0 else ""
    )
