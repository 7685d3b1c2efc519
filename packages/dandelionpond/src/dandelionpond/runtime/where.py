"""Explain where a prompt would go now, from the body that a caller would send."""

from typing import TYPE_CHECKING

import msgspec
from expression import Error, Ok, Result

from dandelionpond.config.schema import Settings
from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.http.callers import RequestContext, build_prompt_request
from dandelionpond.http.keys import hash_key
from dandelionpond.http.request_bodies import ChatBody, CompletionBody, parse_body
from dandelionpond.routing.messages import DispatchRequest
from dandelionpond.runtime.core import Core
from dandelionpond.runtime.crashing_prompts import build_prompt_key

if TYPE_CHECKING:
    from dandelionpond.node import Node


class _WhereBody(msgspec.Struct, frozen=True):
    """Body of `POST /v1/where`.

    `request` is the body of a completion or chat request. The client account is given
    by name or by one of its bearer keys.
    """

    request: msgspec.Raw
    account: str | None = None
    key: str | None = None


def explain_where(
    core: Core, node: "Node", data: bytes
) -> Result[dict[str, object], Failure]:
    """Return what would happen to a prompt; nothing is counted, reserved or sent."""
    settings = node.settings
    if settings is None:
        message = "this node has no settings yet"
        return Error(Failure(ErrorKind.SETTINGS_UNAVAILABLE, message))
    parsed = parse_body(data, _WhereBody)
    if parsed.is_error():
        return Error(parsed.error)
    body = parsed.ok
    name = _account_name(settings, body)
    if name is None:
        message = "the client account or its key is not in the settings of this node"
        return Error(Failure(ErrorKind.INVALID_REQUEST, message, param="account"))
    account = settings.client_accounts[name]
    now = core.now()
    deadline = now + settings.requests.default_timeout_s
    context = RequestContext("where", name, account, settings, deadline)
    request_body = _parse_request(body.request)
    if request_body.is_error():
        return Error(request_body.error)
    max_tokens = request_body.ok.max_tokens
    if isinstance(request_body.ok, ChatBody):
        max_tokens = request_body.ok.max_completion_tokens or max_tokens
    prompt = build_prompt_request(context, request_body.ok, max_tokens)
    if prompt.is_error():
        return Error(prompt.error)
    dispatcher = node.engines.dispatcher
    request = DispatchRequest(
        context.request_id,
        name,
        account.weight,
        prompt.ok.model,
        prompt.ok.prompt_tokens,
        prompt.ok.max_tokens,
        deadline,
        prompt.ok.prefix_hashes,
    )
    key = build_prompt_key(name, prompt.ok.prefix_hashes)
    quarantined = node.crashing_prompts.preview(key)
    return Ok(
        {
            "node": core.local.name,
            "account": name,
            "weight": account.weight,
            "share": msgspec.to_builtins(node.accounts.shares.share(name, now)),
            "in_flight": node.accounts.limiter.in_flight(name),
            "model": prompt.ok.model,
            "queued": len(dispatcher.queue),
            "queued_tokens": dispatcher.queue.tokens,
            "quarantined_s": quarantined.retry_after_s if quarantined else None,
            "placement": dispatcher.preview(request, now),
        }
    )


def _account_name(settings: Settings, body: _WhereBody) -> str | None:
    if body.account is not None:
        return body.account if body.account in settings.client_accounts else None
    if body.key is None:
        return None
    key_hash = hash_key(body.key)
    for name, account in settings.client_accounts.items():
        if key_hash in account.key_hashes:
            return name
    return None


def _parse_request(data: msgspec.Raw) -> Result[CompletionBody | ChatBody, Failure]:
    fields = parse_body(bytes(data), dict[str, msgspec.Raw])
    if fields.is_error():
        return Error(fields.error)
    if "messages" in fields.ok:
        return parse_body(bytes(data), ChatBody)
    return parse_body(bytes(data), CompletionBody)
