"""Placement of one node's prompts: each is refused, queued or sent to engines."""

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
from dandelionpond.membership.upstream_marks import UpstreamMarks, longest_wait_s
from dandelionpond.memory.groups import split_prompt
from dandelionpond.routing.choice import (
    MAX_CANDIDATES,
    Candidate,
    RouteRequest,
    choose_engine,
    choose_engine_group,
    predict,
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
from dandelionpond.routing.preview import PlacementPreview, Rule, preview_choice
from dandelionpond.routing.reach import select_engines_in_reach
from dandelionpond.routing.readiness import ModelReadiness
from dandelionpond.routing.router import RouteInput, Router

# Assumed time between two tokens of a stream until the first stream has ended.
_INITIAL_TOKEN_GAP_S = 0.02
_TOKEN_GAP_LEARNING_RATE = 0.05
# Retry-After when the wait cannot be estimated from the progress of the queue.
_DEFAULT_RETRY_S = 1.0


class Dispatcher:
    """The queue of a node's prompts and their placement on engines.

    It holds the routing state and the readiness of the engines in reach, whose number
    is bounded by the setting `engines_in_reach`. Times are monotonic seconds.
    """

    def __init__(
        self,
        node: str,
        settings: Settings,
        random: Random,
        failure_domain: str = "",
        marks: UpstreamMarks | None = None,
    ) -> None:
        self._node = node
        self._failure_domain = failure_domain
        self._settings = settings
        self._marks = marks or UpstreamMarks()
        self._random = random
        self._waiting: dict[str, DispatchRequest] = {}
        self._placed: dict[str, DispatchRequest] = {}
        self._groups: dict[str, PlaceOnGroup] = {}
        self._permitted_engines: dict[str, EngineUpstream] = {}
        self._engines: dict[str, EngineUpstream] = {}
        self._nodes: tuple[str, ...] = (node,)
        self._token_gap_s = _INITIAL_TOKEN_GAP_S
        self._pending_placement: PlaceOnEngine | PlaceOnGroup | None = None
        self._served_since = -math.inf
        self._served_tokens = 0.0
        self._was_backlogged = False
        self.windows = EngineWindows(settings.limits)
        self.router = Router(
            settings.routing, random, self.windows.is_open, self._marks
        )
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
            "refused_paused": 0,
        }

    @property
    def in_flight(self) -> int:
        """Return the number of placed prompts that have not ended."""
        return len(self._placed)

    @property
    def group_count(self) -> int:
        """Return the number of prompts placed on groups of engines."""
        return len(self._groups)

    @property
    def engines(self) -> tuple[str, ...]:
        """Return the engines in reach."""
        return tuple(self._engines)

    def configure(self, settings: Settings, engines: dict[str, EngineUpstream]) -> None:
        """Apply new settings; `engines` are all engines that this node may use."""
        reach = settings.routing.engines_in_reach
        has_same_reach = reach == self._settings.routing.engines_in_reach
        self._settings = settings
        self.router.configure(settings.routing)
        self.windows.configure(settings.limits)
        self.queue.configure(settings.limits, settings.routing)
        if engines is not self._permitted_engines or not has_same_reach:
            self._permitted_engines = engines
            self._update_engines()
        self.admission.configure(settings.limits, self._node_prefill_rate())

    def _update_engines(self) -> None:
        names = select_engines_in_reach(
            self._node, self._permitted_engines, self._settings.routing
        )
        self._engines = {
            name: self._permitted_engines[name] for name in names[:MAX_CANDIDATES]
        }
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
        """Set the live nodes that share the engines, including this one."""
        self._nodes = nodes
        self.router.set_nodes(self._node, nodes)
        self.admission.configure(self._settings.limits, self._node_prefill_rate())

    def _node_prefill_rate(self) -> float:
        """Return this node's share of the total prefill rate in tokens per second."""
        rates = [
            engine.prefill_tokens_per_s for engine in self._permitted_engines.values()
        ]
        return sum(rates) / max(1, len(self._nodes))

    def set_ready_models(
        self, engine: str, models: dict[str, str] | None, asked_at: float
    ) -> None:
        """Record the models that an engine reports as ready, with their versions."""
        self.readiness.record_report(engine, models, asked_at)

    def record_model_refusal(self, engine: str, model: str, now: float) -> None:
        """Record that an engine refused a model; a later report clears it."""
        self.counters["refused_model"] += 1
        self.readiness.record_refusal(engine, model, now)

    def submit(self, prompt: DispatchRequest, now: float) -> list[DispatchAction]:
        """Admit and queue a prompt; return the actions for it and other prompts."""
        needed_s = self._check_admission(prompt, now)
        if isinstance(needed_s, RefusePrompt):
            self.counters["refused"] += 1
            return [needed_s]
        item = QueuedRequest(
            prompt.request_id,
            prompt.account,
            float(prompt.prompt_tokens),
            prompt.deadline,
            needed_s,
            now,
        )
        kind = self.queue.offer(item, prompt.weight, now)
        if kind is not None:
            self.counters["refused"] += 1
            wait = self.admission.queue_wait_s(self.queue.tokens)
            failure = Failure(kind, "the queue of this node is full", max(1.0, wait))
            return [RefusePrompt(prompt.request_id, failure)]
        self._waiting[prompt.request_id] = prompt
        cached = self.router.prefixes.cached_tokens(prompt.prefix_hashes, now)
        uncached = max(0.0, prompt.prompt_tokens - max(cached.values(), default=0.0))
        self.router.role_assigner.record_demand(prompt.prompt_tokens, uncached, now)
        return self.place_waiting(now)

    def cancel(self, request_id: str) -> None:
        """Remove a queued prompt whose caller has disconnected."""
        prompt = self._waiting.pop(request_id, None)
        if prompt is not None:
            self.queue.remove(request_id, prompt.account)

    def record_first_token(self, request_id: str, engine: str, now: float) -> None:
        """Record the first token of a placed prompt."""
        if request_id not in self._groups:
            self.router.record_first_token(request_id, engine, now)

    def finish(
        self, request_id: str, tokens: int, decode_s: float, now: float
    ) -> list[DispatchAction]:
        """Record the end of a placed prompt and place waiting prompts."""
        self._placed.pop(request_id, None)
        group = self._groups.pop(request_id, None)
        self.router.record_finished(request_id, now)
        for engine in group.engines if group is not None else ():
            self.router.record_finished(f"{request_id}/{engine}", now)
        if tokens > 1 and decode_s > 0:
            gap_s = decode_s / (tokens - 1)
            self._token_gap_s += _TOKEN_GAP_LEARNING_RATE * (gap_s - self._token_gap_s)
        return self.place_waiting(now)

    def record_failure(self, engine: str) -> None:
        """Record an attempt that failed because of its engine."""
        self.router.outliers.record_failure(engine)

    def record_move(self, request_id: str, engine: str, now: float) -> None:
        """Record that a later attempt of a prompt went to another engine."""
        prompt = self._placed.get(request_id)
        if prompt is not None and engine in self._engines:
            self.router.record_move(
                request_id,
                engine,
                prompt.prompt_tokens,
                prompt.kv_tokens,
                prompt.prefix_hashes,
                now,
            )
        else:
            self.router.record_finished(request_id, now)

    def tick(
        self, now: float
    ) -> tuple[list[DispatchAction], list[EngineEjected | EngineReturned]]:
        """Expire and place prompts and update the estimates, several times a second."""
        changes = self.router.tick(now)
        elapsed = now - self._served_since
        if elapsed < math.inf:
            self.admission.record_served(
                self._served_tokens, elapsed, self._was_backlogged
            )
        self._served_since, self._served_tokens = now, 0.0
        self._was_backlogged = len(self.queue) > 0
        actions: list[DispatchAction] = []
        for expired in self.queue.expire(now):
            self._waiting.pop(expired.request.request_id, None)
            self.counters["expired"] += 1
            failure = Failure(
                expired.kind, "no engine was free in time", _DEFAULT_RETRY_S
            )
            actions.append(RefusePrompt(expired.request.request_id, failure))
        actions += self._refuse_paused(now)
        return actions + self.place_waiting(now), changes

    def place_waiting(self, now: float) -> list[DispatchAction]:
        """Place waiting prompts while engines have capacity for them."""
        actions: list[DispatchAction] = []
        while True:
            item = self.queue.pop(now, lambda item: self._try_place(item, now))
            if item is None or self._pending_placement is None:
                return actions
            prompt = self._waiting.pop(item.request_id)
            self._placed[item.request_id] = prompt
            self._served_tokens += item.tokens
            match self._pending_placement:
                case PlaceOnEngine(
                    engine=engine,
                    ttft_s=ttft_s,
                    route_input=route_input,
                    choice=choice,
                ):
                    self.counters["placed"] += 1
                    self._marks.record_request(engine, now)
                    self.router.count_choice(route_input, choice)
                    self.router.record_sent(
                        route_input, engine, ttft_s, prompt.prefix_hashes, now
                    )
                case PlaceOnGroup():
                    self.counters["grouped"] += 1
                    self._groups[item.request_id] = self._pending_placement
                    self._record_group_sent(self._pending_placement, prompt, now)
            configured = self._settings.models.get(prompt.model)
            version = self._pending_placement.version
            if version and configured is not None:
                self.counters["placed_on_other_version"] += (
                    version != configured.version
                )
            actions.append(self._pending_placement)
            self._pending_placement = None

    def _record_group_sent(
        self, group: PlaceOnGroup, prompt: DispatchRequest, now: float
    ) -> None:
        prefill_tokens = prompt.prompt_tokens / len(group.engines)
        for engine in group.engines:
            self._marks.record_request(engine, now)
            self.router.loads.record_sent(
                f"{group.request_id}/{engine}",
                engine,
                prefill_tokens,
                float(group.part_tokens),
                group.priority,
                group.ttft_s,
                now,
            )

    def _check_admission(
        self, prompt: DispatchRequest, now: float
    ) -> float | RefusePrompt:
        """Return the seconds an idle engine needs, or the refusal of the prompt."""
        if len(self._placed) + len(self.queue) >= self._settings.requests.max_in_flight:
            message = "this node has too many requests in flight"
            failure = Failure(ErrorKind.OVERLOADED, message, _DEFAULT_RETRY_S)
            return RefusePrompt(prompt.request_id, failure)
        serving = self._serving_engines(prompt.model, now)
        if not serving:
            message = f"no engine in reach serves model {prompt.model!r}"
            return RefusePrompt(
                prompt.request_id,
                Failure(ErrorKind.NO_UPSTREAM, message, _DEFAULT_RETRY_S),
            )
        paused = self._paused_failure(
            prompt, self._marks.pause_left_s(serving, now), now
        )
        if paused is not None:
            return paused
        request = self.router.build_request(
            prompt.request_id,
            prompt.prompt_tokens,
            prompt.max_tokens,
            prompt.deadline - now,
        )
        capacities = {name: self._engines[name].kv_capacity_tokens for name in serving}
        memory = self._settings.memory
        if self.router.needs_group(request) and not split_prompt(
            prompt.prompt_tokens, prompt.max_tokens, capacities, memory
        ):
            message = "the engines in reach have too little memory for this prompt"
            return RefusePrompt(
                prompt.request_id,
                Failure(ErrorKind.INSUFFICIENT_MEMORY, message, _DEFAULT_RETRY_S),
            )
        needed_s = self._estimate_needed_s(prompt, serving, now)
        tokens_before = self.queue.tokens_before(
            prompt.account, prompt.weight, float(prompt.prompt_tokens), now
        )
        admission_input, outcome = self.admission.check(
            tokens_before, needed_s, prompt.deadline - now, prompt.request_id
        )
        if not outcome.is_admitted:
            return RefusePrompt(
                prompt.request_id,
                admission_failure(admission_input, outcome),
                admission_input,
                outcome,
            )
        return needed_s

    def _serving_engines(self, model: str, now: float) -> tuple[str, ...]:
        """Return the engines in reach that serve a model and are not leaving."""
        return tuple(
            name
            for name, engine in self._engines.items()
            if model in engine.models
            and self.router.effective_state(name) not in ("leaving", "gone")
            and not self._marks.is_leaving(name, now)
        )

    def pause_left_s(self, model: str, now: float) -> float | None:
        """Return in how many seconds an engine for a model wants requests again.

        It is None if one does now, or if there is none.
        """
        return self._marks.pause_left_s(self._serving_engines(model, now), now)

    def _paused_failure(
        self, prompt: DispatchRequest, pause_s: float | None, now: float
    ) -> RefusePrompt | None:
        """Return the refusal of a prompt that does not wait for the end of a pause."""
        if pause_s is None or pause_s <= longest_wait_s(prompt.deadline - now):
            return None
        self.counters["refused_paused"] += 1
        message = f"all engines for model {prompt.model!r} want no requests for a time"
        failure = Failure(ErrorKind.NO_UPSTREAM, message, pause_s)
        return RefusePrompt(prompt.request_id, failure)

    def _refuse_paused(self, now: float) -> list[DispatchAction]:
        """Refuse the waiting prompts whose engines are all paused for too long."""
        if not self._marks.has_marks:
            return []
        models = {prompt.model for prompt in self._waiting.values()}
        pauses = {
            model: pause_s
            for model in models
            if (pause_s := self.pause_left_s(model, now)) is not None
        }
        actions: list[DispatchAction] = []
        if not pauses:
            return actions
        for prompt in list(self._waiting.values()):
            refusal = self._paused_failure(prompt, pauses.get(prompt.model), now)
            if refusal is not None:
                self.cancel(prompt.request_id)
                actions.append(refusal)
        return actions

    def _estimate_needed_s(
        self, prompt: DispatchRequest, serving: tuple[str, ...], now: float
    ) -> float:
        cached = self.router.prefixes.cached_tokens(prompt.prefix_hashes, now)
        prefill_s = min(
            max(1.0, prompt.prompt_tokens - cached.get(name, 0.0))
            / self.router.loads.prefill_rate(name)
            for name in serving
        )
        return prefill_s + prompt.max_tokens * self._token_gap_s

    def _serving_candidates(
        self,
        prompt: DispatchRequest,
        request: RouteRequest,
        waited_s: float,
        now: float,
    ) -> tuple[Candidate, ...]:
        """Return the engines that are ready to serve the model.

        A role in the settings of an engine replaces the role that the router assigned.
        """
        serving_candidates = []
        for candidate in self.router.build_candidates(
            request, prompt.prefix_hashes, now, waited_s
        ):
            engine = self._engines[candidate.engine]
            if prompt.model not in engine.models:
                continue
            if not self.readiness.is_ready(candidate.engine, prompt.model):
                continue
            if engine.role != "general":
                candidate = msgspec.structs.replace(candidate, role=engine.role)
            serving_candidates.append(candidate)
        return tuple(serving_candidates)

    def _try_place(self, item: QueuedRequest, now: float) -> bool:
        prompt = self._waiting[item.request_id]
        remaining_s = prompt.deadline - now
        request = self.router.build_request(
            prompt.request_id, prompt.prompt_tokens, prompt.max_tokens, remaining_s
        )
        waited_s = now - item.enqueued_at
        candidates = self._serving_candidates(prompt, request, waited_s, now)
        if not candidates:
            return False
        if self.router.needs_group(request):
            return self._try_place_group(prompt, request, candidates)
        policy = self._settings.routing
        route_input = RouteInput(
            request, candidates, policy, self._random.getrandbits(32)
        )
        choice = choose_engine(request, candidates, policy, route_input.seed)
        if choice.engine is None:
            return False
        # The last report of an unreachable engine may show a short queue, and the
        # estimate alone would rank it before engines that respond. Until the report is
        # stale, only the failure domain indicates which engines a partition cuts off.
        last_resort = {
            candidate.engine
            for candidate in choice.refused
            if candidate.reason in ("suspect", "stale_report")
        }
        version = self.readiness.served_version(choice.engine, prompt.model)
        fallbacks = sorted(
            (
                candidate.engine in last_resort,
                self._engines[candidate.engine].failure_domain != self._failure_domain,
                predict(request, candidate, policy).ttft_s,
                candidate.engine,
            )
            for candidate in candidates
            if candidate.engine != choice.engine
            and self.readiness.served_version(candidate.engine, prompt.model) == version
            and candidate.state in ("live", "suspect")
            and candidate.free_tokens >= prompt.kv_tokens
        )
        self._pending_placement = PlaceOnEngine(
            prompt.request_id,
            choice.engine,
            tuple(name for *_, name in fallbacks),
            request.priority,
            choice.ttft_s,
            route_input,
            choice,
            version,
        )
        return True

    def preview(self, prompt: DispatchRequest, now: float) -> PlacementPreview:
        """Return where a prompt would go now; nothing is counted or changed."""
        request = self.router.build_request(
            prompt.request_id,
            prompt.prompt_tokens,
            prompt.max_tokens,
            prompt.deadline - now,
        )
        held_back = self.windows.held_back
        candidates = self._serving_candidates(prompt, request, 0.0, now)
        self.windows.held_back = held_back
        group = None
        if self.router.needs_group(request):
            group = self._choose_group(prompt, request, candidates)[0]
        serving = {candidate.engine for candidate in candidates}
        absent: dict[str, Rule] = {
            name: "model_not_ready"
            if prompt.model in engine.models
            else "model_not_served"
            for name, engine in self._engines.items()
            if name not in serving
        }
        return preview_choice(
            request, candidates, absent, group, self._settings.routing
        )

    def _choose_group(
        self,
        prompt: DispatchRequest,
        request: RouteRequest,
        candidates: tuple[Candidate, ...],
    ) -> tuple[tuple[str, ...], str]:
        """Return the engines of a group, or none, and the version that they serve."""
        memory = self._settings.memory
        if len(self._groups) >= memory.max_groups:
            return (), ""
        by_version: dict[str, list[Candidate]] = {}
        for candidate in candidates:
            version = self.readiness.served_version(candidate.engine, prompt.model)
            by_version.setdefault(version, []).append(candidate)
        # All engines of a group must serve the same version of the model.
        for version, same_version in by_version.items():
            engines = choose_engine_group(
                request, tuple(same_version), memory.min_group_engines
            )
            if engines:
                return engines, version
        return (), ""

    def _try_place_group(
        self,
        prompt: DispatchRequest,
        request: RouteRequest,
        candidates: tuple[Candidate, ...],
    ) -> bool:
        engines, version = self._choose_group(prompt, request, candidates)
        if not engines:
            return False
        rate = min(
            candidate.prefill_tokens_per_s
            for candidate in candidates
            if self.readiness.served_version(candidate.engine, prompt.model) == version
        )
        part_tokens = -(-prompt.prompt_tokens // len(engines)) + prompt.max_tokens
        self._pending_placement = PlaceOnGroup(
            prompt.request_id,
            engines,
            part_tokens,
            request.priority,
            prompt.prompt_tokens / rate,
            version,
        )
        return True
