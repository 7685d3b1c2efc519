"""Benchmark of routing decisions alone: how evenly they spread load and what they cost.

Engines are queues that drain at a fixed rate, without network and batching. Each node
runs the product's load tracker and engine selection on delayed reports. Run it with
`python -m dandelionpond_standins.routing_bench`; the last line of output is JSON.
"""

import json
import random
import time
from collections import deque
from typing import Literal

import cyclopts
import msgspec

from dandelionpond.routing.choice import Candidate, RouteRequest, choose_engine
from dandelionpond.routing.load import EngineCapacity, LoadReport, LoadTracker
from dandelionpond.routing.reach import select_engines_in_reach
from dandelionpond.routing.settings import RoutingSettings

# "ours" is the product's selection, "best" takes the shortest estimated queue.
Policy = Literal["ours", "best", "random"]

_TICK_S = 0.02
_ENGINE_TOKENS_PER_S = 20_000.0
_KV_CAPACITY_TOKENS = 400_000


class RunParameters(msgspec.Struct, frozen=True):
    """The parameters of one run; rates are per engine, times in seconds."""

    nodes: int
    engines: int
    seconds: float
    utilisation: float = 0.7
    requests_per_s: float = 21.0
    report_interval_s: float = 0.5
    lag_s: float = 0.25
    seed: int = 1


class _Engines:
    """The queues of all engines, the tokens sent to each and the reports under way.

    A report is a tuple of its time, the index of the engine and its queued tokens.
    """

    __slots__ = ("queued_tokens", "reports", "sent_tokens")

    def __init__(self, count: int) -> None:
        self.queued_tokens = [0.0] * count
        self.sent_tokens = [0.0] * count
        self.reports: deque[tuple[float, int, float]] = deque()


def _exchange_reports(
    engines: _Engines,
    parameters: RunParameters,
    now: float,
    tick: int,
    trackers_by_engine: list[list[LoadTracker]],
    names: list[str],
) -> None:
    ticks_per_report = max(1, round(parameters.report_interval_s / _TICK_S))
    for index in range(tick % ticks_per_report, parameters.engines, ticks_per_report):
        engines.reports.append((now, index, engines.queued_tokens[index]))
    while engines.reports and engines.reports[0][0] <= now - parameters.lag_s:
        reported_at, index, queued_tokens = engines.reports.popleft()
        report = LoadReport(names[index], now - reported_at, {0: queued_tokens}, 0.0)
        for tracker in trackers_by_engine[index]:
            tracker.record_report(report, now)


def _choose(
    policy: Policy,
    tracker: LoadTracker,
    request: RouteRequest,
    settings: RoutingSettings,
    rng: random.Random,
    now: float,
) -> str:
    if policy == "random":
        return rng.choice(tracker.engines)
    candidates = tuple(
        Candidate(
            name,
            tracker.queue_tokens(name, 0, now),
            _KV_CAPACITY_TOKENS,
            _KV_CAPACITY_TOKENS,
            _ENGINE_TOKENS_PER_S,
            report_age_s=max(0.0, tracker.report_age_s(name, now)),
        )
        for name in tracker.engines
    )
    if policy == "best":
        return min(candidates, key=lambda candidate: candidate.queue_tokens).engine
    choice = choose_engine(request, candidates, settings, rng.getrandbits(32))
    assert choice.engine is not None
    return choice.engine


