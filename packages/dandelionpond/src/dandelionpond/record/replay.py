"""Repeat recorded decisions and report differences."""

from collections.abc import Iterable
from typing import Any

import msgspec

from dandelionpond.record.recorder import DecisionRecord
from dandelionpond.record.registry import Registry

# One changed rule causes many similar differences; further ones are only counted.
MAX_DIFFERENCES = 1_000


class Difference(msgspec.Struct, frozen=True):
    """Difference of a repeated decision; `path` leads to the first differing value."""

    seq: int
    decision: str
    path: str
    recorded: str
    decided: str


class Report(msgspec.Struct, frozen=True):
    """Summary of a replay; each entry of `differences` has the number of its record.

    Records of another version are not repeated. Records with other settings are,
    because their input is complete. `detail` is the first differing record as JSON.
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
        """Return whether all records had the same outcome and the given settings."""
        return self.same == self.total and not self.other_settings


def replay(
    lines: Iterable[bytes | str],
    registry: Registry,
    version: str,
    settings_digest: str | None = None,
) -> Report:
    """Repeat the decision of each JSON line.

    `settings_digest` is the digest of the settings to compare with, if any.
    """
    total = same = different = 0
    differences: list[Difference] = []
    detail = ""
    other_versions: dict[str, int] = {}
    unknown_decisions: dict[str, int] = {}
    other_settings: dict[str, int] = {}
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
            _increment(other_settings, record.settings_digest)
        if record.version != version:
            _increment(other_versions, record.version)
            continue
        decision = registry.get(record.slice, record.decision)
        if decision is None:
            _increment(unknown_decisions, name)
            continue
        try:
            decision_input = msgspec.convert(record.input, decision.input_type)
            # Round-trip through JSON, because the recorded outcome has lists instead of
            # tuples, and strings instead of enum members and dict keys.
            outcome = msgspec.convert(
                decision.function(decision_input), decision.output_type
            )
            decided = msgspec.json.decode(msgspec.json.encode(outcome))
        except Exception as error:
            message = f"{type(error).__name__}: {error}"
            difference = ("", _encode_json(record.outcome), message)
        else:
            first = first_difference(record.outcome, decided)
            if first is None:
                same += 1
                continue
            difference = first
        different += 1
        if not detail:
            detail = line.decode() if isinstance(line, bytes) else line
        if len(differences) < MAX_DIFFERENCES:
            differences.append(Difference(record.seq, name, *difference))
    return Report(
        total,
        same,
        different,
        differences,
        detail,
        other_versions,
        unknown_decisions,
        other_settings,
        invalid,
    )


def first_difference(
    recorded: Any, decided: Any, path: str = "$"
) -> tuple[str, str, str] | None:
    """Return the path and both values of the first difference of two JSON values."""
    if isinstance(recorded, dict) and isinstance(decided, dict):
        for key in sorted(recorded.keys() | decided.keys()):
            value_path = f"{path}.{key}"
            if key not in recorded or key not in decided:
                return (
                    value_path,
                    _encode_json(recorded[key]) if key in recorded else "absent",
                    _encode_json(decided[key]) if key in decided else "absent",
                )
            difference = first_difference(recorded[key], decided[key], value_path)
            if difference is not None:
                return difference
        return None
    if isinstance(recorded, list) and isinstance(decided, list):
        pairs = zip(recorded, decided, strict=False)
        for index, (recorded_item, decided_item) in enumerate(pairs):
            difference = first_difference(
                recorded_item, decided_item, f"{path}[{index}]"
            )
            if difference is not None:
                return difference
        if len(recorded) != len(decided):
            return f"{path}.length", str(len(recorded)), str(len(decided))
        return None
    if type(recorded) is type(decided) and recorded == decided:
        return None
    return path, _encode_json(recorded), _encode_json(decided)


def _encode_json(value: Any) -> str:
    return msgspec.json.encode(value).decode()


def _increment(table: dict[str, int], key: str) -> None:
    table[key] = table.get(key, 0) + 1
