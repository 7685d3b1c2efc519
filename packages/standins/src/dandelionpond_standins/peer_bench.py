"""Measures threads, memory, CPU time and bytes of gRPC calls between nodes.

Both ends run in this process on one event loop, so each time covers both ends. Bytes
are TCP payload, counted by a relay, without IP and TCP headers.
"""

import asyncio
import os
import time
from pathlib import Path

from dandelionpond.http.body_memory import CallMemory
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

EXCHANGE = PeerMessage(
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


class _StubHandler:
    async def exchange(self, message: PeerMessage) -> PeerMessage:
        return EXCHANGE

    async def fetch_settings(self, request: FetchRequest) -> FetchReply:
        return FetchReply(0)

    async def forward_call(
        self, call: ForwardedCall, memory: CallMemory
    ) -> CallOutcome:
        memory.body.release()
        return CallOutcome(200, "", b"")


def thread_count() -> int:
    """Return the number of threads of this process."""
    return len(os.listdir("/proc/self/task"))


def resident_mb() -> float:
    """Return the resident memory of this process in MB (10^6 bytes)."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


class _CountingRelay:
    """A TCP relay to a local port that counts the bytes of both directions."""

    def __init__(self, target_port: int) -> None:
        self.target_port, self.byte_count = target_port, 0

    async def handle_connection(self, reader, writer) -> None:
        server_reader, server_writer = await asyncio.open_connection(
            "127.0.0.1", self.target_port
        )
        await asyncio.gather(
            self.copy(reader, server_writer), self.copy(server_reader, writer)
        )

    async def copy(self, reader, writer) -> None:
        while data := await reader.read(65536):
            self.byte_count += len(data)
            writer.write(data)
        writer.close()


async def measure() -> None:
    """Print the threads, memory, times and bytes of all measurements."""
    settings = PeerSettings()
    print(f"start: threads {thread_count()}, resident {resident_mb():.1f} MB")
    server = PeerServer(_StubHandler(), "127.0.0.1:0", settings)
    await server.start()
    client = PeerClient(settings)
    address = f"127.0.0.1:{server.port}"
    await client.exchange("vm-00001", address, EXCHANGE)
    print(f"first call: threads {thread_count()}, resident {resident_mb():.1f} MB")
    for label, count, is_new_channel in (
        ("warm", 2000, False),
        ("new channel", 300, True),
    ):
        cpu_s, elapsed_s = time.process_time(), time.monotonic()
        failed = 0
        for _ in range(count):
            if is_new_channel:
                await client.close()
            outcome = await client.exchange("vm-00001", address, EXCHANGE)
            failed += outcome.is_error()
        cpu_s, elapsed_s = time.process_time() - cpu_s, time.monotonic() - elapsed_s
        print(
            f"{label}: {cpu_s / count * 1e6:.0f} us processor, "
            f"{elapsed_s / count * 1e6:.0f} us elapsed for each call, "
            f"{failed} of {count} failed, threads {thread_count()}"
        )
    extra_servers = [
        PeerServer(_StubHandler(), "127.0.0.1:0", settings) for _ in range(16)
    ]
    for extra_server in extra_servers:
        await extra_server.start()
    mb_before = resident_mb()
    for extra_server in extra_servers:
        await client.exchange("vm-00001", f"127.0.0.1:{extra_server.port}", EXCHANGE)
    kb_per_channel = (resident_mb() - mb_before) * 1000 / 16
    print(
        f"16 channels, both ends: {kb_per_channel:.0f} KB each, "
        f"threads {thread_count()}"
    )
    calls = [
        client.exchange("vm-00001", f"127.0.0.1:{extra_server.port}", EXCHANGE)
        for extra_server in extra_servers * 12
    ]
    await asyncio.gather(*calls)
    print(
        f"192 calls at once: threads {thread_count()}, resident {resident_mb():.1f} MB"
    )
    counting_relay = _CountingRelay(server.port)
    relay_server = await asyncio.start_server(
        counting_relay.handle_connection, "127.0.0.1", 0
    )
    address = f"127.0.0.1:{relay_server.sockets[0].getsockname()[1]}"
    await client.exchange("vm-00001", address, EXCHANGE)
    first_call_bytes = counting_relay.byte_count
    for _ in range(200):
        await client.exchange("vm-00001", address, EXCHANGE)
    message_bytes = message_to_proto(EXCHANGE).ByteSize()
    bytes_per_call = (counting_relay.byte_count - first_call_bytes) / 200
    print(
        f"bytes: first call {first_call_bytes}, next calls {bytes_per_call:.0f} for "
        f"request and reply of {message_bytes} B each, so "
        f"{bytes_per_call / 2 - message_bytes:.0f} B more for each message"
    )
    await client.close()
    relay_server.close()
    for running_server in [server, *extra_servers]:
        await running_server.stop(0)


def main() -> None:
    """Run the measurement."""
    asyncio.run(measure())


if __name__ == "__main__":
    main()
