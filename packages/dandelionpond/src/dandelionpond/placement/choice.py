"""Choose the engines that read a prompt, and the upstream of a plain call.

Costs are in the unit of `value`: what a late answer to a prompt loses. Each engine is
judged by the time to the first event that it would give, and by the pauses that reading
there causes for answers that are being written. Prompts with little to read fill the
engines from one end of a fixed order and long ones from the other, so that answers
being written and long reads meet as seldom as demand permits.
"""

from collections.abc import Sequence
from random import Random

import msgspec

from dandelionpond.memory.groups import split_prompt
from dandelionpond.memory.messages import PromptPart
from dandelionpond.memory.settings import MemorySettings
from dandelionpond.placement.engine_time import decode_pass_s, prefill_s
from dandelionpond.placement.jobs import Load, Writer
from dandelionpond.published.messages import EngineCostModel

# Share of a target at which the risk of missing it begins, and at which it is certain.
RISK_FROM = 0.55
RISK_TO = 1.1
# Parts into which a prompt may be split; engines take 16 entries of helpers, one of
# them for memory that the main engine reserved.
PART_COUNTS = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 16)
# Clients of streams give up after this many times the target of their pauses, and not
# before the minimum in seconds.
PATIENCE_FACTOR = 8.0
# They wait this many times the target for the first event, or as for later ones.
FIRST_PATIENCE_FACTOR = 4.0
MIN_PATIENCE_S = 2.0
# Part of its value that a late answer keeps.
LATE_VALUE_SHARE = 0.25
# Cost of a second until the first event, so that the earlier one of two placements
# without risk wins.
TIME_COST = 0.1
# Cost of one helper: a further engine whose failure delays the prompt.
HELPER_COST = 0.03
# Cost of a second in which an engine waits until the others of a prompt are free.
IDLE_COST = 4.0
# Reading time in seconds from which a prompt counts as long.
LONG_READ_S = 0.12
# Tokens whose prompt is worth twice a very short one.
VALUE_TOKENS = 8_000.0
# Share of an engine's memory that placement fills; estimates of answers are rough.
MEMORY_SHARE = 0.97
# Part of a prompt's value that taking the last free slot of an engine costs, and the
# last but one, and so on: other nodes may send there before they hear of it.
SLOT_RISK = (0.05, 0.01)
# Cost for a short prompt of an engine without requests; it falls with their number, so
# that short prompts fill engines and leave others, where long prompts are read without
# delaying an answer.
OPEN_COST = 0.2
# Time in seconds that an engine in another failure domain adds to the first event.
REMOTE_S = 0.002


class Prompt(msgspec.Struct, frozen=True):
    """State what a prompt needs; times are in seconds.

    `target_s` is what is left of the target for the first event.
    """

    tokens: int
    answer_tokens: int
    target_s: float
    gap_target_s: float

    @property
    def value(self) -> float:
        """Return the weight of the prompt against others."""
        return 1.0 + self.tokens / VALUE_TOKENS

    @property
    def memory_tokens(self) -> int:
        """Return the most memory that prompt and answer take."""
        return self.tokens + self.answer_tokens


class EngineCandidate(msgspec.Struct, frozen=True):
    """Describe a candidate; `position` is its place in the order all nodes share."""

    instance: str
    position: int
    load: Load
    latency_ratio: float = 1.0
    failure_rate: float = 0.0
    is_remote: bool = False


class PromptPlacement(msgspec.Struct, frozen=True):
    """Name the engine that writes and those that help to read.

    `reserved` is memory that must be reserved first, on the main engine and on some of
    the helpers; without it the main engine holds the whole prompt. Engines read the
    newest part first, so a prompt in parts is sent only after `start_in_s`, when the
    parts before it are read.
    """

    main: str
    helpers: tuple[str, ...]
    first_event_s: float
    part_prefill_s: float
    cost: float
    reserved: tuple[PromptPart, ...] = ()
    start_delay_s: float = 0.0


class _Judged:
    __slots__ = ("engine", "harm", "wait_s", "work_s")

    def __init__(
        self, engine: EngineCandidate, wait_s: float, work_s: float, harm: float
    ) -> None:
        self.engine = engine
        self.wait_s = wait_s
        self.work_s = work_s
        self.harm = harm

    @property
    def finish_s(self) -> float:
        return self.wait_s + self.work_s


