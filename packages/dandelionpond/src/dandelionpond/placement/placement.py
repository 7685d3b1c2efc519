"""Choose the engines for a prompt and the worker for a plain call.

Costs are in the unit of `Prompt.value`: the loss if the response to a prompt is late.
The cost of an engine consists of the prompt's expected time to first event there and of
the pauses that its prefill causes in streams that the engine is generating. Short
prompts fill the engines from one end of an order that all nodes share, and long prompts
from the other end, so that decoding and long prefills share as few engines as demand
allows.
"""

from collections.abc import Callable, Sequence
from random import Random

import msgspec

from dandelionpond.memory.groups import split_prompt
from dandelionpond.memory.messages import PromptPart
from dandelionpond.memory.settings import MemorySettings
from dandelionpond.placement.engine_time import decode_pass_s, prefill_s
from dandelionpond.placement.jobs import Load, Stream
from dandelionpond.published.messages import EngineCostModel

# Shares of a target between which the probability of missing it rises from 0 to 1.
RISK_START_SHARE = 0.55
RISK_FULL_SHARE = 1.1
# Numbers of parts into which a prompt may be split. Engines accept 16 helper entries;
# one of them may be needed for memory that is reserved on the main engine itself.
PART_COUNTS = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 16)
# Clients of streams disconnect after a pause of this many times its target, but not
# before the minimum in seconds.
CLIENT_TIMEOUT_FACTOR = 8.0
# For the first event, clients wait this many times its target, or as long as for later
# events.
FIRST_EVENT_TIMEOUT_FACTOR = 4.0
MIN_CLIENT_TIMEOUT_S = 2.0
# Share of its value that a late response keeps.
LATE_VALUE_SHARE = 0.25
# Cost per second until the first event. It makes the faster of two placements win if
# both meet the target.
DELAY_COST_PER_S = 0.1
# Cost of each helper, since the failure of any engine delays the whole prompt.
HELPER_COST = 0.03
# Cost per second that an engine waits for the other engines of the same prompt.
ENGINE_WAIT_COST_PER_S = 4.0
# Prefill time in seconds above which a prompt counts as long.
LONG_PREFILL_S = 0.12
# Prompt length in tokens at which the value is twice that of an empty prompt.
VALUE_DOUBLING_TOKENS = 8_000.0
# Share of an engine's memory that placement uses; response lengths are estimates.
USABLE_MEMORY_SHARE = 0.97
# Cost, as a share of the prompt's value, of taking an engine's last free slot, its last
# but one, and so on: other nodes may send there before they hear of this request.
LAST_SLOT_COST_SHARES = (0.05, 0.01)
# Cost for a short prompt of using an engine without requests; it decreases with the
# number of requests. Short prompts thus share engines and leave others free for long
# prompts, whose prefill then delays no stream.
UNUSED_ENGINE_COST = 0.2
# Difference in cost up to which a short prompt's engine is chosen by the node's own
# order. Nodes that place prompts before they hear of each other's thus choose different
# engines.
NEAR_COST = 0.08
# Cost of using an engine whose load is known with a delay. It exceeds the cost of an
# engine without requests, so such engines are used when the others are full.
DELAYED_LOAD_COST = 0.25
# Time in seconds that an engine in another failure domain adds to the first event.
REMOTE_DELAY_S = 0.002


class Prompt(msgspec.Struct, frozen=True):
    """The requirements of a prompt; times are in seconds.

    `target_s` is the remaining time until the first event is late. `gap_target_s` is
    the longest pause between two events that is in time.
    """

    tokens: int
    max_output_tokens: int
    target_s: float
    gap_target_s: float

    @property
    def value(self) -> float:
        """Return the weight of the prompt relative to others."""
        return 1.0 + self.tokens / VALUE_DOUBLING_TOKENS

    @property
    def memory_tokens(self) -> int:
        """Return the maximum memory of the prompt and its response."""
        return self.tokens + self.max_output_tokens


class EngineCandidate(msgspec.Struct, frozen=True):
    """A candidate engine; `position` is its place in the order all nodes share.

    `is_load_delayed` means that this node hears late of short prompts that other nodes
    send to the engine. `preference` is the engine's place in an order of this node's
    own; the lowest is chosen among engines of about the same cost. It is None if all
    nodes are to fill the engines in the same order. `extra_cost` is added to the cost
    of using the engine. `cached_tokens` is the beginning of the prompt that the engine
    is expected to hold already.
    """

    instance: str
    position: int
    load: Load
    latency_ratio: float = 1.0
    failure_rate: float = 0.0
    is_remote: bool = False
    is_load_delayed: bool = False
    preference: int | None = None
    extra_cost: float = 0.0
    cached_tokens: float = 0.0


