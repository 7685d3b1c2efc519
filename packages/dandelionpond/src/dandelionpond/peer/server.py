"""gRPC server for calls from other nodes."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

import grpc
from google.protobuf.message import Message

from dandelionpond.errors import ErrorKind
from dandelionpond.http.body_memory import BodyLimits, CallMemory
from dandelionpond.http.connection_limits import LogLimiter
from dandelionpond.peer import peer_pb2_grpc, translate
from dandelionpond.peer.messages import (
    CallOutcome,
    FetchReply,
    FetchRequest,
    ForwardedCall,
    PeerMessage,
)
from dandelionpond.peer.settings import (
    BODY_BYTES_KEY,
    CALL_FIELDS_BYTES,
    SERVICE_NAME,
    UNANNOUNCED_CALL_BYTES,
    PeerSettings,
    log_ignored_length,
    max_request_bytes,
    read_body_bytes,
    server_options,
)
from dandelionpond.requests.settings import RequestsSettings


class PeerHandler(Protocol):
    """Handler of calls from peers; an exception becomes the gRPC status UNKNOWN."""

    async def exchange(self, message: PeerMessage) -> PeerMessage:
        """Process a peer's gossip message and return this node's."""
        ...

    async def fetch_settings(self, request: FetchRequest) -> FetchReply:
        """Return the files of the settings in effect that the peer does not have."""
        ...

    async def forward_call(
        self, call: ForwardedCall, memory: CallMemory
    ) -> CallOutcome:
        """Run a call whose ticket this node issued and return its outcome.

        The handler releases the memory of the body, and that of the answer if it is
        cancelled, when the call has ended.
        """
        ...


class _Servicer(peer_pb2_grpc.PeerServicer):
    def __init__(
        self,
        handler: PeerHandler,
        settings: PeerSettings,
        body_limits: BodyLimits,
        requests_settings: Callable[[], RequestsSettings],
    ) -> None:
        self._handler = handler
        self._settings = settings
        self._body_limits = body_limits
        self._requests_settings = requests_settings
        self._log_limiter = LogLimiter()
        self.counts = dict.fromkeys(
            ("invalid", "too_large", "no_memory", "slow", "unannounced"), 0
        )

    async def Exchange(self, request: Any, context: Any) -> Any:
        max_bytes = self._settings.max_exchange_bytes
        message = await self._read(
            request, context, translate.message_from_proto, max_bytes
        )
        return translate.message_to_proto(await self._handler.exchange(message))

    async def FetchSettings(self, request: Any, context: Any) -> Any:
        max_bytes = self._settings.max_fetch_request_bytes
        message = await self._read(
            request, context, translate.fetch_request_from_proto, max_bytes
        )
        return translate.fetch_reply_to_proto(
            await self._handler.fetch_settings(message)
        )

    async def ForwardCall(self, requests: Any, context: Any) -> None:
        """Run a call; its message is read only once its memory is reserved.

        Both sides send one message. The library gives the handler of a unary call a
        message that it has read, and sends its reply after the handler has returned.
        """
        memory = CallMemory.from_limits(self._body_limits)
        try:
            call = await self._read_call(context, memory)
        except BaseException:
            memory.release()
            raise
        try:
            outcome = await self._handler.forward_call(call, memory)
        except asyncio.CancelledError:
            # The call goes on, and the handler releases its memory.
            raise
        except BaseException:
            memory.release()
            raise
        try:
            # A try that waited for another one has an answer that is not counted yet.
            if not memory.answer.grow_forwarded_to(len(outcome.body)):
                self.counts["no_memory"] += 1
                text = "the issuer has no memory for the answer"
                outcome = CallOutcome(0, "", b"", ErrorKind.KEY_UNRESOLVED, text)
            metadata = ((BODY_BYTES_KEY, str(len(outcome.body))),)
            data = translate.outcome_to_bytes(outcome)
            # The message has a copy of the body; the library makes another to send it.
            del outcome
            await context.send_initial_metadata(metadata)
            await context.write(data)
        finally:
            memory.answer.release()

    async def _read_call(self, context: Any, memory: CallMemory) -> ForwardedCall:
        max_bytes = max_request_bytes(self._requests_settings())
        body_bytes = None
        try:
            body_bytes = read_body_bytes(context.invocation_metadata() or ())
        except ValueError as error:
            # The value counts as absent.
            self.counts["invalid"] += 1
            address = context.peer().rpartition(":")[0]
            log_ignored_length(self._log_limiter, address, error)
        if body_bytes is None:
            self.counts["unannounced"] += 1
            body_bytes = min(UNANNOUNCED_CALL_BYTES, max_bytes - CALL_FIELDS_BYTES)
        if body_bytes > max_bytes - CALL_FIELDS_BYTES:
            await self._refuse(context, "too_large", "message too large")
        if not memory.body.grow_forwarded_to(body_bytes):
            await self._refuse(context, "no_memory", "no memory for the call")
        try:
            async with asyncio.timeout(self._requests_settings().body_timeout_s):
                data = await context.read()
        except TimeoutError:
            await self._refuse(context, "slow", "the message did not arrive in time")
        if data is grpc.aio.EOF:
            self.counts["invalid"] += 1
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "no message")
        if len(data) > body_bytes + CALL_FIELDS_BYTES:
            await self._refuse(context, "too_large", "message too large")
        try:
            call = translate.call_from_bytes(data)
        except ValueError as error:
            self.counts["invalid"] += 1
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
            raise
        # The length was assumed, or announced too large.
        memory.body.shrink_forwarded_to(len(call.body))
        return call

    async def _refuse(self, context: Any, count: str, text: str) -> None:
        """End a call that has not run; `context.abort` raises."""
        self.counts[count] += 1
        await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, text)

    async def _read(
        self, request: Message, context: Any, from_proto: Any, max_bytes: int
    ) -> Any:
        if request.ByteSize() > max_bytes:
            await self._refuse(context, "too_large", "message too large")
        try:
            return from_proto(request)
        except ValueError as error:
            self.counts["invalid"] += 1
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))


class PeerServer:
    """Listener for calls from peers; with port 0 the system chooses a free port.

    Forwarded calls take memory from `body_limits`, which the process shares with other
    bodies, and their size limits follow `requests_settings`.
    """

    __slots__ = ("_address", "_server", "_servicer", "port")

    def __init__(
        self,
        handler: PeerHandler,
        address: str,
        settings: PeerSettings,
        body_limits: BodyLimits | None = None,
        requests_settings: Callable[[], RequestsSettings] = RequestsSettings,
    ) -> None:
        self._address = address
        self._servicer = _Servicer(
            handler, settings, body_limits or BodyLimits(), requests_settings
        )
        # The library would let the window of a call that is not read yet grow with the
        # throughput of its connection, beyond the 64 KiB that a call may buffer unread.
        options = [
            *server_options(settings, settings.max_call_bytes),
            ("grpc.http2.bdp_probe", 0),
        ]
        self._server = grpc.aio.server(
            options=options,
            maximum_concurrent_rpcs=settings.max_concurrent_calls,
        )
        self.port = 0

    @property
    def counts(self) -> dict[str, int]:
        """Return the refused requests by reason.

        `unannounced` counts forwarded calls without the length of their body, from
        nodes of an earlier version.
        """
        return self._servicer.counts

    async def start(self) -> None:
        """Bind the address and start serving; raise `RuntimeError` if binding fails."""
        peer_pb2_grpc.add_PeerServicer_to_server(self._servicer, self._server)
        # Replaces the unary handler of the generated code.
        handler = grpc.stream_stream_rpc_method_handler(self._servicer.ForwardCall)
        self._server.add_registered_method_handlers(
            SERVICE_NAME, {"ForwardCall": handler}
        )
        self.port = self._server.add_insecure_port(self._address)
        await self._server.start()

    async def stop(self, grace_s: float) -> None:
        """Reject new calls and wait up to `grace_s` seconds for calls in flight."""
        await self._server.stop(grace_s)
