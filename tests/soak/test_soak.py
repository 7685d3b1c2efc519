"""Run a few seeds of the fault soak; `make soak SEEDS=..` runs more."""

import asyncio

import pytest
from soak import MUTATIONS, mutated, play

# Seeds for each run of CI.
SHORT_RUN = (1, 2)
# Seeds that failed once, each with a line on the cause.
REGRESSIONS = ()


class TestSoak:
    @pytest.mark.parametrize("seed", [*SHORT_RUN, *REGRESSIONS])
    def test_promises_hold_under_random_faults(self, seed, tmp_path):
        """Guard against a promise that breaks when faults overlap."""
        report = asyncio.run(play(seed, tmp_path))
        assert report["broken"] == []
        # A run in which nothing was asked or nothing failed shows nothing.
        assert sum(report["outcomes"].values()) > 50
        assert sum(report["faults"].values()) > 5

    @pytest.mark.parametrize("name", MUTATIONS)
    def test_mutations_fit_the_code(self, name, tmp_path):
        """Guard against a mutation that no longer changes anything."""
        assert mutated(name, tmp_path).is_dir()
