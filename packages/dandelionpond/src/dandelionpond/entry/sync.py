"""Keep the published state fresh, from the platform or from peers."""

import asyncio
import logging
from typing import Protocol

from expression import Result

from dandelionpond.entry.fleet import Fleet
from dandelionpond.errors import Failure
from dandelionpond.mesh.messages import MS, Beat
from dandelionpond.peer.settings import PeerSettings
from dandelionpond.peer.snapshots import fetch_snapshot
from dandelionpond.published.messages import Snapshot
from dandelionpond.published.readers import Candidate, ReadPace, place_of
from dandelionpond.runtime.tasks import Tasks

log = logging.getLogger("dandelionpond.sync")

# Interval in seconds in which a node looks whether a read is due.
LOOK_S = 0.1
# Time in seconds for which a node waits for its own failure domain's reader before it
# fetches news from another domain. The readers read every 0.6 s, each on its own.
FAR_DELAY_S = 0.3


class MetadataStore(Protocol):
    """Read the platform's service; implemented by an adapter."""

    async def read(
        self, known_version: int, document_revision: int
    ) -> Result[Snapshot, Failure]:
        """Return the entries, and the document if it is newer than `known_version`.

        The platform held no newer document at `document_revision`; 0 is unknown.
        """
        ...

    async def close(self) -> None:
        """Close the connections."""
        ...


class Sync:
    """Own the reads of one node."""

    def __init__(self, fleet: Fleet, store: MetadataStore, tasks: Tasks) -> None:
        self._fleet = fleet
        self._store = store
        self._tasks = tasks
        self._pace = ReadPace()
        self._is_reading = False
        self._is_fetching = False
        # Set while news from another failure domain wait for the own one's reader.
        self._far: asyncio.TimerHandle | None = None
        self._has_store: bool | None = None
        self._was_reader = False
        self.on_news = self._ignore
        self.counters = {
            "reads": 0,
            "failed_reads": 0,
            "fetches": 0,
            "failed_fetches": 0,
        }

    def start(self) -> None:
        """Read at once and then as the pace says."""
        self._tasks.every(lambda: LOOK_S, self._look, "platform-reads")

    def heard(self, beat: Beat) -> None:
        """Learn from a beat whether its sender knows something newer."""
        fleet, keeper = self._fleet, self._fleet.keeper
        if beat.list_age_ms < 0 or not beat.fetch_address:
            return
        read_at = fleet.now() - beat.list_age_ms / MS
        if beat.list_revision >= keeper.revision and keeper.confirm(
            beat.list_revision, beat.digest, read_at
        ):
            return
        if not self._is_newer(beat):
            return
        if beat.failure_domain == fleet.settings.failure_domain:
            self._fetch_once(beat)
        elif self._far is None:
            loop = asyncio.get_running_loop()
            self._far = loop.call_later(FAR_DELAY_S, self._fetch_far, beat)

    def close(self) -> None:
        """Stop waiting for the own failure domain's reader."""
        if self._far is not None:
            self._far.cancel()

    def _fetch_far(self, beat: Beat) -> None:
        self._far = None
        if self._is_newer(beat):
            self._fetch_once(beat)

    def _fetch_once(self, beat: Beat) -> None:
        if not self._is_fetching:
            self._is_fetching = True
            self._tasks.spawn(self._fetch(beat), "fetch-snapshot")

    def _is_newer(self, beat: Beat) -> bool:
        """Return whether the sender of a beat holds something newer."""
        keeper = self._fleet.keeper
        return (
            beat.list_revision > keeper.revision and beat.digest != keeper.digest
        ) or beat.version > keeper.version

    def held(self) -> tuple[Snapshot, float]:
        """Return the snapshot in force and its age, for a peer."""
        age = self._fleet.keeper.list_age_s(self._fleet.now())
        return self._fleet.keeper.snapshot(), 1e9 if age is None else age

    async def _look(self) -> None:
        fleet = self._fleet
        now = fleet.now()
        place = self._place(now)
        if (place == 0) != self._was_reader:
            self._was_reader = place == 0
            log.info("reader role changed", extra={"is_reader": self._was_reader})
        age = fleet.keeper.list_age_s(now)
        if self._is_reading or not self._pace.is_due(now, place, age):
            return
        self._is_reading = True
        self._pace.begun(now)
        self._tasks.spawn(self._read(now), "read-platform")

    def _place(self, now: float) -> int:
        """Return the place of this node in the order of its domain's readers."""
        own = self._fleet.settings
        nodes = [Candidate(own.name, own.failure_domain, own.capacity)]
        for peer in self._fleet.peers.live_peers(now):
            beat = peer.beat
            if beat is not None and not beat.is_leaving:
                nodes.append(Candidate(beat.node, beat.failure_domain, beat.capacity))
        return place_of(own.name, own.failure_domain, nodes)

    async def _read(self, begun_at: float) -> None:
        fleet = self._fleet
        try:
            found = await self._store.read(
                fleet.keeper.version, fleet.keeper.document_revision
            )
        finally:
            self._is_reading = False
        self.counters["reads"] += 1
        self._pace.ended(fleet.now(), found.is_ok())
        self._note(found)
        # The list is as old as the beginning of its read.
        if found.is_ok():
            fleet.apply_snapshot(found.ok, begun_at, "platform")
            # Also without a change: it confirms the lists of the peers.
            self.on_news()

    def _note(self, found: Result[Snapshot, Failure]) -> None:
        has_store = found.is_ok()
        if not has_store:
            self.counters["failed_reads"] += 1
        if has_store != self._has_store:
            self._has_store = has_store
            if has_store:
                log.info("platform reached")
            else:
                log.warning("platform lost", extra={"why": found.error.message})

    async def _fetch(self, beat: Beat) -> None:
        self.counters["fetches"] += 1
        fleet = self._fleet
        begun_at = fleet.now()
        try:
            reply = await fetch_snapshot(
                beat.fetch_address,
                fleet.settings.name,
                fleet.keeper.version,
                PeerSettings(),
            )
        finally:
            self._is_fetching = False
        match reply:
            case Result(tag="ok", ok=(snapshot, age_s)):
                changed = fleet.apply_snapshot(
                    snapshot, begun_at - age_s, f"peer {beat.node}"
                )
                # Peers of the own domain have heard the one that this came from.
                is_near = beat.failure_domain == fleet.settings.failure_domain
                if changed and not is_near:
                    self.on_news()
            case Result(error=failure):
                self.counters["failed_fetches"] += 1
                log.warning(
                    "fetch from peer failed",
                    extra={"peer": beat.node, "why": failure.message},
                )

    @staticmethod
    def _ignore() -> None:
        """Stand in until the mesh is there."""
