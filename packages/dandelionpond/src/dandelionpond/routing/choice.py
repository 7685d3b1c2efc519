"""Engine selection for one request, as a pure function of its recorded input."""

import random
from typing import Literal

import msgspec

from dandelionpond.prefixes.prediction import (
    FirstTokenPrediction,
    predict_first_token,
)
from dandelionpond.routing.settings import RoutingSettings

MAX_CANDIDATES = 32

# Smallest weight of an engine in slow start. Without it, an engine that has just
# returned would get no requests and its recovery could not be observed.
_MIN_START_SHARE = 0.05

Role = Literal["general", "short", "long"]
State = Literal["live", "suspect", "ejected", "leaving", "gone", "paused", "ramping"]
Reason = Literal[
    "over_candidate_limit",
    "leaving",
    "gone",
    "paused",
    "ramping",
    "ejected",
    "suspect",
    "stale_report",
    "reserved",
    "prompt_too_large",
    "insufficient_memory",
    "window_full",
    "deadline",
    "not_sampled",
    "slower",
    "not_drawn",
]

# Reasons that can clear without intervention while the request waits in the queue.
_TRANSIENT_REASONS: tuple[Reason, ...] = ("window_full", "insufficient_memory")


class RouteRequest(msgspec.Struct, frozen=True):
    """A request to route.

    `remaining_s` is the time until the deadline. Engines serve smaller `priority`
    numbers first.
    """

    request_id: str
    prompt_tokens: int
    max_tokens: int
    remaining_s: float
    priority: int = 0

    @property
    def kv_tokens(self) -> int:
        """The engine memory that the finished request occupies, in tokens."""
        return self.prompt_tokens + self.max_tokens


class Candidate(msgspec.Struct, frozen=True):
    """One engine as this node sees it at the time of the decision.

    `queue_tokens` is the uncached prefill that the engine serves before the request.
    `free_tokens` is the engine memory available to the request's length class.
    `cached_tokens` is the part of the prompt expected in the engine's prefix cache,
    weighted by the certainty of that information. `correction` is a learned factor on
    the time estimate. `later_tokens` is less urgent prefill that the request would
    delay. `delay_s` is the extra time of an engine step that the request shares with
    such prefill. `start_share` grows from 0 to 1 during slow start. `window_open` is
    false when this node has reached its concurrency limit for the engine. `is_home`
    marks the engines that this node prefers among near-equal ones and that other nodes
    avoid. The state `paused` means that the engine wants no requests for a time, and
    `ramping` that it got as many as it may get so soon after that time.
    """

    engine: str
    queue_tokens: float
    free_tokens: float
    capacity_tokens: int
    prefill_tokens_per_s: float
    cached_tokens: float = 0.0
    correction: float = 1.0
    delay_s: float = 0.0
    later_tokens: float = 0.0
    report_age_s: float = 0.0
    start_share: float = 1.0
    state: State = "live"
    role: Role = "general"
    window_open: bool = True
    is_home: bool = False


class RefusedCandidate(msgspec.Struct, frozen=True):
    """A candidate that was not chosen, with the reason."""

    engine: str
    reason: Reason


class RouteChoice(msgspec.Struct, frozen=True):
    """The outcome of a choice: the engine or None, and every refused candidate.

    `ttft_s` is the estimated time to first token of the chosen engine in seconds.
    Without an engine it is the best estimate among the candidates that were refused
    for a transient reason or the deadline, or infinity if there are none.
    """

    engine: str | None
    ttft_s: float
    refused: tuple[RefusedCandidate, ...]


def predict(
    request: RouteRequest, candidate: Candidate, policy: RoutingSettings
) -> FirstTokenPrediction:
    """Return the prediction for a request at one engine."""
    return predict_first_token(
        request.prompt_tokens,
        candidate.cached_tokens,
        candidate.queue_tokens,
        candidate.later_tokens,
        candidate.prefill_tokens_per_s,
        candidate.correction,
        candidate.delay_s,
        policy.impact_weight,
    )


def length_class(
    tokens: int, policy: RoutingSettings
) -> Literal["short", "mid", "long"]:
    """Return the length class of a prompt with this many tokens."""
    if tokens <= policy.short_prompt_tokens:
        return "short"
    return "long" if tokens > policy.long_prompt_tokens else "mid"


def _is_reserved_for_other_lengths(
    request: RouteRequest, role: Role, policy: RoutingSettings
) -> bool:
    return role != "general" and role != length_class(request.prompt_tokens, policy)


def _exclusion_reason(request: RouteRequest, candidate: Candidate) -> Reason | None:
    match candidate.state:
        case "leaving" | "gone" | "ejected" | "paused" | "ramping" as state:
            return state
    if request.kv_tokens > candidate.capacity_tokens:
        return "prompt_too_large"
    if not candidate.window_open:
        return "window_full"
    if request.kv_tokens > candidate.free_tokens:
        return "insufficient_memory"
    return None


def _last_resort_reason(
    request: RouteRequest, candidate: Candidate, policy: RoutingSettings
) -> Reason | None:
    if candidate.state == "suspect":
        return "suspect"
    if candidate.report_age_s > policy.report_stale_s:
        return "stale_report"
    if _is_reserved_for_other_lengths(request, candidate.role, policy):
        return "reserved"
    return None


