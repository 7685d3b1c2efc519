"""Generates the reference page docs/reference.md from the code.

`make reference` runs this module.
"""

import re
import sys
from collections.abc import Iterable, Iterator, Mapping
from importlib import resources
from pathlib import Path
from typing import Any

import cyclopts
import msgspec

from dandelionpond.config.local import LocalSettings
from dandelionpond.config.schema import Settings
from dandelionpond.errors import ERROR_RESPONSES
from dandelionpond.http.callers import CallersApi
from dandelionpond.http.operators import OperatorsApi
from dandelionpond.main import app as node_app
from dandelionpond.metrics import Metrics
from dandelionpond_ctl.exit_codes import EXIT_CODES
from dandelionpond_ctl.main import app as ctl_app
from dandelionpond_ctl.nodes import OPERATOR_KEY_VARIABLE
from dandelionpond_ctl.user_settings import USER_SETTINGS_FILE_NAME, UserSettings
from dandelionpond_standins.reference_settings import (
    LOCAL_SETTINGS,
    PUBLISHED_SETTINGS,
    USER_SETTINGS,
)
from dandelionpond_standins.reference_texts import (
    ERROR_KINDS,
    HTTP_ROUTES,
    NODE_EXIT_CODES,
)

PAGE_PATH = Path(__file__).parents[4] / "docs" / "reference.md"

# The first matching suffix is used, so longer ones come first: `_per_s` ends in `_s`.
_UNITS = {
    "_tokens_per_s": "tokens/s",
    "_per_s": "1/s",
    "_ms": "ms",
    "_s": "s",
    "_tokens": "tokens",
    "_bytes": "bytes",
    "_share": "part of 1",
}
_INTRODUCTION = """# Reference

`make reference` writes this page from the code of version 0.1.0. Change the code, or
the texts in `reference_settings.py` and `reference_texts.py`, never this page.
"""


class SettingRow(msgspec.Struct, frozen=True):
    """One row of a table of settings."""

    path: str
    type: str
    unit: str
    default: str
    documentation: str = ""


def iter_settings(struct: Any, prefix: str = "") -> Iterator[SettingRow]:
    """Yield every setting of a struct.

    `*` in a path stands for a name that operators choose.
    """
    struct_info: Any = msgspec.inspect.type_info(struct)
    for field in struct_info.fields:
        default, text = _format_default(field), _field_sentence(struct, field.name)
        yield from _expand_setting(field.type, prefix + field.name, default, text)


def describe_setting(setting: SettingRow, descriptions: Mapping[str, str]) -> str:
    """Return the description of a setting, by default from its struct's docstring.

    Raise `KeyError` with the path if there is neither.
    """
    return (
        descriptions.get(setting.path)
        or setting.documentation
        or descriptions[setting.path]
    )


def metric_rows() -> list[tuple[str, str, str, str]]:
    """Return the name, type, labels and meaning of every metric, sorted by name."""
    metrics = Metrics()
    metrics.slices.add_counters("slice", lambda: {"event": 0})
    metrics.slices.add_size("table", lambda: 0)
    labels = {
        getattr(metric, "_name", ""): getattr(metric, "_labelnames", ())
        for metric in vars(metrics).values()
    }
    rows = []
    for family in metrics.registry.collect():
        label_names = labels.get(family.name)
        names = family.samples[0].labels if label_names is None else label_names
        suffix = "_total" if family.type == "counter" else ""
        rows.append(
            (
                family.name + suffix,
                family.type,
                ", ".join(names),
                family.documentation,
            )
        )
    return sorted(rows)


def list_routes(app: Any) -> list[str]:
    """Return every route of an API as `METHOD path`."""
    return [
        f"{method} {route.path}"
        for route in app.routes
        for method in sorted(route.methods - {"HEAD"})
    ]


def list_commands(app: cyclopts.App) -> dict[str, cyclopts.App]:
    """Return the commands of a command-line program by name."""
    return {name: app[name] for name in app if not name.startswith("-")}


