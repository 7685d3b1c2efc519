"""Assemble what a node knows into the recorded input of a choice."""

import random
from collections.abc import Callable

import msgspec

from dandelionpond.hashing import owner
from dandelionpond.routing.choice import (
    Candidate,
    RouteChoice,
    RouteRequest,
    State,
    choose_engine,
    choose_engine_group,
    length_class,
)
from dandelionpond.routing.load import EngineCapacity, LoadReport, LoadTracker
from dandelionpond.routing.outliers import EngineEjected, EngineReturned, Outliers
from dandelionpond.routing.prefixes import CacheEvent, PrefixMap
from dandelionpond.routing.separation import Separation, priority
from dandelionpond.routing.settings import RoutingSettings

# The age of a report that never came. It is finite because a choice is recorded as
# JSON, where infinity becomes null and cannot be replayed.
NO_REPORT_AGE_S = 1e9


class RouteInput(msgspec.Struct, frozen=True):
    """Hold the input of one choice, as it is recorded."""

    request: RouteRequest
    candidates: tuple[Candidate, ...]
    policy: RoutingSettings
    seed: int


class Router:
    """Own the books of the routing slice for one node.

    `is_open(queue_tokens, prefill_tokens_per_s, waited_s)` is the node's limit toward
    an engine; `random_source` draws the seed of each choice.
    """

    __slots__ = (
        "_homes",
        "_is_open",
        "_nodes",
        "_policy",
        "_random",
        "_states",
        "loads",
        "outliers",
        "prefixes",
        "separation",
    )

    def __init__(
        self,
        policy: RoutingSettings,
        random_source: random.Random,
        is_open: Callable[[float, float, float], bool],
    ) -> None:
        self._policy = policy
        self._random = random_source
        self._is_open = is_open
        self._states: dict[str, State] = {}
        self._nodes = 1
        self._homes: frozenset[str] = frozenset()
        self.loads = LoadTracker(policy)
        self.outliers = Outliers(policy)
        self.prefixes = PrefixMap(policy)
        self.separation = Separation(policy)

    def configure(self, policy: RoutingSettings) -> None:
        """Take new settings from the next event on."""
        self._policy = policy
        self.loads.configure(policy)
        self.outliers.configure(policy)
        self.prefixes.configure(policy)
        self.separation.configure(policy)

    def set_engines(self, traits: dict[str, EngineCapacity]) -> None:
        """Replace the engines in reach."""
        for name in self.loads.engines:
            if name not in traits:
                self.prefixes.forget(name)
        self.loads.set_engines(traits)
        self.outliers.set_engines(self.loads.engines)

    def set_nodes(self, node: str, nodes: tuple[str, ...]) -> None:
        """Set this node's name and the live nodes that share the engines.

        Each engine is the home of one node by rendezvous hashing.
        """
        self._nodes = max(1, len(nodes))
        self._homes = frozenset(
            name for name in self.loads.engines if owner(name, nodes) == node
        )

    def set_membership_state(self, engine: str, state: State) -> None:
        """Record the state that membership gives an engine; the default is live."""
        self._states[engine] = state

    def effective_state(self, engine: str) -> State:
        """Return the state of an engine, ejection included."""
        state = self._states.get(engine, "live")
        if state in ("live", "suspect") and engine in self.outliers.ejected:
            return "ejected"
        return state

    def record_load_report(self, report: LoadReport, now: float) -> None:
        """Accept a load report."""
        self.loads.record_report(report, now)

    def record_cache_event(self, event: CacheEvent) -> None:
        """Accept a cache event."""
        self.prefixes.apply(event)

    def build_request(
        self, request_id: str, prompt_tokens: int, max_tokens: int, remaining_s: float
    ) -> RouteRequest:
        """Return the request with its priority by length and time left."""
        names = self.loads.engines
        rate = max((self.loads.prefill_rate(name) for name in names), default=1.0)
        level = priority(prompt_tokens, remaining_s, prompt_tokens / rate, self._policy)
        return RouteRequest(request_id, prompt_tokens, max_tokens, remaining_s, level)

    def needs_group(self, request: RouteRequest) -> bool:
        """Return whether no engine in reach can hold the request alone.

        A prompt that would take nearly all memory of an unreserved engine is also
        divided, because nothing else could run beside it.
        """
        roles = self.separation.roles(self.loads.engines)
        return all(
            request.kv_tokens
            > self.separation.long_memory_tokens(
                self.loads.traits(name).kv_capacity_tokens, roles[name]
            )
            for name in self.loads.engines
        )

    def route(
        self,
        request: RouteRequest,
        hashes: tuple[int, ...],
        now: float,
        waited_s: float = 0.0,
    ) -> tuple[RouteChoice, RouteInput]:
        """Choose an engine; return the outcome with the input to record."""
        candidates = self.build_candidates(request, hashes, now, waited_s)
        seed = self._random.getrandbits(32)
        choice = choose_engine(request, candidates, self._policy, seed)
        return choice, RouteInput(request, candidates, self._policy, seed)

    def route_group(
        self, request: RouteRequest, now: float, min_engines: int
    ) -> tuple[str, ...]:
        """Choose the engines for a prompt beyond one engine, in name order."""
        candidates = self.build_candidates(request, (), now, 0.0)
        return choose_engine_group(request, candidates, min_engines)

    def build_candidates(
        self,
        request: RouteRequest,
        hashes: tuple[int, ...],
        now: float,
        waited_s: float,
    ) -> tuple[Candidate, ...]:
        """Return the engines in reach as they look to this request."""
        loads = self.loads
        cached = self.prefixes.cached_tokens(hashes) if hashes else {}
        ejected = self.outliers.ejected
        roles = self.separation.roles(loads.engines)
        is_long = length_class(request.prompt_tokens, self._policy) == "long"
        is_short = length_class(request.prompt_tokens, self._policy) == "short"
        result = []
        for name in loads.engines:
            traits = loads.traits(name)
            rate = loads.prefill_rate(name)
            queue, later = loads.queue_split(name, request.priority, now)
            free = loads.free_tokens(name, now)
            if is_long:
                bound = self.separation.long_memory_tokens(
                    traits.kv_capacity_tokens, roles[name]
                )
                free = min(free, bound - loads.long_tokens(name))
            # What other nodes sent since the report may share a step with the request;
            # an engine reserved for short prompts does not have this risk.
            is_risky = is_short and "short" in roles.values() and roles[name] != "short"
            is_shared = later > 0 or is_risky
            state = self._states.get(name, "live")
            if state in ("live", "suspect") and name in ejected:
                state = "ejected"
            result.append(
                Candidate(
                    name,
                    queue,
                    free,
                    traits.kv_capacity_tokens,
                    rate,
                    min(cached.get(name, 0.0), request.prompt_tokens - 1.0),
                    loads.correction(name),
                    self._policy.step_tokens / rate if is_shared else 0.0,
                    later,
                    min(NO_REPORT_AGE_S, loads.report_age_s(name, now)),
                    self.outliers.start_share(name, now),
                    state,
                    roles[name],
                    self._is_open(queue, rate, waited_s),
                    name in self._homes,
                )
            )
        return tuple(result)

    def record_sent(
        self,
        made: RouteInput,
        engine: str,
        ttft_s: float,
        hashes: tuple[int, ...],
        now: float,
    ) -> None:
        """Record that a request was sent to the chosen engine."""
        request = made.request
        cached = next(
            one.cached_tokens for one in made.candidates if one.engine == engine
        )
        uncached = max(1.0, request.prompt_tokens - cached)
        self.loads.record_sent(
            request.request_id,
            engine,
            uncached,
            request.kv_tokens,
            request.priority,
            ttft_s,
            now,
        )
        self.prefixes.sent(engine, hashes)

    def record_first_token(self, request_id: str, engine: str, now: float) -> None:
        """Record a first token."""
        idle = self.loads.was_idle(request_id)
        ratio = self.loads.record_first_token(request_id, now)
        self.outliers.succeeded(engine, ratio, idle)

    def record_finished(self, request_id: str, now: float) -> None:
        """Record the end of a request."""
        self.loads.record_finished(request_id, now)

    def record_failure(self, request_id: str, engine: str, now: float) -> None:
        """Record a failure that the engine caused."""
        self.loads.record_finished(request_id, now)
        self.outliers.failed(engine)

    def tick(self, now: float) -> list[EngineEjected | EngineReturned]:
        """Move roles and outliers; return the engines that changed."""
        names = self.loads.engines
        rates = [self.loads.prefill_rate(name) for name in names]
        if rates:
            rate = sum(rates) / len(rates)
            self.separation.tick(len(names), self._nodes, rate, now)
        usable = [
            name
            for name in names
            if self._states.get(name, "live") == "live"
            and self.loads.report_age_s(name, now) <= self._policy.report_stale_s
        ]
        return self.outliers.tick(now, usable)
