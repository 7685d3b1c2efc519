"""Write the reference page from the code, so that it needs no hand edits.

`make reference` writes docs/reference.md.
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
from dandelionpond_standins.reference_settings import LOCAL, SETTINGS, USER
from dandelionpond_standins.reference_texts import KINDS, NODE_EXIT_CODES, PATHS

PAGE = Path(__file__).parents[4] / "docs" / "reference.md"

# The longer suffix comes first, because `_per_s` ends in `_s` as well.
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


class Setting(msgspec.Struct, frozen=True):
    """Hold one row of a table of settings."""

    path: str
    type: str
    unit: str
    default: str
    documentation: str = ""


def settings_of(struct: Any, prefix: str = "") -> Iterator[Setting]:
    """Yield every setting of a struct; `*` stands for a name chosen by operators."""
    info: Any = msgspec.inspect.type_info(struct)
    for field in info.fields:
        default, text = _default(field), _sentence(struct, field.name)
        yield from _leaves(field.type, prefix + field.name, default, text)


def meaning(setting: Setting, texts: Mapping[str, str]) -> str:
    """Return the text of a setting, else what its struct's docstring says of it.

    Raises `KeyError` with the path if neither exists.
    """
    return texts.get(setting.path) or setting.documentation or texts[setting.path]


def metric_rows() -> list[tuple[str, str, str, str]]:
    """Return name, type, labels and meaning of every metric, in name order."""
    metrics = Metrics()
    metrics.slices.add_counters("slice", lambda: {"event": 0})
    metrics.slices.add_size("table", lambda: 0)
    labels = {
        getattr(metric, "_name", ""): getattr(metric, "_labelnames", ())
        for metric in vars(metrics).values()
    }
    rows = []
    for family in metrics.registry.collect():
        known = labels.get(family.name)
        names = family.samples[0].labels if known is None else known
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


def paths(app: Any) -> list[str]:
    """Return `METHOD path` of every route of an API."""
    return [
        f"{method} {route.path}"
        for route in app.routes
        for method in sorted(route.methods - {"HEAD"})
    ]


def commands(app: cyclopts.App) -> dict[str, cyclopts.App]:
    """Return the commands of a command line by name."""
    return {name: app[name] for name in app if not name.startswith("-")}


def page() -> str:
    """Return the whole page."""
    parts = [_INTRODUCTION, *_settings_sections(), *_metric_and_kind_sections()]
    parts.append("## Commands\n")
    parts.append("### `dandelionpond`\n")
    parts += _command_parts("dandelionpond", node_app, NODE_EXIT_CODES)
    parts.append("### `dandelionpondctl`\n")
    parts.append(
        "The operators' bearer key comes from the environment variable "
        f"`{OPERATOR_KEY_VARIABLE}` or\nfrom a file (`--key-file`), never from an "
        "argument. `drain` asks only nodes that are\nnamed on its command line.\n"
    )
    parts += _command_parts("dandelionpondctl", ctl_app, EXIT_CODES)
    parts.append("## HTTP interfaces\n")
    for title, app in (
        ("Callers", CallersApi(None).app()),  # type: ignore[arg-type]
        ("Operators", OperatorsApi(None, "").app()),  # type: ignore[arg-type]
    ):
        parts.append(f"### {title}\n")
        rows = [(_code(path), PATHS[path]) for path in paths(app)]
        parts.append(_table(("request", "meaning"), rows))
    return "\n".join(parts)


def main() -> None:
    """Write the page; a name without a text ends with one line."""
    try:
        PAGE.write_text(page())
    except KeyError as error:
        sys.exit(f"reference: {error} has no text in reference_*.py")


def _settings_sections() -> Iterator[str]:
    yield "## Published settings\n"
    yield (
        "`*` stands for a name. A setting without a default is required where its "
        "parent exists.\n"
    )
    yield _settings_table(settings_of(Settings), SETTINGS)
    yield "## Local settings of a node\n"
    yield _settings_table(settings_of(LocalSettings), LOCAL)
    yield "## User settings of `dandelionpondctl`\n"
    yield (
        f"The file `{USER_SETTINGS_FILE_NAME}` in the folder `dandelionpond` of the "
        "user's config directory, for example\n`~/.config/dandelionpond/ctl.json`. It "
        "is merged into these defaults; null keeps a default.\n"
    )
    shipped = resources.files("dandelionpond_ctl").joinpath("defaults.json")
    defaults = msgspec.json.decode(shipped.read_bytes())
    rows = [
        Setting(one.path, one.type, one.unit, _text(defaults[one.path]))
        for one in settings_of(UserSettings)
    ]
    yield _settings_table(rows, USER)


def _metric_and_kind_sections() -> Iterator[str]:
    yield "## Metrics\n"
    rows = [(_code(row[0]), *row[1:]) for row in metric_rows()]
    yield _table(("metric", "type", "labels", "meaning"), rows)
    yield "## Error kinds\n"
    yield "`repeat` says whether the same request may be sent again without a risk.\n"
    yield _table(
        ("code", "status", "type", "execution", "repeat", "meaning"),
        [
            (
                _code(kind),
                str(answer.status),
                answer.type,
                answer.execution.value,
                "yes" if answer.is_retryable else "no",
                KINDS[kind],
            )
            for kind, answer in ERROR_RESPONSES.items()
        ],
    )


def _settings_table(rows: Iterable[Setting], texts: Mapping[str, str]) -> str:
    cells = [
        (_code(one.path), one.type, one.unit, one.default, meaning(one, texts))
        for one in rows
    ]
    return _table(("setting", "type", "unit", "default", "meaning"), cells)


def _command_parts(
    name: str, app: cyclopts.App, codes: Mapping[int, str]
) -> Iterator[str]:
    for command, sub in commands(app).items():
        yield f"#### `{name} {command}`\n"
        summary = " ".join((sub.help or "").split("\n\n")[0].split())
        yield f"{summary}\n"
        rows = []
        for argument in sub.assemble_argument_collection(parse_docstring=True):
            if argument.names == ("*",):
                continue
            names = ", ".join(_code(one) for one in argument.names)
            rows.append((names, " ".join((argument.parameter.help or "").split())))
        if rows:
            yield _table(("argument", "meaning"), rows)
    yield f"#### Exit codes of `{name}`\n"
    yield _table(
        ("code", "meaning"), [(str(code), text) for code, text in codes.items()]
    )


def _leaves(
    kind: Any, path: str, default: str, documentation: str = ""
) -> Iterator[Setting]:
    inspect = msgspec.inspect
    match kind:
        case inspect.StructType(cls=cls):
            yield from settings_of(cls, f"{path}.")
        case inspect.DictType(value_type=value):
            yield from _leaves(value, f"{path}.*", "")
        case inspect.UnionType(types=types) if any(
            isinstance(one, inspect.StructType) for one in types
        ):
            tag = f"{path}.{types[0].tag_field}"  # type: ignore[attr-defined]
            tags = ", ".join(str(one.tag) for one in types)  # type: ignore[attr-defined]
            found = {tag: Setting(tag, tags, "", "")}
            for one in types:
                for setting in settings_of(one.cls, f"{path}."):  # type: ignore[attr-defined]
                    found.setdefault(setting.path, setting)
            yield from found.values()
        case _:
            yield Setting(path, _type(kind), _unit(path), default, documentation)


def _sentence(struct: Any, name: str) -> str:
    """Return the first sentence of a docstring that names a field."""
    text = " ".join((struct.__doc__ or "").split())
    sentences = re.split(r"(?<=[.;]) ", text)
    found = (one for one in sentences if f"`{name}`" in one)
    return next(found, "").rstrip(".;")


def _type(kind: Any) -> str:
    inspect = msgspec.inspect
    match kind:
        case inspect.UnionType(types=types):
            return " or ".join(_type(one) for one in types)
        case inspect.LiteralType(values=values):
            return ", ".join(str(value) for value in values)
        case inspect.VarTupleType(item_type=item):
            return f"list of {_type(item)}"
        case inspect.StructType():
            return "object"
        case inspect.IntType(gt=gt, ge=ge) | inspect.FloatType(gt=gt, ge=ge):
            name = "integer" if isinstance(kind, inspect.IntType) else "number"
            if gt is not None:
                return f"{name} > {gt}"
            return name if ge is None else f"{name} >= {ge}"
    names: dict[Any, str] = {
        inspect.StrType: "text",
        inspect.BoolType: "true or false",
        inspect.NoneType: "null",
    }
    return names[type(kind)]


def _unit(path: str) -> str:
    for suffix, unit in _UNITS.items():
        if path.endswith(suffix):
            return unit
    return ""


def _default(field: Any) -> str:
    if field.default is msgspec.NODEFAULT:
        return ""
    return _text(field.default)


def _text(value: Any) -> str:
    return _code(msgspec.json.encode(value).decode())


def _code(text: str) -> str:
    return f"`{text}`"


def _table(columns: tuple[str, ...], rows: Iterable[tuple[str, ...]]) -> str:
    lines = [columns, ("---",) * len(columns), *rows]
    return "".join(
        "| " + " | ".join(cell.replace("|", r"\|") for cell in line) + " |\n"
        for line in lines
    )


if __name__ == "__main__":
    main()
