"""Drain nodes one after the other."""

import asyncio
from typing import Annotated

import msgspec
from cyclopts import Parameter, validators

from dandelionpond.clock import SystemClock
from dandelionpond_ctl.exit_codes import FINDINGS, OK
from dandelionpond_ctl.folder import print_json, print_table
from dandelionpond_ctl.nodes import (
    DEFAULT_OPTIONS,
    NodeError,
    NodeOptions,
    Nodes,
    connect,
    run_async,
)
from dandelionpond_ctl.progress import ProgressBar
from dandelionpond_ctl.user_settings import wants_json

POLL_INTERVAL_S = 0.25


class DrainResult(msgspec.Struct, frozen=True):
    """The last known phase of a node, or an error.

    The phase is `gone` once nothing listens at the node's address.
    """

    node: str
    phase: str
    error: str | None = None


class _PhaseReply(msgspec.Struct, frozen=True):
    phase: str


def drain(
    *,
    options: NodeOptions = DEFAULT_OPTIONS,
    wait_s: Annotated[float, Parameter(validator=validators.Number(gte=0))] = 0.0,
    json: bool | None = None,
) -> int:
    """Stop nodes in a planned way: no new requests, the running ones finish.

    Nodes are drained one after the other and only if they are named on the command
    line. The first failure ends the command with exit code 1.

    Parameters
    ----------
    wait_s
        Wait up to this many seconds for each node to end before the next one.
    json
        Print JSON in place of a table.
    """
    results = run_async(_drain_nodes(options, wait_s))
    if wants_json(json):
        print_json({"nodes": results})
    else:
        rows = [(result.node, result.phase, result.error or "") for result in results]
        print_table(("node", "phase", "error"), rows)
    return FINDINGS if any(result.error for result in results) else OK


async def _drain_nodes(options: NodeOptions, wait_s: float) -> list[DrainResult]:
    results: list[DrainResult] = []
    async with connect(options, use_settings=False) as nodes:
        with ProgressBar("draining", len(nodes.urls)) as bar:
            for url in nodes.urls:
                if results and results[-1].error:
                    message = "not asked, because the node before failed"
                    results.append(DrainResult(url, "", message))
                    continue
                results.append(await _drain_node(nodes, url, wait_s))
                bar.advance()
    return results


async def _drain_node(nodes: Nodes, url: str, wait_s: float) -> DrainResult:
    clock = SystemClock()
    deadline = clock.monotonic() + wait_s
    phase = ""
    try:
        phase = (await nodes.post(url, "/v1/drain", _PhaseReply)).phase
    except NodeError as error:
        return DrainResult(url, phase, str(error))
    while clock.monotonic() < deadline:
        try:
            phase = (await nodes.get(url, "/v1/status", _PhaseReply)).phase
        except NodeError as error:
            if error.refused:
                return DrainResult(url, "gone")
        await asyncio.sleep(POLL_INTERVAL_S)
    if wait_s:
        return DrainResult(url, phase, f"still there after {wait_s:g} s")
    return DrainResult(url, phase)