def render_page() -> str:
    """Return the text of the whole page."""
    parts = [_INTRODUCTION, *_settings_sections(), *_metric_and_error_sections()]
    parts.append("## Commands\n")
    parts.append("### `dandelionpond`\n")
    parts += _command_sections("dandelionpond", node_app, NODE_EXIT_CODES)
    parts.append("### `dandelionpondctl`\n")
    parts.append(
        "The operators' bearer key comes from the environment variable "
        f"`{OPERATOR_KEY_VARIABLE}` or\nfrom a file (`--key-file`), never from an "
        "argument. `drain` asks only nodes that are\nnamed on its command line.\n"
    )
    parts += _command_sections("dandelionpondctl", ctl_app, EXIT_CODES)
    parts.append("## HTTP interfaces\n")
    for title, app in (
        ("Callers", CallersApi(None).app()),  # type: ignore[arg-type]
        ("Operators", OperatorsApi(None, "").app()),  # type: ignore[arg-type]
    ):
        parts.append(f"### {title}\n")
        rows = [(_code_span(path), HTTP_ROUTES[path]) for path in list_routes(app)]
        parts.append(_render_table(("request", "meaning"), rows))
    return "\n".join(parts)


def main() -> None:
    """Write the page, or exit with an error that names what has no description."""
    try:
        PAGE_PATH.write_text(render_page())
    except KeyError as error:
        sys.exit(f"reference: {error} has no text in reference_*.py")


def _settings_sections() -> Iterator[str]:
    yield "## Published settings\n"
    yield (
        "`*` stands for a name. A setting without a default is required where its "
        "parent exists.\n"
    )
    yield _render_settings_table(iter_settings(Settings), PUBLISHED_SETTINGS)
    yield "## Local settings of a node\n"
    yield _render_settings_table(iter_settings(LocalSettings), LOCAL_SETTINGS)
    yield "## User settings of `dandelionpondctl`\n"
    yield (
        f"The file `{USER_SETTINGS_FILE_NAME}` in the folder `dandelionpond` of the "
        "user's config directory, for example\n`~/.config/dandelionpond/ctl.json`. It "
        "is merged into these defaults; null keeps a default.\n"
    )
    defaults_file = resources.files("dandelionpond_ctl").joinpath("defaults.json")
    defaults = msgspec.json.decode(defaults_file.read_bytes())
    rows = [
        SettingRow(row.path, row.type, row.unit, _format_value(defaults[row.path]))
        for row in iter_settings(UserSettings)
    ]
    yield _render_settings_table(rows, USER_SETTINGS)


def _metric_and_error_sections() -> Iterator[str]:
    yield "## Metrics\n"
    rows = [(_code_span(row[0]), *row[1:]) for row in metric_rows()]
    yield _render_table(("metric", "type", "labels", "meaning"), rows)
    yield "## Error kinds\n"
    yield "`repeat` says whether the same request may be sent again without a risk.\n"
    yield _render_table(
        ("code", "status", "type", "execution", "repeat", "meaning"),
        [
            (
                _code_span(kind),
                str(response.status),
                response.type,
                response.execution.value,
                "yes" if response.is_retryable else "no",
                ERROR_KINDS[kind],
            )
            for kind, response in ERROR_RESPONSES.items()
        ],
    )


def _render_settings_table(
    rows: Iterable[SettingRow], descriptions: Mapping[str, str]
) -> str:
    cells = [
        (
            _code_span(row.path),
            row.type,
            row.unit,
            row.default,
            describe_setting(row, descriptions),
        )
        for row in rows
    ]
    return _render_table(("setting", "type", "unit", "default", "meaning"), cells)


