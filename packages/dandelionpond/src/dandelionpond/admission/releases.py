"""Predict when slots of a service's engines will be free, from outstanding jobs."""

import math
from collections.abc import Iterable, Sequence

import msgspec

from dandelionpond.placement.engine_time import decode_pass_s, prefill_s
from dandelionpond.placement.jobs import Job
from dandelionpond.published.messages import EngineCostModel

# Share of a job's time that counts as remaining when it has run for longer than
# predicted, because the lengths of responses are estimates.
OVERDUE_SHARE = 0.1
MIN_JOB_S = 0.02
# Bounds of the ratio of an actual to a predicted duration, and the weight of one answer
# in the average.
RATIO_BOUNDS = (0.1, 3.0)
RATIO_WEIGHT = 0.1


class Capacity(msgspec.Struct, frozen=True):
    """The free slots of a service and the predicted times of the next releases.

    `releases_s` are the seconds until each slot in use is free, in ascending order.
    `rate_per_s` is how many slots are released per second while all are in use.
    """

    free: int = 0
    releases_s: tuple[float, ...] = ()
    rate_per_s: float = 0.0

    def wait_s(self, ahead: int) -> float:
        """Return the wait of a prompt with this many prompts ahead of it."""
        index = ahead - self.free
        if index < 0:
            return 0.0
        if index < len(self.releases_s):
            return self.releases_s[index]
        if self.rate_per_s <= 0:
            return math.inf
        last = self.releases_s[-1] if self.releases_s else 0.0
        return last + (index - len(self.releases_s) + 1) / self.rate_per_s


class DurationRatio:
    """The ratio of actual to predicted durations of complete answers.

    Callers state the longest answer that they accept; most are shorter.
    """

    __slots__ = ("ratio",)

    def __init__(self) -> None:
        self.ratio = 1.0

    def record(self, took_s: float, predicted_s: float) -> None:
        """Record a complete answer."""
        if predicted_s > 0:
            low, high = RATIO_BOUNDS
            measured = min(high, max(low, took_s / predicted_s))
            self.ratio += RATIO_WEIGHT * (measured - self.ratio)


def token_step_s(jobs: Sequence[tuple[Job, float]], model: EngineCostModel) -> float:
    """Return the time of one token step of an engine with these jobs in its slots."""
    context = sum(job.context_tokens for job, _ in jobs)
    return decode_pass_s(model, len(jobs), context) / max(1, model.stride)


def predict_capacity(
    engines: Iterable[Sequence[tuple[Job, float]]],
    model: EngineCostModel,
    duration_ratio: float = 1.0,
) -> Capacity:
    """Return the capacity of engines, each given by the jobs and ages in its slots.

    Predicted durations are multiplied by `duration_ratio`.
    """
    free, rate_per_s, releases = 0, 0.0, []
    for jobs in engines:
        free += max(0, model.slots - len(jobs))
        step_s = token_step_s(jobs, model)
        for job, age_s in jobs:
            output_tokens = max(0, job.memory_tokens - job.context_tokens)
            predicted_s = job.prefill_s + output_tokens * step_s
            duration_s = max(MIN_JOB_S, predicted_s * duration_ratio, age_s)
            left_s = max(duration_s - age_s, OVERDUE_SHARE * duration_s)
            releases.append(left_s)
            # A slot that is always in use by such jobs is released at this rate.
            rate_per_s += 1 / duration_s
    return Capacity(free, tuple(sorted(releases)), rate_per_s)


def engine_seconds(
    model: EngineCostModel, prompt_tokens: int, output_tokens: int
) -> float:
    """Return the engine time of a prompt: its prefill and its part of decode steps."""
    context = model.slots * (prompt_tokens + output_tokens // 2)
    step_s = decode_pass_s(model, model.slots, context) / max(1, model.stride)
    decode_s = output_tokens * step_s / max(1, model.slots)
    return prefill_s(model, prompt_tokens) + decode_s
