"""Replay a day's prompts with many nodes, each with its own picture of the work.

Placement and the tracking of outstanding jobs are the product's own code; the waits
around them follow `entry/prompts.py` and share its constants. No upstream fails here;
plain calls are left out.
"""

import heapq
import json
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from dandelionpond.entry.fleet import GROUP_MEMORY_SETTINGS, MIN_GROUP_TOKENS
from dandelionpond.entry.prompts import (
    MAX_EXTRA_HOLD_S,
    MAX_HOLD_SHARE,
    MAX_WAIT_SHARE,
    POLL_INTERVAL_S,
)
from dandelionpond.placement.engine_time import prefill_s
from dandelionpond.placement.jobs import Job, JobTracker, Phase
from dandelionpond.placement.placement import (
    LATE_VALUE_SHARE,
    EngineCandidate,
    Prompt,
    PromptPlacement,
    place_group,
    place_prompt,
)
from dandelionpond.published.messages import EngineCostModel
from dandelionpond_standins.load_replay.engines import (
    DecodeStream,
    PrefillPart,
    SimulatedEngine,
)

TRACE_DIR = Path(__file__).parent
# Time in seconds until a message is at an engine or another node, and until the news of
# a change is sent.
NETWORK_DELAY_S = 0.0014
UPDATE_DELAY_S = 0.001
WINDOW_S = 2.0
# Tokens of the prompts whose arrivals begin and end the spans of `forced_loss`.
LONG_PROMPT_TOKENS = 60_000


class PromptKind(msgspec.Struct, frozen=True):
    """Describe a kind of prompt; times in seconds, `value` when it is in time."""

    target_s: float
    gap_target_s: float
    timeout_s: float
    value: float


class Arrival(msgspec.Struct, frozen=True, array_like=True):
    """Describe one prompt: when, of which kind, its tokens, events and node."""

    at: float
    kind: str
    tokens: int
    events: int
    node: int


class Trace(msgspec.Struct, frozen=True):
    """Hold the arrivals of a day and what they meet."""

    name: str
    engines: int
    nodes: int
    model: EngineCostModel
    kinds: dict[str, PromptKind]
    arrivals: tuple[Arrival, ...]


class PromptResult(msgspec.Struct):
    """Hold what became of a prompt; `outcome` is in_time, late or refused."""

    arrival: Arrival
    outcome: str = "refused"
    first_s: float | None = None
    pause_s: float = 0.0


def load_trace(name: str) -> Trace:
    """Return a day by its name; raise FileNotFoundError if there is none."""
    return msgspec.json.decode((TRACE_DIR / f"{name}.json").read_bytes(), type=Trace)


class Replay:
    """Own the time, the engines and the nodes of one replay."""

    def __init__(self, trace: Trace, network_delay_s: float = NETWORK_DELAY_S) -> None:
        self.trace = trace
        self.now = 0.0
        self.network_delay_s = network_delay_s
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self.engines = [
            SimulatedEngine(trace.model, self.call_later) for _ in range(trace.engines)
        ]
        self.nodes = [_Node(self, number) for number in range(trace.nodes)]

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Perform an action later."""
        self._count += 1
        heapq.heappush(self._queue, (self.now + delay_s, self._count, action))

    def run(self) -> list[PromptResult]:
        """Return the fates of all prompts in the order of their arrival."""
        fates = []
        for number, arrival in enumerate(self.trace.arrivals):
            fate = PromptResult(arrival)
            fates.append(fate)
            run = _Run(self, self.nodes[arrival.node], str(number), fate)
            self.call_later(arrival.at, run.place)
        while self._queue:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        return fates


class _Node:
    """Hold one node's picture and tell the others of its changes."""

    def __init__(self, replay: Replay, number: int) -> None:
        self._replay = replay
        self._name = f"n{number}"
        self._has_news = False
        self.jobs = JobTracker()
        self.jobs.on_change = self._changed

    def candidates(self) -> list[EngineCandidate]:
        now = self._replay.now
        names = map(str, range(len(self._replay.engines)))
        return [
            EngineCandidate(name, position, self.jobs.load(name, now))
            for position, name in enumerate(names)
        ]

    def _changed(self) -> None:
        if not self._has_news:
            self._has_news = True
            self._replay.call_later(UPDATE_DELAY_S, self._tell)

    def _tell(self) -> None:
        self._has_news = False
        jobs = self.jobs.own_jobs(self._replay.now)
        for node in self._replay.nodes:
            if node is not self:
                self._replay.call_later(
                    self._replay.network_delay_s, _Hear(self, node, jobs)
                )

    @property
    def name(self) -> str:
        return self._name

    def hear(self, name: str, jobs: tuple[Job, ...]) -> None:
        self.jobs.update_peer(name, jobs, self._replay.now)


