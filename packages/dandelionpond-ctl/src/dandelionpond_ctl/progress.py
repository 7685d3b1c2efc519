"""Show a progress bar on standard error while a command takes long."""

import threading
from types import TracebackType

from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from dandelionpond.clock import Clock, SystemClock

# A bar that flashes up for an instant only disturbs.
SHOW_AFTER_S = 1.0


class Bar:
    """Count steps; the bar appears after a second, and only on a terminal.

    `total` is the number of steps, or None if it is not known. `enabled` is false for
    a command that writes to the same terminal meanwhile.
    """

    def __init__(
        self,
        text: str,
        total: float | None,
        console: Console | None = None,
        clock: Clock | None = None,
        enabled: bool = True,
    ) -> None:
        self._console = console or Console(stderr=True)
        self._clock = clock or SystemClock()
        self._enabled = enabled and self._console.is_terminal
        columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
        # Redirected, standard output would be written to standard error.
        self._progress = Progress(
            *columns,
            console=self._console,
            transient=True,
            redirect_stdout=False,
            redirect_stderr=False,
        )
        self._task = self._progress.add_task(text, total=total)
        self._start = self._clock.monotonic()
        self._shown = self._ended = False
        self._lock = threading.Lock()
        # Work in one long call advances nothing, so a timer shows the bar.
        self._timer = threading.Timer(SHOW_AFTER_S, self.refresh)
        self._timer.daemon = True

    @property
    def shown(self) -> bool:
        """Return whether the bar has appeared."""
        return self._shown

    def __enter__(self) -> "Bar":
        if self._enabled:
            self._timer.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._timer.cancel()
        with self._lock:
            self._ended = True
            if self._shown:
                self._progress.stop()

    def advance(self, steps: float = 1) -> None:
        """Count steps and show the bar if a second has passed."""
        self._progress.advance(self._task, steps)
        self.refresh()

    def refresh(self) -> None:
        """Show the bar if a second has passed and standard error is a terminal."""
        with self._lock:
            if self._shown or self._ended or not self._enabled:
                return
            if self._clock.monotonic() - self._start >= SHOW_AFTER_S:
                self._progress.start()
                self._shown = True
