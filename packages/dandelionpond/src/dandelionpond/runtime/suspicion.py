"""Raise suspicions of the workers of plain services when calls to them fail."""

import asyncio
import contextlib

from dandelionpond.errors import ErrorKind
from dandelionpond.runtime.core import Core
from dandelionpond.runtime.gossip import Gossip

# Consecutive failed calls after which a worker is suspected. A single late answer or
# broken connection may be caused by the call itself.
FAILURES_TO_SUSPECT = 2
PROBE_INTERVAL_S = 1.0
PROBE_CONNECT_TIMEOUT_S = 1.0
# A connection must stay open this long to count as a reachable worker, because a relay
# or load balancer in front of a dead worker accepts connections and closes them.
PROBE_OPEN_S = 0.2


class WorkerSuspicion:
    """This node's suspicion of workers, which it raises and withdraws.

    A worker that cannot be connected to is suspected immediately, until a connection
    stays open. One that accepts calls and does not answer is suspected after
    `FAILURES_TO_SUSPECT` consecutive calls, until it answers or the suspicion expires.
    Both tables are limited to the workers in the settings.
    """

    def __init__(self, core: Core, gossip: Gossip) -> None:
        self._core = core
        self._gossip = gossip
        self._consecutive_failures: dict[str, int] = {}
        self._unreachable: set[str] = set()

    def start(self) -> None:
        """Start the periodic probe of unreachable workers."""
        self._core.tasks.every(
            lambda: PROBE_INTERVAL_S, self._probe_workers, "probe-workers"
        )

    def record_answer(self, worker: str) -> None:
        """Record that a worker answered a call, with whatever status."""
        self._consecutive_failures.pop(worker, None)
        self._unreachable.discard(worker)
        self._gossip.withdraw_suspicion(worker)

    def record_failure(self, worker: str, kind: ErrorKind, is_overdue: bool) -> None:
        """Record how a call to a worker failed.

        Kinds of errors that do not show the state of the worker are ignored. So is a
        timeout if `is_overdue`: then the caller's deadline ended the call.
        """
        match kind:
            case ErrorKind.UPSTREAM_UNREACHABLE:
                self._unreachable.add(worker)
                self._gossip.raise_suspicion(worker)
            case ErrorKind.UPSTREAM_FAILED:
                self.record_no_answer(worker)
            case ErrorKind.DEADLINE_AFTER_SEND if not is_overdue:
                self.record_no_answer(worker)
            case ErrorKind.UPSTREAM_REFUSED | ErrorKind.ANSWER_TOO_LARGE:
                self.record_answer(worker)

    def record_no_answer(self, worker: str) -> None:
        """Record that a worker broke off a call or exceeded its service's timeout."""
        count = self._consecutive_failures.get(worker, 0) + 1
        self._consecutive_failures[worker] = count
        if count >= FAILURES_TO_SUSPECT:
            self._gossip.raise_suspicion(worker)

    async def _probe_workers(self) -> None:
        """Open a connection to each unreachable worker and drop removed workers."""
        upstreams = self._core.settings.upstreams
        self._consecutive_failures = {
            worker: count
            for worker, count in self._consecutive_failures.items()
            if worker in upstreams
        }
        self._unreachable &= upstreams.keys()
        await asyncio.gather(
            *(self._probe_worker(worker) for worker in self._unreachable)
        )

    async def _probe_worker(self, worker: str) -> None:
        upstream = self._core.settings.upstreams[worker]
        host, port = self._core.upstream_endpoint(worker, upstream.url)
        try:
            async with asyncio.timeout(PROBE_CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, port)
        except OSError:
            self._gossip.raise_suspicion(worker)
            return
        stays_open = False
        try:
            async with asyncio.timeout(PROBE_OPEN_S):
                await reader.read(1)
        except TimeoutError:
            stays_open = True
        except OSError:
            pass
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()
        if not stays_open:
            self._gossip.raise_suspicion(worker)
            return
        self._unreachable.discard(worker)
        if self._consecutive_failures.get(worker, 0) < FAILURES_TO_SUSPECT:
            self._gossip.withdraw_suspicion(worker)
