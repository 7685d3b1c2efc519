"""Show what changes for whom between two folders."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from dandelionpond.config.schema import Settings
from dandelionpond_ctl.exit_codes import FINDINGS, OK
from dandelionpond_ctl.folder import load_valid, print_json, print_table
from dandelionpond_ctl.render import leaves
from dandelionpond_ctl.user_settings import wants_json

MAX_NAMES = 5

_KINDS = {
    "client_accounts": "client account",
    "services": "service",
    "models": "model",
    "upstreams": "upstream",
    "failure_domains": "failure domain",
}
_REPETITION = "rules of repetition"
_SERVICE_REPETITION = ("idempotent", "deduplicates", "states_not_run")
_REQUEST_REPETITION = (
    "max_attempts",
    "retry_ratio",
    "retry_burst",
    "ticket_ttl_s",
    "max_tickets",
)


class Change(msgspec.Struct, frozen=True, order=True):
    """Describe one change; `affects` names those for whom something changes.

    `before` and `after` are JSON texts, empty where the value is absent. An added or
    removed member has an empty `field`.
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
    old, new = load_valid(before), load_valid(after)
    changes = compare(old.settings, new.settings)
    if wants_json(json):
        print_json({"before": old.digest, "after": new.digest, "changes": changes})
    elif changes:
        rows = [
            # The whole of an added or removed member is only in the JSON output.
            (c.kind, c.name, c.change, c.field)
            + ((c.before, c.after) if c.field else ("", ""))
            + (_names(c.affects),)
            for c in changes
        ]
        columns = ("kind", "name", "change", "field", "before", "after", "for")
        print_table(columns, rows)
    else:
        print("no changes")
    return FINDINGS if changes else OK


def compare(old: Settings, new: Settings) -> list[Change]:
    """Return all changes in a stable order."""
    changes: list[Change] = []
    before, after = msgspec.to_builtins(old), msgspec.to_builtins(new)
    for section, kind in _KINDS.items():
        for name in sorted(before[section].keys() | after[section].keys()):
            was, now = before[section].get(name), after[section].get(name)
            if was == now:
                continue
            affects = _affected(section, name, old, new)
            if was is None or now is None:
                change = "added" if was is None else "removed"
                texts = (_text(was), _text(now))
                changes.append(Change(kind, name, change, "", *texts, affects))
                continue
            for field, first, second in _fields(was, now):
                repeats = section == "services" and field in _SERVICE_REPETITION
                label = _REPETITION if repeats else kind
                texts = (_text(first), _text(second))
                changes.append(Change(label, name, "changed", field, *texts, affects))
    for section in before.keys() - _KINDS.keys():
        for field, first, second in _fields(before[section], after[section]):
            repeats = section == "requests" and field in _REQUEST_REPETITION
            label = _REPETITION if repeats else "setting"
            texts = (_text(first), _text(second))
            changes.append(
                Change(label, section, "changed", field, *texts, ("all nodes",))
            )
    return sorted(changes)


def _fields(was: Any, now: Any) -> Iterator[tuple[str, Any, Any]]:
    first, second = dict(leaves(was)), dict(leaves(now))
    for field in sorted(first.keys() | second.keys()):
        if first.get(field) != second.get(field):
            yield field, first.get(field), second.get(field)


def _affected(section: str, name: str, old: Settings, new: Settings) -> tuple[str, ...]:
    found: set[str] = set()
    for settings in (old, new):
        if section in ("services", "models"):
            if name not in getattr(settings, section):
                continue
            for account, value in settings.client_accounts.items():
                permitted = getattr(value, section)
                if name in permitted or "*" in permitted:
                    found.add(account)
        elif section == "upstreams" and name in settings.upstreams:
            upstream = settings.upstreams[name]
            for field in ("models", "services"):
                found |= {
                    f"{_KINDS[field]} {item}" for item in getattr(upstream, field, ())
                }
        elif section == "failure_domains":
            found |= {
                f"upstream {upstream}"
                for upstream, value in settings.upstreams.items()
                if value.failure_domain == name
            }
    if section == "client_accounts":
        found = {name}
    return tuple(sorted(found))


def _text(value: Any) -> str:
    return "" if value is None else msgspec.json.encode(value).decode()


def _names(names: tuple[str, ...]) -> str:
    more = len(names) - MAX_NAMES
    return ", ".join(names[:MAX_NAMES]) + (f" and {more} more" if more > 0 else "")
