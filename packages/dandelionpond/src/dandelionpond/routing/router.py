"""Collection of a node's engine data into the recorded input of a choice."""

import random
from collections.abc import Callable

import msgspec

from dandelionpond.hashing import owner
from dandelionpond.membership.upstream_marks import UpstreamMarks
from dandelionpond.prefixes.messages import CacheEvent
from dandelionpond.prefixes.outcomes import PrefixCounters, count_choice
from dandelionpond.prefixes.table import PrefixTable
from dandelionpond.routing.choice import (
    Candidate,
    RouteChoice,
    RouteRequest,
    State,
    choose_engine,
    choose_engine_group,
    length_class,
    predict,
)
from dandelionpond.routing.engine_roles import RoleAssigner, engine_priority
from dandelionpond.routing.load import EngineCapacity, LoadReport, LoadTracker
from dandelionpond.routing.outliers import (
    EngineEjected,
    EngineReturned,
    OutlierDetector,
)
from dandelionpond.routing.settings import RoutingSettings

# Age used for an engine without a report. It is finite because choices are recorded as
# JSON, which encodes infinity as null, and null cannot be replayed.
MISSING_REPORT_AGE_S = 1e9

# Reasons of engines that could take the request, now or after their queue.
_AVAILABLE_REASONS = ("not_sampled", "slower", "not_drawn", "window_full")


class RouteInput(msgspec.Struct, frozen=True):
    """The input of one choice, as it is recorded."""

    request: RouteRequest
    candidates: tuple[Candidate, ...]
    policy: RoutingSettings
    seed: int


