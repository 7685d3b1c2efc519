"""Reduce the outcomes of runs to figures."""

import statistics

from hdrh.histogram import HdrHistogram

from dandelionpond_standins.bench.fleet import Outcome
from dandelionpond_standins.bench.workload import (
    ACCOUNT_DEMANDS,
    LENGTH_RANGES,
    LONG_PROMPT_TOKENS,
    length_range,
)
from dandelionpond_standins.engine_model import EngineSpec, ideal_ttft

# Histograms hold thousandths: of a second, or of the ideal time.
_UNIT = 1_000
_HIGHEST = 100_000 * _UNIT


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, _HIGHEST, 3)


def percentile(histogram: HdrHistogram, percent: float) -> float | None:
    """Return a percentile in units, or None without values."""
    if histogram.get_total_count() == 0:
        return None
    return float(histogram.get_value_at_percentile(percent)) / _UNIT


def jain_index(values: list[float]) -> float:
    """Return Jain's index: 1 if all values are equal, 1/n if one has everything."""
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 0.0


def max_min_fair_shares(demands: dict[str, float], total: float) -> dict[str, float]:
    """Return the max-min fair part of a total for each demand."""
    parts: dict[str, float] = {}
    left = total
    ordered = sorted(demands.items(), key=lambda pair: pair[1])
    for index, (name, demand) in enumerate(ordered):
        parts[name] = min(demand, left / (len(ordered) - index))
        left -= parts[name]
    return parts


def measure(
    outcomes: dict[str, Outcome], spec: EngineSpec, start: float, end: float
) -> dict[str, object]:
    """Return the figures of one run, over arrivals from `start` to `end` seconds.

    Goodput is prompt and answer tokens per second of requests that finished in time
    and between `start` and `end`, whenever they arrived. An account's satisfaction is
    its served tokens over its max-min fair part of all served tokens.
    """
    chosen = [one for one in outcomes.values() if start <= one.arrival.at < end]
    ratios = {name: _histogram() for name in LENGTH_RANGES}
    short = _histogram()
    refusal = _histogram()
    every = _histogram()
    demands = dict.fromkeys(ACCOUNT_DEMANDS, 0.0)
    served = dict.fromkeys(ACCOUNT_DEMANDS, 0.0)
    longs = long_done = late = refused = 0
    for one in chosen:
        arrival = one.arrival
        demands[arrival.account] += arrival.tokens
        is_long = arrival.prompt_tokens > LONG_PROMPT_TOKENS
        longs += is_long
        if one.finished_s is not None:
            served[arrival.account] += arrival.tokens
            long_done += is_long
        elif one.refused in ("timeout", "deadline_before_send"):
            late += 1
        else:
            refused += 1
            refusal.record_value(max(1, round(one.refused_s * _UNIT)))
        if one.ttft_s is not None:
            ratio = one.ttft_s / ideal_ttft(spec, arrival.prompt_tokens, 0)
            name = length_range(arrival.prompt_tokens)
            ratios[name].record_value(max(1, min(_HIGHEST, round(ratio * _UNIT))))
            every.record_value(max(1, min(_HIGHEST, round(ratio * _UNIT))))
            if name == LENGTH_RANGES[0]:
                short.record_value(max(1, round(one.ttft_s * _UNIT)))
    goodput = sum(
        one.arrival.tokens
        for one in outcomes.values()
        if one.finished_s is not None and start <= one.arrival.at + one.finished_s < end
    ) / (end - start)
    parts = max_min_fair_shares(demands, sum(served.values()))
    satisfied = [served[name] / parts[name] for name in parts if parts[name] > 0]
    return {
        "requests": len(chosen),
        "short_ttft_p50_s": percentile(short, 50),
        "short_ttft_p95_s": percentile(short, 95),
        "short_ttft_p99_s": percentile(short, 99),
        "ttft_p95_over_ideal": {
            name: percentile(histogram, 95) for name, histogram in ratios.items()
        },
        "ttft_p95_over_ideal_all": percentile(every, 95),
        "long_completed_share": long_done / longs if longs else None,
        "goodput_tokens_per_s": goodput,
        "jain": jain_index(satisfied),
        "min_satisfaction": min(satisfied, default=None),
        "refused_share": refused / len(chosen),
        "late_share": late / len(chosen),
        "refusal_p99_ms": percentile(refusal, 99),
    }


def median_and_range(values: list[float | None]) -> dict[str, float] | None:
    """Return median and range over seeds, or None if a value is missing."""
    known = [value for value in values if value is not None]
    if not known or len(known) < len(values):
        return None
    return {
        "median": round(statistics.median(known), 4),
        "min": round(min(known), 4),
        "max": round(max(known), 4),
    }
