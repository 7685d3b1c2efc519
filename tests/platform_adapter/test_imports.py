"""Test that the folder decides nothing and that its names stay in it."""

import ast
import platform
import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
PACKAGE = ROOT / "platform" / "dandelionpond_platform"
# Slices of the product that decide. Types, settings and functions that build them may
# be used here.
DECISIONS = re.compile(
    r"dandelionpond\.(placement|mesh|routing|limits|requests|memory|orders|config"
    r"|forwarding\.policy|published\.(state|readers|table))"
)
# Names of the platform's headers, calls and fields.
NAMES = re.compile(
    r"Dandelionpond-[A-Z]|kv-(key|range|watch)|op/config|servers/|TargetLatencyMs"
    r"|KvCacheTokens|ApiKeys|StickySessions|TrafficSplit|InternalPorts"
)


def imported(path):
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.Import(names=names):
                yield from (alias.name for alias in names)
            case ast.ImportFrom(module=module):
                yield module or ""


class TestFolder:
    def test_imports_no_decision(self):
        """Guard against decisions that move into the translation."""
        found = [
            (path.name, name)
            for path in PACKAGE.glob("*.py")
            for name in imported(path)
            if DECISIONS.match(name)
        ]
        assert found == []

    def test_product_knows_no_name_of_the_platform(self):
        """Guard against names of the platform that spread through the product."""
        found = [
            str(path.relative_to(ROOT))
            for path in (ROOT / "packages").rglob("*.py")
            if NAMES.search(path.read_text())
        ]
        assert found == []

    def test_library_module_is_not_hidden(self):
        """Guard against a folder that is imported in place of the library's module."""
        assert platform.python_version()
