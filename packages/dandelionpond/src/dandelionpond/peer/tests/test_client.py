"""Test the calls between nodes against faults of the connection and of the answer."""

import asyncio
import socket
import struct
import threading

import msgspec
import pytest
from expression import Result

from dandelionpond.errors import ErrorKind
from dandelionpond.identity import Identity
from dandelionpond.membership.messages import Exchange
from dandelionpond.peer.client import PeerClient
from dandelionpond.peer.messages import (
    CallOutcome,
    FetchedFile,
    FetchReply,
    FetchRequest,
    ForwardedCall,
    PeerMessage,
)
from dandelionpond.peer.server import PeerServer
from dandelionpond.peer.settings import PeerSettings

# Long enough for a busy machine wherever an answer is expected.
PATIENT = PeerSettings(exchange_timeout_s=20.0)
HASTY = PeerSettings(exchange_timeout_s=0.3)


def hello(name, heartbeat=1):
    identity = Identity(name, 1, 2)
    return PeerMessage(Exchange(identity, f"{name}:1", "d1", "serving", heartbeat))


def call(remaining_s):
    sender = Identity("a", 1, 2)
    return ForwardedCall(sender, "t", "acme", "pay", "h", b"body", remaining_s, "r1")


class Handler:
    def __init__(self, name="b"):
        self.name = name
        self.calls = 0
        self.threads = set()
        self.gate = asyncio.Event()
        self.gate.set()

    async def exchange(self, message):
        self.calls += 1
        self.threads.add(threading.get_ident())
        heartbeat = message.exchange.heartbeat
        await self.gate.wait()
        return hello(self.name, heartbeat)

    async def fetch_settings(self, request):
        return FetchReply(7, (FetchedFile("01-a.json", "h", b"{}"),))

    async def forward_call(self, call):
        self.calls += 1
        await self.gate.wait()
        return CallOutcome(200, "text/plain", call.body)


