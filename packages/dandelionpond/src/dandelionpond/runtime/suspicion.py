"""Suspect the workers of plain services whose calls fail."""

import asyncio
import contextlib
from urllib.parse import urlsplit

from dandelionpond.errors import ErrorKind
from dandelionpond.runtime.core import Core
from dandelionpond.runtime.gossip import Gossip

# One late answer or broken connection may be the call's own fault; two in a row are
# the worker's.
FAILURES_TO_SUSPECT = 2
PROBE_INTERVAL_S = 1.0
CONNECT_TIMEOUT_S = 1.0
# A relay or load balancer before a dead worker accepts a connection and closes it.
STAYS_OPEN_S = 0.2


class WorkerSuspicion:
    """Raise and withdraw this node's suspicion of workers.

    A worker that refuses connections is suspected at once and trusted again when a
    connection stays open. One that takes calls and does not answer is suspected after
    `FAILURES_TO_SUSPECT` calls, until it answers or the report expires. Both tables
    hold at most the workers of the settings.
    """

    def __init__(self, core: Core, gossip: Gossip) -> None:
        self._core = core
        self._gossip = gossip
        self._failures: dict[str, int] = {}
        self._unreachable: set[str] = set()

    def start(self) -> None:
        """Start the timer that tries unreachable workers again."""
        self._core.tasks.every(lambda: PROBE_INTERVAL_S, self._probe, "probe-workers")

    def answered(self, worker: str) -> None:
        """Learn that a worker answered a call, whatever it said."""
        self._failures.pop(worker, None)
        self._unreachable.discard(worker)
        self._gossip.upstream_trusted(worker)

    def failed(self, worker: str, kind: ErrorKind, is_overdue: bool) -> None:
        """Learn how an attempt on a worker failed; kinds that prove nothing are left.

        `is_overdue` says that the caller's deadline has passed, which says nothing
        about the worker.
        """
        match kind:
            case ErrorKind.UPSTREAM_UNREACHABLE:
                self._unreachable.add(worker)
                self._gossip.upstream_suspected(worker)
            case ErrorKind.UPSTREAM_FAILED:
                self.unanswered(worker)
            case ErrorKind.DEADLINE_AFTER_SEND if not is_overdue:
                self.unanswered(worker)
            case ErrorKind.UPSTREAM_REFUSED | ErrorKind.ANSWER_TOO_LARGE:
                self.answered(worker)

    def unanswered(self, worker: str) -> None:
        """Learn that a worker broke a call off or took longer than its service may."""
        count = self._failures.get(worker, 0) + 1
        self._failures[worker] = count
        if count >= FAILURES_TO_SUSPECT:
            self._gossip.upstream_suspected(worker)

    async def _probe(self) -> None:
        """Open a connection to each unreachable worker."""
        upstreams = self._core.settings.upstreams
        self._failures = {n: c for n, c in self._failures.items() if n in upstreams}
        self._unreachable &= upstreams.keys()
        await asyncio.gather(*(self._try(worker) for worker in self._unreachable))

    async def _try(self, worker: str) -> None:
        url = urlsplit(
            self._core.upstream_url(worker, self._core.settings.upstreams[worker].url)
        )
        port = url.port or (443 if url.scheme == "https" else 80)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(url.hostname, port)
        except OSError:
            self._gossip.upstream_suspected(worker)
            return
        stays_open = False
        try:
            async with asyncio.timeout(STAYS_OPEN_S):
                await reader.read(1)
        except TimeoutError:
            stays_open = True
        except OSError:
            pass
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()
        if not stays_open:
            self._gossip.upstream_suspected(worker)
            return
        self._unreachable.discard(worker)
        if self._failures.get(worker, 0) < FAILURES_TO_SUSPECT:
            self._gossip.upstream_trusted(worker)