class PromptPlacement(msgspec.Struct, frozen=True):
    """The main engine, which generates, and the helpers for the prefill.

    `reserved` is memory that must be reserved before sending, on the main engine and on
    some of the helpers; if empty, the main engine holds the whole prompt. Engines
    prefill the newest part first, so a prompt in several parts is sent only after
    `start_delay_s`, when earlier parts should be done.
    """

    main: str
    helpers: tuple[str, ...]
    first_event_s: float
    part_prefill_s: float
    cost: float
    reserved: tuple[PromptPart, ...] = ()
    start_delay_s: float = 0.0


class EngineTerms(msgspec.Struct, frozen=True):
    """An engine with the terms of its prediction, for explanations.

    Times are in seconds, costs in the unit of `Prompt.value`. `first_event_s` is the
    sum of `queue_s`, `prefill_s` and `step_s` (decode passes and distance). `cost` is
    the rounded sum of the costs; an engine without a free slot or enough memory has the
    reason in `rule` and cannot be the main one. `other_cost` is for failures, a load
    that is known late and a cold engine.
    """

    instance: str
    rule: str | None
    queue_s: float
    prefill_s: float
    step_s: float
    first_event_s: float
    saved_s: float
    cached_tokens: float
    late_cost: float
    pause_cost: float
    other_cost: float
    slot_cost: float
    unused_cost: float
    delay_cost: float
    cost: float
    latency_ratio: float
    failure_rate: float
    requests: int
    memory_tokens: float


class WorkerTerms(msgspec.Struct, frozen=True):
    """A worker with the terms of its cost, for explanations; `cost` is their sum."""

    instance: str
    load_cost: float
    failure_cost: float
    remote_cost: float
    random_cost: float
    cost: float
    outstanding: int
    slots: int
    latency_ratio: float
    failure_rate: float


class PlacementTrace:
    """The terms of the engines and workers that a placement compared."""

    __slots__ = ("engines", "workers")

    def __init__(self) -> None:
        self.engines: list[EngineTerms] = []
        self.workers: list[WorkerTerms] = []


class _Estimate:
    """An engine's estimated queueing time, service time and penalty.

    The service time ends with the first event. The penalty is the expected cost of a
    failure of the engine and of pauses in its streams. `saved_s` is the prefill that
    the engine does not need because it holds a part of the prompt. `prefill_s` is part
    of the service time, and `pause_cost` of the penalty.
    """

    __slots__ = (
        "engine",
        "pause_cost",
        "penalty",
        "prefill_s",
        "queue_s",
        "saved_s",
        "service_s",
    )

    def __init__(
        self,
        engine: EngineCandidate,
        queue_s: float,
        service_s: float,
        penalty: float,
        saved_s: float,
        prefill_s: float,
        pause_cost: float,
    ) -> None:
        self.engine = engine
        self.queue_s = queue_s
        self.service_s = service_s
        self.penalty = penalty
        self.saved_s = saved_s
        self.prefill_s = prefill_s
        self.pause_cost = pause_cost

    @property
    def finish_s(self) -> float:
        return self.queue_s + self.service_s


def miss_probability(expected_s: float, target_s: float) -> float:
    """Return the probability that an expected time misses its target."""
    if target_s <= 0:
        return 1.0
    share = expected_s / target_s
    return min(
        1.0,
        max(0.0, (share - RISK_START_SHARE) / (RISK_FULL_SHARE - RISK_START_SHARE)),
    )


def client_timeout_s(gap_target_s: float) -> float:
    """Return the pause after which the client of a stream disconnects."""
    return max(MIN_CLIENT_TIMEOUT_S, CLIENT_TIMEOUT_FACTOR * gap_target_s)


def pause_loss(stream: Stream, pause_s: float) -> float:
    """Return the expected cost of a pause in a stream.

    A late response keeps a share of its value; that share is lost if the client
    disconnects.
    """
    late_probability = (
        0.0 if stream.is_late else miss_probability(pause_s, stream.gap_target_s)
    )
    disconnect_probability = miss_probability(
        pause_s, client_timeout_s(stream.gap_target_s)
    )
    return stream.value * (
        (1 - LATE_VALUE_SHARE) * late_probability
        + LATE_VALUE_SHARE * disconnect_probability
    )


