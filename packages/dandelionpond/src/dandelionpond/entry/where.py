"""Explain where a request would go now, by the code that places requests.

Everything happens on a copy of what choices change, so that nothing is reserved,
counted, recorded or drawn at random for later requests.
"""

from typing import Annotated, Literal

import msgspec
from expression import Error, Ok, Result
from msgspec import Meta

from dandelionpond.admission.messages import Admitted, RefusedForRoom, Wait
from dandelionpond.entry.app import match_route
from dandelionpond.entry.attempts import (
    ALL_EXCLUDED,
    EXCLUDED_RETRY_AFTER_S,
    RETRY_AFTER_S,
    priority_of,
)
from dandelionpond.entry.calls import (
    call_retry_after_s,
    latest_wait_end,
    next_wait_s,
)
from dandelionpond.entry.client_requests import IncomingRequest
from dandelionpond.entry.fleet import Candidates, Fleet
from dandelionpond.entry.prompt_placer import (
    Chosen,
    least_wait_s,
    place_on,
    polling_wait_s,
)
from dandelionpond.entry.room import WaitingRoom
from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.forwarding.messages import RequestHead
from dandelionpond.placement.placement import (
    EngineTerms,
    PlacementTrace,
    PromptPlacement,
    WorkerTerms,
)
from dandelionpond.published.messages import EngineCostModel, Route, RouteKind
from dandelionpond.published.table import RouteTable
from dandelionpond.quarantine.messages import prompt_key

MAX_TOKENS = 10**9
MAX_PARTS = 1_024
# Limit on the upstreams in one answer.
MAX_UPSTREAMS = 512

Tokens = Annotated[int, Meta(ge=0, le=MAX_TOKENS)]
Name = Annotated[str, Meta(max_length=1_024)]


class PartBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A part of a prompt."""

    id: Name
    tokens: Tokens = 0


class WhereBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of `POST /v1/where`, which describes a request.

    The client account is given by its name or by one of its keys. `timeout_s` is how
    long the client waits; without it the time limit of the route holds.
    """

    host: Name
    path: Annotated[str, Meta(min_length=1, max_length=8_192)]
    method: Annotated[str, Meta(min_length=1, max_length=32)] = "POST"
    account: Name | None = None
    key: Name | None = None
    prompt_tokens: Tokens = 0
    max_output_tokens: Tokens = 0
    parts: Annotated[tuple[PartBody, ...], Meta(max_length=MAX_PARTS)] = ()
    timeout_s: Annotated[float, Meta(gt=0, le=86_400)] | None = None


class Decision(msgspec.Struct, frozen=True):
    """Whether a request would be placed now, would wait or be refused, and why.

    `wait_s` is the expected wait, None if it is not predicted.
    """

    verdict: Literal["admitted", "waits", "refused"]
    reason: str
    wait_s: float | None = None
    retry_after_s: float | None = None


class UpstreamTerms(msgspec.Struct, frozen=True):
    """One upstream that accepts requests, with each term of its prediction.

    `role` is main, helper or upstream if it is chosen. Else `rule` says why not:
    `no_free_slot`, `no_free_memory`, `higher_cost`, `later_in_order` (about the same
    cost) or `avoided` (failed recently). Those that were not compared have no terms.
    """

    upstream: str
    role: Literal["main", "helper", "upstream"] | None = None
    rule: str | None = None
    engine: EngineTerms | None = None
    worker: WorkerTerms | None = None


class Explanation(msgspec.Struct, frozen=True):
    """Where a request would go now.

    `excluded` has the rule that keeps each other upstream from the request: a reason of
    `placement.exclusions`, or `busy` for one that got its share of requests in the last
    second. `share_used` is the account's part of the fleet's engine time in about the
    last 10 s. `left_out` is the number of upstreams beyond the limit.
    """

    node: str
    version: int
    list_age_s: float | None
    method: str
    route: str
    kind: RouteKind
    service: str
    account: str | None
    priority: int | None
    share_used: float
    waiting_of_account: int
    waiting: int
    prompt_tokens: int
    max_output_tokens: int
    time_limit_s: float
    decision: Decision
    choice: PromptPlacement | None
    candidates: list[UpstreamTerms]
    excluded: dict[str, str]
    left_out: int


