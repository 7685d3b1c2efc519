"""Start a planned stop of nodes."""

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
    run,
)
from dandelionpond_ctl.progress import Bar
from dandelionpond_ctl.user_settings import wants_json

POLL_S = 0.25


class Drained(msgspec.Struct, frozen=True):
    """Hold the phase a node reached, `gone` once it no longer answers, or an error."""

    node: str
    phase: str
    error: str | None = None


class _Phase(msgspec.Struct, frozen=True):
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
    results = run(_drain(options, wait_s))
    if wants_json(json):
        print_json({"nodes": results})
    else:
        rows = [(one.node, one.phase, one.error or "") for one in results]
        print_table(("node", "phase", "error"), rows)
    return FINDINGS if any(one.error for one in results) else OK


async def _drain(options: NodeOptions, wait_s: float) -> list[Drained]:
    results: list[Drained] = []
    async with connect(options, use_settings=False) as nodes:
        with Bar("draining", len(nodes.urls)) as bar:
            for url in nodes.urls:
                if results and results[-1].error:
                    text = "not asked, because the node before failed"
                    results.append(Drained(url, "", text))
                    continue
                results.append(await _one(nodes, url, wait_s))
                bar.advance()
    return results


async def _one(nodes: Nodes, url: str, wait_s: float) -> Drained:
    clock = SystemClock()
    end = clock.monotonic() + wait_s
    phase = ""
    try:
        phase = (await nodes.post(url, "/v1/drain", _Phase)).phase
    except NodeError as error:
        return Drained(url, phase, str(error))
    while clock.monotonic() < end:
        try:
            phase = (await nodes.get(url, "/v1/status", _Phase)).phase
        except NodeError as error:
            if error.refused:
                return Drained(url, "gone")
        await asyncio.sleep(POLL_S)
    if wait_s:
        return Drained(url, phase, f"still there after {wait_s:g} s")
    return Drained(url, phase)
