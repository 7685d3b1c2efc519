"""Hand published snapshots from node to node over gRPC."""

from collections.abc import Callable
from typing import Any

import grpc
import msgspec
from expression import Error, Ok, Result

from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.peer import peer_pb2, peer_pb2_grpc
from dandelionpond.peer.settings import PeerSettings, channel_options
from dandelionpond.published.messages import Snapshot

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Snapshot)

# Time in seconds for a fetch. A reply is at most about a megabyte, within the bound of
# two seconds in which a configuration must be in force.
FETCH_TIMEOUT_S = 0.8


class _Servicer(peer_pb2_grpc.SnapshotsServicer):
    def __init__(self, held: Callable[[], tuple[Snapshot, float]]) -> None:
        self._held = held

    async def Fetch(self, request: Any, context: Any) -> Any:
        snapshot, age_s = self._held()
        return peer_pb2.SnapshotReply(content=_encoder.encode(snapshot), age_s=age_s)


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
    address: str, node: str, settings: PeerSettings
) -> Result[tuple[Snapshot, float], Failure]:
    """Return the snapshot that a peer holds and its age in seconds.

    Fetches are rare and each takes a channel of its own, so a channel that has gone
    silent never delays one.
    """
    channel = grpc.aio.insecure_channel(address, options=channel_options(settings))
    try:
        stub: Any = peer_pb2_grpc.SnapshotsStub(channel)  # type: ignore[no-untyped-call]
        reply = await stub.Fetch(
            peer_pb2.SnapshotRequest(node=node), timeout=FETCH_TIMEOUT_S
        )
        return Ok((_decoder.decode(reply.content), reply.age_s))
    except grpc.aio.AioRpcError as error:
        kind = ErrorKind.UPSTREAM_UNREACHABLE
        return Error(Failure(kind, f"peer {address}: {error.code().name}"))
    except msgspec.MsgspecError as error:
        return Error(Failure(ErrorKind.UPSTREAM_INVALID, f"peer {address}: {error}"))
    finally:
        await channel.close()
