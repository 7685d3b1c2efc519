"""A node's view of routes, upstreams, peers and outstanding jobs."""

import copy
import logging
import math
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Iterator
from itertools import islice
from random import Random

import msgspec
import xxhash

from dandelionpond.admission.queue import RoomQueue
from dandelionpond.admission.releases import Capacity, predict_capacity
from dandelionpond.clock import Clock
from dandelionpond.entry.client_requests import IncomingRequest
from dandelionpond.entry.cold import ColdLimits
from dandelionpond.entry.settings import EntrySettings
from dandelionpond.forwarding.budget import RetryBudgetShare
from dandelionpond.forwarding.messages import ResponseHead
from dandelionpond.memory.settings import MemorySettings
from dandelionpond.mesh.peers import HeartbeatPeerTable
from dandelionpond.placement.answer_marks import AnswerMarks
from dandelionpond.placement.ended_starts import EndedStarts
from dandelionpond.placement.engine_time import prefill_s
from dandelionpond.placement.evacuations import evacuation_changes
from dandelionpond.placement.exclusions import (
    OPERATOR_EXCLUSIONS,
    Exclusion,
    ExclusionTable,
    Requirements,
    is_hopeless,
)
from dandelionpond.placement.health import (
    DOMAIN_SILENCE_S,
    Answered,
    Failed,
    HealthTracker,
)
from dandelionpond.placement.jobs import JobChanges, JobTracker
from dandelionpond.placement.kept_prompts import KeptPrompts
from dandelionpond.placement.placement import (
    LONG_PREFILL_S,
    EngineCandidate,
    PlacementTrace,
    Prompt,
    PromptPlacement,
    WorkerCandidate,
    expected_pause_s,
    place_call,
    place_group,
    place_prompt,
)
from dandelionpond.placement.speeds import SpeedTable
from dandelionpond.published.messages import (
    EngineCostModel,
    Route,
    Snapshot,
    UpstreamEntry,
    UpstreamState,
)
from dandelionpond.published.state import PublishedState
from dandelionpond.quarantine.messages import ALL_ACCOUNTS, PromptKey
from dandelionpond.quarantine.quarantine import PromptQuarantine, Refused
from dandelionpond.quarantine.table import Quarantine

log = logging.getLogger("dandelionpond.fleet")


# Prompts with more tokens may use memory reserved on several engines. Shorter prompts
# get free memory on one engine before two reservations would pay off.
MIN_GROUP_TOKENS = 60_000
# At least two engines, because a prompt that fits on one needs no reservation.
GROUP_MEMORY_SETTINGS = MemorySettings(min_group_engines=2)


# Number of engines in the own failure domain from which on a node prefers them to
# those of other domains, for which it then gets only regular heartbeats. With fewer
# engines, sharing all of them wastes less capacity than it costs in messages.
MIN_LOCAL_ENGINES = 20


class Candidates(msgspec.Struct, frozen=True):
    """The upstreams of a service that accept requests.

    Upstreams that must not get the request are in neither; `excluded` has the reason
    of each. Those in `avoided` failed recently, are unresponsive to peers or belong to
    a silent failure domain. `is_hopeless` is whether there is none because operators
    have excluded them, so that waiting is in vain.
    """

    preferred: tuple[UpstreamEntry, ...]
    avoided: tuple[UpstreamEntry, ...]
    excluded: dict[str, Exclusion]
    is_hopeless: bool

    @property
    def best(self) -> tuple[UpstreamEntry, ...]:
        """Return the preferred upstreams, or the avoided ones if there are none."""
        return self.preferred or self.avoided