def first_event_loss(expected_s: float, target_s: float) -> float:
    """Return the share of a prompt's value that its first event is expected to lose."""
    disconnect_probability = miss_probability(
        expected_s, max(MIN_CLIENT_TIMEOUT_S, FIRST_EVENT_TIMEOUT_FACTOR * target_s)
    )
    return (1 - LATE_VALUE_SHARE) * miss_probability(
        expected_s, target_s
    ) + LATE_VALUE_SHARE * disconnect_probability


def place_prompt(
    prompt: Prompt,
    engines: Sequence[EngineCandidate],
    model: EngineCostModel,
    trace: PlacementTrace | None = None,
) -> PromptPlacement | None:
    """Return the cheapest placement; None if no engine has a free slot and memory.

    The terms that decided are added to `trace`: those of the number of parts that was
    chosen, or of one part without a placement.
    """
    whole_prefill_s = prefill_s(model, prompt.tokens)
    is_long = whole_prefill_s > LONG_PREFILL_S
    best: PromptPlacement | None = None
    traced: list[_Estimate] = []
    for part_count in PART_COUNTS:
        if part_count > len(engines) or (part_count > 1 and not is_long):
            break
        estimates = _rank_engines(prompt, engines, model, whole_prefill_s, part_count)
        traced = traced or estimates
        chosen = _select_engines(prompt, estimates, model, part_count, is_long)
        if chosen is None:
            continue
        part_prefill_s = whole_prefill_s / part_count - chosen[0].saved_s
        placement = _build_placement(prompt, chosen, part_prefill_s)
        if best is None or placement.cost < best.cost - 1e-6:
            best = placement
            traced = estimates
    if trace is not None:
        trace.engines += [_describe(prompt, item, model, is_long) for item in traced]
    return best


def expected_pause_s(engine: EngineCandidate, model: EngineCostModel) -> float:
    """Return the expected pause between two events at an engine's current load."""
    load = engine.load
    pass_s = decode_pass_s(model, max(1, len(load.decoding)), load.context_tokens)
    return (pass_s + load.backlog_s) * engine.latency_ratio


def place_group(
    prompt: Prompt,
    engines: Sequence[EngineCandidate],
    model: EngineCostModel,
    settings: MemorySettings,
) -> PromptPlacement | None:
    """Return the cheapest placement that reserves memory on several engines.

    Return None if the engines have too little free memory, or if none of those that
    would reserve memory has a free slot.
    """
    whole_prefill_s = prefill_s(model, prompt.tokens)
    best: PromptPlacement | None = None
    for part_count in PART_COUNTS[1:]:
        if part_count > len(engines):
            break
        estimates = _rank_engines(prompt, engines, model, whole_prefill_s, part_count)
        chosen = _select_group(prompt, estimates, model, part_count, settings)
        if chosen is None:
            continue
        placement = _build_placement(
            prompt, chosen[0], whole_prefill_s / part_count, chosen[1]
        )
        if best is None or placement.cost < best.cost - 1e-6:
            best = placement
    return best


def _rank_engines(
    prompt: Prompt,
    engines: Sequence[EngineCandidate],
    model: EngineCostModel,
    whole_prefill_s: float,
    part_count: int,
) -> list[_Estimate]:
    part_prefill_s = whole_prefill_s / part_count
    direction = -1 if whole_prefill_s > LONG_PREFILL_S else 1
    weight = prompt.value

    def sort_key(estimate: _Estimate) -> tuple[float, int]:
        late_cost = weight * first_event_loss(estimate.finish_s, prompt.target_s)
        cost = estimate.penalty + late_cost + DELAY_COST_PER_S * estimate.finish_s
        return round(cost, 2), direction * estimate.engine.position

    estimates = [
        # How engines use a cached prefix for a prompt in parts is not known.
        _estimate_engine(
            engine, model, part_prefill_s, weight, uses_cache=part_count == 1
        )
        for engine in engines
    ]
    estimates.sort(key=sort_key)
    return estimates


def _select_engines(
    prompt: Prompt,
    estimates: list[_Estimate],
    model: EngineCostModel,
    part_count: int,
    is_long: bool,
) -> list[_Estimate] | None:
    """Return the main engine, followed by its helpers."""
    ranks = {id(estimate): rank for rank, estimate in enumerate(estimates)}

    def main_cost(estimate: _Estimate) -> float:
        terms = _main_cost_terms(prompt, estimate, model, is_long)
        return _main_cost(estimate, terms)

    eligible = [
        estimate
        for estimate in estimates
        if _full_reason(prompt, estimate.engine, model) is None
    ]
    if not eligible:
        return None
    main = _cheapest(eligible, main_cost, ranks, is_long)
    others = [
        estimate
        for estimate in estimates
        if estimate is not main and _can_help(estimate, model)
    ]
    if len(others) < part_count - 1:
        return None
    return [main, *others[: part_count - 1]]


