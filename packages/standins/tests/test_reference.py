"""Tests that the pages and the dashboard in docs/ match the code."""

import asyncio
import json
import re
from pathlib import Path

import msgspec
import pytest
from prometheus_client import generate_latest

from dandelionpond.clock import ManualClock
from dandelionpond.config.local import LocalSettings
from dandelionpond.config.schema import EngineUpstream, ServiceUpstream, Settings
from dandelionpond.errors import ERROR_RESPONSES
from dandelionpond.http.callers import CallersApi
from dandelionpond.http.operators import OperatorsApi
from dandelionpond.main import app as node_app
from dandelionpond.metrics import Metrics
from dandelionpond.node import Node
from dandelionpond.runtime.core import Core, new_identity
from dandelionpond_ctl.main import app as ctl_app
from dandelionpond_ctl.user_settings import UserSettings
from dandelionpond_standins import (
    reference,
    reference_settings,
    reference_texts,
)

ROOT = Path(__file__).parents[3]
DOCS = ROOT / "docs"
PAGE = (DOCS / "reference.md").read_text()


def section(title):
    """Return the text under a heading up to the next heading of its level."""
    level = title.split()[0]
    rest = PAGE.split(f"\n{title}\n", 1)[1]
    return re.split(rf"\n{level} ", rest)[0]


def first_cells(text):
    """Return the code in the first cell of each table row."""
    return re.findall(r"^\| `([^|]+?)`", text, re.MULTILINE)


def metric_names():
    """Return the sample names of a scrape, with one entry for each slice family."""
    metrics = Metrics()
    metrics.slices.add_counters("slice", lambda: {"event": 0})
    metrics.slices.add_size("table", lambda: 0)
    text = generate_latest(metrics.registry).decode()
    names = set(re.findall(r"^# TYPE (\S+) ", text, re.MULTILINE))
    for name in re.findall(r"^# TYPE (\S+) histogram", text, re.MULTILINE):
        names |= {f"{name}_{suffix}" for suffix in ("bucket", "sum", "count")}
    return names


class TestReference:
    def test_page_is_up_to_date(self):
        """A change of the code must come with a regenerated page."""
        assert reference.render_page() == PAGE

    @pytest.mark.parametrize(
        ("title", "struct"),
        [
            ("## Published settings", Settings),
            ("## Local settings of a node", LocalSettings),
            ("## User settings of `dandelionpondctl`", UserSettings),
        ],
    )
    def test_settings(self, title, struct):
        """Every setting must have exactly one row, and every row a setting."""
        rows = first_cells(section(title))
        assert len(rows) == len(set(rows))
        fields = {field.name for field in msgspec.structs.fields(struct)}
        assert {row.split(".")[0] for row in rows} == fields
        for field in msgspec.structs.fields(struct):
            if isinstance(field.type, type) and issubclass(field.type, msgspec.Struct):
                nested = {
                    nested_field.name
                    for nested_field in msgspec.structs.fields(field.type)
                }
                prefix = f"{field.name}."
                listed = {
                    row.removeprefix(prefix) for row in rows if row.startswith(prefix)
                }
                assert listed == nested

    def test_both_kinds_of_upstream(self):
        """The fields of one kind of upstream must not hide those of the other kind.

        The rows of both kinds share the path `upstreams.*`.
        """
        rows = first_cells(section("## Published settings"))
        listed = {row[12:] for row in rows if row.startswith("upstreams.*.")}
        kinds = (EngineUpstream, ServiceUpstream)
        fields = {
            field.name for kind in kinds for field in msgspec.structs.fields(kind)
        }
        assert listed == fields | {"kind"}

    def test_defaults(self):
        """The page must show the default that the code has."""
        row = next(line for line in PAGE.splitlines() if "`limits.max_queue`" in line)
        assert f"`{Settings().limits.max_queue}`" in row

    def test_no_text_without_a_name(self):
        """Every setting and error kind needs a description, and none may be left over.

        A description is left over if its setting was renamed or removed.
        """
        pairs = (
            (Settings, reference_settings.PUBLISHED_SETTINGS),
            (LocalSettings, reference_settings.LOCAL_SETTINGS),
        )
        for struct, descriptions in (
            *pairs,
            (UserSettings, reference_settings.USER_SETTINGS),
        ):
            rows = {row.path: row for row in reference.iter_settings(struct)}
            assert set(descriptions) <= set(rows)
            assert all(
                reference.describe_setting(row, descriptions) for row in rows.values()
            )
        assert set(reference_texts.ERROR_KINDS) == set(ERROR_RESPONSES)

    def test_metrics(self):
        """Every metric must have a row, and every row a metric."""
        names = {name for name in metric_names() if not name.endswith(("_created",))}
        names -= {
            name for name in names if re.search("_seconds_(bucket|sum|count)$", name)
        }
        assert set(first_cells(section("## Metrics"))) == names

    def test_error_kinds(self):
        """A row must show the status, execution state and retry advice of the code."""
        text = section("## Error kinds")
        assert first_cells(text) == [kind.value for kind in ERROR_RESPONSES]
        for kind, error in ERROR_RESPONSES.items():
            repeat = "yes" if error.is_retryable else "no"
            cells = (f"`{kind}`", error.status, error.type, error.execution, repeat)
            assert f"| {' | '.join(map(str, cells))} |" in text

    @pytest.mark.parametrize(
        ("name", "app"), [("dandelionpond", node_app), ("dandelionpondctl", ctl_app)]
    )
    def test_commands(self, name, app):
        """The page must list the same commands and options as the program has."""
        titles = re.findall(rf"^#### `{name} (.+)`$", PAGE, re.MULTILINE)
        assert titles == [command for command in app if not command.startswith("-")]
        for title in titles:
            options = app[title].assemble_argument_collection()
            expected = [
                name for option in options for name in option.names if name != "*"
            ]
            cells = section(f"#### `{name} {title}`").split("\n### ")[0]
            rows = re.findall(r"^\| (`.+?) \| ", cells, re.MULTILINE)
            assert re.findall("`(.+?)`", " ".join(rows)) == expected

    @pytest.mark.parametrize(
        ("title", "app"),
        [
            ("### Callers", CallersApi(None).app()),
            ("### Operators", OperatorsApi(None, "").app()),
        ],
    )
    def test_paths(self, title, app):
        """The page must list the same routes as the API has."""
        expected = [
            f"{method} {route.path}"
            for route in app.routes
            for method in route.methods - {"HEAD"}
        ]
        assert sorted(first_cells(section(title))) == sorted(expected)


