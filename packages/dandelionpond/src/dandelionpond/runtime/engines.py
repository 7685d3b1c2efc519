"""Poll the engines in reach and place prompts on them."""

import asyncio
import logging

from dandelionpond.adapters.answer_head import AnswerHead
from dandelionpond.adapters.engine import HttpEngineClient
from dandelionpond.adapters.engine_api import EngineClient, EngineLoad
from dandelionpond.adapters.engine_session import EngineSessions
from dandelionpond.config.schema import EngineUpstream, Settings
from dandelionpond.decisions import ADMISSION, ROUTE
from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.limits.admission import AdmissionInput
from dandelionpond.membership.messages import UpstreamChanged
from dandelionpond.prefixes.messages import CacheEvent
from dandelionpond.prefixes.starts import StartTimes
from dandelionpond.routing.dispatcher import Dispatcher
from dandelionpond.routing.load import LoadReport
from dandelionpond.routing.messages import (
    DispatchAction,
    DispatchRequest,
    PlaceOnEngine,
    PlaceOnGroup,
    RefusePrompt,
)
from dandelionpond.routing.outliers import EngineEjected, EngineReturned
from dandelionpond.runtime.answer_heads import record_head, record_replacement
from dandelionpond.runtime.core import Core
from dandelionpond.runtime.gossip import Gossip
from dandelionpond.runtime.leases import LeaseRunner

log = logging.getLogger("dandelionpond.engines")

# Prompts are placed as soon as one arrives or ends. The tick expires waiting prompts
# and updates the estimates and the ejections of engines.
TICK_S = 0.1
NODES_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 2.0
# Cache events are requested with every n-th load report.
LOAD_POLLS_PER_CACHE_POLL = 4
# Consecutive failed load reports after which the engine is suspected.
FAILURES_TO_SUSPECT = 3
# Longer uptimes, in seconds, are invalid: 100 years.
MAX_UPTIME_S = 100 * 365 * 86_400.0

PlacementResult = PlaceOnEngine | PlaceOnGroup | RefusePrompt