class Router:
    """The routing state of one node, with which it routes requests.

    `is_window_open(queue_tokens, prefill_tokens_per_s, waited_s)` tells whether the
    node's concurrency limit allows another request to an engine. `random_source` draws
    the seed of each choice. `marks` are what engines say of themselves.
    """

    __slots__ = (
        "_home_engines",
        "_is_window_open",
        "_marks",
        "_membership_states",
        "_node_count",
        "_policy",
        "_random",
        "loads",
        "outliers",
        "prefix_counters",
        "prefixes",
        "role_assigner",
    )

    def __init__(
        self,
        policy: RoutingSettings,
        random_source: random.Random,
        is_window_open: Callable[[float, float, float], bool],
        marks: UpstreamMarks | None = None,
    ) -> None:
        self._policy = policy
        self._random = random_source
        self._is_window_open = is_window_open
        self._marks = marks or UpstreamMarks()
        self._membership_states: dict[str, State] = {}
        self._node_count = 1
        self._home_engines: frozenset[str] = frozenset()
        self.loads = LoadTracker(policy)
        self.outliers = OutlierDetector(policy)
        self.prefixes = PrefixTable(policy.prefixes)
        self.prefix_counters = PrefixCounters()
        self.role_assigner = RoleAssigner(policy)

    def configure(self, policy: RoutingSettings) -> None:
        """Apply new settings to the events that follow."""
        self._policy = policy
        self.loads.configure(policy)
        self.outliers.configure(policy)
        self.prefixes.configure(policy.prefixes)
        self.role_assigner.configure(policy)

    def set_engines(self, capacities: dict[str, EngineCapacity]) -> None:
        """Replace the engines in reach."""
        for name in self.loads.engines:
            if name not in capacities:
                self.prefixes.drop_engine(name)
        self.loads.set_engines(capacities)
        self.outliers.set_engines(self.loads.engines)

    def set_nodes(self, node: str, nodes: tuple[str, ...]) -> None:
        """Set this node's name and the live nodes that share the engines.

        Rendezvous hashing makes each engine a home engine of exactly one node.
        """
        self._node_count = max(1, len(nodes))
        self._home_engines = frozenset(
            name for name in self.loads.engines if owner(name, nodes) == node
        )

    def set_membership_state(self, engine: str, state: State) -> None:
        """Record the membership state of an engine; the default is live."""
        self._membership_states[engine] = state
        if state == "gone":
            self.prefixes.drop_engine(engine)

    def effective_state(self, engine: str) -> State:
        """Return the membership state of an engine, or `ejected`."""
        state = self._membership_states.get(engine, "live")
        if state in ("live", "suspect") and engine in self.outliers.ejected:
            return "ejected"
        return state

    def record_load_report(self, report: LoadReport, now: float) -> None:
        """Record a load report."""
        self.loads.record_report(report, now)
        if report.engine in self.loads.engines:
            capacity = self.loads.capacity(report.engine).kv_capacity_tokens
            idle_tokens = capacity - report.kv_used_tokens
            self.prefixes.record_memory(report.engine, idle_tokens, now)

    def record_cache_event(self, event: CacheEvent, now: float) -> None:
        """Record a cache event."""
        self.prefixes.apply_event(event, now)

    def record_restart(self, engine: str) -> None:
        """Record that an engine has restarted and lost its cache."""
        self.prefixes.drop_engine(engine)

    def build_request(
        self, request_id: str, prompt_tokens: int, max_tokens: int, remaining_s: float
    ) -> RouteRequest:
        """Return a request with a priority from its length and remaining time."""
        names = self.loads.engines
        rate = max((self.loads.prefill_rate(name) for name in names), default=1.0)
        level = engine_priority(
            prompt_tokens, remaining_s, prompt_tokens / rate, self._policy
        )
        return RouteRequest(request_id, prompt_tokens, max_tokens, remaining_s, level)

    def needs_group(self, request: RouteRequest) -> bool:
        """Return whether no engine in reach can hold the request alone.

        A prompt that needs nearly all memory of an unreserved engine is also split,
        because no other request could run on that engine.
        """
        roles = self.role_assigner.assign_roles(self.loads.engines)
        return all(
            request.kv_tokens
            > self.role_assigner.long_prompt_memory_tokens(
                self.loads.capacity(name).kv_capacity_tokens, roles[name]
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
        """Choose an engine and return the outcome with the input to record."""
        candidates = self.build_candidates(request, hashes, now, waited_s)
        seed = self._random.getrandbits(32)
        choice = choose_engine(request, candidates, self._policy, seed)
        return choice, RouteInput(request, candidates, self._policy, seed)

    def route_group(
        self, request: RouteRequest, now: float, min_engines: int
    ) -> tuple[str, ...]:
        """Choose the engines for a prompt that exceeds one engine, sorted by name."""
        candidates = self.build_candidates(request, (), now, 0.0)
        return choose_engine_group(request, candidates, min_engines)

    def build_candidates(
        self,
        request: RouteRequest,
        hashes: tuple[int, ...],
        now: float,
        waited_s: float,
    ) -> tuple[Candidate, ...]:
        """Return the engines in reach as candidates for a request."""
        loads = self.loads
        cached = self.prefixes.cached_tokens(hashes, now)
        ejected = self.outliers.ejected
        roles = self.role_assigner.assign_roles(loads.engines)
        is_long = length_class(request.prompt_tokens, self._policy) == "long"
        is_short = length_class(request.prompt_tokens, self._policy) == "short"
        result = []
        for name in loads.engines:
            capacity = loads.capacity(name)
            rate = loads.prefill_rate(name)
            queue_tokens, later_tokens = loads.split_queue_tokens(
                name, request.priority, now
            )
            free_tokens = loads.free_tokens(name, now)
            if is_long:
                bound = self.role_assigner.long_prompt_memory_tokens(
                    capacity.kv_capacity_tokens, roles[name]
                )
                free_tokens = min(
                    free_tokens, bound - loads.own_long_prompt_tokens(name)
                )
            # Requests that other nodes sent since the report may share a step with this
            # one, except on an engine that is reserved for short prompts.
            may_share = (
                is_short and "short" in roles.values() and roles[name] != "short"
            )
            shares_step = later_tokens > 0 or may_share
            state = self._membership_states.get(name, "live")
            if state in ("live", "suspect"):
                exclusion = self._marks.exclusion(name, now)
                if exclusion is not None:
                    state = exclusion
                elif name in ejected:
                    state = "ejected"
            result.append(
                Candidate(
                    name,
                    queue_tokens,
                    free_tokens,
                    capacity.kv_capacity_tokens,
                    rate,
                    min(cached.get(name, 0.0), request.prompt_tokens - 1.0),
                    loads.correction(name),
                    self._policy.step_tokens / rate if shares_step else 0.0,
                    later_tokens,
                    min(MISSING_REPORT_AGE_S, loads.report_age_s(name, now)),
                    self.outliers.start_share(name, now),
                    state,
                    roles[name],
                    self._is_window_open(queue_tokens, rate, waited_s),
                    name in self._home_engines,
                )
            )
        return tuple(result)

    def record_sent(
        self,
        route_input: RouteInput,
        engine: str,
        ttft_s: float,
        hashes: tuple[int, ...],
        now: float,
    ) -> None:
        """Record that a request was sent to the chosen engine."""
        request = route_input.request
        chosen = next(
            candidate
            for candidate in route_input.candidates
            if candidate.engine == engine
        )
        uncached = max(1.0, request.prompt_tokens - chosen.cached_tokens)
        self.loads.record_sent(
            request.request_id,
            engine,
            uncached,
            request.kv_tokens,
            request.priority,
            ttft_s,
            now,
            predict(request, chosen, route_input.policy).saved_s
            if chosen.cached_tokens > 0.0
            else 0.0,
        )
        self.prefixes.record_sent(request.request_id, engine, hashes, now)

    def count_choice(self, route_input: RouteInput, choice: RouteChoice) -> None:
        """Count what the cached prefixes did to a choice."""
        candidates = route_input.candidates
        if all(candidate.cached_tokens <= 0.0 for candidate in candidates):
            return
        reasons = {refused.engine: refused.reason for refused in choice.refused}
        request, policy = route_input.request, route_input.policy
        chosen = next(item for item in candidates if item.engine == choice.engine)
        count_choice(
            self.prefix_counters,
            predict(request, chosen, policy),
            chosen.cached_tokens,
            (
                predict(request, candidate, policy)
                for candidate in candidates
                if reasons.get(candidate.engine) in _AVAILABLE_REASONS
            ),
        )

    def record_move(
        self,
        request_id: str,
        engine: str,
        prompt_tokens: int,
        kv_tokens: int,
        hashes: tuple[int, ...],
        now: float,
    ) -> None:
        """Record that a later attempt of a request went to another engine."""
        cached = self.prefixes.cached_tokens(hashes, now).get(engine, 0.0)
        self.loads.record_finished(request_id, now)
        self.loads.record_sent(
            request_id,
            engine,
            max(1.0, prompt_tokens - cached),
            float(kv_tokens),
            0,
            0.0,
            now,
        )
        self.prefixes.record_sent(request_id, engine, hashes, now)

    def record_first_token(self, request_id: str, engine: str, now: float) -> None:
        """Record a first token."""
        was_engine_idle = self.loads.was_engine_idle(request_id)
        saving_share = self.loads.saving_share(request_id, now)
        if saving_share is not None:
            self.prefixes.record_saving(engine, saving_share)
        self.prefixes.record_first_token(request_id)
        ratio = self.loads.record_first_token(request_id, now)
        self.outliers.record_success(engine, ratio, was_engine_idle)

    def record_finished(self, request_id: str, now: float) -> None:
        """Record the end of a request."""
        self.loads.record_finished(request_id, now)
        self.prefixes.withdraw(request_id)

    def record_failure(self, request_id: str, engine: str, now: float) -> None:
        """Record the end of a request that failed because of the engine."""
        self.record_finished(request_id, now)
        self.outliers.record_failure(engine)

    def tick(self, now: float) -> list[EngineEjected | EngineReturned]:
        """Update engine roles and ejections; return the engines ejected or returned."""
        names = self.loads.engines
        rates = [self.loads.prefill_rate(name) for name in names]
        if rates:
            rate = sum(rates) / len(rates)
            self.role_assigner.tick(len(names), self._node_count, rate, now)
        usable = [
            name
            for name in names
            if self._membership_states.get(name, "live") == "live"
            and self.loads.report_age_s(name, now) <= self._policy.report_stale_s
        ]
        return self.outliers.tick(now, usable)
