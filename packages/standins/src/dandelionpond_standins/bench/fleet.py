"""Run modelled engines and nodes on one simulated clock."""

import heapq
import itertools
from typing import Protocol

import msgspec

from dandelionpond_standins.bench.workload import Arrival
from dandelionpond_standins.engine_model import (
    EngineModel,
    EngineSpec,
    ModelRequest,
    RequestFinished,
    SubmitRefused,
    TokensGenerated,
)

POLL_S = 0.5
TICK_S = 0.1


class Outcome(msgspec.Struct):
    """Hold what happened to one request; times in seconds after its arrival."""

    arrival: Arrival
    ttft_s: float | None = None
    finished_s: float | None = None
    refused: str | None = None
    refused_s: float = 0.0
    engines: tuple[str, ...] = ()
    priority: int = 0

    @property
    def is_over(self) -> bool:
        """Return whether nothing more will happen."""
        return self.finished_s is not None or self.refused is not None


class RoutingPolicy(Protocol):
    """Decide for all nodes; each node knows only its own sends and late reports."""

    def on_arrival(self, arrival: Arrival, now: float) -> None:
        """Take a request at its node."""

    def on_first_token(self, outcome: Outcome, now: float) -> None:
        """Hear of a first token."""

    def on_end(self, outcome: Outcome, now: float) -> None:
        """Hear that a request finished, expired or failed."""

    def poll_engines(self, node: int, now: float) -> None:
        """Read the engines' reports."""

    def on_tick(self, node: int, now: float) -> None:
        """Dispatch what waits."""


