"""Show the state of many nodes and who differs from the others."""

import msgspec

from dandelionpond_ctl.exit_codes import FINDINGS, OK
from dandelionpond_ctl.folder import print_json, print_table
from dandelionpond_ctl.nodes import (
    DEFAULT_OPTIONS,
    NodeOptions,
    Nodes,
    Reply,
    connect,
    run,
)
from dandelionpond_ctl.user_settings import wants_json

DIGEST_CHARS = 12
COLUMNS = (
    "node",
    "domain",
    "phase",
    "ready",
    "revision",
    "digest",
    "reader",
    "peers",
    "prompts",
    "calls",
    "queued",
)


class Finding(msgspec.Struct, frozen=True, order=True):
    """Name one deviation.

    `kind` is `unreachable`, `behind`, `conflict` (one revision, two digests),
    `refused`, `not_ready`, `suspect` or `unread` (no list of suspects).
    """

    kind: str
    node: str
    text: str


class NodeStatus(msgspec.Struct, frozen=True):
    """Hold the fields of `/v1/status`."""

    node: str
    incarnation: str
    version: str
    failure_domain: str
    phase: str
    ready: bool
    settings_revision: int
    settings_digest: str
    settings_refused: int | None
    reader: bool
    peers: dict[str, int]
    prompts_in_flight: int
    calls_in_flight: int
    queued: int


def status(*, options: NodeOptions = DEFAULT_OPTIONS, json: bool | None = None) -> int:
    """Show each node, who is behind in settings, who suspects whom, who is unreachable.

    The exit code is 1 if there is a finding. A node may be behind for up to 5 s after a
    publication.

    Parameters
    ----------
    json
        Print JSON in place of a table.
    """
    replies, found = run(_ask(options))
    found += compare(replies)
    found.sort()
    if wants_json(json):
        print_json({"nodes": replies, "findings": found})
    else:
        print_table(COLUMNS, [_row(reply) for reply in replies])
        for finding in found:
            print(f"{finding.kind}: {finding.node}: {finding.text}")
    return FINDINGS if found else OK


def compare(replies: list[Reply]) -> list[Finding]:
    """Return what differs between the nodes."""
    found = []
    known = [reply.value for reply in replies if reply.error is None]
    newest = max((one.settings_revision for one in known), default=0)
    digests = {one.settings_digest for one in known if one.settings_revision == newest}
    for reply in replies:
        if reply.error is not None:
            found.append(Finding("unreachable", reply.node, reply.error))
            continue
        one: NodeStatus = reply.value
        if one.settings_revision < newest:
            text = f"revision {one.settings_revision}, the newest is {newest}"
            found.append(Finding("behind", one.node, text))
        elif len(digests) > 1:
            text = f"digest {one.settings_digest[:DIGEST_CHARS]} of revision {newest}"
            found.append(Finding("conflict", one.node, f"{text} is not that of all"))
        if one.settings_refused is not None:
            text = f"revision {one.settings_refused} has errors; see its dump"
            found.append(Finding("refused", one.node, text))
        if not one.ready and one.phase == "serving":
            found.append(Finding("not_ready", one.node, "no settings in force"))
    return found


async def _ask(options: NodeOptions) -> tuple[list[Reply], list[Finding]]:
    async with connect(options) as nodes:

        async def one(url: str) -> NodeStatus:
            return await nodes.get(url, "/v1/status", NodeStatus)

        replies = await nodes.all(one, "asking for the status")
        doubting = tuple(
            reply.node
            for reply in replies
            if reply.error is None and reply.value.peers.get("suspect")
        )
        return replies, await _suspects(nodes.only(doubting))


class _Peer(msgspec.Struct, frozen=True):
    name: str
    state: str
    failure_domain: str


class _Members(msgspec.Struct, frozen=True):
    peers: list[_Peer]


class _Dump(msgspec.Struct, frozen=True):
    status: NodeStatus
    membership: _Members


async def _suspects(nodes: Nodes) -> list[Finding]:
    # Only the dump names the peers; it is large, so it is read only where needed.
    async def one(url: str) -> _Dump:
        return await nodes.get(url, "/v1/dump", _Dump)

    found = []
    for reply in await nodes.all(one, "asking who is suspected"):
        if reply.error is not None:
            found.append(Finding("unread", reply.node, reply.error))
            continue
        names = [
            f"{peer.name} ({peer.failure_domain})"
            for peer in reply.value.membership.peers
            if peer.state == "suspect"
        ]
        if names:
            text = f"suspects {', '.join(sorted(names))}"
            found.append(Finding("suspect", reply.value.status.node, text))
    return found


def _row(reply: Reply) -> tuple[str, ...]:
    if reply.error is not None:
        return (reply.node, "", "unreachable") + ("",) * 8
    one: NodeStatus = reply.value
    peers = ", ".join(f"{count} {state}" for state, count in sorted(one.peers.items()))
    return (
        one.node,
        one.failure_domain,
        one.phase,
        "yes" if one.ready else "no",
        str(one.settings_revision),
        one.settings_digest[:DIGEST_CHARS],
        "yes" if one.reader else "no",
        peers,
        str(one.prompts_in_flight),
        str(one.calls_in_flight),
        str(one.queued),
    )
