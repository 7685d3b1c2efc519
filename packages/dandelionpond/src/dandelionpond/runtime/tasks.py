"""Run background tasks so that none is lost and no error stays unseen."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

log = logging.getLogger("dandelionpond.tasks")

# A loop that fails is started again after this time, so that one fault of a library
# does not end a duty of the node for good.
RESTART_S = 1.0


class Tasks:
    """Own the background tasks of a node."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()
        self.counters = {"started": 0, "failed": 0}

    def __len__(self) -> int:
        """Return the number of running tasks."""
        return len(self._tasks)

    def spawn(self, work: Coroutine[Any, Any, Any], name: str) -> asyncio.Task[Any]:
        """Run a coroutine in the background; an error is logged and counted."""
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        self.counters["started"] += 1
        task.add_done_callback(self._ended)
        return task

    def every(
        self,
        interval_s: Callable[[], float],
        work: Callable[[], Awaitable[None]],
        name: str,
    ) -> asyncio.Task[Any]:
        """Run a function again and again, with a pause between two runs."""
        return self.spawn(self._repeat(interval_s, work, name), name)

    async def _repeat(
        self,
        interval_s: Callable[[], float],
        work: Callable[[], Awaitable[None]],
        name: str,
    ) -> None:
        while True:
            try:
                await work()
            except Exception:
                self.counters["failed"] += 1
                log.exception("task %s failed and is repeated", name)
                await asyncio.sleep(RESTART_S)
            await asyncio.sleep(max(0.001, interval_s()))

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self.counters["failed"] += 1
            log.error("task %s failed", task.get_name(), exc_info=error)

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
