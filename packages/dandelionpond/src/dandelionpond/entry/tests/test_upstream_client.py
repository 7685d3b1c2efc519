"""Test what each fault of an upstream's answer counts as, as a table."""

import asyncio
import socket
import struct

import pytest

from dandelionpond.entry.upstream_client import (
    UpstreamClient,
    UpstreamError,
    UpstreamResponse,
)
from dandelionpond.forwarding.messages import Broken, NotSent

# No test depends on how fast a busy machine opens a connection.
CONNECT_S = 30.0
OK = b"HTTP/1.1 200 OK\r\n"
BODY = b"hello world"


def framed(body=BODY, length=None, more=b""):
    size = len(body) if length is None else length
    return OK + b"Content-Length: %d\r\n%s\r\n" % (size, more) + body


class Upstream:
    """Answer each connection with fixed bytes, then end it in a given way."""

    def __init__(self, answer, ending="close", reads_body=True):
        self._answer = answer
        self._ending = ending
        self._reads_body = reads_body
        self.received = b""

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *_):
        self._server.close()

    async def _serve(self, reader, writer):
        self.received += await reader.readuntil(b"\r\n\r\n")
        if self._reads_body and b"POST" in self.received:
            self.received += await reader.readexactly(4)
        writer.write(self._answer)
        if self._ending == "silence":
            await asyncio.sleep(30)
        await writer.drain()
        await asyncio.sleep(0.05)
        if self._ending == "reset":
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
        writer.close()


async def exchange(address, method="GET", body=b""):
    exchanger = UpstreamClient(CONNECT_S)
    try:
        opened = await exchanger.send_request(address, method, "/a/b?c=%2F", [], body)
        data = await opened.read_all(1 << 20)
        return opened, data
    finally:
        await exchanger.close()


def outcome_of(answer, **fields):
    async def run():
        async with Upstream(answer, **fields) as upstream:
            try:
                return (await exchange(upstream.address))[1]
            except UpstreamError as error:
                return error.outcome

    return asyncio.run(run())


class TestAnswers:
    @pytest.mark.parametrize(
        "answer",
        [
            framed(),
            framed() + b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad",
            framed() + b"extra bytes",
            OK + b"Transfer-Encoding: chunked\r\n\r\nb\r\nhello world\r\n0\r\n\r\n",
            OK + b"\r\n" + BODY,
        ],
        ids=["length", "second answer", "extra bytes", "chunked", "until the end"],
    )
    def test_complete_body(self, answer):
        """Guard against bytes of another answer, and bodies without a length."""
        assert outcome_of(answer) == BODY

    @pytest.mark.parametrize(
        ("answer", "ending"),
        [
            (b"", "close"),
            (b"", "reset"),
            (OK[:9], "close"),
            (framed(length=40), "close"),
            (framed(length=40), "reset"),
            (OK + b"Transfer-Encoding: chunked\r\n\r\nb\r\nhello", "close"),
            (OK + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nhello", "close"),
            (OK + b"\r\n" + BODY, "reset"),
            (b"\x00\x01garbage\r\n\r\n", "close"),
        ],
        ids=[
            "nothing",
            "reset before the head",
            "half a head",
            "short body",
            "reset in the body",
            "half a chunk",
            "bad chunk",
            "reset of a body without length",
            "garbage",
        ],
    )
    def test_broken_answer(self, answer, ending):
        """Guard against a cut answer that is passed on as complete."""
        assert isinstance(outcome_of(answer, ending=ending), Broken)

    def test_refused_connection_is_not_sent(self):
        """Guard against a request counted as run that never left this node."""
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{unused.getsockname()[1]}"
        with pytest.raises(UpstreamError) as caught:
            asyncio.run(exchange(address))
        assert isinstance(caught.value.outcome, NotSent)

    def test_answer_before_the_body_is_read(self):
        """Guard against an early answer that is lost while the body is sent."""

        async def run():
            async with Upstream(framed(), reads_body=False) as upstream:
                return await exchange(upstream.address, "POST", b"x" * 100_000)

        assert asyncio.run(run())[1] == BODY

    def test_request_is_sent_as_it_came(self):
        """Guard against a path that the client library decodes or encodes anew."""

        async def run():
            async with Upstream(framed()) as upstream:
                await exchange(upstream.address, "POST", b"body")
                return upstream.received

        received = asyncio.run(run())
        assert received.startswith(b"POST /a/b?c=%2F HTTP/1.1\r\n")
        assert received.endswith(b"\r\n\r\nbody")
        assert b"user-agent" not in received.lower()

    def test_close_reaches_the_upstream(self):
        """Guard against work that goes on after the client has left."""

        async def run():
            gone = asyncio.Event()

            async def serve(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(OK + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
                await reader.read()
                gone.set()
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            exchanger = UpstreamClient(CONNECT_S)
            opened = await exchanger.send_request(
                f"127.0.0.1:{port}", "GET", "/", [], b""
            )
            assert isinstance(opened, UpstreamResponse)
            assert await opened.read() == b"x"
            opened.close()
            await asyncio.wait_for(gone.wait(), 5)
            await exchanger.close()
            server.close()

        asyncio.run(run())
