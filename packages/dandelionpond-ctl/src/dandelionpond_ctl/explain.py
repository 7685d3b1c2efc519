"""Explain how one request was routed."""

import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Any
from urllib.parse import quote

import msgspec

from dandelionpond.decisions import ROUTE
from dandelionpond.record.recorder import DecisionRecord
from dandelionpond.routing.choice import RefusedCandidate, RouteChoice
from dandelionpond.routing.router import RouteInput
from dandelionpond_ctl.exit_codes import FINDINGS, OK
from dandelionpond_ctl.folder import CommandError, print_json, print_table
from dandelionpond_ctl.history import build_history, print_history, read_lines
from dandelionpond_ctl.nodes import (
    DEFAULT_OPTIONS,
    NodeOptions,
    NodeReply,
    connect,
    run_async,
)
from dandelionpond_ctl.user_settings import wants_json


class EngineChoice(msgspec.Struct, frozen=True):
    """A routing decision: the chosen engine and the refused ones.

    `at` is in seconds since the Unix epoch by the node's clock, `estimate_s` the
    estimated time to first token, `remaining_s` the time left to the deadline.
    """

    at: float
    node: str
    seq: int
    engine: str | None
    estimate_s: float | None
    prompt_tokens: int
    remaining_s: float
    state: str
    queue_tokens: float
    cached_tokens: float
    refused: tuple[RefusedCandidate, ...]
    settings_digest: str
    version: str


class _RecordsReply(msgspec.Struct, frozen=True):
    records: list[DecisionRecord]


def explain(
    request_id: str,
    /,
    *files: Path,
    options: NodeOptions = DEFAULT_OPTIONS,
    json: bool | None = None,
) -> int:
    """Show the history of one request: from log files, or from the nodes' records.

    With files, the lines about the request are shown with its cause and with what its
    nodes learned before. Without files the nodes are asked, and each choice of an
    engine is shown, its time, and who was refused why.

    The identifier is that of the header `X-Request-Id` and of the error body. A node
    records the placement of a prompt on one engine, and only the latest ones. It does
    not record tries after the first, prompts on a group of engines, refused requests
    and plain calls.

    Parameters
    ----------
    request_id
        Identifier of the request.
    files
        Log files of any number of nodes; `/dev/stdin` is standard input.
    json
        Print JSON in place of tables.
    """
    if files:
        return _explain_from_logs(request_id, files, json)
    replies = run_async(_fetch_records(options, request_id))
    errors = {reply.node: reply.error for reply in replies if reply.error is not None}
    choices: list[EngineChoice] = []
    for reply in replies:
        if reply.error is None:
            node_choices, invalid_records = parse_choices(reply, request_id)
            choices += node_choices
            if invalid_records:
                errors[reply.node] = invalid_records[0]
    choices.sort(key=lambda choice: (choice.at, choice.node, choice.seq))
    if wants_json(json):
        print_json({"request_id": request_id, "choices": choices, "errors": errors})
    else:
        for number, choice in enumerate(choices, 1):
            _print_choice(number, choice, choices[0].at)
        for node, error in errors.items():
            print(f"dandelionpondctl: {node}: {error}", file=sys.stderr)
    if not choices:
        raise CommandError(f"no node that answered has a record of {request_id}")
    return FINDINGS if errors else OK


def _explain_from_logs(
    request_id: str, files: tuple[Path, ...], json: bool | None
) -> int:
    request_history = build_history(request_id, read_lines(files))
    if request_history is None:
        raise CommandError(f"no line in these logs names {request_id}")
    if wants_json(json):
        print_json(request_history)
    else:
        print_history(request_history)
    return OK


def parse_choices(
    reply: NodeReply, request_id: str
) -> tuple[list[EngineChoice], list[str]]:
    """Return the decisions on this request and errors of records that do not parse.

    A node of another version may write its records in another format.
    """
    choices, invalid_records = [], []
    for record in reply.value.records:
        if (record.slice, record.decision) != (ROUTE.slice, ROUTE.name):
            continue
        try:
            route_input = msgspec.convert(record.input, RouteInput)
            choice = msgspec.convert(record.outcome, RouteChoice)
        except msgspec.ValidationError as error:
            message = (
                f"invalid record {record.seq} of version {record.version}: {error}"
            )
            invalid_records.append(message)
            continue
        # The node searches its records for the text, so longer identifiers match too.
        if route_input.request.request_id == request_id:
            choices.append(_engine_choice(reply.node, record, route_input, choice))
    return choices, invalid_records


async def _fetch_records(options: NodeOptions, request_id: str) -> list[NodeReply]:
    path = f"/v1/requests/{quote(request_id, safe='')}"
    async with connect(options) as nodes:

        async def fetch_records(url: str) -> Any:
            return await nodes.get(url, path, _RecordsReply)

        return await nodes.ask_all(fetch_records, "asking for the request")


def _engine_choice(
    node: str, record: DecisionRecord, route_input: RouteInput, choice: RouteChoice
) -> EngineChoice:
    chosen = next(
        (c for c in route_input.candidates if c.engine == choice.engine), None
    )
    return EngineChoice(
        record.at,
        node,
        record.seq,
        choice.engine,
        choice.ttft_s,
        route_input.request.prompt_tokens,
        route_input.request.remaining_s,
        chosen.state if chosen else "",
        chosen.queue_tokens if chosen else 0.0,
        chosen.cached_tokens if chosen else 0.0,
        choice.refused,
        record.settings_digest,
        record.version,
    )


def _print_choice(number: int, choice: EngineChoice, first_at: float) -> None:
    time_text = datetime.fromtimestamp(choice.at, UTC).isoformat(
        timespec="milliseconds"
    )
    print(
        f"choice {number}: {time_text} (+{choice.at - first_at:.3f} s) on {choice.node}"
    )
    if choice.engine is None:
        print("  no engine fits")
    else:
        print(
            f"  {choice.engine} ({choice.state}): first token estimated after "
            f"{choice.estimate_s:.3f} s, {choice.prompt_tokens} prompt tokens, "
            f"{choice.queue_tokens:.0f} tokens queued before, "
            f"{choice.cached_tokens:.0f} cached, {choice.remaining_s:.1f} s left"
        )
    rows = [(refused.engine, refused.reason) for refused in choice.refused]
    print_table(("engine not chosen", "reason"), rows)