def explain_where(
    live_fleet: Fleet, live_room: WaitingRoom, body: WhereBody
) -> Result[Explanation, Failure]:
    """Return where a request would go now; nothing is changed."""
    table = live_fleet.published.table
    if table is None or not live_fleet.published.is_complete:
        message = "this node has no settings yet"
        return Error(Failure(ErrorKind.SETTINGS_UNAVAILABLE, message))
    fleet = live_fleet.copy_for_preview()
    built = _build_request(fleet, table, body)
    if built.is_error():
        return Error(built.error)
    request = built.ok
    service = table.service(request.service)
    candidates = fleet.candidates(request.service, frozenset(), request)
    trace = PlacementTrace()
    if request.route.kind is RouteKind.STREAM:
        model = None if service is None else service.engine
        blocks: tuple[int, ...] = ()
        if model is not None and model.keeps_prompts:
            tokens = tuple(part.tokens for part in body.parts)
            blocks = fleet.prefixes.split(request.head.part_ids, tokens)
        chosen = place_on(fleet, request, candidates, model, blocks, trace)
        decision = _decide_prompt(fleet, live_room, request, model, candidates, chosen)
        choice = None if chosen is None else chosen[0]
    else:
        upstream = fleet.place_call(candidates.best, request.route.may_repeat, trace)
        decision = _decide_call(fleet, request, candidates, upstream is not None)
        choice = None
        if upstream is not None:
            choice = PromptPlacement(upstream.instance, (), 0.0, 0.0, 0.0)
    return Ok(_describe(fleet, request, body, candidates, decision, choice, trace))


def _build_request(
    fleet: Fleet, table: RouteTable, body: WhereBody
) -> Result[IncomingRequest, Failure]:
    if body.account is not None and body.key is not None:
        message = "give either the name of a client account or one of its keys"
        return _invalid(message, "account")
    key = body.key
    if body.account is not None:
        accounts = (a for a in table.document.accounts if a.name == body.account)
        account = next(accounts, None)
        if account is None or not account.keys:
            message = (
                "the client account is not in the settings of this node"
                if account is None
                else "the client account has no keys, so no request can name it"
            )
            return _invalid(message, "account")
        key = account.keys[0]
    path = body.path.partition("?")[0]
    matched = match_route(table, body.host, path, key)
    match matched:
        case ErrorKind.UNKNOWN_PATH:
            message = "no route of this node has this host and path"
            return Error(Failure(ErrorKind.UNKNOWN_PATH, message, param="path"))
        case ErrorKind.MISSING_KEY:
            return _invalid("the route requires a client account", "account")
        case ErrorKind():
            return _invalid("the key is not in the settings of this node", "key")
        case route, account:
            pass
    # `Fleet.choose_service` draws among several splits only by their weights.
    weights = [split.weight for split in route.splits]
    if not weights or (len(weights) > 1 and sum(weights) <= 0):
        message = "the route of this host and path has no service"
        return Error(Failure(ErrorKind.UNKNOWN_PATH, message, param="path"))
    head = RequestHead(
        "where",
        body.timeout_s,
        key,
        body.prompt_tokens,
        body.max_output_tokens,
        None,
        tuple(part.id for part in body.parts),
    )
    service = fleet.choose_service(route)
    return Ok(
        IncomingRequest(
            body.method, path, (), b"", head, route, service, account, fleet.now()
        )
    )


def _invalid(message: str, param: str) -> Result[IncomingRequest, Failure]:
    return Error(Failure(ErrorKind.INVALID_REQUEST, message, param=param))


def _decide_prompt(
    fleet: Fleet,
    room: WaitingRoom,
    request: IncomingRequest,
    model: EngineCostModel | None,
    candidates: Candidates,
    chosen: Chosen | None,
) -> Decision:
    """Return what `PromptForwarder` would do with a new prompt."""
    account = request.account.name if request.account else None
    key = prompt_key(account, request.head.part_ids)
    quarantined = fleet.preview_quarantine(key)
    if quarantined is not None:
        reason = "a part is in quarantine"
        return Decision("refused", reason, retry_after_s=quarantined.retry_after_s)
    if candidates.is_hopeless:
        return Decision("refused", ALL_EXCLUDED, retry_after_s=EXCLUDED_RETRY_AFTER_S)
    if model is not None:
        if chosen is not None and not fleet.room.is_short(fleet.now()):
            return Decision("admitted", "an engine has room")
        verdict = room.preview(request, model, fleet) if candidates.best else None
        match verdict:
            case Admitted() if chosen is not None:
                return Decision("admitted", "it is first in order for a free slot")
            case Admitted():
                return Decision("waits", "no engine has enough free memory")
            case Wait(expected_s):
                reason = "other prompts precede it, or no slot is free"
                return Decision("waits", reason, wait_s=expected_s)
            case RefusedForRoom(retry_after_s):
                reason = "no turn before the caller gives up, or before its turn"
                return Decision("refused", reason, retry_after_s=retry_after_s)
    if chosen is not None:
        return Decision("admitted", "an upstream has room")
    pause_s = least_wait_s(fleet, request)
    if pause_s >= polling_wait_s(fleet, request):
        reason = "no upstream accepts requests in time"
        return Decision("refused", reason, retry_after_s=pause_s or RETRY_AFTER_S)
    reason = "no upstream has room, or all are cold"
    return Decision("waits", reason, wait_s=pause_s or None)


