"""Simulation of nodes that place the prompts of a trace on engines.

Each node knows its own jobs and, after a delay, those of the other nodes. Placement and
job tracking are the product's code. Waiting for a free engine and holding prompts
follow `entry/prompts.py` and use its constants. Upstreams do not fail, and plain calls
are left out.
"""

import heapq
import json
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec
import xxhash

from dandelionpond.entry.fleet import (
    GROUP_MEMORY_SETTINGS,
    MIN_GROUP_TOKENS,
    MIN_LOCAL_ENGINES,
)
from dandelionpond.entry.prompt_placer import MAX_WAIT_SHARE, POLL_INTERVAL_S
from dandelionpond.entry.prompts import (
    HOLD_CHECK_INTERVAL_S,
    MAX_EXTRA_HOLD_S,
    MAX_HOLD_SHARE,
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
# Time in seconds that a message takes to an engine or another node.
NETWORK_DELAY_S = 0.0014
# Time in seconds from a change of a node's jobs until it sends them to other nodes.
UPDATE_DELAY_S = 0.001
# Interval in seconds between two regular heartbeats to nodes of other domains, and the
# time after the last arrival at which they end.
HEARTBEAT_INTERVAL_S = 2.0
MAX_RESPONSE_S = 10.0
# Length in seconds of the windows of arrivals that are compared for the worst one.
WINDOW_S = 2.0
# Arrivals of prompts with at least this length start and end the spans that
# `forced_loss` examines.
LONG_PROMPT_TOKENS = 60_000


class PromptKind(msgspec.Struct, frozen=True):
    """A kind of prompt with its targets in seconds and its value if it meets them."""

    target_s: float
    gap_target_s: float
    timeout_s: float
    value: float


class Arrival(msgspec.Struct, frozen=True, array_like=True):
    """A prompt that reaches `node` at `at` seconds, with the events of its response."""

    at: float
    kind: str
    tokens: int
    events: int
    node: int


class Trace(msgspec.Struct, frozen=True):
    """The arrivals of a day and the engines and nodes that serve them.

    Engines and nodes are assigned to the failure domains in turn. With
    `has_slot_limit`, a request that finds no free slot waits at its engine.
    """

    name: str
    engines: int
    nodes: int
    model: EngineCostModel
    kinds: dict[str, PromptKind]
    arrivals: tuple[Arrival, ...]
    domains: int = 1
    has_slot_limit: bool = False


class PromptResult(msgspec.Struct):
    """The result of one prompt; times are in seconds.

    `outcome` is in_time, late or refused.
    """

    arrival: Arrival
    outcome: str = "refused"
    first_event_s: float | None = None
    longest_pause_s: float = 0.0


def load_trace(name: str) -> Trace:
    """Return a trace by its name; raise FileNotFoundError if there is none."""
    return msgspec.json.decode((TRACE_DIR / f"{name}.json").read_bytes(), type=Trace)


class Replay:
    """One replay of a trace: its clock, event queue, engines and nodes.

    `now` is in seconds since the start of the trace.
    """

    def __init__(self, trace: Trace, network_delay_s: float = NETWORK_DELAY_S) -> None:
        self.trace = trace
        self.now = 0.0
        self.network_delay_s = network_delay_s
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        # Messages between nodes about changes of jobs without a long part.
        self.short_messages = 0
        self.engines = [
            SimulatedEngine(trace.model, self.call_later, trace.has_slot_limit)
            for _ in range(trace.engines)
        ]
        self.nodes = [_Node(self, number) for number in range(trace.nodes)]

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call `action` after `delay_s` seconds of simulated time."""
        self._event_count += 1
        heapq.heappush(self._events, (self.now + delay_s, self._event_count, action))

    def run(self) -> list[PromptResult]:
        """Run the replay and return the results of all prompts in order of arrival."""
        results = []
        for number, arrival in enumerate(self.trace.arrivals):
            result = PromptResult(arrival)
            results.append(result)
            prompt_run = _PromptRun(self, self.nodes[arrival.node], str(number), result)
            self.call_later(arrival.at, prompt_run.place)
        end = max((arrival.at for arrival in self.trace.arrivals), default=0.0)
        for node in self.nodes:
            node.schedule_heartbeats(end + MAX_RESPONSE_S)
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return results


class _Node:
    """A node that tracks all known jobs and sends its own to the other nodes."""

    def __init__(self, replay: Replay, number: int) -> None:
        domains = replay.trace.domains
        self._replay = replay
        self._name = f"n{number}"
        self._number = number
        self._is_update_scheduled = False
        local_engines = len(range(number % domains, replay.trace.engines, domains))
        self._prefers_local = domains > 1 and local_engines >= MIN_LOCAL_ENGINES
        self._preferences = [
            xxhash.xxh64_intdigest(f"{self._name}/{position}".encode())
            for position in range(replay.trace.engines)
            if self._prefers_local
        ]
        self.domain = number % domains
        self.jobs = JobTracker()
        self.jobs.on_change = self._schedule_update

    def candidates(self) -> list[EngineCandidate]:
        now, domains = self._replay.now, self._replay.trace.domains
        return [
            EngineCandidate(
                str(position),
                position,
                self.jobs.load(str(position), now),
                is_remote=position % domains != self.domain,
                is_load_delayed=self._prefers_local
                and position % domains != self.domain,
                preference=self._preferences[position] if self._preferences else None,
            )
            for position in range(len(self._replay.engines))
        ]

    def schedule_heartbeats(self, end: float) -> None:
        """Schedule the regular heartbeats to the nodes of other domains until `end`."""
        at = HEARTBEAT_INTERVAL_S * self._number / len(self._replay.nodes)
        while self._prefers_local and at < end:
            self._replay.call_later(at, lambda: self._send_jobs_to(None))
            at += HEARTBEAT_INTERVAL_S

    def _schedule_update(self) -> None:
        if not self._is_update_scheduled:
            self._is_update_scheduled = True
            self._replay.call_later(UPDATE_DELAY_S, self._send_changes)

    def _send_changes(self) -> None:
        self._is_update_scheduled = False
        changes = self.jobs.take_changes()
        domains = None
        if self._prefers_local and not changes.has_long_part:
            domains = {
                int(name) % self._replay.trace.domains for name in changes.instances
            }
            domains.add(self.domain)
        sent = self._send_jobs_to(domains)
        if not changes.has_long_part:
            self._replay.short_messages += sent

    def _send_jobs_to(self, domains: set[int] | None) -> int:
        """Send the jobs to the nodes in some domains; return how many that are.

        None stands for all domains.
        """
        jobs = self.jobs.own_jobs(self._replay.now)
        receivers = [
            node
            for node in self._replay.nodes
            if node is not self and (domains is None or node.domain in domains)
        ]
        for node in receivers:
            self._replay.call_later(
                self._replay.network_delay_s, _JobsMessage(self, node, jobs)
            )
        return len(receivers)

    @property
    def name(self) -> str:
        return self._name

    def receive_jobs(self, name: str, jobs: tuple[Job, ...]) -> None:
        self.jobs.update_peer(name, jobs, self._replay.now)


class _JobsMessage:
    """A message from one node to another with the sender's jobs; a call delivers it."""

    __slots__ = ("_jobs", "_receiver", "_sender")

    def __init__(self, sender: _Node, receiver: _Node, jobs: tuple[Job, ...]) -> None:
        self._sender, self._receiver, self._jobs = sender, receiver, jobs

    def __call__(self) -> None:
        self._receiver.receive_jobs(self._sender.name, self._jobs)


class _PromptRun:
    """The processing of one prompt from its arrival to its last event."""

    def __init__(
        self, replay: Replay, node: _Node, request_id: str, result: PromptResult
    ) -> None:
        self._replay = replay
        self._node = node
        self._request_id = request_id
        self._result = result
        self._kind = replay.trace.kinds[result.arrival.kind]
        self._deadline_at = result.arrival.at + self._kind.timeout_s
        self._parts_left = 0
        self._main: SimulatedEngine | None = None
        self._last_event_at = 0.0
        self._max_output_tokens = result.arrival.events * replay.trace.model.stride

    def place(self) -> None:
        """Place the prompt; if no engine is free, try again after the poll interval.

        A prompt that waits too long for an engine is refused.
        """
        now, arrival = self._replay.now, self._result.arrival
        target_s = self._kind.target_s - (now - arrival.at)
        gap_target_s = self._kind.gap_target_s
        prompt = Prompt(arrival.tokens, self._max_output_tokens, target_s, gap_target_s)
        engines, model = self._node.candidates(), self._replay.trace.model
        placement = place_prompt(prompt, engines, model)
        if placement is None and prompt.tokens > MIN_GROUP_TOKENS:
            placement = place_group(prompt, engines, model, GROUP_MEMORY_SETTINGS)
        if placement is None:
            if now - arrival.at < MAX_WAIT_SHARE * self._kind.timeout_s:
                self._replay.call_later(POLL_INTERVAL_S, self.place)
            return
        jobs = _plan_jobs(prompt, placement)
        self._node.jobs.start(self._request_id, jobs, now)
        if placement.start_delay_s > 0:
            latest_at = now + MAX_HOLD_SHARE * (self._deadline_at - now)
            self._hold(placement, now + placement.start_delay_s, latest_at)
        else:
            self._send(placement)

    def _hold(
        self, placement: PromptPlacement, planned_at: float, latest_at: float
    ) -> None:
        now, jobs = self._replay.now, self._node.jobs
        prefills_end_at = jobs.earlier_prefills_end_at(self._request_id, now)
        if prefills_end_at is None or now >= min(
            latest_at, max(prefills_end_at, planned_at) + MAX_EXTRA_HOLD_S
        ):
            jobs.mark_sent(self._request_id, now)
            self._send(placement)
            return
        self._replay.call_later(
            HOLD_CHECK_INTERVAL_S, lambda: self._hold(placement, planned_at, latest_at)
        )

    def _send(self, placement: PromptPlacement) -> None:
        main = self._replay.engines[int(placement.main)]
        self._main = main
        self._replay.call_later(
            self._replay.network_delay_s,
            lambda: main.acquire_slot(lambda: self._start_prefill(placement)),
        )

    def _start_prefill(self, placement: PromptPlacement) -> None:
        names = (placement.main, *placement.helpers)
        self._parts_left = len(names)
        tokens = self._result.arrival.tokens / len(names)
        main = self._replay.engines[int(placement.main)]
        for name in names:
            engine = self._replay.engines[int(name)]
            engine.start_prefill(
                PrefillPart(
                    tokens,
                    placement.part_prefill_s,
                    lambda: self._on_part_prefilled(main),
                )
            )

    def _on_part_prefilled(self, main: SimulatedEngine) -> None:
        self._parts_left -= 1
        if self._parts_left == 0:
            arrival = self._result.arrival
            # The first event is sent with the first token, at the end of the last part.
            events = max(1, arrival.events)
            self._on_event(is_last=events == 1)
            if events > 1:
                main.start_decode(
                    DecodeStream(events - 1, arrival.tokens, self._on_event)
                )

    def _on_event(self, is_last: bool) -> None:
        now, result, jobs = self._replay.now, self._result, self._node.jobs
        if result.first_event_s is None:
            result.first_event_s = (
                now + self._replay.network_delay_s - result.arrival.at
            )
            result.outcome = (
                "in_time" if result.first_event_s <= self._kind.target_s else "late"
            )
            jobs.mark_decoding(self._request_id)
        else:
            result.longest_pause_s = max(
                result.longest_pause_s, now - self._last_event_at
            )
            if result.longest_pause_s > self._kind.gap_target_s:
                result.outcome = "late"
        if result.outcome == "late":
            jobs.mark_late(self._request_id)
        self._last_event_at = now
        if is_last:
            jobs.finish(self._request_id)
            assert self._main is not None
            self._main.release_slot()


def _plan_jobs(prompt: Prompt, placement: PromptPlacement) -> list[Job]:
    age_s, part_prefill_s = -placement.start_delay_s, placement.part_prefill_s
    is_held = placement.start_delay_s > 0
    reserved = {part.engine: part.tokens for part in placement.reserved}
    context_tokens = prompt.tokens // max(1, len(reserved))
    main = Job(
        placement.main,
        Phase.PREFILL,
        age_s,
        part_prefill_s,
        context_tokens,
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
                age_s,
                part_prefill_s,
                context_tokens if name in reserved else 0,
                reserved.get(name, 0),
                is_held=is_held,
            )
            for name in placement.helpers
        ),
    ]


