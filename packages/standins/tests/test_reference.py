"""Compare the pages in docs/ with the code, in both directions."""

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
    reference_settings as texts,
    reference_texts,
)

ROOT = Path(__file__).parents[3]
DOCS = ROOT / "docs"
PAGE = (DOCS / "reference.md").read_text()


def section(title):
    """Return the text under a heading up to the next one of its level."""
    level = title.split()[0]
    found = PAGE.split(f"\n{title}\n", 1)[1]
    return re.split(rf"\n{level} ", found)[0]


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
        """Guard against a page that was not written again after a change."""
        assert reference.page() == PAGE

    @pytest.mark.parametrize(
        ("title", "struct"),
        [
            ("## Published settings", Settings),
            ("## Local settings of a node", LocalSettings),
            ("## User settings of `dandelionpondctl`", UserSettings),
        ],
    )
    def test_settings(self, title, struct):
        """Guard against a setting without a row and a row without a setting."""
        rows = first_cells(section(title))
        assert len(rows) == len(set(rows))
        fields = {field.name for field in msgspec.structs.fields(struct)}
        assert {row.split(".")[0] for row in rows} == fields
        for field in msgspec.structs.fields(struct):
            if isinstance(field.type, type) and issubclass(field.type, msgspec.Struct):
                inner = {one.name for one in msgspec.structs.fields(field.type)}
                prefix = f"{field.name}."
                found = {r.removeprefix(prefix) for r in rows if r.startswith(prefix)}
                assert found == inner

    def test_both_kinds_of_upstream(self):
        """Guard against a field of one kind of upstream that hides one of another."""
        rows = first_cells(section("## Published settings"))
        found = {row[12:] for row in rows if row.startswith("upstreams.*.")}
        kinds = (EngineUpstream, ServiceUpstream)
        fields = {one.name for kind in kinds for one in msgspec.structs.fields(kind)}
        assert found == fields | {"kind"}

    def test_defaults(self):
        """Guard against a default that differs from the code's."""
        row = next(x for x in PAGE.splitlines() if "`limits.max_queue`" in x)
        assert f"`{Settings().limits.max_queue}`" in row

    def test_no_text_without_a_name(self):
        """Guard against texts of names that have gone and names without a text."""
        pairs = ((Settings, texts.SETTINGS), (LocalSettings, texts.LOCAL))
        for struct, known in (*pairs, (UserSettings, texts.USER)):
            rows = {one.path: one for one in reference.settings_of(struct)}
            assert set(known) <= set(rows)
            assert all(reference.meaning(row, known) for row in rows.values())
        assert set(reference_texts.KINDS) == set(ERROR_RESPONSES)

    def test_metrics(self):
        """Guard against a metric without a row and a row without a metric."""
        names = {n for n in metric_names() if not n.endswith(("_created",))}
        names -= {n for n in names if re.search("_seconds_(bucket|sum|count)$", n)}
        assert set(first_cells(section("## Metrics"))) == names

    def test_error_kinds(self):
        """Guard against a wrong status, execution state or advice to repeat."""
        text = section("## Error kinds")
        assert first_cells(text) == [kind.value for kind in ERROR_RESPONSES]
        for kind, answer in ERROR_RESPONSES.items():
            repeat = "yes" if answer.is_retryable else "no"
            cells = (f"`{kind}`", answer.status, answer.type, answer.execution, repeat)
            assert f"| {' | '.join(map(str, cells))} |" in text

    @pytest.mark.parametrize(
        ("name", "app"), [("dandelionpond", node_app), ("dandelionpondctl", ctl_app)]
    )
    def test_commands(self, name, app):
        """Guard against a command or an option that only the code or page has."""
        titles = re.findall(rf"^#### `{name} (.+)`$", PAGE, re.MULTILINE)
        assert titles == [one for one in app if not one.startswith("-")]
        for title in titles:
            options = app[title].assemble_argument_collection()
            expected = [n for o in options for n in o.names if n != "*"]
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
        """Guard against a path that only the code or only the page has."""
        expected = [
            f"{method} {route.path}"
            for route in app.routes
            for method in route.methods - {"HEAD"}
        ]
        assert sorted(first_cells(section(title))) == sorted(expected)


class TestDashboard:
    def test_metrics_exist(self):
        """Guard against a panel that stays empty because its metric has gone."""
        dashboard = json.loads((DOCS / "dashboard.json").read_text())
        targets = [t for panel in dashboard["panels"] for t in panel.get("targets", [])]
        assert targets
        for target in targets:
            found = re.findall(r"dandelionpond_\w+", target["expr"])
            assert found
            assert set(found) <= metric_names()

    def test_panels_do_not_overlap(self):
        """Guard against panels that hide one another."""
        panels = json.loads((DOCS / "dashboard.json").read_text())["panels"]
        assert len({panel["id"] for panel in panels}) == len(panels)
        taken = set()
        for panel in panels:
            place = panel["gridPos"]
            cells = {
                (x, y)
                for x in range(place["x"], place["x"] + place["w"])
                for y in range(place["y"], place["y"] + place["h"])
            }
            assert not cells & taken
            taken |= cells


class TestPages:
    @pytest.mark.parametrize(
        "name", ["guide", "glossary", "OPERATIONS", "changelog", "reference"]
    )
    def test_names_exist(self, name):
        """Guard against pages that name a setting, metric or file that is gone."""
        text = (DOCS / f"{name}.md").read_text()
        paths = {one.path for one in reference.settings_of(Settings)}
        sections = "|".join(f.name for f in msgspec.structs.fields(Settings))
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
        """Guard against a counter or a section of a dump that nodes do not have."""

        async def dump():
            addresses = ["127.0.0.1:0"] * 3
            local = LocalSettings("n", "a", *addresses, "http://127.0.0.1:1", "0" * 64)
            node = Node(Core(local, new_identity("n"), ManualClock()))
            found = node.dump()
            await node._close()
            return found

        found = asyncio.run(dump())
        known = {
            f"{name}/{event}"
            for name in found["counters"]
            for event in found["counters"][name]
        }
        named = set(re.findall(r"`(\w+/\w+)`", self.TEXT))
        assert named - {"slice/event"} <= known
        text = self.TEXT.split("## Reading a dump")[1].split("## ")[0]
        assert first_cells(text) == list(found)
        assert set(re.findall(r"--section\s+(\w+)", self.TEXT)) <= set(found)

    def test_log_lines(self):
        """Guard against a log line that the node does not write."""
        folder = ROOT / "packages" / "dandelionpond" / "src"
        source = "".join(path.read_text() for path in folder.rglob("*.py"))
        lines = re.findall(r"[Ll]og\s+line\s+`([^`]+)`", self.TEXT)
        assert len(lines) > 8
        for line in lines:
            assert f'"{line.replace("...", "%s")}"' in source, line

    def test_error_kinds(self):
        """Guard against an error kind that does not exist."""
        kinds = {str(kind) for kind in ERROR_RESPONSES}
        groups = re.findall(r"[Ee]rrors((?:,?(?:\s+or)?\s+`\w+`)+)", self.TEXT)
        named = set(re.findall(r"`(\w+)`", " ".join(groups)))
        assert len(named) > 8
        assert named <= kinds
