"""Hold what a node believes of routes, upstreams, peers and outstanding work."""

import logging
from collections.abc import Callable, Iterable
from random import Random

import msgspec
import xxhash

from dandelionpond.clock import Clock
from dandelionpond.entry.settings import EntrySettings
from dandelionpond.forwarding.budget import RetryBudgetShare
from dandelionpond.memory.settings import MemorySettings
from dandelionpond.mesh.peers import PeerTable
from dandelionpond.placement.choice import (
    EngineCandidate,
    Prompt,
    PromptPlacement,
    WorkerCandidate,
    pause_s,
    place_call,
    place_group,
    place_prompt,
)
from dandelionpond.placement.health import (
    DOMAIN_SILENCE_S,
    Answered,
    Failed,
    HealthTracker,
)
from dandelionpond.placement.jobs import JobTracker
from dandelionpond.published.messages import (
    EngineCostModel,
    Route,
    Snapshot,
    UpstreamEntry,
    UpstreamState,
)
from dandelionpond.published.state import PublishedState

log = logging.getLogger("dandelionpond.fleet")


# Tokens from which a prompt may get the memory of several engines. Shorter ones find
# room sooner than two reservations pay.
MIN_GROUP_TOKENS = 60_000
# Memory is reserved on at least two engines: one that has room needs no reservation.
GROUP_MEMORY_SETTINGS = MemorySettings(min_group_engines=2)


class Candidates(msgspec.Struct, frozen=True):
    """Hold the upstreams of a service that may take work, healthy ones first.

    `avoided` failed lately or lie in a failure domain that is silent.
    """

    good: tuple[UpstreamEntry, ...]
    avoided: tuple[UpstreamEntry, ...]

    @property
    def best(self) -> tuple[UpstreamEntry, ...]:
        """Return the good ones, or the avoided ones if there are no others."""
        return self.good or self.avoided


