"""Print where a request on the users' platform would go now."""

from typing import Any, Literal

import msgspec

from dandelionpond_ctl.folder import print_table

# Terms of a prompt's prediction and of a call's cost, with the titles of their columns.
_ENGINE_COLUMNS = {
    "queue_s": "queue",
    "prefill_s": "prefill",
    "step_s": "step",
    "first_event_s": "first event",
    "late_cost": "late",
    "pause_cost": "pauses",
    "other_cost": "other",
    "slot_cost": "slots",
    "unused_cost": "unused",
    "delay_cost": "delay",
    "cost": "cost",
    "cached_tokens": "cached",
}
_WORKER_COLUMNS = {
    "load_cost": "load",
    "failure_cost": "failures",
    "remote_cost": "remote",
    "random_cost": "random",
    "cost": "cost",
}


class DecisionReply(msgspec.Struct, frozen=True):
    """Whether the request would be admitted, wait or be refused now, and why."""

    verdict: Literal["admitted", "waits", "refused"]
    reason: str
    wait_s: float | None = None
    retry_after_s: float | None = None


class ChoiceReply(msgspec.Struct, frozen=True):
    """The upstreams that would get the request."""

    main: str
    helpers: tuple[str, ...]
    first_event_s: float
    part_prefill_s: float
    cost: float
    reserved: tuple[dict[str, Any], ...] = ()
    start_delay_s: float = 0.0


class UpstreamReply(msgspec.Struct, frozen=True):
    """An upstream that accepts requests, with the terms of its prediction."""

    upstream: str
    role: str | None = None
    rule: str | None = None
    engine: dict[str, Any] | None = None
    worker: dict[str, Any] | None = None


class PlatformReply(msgspec.Struct, frozen=True):
    """The answer of `/v1/where` at the metrics address of a node."""

    node: str
    version: int
    list_age_s: float | None
    method: str
    route: str
    kind: str
    service: str
    account: str | None
    priority: int | None
    share_used: float
    waiting_of_account: int
    waiting: int
    prompt_tokens: int
    max_output_tokens: int
    time_limit_s: float
    decision: DecisionReply
    choice: ChoiceReply | None
    candidates: list[UpstreamReply]
    excluded: dict[str, str]
    left_out: int


def is_platform_request(request: dict[str, Any]) -> bool:
    """Return whether a body describes a request on the users' platform."""
    return "path" in request and "model" not in request


def print_reply(reply: PlatformReply) -> None:
    """Print the answer of one node as text."""
    account = "no client account"
    if reply.account is not None:
        account = (
            f"client account {reply.account} (uses {100 * reply.share_used:.1f} % of "
            f"the engine time, {reply.waiting_of_account} waiting here)"
        )
    print(
        f"{reply.node}: route {reply.route} ({reply.kind}), service {reply.service}, "
        f"{account}, priority {reply.priority}"
    )
    print(
        f"  {reply.prompt_tokens} prompt tokens, at most {reply.max_output_tokens} "
        f"generated, limit {reply.time_limit_s:g} s; {reply.waiting} prompts wait here"
    )
    print(f"  {_decision_text(reply.decision)}")
    choice = reply.choice
    if choice is not None:
        helpers = f" with {', '.join(choice.helpers)}" if choice.helpers else ""
        time = (
            f", first event predicted after {choice.first_event_s:.3f} s"
            if reply.kind == "stream"
            else ""
        )
        print(f"  choice: {choice.main}{helpers}{time}")
    has_engines = any(row.engine is not None for row in reply.candidates)
    columns = _ENGINE_COLUMNS if has_engines else _WORKER_COLUMNS
    rows = [_format_row(row, columns) for row in reply.candidates]
    rows += [
        (name, rule, *[""] * len(columns)) for name, rule in reply.excluded.items()
    ]
    print_table(("upstream", "rule", *columns.values()), rows)
    if reply.left_out:
        print(f"  {reply.left_out} more upstreams are left out")


def _decision_text(decision: DecisionReply) -> str:
    match decision:
        case DecisionReply("admitted", reason):
            return f"it would be admitted now: {reason}"
        case DecisionReply("waits", reason, wait_s):
            time = "" if wait_s is None else f", about {wait_s:.3f} s"
            return f"it would wait{time}: {reason}"
        case DecisionReply(_, reason, _, retry_after_s):
            time = f" (Retry-After {retry_after_s or 0.0:.3f} s)"
            return f"it would be refused{time}: {reason}"


def _format_row(row: UpstreamReply, columns: dict[str, str]) -> tuple[str, ...]:
    terms = row.engine or row.worker or {}
    return (
        row.upstream,
        row.role or row.rule or "",
        *(f"{terms[name]:.3f}" if name in terms else "" for name in columns),
    )
