"""Drive the dispatcher of the node for each of several nodes."""

from random import Random

from dandelionpond.config.schema import EngineUpstream, Settings
from dandelionpond.limits.limiter import AccountLimiter, Admitted
from dandelionpond.limits.messages import Share
from dandelionpond.limits.settings import AccountLimits, LimitsSettings
from dandelionpond.routing.dispatcher import Dispatcher
from dandelionpond.routing.load import LoadReport
from dandelionpond.routing.messages import (
    DispatchAction,
    DispatchRequest,
    PlaceOnEngine,
    PlaceOnGroup,
    RefusePrompt,
)
from dandelionpond.routing.prefixes import CacheEvent
from dandelionpond.routing.settings import RoutingSettings
from dandelionpond_standins.bench.fleet import Fleet, Outcome
from dandelionpond_standins.bench.workload import ACCOUNT_DEMANDS, NODE_COUNT, Arrival

_EVENTS_S = 1.0
_MODEL = "m"
_DECODE_TOKENS_PER_S = 1_000.0


class _Node:
    """Own the slices of one node."""

    def __init__(self, fleet: Fleet, settings: Settings, seed: int, index: int) -> None:
        spec = fleet.spec
        engine = EngineUpstream(
            "fd1",
            "http://127.0.0.1:1",
            (_MODEL,),
            kv_capacity_tokens=spec.kv_capacity_tokens,
            prefill_tokens_per_s=spec.prefill_tokens_per_s,
            decode_tokens_per_s=_DECODE_TOKENS_PER_S,
        )
        self.dispatcher = Dispatcher(f"node-{index}", settings, Random(seed), "fd1")
        self.dispatcher.set_nodes(tuple(f"node-{one}" for one in range(NODE_COUNT)))
        self.dispatcher.configure(settings, dict.fromkeys(fleet.engines, engine))
        self.limiter = AccountLimiter(settings.limits)
        # Limits of accounts stay out of the way here: fairness is measured.
        free = AccountLimits(1e9, 1e9, 1_000_000)
        self.limiter.set_shares(
            dict.fromkeys(ACCOUNT_DEMANDS, free),
            dict.fromkeys(ACCOUNT_DEMANDS, Share(1e9, 10**6)),
            0.0,
        )
        self.admitted: dict[str, Admitted] = {}
        self.next_seq = dict.fromkeys(fleet.engines, 1)
        self.events_at = 0.0
        # Prompts whose engines had less memory than they seemed to have.
        self.again: list[Arrival] = []


class ProductPolicy:
    """Decide with the routing and limits slices."""

    def __init__(
        self, fleet: Fleet, routing: RoutingSettings, limits: LimitsSettings, seed: int
    ) -> None:
        self._fleet = fleet
        settings = Settings(routing=routing, limits=limits)
        self._nodes = [
            _Node(fleet, settings, seed * 100 + index, index)
            for index in range(NODE_COUNT)
        ]

    def on_arrival(self, arrival: Arrival, now: float) -> None:
        """Admit or refuse, then dispatch."""
        node = self._nodes[arrival.node]
        admitted = node.limiter.admit(arrival.account, arrival.tokens, now)
        if not isinstance(admitted, Admitted):
            self._fleet.refuse(arrival.request_id, admitted.kind, now)
            return
        node.admitted[arrival.request_id] = admitted
        self._offer(node, arrival, now)

    def _offer(self, node: _Node, arrival: Arrival, now: float) -> None:
        work = DispatchRequest(
            arrival.request_id,
            arrival.account,
            1.0,
            _MODEL,
            arrival.prompt_tokens,
            arrival.max_tokens,
            arrival.at + arrival.timeout_s,
            arrival.hashes,
        )
        self._perform(node, node.dispatcher.submit(work, now), now)

    def on_first_token(self, outcome: Outcome, now: float) -> None:
        """Teach the estimates."""
        node = self._nodes[outcome.arrival.node]
        name = outcome.arrival.request_id
        node.dispatcher.record_first_token(name, outcome.engines[0], now)
        self._perform(node, node.dispatcher.place_waiting(now), now)

    def on_end(self, outcome: Outcome, now: float) -> None:
        """Free what the node counts for a request."""
        arrival = outcome.arrival
        node = self._nodes[arrival.node]
        node.dispatcher.cancel(arrival.request_id)
        admitted = node.admitted.pop(arrival.request_id, None)
        if admitted:
            node.limiter.finish(admitted, admitted.tokens, now)
        tokens, decode_s = 0, 0.0
        if outcome.finished_s is not None and outcome.ttft_s is not None:
            tokens = arrival.max_tokens
            decode_s = outcome.finished_s - outcome.ttft_s
        name = arrival.request_id
        self._perform(node, node.dispatcher.finish(name, tokens, decode_s, now), now)

    def poll_engines(self, node: int, now: float) -> None:
        """Read late reports and cache events of all engines."""
        owner = self._nodes[node]
        router = owner.dispatcher.router
        with_events = now - owner.events_at >= _EVENTS_S
        for name, engine in self._fleet.engines.items():
            load = engine.load(now)
            router.record_load_report(
                LoadReport(
                    name,
                    now - load.at,
                    {k: float(v) for k, v in load.queued_by_priority.items()},
                    load.kv_tokens_used,
                    load.running_requests,
                ),
                now,
            )
            if with_events:
                for event in engine.cache_events(owner.next_seq[name], now):
                    owner.next_seq[name] = event.seq + 1
                    stored = event.hashes if event.action == "stored" else ()
                    removed = event.hashes if event.action == "removed" else ()
                    router.record_cache_event(
                        CacheEvent(name, event.seq, stored, removed)
                    )
        if with_events:
            owner.events_at = now

    def on_tick(self, node: int, now: float) -> None:
        """Drop what is late, move roles and dispatch."""
        owner = self._nodes[node]
        actions, _ = owner.dispatcher.tick(now)
        self._perform(owner, actions, now)
        again, owner.again = owner.again, []
        for arrival in again:
            if not self._fleet.outcomes[arrival.request_id].is_over:
                self._offer(owner, arrival, now)

    def _perform(self, node: _Node, actions: list[DispatchAction], now: float) -> None:
        for action in actions:
            arrival = self._fleet.outcomes[action.request_id].arrival
            match action:
                case PlaceOnEngine(engine=engine, priority=level):
                    self._fleet.send(arrival, engine, level, now)
                case PlaceOnGroup(engines=names, priority=level):
                    if not self._fleet.try_start_group(arrival, names, level, now):
                        node.again.append(arrival)
                        name = arrival.request_id
                        done = node.dispatcher.finish(name, 0, 0.0, now)
                        self._perform(node, done, now)
                case RefusePrompt(failure=failure):
                    admitted = node.admitted.pop(arrival.request_id, None)
                    if admitted:
                        node.limiter.finish(admitted, 0.0, now)
                    self._fleet.refuse(arrival.request_id, failure.kind, now)
