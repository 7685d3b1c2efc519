"""Test the relay against an echo server."""

import asyncio

import pytest

from dandelionpond_standins.relay import Relay, Rule
from dandelionpond_standins.service import create_listener


async def echo(reader, writer):
    while data := await reader.read(1_024):
        writer.write(data)
        await writer.drain()
    writer.close()


def run_with_relay(scenario):
    """Run a coroutine function on a relay in front of an echo server."""

    async def run():
        listener = create_listener("127.0.0.1", 0)
        target = await asyncio.start_server(echo, sock=listener)
        relay = Relay(listener.getsockname())
        await relay.start()
        await scenario(relay)
        await relay.close()
        target.close()

    asyncio.run(run())


async def open_connection(relay):
    reader, writer = await asyncio.open_connection(*relay.address)
    assert await send_ping(reader, writer) == b"ping"
    return reader, writer


async def send_ping(reader, writer):
    writer.write(b"ping")
    return await reader.read(4)


class TestRelay:
    @pytest.mark.parametrize("drop", ["up", "down", "both"])
    def test_lost_connections_stay_open_and_new_ones_work(self, drop):
        """A lost connection must drop bytes but stay open, so neither end notices.

        New connections work, and the old one works again without the rule.
        """

        async def scenario(relay):
            reader, writer = await open_connection(relay)
            await relay.apply(Rule(drop=drop, scope="open"))
            writer.write(b"ping")
            await relay.bytes_dropped.wait()
            await open_connection(relay)
            assert relay.open_connections == 2 and not reader.at_eof()
            assert relay.counters.dropped_bytes == 4
            await relay.apply(Rule())
            assert await send_ping(reader, writer) == b"ping"

        run_with_relay(scenario)

    def test_reset_reaches_the_caller(self):
        """A client must see a reset as an error, not as the regular end of a stream."""

        async def scenario(relay):
            reader, _ = await open_connection(relay)
            assert relay.reset() == 1 and relay.open_connections == 0
            with pytest.raises(ConnectionResetError):
                await reader.read(4)

        run_with_relay(scenario)

    def test_refusal_spares_open_connections(self):
        """A relay that refuses connections must keep forwarding the open ones."""

        async def scenario(relay):
            reader, writer = await open_connection(relay)
            await relay.apply(Rule(refuse=True))
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(*relay.address)
            assert await send_ping(reader, writer) == b"ping"
            await relay.apply(Rule())
            await open_connection(relay)

        run_with_relay(scenario)

    def test_new_scope_and_delay(self):
        """A rule for new connections must not affect the open ones."""

        async def scenario(relay):
            reader, writer = await open_connection(relay)
            await relay.apply(Rule(drop="both", scope="new", delay_s=0.01))
            _, new_writer = await asyncio.open_connection(*relay.address)
            new_writer.write(b"ping")
            await relay.bytes_dropped.wait()
            assert await send_ping(reader, writer) == b"ping"
            await relay.apply(Rule(delay_s=0.05))
            start = asyncio.get_running_loop().time()
            assert await send_ping(reader, writer) == b"ping"
            assert asyncio.get_running_loop().time() - start >= 0.1

        run_with_relay(scenario)

    def test_held_bytes_arrive_after_the_next_rule(self):
        """A held chunk must arrive once the rule is replaced, not be lost."""

        async def scenario(relay):
            reader, writer = await open_connection(relay)
            await relay.apply(Rule(hold="stay"))
            assert await send_ping(reader, writer) == b"ping"
            writer.write(b"stay")
            await relay.chunk_held.wait()
            await relay.apply(Rule())
            assert await reader.read(4) == b"stay"
            writer.close()

        run_with_relay(scenario)
