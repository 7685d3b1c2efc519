"""Hand published snapshots from node to node over gRPC."""

import zlib
from collections.abc import Callable
from typing import Any

import grpc
import msgspec
from expression import Error, Ok, Result

from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.peer import peer_pb2, peer_pb2_grpc
from dandelionpond.peer.settings import PeerSettings, channel_options
from dandelionpond.published.messages import RoutingDocument, Snapshot

_encoder = msgspec.msgpack.Encoder()
_snapshots = msgspec.msgpack.Decoder(Snapshot)
_documents = msgspec.msgpack.Decoder(RoutingDocument)

# Time in seconds for a fetch, within the bound of two seconds in which a document must
# be in force.
FETCH_TIMEOUT_S = 0.8
# Level of compression. Documents repeat the names of fields and services in each route,
# so the fastest level already takes nine tenths away.
ZLIB_LEVEL = 1
# Largest decompressed part of a reply, in bytes; the platform's values end at 1 MB.
MAX_PART_BYTES = 16 * 1024 * 1024


class _Servicer(peer_pb2_grpc.SnapshotsServicer):
    def __init__(self, held: Callable[[], tuple[Snapshot, float]]) -> None:
        self._held = held
        # All peers of a failure domain ask for the same parts at about the same time.
        self._entries: tuple[object, bytes] = (None, b"")
        self._document: tuple[int, bytes] = (0, b"")

    async def Fetch(self, request: Any, context: Any) -> Any:
        snapshot, age_s = self._held()
        return peer_pb2.SnapshotReply(
            content=self._packed_entries(snapshot),
            age_s=age_s,
            document=self._packed_document(snapshot.document, request.version),
        )

    def _packed_entries(self, snapshot: Snapshot) -> bytes:
        rest = msgspec.structs.replace(snapshot, document=None)
        if self._entries[0] != rest:
            self._entries = rest, _pack(rest)
        return self._entries[1]

    def _packed_document(self, document: RoutingDocument | None, known: int) -> bytes:
        if document is None or document.version <= known:
            return b""
        if self._document[0] != document.version:
            self._document = document.version, _pack(document)
        return self._document[1]


def _pack(part: Snapshot | RoutingDocument) -> bytes:
    return zlib.compress(_encoder.encode(part), ZLIB_LEVEL)


def _unpack(data: bytes) -> bytes:
    """Return a decompressed part; raise ValueError for one that is cut or too large."""
    unpacker = zlib.decompressobj()
    try:
        part = unpacker.decompress(data, MAX_PART_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from None
    if not unpacker.eof:
        raise ValueError("a part is cut off or too large")
    return part


class SnapshotServer:
    """Answer fetches of peers; `held` returns the snapshot and its age in seconds."""

    def __init__(
        self,
        address: str,
        held: Callable[[], tuple[Snapshot, float]],
        settings: PeerSettings,
    ) -> None:
        self._address = address
        self._server = grpc.aio.server(
            options=channel_options(settings),
            maximum_concurrent_rpcs=settings.max_concurrent_calls,
        )
        peer_pb2_grpc.add_SnapshotsServicer_to_server(_Servicer(held), self._server)

    async def start(self) -> None:
        """Bind the address and serve; raise RuntimeError if it cannot be bound."""
        self._server.add_insecure_port(self._address)
        await self._server.start()

    async def stop(self) -> None:
        """Stop at once: a peer that misses a reply asks another node."""
        await self._server.stop(0)


async def fetch_snapshot(
    address: str, node: str, version: int, settings: PeerSettings
) -> Result[tuple[Snapshot, float], Failure]:
    """Return the snapshot that a peer holds and its age in seconds.

    The document is None unless it is newer than `version`. A failure is
    `upstream_unreachable` or, for a reply that cannot be read, `upstream_invalid`.
    Fetches are rare and each takes a channel of its own, so a channel that has gone
    silent never delays one.
    """
    channel = grpc.aio.insecure_channel(address, options=channel_options(settings))
    try:
        stub: Any = peer_pb2_grpc.SnapshotsStub(channel)  # type: ignore[no-untyped-call]
        reply = await stub.Fetch(
            peer_pb2.SnapshotRequest(node=node, version=version),
            timeout=FETCH_TIMEOUT_S,
        )
        snapshot = _snapshots.decode(_unpack(reply.content))
        if reply.document:
            document = _documents.decode(_unpack(reply.document))
            snapshot = msgspec.structs.replace(snapshot, document=document)
        return Ok((snapshot, reply.age_s))
    except grpc.aio.AioRpcError as error:
        kind = ErrorKind.UPSTREAM_UNREACHABLE
        return Error(Failure(kind, f"peer {address}: {error.code().name}"))
    except (msgspec.MsgspecError, ValueError) as error:
        return Error(Failure(ErrorKind.UPSTREAM_INVALID, f"peer {address}: {error}"))
    finally:
        await channel.close()
