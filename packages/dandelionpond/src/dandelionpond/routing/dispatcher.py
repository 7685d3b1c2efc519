"""Decide for each prompt of one node: refuse it, let it wait, or place it."""

import math
from random import Random

import msgspec

from dandelionpond.config.schema import EngineUpstream, Settings
from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.limits.admission import (
    AdmissionController,
    EngineWindows,
    admission_failure,
)
from dandelionpond.limits.queue import FairQueue, QueuedRequest
from dandelionpond.memory.groups import split_prompt
from dandelionpond.routing.choice import (
    MAX_CANDIDATES,
    Candidate,
    RouteRequest,
    choose_engine,
    choose_engine_group,
    estimate_ttft,
)
from dandelionpond.routing.load import EngineCapacity
from dandelionpond.routing.messages import (
    DispatchAction,
    DispatchRequest,
    PlaceOnEngine,
    PlaceOnGroup,
    RefusePrompt,
)
from dandelionpond.routing.outliers import EngineEjected, EngineReturned
from dandelionpond.routing.reach import select_engines_in_reach
from dandelionpond.routing.readiness import ModelReadiness
from dandelionpond.routing.router import RouteInput, Router

# Time between two tokens of a stream in seconds, before any stream was seen.
_FIRST_TOKEN_GAP_S = 0.02
_LEARNING_RATE = 0.05
# A queue that does not move tells nothing about the time until it does.
_DEFAULT_RETRY_S = 1.0