def risk(expected_s: float, target_s: float) -> float:
    """Return how likely an expected time misses its target, from 0 to 1."""
    if target_s <= 0:
        return 1.0
    share = expected_s / target_s
    return min(1.0, max(0.0, (share - RISK_FROM) / (RISK_TO - RISK_FROM)))


def patience_s(gap_target_s: float) -> float:
    """Return the pause after which the client of a stream gives up."""
    return max(MIN_PATIENCE_S, PATIENCE_FACTOR * gap_target_s)


def pause_loss(writer: Writer, pause: float) -> float:
    """Return what a pause of a stream is expected to cost.

    A late answer keeps a part of its value, which is lost when its client gives up.
    """
    late = 0.0 if writer.is_late else risk(pause, writer.gap_target_s)
    lost = risk(pause, patience_s(writer.gap_target_s))
    return writer.value * ((1 - LATE_VALUE_SHARE) * late + LATE_VALUE_SHARE * lost)


def first_event_loss(expected_s: float, target_s: float) -> float:
    """Return the part of a prompt's value that its first event's time puts at risk."""
    lost = risk(expected_s, max(MIN_PATIENCE_S, FIRST_PATIENCE_FACTOR * target_s))
    return (1 - LATE_VALUE_SHARE) * risk(expected_s, target_s) + LATE_VALUE_SHARE * lost


def place_prompt(
    prompt: Prompt, engines: Sequence[EngineCandidate], model: EngineCostModel
) -> PromptPlacement | None:
    """Return the cheapest placement, or None if no engine has a slot and memory."""
    whole_s = prefill_s(model, prompt.tokens)
    is_long = whole_s > LONG_READ_S
    best: PromptPlacement | None = None
    for parts in PART_COUNTS:
        if parts > len(engines) or (parts > 1 and not is_long):
            break
        judged = _rank(prompt, engines, model, whole_s, parts)
        chosen = _choose(prompt, judged, model, parts, is_long)
        if chosen is None:
            continue
        placement = _placement(prompt, chosen, whole_s / parts)
        if best is None or placement.cost < best.cost - 1e-6:
            best = placement
    return best


def pause_s(engine: EngineCandidate, model: EngineCostModel) -> float:
    """Return the pause between two events that the work on an engine explains."""
    load = engine.load
    stride = decode_pass_s(model, max(1, len(load.writers)), load.context_tokens)
    return (stride + load.backlog_s) * engine.latency_ratio


def place_group(
    prompt: Prompt,
    engines: Sequence[EngineCandidate],
    model: EngineCostModel,
    settings: MemorySettings,
) -> PromptPlacement | None:
    """Return the cheapest placement that reserves memory on several engines.

    None means that the memory is not there or that no engine that has it has a slot.
    """
    whole_s = prefill_s(model, prompt.tokens)
    best: PromptPlacement | None = None
    for parts in PART_COUNTS[1:]:
        if parts > len(engines):
            break
        judged = _rank(prompt, engines, model, whole_s, parts)
        chosen = _choose_group(prompt, judged, model, parts, settings)
        if chosen is None:
            continue
        placement = _placement(prompt, chosen[0], whole_s / parts, chosen[1])
        if best is None or placement.cost < best.cost - 1e-6:
            best = placement
    return best


def _rank(
    prompt: Prompt,
    engines: Sequence[EngineCandidate],
    model: EngineCostModel,
    whole_s: float,
    parts: int,
) -> list[_Judged]:
    part_s = whole_s / parts
    order = -1 if whole_s > LONG_READ_S else 1
    weight = prompt.value

    def rank(one: _Judged) -> tuple[float, int]:
        late = weight * first_event_loss(one.finish_s, prompt.target_s)
        cost = one.harm + late + TIME_COST * one.finish_s
        return round(cost, 2), order * one.engine.position

    judged = [_judge(engine, model, part_s, weight) for engine in engines]
    judged.sort(key=rank)
    return judged


def _choose(
    prompt: Prompt,
    judged: list[_Judged],
    model: EngineCostModel,
    parts: int,
    is_long: bool,
) -> list[_Judged] | None:
    """Return the main engine and its helpers, main first."""
    order = {id(one): place for place, one in enumerate(judged)}
    weight = prompt.value

    def main_cost(one: _Judged) -> tuple[float, int]:
        late = weight * first_event_loss(one.finish_s, prompt.target_s)
        slot = weight * _slot_risk(one.engine, model)
        opened = 0.0 if is_long else OPEN_COST / (1 + one.engine.load.requests)
        cost = one.harm + late + slot + opened + TIME_COST * one.finish_s
        return round(cost, 2), order[id(one)]

    able = [one for one in judged if _can_run(prompt, one.engine, model)]
    if not able:
        return None
    main = min(able, key=main_cost)
    others = [one for one in judged if one is not main and _can_help(one, model)]
    if len(others) < parts - 1:
        return None
    return [main, *others[: parts - 1]]


