"""Tests that platform/ holds no decision logic and no platform name leaves it."""

import ast
import platform
import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
PACKAGE = ROOT / "platform" / "dandelionpond_platform"
# Modules with decision logic, which platform/ must not import. Types, settings and the
# functions that build them are allowed.
DECISION_MODULES = re.compile(
    r"dandelionpond\.(placement|mesh|routing|limits|requests|memory|orders|config"
    r"|forwarding\.policy|published\.(state|readers|table))"
)
# Names of the platform's headers, calls and fields, which packages/ must not contain.
PLATFORM_NAMES = re.compile(
    r"Dandelionpond-[A-Z]|kv-(key|range|watch)|op/config|servers/|TargetLatencyMs"
    r"|KvCacheTokens|ApiKeys|StickySessions|TrafficSplit|InternalPorts"
)


def imported_modules(path):
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.Import(names=names):
                yield from (alias.name for alias in names)
            case ast.ImportFrom(module=module):
                yield module or ""


class TestPlatformFolder:
    def test_adapter_imports_no_decision_modules(self):
        """The adapter only translates; decision logic must stay in packages/."""
        violations = [
            (path.name, name)
            for path in PACKAGE.glob("*.py")
            for name in imported_modules(path)
            if DECISION_MODULES.match(name)
        ]
        assert violations == []

    def test_packages_contain_no_platform_names(self):
        """Names of the platform must only be used in the adapter."""
        violations = [
            str(path.relative_to(ROOT))
            for path in (ROOT / "packages").rglob("*.py")
            if PLATFORM_NAMES.search(path.read_text())
        ]
        assert violations == []

    def test_standard_library_module_is_not_shadowed(self):
        """The folder platform/ must not shadow the standard library's `platform`."""
        assert platform.python_version()