def _main_cost_terms(
    prompt: Prompt, estimate: _Estimate, model: EngineCostModel, is_long: bool
) -> tuple[float, float, float, float]:
    """Return the costs of a main engine beyond its penalty.

    They are for a late first event, the last slots, an unused engine and the delay.
    """
    weight = prompt.value
    return (
        weight * first_event_loss(estimate.finish_s, prompt.target_s),
        weight * _last_slot_cost_share(estimate.engine, model),
        0.0 if is_long else UNUSED_ENGINE_COST / (1 + estimate.engine.load.requests),
        DELAY_COST_PER_S * estimate.finish_s,
    )


def _main_cost(estimate: _Estimate, terms: tuple[float, float, float, float]) -> float:
    late_cost, slot_cost, unused_cost, delay_cost = terms
    return round(estimate.penalty + late_cost + slot_cost + unused_cost + delay_cost, 2)


def _describe(
    prompt: Prompt, estimate: _Estimate, model: EngineCostModel, is_long: bool
) -> EngineTerms:
    engine = estimate.engine
    terms = _main_cost_terms(prompt, estimate, model, is_long)
    late_cost, slot_cost, unused_cost, delay_cost = terms
    return EngineTerms(
        engine.instance,
        _full_reason(prompt, engine, model),
        estimate.queue_s,
        estimate.prefill_s,
        estimate.service_s - estimate.prefill_s,
        estimate.finish_s,
        estimate.saved_s,
        engine.cached_tokens,
        late_cost,
        estimate.pause_cost,
        estimate.penalty - estimate.pause_cost,
        slot_cost,
        unused_cost,
        delay_cost,
        _main_cost(estimate, terms),
        engine.latency_ratio,
        engine.failure_rate,
        engine.load.requests,
        engine.load.memory_tokens,
    )


def _cheapest(
    estimates: list[_Estimate],
    cost: Callable[[_Estimate], float],
    ranks: dict[int, int],
    is_long: bool,
) -> _Estimate:
    """Return the estimate with the lowest cost, and of these the first in rank.

    For a short prompt, if the node has an order of its own, return the first in this
    order whose cost exceeds the lowest by at most `NEAR_COST`.
    """
    costs = [cost(estimate) for estimate in estimates]
    lowest = min(costs)
    if is_long or estimates[0].engine.preference is None:
        near = [e for e, c in zip(estimates, costs, strict=True) if c <= lowest]
        return min(near, key=lambda estimate: ranks[id(estimate)])
    limit = lowest + NEAR_COST + 1e-9
    near = [e for e, c in zip(estimates, costs, strict=True) if c <= limit]
    return min(near, key=lambda estimate: estimate.engine.preference or 0)


def _select_group(
    prompt: Prompt,
    estimates: list[_Estimate],
    model: EngineCostModel,
    part_count: int,
    settings: MemorySettings,
) -> tuple[list[_Estimate], tuple[PromptPart, ...]] | None:
    eligible = [estimate for estimate in estimates if _can_help(estimate, model)][
        :part_count
    ]
    if len(eligible) < part_count:
        return None
    free_tokens = {
        estimate.engine.instance: int(
            model.memory_tokens * USABLE_MEMORY_SHARE
            - estimate.engine.load.memory_tokens
        )
        for estimate in eligible
    }
    reserved = split_prompt(
        prompt.tokens, prompt.max_output_tokens, free_tokens, settings
    )
    if reserved is None:
        return None
    names = {part.engine for part in reserved}
    main = next(
        (
            estimate
            for estimate in eligible
            if estimate.engine.instance in names
            and estimate.engine.load.requests < model.slots
        ),
        None,
    )
    if main is None:
        return None
    # Engines fill memory in list order, so those with reservations come first.
    others = [estimate for estimate in eligible if estimate is not main]
    others.sort(key=lambda estimate: estimate.engine.instance not in names)
    return [main, *others], reserved


