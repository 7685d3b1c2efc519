"""Deselect exactly the tests named in KNOWN-RED.txt, unless --known-red is given."""

import signal
from pathlib import Path

import pytest
from hypothesis import settings

# Fixed examples give the same result on each run. There is no deadline, because run
# time depends on machine load.
settings.register_profile("ci", derandomize=True, deadline=None, print_blob=True)
settings.load_profile("ci")


# A shell starts background jobs with SIGINT ignored, and programs under test inherit
# this: tests that interrupt them with SIGINT would then hang.
if signal.getsignal(signal.SIGINT) is signal.SIG_IGN:
    signal.signal(signal.SIGINT, signal.default_int_handler)


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that also runs the tests listed in KNOWN-RED.txt."""
    parser.addoption("--known-red", action="store_true", help="run KNOWN-RED.txt too")


def read_known_red(root: Path) -> set[str]:
    """Return the ids of the tests listed in KNOWN-RED.txt."""
    lines = (root / "KNOWN-RED.txt").read_text().splitlines()
    return {line[5:].strip() for line in lines if line.startswith("test:")}


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect the listed tests, unless the option is given."""
    if config.getoption("--known-red"):
        return
    listed = read_known_red(config.rootpath)
    deselected = [item for item in items if item.nodeid in listed]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item.nodeid not in listed]
