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


def over_relay(scenario):
    """Run a scenario with a relay in front of an echo server."""

    async def run():
        listener = create_listener("127.0.0.1", 0)
        target = await asyncio.start_server(echo, sock=listener)
        relay = Relay(listener.getsockname())
        await relay.start()
        await scenario(relay)
        await relay.close()
        target.close()

    asyncio.run(run())


async def open_link(relay):
    reader, writer = await asyncio.open_connection(*relay.address)
    assert await ask(reader, writer) == b"ping"
    return reader, writer


async def ask(reader, writer):
    writer.write(b"ping")
    return await reader.read(4)


class TestRelay:
    @pytest.mark.parametrize("drop", ["up", "down", "both"])
    def test_lost_connections_stay_open_and_new_ones_work(self, drop):
        """Guard against a relay that closes what it should leave silent."""

        async def scenario(relay):
            reader, writer = await open_link(relay)
            await relay.apply(Rule(drop=drop, scope="open"))
            writer.write(b"ping")
            await relay.bytes_dropped.wait()
            await open_link(relay)
            assert relay.open_links == 2 and not reader.at_eof()
            assert relay.counters.dropped_bytes == 4
            await relay.apply(Rule())
            assert await ask(reader, writer) == b"ping"

        over_relay(scenario)

    def test_reset_reaches_the_caller(self):
        """Guard against a reset that looks like a regular end."""

        async def scenario(relay):
            reader, _ = await open_link(relay)
            assert relay.reset() == 1 and relay.open_links == 0
            with pytest.raises(ConnectionResetError):
                await reader.read(4)

        over_relay(scenario)

    def test_refusal_spares_open_connections(self):
        """Guard against a refusal that also cuts the open connections."""

        async def scenario(relay):
            reader, writer = await open_link(relay)
            await relay.apply(Rule(refuse=True))
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(*relay.address)
            assert await ask(reader, writer) == b"ping"
            await relay.apply(Rule())
            await open_link(relay)

        over_relay(scenario)

    def test_new_scope_and_delay(self):
        """Guard against a rule for new connections that hits the open ones."""

        async def scenario(relay):
            reader, writer = await open_link(relay)
            await relay.apply(Rule(drop="both", scope="new", delay_s=0.01))
            _, silent = await asyncio.open_connection(*relay.address)
            silent.write(b"ping")
            await relay.bytes_dropped.wait()
            assert await ask(reader, writer) == b"ping"
            await relay.apply(Rule(delay_s=0.05))
            before = asyncio.get_running_loop().time()
            assert await ask(reader, writer) == b"ping"
            assert asyncio.get_running_loop().time() - before >= 0.1

        over_relay(scenario)

    def test_held_bytes_arrive_after_the_next_rule(self):
        """Guard against a request that is lost when it should only be late."""

        async def scenario(relay):
            reader, writer = await open_link(relay)
            await relay.apply(Rule(hold="stay"))
            assert await ask(reader, writer) == b"ping"
            writer.write(b"stay")
            await relay.chunk_held.wait()
            await relay.apply(Rule())
            assert await reader.read(4) == b"stay"
            writer.close()

        over_relay(scenario)
