"""Keep in touch with the engines in reach and place prompts on them."""

import asyncio
import logging

from dandelionpond.adapters.engine import HttpEngineClient
from dandelionpond.adapters.engine_api import EngineClient, EngineLoad
from dandelionpond.adapters.engine_session import EngineSessions
from dandelionpond.config.schema import EngineUpstream, Settings
from dandelionpond.decisions import ADMISSION, ROUTE
from dandelionpond.errors import Failure
from dandelionpond.limits.admission import AdmissionInput
from dandelionpond.membership.messages import UpstreamChanged
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
from dandelionpond.routing.prefixes import CacheEvent
from dandelionpond.runtime.core import Core
from dandelionpond.runtime.gossip import Gossip
from dandelionpond.runtime.leases import LeaseRunner

log = logging.getLogger("dandelionpond.engines")

# Placement follows arrivals and ends at once; the tick only expires and learns.
TICK_S = 0.1
MEMBERS_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 2.0
# Cache events are asked for once in this many load reports.
LOADS_PER_EVENTS = 4
# Load reports that fail this often in a row raise a suspicion of the engine.
FAILURES_TO_SUSPECT = 3

Placement = PlaceOnEngine | PlaceOnGroup | RefusePrompt


class Engines:
    """Own the engine clients and drive the dispatcher."""

    def __init__(self, core: Core, gossip: Gossip) -> None:
        self._core = core
        self._gossip = gossip
        self._sessions = EngineSessions()
        self._clients: dict[str, EngineClient] = {}
        self._urls: dict[str, str] = {}
        self._polls: dict[str, asyncio.Task[None]] = {}
        self._waiting: dict[str, asyncio.Future[Placement]] = {}
        self._nodes: tuple[str, ...] = ()
        self._fleet: tuple[object, object] | None = None
        self._usable: dict[str, EngineUpstream] = {}
        self._poll_failures: dict[str, int] = {}
        self.leases = LeaseRunner(core, gossip, self.client)
        self.dispatcher = Dispatcher(
            core.local.name, core.settings, core.random, core.local.failure_domain
        )
        gossip.listeners.append(self)
        core.on_settings.append(self._configure)

    def start(self) -> None:
        """Start the timers."""
        self._core.tasks.every(lambda: TICK_S, self._tick, "dispatch")
        self._core.tasks.every(
            lambda: MEMBERS_INTERVAL_S, self._update_members, "dispatch-members"
        )
        self.leases.start()

    async def close(self) -> None:
        """Close all connections."""
        await self._sessions.close()

    def client(self, engine: str) -> EngineClient | None:
        """Return the client of an engine, or None if the settings do not list it."""
        return self._clients.get(engine)

    def upstream_changed(self, change: UpstreamChanged) -> None:
        """Take a new state of an upstream."""
        self.dispatcher.router.set_membership_state(change.upstream, change.state.value)

    async def place(self, work: DispatchRequest) -> Placement:
        """Wait until a prompt is placed or refused."""
        waiting: asyncio.Future[Placement] = asyncio.get_running_loop().create_future()
        self._waiting[work.request_id] = waiting
        self._perform(self.dispatcher.submit(work, self._core.now()))
        try:
            return await waiting
        except asyncio.CancelledError:
            # The caller left between the placement and this task's next step.
            if waiting.done() and not waiting.cancelled():
                self.finished(work.request_id, 0, 0.0)
            raise
        finally:
            del self._waiting[work.request_id]

    def cancelled(self, request_id: str) -> None:
        """Forget a prompt that still waits."""
        self.dispatcher.cancel(request_id)

    async def reserve_group(
        self, group: str, place: PlaceOnGroup, deadline: float
    ) -> Failure | None:
        """Reserve all parts of a group before its prompt is sent."""
        remaining = max(0.001, deadline - self._core.now())
        return await self.leases.reserve_group(
            group, place.engines, place.part_tokens, remaining
        )

    def reservation(self, group: str, engine: str) -> str:
        """Return the identifier of a part's reservation."""
        return self.leases.groups.holding_id(group, engine)

    def group_starting(self, group: str, engine: str) -> bool:
        """Return whether a stream that takes over a part may be sent now."""
        return self.leases.groups.begin_stream(group, engine)

    def group_started(self, group: str, engine: str) -> None:
        """Learn that the stream on the leading engine took over its part."""
        self.leases.groups.on_stream_started(group, engine)

    def finish_group(self, group: str) -> None:
        """Release what is left of a group."""
        self.leases.finish_group(group)

    def hold(self, engine: str, holding_id: str) -> bool:
        """Enter a lease before a request is sent; false at the bound."""
        return self.leases.hold(engine, holding_id)

    def owns(self, engine: str, holding_id: str) -> bool:
        """Return whether the lease of a request certainly still holds."""
        return self.leases.owns(engine, holding_id)

    def release(self, engine: str, holding_id: str) -> None:
        """Cancel a request on an engine until the engine confirms it."""
        self.leases.release(engine, holding_id)

    def freed(self, engine: str, holding_id: str) -> None:
        """Learn that an engine holds nothing for a request."""
        self.leases.freed(engine, holding_id)

    def first_token(self, request_id: str, engine: str) -> None:
        """Learn from the first token of a prompt."""
        self.dispatcher.record_first_token(request_id, engine, self._core.now())

    def moved(self, request_id: str, engine: str) -> None:
        """Learn that a prompt continues on another engine."""
        self.dispatcher.record_move(request_id, engine, self._core.now())

    def succeeded(self, engine: str) -> None:
        """Learn that an engine completed an answer."""
        self._poll_failures[engine] = 0
        self._gossip.upstream_trusted(engine)

    def failed(self, engine: str) -> None:
        """Learn that an attempt failed because of its engine."""
        self.dispatcher.record_failure(engine)

    def can_serve(self, engine: str, model: str, version: str) -> bool:
        """Return whether an engine still has a model ready in a version."""
        readiness = self.dispatcher.readiness
        known = readiness.served_version(engine, model)
        is_same = not version or known in ("", version)
        return readiness.is_ready(engine, model) and is_same

    def refused_model(self, engine: str, model: str) -> None:
        """Learn that an engine does not serve a model in the version asked for."""
        self.dispatcher.record_model_refusal(engine, model, self._core.now())

    def answered(self, engine: str, is_leaving: bool) -> None:
        """Take in what an engine says of itself."""
        self._gossip.upstream_answered(engine, is_leaving)

    def finished(self, request_id: str, tokens: int, decode_s: float) -> None:
        """Record the end of a placed prompt."""
        now = self._core.now()
        self._perform(self.dispatcher.finish(request_id, tokens, decode_s, now))

    def _configure(self, settings: Settings) -> None:
        fleet = (settings.upstreams, settings.failure_domains)
        # Most changes leave the upstreams alone, and unchanged entries are the same
        # objects, so this comparison saves 20 ms for each change with 10,000 of them.
        if fleet != self._fleet:
            self._fleet = fleet
            self._set_fleet(settings)
        self.dispatcher.configure(settings, self._usable)
        self._poll_reach()

    def _set_fleet(self, settings: Settings) -> None:
        engines = {
            name: upstream
            for name, upstream in settings.upstreams.items()
            if isinstance(upstream, EngineUpstream)
        }
        for name in [name for name in self._clients if name not in engines]:
            del self._clients[name]
            self.leases.book.drop_engine(name)
        for name, upstream in engines.items():
            if self._urls.get(name) != upstream.url or name not in self._clients:
                self._clients[name] = self._make_client(name, upstream)
                self._urls[name] = upstream.url
        region = self._core.region
        domains = settings.failure_domains
        self._usable = {
            name: upstream
            for name, upstream in engines.items()
            if domains[upstream.failure_domain].region == region
        }

    def _make_client(self, name: str, upstream: EngineUpstream) -> EngineClient:
        url = self._core.upstream_url(name, upstream.url)
        match upstream.adapter:
            case "reference":
                return HttpEngineClient(self._sessions, url)

    def _poll_reach(self) -> None:
        reach = set(self.dispatcher.engines)
        for name in [name for name in self._polls if name not in reach]:
            self._polls.pop(name).cancel()
        for name in reach - self._polls.keys():
            self._polls[name] = self._core.tasks.spawn(self._poll(name), "poll-engine")

    async def _poll(self, engine: str) -> None:
        """Ask an engine for its load and cache events until it is out of reach."""
        # A random start keeps nodes that start together from asking together.
        await asyncio.sleep(self._poll_interval_s() * self._core.random.random())
        asked, from_seq = 0, 0
        while True:
            client = self._clients.get(engine)
            if client is not None:
                await self._ask_load(engine, client)
                if asked % LOADS_PER_EVENTS == 0:
                    from_seq = await self._ask_events(engine, client, from_seq)
                asked += 1
            jitter = 0.75 + self._core.random.random() / 2
            await asyncio.sleep(self._poll_interval_s() * jitter)

    def _poll_interval_s(self) -> float:
        routing = self._core.settings.routing
        spread = len(self._polls) / routing.load_polls_per_s
        return max(routing.load_interval_s, spread)

    async def _ask_load(self, engine: str, client: EngineClient) -> None:
        asked_at = self._core.now()
        result = await client.load(CALL_TIMEOUT_S)
        now = self._core.now()
        if result.is_error():
            failures = self._poll_failures.get(engine, 0) + 1
            self._poll_failures[engine] = failures
            if failures >= FAILURES_TO_SUSPECT:
                self._gossip.upstream_suspected(engine)
            return
        self._poll_failures[engine] = 0
        load = result.ok
        self._gossip.upstream_answered(engine, load.leaving)
        report = LoadReport(
            engine,
            load.age_s,
            _queued(load),
            float(load.kv_tokens_used),
            load.running_requests,
        )
        self.dispatcher.set_ready_models(engine, load.models, asked_at)
        self.dispatcher.router.record_load_report(report, now)
        self._perform(self.dispatcher.place_waiting(now))

    async def _ask_events(
        self, engine: str, client: EngineClient, from_seq: int
    ) -> int:
        result = await client.cache_events(from_seq, CALL_TIMEOUT_S)
        if result.is_error():
            return from_seq
        for event in result.ok:
            added = event.hashes if event.action == "stored" else ()
            removed = event.hashes if event.action == "removed" else ()
            self.dispatcher.router.record_cache_event(
                CacheEvent(engine, event.seq, added, removed)
            )
            from_seq = max(from_seq, event.seq + 1)
        return from_seq

    async def _update_members(self) -> None:
        nodes = tuple(sorted({*self._gossip.region_nodes(), self._core.local.name}))
        if nodes != self._nodes:
            self._nodes = nodes
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
            self._record(action)
            waiting = self._waiting.get(action.request_id)
            if waiting is not None and not waiting.done():
                waiting.set_result(action)
            elif not isinstance(action, RefusePrompt):
                # The caller left in the same step; nothing was sent.
                now = self._core.now()
                self._perform(self.dispatcher.finish(action.request_id, 0, 0.0, now))

    def _record(self, action: DispatchAction) -> None:
        match action:
            case PlaceOnEngine(route_input=made, choice=choice):
                self._core.record(ROUTE, made, choice)
            case RefusePrompt(
                admission_input=AdmissionInput() as refused, outcome=outcome
            ):
                self._core.record(ADMISSION, refused, outcome)


def _queued(load: EngineLoad) -> dict[int, float]:
    """Return the queued prefill by priority; without a split all of it is urgent."""
    if load.queued_by_priority:
        levels = load.queued_by_priority.items()
        return {level: float(tokens) for level, tokens in levels}
    return {0: float(load.queued_prefill_tokens)}
