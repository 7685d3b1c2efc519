"""Show a progress bar on standard error for commands that take long."""

import threading
from types import TracebackType

from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from dandelionpond.clock import Clock, SystemClock

# Shorter commands show no bar, as it would only flicker.
SHOW_DELAY_S = 1.0


class ProgressBar:
    """A progress bar, shown after a second and only if standard error is a terminal.

    `total` is the number of steps, or None if unknown. `enabled` is false for a command
    that writes to the same terminal while it runs.
    """

    def __init__(
        self,
        description: str,
        total: float | None,
        console: Console | None = None,
        clock: Clock | None = None,
        enabled: bool = True,
    ) -> None:
        self._console = console or Console(stderr=True)
        self._clock = clock or SystemClock()
        self._enabled = enabled and self._console.is_terminal
        columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
        # With redirect_stdout, rich would print standard output on standard error.
        self._progress = Progress(
            *columns,
            console=self._console,
            transient=True,
            redirect_stdout=False,
            redirect_stderr=False,
        )
        self._task = self._progress.add_task(description, total=total)
        self._start = self._clock.monotonic()
        self._is_shown = self._is_closed = False
        self._lock = threading.Lock()
        # A timer shows the bar even if one long call reports no progress.
        self._timer = threading.Timer(SHOW_DELAY_S, self.show_if_due)
        self._timer.daemon = True

    @property
    def is_shown(self) -> bool:
        """Return whether the bar has appeared."""
        return self._is_shown

    def __enter__(self) -> "ProgressBar":
        if self._enabled:
            self._timer.start()
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._timer.cancel()
        with self._lock:
            self._is_closed = True
            if self._is_shown:
                self._progress.stop()

    def advance(self, steps: float = 1) -> None:
        """Count steps and show the bar if a second has passed."""
        self._progress.advance(self._task, steps)
        self.show_if_due()

    def show_if_due(self) -> None:
        """Show the bar if a second has passed and standard error is a terminal."""
        with self._lock:
            if self._is_shown or self._is_closed or not self._enabled:
                return
            if self._clock.monotonic() - self._start >= SHOW_DELAY_S:
                self._progress.start()
                self._is_shown = True
