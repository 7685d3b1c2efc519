"""Measure the cost of calls between nodes: threads, memory, processor time, bytes.

Both ends run in this process on one event loop, so times are those of both ends
together. Bytes are counted by a relay and are TCP payload, without IP and TCP headers.
"""

import asyncio
import os
import time
from pathlib import Path

from dandelionpond.identity import Identity
from dandelionpond.membership.messages import Exchange
from dandelionpond.peer.client import PeerClient
from dandelionpond.peer.messages import (
    CallOutcome,
    FetchReply,
    FetchRequest,
    ForwardedCall,
    PeerMessage,
)
from dandelionpond.peer.server import PeerServer
from dandelionpond.peer.settings import PeerSettings
from dandelionpond.peer.translate import message_to_proto

STATE = PeerMessage(
    Exchange(
        Identity("vm-00001", 1_790_000_000_000, 2**63),
        "10.0.0.17:7400",
        "region-1-d1",
        "serving",
        2**32 + 5,
        45_000,
        "5f" * 32,
    )
)


class _Handler:
    async def exchange(self, message: PeerMessage) -> PeerMessage:
        return STATE

    async def fetch_settings(self, request: FetchRequest) -> FetchReply:
        return FetchReply(0)

    async def forward_call(self, call: ForwardedCall) -> CallOutcome:
        return CallOutcome(200, "", b"")


def threads() -> int:
    """Return the number of threads of this process."""
    return len(os.listdir("/proc/self/task"))


def resident_mb() -> float:
    """Return the resident memory of this process in megabytes."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


class _Counter:
    def __init__(self, port: int) -> None:
        self.port, self.bytes = port, 0

    async def serve(self, reader, writer) -> None:
        up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.port)
        await asyncio.gather(self.pump(reader, up_writer), self.pump(up_reader, writer))

    async def pump(self, reader, writer) -> None:
        while data := await reader.read(65536):
            self.bytes += len(data)
            writer.write(data)
        writer.close()


async def measure() -> None:
    """Print all figures."""
    settings = PeerSettings()
    print(f"start: threads {threads()}, resident {resident_mb():.1f} MB")
    server = PeerServer(_Handler(), "127.0.0.1:0", settings)
    await server.start()
    client = PeerClient(settings)
    address = f"127.0.0.1:{server.port}"
    await client.exchange("vm-00001", address, STATE)
    print(f"first call: threads {threads()}, resident {resident_mb():.1f} MB")
    for label, count, is_new in (("warm", 2000, False), ("new channel", 300, True)):
        cpu, wall = time.process_time(), time.monotonic()
        failed = 0
        for _ in range(count):
            if is_new:
                await client.close()
            outcome = await client.exchange("vm-00001", address, STATE)
            failed += outcome.is_error()
        cpu, wall = time.process_time() - cpu, time.monotonic() - wall
        print(
            f"{label}: {cpu / count * 1e6:.0f} us processor, {wall / count * 1e6:.0f} "
            f"us elapsed for each call, {failed} of {count} failed, threads {threads()}"
        )
    servers = [PeerServer(_Handler(), "127.0.0.1:0", settings) for _ in range(16)]
    for other in servers:
        await other.start()
    before = resident_mb()
    for other in servers:
        await client.exchange("vm-00001", f"127.0.0.1:{other.port}", STATE)
    grown = (resident_mb() - before) * 1000 / 16
    print(f"16 channels, both ends: {grown:.0f} KB each, threads {threads()}")
    calls = [
        client.exchange("vm-00001", f"127.0.0.1:{other.port}", STATE)
        for other in servers * 12
    ]
    await asyncio.gather(*calls)
    print(f"192 calls at once: threads {threads()}, resident {resident_mb():.1f} MB")
    counter = _Counter(server.port)
    relay = await asyncio.start_server(counter.serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{relay.sockets[0].getsockname()[1]}"
    await client.exchange("vm-00001", address, STATE)
    first = counter.bytes
    for _ in range(200):
        await client.exchange("vm-00001", address, STATE)
    size = message_to_proto(STATE).ByteSize()
    each = (counter.bytes - first) / 200
    print(
        f"bytes: first call {first}, next calls {each:.0f} for request and reply of "
        f"{size} B each, so {each / 2 - size:.0f} B more for each message"
    )
    await client.close()
    relay.close()
    for other in [server, *servers]:
        await other.stop(0)


def main() -> None:
    """Run the measurement."""
    asyncio.run(measure())


if __name__ == "__main__":
    main()