class Dispatcher:
    """Own the waiting prompts of a node and what it knows of engines.

    The setting `engines_in_reach` bounds the engines. Times are monotonic seconds.
    """

    def __init__(
        self, node: str, settings: Settings, random: Random, failure_domain: str = ""
    ) -> None:
        self._node = node
        self._failure_domain = failure_domain
        self._settings = settings
        self._random = random
        self._work: dict[str, DispatchRequest] = {}
        self._placed: dict[str, DispatchRequest] = {}
        self._groups: dict[str, PlaceOnGroup] = {}
        self._usable: dict[str, EngineUpstream] = {}
        self._engines: dict[str, EngineUpstream] = {}
        self._nodes: tuple[str, ...] = (node,)
        self._token_gap_s = _FIRST_TOKEN_GAP_S
        self._chosen: PlaceOnEngine | PlaceOnGroup | None = None
        self._served_at = -math.inf
        self._served_tokens = 0.0
        self._is_backlogged = False
        self.windows = EngineWindows(settings.limits)
        self.router = Router(settings.routing, random, self.windows.is_open)
        self.queue = FairQueue(settings.limits, settings.routing)
        self.admission = AdmissionController(settings.limits, 1.0)
        self.readiness = ModelReadiness()
        self.counters = {
            "placed": 0,
            "grouped": 0,
            "refused": 0,
            "expired": 0,
            "placed_on_other_version": 0,
            "refused_model": 0,
        }

    @property
    def in_flight(self) -> int:
        """Return the number of placed prompts that have not ended."""
        return len(self._placed)

    @property
    def group_count(self) -> int:
        """Return the number of prompts on groups of engines."""
        return len(self._groups)

    @property
    def engines(self) -> tuple[str, ...]:
        """Return the engines in reach."""
        return tuple(self._engines)

    def configure(self, settings: Settings, engines: dict[str, EngineUpstream]) -> None:
        """Take new settings; `engines` are those this node may use at all."""
        reach = settings.routing.engines_in_reach
        has_same_reach = reach == self._settings.routing.engines_in_reach
        self._settings = settings
        self.router.configure(settings.routing)
        self.windows.configure(settings.limits)
        self.queue.configure(settings.limits, settings.routing)
        if engines is not self._usable or not has_same_reach:
            self._usable = engines
            self._set_reach()
        self.admission.configure(settings.limits, self._served_rate())

    def _set_reach(self) -> None:
        names = select_engines_in_reach(
            self._node, self._usable, self._settings.routing
        )
        self._engines = {name: self._usable[name] for name in names[:MAX_CANDIDATES]}
        self.router.set_engines(
            {
                name: EngineCapacity(
                    engine.kv_capacity_tokens,
                    engine.prefill_tokens_per_s,
                    engine.decode_tokens_per_s,
                )
                for name, engine in self._engines.items()
            }
        )
        self.readiness.set_engines(tuple(self._engines))
        self.router.set_nodes(self._node, self._nodes)

    def set_nodes(self, nodes: tuple[str, ...]) -> None:
        """Take the live nodes that share the engines, this one included."""
        self._nodes = nodes
        self.router.set_nodes(self._node, nodes)
        self.admission.configure(self._settings.limits, self._served_rate())

    def _served_rate(self) -> float:
        """Return this node's part of the engines' prefill rate in tokens per second."""
        rates = [engine.prefill_tokens_per_s for engine in self._usable.values()]
        return sum(rates) / max(1, len(self._nodes))

    def set_ready_models(
        self, engine: str, models: dict[str, str] | None, asked_at: float
    ) -> None:
        """Record the versions of the models that an engine reports as ready."""
        self.readiness.record_report(engine, models, asked_at)

    def record_model_refusal(self, engine: str, model: str, now: float) -> None:
        """Record that an engine refused a model, until a later report."""
        self.counters["refused_model"] += 1
        self.readiness.record_refusal(engine, model, now)

    def submit(self, work: DispatchRequest, now: float) -> list[DispatchAction]:
        """Take a prompt and return what to do with it and with others."""
        needed_s = self._check(work, now)
        if isinstance(needed_s, RefusePrompt):
            self.counters["refused"] += 1
            return [needed_s]
        item = QueuedRequest(
            work.request_id,
            work.account,
            float(work.prompt_tokens),
            work.deadline,
            needed_s,
            now,
        )
        kind = self.queue.offer(item, work.weight, now)
        if kind is not None:
            self.counters["refused"] += 1
            wait = self.admission.queue_wait_s(self.queue.tokens)
            failure = Failure(kind, "the queue of this node is full", max(1.0, wait))
            return [RefusePrompt(work.request_id, failure)]
        self._work[work.request_id] = work
        known = self.router.prefixes.cached_tokens(work.prefix_hashes)
        uncached = max(0.0, work.prompt_tokens - max(known.values(), default=0.0))
        self.router.separation.arrived(work.prompt_tokens, uncached, now)
        return self.place_waiting(now)

    def cancel(self, request_id: str) -> None:
        """Forget a prompt that still waits and whose caller has gone."""
        work = self._work.pop(request_id, None)
        if work is not None:
            self.queue.remove(request_id, work.account)

    def record_first_token(self, request_id: str, engine: str, now: float) -> None:
        """Learn from the first token of a placed prompt."""
        if request_id not in self._groups:
            self.router.record_first_token(request_id, engine, now)

    def finish(
        self, request_id: str, tokens: int, decode_s: float, now: float
    ) -> list[DispatchAction]:
        """Record the end of a placed prompt and place others in its stead."""
        self._placed.pop(request_id, None)
        group = self._groups.pop(request_id, None)
        self.router.record_finished(request_id, now)
        for engine in group.engines if group is not None else ():
            self.router.record_finished(f"{request_id}/{engine}", now)
        if tokens > 1 and decode_s > 0:
            gap = decode_s / (tokens - 1)
            self._token_gap_s += _LEARNING_RATE * (gap - self._token_gap_s)
        return self.place_waiting(now)

    def record_failure(self, engine: str) -> None:
        """Record an attempt that failed because of its engine."""
        self.router.outliers.failed(engine)

    def record_move(self, request_id: str, engine: str, now: float) -> None:
        """Record that a later attempt of a prompt went to another engine."""
        work = self._placed.get(request_id)
        self.router.record_finished(request_id, now)
        if work is not None and engine in self._engines:
            self.router.loads.record_sent(
                request_id,
                engine,
                float(work.prompt_tokens),
                float(work.kv_tokens),
                0,
                0.0,
                now,
            )

    def tick(
        self, now: float
    ) -> tuple[list[DispatchAction], list[EngineEjected | EngineReturned]]:
        """Expire, place and learn; called a few times each second."""
        changes = self.router.tick(now)
        elapsed = now - self._served_at
        if elapsed < math.inf:
            self.admission.record_served(
                self._served_tokens, elapsed, self._is_backlogged
            )
        self._served_at, self._served_tokens = now, 0.0
        self._is_backlogged = len(self.queue) > 0
        actions: list[DispatchAction] = []
        for expired in self.queue.expire(now):
            self._work.pop(expired.request.request_id, None)
            self.counters["expired"] += 1
            failure = Failure(
                expired.kind, "no engine was free in time", _DEFAULT_RETRY_S
            )
            actions.append(RefusePrompt(expired.request.request_id, failure))
        return actions + self.place_waiting(now), changes

    def place_waiting(self, now: float) -> list[DispatchAction]:
        """Place waiting prompts as long as engines take them."""
        actions: list[DispatchAction] = []
        while True:
            item = self.queue.pop(now, lambda item: self._fits(item, now))
            if item is None or self._chosen is None:
                return actions
            work = self._work.pop(item.request_id)
            self._placed[item.request_id] = work
            self._served_tokens += item.tokens
            match self._chosen:
                case PlaceOnEngine(engine=engine, ttft_s=ttft, route_input=made):
                    self.counters["placed"] += 1
                    self.router.record_sent(made, engine, ttft, work.prefix_hashes, now)
                case PlaceOnGroup():
                    self.counters["grouped"] += 1
                    self._groups[item.request_id] = self._chosen
                    self._note_group(self._chosen, work, now)
            wanted = self._settings.models.get(work.model)
            version = self._chosen.version
            if version and wanted is not None:
                self.counters["placed_on_other_version"] += version != wanted.version
            actions.append(self._chosen)
            self._chosen = None

    def _note_group(
        self, group: PlaceOnGroup, work: DispatchRequest, now: float
    ) -> None:
        prefill = work.prompt_tokens / len(group.engines)
        for engine in group.engines:
            self.router.loads.record_sent(
                f"{group.request_id}/{engine}",
                engine,
                prefill,
                float(group.part_tokens),
                group.priority,
                group.ttft_s,
                now,
            )

    def _check(self, work: DispatchRequest, now: float) -> float | RefusePrompt:
        """Return the seconds an idle engine needs, or why the prompt is refused."""
        if len(self._placed) + len(self.queue) >= self._settings.requests.max_in_flight:
            message = "this node has too many requests in flight"
            failure = Failure(ErrorKind.OVERLOADED, message, _DEFAULT_RETRY_S)
            return RefusePrompt(work.request_id, failure)
        serving = [
            name
            for name, engine in self._engines.items()
            if work.model in engine.models
            and self.router.effective_state(name) not in ("leaving", "gone")
        ]
        if not serving:
            message = f"no engine in reach serves model {work.model!r}"
            return RefusePrompt(
                work.request_id,
                Failure(ErrorKind.NO_UPSTREAM, message, _DEFAULT_RETRY_S),
            )
        request = self.router.build_request(
            work.request_id, work.prompt_tokens, work.max_tokens, work.deadline - now
        )
        rooms = {name: self._engines[name].kv_capacity_tokens for name in serving}
        memory = self._settings.memory
        if self.router.needs_group(request) and not split_prompt(
            work.prompt_tokens, work.max_tokens, rooms, memory
        ):
            message = "the engines in reach have too little memory for this prompt"
            return RefusePrompt(
                work.request_id,
                Failure(ErrorKind.INSUFFICIENT_MEMORY, message, _DEFAULT_RETRY_S),
            )
        needed_s = self._needed_s(work, serving)
        before = self.queue.tokens_before(
            work.account, work.weight, float(work.prompt_tokens), now
        )
        made, outcome = self.admission.check(
            before, needed_s, work.deadline - now, work.request_id
        )
        if not outcome.is_admitted:
            return RefusePrompt(
                work.request_id, admission_failure(made, outcome), made, outcome
            )
        return needed_s

    def _needed_s(self, work: DispatchRequest, serving: list[str]) -> float:
        cached = self.router.prefixes.cached_tokens(work.prefix_hashes)
        prefill = min(
            max(1.0, work.prompt_tokens - cached.get(name, 0.0))
            / self.router.loads.prefill_rate(name)
            for name in serving
        )
        return prefill + work.max_tokens * self._token_gap_s

    def _candidates(
        self, work: DispatchRequest, request: RouteRequest, waited_s: float, now: float
    ) -> tuple[Candidate, ...]:
        """Return the engines that serve the model, with the roles that settings fix."""
        found = []
        for one in self.router.build_candidates(
            request, work.prefix_hashes, now, waited_s
        ):
            engine = self._engines[one.engine]
            if work.model not in engine.models:
                continue
            if not self.readiness.is_ready(one.engine, work.model):
                continue
            if engine.role != "general":
                one = msgspec.structs.replace(one, role=engine.role)
            found.append(one)
        return tuple(found)

    def _fits(self, item: QueuedRequest, now: float) -> bool:
        work = self._work[item.request_id]
        remaining = work.deadline - now
        request = self.router.build_request(
            work.request_id, work.prompt_tokens, work.max_tokens, remaining
        )
        waited = now - item.enqueued_at
        candidates = self._candidates(work, request, waited, now)
        if not candidates:
            return False
        if self.router.needs_group(request):
            return self._fits_group(work, request, candidates)
        policy = self._settings.routing
        made = RouteInput(request, candidates, policy, self._random.getrandbits(32))
        choice = choose_engine(request, candidates, policy, made.seed)
        if choice.engine is None:
            return False
        # An engine that is out of touch shows an old short queue, so its estimate alone
        # would put it before engines that answer. Before its report is stale, only the
        # failure domain tells which engines a partition leaves in reach.
        doubtful = {
            one.engine
            for one in choice.refused
            if one.reason in ("suspect", "stale_report")
        }
        version = self.readiness.served_version(choice.engine, work.model)
        others = sorted(
            (
                one.engine in doubtful,
                self._engines[one.engine].failure_domain != self._failure_domain,
                estimate_ttft(request, one),
                one.engine,
            )
            for one in candidates
            if one.engine != choice.engine
            and self.readiness.served_version(one.engine, work.model) == version
            and one.state in ("live", "suspect")
            and one.free_tokens >= work.kv_tokens
        )
        self._chosen = PlaceOnEngine(
            work.request_id,
            choice.engine,
            tuple(name for *_, name in others),
            request.priority,
            choice.ttft_s,
            made,
            choice,
            version,
        )
        return True

    def _fits_group(
        self,
        work: DispatchRequest,
        request: RouteRequest,
        candidates: tuple[Candidate, ...],
    ) -> bool:
        memory = self._settings.memory
        if len(self._groups) >= memory.max_groups:
            return False
        by_version: dict[str, list[Candidate]] = {}
        for one in candidates:
            version = self.readiness.served_version(one.engine, work.model)
            by_version.setdefault(version, []).append(one)
        # All parts of a prompt need the same version of the model.
        for version, same in by_version.items():
            engines = choose_engine_group(
                request, tuple(same), memory.min_group_engines
            )
            if not engines:
                continue
            rate = min(one.prefill_tokens_per_s for one in same)
            part = -(-work.prompt_tokens // len(engines)) + work.max_tokens
            ttft = work.prompt_tokens / rate
            self._chosen = PlaceOnGroup(
                work.request_id, engines, part, request.priority, ttft, version
            )
            return True
        return False