def _command_sections(
    name: str, app: cyclopts.App, codes: Mapping[int, str]
) -> Iterator[str]:
    for command, subcommand in list_commands(app).items():
        yield f"#### `{name} {command}`\n"
        summary = " ".join((subcommand.help or "").split("\n\n")[0].split())
        yield f"{summary}\n"
        rows = []
        for argument in subcommand.assemble_argument_collection(parse_docstring=True):
            if argument.names == ("*",):
                continue
            names = ", ".join(_code_span(option) for option in argument.names)
            rows.append((names, " ".join((argument.parameter.help or "").split())))
        if rows:
            yield _render_table(("argument", "meaning"), rows)
    yield f"#### Exit codes of `{name}`\n"
    yield _render_table(
        ("code", "meaning"), [(str(code), text) for code, text in codes.items()]
    )


def _expand_setting(
    type_info: Any, path: str, default: str, documentation: str = ""
) -> Iterator[SettingRow]:
    """Yield the setting at a path, or the settings below it in a dict or struct.

    A union of tagged structs yields its tag and the settings of all its structs.
    """
    inspect = msgspec.inspect
    match type_info:
        case inspect.StructType(cls=cls):
            yield from iter_settings(cls, f"{path}.")
        case inspect.DictType(value_type=value):
            yield from _expand_setting(value, f"{path}.*", "")
        case inspect.UnionType(types=types) if any(
            isinstance(member, inspect.StructType) for member in types
        ):
            tag = f"{path}.{types[0].tag_field}"  # type: ignore[attr-defined]
            tags = ", ".join(str(member.tag) for member in types)  # type: ignore[attr-defined]
            settings_by_path = {tag: SettingRow(tag, tags, "", "")}
            for member in types:
                for setting in iter_settings(member.cls, f"{path}."):  # type: ignore[attr-defined]
                    settings_by_path.setdefault(setting.path, setting)
            yield from settings_by_path.values()
        case _:
            yield SettingRow(
                path, _type_name(type_info), _unit_name(path), default, documentation
            )


def _field_sentence(struct: Any, name: str) -> str:
    """Return the first sentence of a struct's docstring that names a field, or ""."""
    text = " ".join((struct.__doc__ or "").split())
    sentences = re.split(r"(?<=[.;]) ", text)
    matching = (sentence for sentence in sentences if f"`{name}`" in sentence)
    return next(matching, "").rstrip(".;")


def _type_name(type_info: Any) -> str:
    inspect = msgspec.inspect
    match type_info:
        case inspect.UnionType(types=types):
            return " or ".join(_type_name(member) for member in types)
        case inspect.LiteralType(values=values):
            return ", ".join(str(value) for value in values)
        case inspect.VarTupleType(item_type=item):
            return f"list of {_type_name(item)}"
        case inspect.StructType():
            return "object"
        case inspect.IntType(gt=gt, ge=ge) | inspect.FloatType(gt=gt, ge=ge):
            name = "integer" if isinstance(type_info, inspect.IntType) else "number"
            if gt is not None:
                return f"{name} > {gt}"
            return name if ge is None else f"{name} >= {ge}"
    names: dict[Any, str] = {
        inspect.StrType: "text",
        inspect.BoolType: "true or false",
        inspect.NoneType: "null",
    }
    return names[type(type_info)]


def _unit_name(path: str) -> str:
    for suffix, unit in _UNITS.items():
        if path.endswith(suffix):
            return unit
    return ""


def _format_default(field: Any) -> str:
    if field.default is msgspec.NODEFAULT:
        return ""
    return _format_value(field.default)


def _format_value(value: Any) -> str:
    return _code_span(msgspec.json.encode(value).decode())


def _code_span(text: str) -> str:
    return f"`{text}`"


def _render_table(columns: tuple[str, ...], rows: Iterable[tuple[str, ...]]) -> str:
    lines = [columns, ("---",) * len(columns), *rows]
    return "".join(
        "| " + " | ".join(cell.replace("|", r"\|") for cell in line) + " |\n"
        for line in lines
    )


if __name__ == "__main__":
    main()
