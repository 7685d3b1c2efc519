"""Show the usage and the refused requests of client accounts."""

import sys

import msgspec

from dandelionpond_ctl.exit_codes import FINDINGS, OK
from dandelionpond_ctl.folder import print_json, print_table
from dandelionpond_ctl.nodes import (
    DEFAULT_OPTIONS,
    NodeOptions,
    NodeReply,
    connect,
    run_async,
)
from dandelionpond_ctl.user_settings import wants_json


class AccountUsage(msgspec.Struct):
    """The usage of one client account since the start of each node."""

    requests: int = 0
    calls: int = 0
    prompt_tokens: int = 0
    generated_tokens: int = 0
    refused: dict[str, int] = {}


class NodeUsage(msgspec.Struct, frozen=True):
    """The answer of `/v1/usage`."""

    node: str
    accounts: dict[str, AccountUsage]


def usage(*, options: NodeOptions = DEFAULT_OPTIONS, json: bool | None = None) -> int:
    """Sum the usage of each client account over the nodes, since the start of each.

    The counters of a node that stopped or restarted are lost, so the sums are no basis
    for billing. The exit code is 1 if a node gave no answer.

    Parameters
    ----------
    json
        Print JSON, also with the counters of each node, in place of a table.
    """
    replies = run_async(_fetch_usage(options))
    accounts = sum_usage(replies)
    errors = {reply.node: reply.error for reply in replies if reply.error is not None}
    if wants_json(json):
        nodes = {
            reply.value.node: reply.value.accounts
            for reply in replies
            if reply.error is None
        }
        print_json({"accounts": accounts, "nodes": nodes, "errors": errors})
        return FINDINGS if errors else OK
    columns = ("client account", "requests", "calls", "prompt tokens")
    rows = [
        (
            name,
            str(account_usage.requests),
            str(account_usage.calls),
            str(account_usage.prompt_tokens),
            str(account_usage.generated_tokens),
            ", ".join(
                f"{count} {kind}"
                for kind, count in sorted(account_usage.refused.items())
            ),
        )
        for name, account_usage in accounts.items()
    ]
    print_table((*columns, "generated tokens", "refused"), rows)
    for node, error in errors.items():
        print(f"dandelionpondctl: {node}: {error}", file=sys.stderr)
    return FINDINGS if errors else OK


def sum_usage(replies: list[NodeReply]) -> dict[str, AccountUsage]:
    """Return the sum over all nodes for each client account, sorted by name."""
    sums: dict[str, AccountUsage] = {}
    for reply in replies:
        if reply.error is not None:
            continue
        for name, account_usage in reply.value.accounts.items():
            account_sum = sums.setdefault(name, AccountUsage())
            account_sum.requests += account_usage.requests
            account_sum.calls += account_usage.calls
            account_sum.prompt_tokens += account_usage.prompt_tokens
            account_sum.generated_tokens += account_usage.generated_tokens
            for kind, count in account_usage.refused.items():
                account_sum.refused[kind] = account_sum.refused.get(kind, 0) + count
    return dict(sorted(sums.items()))


async def _fetch_usage(options: NodeOptions) -> list[NodeReply]:
    async with connect(options) as nodes:

        async def fetch_usage(url: str) -> NodeUsage:
            return await nodes.get(url, "/v1/usage", NodeUsage)

        return await nodes.ask_all(fetch_usage, "asking for the usage")
