"""gRPC client for calls to other nodes."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from typing import Any, TypeVar

import grpc
import msgspec
from expression import Error, Ok, Result

from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.peer import peer_pb2_grpc, translate
from dandelionpond.peer.messages import (
    CallOutcome,
    FetchReply,
    FetchRequest,
    ForwardedCall,
    PeerMessage,
)
from dandelionpond.peer.settings import PeerSettings, channel_options

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


class _Channel:
    __slots__ = (
        "active_calls",
        "address",
        "channel",
        "is_retired",
        "stub",
        "was_used",
    )

    def __init__(self, address: str, settings: PeerSettings) -> None:
        self.address = address
        self.channel = grpc.aio.insecure_channel(
            address, options=channel_options(settings)
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
    after a failure, the calls that reached their deadline, the invalid replies and
    the replies of a node other than the expected one.
    """

    __slots__ = ("_channels", "_closing", "_settings", "counts")

    def __init__(self, settings: PeerSettings) -> None:
        self._settings = settings
        self._channels: OrderedDict[str, _Channel] = OrderedDict()
        self._closing: set[asyncio.Task[None]] = set()
        self.counts = {
            "opened": 0,
            "evicted": 0,
            "replaced": 0,
            "deadlines": 0,
            "invalid": 0,
            "wrong_peer": 0,
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
        self, address: str, call: ForwardedCall
    ) -> Result[CallOutcome, CallFailure]:
        """Forward a call to the node that issued its ticket, within `remaining_s`."""
        if call.remaining_s <= 0:
            text = "the deadline passed before the call was forwarded"
            failure = Failure(ErrorKind.DEADLINE_BEFORE_SEND, text)
            return Error(CallFailure(failure, may_have_been_sent=False))
        return await self._call(
            address,
            "ForwardCall",
            translate.call_to_proto(call),
            call.remaining_s,
            self._settings.max_call_bytes,
            translate.outcome_from_proto,
            is_forwarded=True,
        )

    async def close(self) -> None:
        """Close all channels; calls in flight are cancelled."""
        for channel in list(self._channels.values()):
            await channel.channel.close()
        self._channels.clear()
        if self._closing:
            await asyncio.gather(*self._closing)

    async def _call(
        self,
        address: str,
        method: str,
        request: Any,
        timeout_s: float,
        max_bytes: int,
        from_proto: Callable[[Any], T],
        is_forwarded: bool = False,
    ) -> Result[T, CallFailure]:
        if request.ByteSize() > max_bytes:
            failure = Failure(
                ErrorKind.BODY_TOO_LARGE, "message to peer exceeds the size limit"
            )
            return Error(CallFailure(failure, may_have_been_sent=False))
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
            reply = await getattr(channel.stub, method)(request, timeout=remaining_s)
            if reply.ByteSize() > max_bytes:
                raise ValueError("reply exceeds the size limit")
            return Ok(from_proto(reply))
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
