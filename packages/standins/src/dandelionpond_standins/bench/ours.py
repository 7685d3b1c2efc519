"""Drive the real decision code of the node for each of several nodes."""

import random
from functools import partial

from dandelionpond.errors import ErrorKind
from dandelionpond.limits.admission import Admission, EngineWindows
from dandelionpond.limits.limiter import AccountLimiter, Admitted
from dandelionpond.limits.messages import Share
from dandelionpond.limits.queue import FairQueue, Queued
from dandelionpond.limits.settings import AccountLimits, LimitsSettings
from dandelionpond.routing.load import EngineTraits, LoadReport
from dandelionpond.routing.prefixes import CacheEvent
from dandelionpond.routing.router import RouteInput, Router
from dandelionpond.routing.settings import RoutingSettings
from dandelionpond_standins.bench.fleet import Fleet, Outcome
from dandelionpond_standins.bench.workload import ACCOUNTS, NODES, Arrival
from dandelionpond_standins.engine_model import ideal_ttft

_EVENTS_S = 1.0
_MIN_GROUP = 3
_TOKEN_S = 0.11


class _Node:
    """Own the slices of one node."""

    def __init__(
        self,
        fleet: Fleet,
        routing: RoutingSettings,
        limits: LimitsSettings,
        seed: int,
        index: int,
    ) -> None:
        self.windows = EngineWindows(limits)
        self.router = Router(routing, random.Random(seed), self.windows.is_open)
        spec = fleet.spec
        self.router.set_reach(
            dict.fromkeys(
                fleet.engines,
                EngineTraits(spec.kv_capacity_tokens, spec.prefill_tokens_per_s, 1_000),
            )
        )
        self.router.set_nodes(
            f"node-{index}", tuple(f"node-{one}" for one in range(NODES))
        )
        self.queue = FairQueue(limits, routing)
        rate = spec.prefill_tokens_per_s * len(fleet.engines) / NODES
        self.admission = Admission(limits, rate)
        self.limiter = AccountLimiter(limits)
        # Limits of accounts stay out of the way here: fairness is measured.
        free = AccountLimits(1e9, 1e9, 1_000_000)
        self.limiter.set_shares(
            dict.fromkeys(ACCOUNTS, free),
            dict.fromkeys(ACCOUNTS, Share(1e9, 10**6)),
            0.0,
        )
        self.admitted: dict[str, Admitted] = {}
        self.next_seq = dict.fromkeys(fleet.engines, 1)
        self.events_at = 0.0


class Ours:
    """Decide with the routing and limits slices."""

    def __init__(
        self, fleet: Fleet, routing: RoutingSettings, limits: LimitsSettings, seed: int
    ) -> None:
        self._fleet = fleet
        self._nodes = [
            _Node(fleet, routing, limits, seed * 100 + index, index)
            for index in range(NODES)
        ]

    def arrive(self, arrival: Arrival, now: float) -> None:
        """Admit or refuse, then dispatch."""
        node = self._nodes[arrival.node]
        ideal = ideal_ttft(self._fleet.spec, arrival.prompt_tokens, 0)
        needed = ideal + arrival.max_tokens * _TOKEN_S
        admitted = node.limiter.admit(arrival.account, arrival.tokens, now)
        if not isinstance(admitted, Admitted):
            self._fleet.refuse(arrival.request_id, admitted.kind, now)
            return
        node.router.separation.arrived(
            arrival.prompt_tokens, arrival.prompt_tokens, now
        )
        before = node.queue.tokens_before(arrival.account, 1.0, arrival.tokens, now)
        _, outcome = node.admission.check(before, needed, arrival.timeout_s)
        kind = None if outcome.is_admitted else ErrorKind.DEADLINE_UNREACHABLE
        if kind is None:
            item = Queued(
                arrival.request_id,
                arrival.account,
                arrival.tokens,
                now + arrival.timeout_s,
                needed,
                now,
            )
            kind = node.queue.offer(item, 1.0, now)
        if kind is not None:
            node.limiter.finished(admitted, 0.0, now)
            self._fleet.refuse(arrival.request_id, kind, now)
            return
        node.admitted[arrival.request_id] = admitted
        self._dispatch(node, now)

    def first_token(self, outcome: Outcome, now: float) -> None:
        """Teach the estimates."""
        node = self._nodes[outcome.arrival.node]
        if len(outcome.engines) == 1:
            name = outcome.arrival.request_id
            node.router.first_token(name, outcome.engines[0], now)
        self._dispatch(node, now)

    def ended(self, outcome: Outcome, now: float) -> None:
        """Free what the node counts for a request."""
        arrival = outcome.arrival
        node = self._nodes[arrival.node]
        node.queue.remove(arrival.request_id, arrival.account)
        admitted = node.admitted.pop(arrival.request_id, None)
        if admitted:
            node.limiter.finished(admitted, admitted.tokens, now)
        node.router.finished(arrival.request_id, now)
        for index in range(len(outcome.engines)):
            node.router.finished(f"{arrival.request_id}#{index}", now)
        self._dispatch(node, now)

    def poll(self, node: int, now: float) -> None:
        """Read late reports and cache events of all engines."""
        owner = self._nodes[node]
        with_events = now - owner.events_at >= _EVENTS_S
        for name, engine in self._fleet.engines.items():
            load = engine.load(now)
            owner.router.report(
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
                    owner.router.cache_event(
                        CacheEvent(name, event.seq, stored, removed)
                    )
        if with_events:
            owner.events_at = now

    def tick(self, node: int, now: float) -> None:
        """Drop what is late, move roles and dispatch."""
        owner = self._nodes[node]
        for expired in owner.queue.expire(now):
            name = expired.item.request_id
            self._fleet.refuse(name, expired.kind, now)
            admitted = owner.admitted.pop(name, None)
            if admitted:
                owner.limiter.finished(admitted, 0.0, now)
        owner.router.tick(now)
        self._dispatch(owner, now)

    def _dispatch(self, node: _Node, now: float) -> None:
        while len(node.queue):
            found: list[tuple[str, RouteInput, float]] = []
            item = node.queue.pop(now, partial(self._fits, node, now, found))
            if item is None:
                return
            if not found:
                continue
            [(engine, made, ttft)] = found
            arrival = self._fleet.outcomes[item.request_id].arrival
            node.router.sent(made, engine, ttft, arrival.hashes, now)
            self._fleet.send(arrival, engine, made.request.priority, now)

    def _fits(
        self,
        node: _Node,
        now: float,
        found: list[tuple[str, RouteInput, float]],
        item: Queued,
    ) -> bool:
        arrival = self._fleet.outcomes[item.request_id].arrival
        request = node.router.request(
            item.request_id,
            arrival.prompt_tokens,
            arrival.max_tokens,
            item.deadline - now,
        )
        if node.router.needs_group(request):
            names = node.router.route_group(request, now, _MIN_GROUP)
            if not names:
                return False
            if not self._fleet.try_group(arrival, names, request.priority, now):
                return False
            part = arrival.prompt_tokens // len(names)
            for index, name in enumerate(names):
                node.router.loads.sent(
                    f"{arrival.request_id}#{index}",
                    name,
                    part,
                    part + arrival.max_tokens,
                    request.priority,
                    1.0,
                    now,
                )
            return True
        waited = now - item.enqueued_at
        choice, made = node.router.route(request, arrival.hashes, now, waited)
        if choice.engine is None:
            return False
        found.append((choice.engine, made, choice.ttft_s))
        return True
