"""Decide which nodes read the platform and what to fetch from which peer."""

import random
from collections.abc import Iterable

import msgspec

from dandelionpond.config.messages import (
    Announce,
    DistributionAction,
    DistributionEvent,
    FetchFromPeer,
    FolderReadCompleted,
    Offer,
    OfferDecided,
    OfferOutcome,
    Peer,
    PeerFetchCompleted,
    PeerFetchFailed,
    PeerRevision,
    PeersChanged,
    PlatformCallFailed,
    ReadFolder,
    Tick,
    WatchAnswered,
    WatchPlatform,
)
from dandelionpond.config.settings import DistributionSettings
from dandelionpond.hashing import owner, top_ranked

# All sources of a revision have the same files, so more of them add nothing.
MAX_SOURCES = 16


class DistributionCounters(msgspec.Struct):
    """The counts of distribution events since the start of the process."""

    older_refused: int = 0
    late_ignored: int = 0
    pauses: int = 0
    platform_calls: int = 0
    platform_failures: int = 0
    peer_fetches: int = 0
    peer_failures: int = 0
    digest_conflicts: int = 0
    reads_deferred: int = 0
    sources_dropped: int = 0


class _PlatformCall(msgspec.Struct, frozen=True):
    call_id: int
    started_at: float
    deadline: float


class _PeerFetch(msgspec.Struct, frozen=True):
    peer: str
    deadline: float


