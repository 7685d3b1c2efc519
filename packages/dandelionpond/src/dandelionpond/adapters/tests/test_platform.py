"""Test the platform client against faulty answers."""

import asyncio
import socket
import struct

import pytest
from expression import Error, Ok

from dandelionpond.adapters.platform import (
    MAX_LISTING_BYTES,
    Folder,
    HttpPlatformClient,
    Listing,
    PlatformError,
    PlatformFault,
    Value,
    read_folder,
)


def answer(body: bytes, headers: str = "", length: int | None = None) -> bytes:
    """Return an HTTP answer, with a wrong length if one is given."""
    size = len(body) if length is None else length
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n{headers}\r\n"
    return head.encode() + body


BODY = b'{"revision": 3, "files": {}, "vms": []}'
GOOD = answer(BODY, "X-Revision: 3\r\n")
HUGE = answer(b"", "X-Revision: 3\r\n", MAX_LISTING_BYTES + 1) + b" " * (
    MAX_LISTING_BYTES + 1
)
RESET, SILENCE = object(), object()
CALLS = {
    "list_files": ("settings/",),
    "read": ("settings/10-a.json",),
    "watch": ("settings/", 3, 0.1),
    "list_vms": (),
}
FAULTS = {
    "reset before first byte": ([RESET], {PlatformFault.RESET}),
    "reset after first bytes": (
        [GOOD[:-10], RESET],
        {PlatformFault.RESET, PlatformFault.TRUNCATED},
    ),
    "closed without an answer": ([], {PlatformFault.RESET}),
    "silence": ([SILENCE], {PlatformFault.TIMEOUT}),
    "silence in the body": ([GOOD[:-10], SILENCE], {PlatformFault.TIMEOUT}),
    "truncated": ([GOOD[:-10]], {PlatformFault.TRUNCATED}),
    "garbage": ([b"\x00\xff not http\r\n\r\n"], {PlatformFault.INVALID}),
    "status 500": (
        [b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"],
        {PlatformFault.STATUS},
    ),
    "redirect": (
        [b"HTTP/1.1 302 X\r\nLocation: /\r\nContent-Length: 0\r\n\r\n"],
        {PlatformFault.STATUS},
    ),
    "too large": ([HUGE], {PlatformFault.TOO_LARGE}),
}


async def call(script: list, method: str, timeout_s: float):
    """Call a server that follows a script: bytes, RESET, SILENCE or a pause."""
    stop = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        for step in script:
            if step is SILENCE:
                await stop.wait()
            elif step is RESET:
                linger = struct.pack("ii", 1, 0)
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, linger
                )
            elif isinstance(step, float):
                await asyncio.sleep(step)
            else:
                writer.write(step)
                try:
                    await writer.drain()
                except ConnectionError:
                    break
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with HttpPlatformClient(f"http://127.0.0.1:{port}", timeout_s) as client:
        result = await getattr(client, method)(*CALLS[method])
    stop.set()
    server.close()
    return result


class TestHttpPlatformClient:
    @pytest.mark.parametrize("method", CALLS)
    @pytest.mark.parametrize("fault", FAULTS)
    def test_fault_is_a_value(self, method, fault):
        """Guard against an exception, a hang or a false answer on a fault."""
        script, expected = FAULTS[fault]
        timeout_s = 0.1 if SILENCE in script else 10.0
        result = asyncio.run(call(script, method, timeout_s))
        assert result.error.fault in expected

    @pytest.mark.parametrize("method", CALLS)
    def test_connect_refused(self, method):
        """Guard against an exception when nothing listens."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]

        async def run():
            async with HttpPlatformClient(f"http://127.0.0.1:{port}") as client:
                return await getattr(client, method)(*CALLS[method])

        assert asyncio.run(run()).error.fault is PlatformFault.UNREACHABLE

    @pytest.mark.parametrize("method", CALLS)
    def test_slow_answer_is_complete(self, method):
        """Guard against an answer cut where the sender pauses."""
        script = [GOOD[i : i + 20] for i in range(0, len(GOOD), 20)]
        script = [step for part in script for step in (part, 0.001)]
        assert asyncio.run(call(script, method, 10.0)).is_ok()

    @pytest.mark.parametrize("method", CALLS)
    def test_late_answer(self, method):
        """Guard against an answer that is used after its time."""
        result = asyncio.run(call([SILENCE, GOOD], method, 0.05))
        assert result.error.fault is PlatformFault.TIMEOUT

    @pytest.mark.parametrize("header", ["", "X-Revision: -1\r\n", "X-Revision: x\r\n"])
    def test_value_without_a_revision(self, header):
        """Guard against a value that cannot be ordered."""
        result = asyncio.run(call([answer(b"{}", header)], "read", 10.0))
        assert result.error.fault is PlatformFault.INVALID

    @pytest.mark.parametrize("method", ["list_files", "watch", "list_vms"])
    @pytest.mark.parametrize("body", [b"{", b"[]", b'{"revision": "x"}', b"[" * 9_000])
    def test_wrong_body(self, method, body):
        """Guard against an answer of another form."""
        result = asyncio.run(call([answer(body)], method, 10.0))
        assert result.error.fault is PlatformFault.INVALID


class Scripted:
    """Give listings and values from lists."""

    def __init__(self, listings, values):
        self.listings, self.values, self.reads = list(listings), values, []

    async def list_files(self, prefix):
        return Ok(self.listings.pop(0) if self.listings[1:] else self.listings[0])

    async def read(self, name):
        self.reads.append(name)
        found = self.values.get(name)
        missing = PlatformError(PlatformFault.NOT_FOUND, name)
        return Ok(found) if found else Error(missing)


def folder(listings, values, held=None):
    """Read a folder from a scripted client."""
    client = Scripted(listings, values)
    return client, asyncio.run(read_folder(client, "s/", held or {}))


class TestReadFolder:
    def test_reads_only_what_changed_until_it_stands_still(self):
        """Guard against a mixture of two revisions."""
        one = Listing(1, {"s/a": 1, "s/b": 1})
        two = Listing(2, {"s/a": 2, "s/b": 1})
        values = {"s/a": Value(b"2", 2), "s/b": Value(b"b", 1)}
        held = {"b": Value(b"b", 1), "old": Value(b"", 1)}
        client, result = folder([one, two, two], values, held)
        assert result.ok == Folder(2, {"a": Value(b"2", 2), "b": Value(b"b", 1)})
        assert client.reads == ["s/a"]

    def test_vanished_file(self):
        """Guard against a folder that lacks a listed file."""
        one, two = Listing(1, {"s/a": 1}), Listing(2, {})
        assert folder([one, two, two], {})[1].ok == Folder(2, {})
        assert folder([one], {})[1].error.fault is PlatformFault.UNSTABLE

    def test_never_still(self):
        """Guard against an endless read."""
        listings = [Listing(i, {"s/a": i}) for i in range(1, 20)]
        values = {"s/a": Value(b"", 99)}
        assert folder(listings, values)[1].error.fault is PlatformFault.UNSTABLE

    @pytest.mark.parametrize(
        ("listings", "value"),
        [
            ([Listing(2, {"s/a": 2})], Value(b"", 1)),
            ([Listing(2, {"s/a": 2}), Listing(1, {"s/a": 1})], Value(b"", 3)),
        ],
    )
    def test_wrong_revision(self, listings, value):
        """Guard against values or lists from a stale replica."""
        result = folder(listings, {"s/a": value})[1]
        assert result.error.fault is PlatformFault.WRONG_REVISION