class Relay:
    """Pass bytes between client and server, with one fault."""

    def __init__(self, fault, port):
        self.fault, self.port = fault, port
        self.connections = 0
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def stop(self):
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.connections += 1
        try:
            await self.relay(reader, writer)
        except (asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    async def relay(self, reader, writer):
        if self.fault == "reset before":
            return self.reset(writer)
        if self.fault == "silence":
            return await asyncio.Event().wait()
        if self.fault == "garbage":
            writer.write(b"\x17\x03garbage\x00" * 40)
            return await writer.drain()
        up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.port)
        sending = asyncio.ensure_future(self.pump(reader, up_writer))
        try:
            answer = 0
            while data := await up_reader.read(65536):
                is_answer = b"application/grpc" in data or answer
                answer += bool(is_answer)
                if is_answer and self.fault == "reset after":
                    return self.reset(writer)
                if is_answer and self.fault == "truncated":
                    writer.write(data[: len(data) // 2])
                    return await writer.drain()
                if is_answer and self.fault == "duplicate":
                    data += data
                if self.fault == "slow":
                    for index in range(0, len(data), 8):
                        writer.write(data[index : index + 8])
                        await writer.drain()
                        await asyncio.sleep(0.001)
                    continue
                if is_answer and self.fault == "silent after":
                    continue
                writer.write(data)
                await writer.drain()
        finally:
            sending.cancel()
            up_writer.close()

    async def pump(self, reader, writer):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()

    def reset(self, writer):
        raw = writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()


async def with_relay(fault, settings, act, name="b"):
    """Run `act(client, address, handler, relay)` through a relay with one fault."""
    handler = Handler(name)
    server = PeerServer(handler, "127.0.0.1:0", settings)
    await server.start()
    relay = Relay(fault, server.port)
    address = f"127.0.0.1:{await relay.start()}"
    client = PeerClient(settings)
    try:
        return await act(client, address, handler, relay)
    finally:
        handler.gate.set()
        await client.close()
        await relay.stop()
        await server.stop(0)


def kind_of(outcome):
    match outcome:
        case Result(tag="ok"):
            return None
        case Result(error=error):
            return getattr(error, "failure", error).kind


class TestFaults:
    @pytest.mark.parametrize(
        ("fault", "remaining_s", "kinds", "may_have_left"),
        [
            ("none", 20.0, {None}, None),
            ("slow", 20.0, {None}, None),
            ("reset before", 20.0, {ErrorKind.UPSTREAM_UNREACHABLE}, False),
            ("garbage", 20.0, {ErrorKind.UPSTREAM_UNREACHABLE}, False),
            ("silence", 0.3, {ErrorKind.DEADLINE_BEFORE_SEND}, False),
            ("reset after", 20.0, {ErrorKind.ISSUER_UNREACHABLE}, True),
            ("truncated", 20.0, {ErrorKind.ISSUER_UNREACHABLE}, True),
            ("silent after", 0.3, {ErrorKind.ISSUER_UNREACHABLE}, True),
        ],
    )
    def test_forwarded_call(self, fault, remaining_s, kinds, may_have_left):
        """Guard against a call reported as not sent that the issuer may have run."""

        async def act(client, address, handler, relay):
            if fault == "silent after":
                await client._channel(address).channel.channel_ready()
            outcome = await client.forward_call(address, call(remaining_s))
            assert kind_of(outcome) in kinds
            if may_have_left is not None:
                assert outcome.error.may_have_left is may_have_left
                assert handler.calls <= int(may_have_left)

        asyncio.run(with_relay(fault, PATIENT, act))

    def test_refused_connection(self):
        """Guard against a dead peer that is reported as one that may have run."""

        async def act():
            with socket.socket() as free:
                free.bind(("127.0.0.1", 0))
                address = f"127.0.0.1:{free.getsockname()[1]}"
                client = PeerClient(PATIENT)
                outcome = await client.forward_call(address, call(20.0))
                await client.close()
            assert kind_of(outcome) is ErrorKind.UPSTREAM_UNREACHABLE
            assert not outcome.error.may_have_left

        asyncio.run(act())

    def test_duplicate_answer_is_delivered_once(self):
        """Guard against a second answer that is taken for the next call's."""

        async def act(client, address, handler, relay):
            outcomes = [
                await client.exchange("b", address, hello("a", beat))
                for beat in (1, 2, 3)
            ]
            for beat, outcome in enumerate(outcomes, 1):
                if outcome.is_ok():
                    assert outcome.ok.exchange.heartbeat == beat
            assert handler.calls <= 3

        asyncio.run(with_relay("duplicate", PATIENT, act))

    def test_late_answer_is_dropped_and_the_next_call_has_a_new_channel(self):
        """Guard against a silent connection that stays in use after a deadline."""

        async def act(client, address, handler, relay):
            await client._channel(address).channel.channel_ready()
            handler.gate.clear()
            hasty = await client.exchange("b", address, hello("a", 1))
            assert kind_of(hasty) is ErrorKind.DEADLINE_AFTER_SEND
            handler.gate.set()
            client._settings = PATIENT
            outcome = await client.exchange("b", address, hello("a", 2))
            assert outcome.ok.exchange.heartbeat == 2
            assert relay.connections == 2
            assert client.counts["replaced"] == 1

        asyncio.run(with_relay("none", HASTY, act))

    def test_answer_of_another_node_is_refused(self):
        """Guard against an address that now belongs to another node."""

        async def act(client, address, handler, relay):
            outcome = await client.exchange("b", address, hello("a"))
            assert kind_of(outcome) is ErrorKind.UPSTREAM_INVALID
            assert client.counts["wrong_peer"] == 1

        asyncio.run(with_relay("none", PATIENT, act, name="c"))

    def test_invalid_and_large_messages_are_refused(self):
        """Guard against a message that exhausts memory or breaks a slice."""

        async def act(client, address, handler, relay):
            invalid = msgspec.structs.replace(hello("").exchange)
            outcome = await client.exchange("b", address, PeerMessage(invalid))
            assert kind_of(outcome) is ErrorKind.UPSTREAM_FAILED
            large = msgspec.structs.replace(call(5.0), body=b"x" * 5_000_000)
            outcome = await client.forward_call(address, large)
            assert kind_of(outcome) is ErrorKind.BODY_TOO_LARGE
            assert not outcome.error.may_have_left
            assert handler.calls == 0

        asyncio.run(with_relay("none", PATIENT, act))


class TestThreads:
    def test_handlers_run_on_the_thread_of_the_event_loop(self):
        """Guard against state of one owner that a library thread changes."""

        async def act(client, address, handler, relay):
            calls = [client.exchange("b", address, hello("a")) for _ in range(20)]
            await asyncio.gather(*calls)
            assert handler.threads == {threading.get_ident()}

        asyncio.run(with_relay("none", PATIENT, act))


class TestChannels:
    def test_channels_are_bounded_and_reused(self):
        """Guard against one open channel for each peer of the fleet."""

        async def act():
            settings = msgspec.structs.replace(PATIENT, max_channels=2)
            servers = [PeerServer(Handler(), "127.0.0.1:0", settings) for _ in "123"]
            for server in servers:
                await server.start()
            client = PeerClient(settings)
            for _ in range(2):
                for server in servers:
                    address = f"127.0.0.1:{server.port}"
                    for _ in range(2):
                        outcome = await client.exchange("b", address, hello("a"))
                        assert outcome.is_ok()
                    assert client.open_channels <= 2
            assert client.counts["opened"] == 6
            assert client.counts["evicted"] == 4
            request = FetchRequest(Identity("a", 1, 2), ("h",))
            reply = await client.fetch_settings(address, request)
            assert reply.ok == FetchReply(7, (FetchedFile("01-a.json", "h", b"{}"),))
            await client.close()
            for server in servers:
                await server.stop(0)

        asyncio.run(act())