def run(
    parameters: RunParameters, policy: Policy, settings: RoutingSettings
) -> dict[str, float]:
    """Return how evenly work and queues are spread and the CPU time per decision.

    `*_over_mean` are ratios to the mean of the tokens sent to an engine during the run.
    `queue_*_s` are waiting times over all engines and ticks of the second half.
    `cpu_ms_reach` is the CPU time per node to select the engines in reach.
    """
    rng = random.Random(parameters.seed)
    names = [f"engine-{index}" for index in range(parameters.engines)]
    indexes = {name: index for index, name in enumerate(names)}
    trackers_by_engine: list[list[LoadTracker]] = [[] for _ in names]
    trackers: list[LoadTracker] = []
    capacity = EngineCapacity(_KV_CAPACITY_TOKENS, _ENGINE_TOKENS_PER_S, 2_000.0)
    reach_started = time.process_time()
    for index in range(parameters.nodes):
        reach = select_engines_in_reach(f"node-{index}", names, settings)
        tracker = LoadTracker(settings)
        tracker.set_engines(dict.fromkeys(reach, capacity))
        trackers.append(tracker)
        for name in reach:
            trackers_by_engine[indexes[name]].append(tracker)
    reach_cpu_s = (time.process_time() - reach_started) / parameters.nodes
    engines = _Engines(parameters.engines)
    mean_tokens = (
        parameters.utilisation * _ENGINE_TOKENS_PER_S / parameters.requests_per_s
    )
    requests_per_tick = parameters.requests_per_s * parameters.engines * _TICK_S
    unfinished: deque[tuple[float, LoadTracker, str]] = deque()
    waits_s: list[float] = []
    decisions = 0
    decision_cpu_s = 0.0
    ticks = round(parameters.seconds / _TICK_S)
    for tick in range(ticks):
        now = 10.0 + tick * _TICK_S
        engines.queued_tokens = [
            max(0.0, tokens - _ENGINE_TOKENS_PER_S * _TICK_S)
            for tokens in engines.queued_tokens
        ]
        _exchange_reports(engines, parameters, now, tick, trackers_by_engine, names)
        while unfinished and unfinished[0][0] <= now:
            _, finished_tracker, request_id = unfinished.popleft()
            finished_tracker.record_first_token(request_id, now)
            finished_tracker.record_finished(request_id, now)
        arrival_count = int(requests_per_tick) + (
            rng.random() < requests_per_tick % 1.0
        )
        for _ in range(arrival_count):
            tracker = rng.choice(trackers)
            tokens = max(1, int(rng.expovariate(1.0 / mean_tokens)))
            request = RouteRequest(str(decisions), tokens, 0, 60.0)
            decision_started = time.process_time()
            name = _choose(policy, tracker, request, settings, rng, now)
            decision_cpu_s += time.process_time() - decision_started
            decisions += 1
            index = indexes[name]
            engines.queued_tokens[index] += tokens
            engines.sent_tokens[index] += tokens
            wait_s = engines.queued_tokens[index] / _ENGINE_TOKENS_PER_S
            tracker.record_sent(
                request.request_id, name, tokens, tokens, 0, wait_s, now
            )
            unfinished.append((now + wait_s, tracker, request.request_id))
        if tick >= ticks // 2:
            waits_s.extend(
                queued_tokens / _ENGINE_TOKENS_PER_S
                for queued_tokens in engines.queued_tokens
            )
    sent_tokens = sorted(engines.sent_tokens)
    mean_sent_tokens = sum(sent_tokens) / len(sent_tokens)
    waits_s.sort()
    return {
        "max_over_mean": sent_tokens[-1] / mean_sent_tokens,
        "p99_over_mean": sent_tokens[int(0.99 * (len(sent_tokens) - 1))]
        / mean_sent_tokens,
        "queue_mean_s": sum(waits_s) / len(waits_s),
        "queue_p99_s": waits_s[int(0.99 * (len(waits_s) - 1))],
        "queue_max_s": waits_s[-1],
        "cpu_us_per_decision": decision_cpu_s / decisions * 1e6,
        "cpu_ms_reach": reach_cpu_s * 1e3,
        "decisions": decisions,
    }


def main(
    *,
    small_seconds: float = 20.0,
    large_seconds: float = 2.0,
    choices: int = RoutingSettings().choices,
    seed: int = 1,
) -> None:
    """Run all policies on 20 nodes with 20 engines and on 3,500 with 10,000.

    Parameters
    ----------
    small_seconds
        Simulated seconds of the runs with 20 nodes.
    large_seconds
        Simulated seconds of the runs with 3,500 nodes.
    choices
        The setting `choices` of the product's routing.
    """
    settings = RoutingSettings(choices=choices)
    parameters_by_name = {
        "20x20": RunParameters(20, 20, small_seconds, seed=seed),
        "3500x10000": RunParameters(3_500, 10_000, large_seconds, seed=seed),
    }
    policies: tuple[Policy, ...] = ("ours", "best", "random")
    result = {
        name: {policy: run(parameters, policy, settings) for policy in policies}
        for name, parameters in parameters_by_name.items()
    }
    print(json.dumps(result))


if __name__ == "__main__":
    cyclopts.run(main)
