"""Choose an engine for one request as a pure function of recorded input."""

import random
from typing import Literal

import msgspec

from dandelionpond.routing.settings import RoutingSettings

MAX_CANDIDATES = 32

# A slow-starting engine keeps a small chance, so that its return is observed at all.
_MIN_START_SHARE = 0.05

Role = Literal["general", "short", "long"]
State = Literal["live", "suspect", "ejected", "leaving", "gone"]
Reason = Literal[
    "over_candidate_limit",
    "leaving",
    "gone",
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


# Reasons that end by themselves while a request waits.
_PASSING: tuple[Reason, ...] = ("window_full", "insufficient_memory")


class RouteRequest(msgspec.Struct, frozen=True):
    """Describe what is routed: token counts, time left in seconds, and urgency.

    An engine serves a smaller `priority` earlier.
    """

    request_id: str
    prompt_tokens: int
    max_tokens: int
    remaining_s: float
    priority: int = 0

    @property
    def kv_tokens(self) -> int:
        """Return the engine memory the request takes at its end, in tokens."""
        return self.prompt_tokens + self.max_tokens


class Candidate(msgspec.Struct, frozen=True):
    """Describe one engine as this node sees it at the time of the decision.

    `queue_tokens` is the uncached prefill that is served before the request.
    `free_tokens` is engine memory left for this request's length class.
    `cached_tokens` is the part of the prompt in the engine's cache, weighted by the
    certainty of that knowledge. `correction` scales the estimate by what was observed.
    `later_tokens` is less urgent prefill that the request would delay; `delay_s` is
    the time that a step shared with it takes longer.
    `start_share` grows from 0 to 1 during slow start. `window_open` is false when the
    node's concurrency limit toward the engine is reached. `is_home` marks the engines
    that this node prefers among equals and other nodes avoid.
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
    """Name a candidate that was not chosen and the reason."""

    engine: str
    reason: Reason


class RouteChoice(msgspec.Struct, frozen=True):
    """Hold the outcome: the engine, or None, and why each other one was refused.

    `ttft_s` is the estimated time to first token in seconds; without an engine it is
    the best estimate among candidates refused only for a passing reason, or infinity.
    """

    engine: str | None
    ttft_s: float
    refused: tuple[RefusedCandidate, ...]


def estimate_ttft(request: RouteRequest, candidate: Candidate) -> float:
    """Return the estimated time to first token in seconds."""
    uncached = max(1.0, request.prompt_tokens - candidate.cached_tokens)
    tokens = candidate.queue_tokens + uncached
    work_s = tokens / candidate.prefill_tokens_per_s * candidate.correction
    return work_s + candidate.delay_s


def estimate_cost(
    request: RouteRequest, candidate: Candidate, policy: RoutingSettings
) -> float:
    """Return the time to first token plus the weighted delay of others, in seconds.

    The request delays less urgent work by its own prefill, but by no more than that
    work has left.
    """
    uncached = max(1.0, request.prompt_tokens - candidate.cached_tokens)
    delayed = min(uncached, candidate.later_tokens) / candidate.prefill_tokens_per_s
    return estimate_ttft(request, candidate) + policy.impact_weight * delayed


def length_class(
    tokens: int, policy: RoutingSettings
) -> Literal["short", "mid", "long"]:
    """Return the length class of a prompt."""
    if tokens <= policy.short_prompt_tokens:
        return "short"
    return "long" if tokens > policy.long_prompt_tokens else "mid"


def _is_reserved(request: RouteRequest, role: Role, policy: RoutingSettings) -> bool:
    return role != "general" and role != length_class(request.prompt_tokens, policy)


def _hard_reason(request: RouteRequest, candidate: Candidate) -> Reason | None:
    match candidate.state:
        case "leaving" | "gone" | "ejected" as state:
            return state
    if request.kv_tokens > candidate.capacity_tokens:
        return "prompt_too_large"
    if not candidate.window_open:
        return "window_full"
    if request.kv_tokens > candidate.free_tokens:
        return "insufficient_memory"
    return None


def _soft_reason(
    request: RouteRequest, candidate: Candidate, policy: RoutingSettings
) -> Reason | None:
    if candidate.state == "suspect":
        return "suspect"
    if candidate.report_age_s > policy.report_stale_s:
        return "stale_report"
    if _is_reserved(request, candidate.role, policy):
        return "reserved"
    return None


def _sample(
    usable: list[Candidate], policy: RoutingSettings, source: random.Random
) -> list[Candidate]:
    """Draw up to `choices` candidates, those reserved for the request's length first.

    Slow-starting ones are drawn less often.
    """
    started = [
        candidate
        for candidate in usable
        if candidate.start_share >= 1.0
        or source.random() < max(_MIN_START_SHARE, candidate.start_share)
    ]
    pool = started or usable
    reserved = [candidate for candidate in pool if candidate.role != "general"]
    others = [candidate for candidate in pool if candidate.role == "general"]
    count = max(1, policy.choices) - len(reserved)
    if count <= 0:
        return source.sample(reserved, max(1, policy.choices))
    return reserved + source.sample(others, min(count, len(others)))


def choose_engine(
    request: RouteRequest,
    candidates: tuple[Candidate, ...],
    policy: RoutingSettings,
    seed: int,
) -> RouteChoice:
    """Choose the engine for a request; equal input gives an equal outcome.

    Candidates in doubt (suspect, stale report, reserved for the other lengths) are used
    only when no other one remains. Among a random sample the engine is drawn from those
    with a nearly equal estimate, weighted by its inverse: many nodes decide on the same
    lagging reports and must not all take the one engine that looks best.
    """
    source = random.Random(seed)
    refused: dict[str, Reason] = {}
    clear: list[Candidate] = []
    doubtful: list[Candidate] = []
    blocked_s = float("inf")
    for candidate in candidates[MAX_CANDIDATES:]:
        refused[candidate.engine] = "over_candidate_limit"
    for candidate in candidates[:MAX_CANDIDATES]:
        reason = _hard_reason(request, candidate)
        if reason in _PASSING:
            blocked_s = min(blocked_s, estimate_ttft(request, candidate))
        if reason is None and estimate_ttft(request, candidate) > request.remaining_s:
            reason = "deadline"
            blocked_s = min(blocked_s, estimate_ttft(request, candidate))
        if reason is not None:
            refused[candidate.engine] = reason
            continue
        reason = _soft_reason(request, candidate, policy)
        if reason is not None:
            refused[candidate.engine] = reason
            doubtful.append(candidate)
        else:
            clear.append(candidate)
    if any(reason in _PASSING for reason in refused.values()):
        # Waiting for an engine is better than breaking a reservation.
        doubtful = [one for one in doubtful if refused[one.engine] != "reserved"]
    usable = clear or doubtful
    if not usable:
        return RouteChoice(None, blocked_s, _as_tuple(refused))
    for candidate in usable:
        refused[candidate.engine] = "not_sampled"
    sample = _sample(usable, policy, source)
    costs = [estimate_cost(request, candidate, policy) for candidate in sample]
    best = min(costs)
    limit = best * (1.0 + policy.near_equal_share) + policy.near_equal_s
    weights: list[float] = []
    for candidate, cost in zip(sample, costs, strict=True):
        near = cost <= limit
        refused[candidate.engine] = "not_drawn" if near else "slower"
        share = max(_MIN_START_SHARE, candidate.start_share)
        if candidate.is_home:
            share *= policy.home_weight
        weights.append(share * (best + 1e-6) / (cost + 1e-6) if near else 0.0)
    drawn = source.choices(range(len(sample)), weights)[0]
    del refused[sample[drawn].engine]
    ttft = estimate_ttft(request, sample[drawn])
    return RouteChoice(sample[drawn].engine, ttft, _as_tuple(refused))


def choose_engine_group(
    request: RouteRequest,
    candidates: tuple[Candidate, ...],
    min_engines: int,
) -> tuple[str, ...]:
    """Return the engines for a prompt beyond one engine, or nothing.

    Each engine holds an equal part. The smallest group wins, then the shortest queues;
    the names are in name order, the order of reservation.
    """
    usable = [
        candidate
        for candidate in candidates[:MAX_CANDIDATES]
        if candidate.state in ("live", "suspect") and candidate.role != "short"
    ]
    for count in range(min_engines, len(usable) + 1):
        # Any of the engines may lead and then holds the whole answer.
        part = -(-request.prompt_tokens // count) + request.max_tokens
        fitting = [candidate for candidate in usable if candidate.free_tokens >= part]
        if len(fitting) >= count:
            fitting.sort(
                key=lambda one: (one.role != "long", one.queue_tokens, one.engine)
            )
            return tuple(sorted(one.engine for one in fitting[:count]))
    return ()


def _as_tuple(refused: dict[str, Reason]) -> tuple[RefusedCandidate, ...]:
    return tuple(RefusedCandidate(engine, reason) for engine, reason in refused.items())
