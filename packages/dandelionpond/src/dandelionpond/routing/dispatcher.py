"""Decide for each prompt of one node: refuse it, let it wait, or place it."""

import msgspec
from expression import Error, Result

from dandelionpond.config.schema import EngineUpstream, Settings
from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.limits.admission import Admission, EngineWindows
from dandelionpond.limits.queue import FairQueue, Queued
from dandelionpond.routing.choice import (
    MAX_CANDIDATES,
    Candidate,
    RouteChoice,
    RouteRequest,
    State,
    choose,
    choose_group,
    estimate_ttft,
)
from dandelionpond.routing.load import EngineTraits, LoadBook
from dandelionpond.routing.outliers import Ejected, Outliers, Returned
from dandelionpond.routing.prefixes import PrefixMap
from dandelionpond.routing.reach import engines_in_reach
from dandelionpond.routing.separation import Separation, priority

# Time between two tokens of a stream in seconds, before any stream was seen.
_FIRST_TOKEN_GAP_S = 0.02
_LEARNING_RATE = 0.05
# A queue that does not move tells nothing about the time until it does.
_DEFAULT_RETRY_S = 1.0


class Work(msgspec.Struct, frozen=True):
    """Describe one admitted prompt; `deadline` is in monotonic seconds."""

    request_id: str
    account: str
    weight: float
    model: str
    prompt_tokens: int
    max_tokens: int
    deadline: float
    prefix_hashes: tuple[int, ...] = ()

    @property
    def kv_tokens(self) -> int:
        """Return the engine memory taken at the end, in tokens."""
        return self.prompt_tokens + self.max_tokens


class Place(msgspec.Struct, frozen=True, tag=True):
    """Send a prompt to an engine; `others` are its replacements, best first."""

    request_id: str
    engine: str
    others: tuple[str, ...]
    priority: int
    ttft_s: float
    request: RouteRequest
    candidates: tuple[Candidate, ...]
    seed: int
    choice: RouteChoice


class PlaceGroup(msgspec.Struct, frozen=True, tag=True):
    """Reserve `part_tokens` of memory on each engine and send the prompt."""

    request_id: str
    engines: tuple[str, ...]
    part_tokens: int
    priority: int
    ttft_s: float


class Refuse(msgspec.Struct, frozen=True, tag=True):
    """Answer a failure; nothing was sent."""

    request_id: str
    failure: Failure


DispatchAction = Place | PlaceGroup | Refuse


