"""Deselect exactly the tests named in KNOWN-RED.txt, unless --known-red is given."""

import signal
from pathlib import Path

import pytest
from hypothesis import settings

# Fixed examples give the same verdict on each run; no deadline depends on machine load.
settings.register_profile("ci", derandomize=True, deadline=None, print_blob=True)
settings.load_profile("ci")


# A shell starts background jobs with SIGINT ignored, and programs under test inherit
# it; tests that interrupt them then never end.
if signal.getsignal(signal.SIGINT) is signal.SIG_IGN:
    signal.signal(signal.SIGINT, signal.default_int_handler)


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that runs the known failing tests as well."""
    parser.addoption("--known-red", action="store_true", help="run KNOWN-RED.txt too")


def known_red(root: Path) -> set[str]:
    """Return the test identifiers listed in KNOWN-RED.txt."""
    lines = (root / "KNOWN-RED.txt").read_text().splitlines()
    return {line[5:].strip() for line in lines if line.startswith("test:")}


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Remove the listed tests from the run."""
    if config.getoption("--known-red"):
        return
    listed = known_red(config.rootpath)
    removed = [item for item in items if item.nodeid in listed]
    if removed:
        config.hook.pytest_deselected(items=removed)
        items[:] = [item for item in items if item.nodeid not in listed]