class Fleet:
    """One node's view of the system, from which it chooses upstreams."""

    def __init__(self, settings: EntrySettings, clock: Clock, random: Random) -> None:
        self.settings = settings
        self.clock = clock
        self.random = random
        self.published = PublishedState(settings.reads)
        self.jobs = JobTracker()
        self.health = HealthTracker()
        self.prefixes = KeptPrompts()
        self.marks = AnswerMarks()
        self.exclusions = ExclusionTable(self.marks, self.jobs, settings.regions)
        # Requests that were kept away from upstreams, by reason.
        self.kept_away: dict[str, int] = dict.fromkeys(sorted(OPERATOR_EXCLUSIONS), 0)
        self.quarantine = PromptQuarantine(settings.name)
        self.quarantine.on_change = self._log_quarantine
        self.room = RoomQueue(settings.name)
        self.peers = HeartbeatPeerTable(
            settings.mesh_address, settings.failure_domain, settings.seeds, random
        )
        self.cold = ColdLimits(settings, clock, self.published, self.jobs, self.peers)
        # Only fleets with cold upstreams tell each other what they measured, and need
        # to know what an upstream got.
        self.speeds = None if settings.cold_bound is None else SpeedTable()
        if settings.cold_bound is not None:
            self.jobs.ended_starts = EndedStarts()
        self._retry_budgets: dict[str, RetryBudgetShare] = {}
        # The upstreams by service, with the key of the state they were computed from.
        self._by_service: tuple[int, dict[str, list[UpstreamEntry]]] | None = None
        # This node's own order of the upstreams; the lowest comes first.
        self._preferences: dict[str, int] = {}
        self._silent_domains: frozenset[str] = frozenset()
        self._unresponsive_to_peers: frozenset[str] = frozenset()
        self.on_unresponsive: Callable[[], None] | None = None

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.clock.monotonic()

    def copy_for_preview(self) -> "Fleet":
        """Return a view of the same state whose choices have no effect on this one.

        What choices change is copied: random numbers and counters. The copy must not
        outlive the current step of the event loop.
        """
        fleet = copy.copy(self)
        fleet.random = copy.copy(self.random)
        fleet.kept_away = dict(self.kept_away)
        fleet.prefixes = copy.copy(self.prefixes)
        fleet.prefixes.counters = copy.copy(self.prefixes.counters)
        fleet.cold = copy.copy(self.cold)
        if self.cold.tracker is not None:
            fleet.cold.tracker = copy.copy(self.cold.tracker)
            fleet.cold.tracker.counters = copy.copy(self.cold.tracker.counters)
        return fleet

    def apply_snapshot(
        self,
        snapshot: Snapshot,
        read_at: float,
        source: str,
        hold_until: float | None = None,
    ) -> bool:
        """Apply a snapshot and log its changes; return whether it changed anything.

        The arguments are those of `PublishedState.update`.
        """
        now = self.now()
        version_before = self.published.version
        entries_before = self.published.entries(now)
        evacuations_before = self.published.evacuations
        states_before = {entry.instance: entry.state for entry in entries_before}
        starts_before = {entry.instance: entry.started_ms for entry in entries_before}
        self.cold.forget_gone(now)
        changed = self.published.update(snapshot, read_at, now, hold_until)
        if not changed:
            return False
        self.cold.take_list(read_at, now)
        entries = self.published.entries(now)
        if self.speeds is not None:
            self.speeds.set_starts({e.instance: e.started_ms for e in entries})
        self.health.retain(
            frozenset(
                entry.instance
                for entry in entries
                if starts_before.get(entry.instance) in (None, entry.started_ms)
            )
        )
        states = {entry.instance: entry.state for entry in entries}
        evacuations = evacuation_changes(evacuations_before, self.published.evacuations)
        evacuation_fields = {}
        if evacuations.began or evacuations.ended:
            evacuation_fields["evacuated"] = dict(islice(evacuations.began.items(), 20))
            evacuation_fields["evacuation_ended"] = dict(
                islice(evacuations.ended.items(), 20)
            )
        if len(self.prefixes.table):
            starts = {entry.instance: entry.started_ms for entry in entries}
            self.prefixes.drop_engines(
                {name for name, at in starts_before.items() if starts.get(name) != at}
            )
        log.info(
            "published state changed",
            extra={
                "source": source,
                "read_age_s": round(now - read_at, 3),
                "store_revision": snapshot.store_revision,
                "version": self.published.version,
                "version_before": version_before,
                "new": [name for name in states if name not in states_before][:20],
                "gone": [name for name in states_before if name not in states][:20],
                "held": self.published.held_instances(now)[:20],
                "hold_s": round(self.published.hold_left_s(now), 3),
                "leaving": [
                    name
                    for name, state in states.items()
                    if state is UpstreamState.LEAVING
                    and states_before.get(name) is not UpstreamState.LEAVING
                ][:20],
                **evacuation_fields,
            },
        )
        return True

    def known_domains(self) -> set[str]:
        """Return the failure domains of the settings, the upstreams and the peers."""
        now = self.now()
        domains = {self.settings.failure_domain, *self.settings.regions}
        domains.update(entry.failure_domain for entry in self.published.entries(now))
        domains.update(
            peer.heartbeat.failure_domain
            for peer in self.peers.live_peers(now)
            if peer.heartbeat is not None
        )
        return domains

    def choose_service(self, route: Route) -> str:
        """Choose a service at random by the weights of the route's splits."""
        splits = route.splits
        if len(splits) == 1:
            return splits[0].service
        weights = [split.weight for split in splits]
        return self.random.choices(splits, weights)[0].service

    def candidates(
        self,
        service: str,
        tried: frozenset[str],
        request: IncomingRequest | None = None,
    ) -> Candidates:
        """Return the upstreams of a service for a request that are not in `tried`.

        Their order is the same on all nodes. None stands for a request without
        requirements.
        """
        now = self.now()
        preferred: list[UpstreamEntry] = []
        avoided: list[UpstreamEntry] = []
        excluded: dict[str, Exclusion] = {}
        requirements = self._requirements(request)
        evacuated = self.published.evacuated_domains
        has_cold = has_limited = False
        for entry in self._entries_by_service(now).get(service, ()):
            reason = self.exclusions.reason(entry, requirements, evacuated, now)
            if reason is None and entry.instance in tried:
                reason = Exclusion.TRIED
            if reason is not None:
                excluded[entry.instance] = reason
                continue
            if not self.cold.may_send(entry.instance, now):
                is_cold = self.cold.is_cold(entry.instance, now)
                excluded[entry.instance] = (
                    Exclusion.COLD if is_cold else Exclusion.COLD_LIMIT
                )
                has_cold |= is_cold
                has_limited |= not is_cold
                continue
            (avoided if self.should_avoid(entry) else preferred).append(entry)
        candidates = len(preferred) + len(avoided)
        hopeless = is_hopeless(requirements, excluded.values(), candidates)
        if excluded and request is not None:
            self._count_kept_away(request, excluded.values())
        if has_cold or has_limited:
            self.cold.count_left_out(has_cold, has_limited)
        if len(avoided) > len(preferred):
            # If most upstreams failed, the cause is likely not in them, and the others
            # would be overloaded.
            preferred += [
                entry
                for entry in avoided
                if entry.failure_domain not in self._silent_domains
            ]
            preferred.sort(key=_hash_position)
            avoided = [
                entry
                for entry in avoided
                if entry.failure_domain in self._silent_domains
            ]
        preferred = self.cold.spread(preferred, now)
        return Candidates(tuple(preferred), tuple(avoided), excluded, hopeless)

    def are_ready(
        self, instances: Iterable[str], request: IncomingRequest | None = None
    ) -> bool:
        """Return whether all these upstreams may still get a request.

        None stands for a request without requirements.
        """
        now = self.now()
        requirements = self._requirements(request)
        evacuated = self.published.evacuated_domains
        reason = self.exclusions.reason
        ready = {
            entry.instance
            for entry in self.published.entries(now)
            if reason(entry, requirements, evacuated, now) is None
            and self.cold.may_send(entry.instance, now)
        }
        return ready.issuperset(instances)

    def can_retry(self, request: IncomingRequest, tried: frozenset[str]) -> bool:
        """Return whether a request could be sent again now to an upstream not tried."""
        now = self.now()
        if not self.retry_budget(request.service).can_take(now):
            return False
        requirements = self._requirements(request)
        evacuated = self.published.evacuated_domains
        return any(
            entry.instance not in tried
            and self.exclusions.reason(entry, requirements, evacuated, now) is None
            and self.cold.may_send(entry.instance, now)
            for entry in self._entries_by_service(now).get(request.service, ())
        )

    def is_evacuated(self, instances: Collection[str]) -> bool:
        """Return whether the failure domain of one of these upstreams is evacuated."""
        evacuated = self.published.evacuated_domains
        return bool(evacuated) and any(
            entry.failure_domain in evacuated and entry.instance in instances
            for entry in self.published.entries(self.now())
        )

    def _requirements(self, request: IncomingRequest | None) -> Requirements:
        """Return what a request requires by the document in effect."""
        if request is None:
            return Requirements()
        table = self.published.table
        if table is not None:
            request.update_requirements(table)
        return request.requirements

    def _count_kept_away(
        self, request: IncomingRequest, reasons: Iterable[Exclusion]
    ) -> None:
        """Count once for each request by which reasons it was kept from upstreams."""
        new = OPERATOR_EXCLUSIONS.intersection(reasons) - request.kept_from
        if new:
            request.kept_from |= new
            for reason in new:
                self.kept_away[reason] += 1

    def pause_left_s(
        self, service: str, request: IncomingRequest | None = None
    ) -> float | None:
        """Return when the first upstream of a service accepts a request again.

        The result is in seconds from now. It is None if one may accept it now, or if
        there are none.
        """
        now = self.now()
        requirements = self._requirements(request)
        ends = [
            self.marks.paused_until(entry)
            for entry in self._entries_by_service(now).get(service, ())
            if entry.state is UpstreamState.READY
            and not self.marks.is_leaving(entry, now)
            and self._operator_exclusion(entry, requirements) is None
        ]
        first = min(ends, default=0.0)
        return first - now if first > now else None

    def is_ramping(self, service: str, request: IncomingRequest) -> bool:
        """Return whether an upstream for a request has just ended a pause."""
        now = self.now()
        requirements = self._requirements(request)
        return any(
            self.marks.is_ramping(entry, now)
            and self._operator_exclusion(entry, requirements) is None
            for entry in self._entries_by_service(now).get(service, ())
        )

    def turn_in_s(
        self,
        service: str,
        tried: frozenset[str] = frozenset(),
        request: IncomingRequest | None = None,
    ) -> float | None:
        """Return the time in seconds before which no upstream may get a request.

        Return None if none is left out because it is cold, or might be and has had
        many requests in the last second. Otherwise paused ones count too, because the
        end of a pause may come first. It may take longer. Return 0 if one may get the
        request now.
        """
        now = self.now()
        requirements = self._requirements(request)
        evacuated = self.published.evacuated_domains
        first, has_limited = math.inf, False
        for entry in self._entries_by_service(now).get(service, ()):
            if entry.instance in tried:
                continue
            reason = self.exclusions.reason(entry, requirements, evacuated, now)
            turn_s = self.cold.turn_in_s(entry.instance, now)
            if reason in (Exclusion.PAUSED, Exclusion.RAMPING):
                pause_s = self.marks.paused_until(entry) - now
                first = min(first, max(0.0, pause_s, turn_s))
            elif reason is None:
                if self.cold.may_send(entry.instance, now):
                    return 0.0
                first, has_limited = min(first, turn_s), True
        return first if has_limited else None

    def record_head(self, upstream: UpstreamEntry, head: ResponseHead) -> None:
        """Record what the head of an upstream's response says of the upstream."""
        if not head.is_leaving and head.pause_s is None and head.cold_s is None:
            return
        now = self.now()
        if head.is_misdirected:
            # Another upstream may have the address by now.
            entries = self.published.entries(now)
            named = [entry for entry in entries if entry.instance == head.responder]
            if not named:
                return
            upstream = named[0]
        self.cold.record_head(upstream.instance, head.cold_s, now)
        extra = {
            "upstream": upstream.instance,
            "started_ms": upstream.started_ms,
            "status": head.status,
        }
        if head.is_leaving and self.marks.record_leaving(upstream, now):
            log.info("upstream says that it leaves", extra=extra)
        if head.pause_s is not None:
            was_paused = self.marks.paused_until(upstream) > now
            end = self.marks.record_pause(upstream, head.pause_s, now)
            if not was_paused:
                extra["pause_s"] = round(end - now, 3)
                log.info("upstream wants no requests for a time", extra=extra)

    def _operator_exclusion(
        self, entry: UpstreamEntry, requirements: Requirements
    ) -> Exclusion | None:
        evacuated = self.published.evacuated_domains
        return self.exclusions.operator_reason(entry, requirements, evacuated)

    def place_prompt(
        self,
        prompt: Prompt,
        entries: tuple[UpstreamEntry, ...],
        model: EngineCostModel,
        blocks: tuple[int, ...] = (),
        trace: PlacementTrace | None = None,
    ) -> PromptPlacement | None:
        """Place a prompt on some of the given engines.

        `blocks` are those of the prompt if engines keep prompts, else empty. A long
        prompt that no single engine can take is placed with memory reserved on several
        engines. Return None if there is no placement. The terms of each engine are
        added to `trace`.
        """
        now = self.now()
        prefers_local = self._prefers_local(entries, now)
        is_long = prefill_s(model, prompt.tokens) > LONG_PREFILL_S
        engines = [
            self._engine_candidate(
                entry,
                position,
                now,
                prefers_local,
                self.cold.prompt_cost(entry.instance, is_long, now),
            )
            for position, entry in enumerate(entries)
        ]
        if blocks:
            engines = self.prefixes.add_cached_tokens(engines, blocks, now)
        placement = place_prompt(prompt, engines, model, trace)
        if placement is None and prompt.tokens > MIN_GROUP_TOKENS:
            return place_group(prompt, engines, model, GROUP_MEMORY_SETTINGS)
        if blocks and placement is not None:
            self.prefixes.count_choice(prompt, engines, placement, model)
        return placement

    def record_prompt_sent(
        self,
        request_id: str,
        placement: PromptPlacement,
        model: EngineCostModel,
        blocks: tuple[int, ...],
    ) -> None:
        """Record a prompt that its engine keeps after the request."""
        now = self.now()
        used_tokens = self.jobs.load(placement.main, now).memory_tokens
        self.prefixes.record_sent(
            request_id, placement, blocks, model.memory_tokens - used_tokens, now
        )

    def free_slots(self, service: str, model: EngineCostModel) -> int:
        """Return the number of free slots on the engines of a service."""
        candidates = self.candidates(service, frozenset())
        return sum(
            max(0, model.slots - self.jobs.slots_in_use(entry.instance))
            for entries in (candidates.preferred, candidates.avoided)
            for entry in entries
        )

    def predict_capacity(
        self, service: str, model: EngineCostModel, duration_ratio: float
    ) -> Capacity:
        """Return the free slots of a service and when others will be free."""
        now = self.now()
        candidates = self.candidates(service, frozenset())
        engines = (
            self.jobs.main_jobs(entry.instance, now)
            for entries in (candidates.preferred, candidates.avoided)
            for entry in entries
        )
        return predict_capacity(engines, model, duration_ratio)

    def check_quarantine(self, key: PromptKey, request_id: str) -> Refused | None:
        """Return None if a prompt may be sent; see `PromptQuarantine.check`."""
        return self.quarantine.check(key, request_id, self.now(), self._live_nodes)

    def preview_quarantine(self, key: PromptKey) -> Refused | None:
        """Return what `check_quarantine` would for a new prompt, without effect."""
        return self.quarantine.preview(key, self.now(), self._live_nodes)

    def _live_nodes(self) -> Iterator[str]:
        for peer in self.peers.live_peers(self.now()):
            if peer.heartbeat is not None and not peer.heartbeat.is_leaving:
                yield peer.heartbeat.node

    def _log_quarantine(self, change: str, entry: Quarantine) -> None:
        now = self.now()
        log.warning(
            change,
            extra={
                "part": f"{entry.part:016x}",
                "all_accounts": entry.account == ALL_ACCOUNTS,
                "sequence": entry.sequence,
                "failed_trials": entry.failed_trials,
                "crash_age_s": round(now - entry.crashed_at, 3),
                "trial_in_s": round(max(0.0, entry.trial_due_at - now), 3),
            },
        )

    def should_avoid(self, entry: UpstreamEntry) -> bool:
        """Return whether other upstreams should be preferred to this one.

        That is the case if it failed recently, is unresponsive to peers or belongs to a
        silent failure domain.
        """
        return (
            self.health.is_avoided(entry.instance, self.now())
            or entry.instance in self._unresponsive_to_peers
            or entry.failure_domain in self._silent_domains
        )

    def is_unresponsive_to_peers(self, entry: UpstreamEntry) -> bool:
        """Return whether peers get no response from an upstream or its domain."""
        return (
            entry.instance in self._unresponsive_to_peers
            or entry.failure_domain in self._silent_domains
        )

    def expected_pause_s(self, entry: UpstreamEntry, model: EngineCostModel) -> float:
        """Return the expected pause of a stream at the known load of its engine."""
        candidate = self._engine_candidate(entry, 0, self.now(), False)
        return expected_pause_s(candidate, model)

    def domains_to_update(self, changes: JobChanges) -> frozenset[str] | None:
        """Return the failure domains whose nodes need changed jobs at once.

        None stands for all. The other domains get them with a regular heartbeat.
        """
        if changes.has_long_part:
            return None
        domains = {self.settings.failure_domain}
        services = set()
        now = self.now()
        for service, entries in self._entries_by_service(now).items():
            for entry in entries:
                if entry.instance in changes.instances:
                    domains.add(entry.failure_domain)
                    services.add(service)
        for service in services:
            if not self._has_enough_local(self._entries_by_service(now)[service]):
                return None
        return frozenset(domains) if services else None

    def _prefers_local(self, entries: tuple[UpstreamEntry, ...], now: float) -> bool:
        is_evacuated = self.settings.failure_domain in self.published.evacuated_domains
        if not entries or (self.settings.cold_bound is None and not is_evacuated):
            return self._has_enough_local(entries)
        # Engines that are left out for a time do not change the preference, which other
        # nodes have to share.
        return self._has_enough_local(
            self._entries_by_service(now).get(entries[0].service, entries)
        )

    def _has_enough_local(self, entries: Iterable[UpstreamEntry]) -> bool:
        counts = Counter(entry.failure_domain for entry in entries)
        local = counts[self.settings.failure_domain]
        if self.settings.cold_bound is None:
            return local >= MIN_LOCAL_ENGINES
        # Domains with enough engines tell others of their short prompts late, so a
        # domain that has lost engines must not take their load for known.
        return local > 0 and max(counts.values()) >= MIN_LOCAL_ENGINES

    def _engine_candidate(
        self,
        entry: UpstreamEntry,
        position: int,
        now: float,
        prefers_local: bool,
        extra_cost: float = 0.0,
    ) -> EngineCandidate:
        is_remote = entry.failure_domain != self.settings.failure_domain
        return EngineCandidate(
            entry.instance,
            position,
            self.jobs.load(entry.instance, now),
            max(1.0, self._latency_ratio(entry.instance, now)),
            self.health.failure_rate(entry.instance),
            is_remote,
            is_remote and prefers_local,
            self._preferences.get(entry.instance, 0) if prefers_local else None,
            extra_cost,
        )

    def _latency_ratio(self, instance: str, now: float) -> float:
        own_ratio = self.health.latency_ratio(instance)
        if self.speeds is None:
            return own_ratio
        return self.speeds.ratio(instance, own_ratio, now)

    def place_call(
        self,
        entries: tuple[UpstreamEntry, ...],
        may_repeat: bool,
        trace: PlacementTrace | None = None,
    ) -> UpstreamEntry | None:
        """Choose the worker for a plain call; return None if `entries` is empty.

        The terms of each worker are added to `trace`.
        """
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
        worker = place_call(workers, may_repeat, self.random, trace)
        if worker is None:
            return None
        return next(entry for entry in entries if entry.instance == worker.instance)

    def record_failure(
        self, instance: str, is_unresponsive: bool | None = False
    ) -> None:
        """Record a failed attempt; `is_unresponsive` is as in `Failed`.

        Log when the upstream becomes avoided or unresponsive, and tell peers of the
        latter at once.
        """
        now = self.now()
        was_avoided = self.health.is_avoided(instance, now)
        was_unresponsive = self.health.is_unresponsive(instance, now)
        self.health.record(Failed(instance, now, is_unresponsive))
        if is_unresponsive:
            self.cold.suspect((instance,), now)
        becomes_unresponsive = bool(is_unresponsive) and not was_unresponsive
        if was_avoided and not becomes_unresponsive:
            return
        log.info(
            "upstream avoided",
            extra={"upstream": instance, "unresponsive": becomes_unresponsive},
        )
        if becomes_unresponsive and self.on_unresponsive is not None:
            self.on_unresponsive()

    def refresh_unresponsive(self) -> None:
        """Update the upstreams that peers report as unresponsive; log changes."""
        unresponsive = self.peers.unresponsive_upstreams(self.now())
        if unresponsive != self._unresponsive_to_peers:
            log.info(
                "upstreams unresponsive to peers",
                extra={"now": sorted(unresponsive)[:20]},
            )
            self.cold.suspect(unresponsive - self._unresponsive_to_peers, self.now())
            self._unresponsive_to_peers = unresponsive

    def record_answer(self, instance: str, took_s: float, expected_s: float) -> None:
        """Record the actual and expected time of an upstream's answer."""
        self.health.record(Answered(instance, took_s, expected_s))
        if self.speeds is not None:
            ratio = self.health.latency_ratio(instance)
            self.speeds.record(instance, ratio, self.now())

    def retry_budget(self, service: str) -> RetryBudgetShare:
        """Return this node's share of a service's retry budget."""
        share = self._retry_budgets.get(service)
        if share is None:
            now = self.now()
            nodes = self.peers.known_node_count(now)
            share = RetryBudgetShare(self.settings.budget, nodes, now)
            self._retry_budgets[service] = share
        return share

    def tick(self) -> None:
        """Update everything that depends on which peers are live.

        Also drop the retry budgets of services that no longer exist.
        """
        now = self.now()
        self.jobs.expire_peers(now, self.peers.silence_limit_s)
        self.refresh_unresponsive()
        self.quarantine.tick(now)
        self.cold.tick(now)
        if self.speeds is not None:
            self.speeds.tick(now)
        nodes = self.peers.known_node_count(now)
        for share in self._retry_budgets.values():
            share.set_node_count(nodes)
        silent = self.peers.silent_domains(now, DOMAIN_SILENCE_S)
        if silent != self._silent_domains:
            log.info(
                "failure domains silent",
                extra={"now": sorted(silent), "before": sorted(self._silent_domains)},
            )
            self._silent_domains = silent
        table = self.published.table
        if table is not None:
            names = {service.name for service in table.document.services}
            for name in self._retry_budgets.keys() - names:
                del self._retry_budgets[name]

    def _entries_by_service(self, now: float) -> dict[str, list[UpstreamEntry]]:
        entries = self.published.entries(now)
        cache_key = hash((self.published.digest, len(entries)))
        if self._by_service is None or self._by_service[0] != cache_key:
            by_service: dict[str, list[UpstreamEntry]] = {}
            for entry in sorted(entries, key=_hash_position):
                by_service.setdefault(entry.service, []).append(entry)
            self._by_service = cache_key, by_service
            self._preferences = {
                entry.instance: _preference(self.settings.name, entry.instance)
                for entry in entries
            }
        return self._by_service[1]


def _hash_position(entry: UpstreamEntry) -> int:
    return xxhash.xxh64_intdigest(entry.instance.encode())


def _preference(node: str, instance: str) -> int:
    return xxhash.xxh64_intdigest(f"{node}/{instance}".encode())