class _Hear:
    """Deliver one message."""

    __slots__ = ("_jobs", "_sender", "_to")

    def __init__(self, sender: _Node, to: _Node, jobs: tuple[Job, ...]) -> None:
        self._sender, self._to, self._jobs = sender, to, jobs

    def __call__(self) -> None:
        self._to.hear(self._sender.name, self._jobs)


class _Run:
    """Follow one prompt from its arrival to its last event."""

    def __init__(
        self, replay: Replay, node: _Node, request: str, fate: PromptResult
    ) -> None:
        self._replay = replay
        self._node = node
        self._request = request
        self._fate = fate
        self._kind = replay.trace.kinds[fate.arrival.kind]
        self._deadline_at = fate.arrival.at + self._kind.timeout_s
        self._parts_left = 0
        self._sent_at = 0.0
        self._event_at = 0.0
        self._answer_tokens = fate.arrival.events * replay.trace.model.stride

    def place(self) -> None:
        """Place the prompt, or look again a moment later."""
        now, arrival = self._replay.now, self._fate.arrival
        target = self._kind.target_s - (now - arrival.at)
        gap = self._kind.gap_target_s
        prompt = Prompt(arrival.tokens, self._answer_tokens, target, gap)
        engines, model = self._node.candidates(), self._replay.trace.model
        placement = place_prompt(prompt, engines, model)
        if placement is None and prompt.tokens > MIN_GROUP_TOKENS:
            placement = place_group(prompt, engines, model, GROUP_MEMORY_SETTINGS)
        if placement is None:
            if now - arrival.at < MAX_WAIT_SHARE * self._kind.timeout_s:
                self._replay.call_later(POLL_INTERVAL_S, self.place)
            return
        jobs = _jobs(prompt, placement)
        self._node.jobs.start(self._request, jobs, now)
        if placement.start_delay_s > 0:
            latest = now + MAX_HOLD_SHARE * (self._deadline_at - now)
            self._hold(placement, now + placement.start_delay_s, latest)
        else:
            self._send(placement)

    def _hold(
        self, placement: PromptPlacement, planned_at: float, latest: float
    ) -> None:
        now, jobs = self._replay.now, self._node.jobs
        end = jobs.earlier_prefills_end_at(self._request, now)
        if end is None or now >= min(latest, max(end, planned_at) + MAX_EXTRA_HOLD_S):
            jobs.mark_sent(self._request, now)
            self._send(placement)
            return
        self._replay.call_later(
            POLL_INTERVAL_S, lambda: self._hold(placement, planned_at, latest)
        )

    def _send(self, placement: PromptPlacement) -> None:
        names = (placement.main, *placement.helpers)
        self._parts_left = len(names)
        tokens = self._fate.arrival.tokens / len(names)
        main = self._replay.engines[int(placement.main)]
        for name in names:
            engine = self._replay.engines[int(name)]
            part = PrefillPart(
                tokens, placement.part_prefill_s, lambda: self._read(main)
            )
            self._replay.call_later(self._replay.network_delay_s, _Read(engine, part))

    def _read(self, main: SimulatedEngine) -> None:
        self._parts_left -= 1
        if self._parts_left == 0:
            arrival = self._fate.arrival
            # The first token comes with the last part, the first event with it.
            events = max(1, arrival.events)
            self._event(is_last=events == 1)
            if events > 1:
                main.start_decode(DecodeStream(events - 1, arrival.tokens, self._event))

    def _event(self, is_last: bool) -> None:
        now, fate, jobs = self._replay.now, self._fate, self._node.jobs
        if fate.first_s is None:
            fate.first_s = now + self._replay.network_delay_s - fate.arrival.at
            fate.outcome = "in_time" if fate.first_s <= self._kind.target_s else "late"
            jobs.mark_decoding(self._request)
        else:
            fate.pause_s = max(fate.pause_s, now - self._event_at)
            if fate.pause_s > self._kind.gap_target_s:
                fate.outcome = "late"
        if fate.outcome == "late":
            jobs.mark_late(self._request)
        self._event_at = now
        if is_last:
            jobs.finish(self._request)


