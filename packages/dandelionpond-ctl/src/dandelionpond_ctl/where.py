"""Explain where a prompt would go now."""

import sys
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from dandelionpond.routing.preview import EnginePreview, PlacementPreview
from dandelionpond_ctl.exit_codes import FINDINGS, OK, USAGE
from dandelionpond_ctl.folder import CommandError, print_json, print_table
from dandelionpond_ctl.nodes import (
    DEFAULT_OPTIONS,
    NodeOptions,
    NodeReply,
    connect,
    run_async,
)
from dandelionpond_ctl.user_settings import wants_json
from dandelionpond_ctl.where_platform import (
    PlatformReply,
    is_platform_request,
    print_reply,
)

ReplyT = TypeVar("ReplyT")


class WhereReply(msgspec.Struct, frozen=True):
    """The answer of `/v1/where`; `share` is what the account may use on this node."""

    node: str
    account: str
    weight: float
    share: dict[str, Any]
    in_flight: int
    model: str
    queued: int
    queued_tokens: float
    placement: PlacementPreview
    quarantined_s: float | None = None


def where(
    body: Path,
    /,
    *,
    account: str | None = None,
    caller_key_file: Path | None = None,
    options: NodeOptions = DEFAULT_OPTIONS,
    json: bool | None = None,
) -> int:
    """Explain where a request would go now and why, without sending it.

    Each node decides with what it knows now, by the code that places prompts. Nothing
    is reserved, counted or recorded. The limits of the client account are shown, but
    not applied. A body with `path` describes a prompt or plain call on the users'
    platform; the nodes are asked at their metrics address, without the operators' key.
    The exit code is 1 if a node gave no answer.

    Parameters
    ----------
    body
        File with the JSON body of a completion or chat request, or with a JSON object
        that describes a request on the users' platform; `/dev/stdin` is standard input.
    account
        Name of the client account.
    caller_key_file
        File with a bearer key of the client account, in place of its name.
    json
        Print JSON in place of tables.
    """
    request = _read_request(body)
    is_platform = is_platform_request(request)
    if is_platform:
        data = _build_platform_body(request, account, caller_key_file)
        replies = run_async(_fetch_previews(options, data, PlatformReply))
    else:
        data = _build_body(request, account, caller_key_file)
        replies = run_async(_fetch_previews(options, data, WhereReply))
    errors = {reply.node: reply.error for reply in replies if reply.error is not None}
    answers = {reply.node: reply.value for reply in replies if reply.error is None}
    if wants_json(json):
        print_json({"nodes": answers, "errors": errors})
    else:
        for answer in answers.values():
            print_reply(answer) if is_platform else _print_answer(answer)
        for node, error in errors.items():
            print(f"dandelionpondctl: {node}: {error}", file=sys.stderr)
    return FINDINGS if errors else OK


def _read_request(path: Path) -> dict[str, Any]:
    try:
        return msgspec.json.decode(path.read_bytes(), type=dict[str, Any])
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}", USAGE) from error
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise CommandError(
            f"{path}: not the body of a prompt: {error}", USAGE
        ) from None


def _build_body(
    request: dict[str, Any], account: str | None, key_file: Path | None
) -> bytes:
    if (account is None) == (key_file is None):
        raise CommandError("give either --account or --caller-key-file", USAGE)
    fields: dict[str, Any] = {"request": request, "account": account}
    if key_file is not None:
        fields["key"] = _read_key(key_file)
    return msgspec.json.encode(fields)


def _build_platform_body(
    request: dict[str, Any], account: str | None, key_file: Path | None
) -> bytes:
    named = [request.get("account"), request.get("key"), account, key_file]
    if sum(name is not None for name in named) > 1:
        raise CommandError("the client account is given more than once", USAGE)
    fields = dict(request)
    if account is not None:
        fields["account"] = account
    if key_file is not None:
        fields["key"] = _read_key(key_file)
    return msgspec.json.encode(fields)


def _read_key(path: Path) -> str:
    try:
        return path.read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(f"{path}: cannot be read: {error}", USAGE) from error


async def _fetch_previews(
    options: NodeOptions, data: bytes, reply_type: type[ReplyT]
) -> list[NodeReply]:
    # Nodes on the users' platform have no operators' key, so they must not get one.
    async with connect(options, needs_key=reply_type is WhereReply) as nodes:

        async def fetch_preview(url: str) -> ReplyT:
            return await nodes.post(url, "/v1/where", reply_type, data)

        return await nodes.ask_all(fetch_preview, "asking for the placement")


def _print_answer(answer: WhereReply) -> None:
    placement = answer.placement
    share = ", ".join(f"{name} {value:g}" for name, value in answer.share.items())
    print(
        f"{answer.node}: client account {answer.account} (weight {answer.weight:g}, "
        f"{answer.in_flight} in flight; share: {share}), model {answer.model}"
    )
    print(
        f"  {placement.prompt_tokens} prompt tokens, at most {placement.max_tokens} "
        f"generated, priority {placement.priority}; {answer.queued} prompts "
        f"({answer.queued_tokens:.0f} tokens) in the queue of the node"
    )
    if answer.quarantined_s is not None:
        print(
            "  refused: a part of it is in quarantine, next trial in "
            f"{answer.quarantined_s:.0f} s; without it:"
        )
    if not placement.engines:
        print("  no engine would take it now: it would wait in the queue or be refused")
    elif len(placement.engines) > 1:
        print(f"  group: {', '.join(placement.engines)}")
    else:
        print(
            f"  choice: {placement.engines[0]}, first token predicted after "
            f"{placement.ttft_s or 0.0:.3f} s"
        )
    columns = ("engine", "rule", "wait", "prefill", "step", "others", "cost", "cached")
    rows = [_format_row(preview) for preview in placement.candidates]
    print_table((*columns, "free tokens", "state", "role"), rows)


def _format_row(preview: EnginePreview) -> tuple[str, ...]:
    terms = (
        preview.wait_s,
        preview.prefill_s,
        preview.step_delay_s,
        preview.others_s,
        preview.cost_s,
    )
    tokens = (preview.cached_tokens, preview.free_tokens)
    return (
        preview.engine,
        preview.rule or "chosen",
        *("" if term is None else f"{term:.3f}" for term in terms),
        *("" if count is None else f"{count:.0f}" for count in tokens),
        preview.state,
        preview.role,
    )