def _sample(
    eligible: list[Candidate],
    predictions: dict[str, FirstTokenPrediction],
    policy: RoutingSettings,
    rng: random.Random,
) -> list[Candidate]:
    """Draw up to `choices` candidates, those reserved for the request's length first.

    Candidates in slow start are drawn less often. The best of those that hold a part of
    the prompt is added if it was not drawn, because few engines hold it. It is not
    added beside engines that are reserved for the request's length: other nodes send
    long prompts to the rest, which reports show late.
    """
    drawable = [
        candidate
        for candidate in eligible
        if candidate.start_share >= 1.0
        or rng.random() < max(_MIN_START_SHARE, candidate.start_share)
    ]
    pool = drawable or eligible
    reserved = [candidate for candidate in pool if candidate.role != "general"]
    general = [candidate for candidate in pool if candidate.role == "general"]
    general_count = max(1, policy.choices) - len(reserved)
    if general_count <= 0:
        sample = rng.sample(reserved, max(1, policy.choices))
    else:
        sample = reserved + rng.sample(general, min(general_count, len(general)))
    holders = [candidate for candidate in pool if candidate.cached_tokens > 0.0]
    if holders and not reserved:
        best = min(holders, key=lambda holder: predictions[holder.engine].cost_s)
        if best not in sample:
            sample.append(best)
    return sample


def choose_engine(
    request: RouteRequest,
    candidates: tuple[Candidate, ...],
    policy: RoutingSettings,
    seed: int,
) -> RouteChoice:
    """Choose the engine for a request; equal input gives an equal outcome.

    Candidates that are suspect, have a stale report or are reserved for other lengths
    are used only if no other candidate is eligible. A random sample of the eligible
    candidates is compared, and the engine is drawn from those whose cost is nearly the
    lowest, weighted by the inverse of the cost. Many nodes decide on the same lagging
    reports; if each took the cheapest engine, all would take the same one.
    """
    rng = random.Random(seed)
    refused: dict[str, Reason] = {}
    preferred: list[Candidate] = []
    last_resort: list[Candidate] = []
    blocked_ttft_s = float("inf")
    for candidate in candidates[MAX_CANDIDATES:]:
        refused[candidate.engine] = "over_candidate_limit"
    predictions: dict[str, FirstTokenPrediction] = {}
    for candidate in candidates[:MAX_CANDIDATES]:
        prediction = predict(request, candidate, policy)
        predictions[candidate.engine] = prediction
        reason = _exclusion_reason(request, candidate)
        if reason in _TRANSIENT_REASONS:
            blocked_ttft_s = min(blocked_ttft_s, prediction.ttft_s)
        if reason is None and prediction.ttft_s > request.remaining_s:
            reason = "deadline"
            blocked_ttft_s = min(blocked_ttft_s, prediction.ttft_s)
        if reason is not None:
            refused[candidate.engine] = reason
            continue
        reason = _last_resort_reason(request, candidate, policy)
        if reason is not None:
            refused[candidate.engine] = reason
            last_resort.append(candidate)
        else:
            preferred.append(candidate)
    if any(reason in _TRANSIENT_REASONS for reason in refused.values()):
        # The request waits for one of these engines rather than take an engine that is
        # reserved for other lengths.
        last_resort = [
            candidate
            for candidate in last_resort
            if refused[candidate.engine] != "reserved"
        ]
    eligible = preferred or last_resort
    if not eligible:
        return RouteChoice(None, blocked_ttft_s, _to_refusals(refused))
    for candidate in eligible:
        refused[candidate.engine] = "not_sampled"
    sample = _sample(eligible, predictions, policy, rng)
    costs = [predictions[candidate.engine].cost_s for candidate in sample]
    best = min(costs)
    near_equal_limit = best * (1.0 + policy.near_equal_share) + policy.near_equal_s
    weights: list[float] = []
    for candidate, cost in zip(sample, costs, strict=True):
        is_near_best = cost <= near_equal_limit
        refused[candidate.engine] = "not_drawn" if is_near_best else "slower"
        weight = max(_MIN_START_SHARE, candidate.start_share)
        if candidate.is_home:
            weight *= policy.home_weight
        weights.append(weight * (best + 1e-6) / (cost + 1e-6) if is_near_best else 0.0)
    chosen = rng.choices(range(len(sample)), weights)[0]
    del refused[sample[chosen].engine]
    ttft_s = predictions[sample[chosen].engine].ttft_s
    return RouteChoice(sample[chosen].engine, ttft_s, _to_refusals(refused))


def choose_engine_group(
    request: RouteRequest,
    candidates: tuple[Candidate, ...],
    min_engines: int,
) -> tuple[str, ...]:
    """Return the engines for a prompt that exceeds one engine, or an empty tuple.

    Each engine holds an equal part of the prompt. The smallest possible group is used,
    of engines reserved for long prompts first, then of those with the shortest queues.
    The result is sorted by name, which is the order of reservation.
    """
    eligible = [
        candidate
        for candidate in candidates[:MAX_CANDIDATES]
        if candidate.state in ("live", "suspect") and candidate.role != "short"
    ]
    for count in range(min_engines, len(eligible) + 1):
        # Any engine of the group may become the lead, which holds the whole answer.
        part_tokens = -(-request.prompt_tokens // count) + request.max_tokens
        fitting = [
            candidate for candidate in eligible if candidate.free_tokens >= part_tokens
        ]
        if len(fitting) >= count:
            fitting.sort(
                key=lambda candidate: (
                    candidate.role != "long",
                    candidate.queue_tokens,
                    candidate.engine,
                )
            )
            return tuple(sorted(candidate.engine for candidate in fitting[:count]))
    return ()


def _to_refusals(refused: dict[str, Reason]) -> tuple[RefusedCandidate, ...]:
    return tuple(RefusedCandidate(engine, reason) for engine, reason in refused.items())
