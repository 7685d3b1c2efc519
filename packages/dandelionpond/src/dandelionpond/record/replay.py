"""Decide recorded decisions again and report each difference."""

from collections.abc import Iterable
from typing import Any

import msgspec

from dandelionpond.record.recorder import DecisionRecord
from dandelionpond.record.registry import Registry

# Differences repeat once a rule has changed; the count goes on.
MAX_DIFFERENCES = 1_000


class Difference(msgspec.Struct, frozen=True):
    """Say where a repeated decision differs: `path` is that of the first value."""

    seq: int
    decision: str
    path: str
    recorded: str
    decided: str


class Report(msgspec.Struct, frozen=True):
    """Summarize a replay; lists hold sequence numbers.

    Records of another version are not decided again. Records with other settings are,
    because their input is complete. `detail` is the whole first record that differs.
    """

    total: int
    same: int
    different: int
    differences: list[Difference]
    detail: str
    other_versions: dict[str, int]
    unknown_decisions: dict[str, int]
    other_settings: dict[str, int]
    invalid: list[str]

    @property
    def is_clean(self) -> bool:
        """Say whether each record was decided again with the same outcome."""
        return self.same == self.total and not self.other_settings


def replay(
    lines: Iterable[bytes | str],
    registry: Registry,
    version: str,
    settings_digest: str | None = None,
) -> Report:
    """Decide each JSON line again; `settings_digest` is that of the folder given."""
    total = same = different = 0
    differences: list[Difference] = []
    detail = ""
    versions: dict[str, int] = {}
    unknown: dict[str, int] = {}
    settings: dict[str, int] = {}
    invalid: list[str] = []
    decoder = msgspec.json.Decoder(DecisionRecord)
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        total += 1
        try:
            record = decoder.decode(line)
        except (msgspec.MsgspecError, RecursionError) as error:
            invalid.append(f"line {number}: {error}")
            continue
        name = f"{record.slice}.{record.decision}"
        if settings_digest is not None and record.settings_digest != settings_digest:
            _count(settings, record.settings_digest)
        if record.version != version:
            _count(versions, record.version)
            continue
        decision = registry.get(record.slice, record.decision)
        if decision is None:
            _count(unknown, name)
            continue
        try:
            data = msgspec.convert(record.input, decision.input_type)
            # Tuples, enumerations and keys of dicts are compared in their JSON form.
            outcome = msgspec.convert(decision.function(data), decision.output_type)
            decided = msgspec.json.decode(msgspec.json.encode(outcome))
        except Exception as error:
            text = f"{type(error).__name__}: {error}"
            found = ("", _text(record.outcome), text)
        else:
            found_or_none = first_difference(record.outcome, decided)
            if found_or_none is None:
                same += 1
                continue
            found = found_or_none
        different += 1
        if not detail:
            detail = line.decode() if isinstance(line, bytes) else line
        if len(differences) < MAX_DIFFERENCES:
            differences.append(Difference(record.seq, name, *found))
    return Report(
        total,
        same,
        different,
        differences,
        detail,
        versions,
        unknown,
        settings,
        invalid,
    )


def first_difference(
    recorded: Any, decided: Any, path: str = "$"
) -> tuple[str, str, str] | None:
    """Return path and both values of the first difference of two JSON values."""
    if isinstance(recorded, dict) and isinstance(decided, dict):
        for key in sorted(recorded.keys() | decided.keys()):
            inner = f"{path}.{key}"
            if key not in recorded or key not in decided:
                return (
                    inner,
                    _text(recorded[key]) if key in recorded else "absent",
                    _text(decided[key]) if key in decided else "absent",
                )
            found = first_difference(recorded[key], decided[key], inner)
            if found is not None:
                return found
        return None
    if isinstance(recorded, list) and isinstance(decided, list):
        pairs = zip(recorded, decided, strict=False)
        for index, (left, right) in enumerate(pairs):
            found = first_difference(left, right, f"{path}[{index}]")
            if found is not None:
                return found
        if len(recorded) != len(decided):
            return f"{path}.length", str(len(recorded)), str(len(decided))
        return None
    if type(recorded) is type(decided) and recorded == decided:
        return None
    return path, _text(recorded), _text(decided)


def _text(value: Any) -> str:
    return msgspec.json.encode(value).decode()


def _count(table: dict[str, int], key: str) -> None:
    table[key] = table.get(key, 0) + 1
