"""Set one timer for a due time that moves often."""

import asyncio
from collections.abc import Callable


class LazyTimer:
    """Call a function at a due time or a little later.

    A timer that is early enough is kept: a stream moves its next tick with each token,
    and setting a timer for each would cost more than the token itself. The function
    returns the next due time if it was called too early, in seconds of `now`.
    """

    __slots__ = ("_at", "_fire", "_handle", "_now")

    def __init__(
        self, now: Callable[[], float], fire: Callable[[], float | None]
    ) -> None:
        self._now = now
        self._fire = fire
        self._handle: asyncio.TimerHandle | None = None
        self._at = float("inf")

    def set(self, due: float) -> None:
        """Make sure that the function is called at `due`."""
        if due >= self._at:
            return
        self.cancel()
        self._at = due
        delay = max(0.0, due - self._now())
        self._handle = asyncio.get_running_loop().call_later(delay, self._fired)

    def cancel(self) -> None:
        """Forget the due time."""
        if self._handle is not None:
            self._handle.cancel()
        self._handle, self._at = None, float("inf")

    def _fired(self) -> None:
        self._handle, self._at = None, float("inf")
        due = self._fire()
        if due is not None:
            self.set(due)
