"""Keep the published state up to date, from the metadata store or from peers."""

import asyncio
import logging
from typing import Protocol

from expression import Result

from dandelionpond.entry.fleet import Fleet
from dandelionpond.errors import Failure
from dandelionpond.mesh.messages import MS_PER_S, Heartbeat
from dandelionpond.peer.settings import PeerSettings
from dandelionpond.peer.snapshots import fetch_snapshot
from dandelionpond.published.messages import Snapshot
from dandelionpond.published.readers import ReaderCandidate, ReadSchedule, reader_rank
from dandelionpond.runtime.tasks import Tasks

log = logging.getLogger("dandelionpond.sync")

# Interval in seconds between two checks of whether a read is due.
READ_CHECK_INTERVAL_S = 0.1
# Time in seconds that a node waits, for each node of its own failure domain that comes
# first in the order of readers, before it fetches newer state from another domain. The
# first one fetches at once, and the others fetch from it.
REMOTE_FETCH_DELAY_S = 0.3
# Largest number of nodes that a node waits for.
MAX_REMOTE_FETCH_RANK = 3


class MetadataStore(Protocol):
    """A reader of the platform's metadata store; implemented by a platform adapter.

    `counters` holds numbers for the metrics endpoint by name.
    """

    @property
    def counters(self) -> dict[str, int]:
        """Return the counters of the reader."""
        ...

    async def read(
        self, known_version: int, document_revision: int
    ) -> Result[Snapshot, Failure]:
        """Return the entries, and the document if it is newer than `known_version`.

        `document_revision` is a store revision at which no newer document existed; 0 if
        unknown.
        """
        ...

    async def close(self) -> None:
        """Close the connections."""
        ...


