"""Test how a published snapshot passes from node to node."""

import asyncio
import socket
import zlib

import grpc
import msgspec
import pytest

from dandelionpond.errors import ErrorKind
from dandelionpond.peer import peer_pb2, peer_pb2_grpc
from dandelionpond.peer.settings import PeerSettings
from dandelionpond.peer.snapshots import (
    MAX_PART_BYTES,
    SnapshotServer,
    fetch_snapshot,
)
from dandelionpond.published.messages import (
    Route,
    RouteKind,
    RoutingDocument,
    Snapshot,
    Split,
    UpstreamEntry,
    UpstreamState,
)

SETTINGS = PeerSettings()
# As many routes as the largest documents seen, plus a reserve.
MANY_ROUTES = 3_000
# Peers of a failure domain that fetch one document, and the time for it over the
# slowest link of a VM that serves others.
PEERS = 40
LINK_BYTES_PER_S = 100e6 / 8
SHARE_S = 0.5


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def route(number):
    return Route(
        f"r-{number}",
        f"h{number % 24}.example",
        f"/p{number:06x}/",
        RouteKind.STREAM,
        11.0,
        0.33,
        (Split("a-service", 1.0),),
    )


def snapshot(version, routes=1):
    entry = UpstreamEntry("i-1", "s", "10.0.0.1:80", "a", 8, UpstreamState.READY)
    document = RoutingDocument(version, tuple(map(route, range(routes))), ())
    return Snapshot(7, (entry,), document, 6)


class Counted(peer_pb2_grpc.SnapshotsServicer):
    """Answer each fetch with one prepared reply."""

    def __init__(self, reply):
        self.reply = reply

    async def Fetch(self, request, context):
        return self.reply


async def fetch_from(reply):
    address = free_address()
    server = grpc.aio.server()
    peer_pb2_grpc.add_SnapshotsServicer_to_server(Counted(reply), server)
    server.add_insecure_port(address)
    await server.start()
    try:
        return await fetch_snapshot(address, "n", 0, SETTINGS)
    finally:
        await server.stop(0)


class TestSnapshots:
    def test_newer_document_travels_and_a_known_one_does_not(self):
        """Guard against a whole document with each change of an upstream."""

        async def run():
            held = [snapshot(5)]
            address = free_address()
            server = SnapshotServer(address, lambda: (held[0], 0.25), SETTINGS)
            await server.start()
            try:
                found = [
                    (await fetch_snapshot(address, "n", known, SETTINGS)).ok
                    for known in (0, 4, 5, 6)
                ]
                held[0] = snapshot(8)
                found.append((await fetch_snapshot(address, "n", 5, SETTINGS)).ok)
            finally:
                await server.stop()
            return found

        found = asyncio.run(run())
        assert [one.document and one.document.version for one, _ in found] == [
            5,
            5,
            None,
            None,
            8,
        ]
        assert {age_s for _, age_s in found} == {0.25}
        assert found[0][0] == snapshot(5)
        assert found[2][0] == msgspec.structs.replace(snapshot(5), document=None)

    def test_large_document_fits_the_links_of_a_domain(self):
        """Guard against a document that peers cannot fetch within its bound."""

        async def run():
            address = free_address()
            large = snapshot(5, MANY_ROUTES)
            server = SnapshotServer(address, lambda: (large, 0.0), SETTINGS)
            await server.start()
            channel = grpc.aio.insecure_channel(address)
            stub = peer_pb2_grpc.SnapshotsStub(channel)
            reply = await stub.Fetch(peer_pb2.SnapshotRequest(node="n"))
            await channel.close()
            fetched = await fetch_snapshot(address, "n", 0, SETTINGS)
            await server.stop()
            return reply.ByteSize(), fetched.ok[0] == large

        size, is_equal = asyncio.run(run())
        assert is_equal
        assert size * PEERS / LINK_BYTES_PER_S < SHARE_S

    @pytest.mark.parametrize(
        "content",
        [
            b"",
            b"garbage",
            zlib.compress(b"garbage"),
            zlib.compress(msgspec.msgpack.encode(snapshot(1)))[:-4],
            zlib.compress(b"\x00" * (MAX_PART_BYTES + 1)),
        ],
        ids=["empty", "not packed", "not a snapshot", "cut off", "too large"],
    )
    def test_unreadable_reply_is_a_failure(self, content):
        """Guard against a damaged reply that ends the task or is taken."""
        good = zlib.compress(msgspec.msgpack.encode(snapshot(1)))
        replies = [
            peer_pb2.SnapshotReply(content=content),
            peer_pb2.SnapshotReply(content=good, document=content or b"x"),
        ]
        for reply in replies:
            found = asyncio.run(fetch_from(reply))
            assert found.error.kind is ErrorKind.UPSTREAM_INVALID

    def test_peer_that_is_gone(self):
        """Guard against an exception in place of a failure."""
        found = asyncio.run(fetch_snapshot(free_address(), "n", 0, SETTINGS))
        assert found.error.kind is ErrorKind.UPSTREAM_UNREACHABLE