def _build_placement(
    prompt: Prompt,
    chosen: list[_Estimate],
    part_prefill_s: float,
    reserved: tuple[PromptPart, ...] = (),
) -> PromptPlacement:
    queue_s = max(estimate.queue_s for estimate in chosen)
    finish_s = queue_s + max(estimate.service_s for estimate in chosen)
    penalty = sum(estimate.penalty for estimate in chosen)
    helpers = tuple(estimate.engine.instance for estimate in chosen[1:])
    cost = prompt.value * first_event_loss(finish_s, prompt.target_s) + penalty
    cost += HELPER_COST * len(helpers) + DELAY_COST_PER_S * finish_s
    cost += ENGINE_WAIT_COST_PER_S * sum(
        queue_s - estimate.queue_s for estimate in chosen
    )
    main = chosen[0].engine.instance
    start_delay_s = queue_s if helpers else 0.0
    return PromptPlacement(
        main, helpers, finish_s, part_prefill_s, cost, reserved, start_delay_s
    )


def _full_reason(
    prompt: Prompt, engine: EngineCandidate, model: EngineCostModel
) -> str | None:
    """Return why an engine cannot run a prompt; None if it can."""
    load = engine.load
    if load.requests >= model.slots:
        return "no_free_slot"
    free_tokens = model.memory_tokens * USABLE_MEMORY_SHARE - load.memory_tokens
    return None if prompt.memory_tokens <= free_tokens else "no_free_memory"


def _can_help(estimate: _Estimate, model: EngineCostModel) -> bool:
    return estimate.engine.load.helper_prefills < model.slots


def _last_slot_cost_share(engine: EngineCandidate, model: EngineCostModel) -> float:
    free_after = model.slots - engine.load.requests - 1
    return (
        LAST_SLOT_COST_SHARES[free_after]
        if free_after < len(LAST_SLOT_COST_SHARES)
        else 0.0
    )


def _estimate_engine(
    engine: EngineCandidate,
    model: EngineCostModel,
    part_prefill_s: float,
    value: float,
    uses_cache: bool,
) -> _Estimate:
    load = engine.load
    saved_s = 0.0
    if uses_cache and engine.cached_tokens > 0.0:
        saved_s = min(part_prefill_s, prefill_s(model, int(engine.cached_tokens)))
        part_prefill_s -= saved_s
    pass_s = (
        decode_pass_s(model, len(load.decoding), load.context_tokens)
        * engine.latency_ratio
    )
    added_prefill_s = part_prefill_s * engine.latency_ratio
    pause_before_s = pass_s + load.backlog_s
    # A failed attempt is repeated, and the second one is late.
    penalty = value * engine.failure_rate
    pause_cost = sum(
        pause_loss(stream, pause_before_s + added_prefill_s)
        - pause_loss(stream, pause_before_s)
        for stream in (*load.decoding, *load.prefilling)
    )
    penalty += pause_cost
    if engine.is_load_delayed:
        penalty += DELAYED_LOAD_COST
    penalty += engine.extra_cost
    # On average, a new prompt waits for half of the current pass.
    service_s = (
        1.5 * pass_s + added_prefill_s + (REMOTE_DELAY_S if engine.is_remote else 0.0)
    )
    return _Estimate(
        engine,
        load.backlog_s,
        service_s,
        penalty,
        saved_s,
        added_prefill_s,
        pause_cost,
    )


class WorkerCandidate(msgspec.Struct, frozen=True):
    """A candidate worker for a plain call."""

    instance: str
    slots: int
    outstanding: int
    latency_ratio: float = 1.0
    failure_rate: float = 0.0
    is_remote: bool = False


def place_call(
    workers: Sequence[WorkerCandidate],
    may_repeat: bool,
    random: Random,
    trace: PlacementTrace | None = None,
) -> WorkerCandidate | None:
    """Return the worker with the lowest cost for a plain call; None without workers.

    The cost grows with utilization, latency and failure rate. The failure rate has more
    weight for a call that must not be repeated. The terms are added to `trace`.
    """
    if not workers:
        return None

    def cost(worker: WorkerCandidate) -> float:
        utilization = (worker.outstanding + 1) / max(1, worker.slots)
        load_cost = utilization * worker.latency_ratio
        failure_cost = worker.failure_rate * (2.0 if may_repeat else 6.0)
        remote_cost = 0.0 if not worker.is_remote else 0.05
        random_cost = random.random() * 0.05
        total = load_cost + failure_cost + remote_cost + random_cost
        if trace is not None:
            trace.workers.append(
                WorkerTerms(
                    worker.instance,
                    load_cost,
                    failure_cost,
                    remote_cost,
                    random_cost,
                    total,
                    worker.outstanding,
                    worker.slots,
                    worker.latency_ratio,
                    worker.failure_rate,
                )
            )
        return total

    return min(workers, key=cost)