class _Read:
    """Deliver one part."""

    __slots__ = ("_engine", "_part")

    def __init__(self, engine: SimulatedEngine, part: PrefillPart) -> None:
        self._engine, self._part = engine, part

    def __call__(self) -> None:
        self._engine.start_prefill(self._part)


def _jobs(prompt: Prompt, placement: PromptPlacement) -> list[Job]:
    age, part = -placement.start_delay_s, placement.part_prefill_s
    is_held = placement.start_delay_s > 0
    reserved = {part.engine: part.tokens for part in placement.reserved}
    context = prompt.tokens // max(1, len(reserved))
    main = Job(
        placement.main,
        Phase.PREFILL,
        age,
        part,
        context,
        reserved.get(placement.main, prompt.memory_tokens),
        prompt.gap_target_s,
        prompt.value,
        is_held=is_held,
    )
    return [
        main,
        *(
            Job(
                name,
                Phase.HELPER_PREFILL,
                age,
                part,
                context if name in reserved else 0,
                reserved.get(name, 0),
                is_held=is_held,
            )
            for name in placement.helpers
        ),
    ]


def measure(trace: Trace, fates: Sequence[PromptResult]) -> dict[str, Any]:
    """Return counts and times by kind and the worst window's part of its value."""
    kinds = {}
    for name, kind in trace.kinds.items():
        mine = [fate for fate in fates if fate.arrival.kind == name]
        first = sorted(fate.first_s for fate in mine if fate.first_s is not None)
        outcomes = [fate.outcome for fate in mine]
        kinds[name] = {
            "asked": len(mine),
            "in_time": outcomes.count("in_time"),
            "late": outcomes.count("late"),
            "refused": outcomes.count("refused"),
            "first_p50_s": round(_quantile(first, 0.5), 3),
            "first_p95_s": round(_quantile(first, 0.95), 3),
            "slow_pauses": sum(one.pause_s > kind.gap_target_s for one in mine),
        }
    windows: dict[int, list[PromptResult]] = {}
    for fate in fates:
        windows.setdefault(int(fate.arrival.at // WINDOW_S), []).append(fate)
    served = {window: _served(trace, found) for window, found in windows.items()}
    worst = min(served, key=lambda window: served[window])
    return {
        "day": trace.name,
        "kinds": kinds,
        "served": round(_served(trace, fates), 3),
        "worst_window": {
            "from_s": worst * WINDOW_S,
            "served": round(served[worst], 3),
        },
    }


def forced_loss(trace: Trace) -> float:
    """Return the part of the value that no choice could bring, by engine time alone.

    The prompts of any span need their reading between its start and the last target
    after its end. What does not fit is late at best, the dearest for its value first.
    Passes, memory, the order of parts and the targets of pauses are left out, so this
    is a bound from below and may be far under what is reached.
    """
    total = sum(trace.kinds[one.kind].value for one in trace.arrivals)
    reach = max(kind.target_s for kind in trace.kinds.values())
    work = [
        (one.at, prefill_s(trace.model, one.tokens), trace.kinds[one.kind].value)
        for one in trace.arrivals
    ]
    starts = sorted(
        {one.at for one in trace.arrivals if one.tokens >= LONG_PROMPT_TOKENS}
    )
    worst = 0.0
    for index, start in enumerate(starts):
        for end in starts[index:]:
            room = trace.engines * (end - start + reach)
            span = [(s, v) for at, s, v in work if start <= at <= end]
            lost = 0.0
            for seconds, value in sorted(span, key=_seconds_for_value):
                lost += value * max(0.0, 1.0 - max(0.0, room) / seconds)
                room -= seconds
            worst = max(worst, lost)
    return worst * (1.0 - LATE_VALUE_SHARE) / total


def _seconds_for_value(work: tuple[float, float]) -> float:
    return work[0] / work[1]


def _served(trace: Trace, fates: Sequence[PromptResult]) -> float:
    """Return the part of the value of prompts that they brought."""
    shares = {"in_time": 1.0, "late": LATE_VALUE_SHARE, "refused": 0.0}
    values = [trace.kinds[fate.arrival.kind].value for fate in fates]
    brought = sum(
        value * shares[fate.outcome] for value, fate in zip(values, fates, strict=True)
    )
    return brought / sum(values)


def _quantile(ordered: Sequence[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def to_json_line(figures: dict[str, Any]) -> str:
    """Return figures as one line of JSON."""
    return json.dumps(figures)
