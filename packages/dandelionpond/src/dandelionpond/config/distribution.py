"""Decide who reads the platform and what to fetch from which peer."""

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

# Sources of one revision beyond these add nothing: each holds the same files.
MAX_SOURCES = 16


class DistributionCounters(msgspec.Struct):
    """Count what was refused, ignored or repeated since the start."""

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
    call: int
    issued_at: float
    deadline: float


class _Fetch(msgspec.Struct, frozen=True):
    peer: str
    deadline: float


class Distribution:
    """Take events with the time in monotonic seconds and return actions.

    The caller carries out the actions and reports each outcome as an event. `seeds` are
    the nodes that a starting node may ask before it knows its peers.
    """

    __slots__ = (
        "_calls",
        "_digest",
        "_domain",
        "_domains",
        "_doubt_until",
        "_failures",
        "_fetches",
        "_last_event",
        "_live",
        "_name",
        "_next_ask",
        "_next_platform",
        "_offered",
        "_platform",
        "_readers",
        "_refused",
        "_revision",
        "_rng",
        "_seeds",
        "_seen",
        "_settings",
        "_sources",
        "_started",
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
        self._domain = failure_domain
        self._domains = {failure_domain}
        self._seeds = tuple(seed for seed in seeds if seed.name != name)
        self._settings = settings
        self._rng = rng
        self._live: tuple[Peer, ...] = ()
        self._started = False
        self._last_event = now
        self._revision = 0
        self._digest = ""
        self._refused = 0
        # Revision that a watch named and whose read is deferred, or 0.
        self._seen = 0
        self._offered: int | None = None
        self._calls = 0
        self._platform: _PlatformCall | None = None
        self._failures = 0
        self._sources: dict[str, int] = {}
        self._fetches: dict[int, _Fetch] = {}
        self._doubt_until: float | None = now + settings.peer_grace_s
        self._next_ask = now
        self._next_platform = now
        if not self._seeds:
            self._doubt_until = None
        self._readers = self._rank()

    @property
    def revision(self) -> int:
        """Return the revision in force as reported by `OfferDecided`, or 0."""
        return self._revision

    @property
    def readers(self) -> tuple[str, ...]:
        """Return the names of the readers of this failure domain, best rank first."""
        return self._readers

    @property
    def is_reader(self) -> bool:
        """Return whether this node watches the platform for its failure domain."""
        return self._name in self._readers

    @property
    def in_doubt(self) -> bool:
        """Return whether peers are asked before the platform is trusted."""
        return self._doubt_until is not None

    def configure(self, settings: DistributionSettings) -> None:
        """Take new settings into use from the next event on."""
        self._settings = settings
        self._readers = self._rank()

    def handle(self, event: DistributionEvent, now: float) -> list[DistributionAction]:
        """Take one event and return what to do, in order."""
        if now - self._last_event > self._settings.pause_after_s:
            self._resume(now)
        self._last_event = now
        actions: list[DistributionAction] = []
        match event:
            case Tick():
                pass
            case PeersChanged(live):
                self._change_peers(live, now)
            case PeerRevision(peer, revision, digest):
                self._note(peer, revision, digest)
            case WatchAnswered(call, revision):
                self._watch_answered(call, revision, now, actions)
            case FolderReadCompleted(call, revision):
                self._folder_read(call, revision, now, actions)
            case PlatformCallFailed(call):
                if self._take_platform(call) is not None:
                    self._back_off(now)
            case PeerFetchCompleted(call, revision):
                self._peer_fetched(call, revision, now, actions)
            case PeerFetchFailed(call):
                if self._take_fetch(call) is not None:
                    self.counters.peer_failures += 1
            case OfferDecided():
                self._decided(event, now, actions)
        self._step(now, actions)
        return actions

    def _rank(self) -> tuple[str, ...]:
        # Until the first list of peers, seeds stand for the peers of the domain, so
        # that a fleet that starts at once does not consist of readers only.
        peers = self._live if self._started else self._seeds
        names = {peer.name for peer in peers if peer.failure_domain == self._domain}
        names.add(self._name)
        return tuple(top_ranked(self._domain, names, self._settings.readers_per_domain))

    def _change_peers(self, live: tuple[Peer, ...], now: float) -> None:
        was_reader = self.is_reader
        self._live = tuple(peer for peer in live if peer.name != self._name)
        self._started = True
        self._domains = {self._domain, *(peer.failure_domain for peer in live)}
        self._readers = self._rank()
        names = {peer.name for peer in self._live}
        self._sources = {p: r for p, r in self._sources.items() if p in names}
        if self.is_reader and not was_reader:
            jitter = self._rng.uniform(0.0, self._settings.retry_min_s)
            self._next_platform = max(self._next_platform, now + jitter)

    def _resume(self, now: float) -> None:
        """Abandon all calls: their answers may be as old as the pause was long."""
        self.counters.pauses += 1
        self._platform = None
        self._fetches.clear()
        self._sources.clear()
        if self._live or self._seeds:
            self._doubt_until = now + self._settings.peer_grace_s
        self._next_ask = now
        self._next_platform = now + self._rng.uniform(0.0, self._settings.retry_min_s)

    def _note(self, peer: str, revision: int, digest: str) -> None:
        if revision == self._revision and self._revision and digest != self._digest:
            self.counters.digest_conflicts += 1
        if revision <= self._known():
            return
        if peer not in self._sources and len(self._sources) >= MAX_SOURCES:
            self.counters.sources_dropped += 1
            return
        self._sources[peer] = revision

    def _known(self) -> int:
        return max(self._revision, self._refused)

    def _take_platform(self, call: int) -> _PlatformCall | None:
        current = self._platform
        if current is None or current.call != call:
            self.counters.late_ignored += 1
            return None
        self._platform = None
        return current

    def _take_fetch(self, call: int) -> _Fetch | None:
        fetch = self._fetches.pop(call, None)
        if fetch is None:
            self.counters.late_ignored += 1
        else:
            self._sources.pop(fetch.peer, None)
        return fetch

    def _back_off(self, now: float) -> None:
        settings = self._settings
        self.counters.platform_failures += 1
        self._failures = min(self._failures + 1, 30)
        longest = min(settings.retry_max_s, settings.retry_min_s * 2**self._failures)
        delay = self._rng.uniform(settings.retry_min_s, longest)
        self._next_platform = now + delay

    def _watch_answered(
        self, call: int, revision: int, now: float, actions: list[DistributionAction]
    ) -> None:
        current = self._take_platform(call)
        if current is None:
            return
        if revision < self._floor():
            self.counters.older_refused += 1
            self._back_off(now)
        elif revision > self._known():
            self._failures = 0
            if self.is_reader and not self.in_doubt and self._offered is None:
                self._read_or_defer(revision, now, actions)
        else:
            self._failures = 0
            # A platform that ends each watch at once must not be asked in a loop.
            earliest = current.issued_at + self._settings.retry_min_s
            self._next_platform = max(now, earliest)

    def _read_or_defer(
        self, revision: int, now: float, actions: list[DistributionAction]
    ) -> None:
        """Read at once on one reader of the fleet, and later on the others.

        A list names every file, so a read costs far more bytes than the changes that a
        peer sends. The first reader changes with the revision; the others read
        themselves if it is cut off, paused or gone.
        """
        key = str(revision)
        is_first = owner(key, self._domains) == self._domain
        stagger_s = self._settings.read_stagger_s
        if not stagger_s or (is_first and owner(key, self._readers) == self._name):
            self._read(now, actions)
            return
        self.counters.reads_deferred += 1
        self._seen = revision
        self._next_platform = now + stagger_s * self._rng.uniform(1.0, 1.5)

    def _floor(self) -> int:
        """Return the newest revision that this node holds or that a peer can send."""
        return max([self._revision, *self._sources.values()])

    def _folder_read(
        self, call: int, revision: int, now: float, actions: list[DistributionAction]
    ) -> None:
        if self._take_platform(call) is None:
            return
        if revision < self._floor():
            self.counters.older_refused += 1
            self._back_off(now)
        elif revision > self._known():
            self._failures = 0
            self._offer(call, revision, actions)
        else:
            self._next_platform = now + self._settings.retry_min_s

    def _peer_fetched(
        self, call: int, revision: int, now: float, actions: list[DistributionAction]
    ) -> None:
        if self._take_fetch(call) is None:
            return
        if revision > self._known():
            self._offer(call, revision, actions)
        elif self._revision and revision:
            # The peer has nothing newer, so the settings in force are current for it.
            self._doubt_until = None

    def _offer(
        self, call: int, revision: int, actions: list[DistributionAction]
    ) -> None:
        if self._offered is None:
            self._offered = revision
            actions.append(Offer(call, revision))

    def _decided(
        self, event: OfferDecided, now: float, actions: list[DistributionAction]
    ) -> None:
        self._offered = None
        if event.outcome is OfferOutcome.ACCEPTED and event.revision > self._revision:
            self._revision, self._digest = event.revision, event.digest
            self._doubt_until = None
            actions.append(Announce(event.revision, event.digest))
        elif event.outcome is OfferOutcome.REFUSED:
            self._refused = max(self._refused, event.revision)
        known = self._known()
        self._sources = {p: r for p, r in self._sources.items() if r > known}
        if 0 < self._seen <= known:
            self._seen = 0
            self._next_platform = now

    def _step(self, now: float, actions: list[DistributionAction]) -> None:
        self._expire(now)
        if self._offered is not None:
            return
        self._fetch_newer(now, actions)
        if self.in_doubt or not self._revision:
            self._ask_peers(now, actions)
        if self.in_doubt or not self.is_reader or self._platform is not None:
            return
        if now < self._next_platform:
            return
        if not self._known() or self._seen > self._known():
            self._read(now, actions)
        else:
            self._watch(now, actions)

    def _expire(self, now: float) -> None:
        for call in [c for c, f in self._fetches.items() if f.deadline <= now]:
            self._take_fetch(call)
            self.counters.peer_failures += 1
        if self._platform is not None and self._platform.deadline <= now:
            self._platform = None
            self._back_off(now)
        if self._doubt_until is not None and self._doubt_until <= now:
            self._doubt_until = None
            if not self._revision and self._seeds and not self._live:
                # Nobody answered, so the whole fleet may be starting at this moment.
                jitter = self._rng.uniform(0.0, self._settings.retry_max_s)
                self._next_platform = now + jitter

    def _fetch_newer(self, now: float, actions: list[DistributionAction]) -> None:
        if self._sources and not self._fetches:
            newest = max(self._sources.values())
            peers = sorted(p for p, r in self._sources.items() if r == newest)
            self._fetch(self._rng.choice(peers), now, actions)

    def _ask_peers(self, now: float, actions: list[DistributionAction]) -> None:
        if now < self._next_ask:
            return
        self._next_ask = now + self._settings.retry_min_s
        busy = {fetch.peer for fetch in self._fetches.values()}
        # Seeds come second because a list of live peers is fresher than the local file.
        names = [p.name for p in self._live] or [p.name for p in self._seeds]
        free = self._settings.fetch_fanout - len(self._fetches)
        names = [name for name in names if name not in busy]
        for name in self._rng.sample(names, max(0, min(free, len(names)))):
            self._fetch(name, now, actions)

    def _fetch(self, peer: str, now: float, actions: list[DistributionAction]) -> None:
        call = self._next_call()
        self._fetches[call] = _Fetch(peer, now + self._settings.fetch_timeout_s)
        self.counters.peer_fetches += 1
        actions.append(FetchFromPeer(call, peer))

    def _read(self, now: float, actions: list[DistributionAction]) -> None:
        self._seen = 0
        call = self._begin_platform(now, self._settings.platform_timeout_s)
        actions.append(ReadFolder(call))

    def _watch(self, now: float, actions: list[DistributionAction]) -> None:
        wait_s = self._settings.watch_wait_s
        call = self._begin_platform(now, wait_s + self._settings.platform_timeout_s)
        actions.append(WatchPlatform(call, self._known(), wait_s))

    def _begin_platform(self, now: float, timeout_s: float) -> int:
        call = self._next_call()
        self._platform = _PlatformCall(call, now, now + timeout_s)
        self.counters.platform_calls += 1
        return call

    def _next_call(self) -> int:
        self._calls += 1
        return self._calls