class TestDashboard:
    def test_metrics_exist(self):
        """A panel stays empty if its metric was renamed or removed."""
        dashboard = json.loads((DOCS / "dashboard.json").read_text())
        targets = [
            target
            for panel in dashboard["panels"]
            for target in panel.get("targets", [])
        ]
        assert targets
        for target in targets:
            metrics = re.findall(r"dandelionpond_\w+", target["expr"])
            assert metrics
            assert set(metrics) <= metric_names()

    def test_panels_do_not_overlap(self):
        """Panels whose grid positions overlap hide one another."""
        panels = json.loads((DOCS / "dashboard.json").read_text())["panels"]
        assert len({panel["id"] for panel in panels}) == len(panels)
        occupied = set()
        for panel in panels:
            position = panel["gridPos"]
            cells = {
                (x, y)
                for x in range(position["x"], position["x"] + position["w"])
                for y in range(position["y"], position["y"] + position["h"])
            }
            assert not cells & occupied
            occupied |= cells


class TestPages:
    @pytest.mark.parametrize(
        "name", ["guide", "glossary", "OPERATIONS", "changelog", "reference"]
    )
    def test_names_exist(self, name):
        """Pages must name only settings, metrics, commands and files that exist."""
        text = (DOCS / f"{name}.md").read_text()
        paths = {row.path for row in reference.iter_settings(Settings)}
        sections = "|".join(field.name for field in msgspec.structs.fields(Settings))
        for path in re.findall(rf"`((?:{sections})\.[\w.*]+)`", text):
            assert path in paths or f"{path}." in " ".join(paths), path
        assert set(re.findall(r"dandelionpond_(?!ctl|standins)\w+", text)) <= (
            metric_names() | {"dandelionpond_"}
        )
        for command in re.findall(r"^ +dandelionpondctl (\w+)", text, re.MULTILINE):
            assert command in list(ctl_app)
        for link in re.findall(r"\]\(([\w./-]+)\)", text):
            assert (DOCS / link).exists(), link


class TestOperations:
    TEXT = (DOCS / "OPERATIONS.md").read_text()

    def test_counters_and_sections(self):
        """The page must name counters and sections of a dump as nodes have them."""

        async def dump():
            addresses = ["127.0.0.1:0"] * 3
            local = LocalSettings("n", "a", *addresses, "http://127.0.0.1:1", "0" * 64)
            node = Node(Core(local, new_identity("n"), ManualClock()))
            sections = node.dump()
            await node._close()
            return sections

        sections = asyncio.run(dump())
        counters = {
            f"{name}/{event}"
            for name in sections["counters"]
            for event in sections["counters"][name]
        }
        named = set(re.findall(r"`(\w+/\w+)`", self.TEXT))
        assert named - {"slice/event"} <= counters
        text = self.TEXT.split("## Reading a dump")[1].split("## ")[0]
        assert first_cells(text) == list(sections)
        assert set(re.findall(r"--section\s+(\w+)", self.TEXT)) <= set(sections)

    def test_log_lines(self):
        """The page must quote log lines as the node writes them."""
        folder = ROOT / "packages" / "dandelionpond" / "src"
        source = "".join(path.read_text() for path in folder.rglob("*.py"))
        lines = re.findall(r"[Ll]og\s+line\s+`([^`]+)`", self.TEXT)
        assert len(lines) > 8
        for line in lines:
            assert f'"{line.replace("...", "%s")}"' in source, line

    def test_error_kinds(self):
        """The page must not name an error kind that does not exist."""
        kinds = {str(kind) for kind in ERROR_RESPONSES}
        groups = re.findall(r"[Ee]rrors((?:,?(?:\s+or)?\s+`\w+`)+)", self.TEXT)
        named = set(re.findall(r"`(\w+)`", " ".join(groups)))
        assert len(named) > 8
        assert named <= kinds
