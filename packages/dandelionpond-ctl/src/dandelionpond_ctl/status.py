"""Show the state of nodes and how they differ from each other."""

import msgspec

from dandelionpond_ctl.exit_codes import FINDINGS, OK
from dandelionpond_ctl.folder import print_json, print_table
from dandelionpond_ctl.nodes import (
    DEFAULT_OPTIONS,
    NodeOptions,
    NodeReply,
    Nodes,
    connect,
    run_async,
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
    """A problem of a node that `status` reports.

    `kind` is `unreachable`, `behind`, `conflict` (one revision with two digests),
    `refused`, `not_ready`, `suspect` or `unread` (the suspects could not be read).
    """

    kind: str
    node: str
    text: str


class NodeStatus(msgspec.Struct, frozen=True):
    """The answer of `/v1/status`."""

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
    replies, findings = run_async(_fetch_statuses(options))
    findings += find_problems(replies)
    findings.sort()
    if wants_json(json):
        print_json({"nodes": replies, "findings": findings})
    else:
        print_table(COLUMNS, [_table_row(reply) for reply in replies])
        for finding in findings:
            print(f"{finding.kind}: {finding.node}: {finding.text}")
    return FINDINGS if findings else OK


def find_problems(replies: list[NodeReply]) -> list[Finding]:
    """Return the problems that the status of the nodes shows."""
    findings = []
    statuses = [reply.value for reply in replies if reply.error is None]
    newest_revision = max(
        (node_status.settings_revision for node_status in statuses), default=0
    )
    digests = {
        node_status.settings_digest
        for node_status in statuses
        if node_status.settings_revision == newest_revision
    }
    for reply in replies:
        if reply.error is not None:
            findings.append(Finding("unreachable", reply.node, reply.error))
            continue
        node_status: NodeStatus = reply.value
        if node_status.settings_revision < newest_revision:
            text = (
                f"revision {node_status.settings_revision}, "
                f"the newest is {newest_revision}"
            )
            findings.append(Finding("behind", node_status.node, text))
        elif len(digests) > 1:
            text = (
                f"digest {node_status.settings_digest[:DIGEST_CHARS]} "
                f"of revision {newest_revision}"
            )
            findings.append(
                Finding("conflict", node_status.node, f"{text} is not that of all")
            )
        if node_status.settings_refused is not None:
            text = f"revision {node_status.settings_refused} has errors; see its dump"
            findings.append(Finding("refused", node_status.node, text))
        if not node_status.ready and node_status.phase == "serving":
            findings.append(
                Finding("not_ready", node_status.node, "no settings in force")
            )
    return findings


async def _fetch_statuses(
    options: NodeOptions,
) -> tuple[list[NodeReply], list[Finding]]:
    async with connect(options) as nodes:

        async def fetch_status(url: str) -> NodeStatus:
            return await nodes.get(url, "/v1/status", NodeStatus)

        replies = await nodes.ask_all(fetch_status, "asking for the status")
        suspecting_nodes = tuple(
            reply.node
            for reply in replies
            if reply.error is None and reply.value.peers.get("suspect")
        )
        return replies, await _find_suspects(nodes.subset(suspecting_nodes))


class _PeerEntry(msgspec.Struct, frozen=True):
    name: str
    state: str
    failure_domain: str


class _Membership(msgspec.Struct, frozen=True):
    peers: list[_PeerEntry]


class _DumpReply(msgspec.Struct, frozen=True):
    status: NodeStatus
    membership: _Membership


async def _find_suspects(nodes: Nodes) -> list[Finding]:
    # Only the dump has the names of peers. It is large, so only nodes that suspect a
    # peer are asked for it.
    async def fetch_dump(url: str) -> _DumpReply:
        return await nodes.get(url, "/v1/dump", _DumpReply)

    findings = []
    for reply in await nodes.ask_all(fetch_dump, "asking who is suspected"):
        if reply.error is not None:
            findings.append(Finding("unread", reply.node, reply.error))
            continue
        names = [
            f"{peer.name} ({peer.failure_domain})"
            for peer in reply.value.membership.peers
            if peer.state == "suspect"
        ]
        if names:
            text = f"suspects {', '.join(sorted(names))}"
            findings.append(Finding("suspect", reply.value.status.node, text))
    return findings


def _table_row(reply: NodeReply) -> tuple[str, ...]:
    if reply.error is not None:
        return (reply.node, "", "unreachable") + ("",) * 8
    node_status: NodeStatus = reply.value
    peers = ", ".join(
        f"{count} {state}" for state, count in sorted(node_status.peers.items())
    )
    return (
        node_status.node,
        node_status.failure_domain,
        node_status.phase,
        "yes" if node_status.ready else "no",
        str(node_status.settings_revision),
        node_status.settings_digest[:DIGEST_CHARS],
        "yes" if node_status.reader else "no",
        peers,
        str(node_status.prompts_in_flight),
        str(node_status.calls_in_flight),
        str(node_status.queued),
    )
