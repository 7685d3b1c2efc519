"""Test the progress bar."""

import io

import pytest
from rich.console import Console

from dandelionpond.clock import ManualClock
from dandelionpond_ctl.progress import Bar


class TestBar:
    @pytest.mark.parametrize(
        ("is_terminal", "seconds", "shown"),
        [(True, 1.5, True), (True, 0.5, False), (False, 1.5, False)],
    )
    def test_only_after_a_second_on_a_terminal(
        self, is_terminal, seconds, shown, capsys
    ):
        """Guard against a bar in a log file and output in the bar's stream."""
        clock, text = ManualClock(), io.StringIO()
        console = Console(file=text, force_terminal=is_terminal)
        with Bar("asking", 2, console, clock) as bar:
            clock.advance(seconds)
            bar.advance()
            assert bar.shown is shown
            print("output")
        assert capsys.readouterr().out == "output\n"
        assert ("asking" in text.getvalue()) is shown