class Engines:
    """The component that holds the engine clients and performs `Dispatcher` actions."""

    def __init__(self, core: Core, gossip: Gossip) -> None:
        self._core = core
        self._gossip = gossip
        self._sessions = EngineSessions()
        self._clients: dict[str, EngineClient] = {}
        self._urls: dict[str, str] = {}
        self._poll_tasks: dict[str, asyncio.Task[None]] = {}
        self._pending_placements: dict[str, asyncio.Future[PlacementResult]] = {}
        self._start_times = StartTimes()
        self._region_nodes: tuple[str, ...] = ()
        self._configured_upstreams: tuple[object, object] | None = None
        self._region_engines: dict[str, EngineUpstream] = {}
        self._poll_failures: dict[str, int] = {}
        # Number of the next cache event of each engine.
        self._next_event_seqs: dict[str, int] = {}
        self.leases = LeaseRunner(core, gossip, self.client)
        self.dispatcher = Dispatcher(
            core.local.name,
            core.settings,
            core.random,
            core.local.failure_domain,
            core.marks,
        )
        gossip.listeners.append(self)
        core.settings_listeners.append(self._configure)

    def start(self) -> None:
        """Start the periodic tasks."""
        self._core.tasks.every(lambda: TICK_S, self._tick, "dispatch")
        self._core.tasks.every(
            lambda: NODES_INTERVAL_S, self._update_nodes, "dispatch-members"
        )
        self.leases.start()

    async def close(self) -> None:
        """Close all connections."""
        await self._sessions.close()

    def client(self, engine: str) -> EngineClient | None:
        """Return the client of an engine, or None if it is not in the settings."""
        return self._clients.get(engine)

    def upstream_changed(self, change: UpstreamChanged) -> None:
        """Pass a new state of an upstream to the router."""
        self.dispatcher.router.set_membership_state(change.upstream, change.state.value)

    async def place(self, request: DispatchRequest) -> PlacementResult:
        """Submit a prompt and wait until it is placed or refused."""
        future: asyncio.Future[PlacementResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending_placements[request.request_id] = future
        self._perform(self.dispatcher.submit(request, self._core.now()))
        try:
            return await future
        except asyncio.CancelledError:
            # Cancelled after the prompt was placed but before this task resumed.
            if future.done() and not future.cancelled():
                self.finish(request.request_id, 0, 0.0)
            raise
        finally:
            del self._pending_placements[request.request_id]

    def cancel(self, request_id: str) -> None:
        """Remove a prompt that still waits from the queue."""
        self.dispatcher.cancel(request_id)

    async def reserve_group(
        self, group: str, placement: PlaceOnGroup, deadline: float
    ) -> Failure | None:
        """Reserve memory on all engines of a group before its prompt is sent.

        Returns why this failed, or None.
        """
        remaining = max(0.001, deadline - self._core.now())
        return await self.leases.reserve_group(
            group, placement.engines, placement.part_tokens, remaining
        )

    def reservation_id(self, group: str, engine: str) -> str:
        """Return the holding identifier of a group's reservation on an engine."""
        return self.leases.groups.holding_id(group, engine)

    def begin_group_stream(self, group: str, engine: str) -> bool:
        """Return whether the group's stream may be sent to this engine now.

        The stream takes over the reservation on that engine.
        """
        return self.leases.groups.begin_stream(group, engine)

    def on_group_stream_started(self, group: str, engine: str) -> None:
        """Record that the leading engine's stream took over its reservation."""
        self.leases.groups.on_stream_started(group, engine)

    def finish_group(self, group: str) -> None:
        """Release the remaining reservations of a group."""
        self.leases.finish_group(group)

    def acquire_lease(self, engine: str, holding_id: str) -> bool:
        """Add a lease before its request is sent; return false if the table is full."""
        return self.leases.acquire(engine, holding_id)

    def owns_lease(self, engine: str, holding_id: str) -> bool:
        """Return whether the lease of a request has certainly not expired."""
        return self.leases.owns(engine, holding_id)

    def release(self, engine: str, holding_id: str) -> None:
        """Cancel a request on an engine, repeatedly until the engine confirms it."""
        self.leases.release(engine, holding_id)

    def on_freed(self, engine: str, holding_id: str) -> None:
        """Record that an engine has released all memory of a request."""
        self.leases.on_freed(engine, holding_id)

    def record_first_token(self, request_id: str, engine: str) -> None:
        """Record the arrival of a prompt's first token."""
        self.dispatcher.record_first_token(request_id, engine, self._core.now())

    def record_move(self, request_id: str, engine: str) -> None:
        """Record that a prompt continues on another engine."""
        now = self._core.now()
        self._core.marks.record_request(engine, now)
        self.dispatcher.record_move(request_id, engine, now)

    def record_success(self, engine: str) -> None:
        """Record that an engine completed an answer."""
        self._poll_failures[engine] = 0
        self._gossip.withdraw_suspicion(engine)

    def record_failure(self, engine: str) -> None:
        """Record that an attempt failed because of its engine."""
        self.dispatcher.record_failure(engine)

    def may_use(self, engine: str) -> bool:
        """Return whether another request may be assigned to an engine now."""
        return self._core.marks.exclusion(engine, self._core.now()) is None

    def wants_requests(self, engine: str) -> bool:
        """Return whether a request that was assigned to an engine may be sent now."""
        return self._core.marks.wants_requests(engine, self._core.now())

    def pause_left_s(self, model: str) -> float | None:
        """Return in how many seconds an engine for a model wants requests again."""
        return self.dispatcher.pause_left_s(model, self._core.now())

    def can_serve(self, engine: str, model: str, version: str) -> bool:
        """Return whether a version of a model is still ready on an engine.

        An empty version, or one that is not known, matches any version.
        """
        readiness = self.dispatcher.readiness
        served_version = readiness.served_version(engine, model)
        is_same_version = not version or served_version in ("", version)
        return readiness.is_ready(engine, model) and is_same_version

    def record_model_refusal(self, engine: str, model: str) -> None:
        """Record that an engine does not serve the requested version of a model."""
        self.dispatcher.record_model_refusal(engine, model, self._core.now())

    def record_answer(self, engine: str, is_leaving: bool) -> None:
        """Record an engine's answer and whether it says that it is leaving."""
        self._gossip.upstream_answered(engine, is_leaving)

    def finish(self, request_id: str, tokens: int, decode_s: float) -> None:
        """Record the end of a placed prompt and place waiting ones."""
        now = self._core.now()
        self._perform(self.dispatcher.finish(request_id, tokens, decode_s, now))

    def _configure(self, settings: Settings) -> None:
        upstreams = (settings.upstreams, settings.failure_domains)
        # Most revisions do not change the upstreams. Comparing them is fast, because
        # unchanged entries are the same objects, and saves 20 ms for each revision
        # with 10,000 upstreams.
        if upstreams != self._configured_upstreams:
            self._configured_upstreams = upstreams
            self._update_clients(settings)
        self.dispatcher.configure(settings, self._region_engines)
        self._update_poll_tasks()

    def _update_clients(self, settings: Settings) -> None:
        engines = {
            name: upstream
            for name, upstream in settings.upstreams.items()
            if isinstance(upstream, EngineUpstream)
        }
        for name in [name for name in self._clients if name not in engines]:
            del self._clients[name]
            self.leases.table.drop_engine(name)
        for name, upstream in engines.items():
            if self._urls.get(name) != upstream.url or name not in self._clients:
                self._clients[name] = self._make_client(name, upstream)
                self._urls[name] = upstream.url
                self._start_times.forget(name)
                self._forget_cache(name)
        region = self._core.region
        domains = settings.failure_domains
        self._region_engines = {
            name: upstream
            for name, upstream in engines.items()
            if domains[upstream.failure_domain].region == region
        }

    def _make_client(self, name: str, upstream: EngineUpstream) -> EngineClient:
        url = self._core.upstream_url(name, upstream.url)

        def on_head(head: AnswerHead) -> None:
            # An answer from an earlier address says nothing of the present engine.
            if self._urls.get(name) == upstream.url:
                self._record_head(name, head)

        match upstream.adapter:
            case "reference":
                return HttpEngineClient(self._sessions, url, on_head)

    def _record_head(self, engine: str, head: AnswerHead) -> None:
        record_head(self._core, self._gossip, engine, head)

    def _update_poll_tasks(self) -> None:
        engines = set(self.dispatcher.engines)
        for name in [name for name in self._poll_tasks if name not in engines]:
            self._poll_tasks.pop(name).cancel()
        for name in engines - self._poll_tasks.keys():
            self._poll_tasks[name] = self._core.tasks.spawn(
                self._poll(name), "poll-engine"
            )

    async def _poll(self, engine: str) -> None:
        """Poll an engine's load and cache events; cancelled when it is out of reach."""
        # A random delay keeps nodes that start together from polling in step.
        await asyncio.sleep(self._poll_interval_s() * self._core.random.random())
        polls = 0
        self._next_event_seqs[engine] = 0
        while True:
            client = self._clients.get(engine)
            if client is not None:
                await self._poll_load(engine, client)
                if polls % LOAD_POLLS_PER_CACHE_POLL == 0:
                    await self._poll_cache_events(engine, client)
                polls += 1
            jitter = 0.75 + self._core.random.random() / 2
            await asyncio.sleep(self._poll_interval_s() * jitter)

    def _poll_interval_s(self) -> float:
        routing = self._core.settings.routing
        rate_limited_s = len(self._poll_tasks) / routing.load_polls_per_s
        return max(routing.load_interval_s, rate_limited_s)

    def _valid_uptime_s(
        self, engine: str, uptime_s: float | None, now: float
    ) -> float | None:
        """Return an uptime, or None if it is invalid; it would look like a restart."""
        if uptime_s is None or 0 <= uptime_s <= MAX_UPTIME_S:
            return uptime_s
        if self._core.marks.record_invalid_time(engine, now):
            extra = {"engine": engine, "uptime_s": uptime_s}
            log.warning("invalid uptime of an engine", extra=extra)
        return None

    async def _poll_load(self, engine: str, client: EngineClient) -> None:
        sent_at = self._core.now()
        result = await client.fetch_load(CALL_TIMEOUT_S)
        now = self._core.now()
        if result.is_error():
            was_reached = result.error.kind is not ErrorKind.UPSTREAM_UNREACHABLE
            if was_reached and self._core.marks.exclusion(engine, now) == "paused":
                # A rejection with a time is no failure.
                return
            failures = self._poll_failures.get(engine, 0) + 1
            self._poll_failures[engine] = failures
            if failures >= FAILURES_TO_SUSPECT:
                self._gossip.raise_suspicion(engine)
            return
        self._poll_failures[engine] = 0
        load = result.ok
        uptime_s = self._valid_uptime_s(engine, load.uptime_s, now)
        self._core.marks.set_start_known(engine, uptime_s is not None, now)
        if self._start_times.has_restarted(engine, uptime_s, sent_at, now):
            log.info("engine restarted", extra={"engine": engine})
            record_replacement(self._core, engine, "restarted")
            self._forget_cache(engine)
        if load.leaving:
            self._record_head(engine, AnswerHead("GET /v1/load", 200, True))
        elif not self._core.marks.is_leaving(engine, now):
            self._gossip.upstream_answered(engine, False, sent_at)
        report = LoadReport(
            engine,
            load.age_s,
            _queued_tokens_by_priority(load),
            float(load.kv_tokens_used),
            load.running_requests,
        )
        self.dispatcher.set_ready_models(engine, load.models, sent_at)
        self.dispatcher.router.record_load_report(report, now)
        self._perform(self.dispatcher.place_waiting(now))

    async def _poll_cache_events(self, engine: str, client: EngineClient) -> None:
        from_seq = self._next_event_seqs.get(engine, 0)
        result = await client.fetch_cache_events(from_seq, CALL_TIMEOUT_S)
        if result.is_error() or self._clients.get(engine) is not client:
            return
        now = self._core.now()
        for event in result.ok:
            added = event.hashes if event.action == "stored" else ()
            removed = event.hashes if event.action == "removed" else ()
            self.dispatcher.router.record_cache_event(
                CacheEvent(engine, event.seq, added, removed), now
            )
            from_seq = max(from_seq, event.seq + 1)
        self._next_event_seqs[engine] = from_seq

    def _forget_cache(self, engine: str) -> None:
        """Forget the cache of an engine that is another process than before.

        The numbers of its cache events begin again.
        """
        self.dispatcher.router.record_restart(engine)
        self._next_event_seqs[engine] = 0

    async def _update_nodes(self) -> None:
        nodes = tuple(sorted({*self._gossip.region_nodes(), self._core.local.name}))
        if nodes != self._region_nodes:
            self._region_nodes = nodes
            self.dispatcher.set_nodes(nodes)

    async def _tick(self) -> None:
        actions, changes = self.dispatcher.tick(self._core.now())
        for change in changes:
            match change:
                case EngineEjected(engine, reason):
                    log.warning("ejected", extra={"engine": engine, "reason": reason})
                case EngineReturned(engine):
                    log.info("returned", extra={"engine": engine})
        self._perform(actions)

    def _perform(self, actions: list[DispatchAction]) -> None:
        for action in actions:
            self._record_decision(action)
            future = self._pending_placements.get(action.request_id)
            if future is not None and not future.done():
                future.set_result(action)
            elif not isinstance(action, RefusePrompt):
                # The caller was cancelled in the meantime; nothing was sent.
                now = self._core.now()
                self._perform(self.dispatcher.finish(action.request_id, 0, 0.0, now))

    def _record_decision(self, action: DispatchAction) -> None:
        match action:
            case PlaceOnEngine(route_input=route_input, choice=choice):
                self._core.record(ROUTE, route_input, choice)
            case RefusePrompt(
                admission_input=AdmissionInput() as admission_input, outcome=outcome
            ):
                self._core.record(ADMISSION, admission_input, outcome)


def _queued_tokens_by_priority(load: EngineLoad) -> dict[int, float]:
    """Return the queued prefill tokens by priority.

    If the engine does not report them by priority, all count as the most urgent one.
    """
    if load.queued_by_priority:
        items = load.queued_by_priority.items()
        return {priority: float(tokens) for priority, tokens in items}
    return {0: float(load.queued_prefill_tokens)}