class Fleet:
    """Own the engines, the clock and the outcomes."""

    def __init__(self, spec: EngineSpec, engines: int, seed: int) -> None:
        self.spec = spec
        self.engines = {
            f"engine-{index:02}": EngineModel(spec, seed * 1_000 + index)
            for index in range(engines)
        }
        for engine in self.engines.values():
            engine.reports_progress = False
        self.outcomes: dict[str, Outcome] = {}
        self.policy: RoutingPolicy | None = None
        self._heap: list[tuple[float, int, str, object]] = []
        self._count = itertools.count()
        self._left = 0
        self._due = dict.fromkeys(self.engines, float("inf"))

    def _push(self, at: float, kind: str, what: object) -> None:
        heapq.heappush(self._heap, (at, next(self._count), kind, what))

    def _schedule(self, name: str, now: float) -> None:
        at = self.engines[name].next_event_at()
        if at is None:
            self._due[name] = float("inf")
            return
        at = max(at, now)
        if at != self._due[name]:
            self._due[name] = at
            self._push(at, "engine", name)

    def send(self, arrival: Arrival, name: str, priority: int, now: float) -> None:
        """Send a request to one engine."""
        request = ModelRequest(
            arrival.request_id,
            f"node-{arrival.node}",
            "m",
            arrival.prompt_tokens,
            arrival.hashes,
            arrival.max_tokens,
            priority,
        )
        self.outcomes[arrival.request_id].engines = (name,)
        if isinstance(self.engines[name].submit(request, now), SubmitRefused):
            self.refuse(arrival.request_id, "engine", now)
        self._schedule(name, now)

    def try_start_group(
        self, arrival: Arrival, names: tuple[str, ...], priority: int, now: float
    ) -> bool:
        """Reserve memory on all engines in name order and start, or change nothing."""
        part = -(-arrival.prompt_tokens // len(names))
        names = tuple(sorted(names))
        for index, name in enumerate(names):
            held = f"{arrival.request_id}@{index}"
            tokens = part + arrival.max_tokens
            if not self.engines[name].reserve(held, "node", tokens, 1e9, now):
                for earlier, other in enumerate(names[:index]):
                    self.engines[other].release(f"{arrival.request_id}@{earlier}", now)
                return False
        outcome = self.outcomes[arrival.request_id]
        outcome.engines, outcome.priority = names, priority
        self._send_part(outcome, 0, now)
        return True

    def _send_part(self, outcome: Outcome, index: int, now: float) -> None:
        arrival, names = outcome.arrival, outcome.engines
        part = -(-arrival.prompt_tokens // len(names))
        is_last = index == len(names) - 1
        request = ModelRequest(
            f"{arrival.request_id}#{index}",
            f"node-{arrival.node}",
            "m",
            arrival.prompt_tokens,
            max_tokens=arrival.max_tokens if is_last else 0,
            priority=outcome.priority,
            local_tokens=part,
            reservation=f"{arrival.request_id}@{index}",
            retain_s=1e9,
        )
        self.engines[names[index]].submit(request, now)
        self._schedule(names[index], now)

    def refuse(self, request_id: str, reason: str, now: float) -> None:
        """End a request without an answer."""
        outcome = self.outcomes[request_id]
        if outcome.is_over:
            return
        self._left -= 1
        outcome.refused = reason
        outcome.refused_s = now - outcome.arrival.at
        self._clear(outcome, now)

    def _clear(self, outcome: Outcome, now: float) -> None:
        """Free all memory that a request may hold."""
        name = outcome.arrival.request_id
        if len(outcome.engines) == 1:
            self.engines[outcome.engines[0]].cancel(name, now)
        else:
            for index, engine in enumerate(outcome.engines):
                self.engines[engine].cancel(f"{name}#{index}", now)
                self.engines[engine].cancel(f"{name}@{index}", now)
        for engine in outcome.engines:
            self._schedule(engine, now)

    def run(self, arrivals: list[Arrival], nodes: int) -> dict[str, Outcome]:
        """Run until every request is over; return the outcomes."""
        policy = self.policy
        assert policy is not None
        for arrival in arrivals:
            self._push(arrival.at, "arrival", arrival)
        for node in range(nodes):
            # Nodes read and dispatch at different phases, as real ones do.
            self._push(POLL_S * node / nodes, "poll", node)
            self._push(TICK_S * node / nodes, "tick", node)
        self._left = len(arrivals)
        while self._left and self._heap:
            now, _, kind, what = heapq.heappop(self._heap)
            if kind == "engine":
                assert isinstance(what, str)
                if self._due[what] == now:
                    self._advance(what, now, policy)
            elif kind == "arrival":
                assert isinstance(what, Arrival)
                self.outcomes[what.request_id] = Outcome(what)
                self._push(now + what.timeout_s, "timeout", what.request_id)
                policy.on_arrival(what, now)
            elif kind == "timeout":
                outcome = self.outcomes[str(what)]
                if not outcome.is_over:
                    self.refuse(str(what), "timeout", now)
                    policy.on_end(outcome, now)
            elif kind == "poll":
                assert isinstance(what, int)
                policy.poll_engines(what, now)
                self._push(now + POLL_S, "poll", what)
            else:
                assert isinstance(what, int)
                policy.on_tick(what, now)
                self._push(now + TICK_S, "tick", what)
        return self.outcomes

    def _advance(self, name: str, now: float, policy: RoutingPolicy) -> None:
        for event in self.engines[name].advance(now):
            request_id, _, index = event.request_id.partition("#")
            outcome = self.outcomes[request_id]
            if outcome.is_over:
                continue
            if index and int(index) < len(outcome.engines) - 1:
                if isinstance(event, RequestFinished):
                    self._send_part(outcome, int(index) + 1, now)
                continue
            match event:
                case TokensGenerated():
                    if outcome.ttft_s is None:
                        outcome.ttft_s = event.at - outcome.arrival.at
                        policy.on_first_token(outcome, now)
                case RequestFinished():
                    outcome.finished_s = event.at - outcome.arrival.at
                    if index:
                        self._clear(outcome, now)
                    policy.on_end(outcome, now)
                    self._left -= 1
        self._due[name] = float("inf")
        self._schedule(name, now)
