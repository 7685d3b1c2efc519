"""gRPC client for calls to other nodes."""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import grpc
import msgspec
from expression import Error, Ok, Result

from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.http.body_memory import BodyMemory, CallMemory
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
    PeerSettings,
    channel_options,
    log_ignored_length,
    max_reply_bytes,
    max_request_bytes,
    read_body_bytes,
)
from dandelionpond.requests.settings import RequestsSettings

T = TypeVar("T")

# Longest time in seconds that a call waits for a connection attempt of an earlier call
# before it opens a channel of its own. An attempt between VMs takes a few milliseconds.
RECONNECT_WAIT_S = 0.3


class CallFailure(msgspec.Struct, frozen=True):
    """Failure of a call to a peer.

    `may_have_been_sent` is false only if certainly no byte of the call was written to
    the socket.
    """

    failure: Failure
    may_have_been_sent: bool


class _NoMemoryError(Exception):
    pass


class _Channel:
    __slots__ = (
        "active_calls",
        "address",
        "channel",
        "forward_call",
        "is_retired",
        "stub",
        "was_used",
    )

    def __init__(self, address: str, settings: PeerSettings) -> None:
        self.address = address
        self.channel = grpc.aio.insecure_channel(
            address, options=channel_options(settings)
        )
        # Both sides send one message, which is read when its memory is reserved.
        self.forward_call: Any = self.channel.unary_stream(
            f"/{SERVICE_NAME}/ForwardCall"
        )
        self.stub: Any = peer_pb2_grpc.PeerStub(self.channel)  # type: ignore[no-untyped-call]
        self.active_calls = 0
        self.is_retired = False
        self.was_used = False