class StateSync:
    """A scheduler of the store reads and the peer fetches of one node."""

    def __init__(self, fleet: Fleet, store: MetadataStore, tasks: Tasks) -> None:
        self._fleet = fleet
        self._store = store
        self._tasks = tasks
        self._schedule = ReadSchedule(fleet.settings.reads)
        self._is_reading = False
        self._is_fetching = False
        # Timer of the fetch from another failure domain, while the node waits for the
        # reader of its own.
        self._remote_fetch: asyncio.TimerHandle | None = None
        self._is_store_reachable: bool | None = None
        self._is_reader = False
        self.on_update = self._ignore
        self.counters = {
            "reads": 0,
            "failed_reads": 0,
            "fetches": 0,
            "failed_fetches": 0,
        }

    def read_counters(self) -> dict[str, int]:
        """Return the counters for the metrics."""
        return self.counters | {"takeovers": self._schedule.takeovers}

    def start(self) -> None:
        """Start the periodic checks of whether a read is due."""
        self._tasks.every(
            lambda: READ_CHECK_INTERVAL_S, self._read_if_due, "platform-reads"
        )

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Fetch the sender's state if it is newer; renew the list if it is the same."""
        fleet, published = self._fleet, self._fleet.published
        if heartbeat.list_age_ms < 0 or not heartbeat.fetch_address:
            return
        now = fleet.now()
        if heartbeat.failed_read_age_ms >= 0:
            published.record_failed_peer_read(
                now - heartbeat.failed_read_age_ms / MS_PER_S
            )
        read_at = now - heartbeat.list_age_ms / MS_PER_S
        if (
            heartbeat.list_revision >= published.list_revision
            and published.confirm_list(
                heartbeat.list_revision,
                heartbeat.digest,
                read_at,
                now,
                heartbeat.read_number,
            )
        ):
            return
        if not self._is_newer(heartbeat):
            return
        if heartbeat.failure_domain == fleet.settings.failure_domain:
            self._start_fetch(heartbeat, now)
        elif self._remote_fetch is None:
            rank = min(self._local_rank(fleet.now()), MAX_REMOTE_FETCH_RANK)
            loop = asyncio.get_running_loop()
            self._remote_fetch = loop.call_later(
                REMOTE_FETCH_DELAY_S * rank,
                self._fetch_from_other_domain,
                heartbeat,
                now,
            )

    def close(self) -> None:
        """Cancel a scheduled fetch from another failure domain."""
        if self._remote_fetch is not None:
            self._remote_fetch.cancel()

    def _fetch_from_other_domain(
        self, heartbeat: Heartbeat, received_at: float
    ) -> None:
        self._remote_fetch = None
        if self._is_newer(heartbeat):
            self._start_fetch(heartbeat, received_at)

    def _start_fetch(self, heartbeat: Heartbeat, received_at: float) -> None:
        if not self._is_fetching:
            self._is_fetching = True
            self._tasks.spawn(self._fetch(heartbeat, received_at), "fetch-snapshot")

    def _is_newer(self, heartbeat: Heartbeat) -> bool:
        """Return whether the sender of a heartbeat holds newer state than this node."""
        published = self._fleet.published
        return (
            heartbeat.list_revision > published.list_revision
            and heartbeat.digest != published.digest
        ) or heartbeat.document_version > published.version

    def current_snapshot(self) -> tuple[Snapshot, float]:
        """Return the snapshot in effect and its age in seconds, to serve to a peer.

        The age is 1e9 if this node has not received a list yet.
        """
        age = self._fleet.published.list_age_s(self._fleet.now())
        return self._fleet.published.snapshot(), 1e9 if age is None else age

    async def _read_if_due(self) -> None:
        fleet = self._fleet
        now = fleet.now()
        age = fleet.published.list_age_s(now)
        if self._is_reading or self._schedule.is_fresh(age):
            return
        rank = reader_rank(fleet.settings.name, self._reader_candidates(now))
        if (rank == 0) != self._is_reader:
            self._is_reader = rank == 0
            log.info("reader role changed", extra={"is_reader": self._is_reader})
        if not self._schedule.is_due(now, rank, age):
            return
        self._is_reading = True
        self._schedule.read_started(now)
        self._tasks.spawn(self._read(now, rank), "read-platform")

    def _local_rank(self, now: float) -> int:
        """Return this node's rank among the nodes of its failure domain."""
        own = self._fleet.settings
        nodes = [
            node
            for node in self._reader_candidates(now)
            if node.failure_domain == own.failure_domain
        ]
        return reader_rank(own.name, nodes)

    def _reader_candidates(self, now: float) -> list[ReaderCandidate]:
        """Return this node and its live peers that are not leaving."""
        own = self._fleet.settings
        nodes = [ReaderCandidate(own.name, own.failure_domain, own.capacity)]
        for peer in self._fleet.peers.live_peers(now):
            heartbeat = peer.heartbeat
            if heartbeat is not None and not heartbeat.is_leaving:
                nodes.append(
                    ReaderCandidate(
                        heartbeat.node, heartbeat.failure_domain, heartbeat.capacity
                    )
                )
        return nodes

    async def _read(self, started_at: float, rank: int) -> None:
        fleet = self._fleet
        try:
            result = await self._store.read(
                fleet.published.version, fleet.published.document_revision
            )
        finally:
            self._is_reading = False
        self.counters["reads"] += 1
        self._schedule.read_finished(fleet.now(), rank, result.is_ok())
        self._record_outcome(result, started_at)
        # The entries may date from the start of the read, so the age counts from there.
        if result.is_ok():
            fleet.apply_snapshot(result.ok, started_at, "platform")
            fleet.published.record_read()
            # Sent also without a change, so that peers can renew their lists.
            self.on_update()

    def _record_outcome(
        self, result: Result[Snapshot, Failure], started_at: float
    ) -> None:
        is_reachable = result.is_ok()
        if not is_reachable:
            self.counters["failed_reads"] += 1
            self._fleet.published.trust_old_state()
            self._fleet.published.record_failed_read(started_at)
        if is_reachable != self._is_store_reachable:
            self._is_store_reachable = is_reachable
            if is_reachable:
                log.info("metadata store reachable")
            else:
                log.warning(
                    "metadata store unreachable", extra={"why": result.error.message}
                )

    async def _fetch(self, heartbeat: Heartbeat, received_at: float) -> None:
        self.counters["fetches"] += 1
        fleet = self._fleet
        started_at = fleet.now()
        try:
            reply = await fetch_snapshot(
                heartbeat.fetch_address,
                fleet.settings.name,
                fleet.published.version,
                PeerSettings(),
            )
        finally:
            self._is_fetching = False
        match reply:
            case Result(tag="ok", ok=(snapshot, age_s)):
                changed = fleet.apply_snapshot(
                    snapshot,
                    started_at - age_s,
                    f"peer {heartbeat.node}",
                    received_at + heartbeat.hold_left_ms / MS_PER_S,
                )
                # Peers in the own domain have received the same heartbeat.
                is_local = heartbeat.failure_domain == fleet.settings.failure_domain
                if changed and not is_local:
                    self.on_update()
            case Result(error=failure):
                self.counters["failed_fetches"] += 1
                log.warning(
                    "fetch from peer failed",
                    extra={"peer": heartbeat.node, "why": failure.message},
                )

    @staticmethod
    def _ignore() -> None:
        """Do nothing; default of `on_update` until the process sets it."""
