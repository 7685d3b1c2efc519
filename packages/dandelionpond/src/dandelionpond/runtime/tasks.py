"""Background tasks with references kept until they end and errors logged."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

log = logging.getLogger("dandelionpond.tasks")

# Additional delay in seconds after a repeated function fails. It is called again, so
# that a single error, for example in a library, does not stop it permanently.
RETRY_DELAY_S = 1.0


class Tasks:
    """The running background tasks of a node."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()
        self.counters = {"started": 0, "failed": 0}

    def __len__(self) -> int:
        """Return the number of running tasks."""
        return len(self._tasks)

    def spawn(
        self, coroutine: Coroutine[Any, Any, Any], name: str
    ) -> asyncio.Task[Any]:
        """Run a coroutine in the background; errors are logged and counted."""
        task = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        self.counters["started"] += 1
        task.add_done_callback(self._task_done)
        return task

    def every(
        self,
        interval_s: Callable[[], float],
        function: Callable[[], Awaitable[None]],
        name: str,
    ) -> asyncio.Task[Any]:
        """Call a function repeatedly, waiting `interval_s()` seconds after each run."""
        return self.spawn(self._repeat(interval_s, function, name), name)

    async def _repeat(
        self,
        interval_s: Callable[[], float],
        function: Callable[[], Awaitable[None]],
        name: str,
    ) -> None:
        while True:
            try:
                await function()
            except Exception:
                self.counters["failed"] += 1
                log.exception("task %s failed and is repeated", name)
                await asyncio.sleep(RETRY_DELAY_S)
            await asyncio.sleep(max(0.001, interval_s()))

    def _task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self.counters["failed"] += 1
            log.error("task %s failed", task.get_name(), exc_info=error)

    async def cancel(self) -> None:
        """Cancel all running tasks and wait for them to end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