def _decide_call(
    fleet: Fleet, request: IncomingRequest, candidates: Candidates, is_placed: bool
) -> Decision:
    """Return what `CallForwarder` would do with a new call."""
    if is_placed:
        return Decision("admitted", "an upstream accepts requests")
    wait_until = latest_wait_end(fleet, request)
    if next_wait_s(fleet, request, frozenset(), wait_until) is not None:
        # `next_wait_s` is the time of the next check, which may come before a turn.
        reason = "all upstreams are paused, cold or at their limit"
        return Decision("waits", reason, wait_s=least_wait_s(fleet, request) or None)
    if candidates.is_hopeless:
        return Decision("refused", ALL_EXCLUDED, retry_after_s=EXCLUDED_RETRY_AFTER_S)
    retry_after_s = call_retry_after_s(fleet, request)
    return Decision("refused", "no upstream", retry_after_s=retry_after_s)


def _describe(
    fleet: Fleet,
    request: IncomingRequest,
    body: WhereBody,
    candidates: Candidates,
    decision: Decision,
    choice: PromptPlacement | None,
    trace: PlacementTrace,
) -> Explanation:
    now = fleet.now()
    account = request.account.name if request.account else ""
    used = fleet.room.used(now)
    age_s = fleet.published.list_age_s(now)
    rows = _describe_candidates(request.route, candidates, choice, trace)
    excluded: dict[str, str] = {
        entry.instance: "busy"
        for entry in fleet.published.entries(now)
        if entry.service == request.service
    }
    excluded.update(candidates.excluded)
    for row in rows:
        excluded.pop(row.upstream, None)
    shown = dict(sorted(excluded.items())[:MAX_UPSTREAMS])
    left_out = len(excluded) - len(shown) + max(0, len(rows) - MAX_UPSTREAMS)
    return Explanation(
        fleet.settings.name,
        fleet.published.version,
        None if age_s is None else round(age_s, 3),
        body.method,
        request.route.name,
        request.route.kind,
        request.service,
        account or None,
        priority_of(request),
        round(used.get(account, 0.0) / (sum(used.values()) or 1.0), 3),
        fleet.room.waiting_by_account().get(account, 0),
        len(fleet.room),
        request.head.prompt_tokens,
        request.head.max_output_tokens,
        request.deadline_at - request.arrived_at,
        decision,
        choice,
        rows[:MAX_UPSTREAMS],
        shown,
        left_out,
    )


def _describe_candidates(
    route: Route,
    candidates: Candidates,
    choice: PromptPlacement | None,
    trace: PlacementTrace,
) -> list[UpstreamTerms]:
    """Return the upstreams that may get the request, the chosen and cheap ones first.

    Those in `avoided` are compared only if none of the preferred ones can take it.
    """
    main = None if choice is None else choice.main
    engines = {terms.instance: terms for terms in trace.engines}
    workers = {terms.instance: terms for terms in trace.workers}
    compared: dict[str, EngineTerms | WorkerTerms] = {**engines, **workers}
    main_cost = compared[main].cost if main in compared else None
    rows = []
    for entry in (*candidates.preferred, *candidates.avoided):
        name = entry.instance
        role: Literal["main", "helper", "upstream"] | None = None
        rule = None
        if name == main:
            role = "main" if engines and route.kind is RouteKind.STREAM else "upstream"
        elif choice is not None and name in choice.helpers:
            role = "helper"
        elif name not in compared:
            rule = "avoided"
        else:
            rule = engines[name].rule if name in engines else None
            if rule is None and main_cost is not None:
                is_dearer = compared[name].cost > main_cost
                rule = "higher_cost" if is_dearer else "later_in_order"
        rows.append(
            UpstreamTerms(name, role, rule, engines.get(name), workers.get(name))
        )

    def sort_key(row: UpstreamTerms) -> tuple[bool, bool, float]:
        terms = row.engine or row.worker
        cost = float("inf") if terms is None else terms.cost
        return row.role not in ("main", "upstream"), row.role is None, cost

    return sorted(rows, key=sort_key)