class PeerClient:
    """Client for calls to peers that keeps at most `max_channels` channels.

    Beyond that, the least recently used channel is retired: it takes no new calls and
    closes after its last call in flight. This ends, as each call has a deadline. A
    channel is also retired after a timeout or a broken connection, because a connection
    can stay open without ever delivering data again.

    `counts` counts the channels that were opened, evicted over the limit, or replaced
    after a failure, the calls that reached their deadline, the invalid replies, the
    replies of a node other than the expected one, the forwarded calls that peers had no
    room for (`refused`) and the answers that this node had no memory for.
    The size limits of forwarded calls follow `requests_settings`.
    """

    __slots__ = (
        "_channels",
        "_closing",
        "_log_limiter",
        "_requests_settings",
        "_settings",
        "counts",
    )

    def __init__(
        self,
        settings: PeerSettings,
        requests_settings: Callable[[], RequestsSettings] = RequestsSettings,
    ) -> None:
        self._settings = settings
        self._requests_settings = requests_settings
        self._log_limiter = LogLimiter()
        self._channels: OrderedDict[str, _Channel] = OrderedDict()
        self._closing: set[asyncio.Task[None]] = set()
        self.counts = {
            "opened": 0,
            "evicted": 0,
            "replaced": 0,
            "deadlines": 0,
            "invalid": 0,
            "wrong_peer": 0,
            "refused": 0,
            "no_memory": 0,
        }

    @property
    def open_channels(self) -> int:
        """Return the number of channels that take new calls."""
        return len(self._channels)

    async def exchange(
        self, peer: str, address: str, message: PeerMessage
    ) -> Result[PeerMessage, Failure]:
        """Exchange gossip with a peer; fail if a node of another name replies."""
        settings = self._settings
        outcome = await self._call(
            address,
            "Exchange",
            translate.message_to_proto(message),
            settings.exchange_timeout_s,
            settings.max_exchange_bytes,
            translate.message_from_proto,
        )
        match outcome:
            case Result(tag="ok", ok=reply):
                responder = reply.exchange.sender.name
                if responder != peer:
                    self.counts["wrong_peer"] += 1
                    text = (
                        f"expected a reply from peer {peer}, got one from {responder}"
                    )
                    return Error(Failure(ErrorKind.UPSTREAM_INVALID, text))
                return Ok(reply)
            case Result(error=error):
                return Error(error.failure)

    async def fetch_settings(
        self, address: str, request: FetchRequest
    ) -> Result[FetchReply, Failure]:
        """Fetch the published settings files that this node does not hold."""
        outcome = await self._call(
            address,
            "FetchSettings",
            translate.fetch_request_to_proto(request),
            self._settings.fetch_timeout_s,
            self._settings.max_fetch_bytes,
            translate.fetch_reply_from_proto,
        )
        return outcome.map_error(lambda error: error.failure)

    async def forward_call(
        self, address: str, call: ForwardedCall, memory: CallMemory
    ) -> Result[CallOutcome, CallFailure]:
        """Forward a call to the node that issued its ticket, within `remaining_s`.

        The memory of the answer is reserved before the answer is read.
        """
        if call.remaining_s <= 0:
            text = "the deadline passed before the call was forwarded"
            failure = Failure(ErrorKind.DEADLINE_BEFORE_SEND, text)
            return Error(CallFailure(failure, may_have_been_sent=False))
        requests = self._requests_settings()
        data = translate.call_to_bytes(call)
        if len(data) > max_request_bytes(requests):
            return Error(_too_large_failure())
        metadata = ((BODY_BYTES_KEY, str(len(call.body))),)
        max_bytes = max_reply_bytes(requests)

        async def send(channel: _Channel, timeout_s: float) -> CallOutcome:
            rpc = channel.forward_call(data, metadata=metadata, timeout=timeout_s)
            try:
                return await self._read_outcome(address, rpc, memory.answer, max_bytes)
            finally:
                rpc.cancel()

        return await self._run_call(address, send, call.remaining_s, is_forwarded=True)

    async def close(self) -> None:
        """Close all channels; calls in flight are cancelled."""
        for channel in list(self._channels.values()):
            await channel.channel.close()
        self._channels.clear()
        if self._closing:
            await asyncio.gather(*self._closing)

    async def _read_outcome(
        self, address: str, rpc: Any, memory: BodyMemory, max_bytes: int
    ) -> CallOutcome:
        """Read the one message of a reply, once its memory is reserved."""
        try:
            body_bytes = read_body_bytes(await rpc.initial_metadata() or ())
        except ValueError as error:
            # The value counts as absent.
            self.counts["invalid"] += 1
            log_ignored_length(self._log_limiter, address, error)
            body_bytes = None
        if body_bytes is not None:
            announced_bytes = body_bytes + CALL_FIELDS_BYTES
            if announced_bytes > max_bytes:
                raise ValueError("reply exceeds the size limit")
            max_bytes = announced_bytes
            if not memory.grow_forwarded_to(body_bytes):
                raise _NoMemoryError
        data = await rpc.read()
        if data is grpc.aio.EOF:
            raise ValueError("reply has no message")
        if len(data) > max_bytes:
            raise ValueError("reply exceeds the size limit")
        # A node of an earlier version does not announce the length.
        if body_bytes is None and not memory.grow_forwarded_to(len(data)):
            raise _NoMemoryError
        outcome = translate.outcome_from_bytes(data)
        if await rpc.read() is not grpc.aio.EOF:
            raise ValueError("reply has more than one message")
        return outcome

    async def _call(
        self,
        address: str,
        method: str,
        request: Any,
        timeout_s: float,
        max_bytes: int,
        from_proto: Callable[[Any], T],
    ) -> Result[T, CallFailure]:
        if request.ByteSize() > max_bytes:
            return Error(_too_large_failure())

        async def send(channel: _Channel, timeout_s: float) -> T:
            reply = await getattr(channel.stub, method)(request, timeout=timeout_s)
            if reply.ByteSize() > max_bytes:
                raise ValueError("reply exceeds the size limit")
            return from_proto(reply)

        return await self._run_call(address, send, timeout_s)

    async def _run_call(
        self,
        address: str,
        send: Callable[[_Channel, float], Awaitable[T]],
        timeout_s: float,
        is_forwarded: bool = False,
    ) -> Result[T, CallFailure]:
        """Run a call on a connected channel and return its result.

        `send` gets the channel and the time left in seconds.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        channel = self._get_channel(address)
        if channel.was_used and not await self._is_usable(channel, timeout_s):
            # The channel's connection attempt began before this call and has failed or
            # is stuck, which says nothing about the peer now.
            self._retire(channel)
            channel = self._get_channel(address)
        channel.was_used = True
        channel.active_calls += 1
        is_connected = False
        try:
            # Wait for the connection before starting the call. A failure up to here
            # means that nothing was sent, whereas a call that is queued for a
            # connection could be sent at any later time.
            async with asyncio.timeout_at(deadline):
                is_connected = await _wait_until_connected(channel.channel)
            if not is_connected:
                self._retire(channel)
                text = f"no connection to peer at {address}"
                return Error(_call_failure(text, is_forwarded, False, False))
            remaining_s = max(deadline - loop.time(), 0.001)
            return Ok(await send(channel, remaining_s))
        except _NoMemoryError:
            self.counts["no_memory"] += 1
            # The call has ended at the peer.
            text = f"no memory for the answer of peer at {address}"
            failure = Failure(ErrorKind.KEY_UNRESOLVED, text)
            return Error(CallFailure(failure, may_have_been_sent=True))
        except TimeoutError:
            self.counts["deadlines"] += 1
            self._retire(channel)
            text = f"no connection to peer at {address} within {timeout_s} s"
            return Error(_call_failure(text, is_forwarded, False, True))
        except ValueError as error:
            self.counts["invalid"] += 1
            text = f"invalid reply from peer at {address}: {error}"
            failure = Failure(ErrorKind.UPSTREAM_INVALID, text)
            return Error(CallFailure(failure, may_have_been_sent=True))
        except grpc.aio.AioRpcError as error:
            code = error.code()
            is_timeout = code is grpc.StatusCode.DEADLINE_EXCEEDED
            self.counts["deadlines"] += is_timeout
            if is_forwarded and code is grpc.StatusCode.RESOURCE_EXHAUSTED:
                # The peer has no memory for the call or runs too many. This attempt did
                # not run there, but an earlier one with the same ticket may have.
                self.counts["refused"] += 1
                text = f"peer at {address} refused the call: {error.details()}"
                failure = Failure(ErrorKind.KEY_UNRESOLVED, text)
                return Error(CallFailure(failure, may_have_been_sent=True))
            self._retire(channel)
            text = f"call to peer at {address} failed: {code.name}"
            return Error(_call_failure(text, is_forwarded, True, is_timeout))
        finally:
            channel.active_calls -= 1
            if channel.is_retired and not channel.active_calls:
                self._close(channel)

    async def _is_usable(self, channel: _Channel, timeout_s: float) -> bool:
        """Return whether an earlier call's channel connects within part of a timeout.

        The rest of the timeout is left for a new channel.
        """
        channel.active_calls += 1
        try:
            async with asyncio.timeout(min(RECONNECT_WAIT_S, timeout_s / 4)):
                return await _wait_until_connected(channel.channel)
        except TimeoutError:
            return False
        finally:
            channel.active_calls -= 1
            if channel.is_retired and not channel.active_calls:
                self._close(channel)

    def _get_channel(self, address: str) -> _Channel:
        channel = self._channels.get(address)
        if channel is not None:
            self._channels.move_to_end(address)
            return channel
        if len(self._channels) >= self._settings.max_channels:
            self._retire(next(iter(self._channels.values())))
            # `_retire` has counted the channel as replaced.
            self.counts["evicted"] += 1
            self.counts["replaced"] -= 1
        channel = self._channels[address] = _Channel(address, self._settings)
        self.counts["opened"] += 1
        return channel

    def _retire(self, channel: _Channel) -> None:
        if channel.is_retired:
            return
        channel.is_retired = True
        self.counts["replaced"] += 1
        self._channels.pop(channel.address, None)
        if not channel.active_calls:
            self._close(channel)

    def _close(self, channel: _Channel) -> None:
        task = asyncio.get_running_loop().create_task(channel.channel.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


async def _wait_until_connected(channel: grpc.aio.Channel) -> bool:
    state = channel.get_state(try_to_connect=True)
    while state is not grpc.ChannelConnectivity.READY:
        if state in (
            grpc.ChannelConnectivity.TRANSIENT_FAILURE,
            grpc.ChannelConnectivity.SHUTDOWN,
        ):
            return False
        await channel.wait_for_state_change(state)
        state = channel.get_state(try_to_connect=True)
    return True


def _too_large_failure() -> CallFailure:
    text = "message to peer exceeds the size limit"
    failure = Failure(ErrorKind.BODY_TOO_LARGE, text)
    return CallFailure(failure, may_have_been_sent=False)


def _call_failure(
    text: str, is_forwarded: bool, may_have_been_sent: bool, is_timeout: bool
) -> CallFailure:
    if not may_have_been_sent:
        kind = ErrorKind.UPSTREAM_UNREACHABLE
        if is_timeout:
            kind = ErrorKind.DEADLINE_BEFORE_SEND
    elif is_forwarded:
        kind = ErrorKind.ISSUER_UNREACHABLE
    else:
        kind = (
            ErrorKind.DEADLINE_AFTER_SEND if is_timeout else ErrorKind.UPSTREAM_FAILED
        )
    return CallFailure(Failure(kind, text), may_have_been_sent)