class Fleet:
    """Own the beliefs of one node."""

    def __init__(self, settings: EntrySettings, clock: Clock, random: Random) -> None:
        self.settings = settings
        self.clock = clock
        self.random = random
        self.keeper = PublishedState()
        self.jobs = JobTracker()
        self.health = HealthTracker()
        self.peers = PeerTable(settings.mesh_address, settings.seeds, random)
        self._budgets: dict[str, RetryBudgetShare] = {}
        self._ordered: tuple[int, dict[str, list[UpstreamEntry]]] | None = None
        self._silent: frozenset[str] = frozenset()
        self._unresponsive: frozenset[str] = frozenset()
        self.on_unresponsive: Callable[[], None] | None = None

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.clock.monotonic()

    def apply_snapshot(self, snapshot: Snapshot, read_at: float, source: str) -> bool:
        """Offer a snapshot and log what it changes."""
        now = self.now()
        before = self.keeper.version
        known = {entry.instance: entry.state for entry in self.keeper.entries(now)}
        changed = self.keeper.update(snapshot, read_at, now)
        if not changed:
            return False
        entries = self.keeper.entries(now)
        self.health.retain(frozenset(entry.instance for entry in entries))
        fresh = {entry.instance: entry.state for entry in entries}
        log.info(
            "published state changed",
            extra={
                "source": source,
                "read_age_s": round(now - read_at, 3),
                "store_revision": snapshot.store_revision,
                "version": self.keeper.version,
                "version_before": before,
                "new": [name for name in fresh if name not in known][:20],
                "gone": [name for name in known if name not in fresh][:20],
                "leaving": [
                    name
                    for name, state in fresh.items()
                    if state is UpstreamState.LEAVING
                    and known.get(name) is not UpstreamState.LEAVING
                ][:20],
            },
        )
        return True

    def choose_service(self, route: Route) -> str:
        """Choose the service of a request by the weights of its route."""
        splits = route.splits
        if len(splits) == 1:
            return splits[0].service
        weights = [split.weight for split in splits]
        return self.random.choices(splits, weights)[0].service

    def candidates(self, service: str, tried: frozenset[str]) -> Candidates:
        """Return the upstreams of a service in the order that all nodes share."""
        now = self.now()
        good: list[UpstreamEntry] = []
        avoided: list[UpstreamEntry] = []
        for entry in self._in_order(now).get(service, ()):
            if entry.state is not UpstreamState.READY or entry.instance in tried:
                continue
            (avoided if self.should_avoid(entry) else good).append(entry)
        if len(avoided) > len(good):
            # When most fail, the cause is elsewhere; the few left would only drown.
            good += [one for one in avoided if one.failure_domain not in self._silent]
            good.sort(key=_position)
            avoided = [one for one in avoided if one.failure_domain in self._silent]
        return Candidates(tuple(good), tuple(avoided))

    def are_ready(self, instances: Iterable[str]) -> bool:
        """Return whether all these upstreams still take new work."""
        ready = {
            entry.instance
            for entry in self.keeper.entries(self.now())
            if entry.state is UpstreamState.READY
        }
        return ready.issuperset(instances)

    def place_prompt(
        self, prompt: Prompt, entries: tuple[UpstreamEntry, ...], model: EngineCostModel
    ) -> PromptPlacement | None:
        """Place a prompt on some of the engines given.

        A prompt for which no engine has the memory gets it on several.
        """
        now = self.now()
        engines = [
            self._engine(entry, position, now) for position, entry in enumerate(entries)
        ]
        placement = place_prompt(prompt, engines, model)
        if placement is None and prompt.tokens > MIN_GROUP_TOKENS:
            return place_group(prompt, engines, model, GROUP_MEMORY_SETTINGS)
        return placement

    def should_avoid(self, entry: UpstreamEntry) -> bool:
        """Return whether an upstream failed lately or lies in a silent domain."""
        return (
            self.health.is_avoided(entry.instance, self.now())
            or entry.instance in self._unresponsive
            or entry.failure_domain in self._silent
        )

    def is_unresponsive_for_peers(self, entry: UpstreamEntry) -> bool:
        """Return whether peers get nothing from an upstream, or from its domain."""
        return (
            entry.instance in self._unresponsive or entry.failure_domain in self._silent
        )

    def expected_pause_s(self, entry: UpstreamEntry, model: EngineCostModel) -> float:
        """Return the pause of a stream that the known work on its engine explains."""
        return pause_s(self._engine(entry, 0, self.now()), model)

    def _engine(
        self, entry: UpstreamEntry, position: int, now: float
    ) -> EngineCandidate:
        return EngineCandidate(
            entry.instance,
            position,
            self.jobs.load(entry.instance, now),
            max(1.0, self.health.latency_ratio(entry.instance)),
            self.health.failure_rate(entry.instance),
            entry.failure_domain != self.settings.failure_domain,
        )

    def place_call(
        self, entries: tuple[UpstreamEntry, ...], may_repeat: bool
    ) -> UpstreamEntry | None:
        """Choose the worker of a plain call."""
        now = self.now()
        domain = self.settings.failure_domain
        workers = [
            WorkerCandidate(
                entry.instance,
                entry.slots,
                self.jobs.load(entry.instance, now).requests,
                self.health.latency_ratio(entry.instance),
                self.health.failure_rate(entry.instance),
                entry.failure_domain != domain,
            )
            for entry in entries
        ]
        worker = place_call(workers, may_repeat, self.random)
        if worker is None:
            return None
        return next(one for one in entries if one.instance == worker.instance)

    def record_failure(self, instance: str, is_unresponsive: bool = False) -> None:
        """Learn that an upstream did not answer as it should."""
        now = self.now()
        was_avoided = self.health.is_avoided(instance, now)
        self.health.record(Failed(instance, now, is_unresponsive))
        if was_avoided:
            return
        log.info(
            "upstream avoided",
            extra={"upstream": instance, "unresponsive": is_unresponsive},
        )
        if is_unresponsive and self.on_unresponsive is not None:
            self.on_unresponsive()

    def refresh_unresponsive(self) -> None:
        """Learn that a peer told something."""
        unresponsive = self.peers.unresponsive_upstreams(
            self.settings.failure_domain, self.now()
        )
        if unresponsive != self._unresponsive:
            log.info(
                "upstreams silent for peers",
                extra={"now": sorted(unresponsive)[:20]},
            )
            self._unresponsive = unresponsive

    def record_answer(self, instance: str, took_s: float, expected_s: float) -> None:
        """Learn how long an upstream took to answer."""
        self.health.record(Answered(instance, took_s, expected_s))

    def retry_budget(self, service: str) -> RetryBudgetShare:
        """Return this node's share of a service's retry budget."""
        share = self._budgets.get(service)
        if share is None:
            nodes = len(self.peers.live_peers(self.now())) + 1
            share = RetryBudgetShare(self.settings.budget, nodes, self.now())
            self._budgets[service] = share
        return share

    def tick(self) -> None:
        """Refresh what depends on the silence of peers."""
        now = self.now()
        self.jobs.expire_peers(now)
        self.refresh_unresponsive()
        nodes = len(self.peers.live_peers(now)) + 1
        for share in self._budgets.values():
            share.set_node_count(nodes)
        silent = self.peers.silent_domains(now, DOMAIN_SILENCE_S)
        if silent != self._silent:
            log.info(
                "failure domains silent",
                extra={"now": sorted(silent), "before": sorted(self._silent)},
            )
            self._silent = silent
        table = self.keeper.table
        if table is not None:
            names = {service.name for service in table.document.services}
            for name in self._budgets.keys() - names:
                del self._budgets[name]

    def _in_order(self, now: float) -> dict[str, list[UpstreamEntry]]:
        entries = self.keeper.entries(now)
        stamp = hash((self.keeper.digest, len(entries)))
        if self._ordered is None or self._ordered[0] != stamp:
            found: dict[str, list[UpstreamEntry]] = {}
            for entry in sorted(entries, key=_position):
                found.setdefault(entry.service, []).append(entry)
            self._ordered = stamp, found
        return self._ordered[1]


def _position(entry: UpstreamEntry) -> int:
    return xxhash.xxh64_intdigest(entry.instance.encode())