def measure(trace: Trace, results: Sequence[PromptResult]) -> dict[str, Any]:
    """Return counts and times by kind, the share of value earned and the worst window.

    The worst window is the one with the lowest share of its prompts' value earned.
    """
    kinds = {}
    for name, kind in trace.kinds.items():
        kind_results = [result for result in results if result.arrival.kind == name]
        first_event_times = sorted(
            result.first_event_s
            for result in kind_results
            if result.first_event_s is not None
        )
        outcomes = [result.outcome for result in kind_results]
        kinds[name] = {
            "asked": len(kind_results),
            "in_time": outcomes.count("in_time"),
            "late": outcomes.count("late"),
            "refused": outcomes.count("refused"),
            "first_p50_s": round(_quantile(first_event_times, 0.5), 3),
            "first_p95_s": round(_quantile(first_event_times, 0.95), 3),
            "slow_pauses": sum(
                result.longest_pause_s > kind.gap_target_s for result in kind_results
            ),
        }
    windows: dict[int, list[PromptResult]] = {}
    for result in results:
        windows.setdefault(int(result.arrival.at // WINDOW_S), []).append(result)
    served = {
        window: _served_share(trace, window_results)
        for window, window_results in windows.items()
    }
    worst = min(served, key=lambda window: served[window])
    return {
        "day": trace.name,
        "kinds": kinds,
        "served": round(_served_share(trace, results), 3),
        "worst_window": {
            "from_s": worst * WINDOW_S,
            "served": round(served[worst], 3),
        },
    }


def forced_loss(trace: Trace) -> float:
    """Return a lower bound of the share of the value that no placement could earn.

    The bound considers only prefill time. Prompts that arrive in a span of time must be
    prefilled between its start and the latest target after its end. Those that do not
    fit into the engines' time are late at best; those with the most prefill time for
    their value are left out first. Passes, memory, the order of parts and the targets
    of pauses are ignored, so the real loss may be far above the bound.
    """
    total = sum(trace.kinds[arrival.kind].value for arrival in trace.arrivals)
    latest_target_s = max(kind.target_s for kind in trace.kinds.values())
    work = [
        (
            arrival.at,
            prefill_s(trace.model, arrival.tokens),
            trace.kinds[arrival.kind].value,
        )
        for arrival in trace.arrivals
    ]
    starts = sorted(
        {
            arrival.at
            for arrival in trace.arrivals
            if arrival.tokens >= LONG_PROMPT_TOKENS
        }
    )
    worst = 0.0
    for index, start in enumerate(starts):
        for end in starts[index:]:
            free_s = trace.engines * (end - start + latest_target_s)
            prompts = [
                (needed_s, value) for at, needed_s, value in work if start <= at <= end
            ]
            lost_value = 0.0
            for prompt_prefill_s, value in sorted(prompts, key=_prefill_s_per_value):
                lost_value += value * max(
                    0.0, 1.0 - max(0.0, free_s) / prompt_prefill_s
                )
                free_s -= prompt_prefill_s
            worst = max(worst, lost_value)
    return worst * (1.0 - LATE_VALUE_SHARE) / total


def _prefill_s_per_value(prompt: tuple[float, float]) -> float:
    return prompt[0] / prompt[1]


def _served_share(trace: Trace, results: Sequence[PromptResult]) -> float:
    """Return the share of their value that prompts earned."""
    shares = {"in_time": 1.0, "late": LATE_VALUE_SHARE, "refused": 0.0}
    values = [trace.kinds[result.arrival.kind].value for result in results]
    earned = sum(
        value * shares[result.outcome]
        for value, result in zip(values, results, strict=True)
    )
    return earned / sum(values)


def _quantile(ordered: Sequence[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def to_json_line(figures: dict[str, Any]) -> str:
    """Return figures as one line of JSON."""
    return json.dumps(figures)
