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
from dandelionpond_ctl.history import history, read_lines, show
from dandelionpond_ctl.nodes import DEFAULT_OPTIONS, NodeOptions, Reply, connect, run
from dandelionpond_ctl.user_settings import wants_json


class Choice(msgspec.Struct, frozen=True):
    """Hold one choice of an engine for the request.

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


class _Records(msgspec.Struct, frozen=True):
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
        return _from_logs(request_id, files, json)
    replies = run(_ask(options, request_id))
    errors = {reply.node: reply.error for reply in replies if reply.error is not None}
    choices: list[Choice] = []
    for reply in replies:
        if reply.error is None:
            found, unreadable = node_choices(reply, request_id)
            choices += found
            if unreadable:
                errors[reply.node] = unreadable[0]
    choices.sort(key=lambda one: (one.at, one.node, one.seq))
    if wants_json(json):
        print_json({"request_id": request_id, "choices": choices, "errors": errors})
    else:
        for number, choice in enumerate(choices, 1):
            _print(number, choice, choices[0].at)
        for node, error in errors.items():
            print(f"dandelionpondctl: {node}: {error}", file=sys.stderr)
    if not choices:
        raise CommandError(f"no node that answered has a record of {request_id}")
    return FINDINGS if errors else OK


def _from_logs(request_id: str, files: tuple[Path, ...], json: bool | None) -> int:
    found = history(request_id, read_lines(files))
    if found is None:
        raise CommandError(f"no line in these logs names {request_id}")
    if wants_json(json):
        print_json(found)
    else:
        show(found)
    return OK


def node_choices(reply: Reply, request_id: str) -> tuple[list[Choice], list[str]]:
    """Return the choices of exactly this request and the records that are unreadable.

    A record of another version may have another form.
    """
    choices, unreadable = [], []
    for record in reply.value.records:
        if (record.slice, record.decision) != (ROUTE.slice, ROUTE.name):
            continue
        try:
            data = msgspec.convert(record.input, RouteInput)
            choice = msgspec.convert(record.outcome, RouteChoice)
        except msgspec.ValidationError as error:
            text = f"invalid record {record.seq} of version {record.version}: {error}"
            unreadable.append(text)
            continue
        # The node finds records by text, so a longer identifier matches as well.
        if data.request.request_id == request_id:
            choices.append(_choice(reply.node, record, data, choice))
    return choices, unreadable


async def _ask(options: NodeOptions, request_id: str) -> list[Reply]:
    path = f"/v1/requests/{quote(request_id, safe='')}"
    async with connect(options) as nodes:

        async def one(url: str) -> Any:
            return await nodes.get(url, path, _Records)

        return await nodes.all(one, "asking for the request")


def _choice(
    node: str, record: DecisionRecord, data: RouteInput, choice: RouteChoice
) -> Choice:
    chosen = next((c for c in data.candidates if c.engine == choice.engine), None)
    return Choice(
        record.at,
        node,
        record.seq,
        choice.engine,
        choice.ttft_s,
        data.request.prompt_tokens,
        data.request.remaining_s,
        chosen.state if chosen else "",
        chosen.queue_tokens if chosen else 0.0,
        chosen.cached_tokens if chosen else 0.0,
        choice.refused,
        record.settings_digest,
        record.version,
    )


def _print(number: int, one: Choice, start: float) -> None:
    when = datetime.fromtimestamp(one.at, UTC).isoformat(timespec="milliseconds")
    print(f"choice {number}: {when} (+{one.at - start:.3f} s) on {one.node}")
    if one.engine is None:
        print("  no engine fits")
    else:
        print(
            f"  {one.engine} ({one.state}): first token estimated after "
            f"{one.estimate_s:.3f} s, {one.prompt_tokens} prompt tokens, "
            f"{one.queue_tokens:.0f} tokens queued before, "
            f"{one.cached_tokens:.0f} cached, {one.remaining_s:.1f} s left"
        )
    rows = [(refused.engine, refused.reason) for refused in one.refused]
    print_table(("engine not chosen", "reason"), rows)