class Distribution:
    """A state machine that turns events into actions; times are monotonic, in seconds.

    The caller carries out the actions and reports each outcome as an event. `seeds` are
    the nodes that a starting node can ask before it knows its peers.
    """

    __slots__ = (
        "_deferred_revision",
        "_digest",
        "_failure_domain",
        "_failure_domains",
        "_fetches",
        "_has_peer_list",
        "_last_call_id",
        "_last_event_at",
        "_live_peers",
        "_name",
        "_next_peer_fetch_at",
        "_next_platform_call_at",
        "_offered_revision",
        "_platform_call",
        "_platform_failures",
        "_prefer_peers_until",
        "_readers",
        "_refused_revision",
        "_revision",
        "_rng",
        "_seeds",
        "_settings",
        "_sources",
        "counters",
    )

    def __init__(
        self,
        name: str,
        failure_domain: str,
        seeds: Iterable[Peer],
        settings: DistributionSettings,
        rng: random.Random,
        now: float,
    ) -> None:
        self.counters = DistributionCounters()
        self._name = name
        self._failure_domain = failure_domain
        self._failure_domains = {failure_domain}
        self._seeds = tuple(seed for seed in seeds if seed.name != name)
        self._settings = settings
        self._rng = rng
        self._live_peers: tuple[Peer, ...] = ()
        self._has_peer_list = False
        self._last_event_at = now
        self._revision = 0
        self._digest = ""
        self._refused_revision = 0
        # Revision that a watch reported and whose read is deferred, or 0.
        self._deferred_revision = 0
        self._offered_revision: int | None = None
        self._last_call_id = 0
        self._platform_call: _PlatformCall | None = None
        self._platform_failures = 0
        # Newer revisions that peers have, by the name of the peer.
        self._sources: dict[str, int] = {}
        self._fetches: dict[int, _PeerFetch] = {}
        self._prefer_peers_until: float | None = now + settings.peer_grace_s
        self._next_peer_fetch_at = now
        self._next_platform_call_at = now
        if not self._seeds:
            self._prefer_peers_until = None
        self._readers = self._select_readers()

    @property
    def revision(self) -> int:
        """Return the newest revision that `OfferDecided` reported as accepted, or 0."""
        return self._revision

    @property
    def readers(self) -> tuple[str, ...]:
        """Return the names of the readers of this failure domain by rank."""
        return self._readers

    @property
    def is_reader(self) -> bool:
        """Return whether this node watches the platform for its failure domain."""
        return self._name in self._readers

    @property
    def prefers_peers(self) -> bool:
        """Return whether this node asks its peers before it calls the platform."""
        return self._prefer_peers_until is not None

    def configure(self, settings: DistributionSettings) -> None:
        """Apply new settings from the next event on."""
        self._settings = settings
        self._readers = self._select_readers()

    def handle(self, event: DistributionEvent, now: float) -> list[DistributionAction]:
        """Process one event and return the actions to carry out, in order."""
        if now - self._last_event_at > self._settings.pause_after_s:
            self._recover_from_pause(now)
        self._last_event_at = now
        actions: list[DistributionAction] = []
        match event:
            case Tick():
                pass
            case PeersChanged(live_peers):
                self._update_peers(live_peers, now)
            case PeerRevision(peer, revision, digest):
                self._record_peer_revision(peer, revision, digest)
            case WatchAnswered(call_id, revision):
                self._on_watch_answered(call_id, revision, now, actions)
            case FolderReadCompleted(call_id, revision):
                self._on_folder_read(call_id, revision, now, actions)
            case PlatformCallFailed(call_id):
                if self._finish_platform_call(call_id) is not None:
                    self._back_off(now)
            case PeerFetchCompleted(call_id, revision):
                self._on_peer_fetch_completed(call_id, revision, now, actions)
            case PeerFetchFailed(call_id):
                if self._finish_fetch(call_id) is not None:
                    self.counters.peer_failures += 1
            case OfferDecided():
                self._on_offer_decided(event, now, actions)
        self._start_due_calls(now, actions)
        return actions

    def _select_readers(self) -> tuple[str, ...]:
        # Until the first list of peers, the seeds are ranked in place of the peers, or
        # every node of a fleet that starts at the same time would be a reader.
        peers = self._live_peers if self._has_peer_list else self._seeds
        names = {
            peer.name for peer in peers if peer.failure_domain == self._failure_domain
        }
        names.add(self._name)
        return tuple(
            top_ranked(self._failure_domain, names, self._settings.readers_per_domain)
        )

    def _update_peers(self, live_peers: tuple[Peer, ...], now: float) -> None:
        was_reader = self.is_reader
        self._live_peers = tuple(peer for peer in live_peers if peer.name != self._name)
        self._has_peer_list = True
        self._failure_domains = {
            self._failure_domain,
            *(peer.failure_domain for peer in live_peers),
        }
        self._readers = self._select_readers()
        names = {peer.name for peer in self._live_peers}
        self._sources = {p: r for p, r in self._sources.items() if p in names}
        if self.is_reader and not was_reader:
            jitter = self._rng.uniform(0.0, self._settings.retry_min_s)
            self._next_platform_call_at = max(self._next_platform_call_at, now + jitter)

    def _recover_from_pause(self, now: float) -> None:
        """Abandon all calls, since their answers may date from before the pause."""
        self.counters.pauses += 1
        self._platform_call = None
        self._fetches.clear()
        self._sources.clear()
        if self._live_peers or self._seeds:
            self._prefer_peers_until = now + self._settings.peer_grace_s
        self._next_peer_fetch_at = now
        self._next_platform_call_at = now + self._rng.uniform(
            0.0, self._settings.retry_min_s
        )

    def _record_peer_revision(self, peer: str, revision: int, digest: str) -> None:
        if revision == self._revision and self._revision and digest != self._digest:
            self.counters.digest_conflicts += 1
        if revision <= self._newest_decided_revision():
            return
        if peer not in self._sources and len(self._sources) >= MAX_SOURCES:
            self.counters.sources_dropped += 1
            return
        self._sources[peer] = revision

    def _newest_decided_revision(self) -> int:
        """Return the newest revision that was accepted or refused."""
        return max(self._revision, self._refused_revision)

    def _finish_platform_call(self, call_id: int) -> _PlatformCall | None:
        current = self._platform_call
        if current is None or current.call_id != call_id:
            self.counters.late_ignored += 1
            return None
        self._platform_call = None
        return current

    def _finish_fetch(self, call_id: int) -> _PeerFetch | None:
        fetch = self._fetches.pop(call_id, None)
        if fetch is None:
            self.counters.late_ignored += 1
        else:
            self._sources.pop(fetch.peer, None)
        return fetch

    def _back_off(self, now: float) -> None:
        settings = self._settings
        self.counters.platform_failures += 1
        # Limited, because a large power of two below would overflow a float.
        self._platform_failures = min(self._platform_failures + 1, 30)
        max_delay_s = min(
            settings.retry_max_s, settings.retry_min_s * 2**self._platform_failures
        )
        delay_s = self._rng.uniform(settings.retry_min_s, max_delay_s)
        self._next_platform_call_at = now + delay_s

    def _on_watch_answered(
        self, call_id: int, revision: int, now: float, actions: list[DistributionAction]
    ) -> None:
        current = self._finish_platform_call(call_id)
        if current is None:
            return
        if revision < self._newest_available_revision():
            self.counters.older_refused += 1
            self._back_off(now)
        elif revision > self._newest_decided_revision():
            self._platform_failures = 0
            if (
                self.is_reader
                and not self.prefers_peers
                and self._offered_revision is None
            ):
                self._read_or_defer(revision, now, actions)
        else:
            self._platform_failures = 0
            # Prevents a busy loop if the platform ends each watch at once.
            earliest = current.started_at + self._settings.retry_min_s
            self._next_platform_call_at = max(now, earliest)

    def _read_or_defer(
        self, revision: int, now: float, actions: list[DistributionAction]
    ) -> None:
        """Read at once on one reader of the fleet; defer the read on the others.

        A list names every file, so a read transfers far more bytes than the changes
        that a peer sends. The first reader is selected by a hash of the revision. If no
        peer sends the revision in time, as when the first reader is disconnected,
        paused or gone, the others read the platform themselves. A `read_stagger_s` of 0
        defers no read.
        """
        key = str(revision)
        is_first = owner(key, self._failure_domains) == self._failure_domain
        stagger_s = self._settings.read_stagger_s
        if not stagger_s or (is_first and owner(key, self._readers) == self._name):
            self._start_read(now, actions)
            return
        self.counters.reads_deferred += 1
        self._deferred_revision = revision
        self._next_platform_call_at = now + stagger_s * self._rng.uniform(1.0, 1.5)

    def _newest_available_revision(self) -> int:
        """Return the newest revision that this node or a known source has."""
        return max([self._revision, *self._sources.values()])

    def _on_folder_read(
        self, call_id: int, revision: int, now: float, actions: list[DistributionAction]
    ) -> None:
        if self._finish_platform_call(call_id) is None:
            return
        if revision < self._newest_available_revision():
            self.counters.older_refused += 1
            self._back_off(now)
        elif revision > self._newest_decided_revision():
            self._platform_failures = 0
            self._offer(call_id, revision, actions)
        else:
            self._next_platform_call_at = now + self._settings.retry_min_s

    def _on_peer_fetch_completed(
        self, call_id: int, revision: int, now: float, actions: list[DistributionAction]
    ) -> None:
        if self._finish_fetch(call_id) is None:
            return
        if revision > self._newest_decided_revision():
            self._offer(call_id, revision, actions)
        elif self._revision and revision:
            # The peer has no newer revision, so the settings in effect are current.
            self._prefer_peers_until = None

    def _offer(
        self, call_id: int, revision: int, actions: list[DistributionAction]
    ) -> None:
        if self._offered_revision is None:
            self._offered_revision = revision
            actions.append(Offer(call_id, revision))

    def _on_offer_decided(
        self, event: OfferDecided, now: float, actions: list[DistributionAction]
    ) -> None:
        self._offered_revision = None
        if event.outcome is OfferOutcome.ACCEPTED and event.revision > self._revision:
            self._revision, self._digest = event.revision, event.digest
            self._prefer_peers_until = None
            actions.append(Announce(event.revision, event.digest))
        elif event.outcome is OfferOutcome.REFUSED:
            self._refused_revision = max(self._refused_revision, event.revision)
        newest = self._newest_decided_revision()
        self._sources = {p: r for p, r in self._sources.items() if r > newest}
        if 0 < self._deferred_revision <= newest:
            self._deferred_revision = 0
            self._next_platform_call_at = now

    def _start_due_calls(self, now: float, actions: list[DistributionAction]) -> None:
        self._expire_calls(now)
        if self._offered_revision is not None:
            return
        self._fetch_newer(now, actions)
        if self.prefers_peers or not self._revision:
            self._ask_peers(now, actions)
        if self.prefers_peers or not self.is_reader or self._platform_call is not None:
            return
        if now < self._next_platform_call_at:
            return
        if (
            not self._newest_decided_revision()
            or self._deferred_revision > self._newest_decided_revision()
        ):
            self._start_read(now, actions)
        else:
            self._start_watch(now, actions)

    def _expire_calls(self, now: float) -> None:
        for call_id in [c for c, f in self._fetches.items() if f.deadline <= now]:
            self._finish_fetch(call_id)
            self.counters.peer_failures += 1
        if self._platform_call is not None and self._platform_call.deadline <= now:
            self._platform_call = None
            self._back_off(now)
        if self._prefer_peers_until is not None and self._prefer_peers_until <= now:
            self._prefer_peers_until = None
            if not self._revision and self._seeds and not self._live_peers:
                # No peer answered, so the whole fleet may be starting: spread reads.
                jitter = self._rng.uniform(0.0, self._settings.retry_max_s)
                self._next_platform_call_at = now + jitter

    def _fetch_newer(self, now: float, actions: list[DistributionAction]) -> None:
        if self._sources and not self._fetches:
            newest = max(self._sources.values())
            peers = sorted(p for p, r in self._sources.items() if r == newest)
            self._start_fetch(self._rng.choice(peers), now, actions)

    def _ask_peers(self, now: float, actions: list[DistributionAction]) -> None:
        if now < self._next_peer_fetch_at:
            return
        self._next_peer_fetch_at = now + self._settings.retry_min_s
        busy = {fetch.peer for fetch in self._fetches.values()}
        # The list of live peers is more recent than the seeds in the local file.
        names = [p.name for p in self._live_peers] or [p.name for p in self._seeds]
        free_slots = self._settings.fetch_fanout - len(self._fetches)
        names = [name for name in names if name not in busy]
        for name in self._rng.sample(names, max(0, min(free_slots, len(names)))):
            self._start_fetch(name, now, actions)

    def _start_fetch(
        self, peer: str, now: float, actions: list[DistributionAction]
    ) -> None:
        call_id = self._new_call_id()
        self._fetches[call_id] = _PeerFetch(peer, now + self._settings.fetch_timeout_s)
        self.counters.peer_fetches += 1
        actions.append(FetchFromPeer(call_id, peer))

    def _start_read(self, now: float, actions: list[DistributionAction]) -> None:
        self._deferred_revision = 0
        call_id = self._start_platform_call(now, self._settings.platform_timeout_s)
        actions.append(ReadFolder(call_id))

    def _start_watch(self, now: float, actions: list[DistributionAction]) -> None:
        wait_s = self._settings.watch_wait_s
        call_id = self._start_platform_call(
            now, wait_s + self._settings.platform_timeout_s
        )
        actions.append(WatchPlatform(call_id, self._newest_decided_revision(), wait_s))

    def _start_platform_call(self, now: float, timeout_s: float) -> int:
        call_id = self._new_call_id()
        self._platform_call = _PlatformCall(call_id, now, now + timeout_s)
        self.counters.platform_calls += 1
        return call_id

    def _new_call_id(self) -> int:
        self._last_call_id += 1
        return self._last_call_id
