"""Timer for a due time that changes often."""

import asyncio
from collections.abc import Callable


class LazyTimer:
    """A timer that calls a function at or shortly after a due time.

    A later due time keeps the timer that is already set: the next tick of a stream
    changes with each token, and setting a timer each time would cost more than handling
    the token. `callback` may therefore be called early; it then returns the actual due
    time, in seconds of `now`, and otherwise None.
    """

    __slots__ = ("_callback", "_due_at", "_handle", "_now")

    def __init__(
        self, now: Callable[[], float], callback: Callable[[], float | None]
    ) -> None:
        self._now = now
        self._callback = callback
        self._handle: asyncio.TimerHandle | None = None
        self._due_at = float("inf")

    def schedule(self, due_at: float) -> None:
        """Make sure that the function is called at `due_at` at the latest."""
        if due_at >= self._due_at:
            return
        self.cancel()
        self._due_at = due_at
        delay = max(0.0, due_at - self._now())
        self._handle = asyncio.get_running_loop().call_later(delay, self._on_timeout)

    def cancel(self) -> None:
        """Cancel the timer, if one is set."""
        if self._handle is not None:
            self._handle.cancel()
        self._handle, self._due_at = None, float("inf")

    def _on_timeout(self) -> None:
        self._handle, self._due_at = None, float("inf")
        due_at = self._callback()
        if due_at is not None:
            self.schedule(due_at)
