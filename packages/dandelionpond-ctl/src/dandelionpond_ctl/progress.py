"""Show a progress bar on standard error while a command takes long."""

from types import TracebackType

from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from dandelionpond.clock import Clock, SystemClock

# A bar that flashes up for an instant only disturbs.
SHOW_AFTER_S = 1.0


class Bar:
    """Count steps; the bar appears after a second, and only on a terminal."""

    def __init__(
        self,
        text: str,
        total: float,
        console: Console | None = None,
        clock: Clock | None = None,
    ) -> None:
        self._console = console or Console(stderr=True)
        self._clock = clock or SystemClock()
        columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
        self._progress = Progress(*columns, console=self._console, transient=True)
        self._task = self._progress.add_task(text, total=total)
        self._start = self._clock.monotonic()
        self._shown = False

    @property
    def shown(self) -> bool:
        """Return whether the bar has appeared."""
        return self._shown

    def __enter__(self) -> "Bar":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._shown:
            self._progress.stop()

    def advance(self, steps: float = 1) -> None:
        """Count steps and show the bar if a second has passed."""
        self._progress.advance(self._task, steps)
        self.refresh()

    def refresh(self) -> None:
        """Show the bar if a second has passed and standard error is a terminal."""
        if self._shown or not self._console.is_terminal:
            return
        if self._clock.monotonic() - self._start >= SHOW_AFTER_S:
            self._progress.start()
            self._shown = True
