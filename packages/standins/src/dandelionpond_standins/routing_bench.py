"""Measure the decision loop alone: spread of load over engines and time per decision.

Engines are queues that drain at a fixed rate; there is no network and no batching. Each
node runs the real load tracker and the real choice on reports that lag. Run it as
`python -m dandelionpond_standins.routing_bench`; the last line is JSON.
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

Policy = Literal["ours", "best", "random"]

_TICK_S = 0.02
_RATE = 20_000.0
_KV_TOKENS = 400_000


class Case(msgspec.Struct, frozen=True):
    """Describe one run; rates are for each engine, times in seconds."""

    nodes: int
    engines: int
    seconds: float
    utilisation: float = 0.7
    requests_per_s: float = 21.0
    report_interval_s: float = 0.5
    lag_s: float = 0.25
    seed: int = 1


class _Engines:
    """Hold the queues of all engines in tokens and the tokens given to each."""

    __slots__ = ("given", "queued", "reports")

    def __init__(self, count: int) -> None:
        self.queued = [0.0] * count
        self.given = [0.0] * count
        self.reports: deque[tuple[float, int, float]] = deque()


def _deliver(
    engines: _Engines,
    case: Case,
    now: float,
    tick: int,
    readers: list[list[LoadTracker]],
    names: list[str],
) -> None:
    phases = max(1, round(case.report_interval_s / _TICK_S))
    for index in range(tick % phases, case.engines, phases):
        engines.reports.append((now, index, engines.queued[index]))
    while engines.reports and engines.reports[0][0] <= now - case.lag_s:
        made, index, queued = engines.reports.popleft()
        report = LoadReport(names[index], now - made, {0: queued}, 0.0)
        for tracker in readers[index]:
            tracker.record_report(report, now)


def _pick(
    policy: Policy,
    tracker: LoadTracker,
    request: RouteRequest,
    settings: RoutingSettings,
    source: random.Random,
    now: float,
) -> str:
    if policy == "random":
        return source.choice(tracker.engines)
    candidates = tuple(
        Candidate(
            name,
            tracker.queue_tokens(name, 0, now),
            _KV_TOKENS,
            _KV_TOKENS,
            _RATE,
            report_age_s=max(0.0, tracker.report_age_s(name, now)),
        )
        for name in tracker.engines
    )
    if policy == "best":
        return min(candidates, key=lambda one: one.queue_tokens).engine
    choice = choose_engine(request, candidates, settings, source.getrandbits(32))
    assert choice.engine is not None
    return choice.engine


def run(case: Case, policy: Policy, settings: RoutingSettings) -> dict[str, float]:
    """Return spread of work and of queues over engines, and CPU time per decision.

    `*_over_mean` compare the tokens given to engines over the run; `queue_*_s` are
    waiting times over all engines and ticks of the second half.
    """
    source = random.Random(case.seed)
    names = [f"engine-{index}" for index in range(case.engines)]
    places = {name: index for index, name in enumerate(names)}
    readers: list[list[LoadTracker]] = [[] for _ in names]
    trackers: list[LoadTracker] = []
    traits = EngineCapacity(_KV_TOKENS, _RATE, 2_000.0)
    started = time.process_time()
    for index in range(case.nodes):
        reach = select_engines_in_reach(f"node-{index}", names, settings)
        tracker = LoadTracker(settings)
        tracker.set_engines(dict.fromkeys(reach, traits))
        trackers.append(tracker)
        for name in reach:
            readers[places[name]].append(tracker)
    reach_s = (time.process_time() - started) / case.nodes
    engines = _Engines(case.engines)
    mean_tokens = case.utilisation * _RATE / case.requests_per_s
    per_tick = case.requests_per_s * case.engines * _TICK_S
    open_sends: deque[tuple[float, LoadTracker, str]] = deque()
    waits: list[float] = []
    decisions = 0
    spent = 0.0
    ticks = round(case.seconds / _TICK_S)
    for tick in range(ticks):
        now = 10.0 + tick * _TICK_S
        engines.queued = [max(0.0, q - _RATE * _TICK_S) for q in engines.queued]
        _deliver(engines, case, now, tick, readers, names)
        while open_sends and open_sends[0][0] <= now:
            _, done, request_id = open_sends.popleft()
            done.record_first_token(request_id, now)
            done.record_finished(request_id, now)
        arriving = int(per_tick) + (source.random() < per_tick % 1.0)
        for _ in range(arriving):
            tracker = source.choice(trackers)
            tokens = max(1, int(source.expovariate(1.0 / mean_tokens)))
            request = RouteRequest(str(decisions), tokens, 0, 60.0)
            begin = time.process_time()
            name = _pick(policy, tracker, request, settings, source, now)
            spent += time.process_time() - begin
            decisions += 1
            index = places[name]
            engines.queued[index] += tokens
            engines.given[index] += tokens
            wait = engines.queued[index] / _RATE
            tracker.record_sent(request.request_id, name, tokens, tokens, 0, wait, now)
            open_sends.append((now + wait, tracker, request.request_id))
        if tick >= ticks // 2:
            waits.extend(queued / _RATE for queued in engines.queued)
    given = sorted(engines.given)
    mean = sum(given) / len(given)
    waits.sort()
    return {
        "max_over_mean": given[-1] / mean,
        "p99_over_mean": given[int(0.99 * (len(given) - 1))] / mean,
        "queue_mean_s": sum(waits) / len(waits),
        "queue_p99_s": waits[int(0.99 * (len(waits) - 1))],
        "queue_max_s": waits[-1],
        "cpu_us_per_decision": spent / decisions * 1e6,
        "cpu_ms_reach": reach_s * 1e3,
        "decisions": decisions,
    }


def main(
    *,
    small_seconds: float = 20.0,
    large_seconds: float = 2.0,
    choices: int = RoutingSettings().choices,
    seed: int = 1,
) -> None:
    """Run 20 nodes with 20 engines and 3,500 nodes with 10,000 engines."""
    settings = RoutingSettings(choices=choices)
    cases = {
        "20x20": Case(20, 20, small_seconds, seed=seed),
        "3500x10000": Case(3_500, 10_000, large_seconds, seed=seed),
    }
    policies: tuple[Policy, ...] = ("ours", "best", "random")
    result = {
        name: {policy: run(case, policy, settings) for policy in policies}
        for name, case in cases.items()
    }
    print(json.dumps(result))


if __name__ == "__main__":
    cyclopts.run(main)
