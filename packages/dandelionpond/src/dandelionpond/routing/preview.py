"""Explanation of where a prompt would go now, without placing it."""

from typing import Literal

import msgspec

from dandelionpond.routing.choice import (
    Candidate,
    Reason,
    RouteRequest,
    choose_engine,
    predict,
)
from dandelionpond.routing.settings import RoutingSettings

# Which of several engines with about the same cost is drawn depends on the seed.
_SEED = 0

Rule = Reason | Literal["model_not_served", "model_not_ready", "not_in_group"]


class EnginePreview(msgspec.Struct, frozen=True):
    """One engine with the terms of its prediction, in seconds.

    `rule` is why it would not get the prompt, or None if it would. `not_drawn` means
    that it costs about as much as the chosen one and may be drawn as well. The terms
    are those of `FirstTokenPrediction`; an engine that does not serve the model has
    none.
    """

    engine: str
    rule: Rule | None
    state: str = ""
    role: str = ""
    wait_s: float | None = None
    prefill_s: float | None = None
    step_delay_s: float | None = None
    others_s: float | None = None
    cost_s: float | None = None
    saved_s: float | None = None
    cached_tokens: float | None = None
    queue_tokens: float | None = None
    free_tokens: float | None = None
    report_age_s: float | None = None


class PlacementPreview(msgspec.Struct, frozen=True):
    """Where a prompt would go now.

    `engines` is empty if it would wait in the queue of this node; it has several names
    for a prompt that needs a group.
    """

    engines: tuple[str, ...]
    ttft_s: float | None
    priority: int
    prompt_tokens: int
    max_tokens: int
    candidates: tuple[EnginePreview, ...]


def preview_choice(
    request: RouteRequest,
    candidates: tuple[Candidate, ...],
    absent: dict[str, Rule],
    group: tuple[str, ...] | None,
    policy: RoutingSettings,
) -> PlacementPreview:
    """Return the outcome of a choice with each term and each exclusion.

    `absent` are the engines that cannot serve the model, with the rule. `group` is None
    if one engine can hold the prompt, and else the engines that would share it.
    """
    engines: tuple[str, ...]
    rules: dict[str, Rule]
    if group is None:
        choice = choose_engine(request, candidates, policy, _SEED)
        engines = () if choice.engine is None else (choice.engine,)
        ttft_s = choice.ttft_s if choice.ttft_s < float("inf") else None
        rules = {refused.engine: refused.reason for refused in choice.refused}
    else:
        engines, ttft_s = group, None
        rules = {
            candidate.engine: "not_in_group"
            for candidate in candidates
            if candidate.engine not in group
        }
    previews = [
        _preview_engine(request, candidate, rules.get(candidate.engine), policy)
        for candidate in candidates
    ]
    previews.sort(key=lambda preview: (preview.rule is not None, preview.cost_s))
    previews += [EnginePreview(name, rule) for name, rule in sorted(absent.items())]
    return PlacementPreview(
        engines,
        ttft_s,
        request.priority,
        request.prompt_tokens,
        request.max_tokens,
        tuple(previews),
    )


def _preview_engine(
    request: RouteRequest,
    candidate: Candidate,
    rule: Rule | None,
    policy: RoutingSettings,
) -> EnginePreview:
    prediction = predict(request, candidate, policy)
    return EnginePreview(
        candidate.engine,
        rule,
        candidate.state,
        candidate.role,
        prediction.wait_s,
        prediction.prefill_s,
        prediction.step_delay_s,
        prediction.others_s,
        prediction.cost_s,
        prediction.saved_s,
        candidate.cached_tokens,
        candidate.queue_tokens,
        candidate.free_tokens,
        candidate.report_age_s,
    )
