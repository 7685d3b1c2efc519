"""Test the progress bar."""

import io

import pytest
from rich.console import Console

from dandelionpond.clock import ManualClock
from dandelionpond_ctl.progress import ProgressBar


class TestBar:
    @pytest.mark.parametrize(
        ("is_terminal", "seconds", "is_shown"),
        [(True, 1.5, True), (True, 0.5, False), (False, 1.5, False)],
    )
    def test_only_after_a_second_on_a_terminal(
        self, is_terminal, seconds, is_shown, capsys
    ):
        """Guard against a bar in a redirected log and output on the bar's stream."""
        clock, stream = ManualClock(), io.StringIO()
        console = Console(file=stream, force_terminal=is_terminal)
        with ProgressBar("asking", 2, console, clock) as bar:
            clock.advance(seconds)
            bar.advance()
            assert bar.is_shown is is_shown
            print("output")
        assert capsys.readouterr().out == "output\n"
        assert ("asking" in stream.getvalue()) is is_shown