class Dispatcher:
    """Own the waiting prompts of a node and what it knows of engines.

    `names` in reach are bounded by `engines_in_reach`. Times are monotonic seconds.
    """

    def __init__(
        self,
        node: str,
        settings: Settings,
        seed: int,
        now: float,
        failure_domain: str = "",
    ) -> None:
        self._node = node
        self._failure_domain = failure_domain
        self._settings = settings
        self._seed = seed
        self._states: dict[str, State] = {}
        self._work: dict[str, Work] = {}
        self._placed: dict[str, Work] = {}
        self._groups: set[str] = set()
        self._engines: dict[str, EngineUpstream] = {}
        self._token_gap_s = _FIRST_TOKEN_GAP_S
        self._chosen: Place | PlaceGroup | None = None
        self._served_at = now
        self._served_tokens = 0.0
        self._backlogged = False
        self.loads = LoadBook(settings.routing)
        self.outliers = Outliers(settings.routing)
        self.prefixes = PrefixMap(settings.routing)
        self.separation = Separation(settings.routing)
        self.windows = EngineWindows(settings.limits)
        self.queue = FairQueue(settings.limits, settings.routing)
        self.admission = Admission(settings.limits, 1.0)
        self.counters = {"placed": 0, "grouped": 0, "refused": 0, "expired": 0}

    @property
    def in_flight(self) -> int:
        """Return the number of placed prompts that have not ended."""
        return len(self._placed)

    @property
    def groups(self) -> int:
        """Return the number of prompts on groups of engines."""
        return len(self._groups)

    @property
    def engines(self) -> tuple[str, ...]:
        """Return the engines in reach."""
        return tuple(self._engines)

    def configure(
        self, settings: Settings, engines: dict[str, EngineUpstream], now: float
    ) -> None:
        """Take new settings; `engines` are those this node may use at all."""
        self._settings = settings
        names = engines_in_reach(self._node, engines, settings.routing)
        self._engines = {name: engines[name] for name in names[:MAX_CANDIDATES]}
        self.loads.set_reach(
            {
                name: EngineTraits(
                    engine.kv_capacity_tokens,
                    engine.prefill_tokens_per_s,
                    engine.decode_tokens_per_s,
                )
                for name, engine in self._engines.items()
            }
        )
        self.outliers.set_reach(tuple(self._engines))
        self.loads.configure(settings.routing)
        self.outliers.configure(settings.routing)
        self.prefixes.configure(settings.routing)
        self.separation.configure(settings.routing)
        self.windows.configure(settings.limits)
        self.queue.configure(settings.limits, settings.routing)
        rate = sum(engine.prefill_tokens_per_s for engine in self._engines.values())
        self.admission.configure(settings.limits, rate)

    def set_state(self, engine: str, state: State) -> None:
        """Record the state that membership gives an engine."""
        self._states[engine] = state

    def arrive(self, work: Work, now: float) -> list[DispatchAction]:
        """Take a prompt and return what to do with it and with others."""
        checked = self._check(work, now)
        if checked.is_error():
            self.counters["refused"] += 1
            return [Refuse(work.request_id, checked.error)]
        needed_s = checked.ok
        item = Queued(
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
            return [Refuse(work.request_id, failure)]
        self._work[work.request_id] = work
        cached = max(
            self.prefixes.cached_tokens(work.prefix_hashes).values(), default=0
        )
        uncached = max(0.0, work.prompt_tokens - cached)
        self.separation.arrived(work.prompt_tokens, uncached, now)
        return self.pump(now)

    def cancelled(self, request_id: str) -> None:
        """Forget a prompt that still waits and whose caller has gone."""
        work = self._work.pop(request_id, None)
        if work is not None:
            self.queue.remove(request_id, work.account)

    def first_token(self, request_id: str, engine: str, now: float) -> None:
        """Learn from the first token of a placed prompt."""
        idle = self.loads.outstanding_tokens(engine) <= 0 if self._in(engine) else False
        ratio = self.loads.first_token(request_id, now)
        self.outliers.succeeded(engine, ratio, reported_idle=idle)

    def finished(
        self, request_id: str, tokens: int, decode_s: float, now: float
    ) -> list[DispatchAction]:
        """Record the end of a placed prompt and place others in its stead."""
        work = self._placed.pop(request_id, None)
        self._groups.discard(request_id)
        self.loads.finished(request_id, now)
        if work is not None and tokens > 1 and decode_s > 0:
            gap = decode_s / (tokens - 1)
            self._token_gap_s += _LEARNING_RATE * (gap - self._token_gap_s)
        return self.pump(now)

    def failed(self, engine: str) -> None:
        """Record an attempt that failed because of its engine."""
        self.outliers.failed(engine)

    def moved(self, request_id: str, engine: str, now: float) -> None:
        """Record that a later attempt of a prompt went to another engine."""
        work = self._placed.get(request_id)
        self.loads.finished(request_id, now)
        if work is not None and self._in(engine):
            self._note_sent(work, engine, 0, 0.0, now)

    def tick(self, now: float) -> tuple[list[DispatchAction], list[Ejected | Returned]]:
        """Expire, place and learn; called a few times each second."""
        changes = self.outliers.tick(now)
        self.separation.tick(len(self._engines), now)
        elapsed = now - self._served_at
        self.admission.served(self._served_tokens, elapsed, self._backlogged)
        self._served_at, self._served_tokens = now, 0.0
        self._backlogged = len(self.queue) > 0
        actions: list[DispatchAction] = []
        for expired in self.queue.expire(now):
            self._work.pop(expired.item.request_id, None)
            self.counters["expired"] += 1
            failure = Failure(
                expired.kind, "no engine was free in time", _DEFAULT_RETRY_S
            )
            actions.append(Refuse(expired.item.request_id, failure))
        return actions + self.pump(now), changes

    def pump(self, now: float) -> list[DispatchAction]:
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
                case Place(engine=engine, priority=level, ttft_s=ttft):
                    self.counters["placed"] += 1
                    self._note_sent(work, engine, level, ttft, now)
                case PlaceGroup(engines=engines, priority=level, ttft_s=ttft):
                    self.counters["grouped"] += 1
                    self._groups.add(item.request_id)
                    self._note_sent(work, engines[0], level, ttft, now)
            actions.append(self._chosen)
            self._chosen = None

    def _in(self, engine: str) -> bool:
        return engine in self._engines

    def _note_sent(
        self, work: Work, engine: str, level: int, ttft_s: float, now: float
    ) -> None:
        cached = self.prefixes.cached_tokens(work.prefix_hashes).get(engine, 0.0)
        self.loads.sent(
            work.request_id,
            engine,
            max(0.0, work.prompt_tokens - cached),
            float(work.kv_tokens),
            level,
            ttft_s,
            now,
        )
        self.prefixes.sent(engine, work.prefix_hashes)

    def _check(self, work: Work, now: float) -> Result[float, Failure]:
        """Return the seconds an idle engine needs, or why the prompt is refused."""
        if len(self._placed) + len(self.queue) >= self._settings.requests.max_in_flight:
            message = "this node has too many requests in flight"
            failure = Failure(ErrorKind.OVERLOADED, message, _DEFAULT_RETRY_S)
            return Error(failure)
        serving = [
            name
            for name, engine in self._engines.items()
            if work.model in engine.models
            and self._state(name) not in ("leaving", "gone")
        ]
        if not serving:
            message = f"no engine in reach serves model {work.model!r}"
            return Error(Failure(ErrorKind.NO_UPSTREAM, message, _DEFAULT_RETRY_S))
        largest = max(self._engines[name].kv_capacity_tokens for name in serving)
        total = sum(self._engines[name].kv_capacity_tokens for name in serving)
        if work.kv_tokens > largest and work.kv_tokens > total:
            message = "the engines in reach have too little memory for this prompt"
            return Error(
                Failure(ErrorKind.INSUFFICIENT_MEMORY, message, _DEFAULT_RETRY_S)
            )
        needed_s = self._needed_s(work, serving)
        before = self.queue.tokens_before(
            work.account, work.weight, float(work.prompt_tokens)
        )
        checked = self.admission.check(before, needed_s, work.deadline - now)
        return checked.map(lambda _: needed_s)

    def _needed_s(self, work: Work, serving: list[str]) -> float:
        cached = self.prefixes.cached_tokens(work.prefix_hashes)
        prefill = min(
            max(1.0, work.prompt_tokens - cached.get(name, 0.0))
            / self.loads.prefill_rate(name)
            for name in serving
        )
        return prefill + work.max_tokens * self._token_gap_s

    def _state(self, engine: str) -> State:
        if engine in self.outliers.ejected:
            return "ejected"
        return self._states.get(engine, "live")

    def _candidates(
        self, work: Work, request: RouteRequest, now: float
    ) -> tuple[Candidate, ...]:
        cached = self.prefixes.cached_tokens(work.prefix_hashes)
        roles = self.separation.roles(tuple(self._engines))
        is_long = work.prompt_tokens > self._settings.routing.long_prompt_tokens
        found = []
        for name, engine in self._engines.items():
            if work.model not in engine.models:
                continue
            role = roles[name] if engine.role == "general" else engine.role
            queued = self.loads.queue_tokens(name, request.priority, now)
            rate = self.loads.prefill_rate(name)
            capacity = engine.kv_capacity_tokens
            free = self.loads.free_tokens(name, now)
            if is_long:
                allowed = self.separation.long_memory_tokens(capacity, role)
                free = min(free, allowed - self.loads.long_tokens(name))
            found.append(
                Candidate(
                    name,
                    queued,
                    free,
                    capacity,
                    rate,
                    cached.get(name, 0.0),
                    self.loads.correction(name),
                    min(1e9, self.loads.age_s(name, now)),
                    self.outliers.start_share(name, now),
                    self._state(name),
                    role,
                    self.windows.is_open(queued, rate),
                )
            )
        return tuple(found)

    def _fits(self, item: Queued, now: float) -> bool:
        work = self._work[item.request_id]
        policy = self._settings.routing
        level = priority(work.prompt_tokens, work.deadline - now, item.needed_s, policy)
        request = RouteRequest(
            work.request_id,
            work.prompt_tokens,
            work.max_tokens,
            work.deadline - now,
            level,
        )
        candidates = self._candidates(work, request, now)
        if all(work.kv_tokens > one.capacity_tokens for one in candidates):
            return self._fits_group(work, request, candidates)
        self._seed += 1
        choice = choose(request, candidates, policy, self._seed)
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
        others = sorted(
            (
                one.engine in doubtful,
                self._engines[one.engine].failure_domain != self._failure_domain,
                estimate_ttft(request, one),
                one.engine,
            )
            for one in candidates
            if one.engine != choice.engine
            and one.state in ("live", "suspect")
            and one.free_tokens >= work.kv_tokens
        )
        self._chosen = Place(
            work.request_id,
            choice.engine,
            tuple(name for *_, name in others),
            level,
            choice.ttft_s,
            request,
            candidates,
            self._seed,
            choice,
        )
        return True

    def _fits_group(
        self, work: Work, request: RouteRequest, candidates: tuple[Candidate, ...]
    ) -> bool:
        memory = self._settings.memory
        if len(self._groups) >= memory.max_groups:
            return False
        engines = choose_group(request, candidates, memory.min_group_engines)
        if not engines:
            return False
        rate = min(one.prefill_tokens_per_s for one in candidates)
        part = -(-work.kv_tokens // len(engines))
        ttft = work.prompt_tokens / rate
        self._chosen = PlaceGroup(
            work.request_id, engines, part, request.priority, ttft
        )
        return True