def _choose_group(
    prompt: Prompt,
    judged: list[_Judged],
    model: EngineCostModel,
    parts: int,
    settings: MemorySettings,
) -> tuple[list[_Judged], tuple[PromptPart, ...]] | None:
    able = [one for one in judged if _can_help(one, model)][:parts]
    if len(able) < parts:
        return None
    free = {
        one.engine.instance: int(
            model.memory_tokens * MEMORY_SHARE - one.engine.load.memory_tokens
        )
        for one in able
    }
    reserved = split_prompt(prompt.tokens, prompt.answer_tokens, free, settings)
    if reserved is None:
        return None
    names = {part.engine for part in reserved}
    main = next(
        (
            one
            for one in able
            if one.engine.instance in names and one.engine.load.requests < model.slots
        ),
        None,
    )
    if main is None:
        return None
    # The memory is filled in the order of the list, so engines that reserved go first.
    others = [one for one in able if one is not main]
    others.sort(key=lambda one: one.engine.instance not in names)
    return [main, *others], reserved


def _placement(
    prompt: Prompt,
    chosen: list[_Judged],
    part_s: float,
    reserved: tuple[PromptPart, ...] = (),
) -> PromptPlacement:
    wait = max(one.wait_s for one in chosen)
    finish = wait + max(one.work_s for one in chosen)
    harm = sum(one.harm for one in chosen)
    helpers = tuple(one.engine.instance for one in chosen[1:])
    cost = prompt.value * first_event_loss(finish, prompt.target_s) + harm
    cost += HELPER_COST * len(helpers) + TIME_COST * finish
    cost += IDLE_COST * sum(wait - one.wait_s for one in chosen)
    main = chosen[0].engine.instance
    start = wait if helpers else 0.0
    return PromptPlacement(main, helpers, finish, part_s, cost, reserved, start)


def _can_run(prompt: Prompt, engine: EngineCandidate, model: EngineCostModel) -> bool:
    load = engine.load
    if load.requests >= model.slots:
        return False
    free = model.memory_tokens * MEMORY_SHARE - load.memory_tokens
    return prompt.memory_tokens <= free


def _can_help(judged: _Judged, model: EngineCostModel) -> bool:
    return judged.engine.load.helping < model.slots


def _slot_risk(engine: EngineCandidate, model: EngineCostModel) -> float:
    free_after = model.slots - engine.load.requests - 1
    return SLOT_RISK[free_after] if free_after < len(SLOT_RISK) else 0.0


def _judge(
    engine: EngineCandidate, model: EngineCostModel, part_s: float, value: float
) -> _Judged:
    load = engine.load
    stride = (
        decode_pass_s(model, len(load.writers), load.context_tokens)
        * engine.latency_ratio
    )
    part = part_s * engine.latency_ratio
    before = stride + load.backlog_s
    # A failed attempt is made good by a second one, which is late.
    harm = value * engine.failure_rate
    harm += sum(
        pause_loss(writer, before + part) - pause_loss(writer, before)
        for writer in (*load.writers, *load.readers)
    )
    # A new prompt waits for the pass that runs, half of it in the mean.
    work = 1.5 * stride + part + (REMOTE_S if engine.is_remote else 0.0)
    return _Judged(engine, load.backlog_s, work, harm)


class WorkerCandidate(msgspec.Struct, frozen=True):
    """Describe a candidate for a plain call."""

    instance: str
    slots: int
    outstanding: int
    latency_ratio: float = 1.0
    failure_rate: float = 0.0
    is_remote: bool = False


def place_call(
    workers: Sequence[WorkerCandidate], may_repeat: bool, random: Random
) -> WorkerCandidate | None:
    """Return the worker for a plain call: few outstanding, quick, seldom failing.

    A call that may not be repeated weighs failures more.
    """
    if not workers:
        return None

    def cost(worker: WorkerCandidate) -> float:
        busy = (worker.outstanding + 1) / max(1, worker.slots)
        failing = worker.failure_rate * (2.0 if may_repeat else 6.0)
        near = 0.0 if not worker.is_remote else 0.05
        return busy * worker.latency_ratio + failing + near + random.random() * 0.05

    return min(workers, key=cost)
