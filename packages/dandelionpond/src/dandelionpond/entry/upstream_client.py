"""Send one request to an upstream on a connection of its own.

A fresh connection costs a round trip and rules out what kept ones bring: a late second
answer, bytes behind an answer, a connection that went silent or was dropped while idle.
"""

import asyncio
import functools
import math
import re
import socket
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from yarl import URL

from dandelionpond.forwarding.messages import Broken, Headers, NotSent

# Time in seconds for a connection to open. Round trips take milliseconds; the rest
# leaves time for a busy processor.
CONNECT_TIMEOUT_S = 0.35
# Seconds without data after which the kernel probes a connection, between probes, and
# probes without an answer until it is reset. A machine without power answers none.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Milliseconds for which sent bytes may stay unacknowledged.
USER_TIMEOUT_MS = 1_500
READ_BYTES = 64 * 1024
# Headers that the library would add to what the client sent.
_NO_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


_HEAD_END = b"\r\n\r\n"
_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*(\d+)[ \t]*\r\n", re.IGNORECASE)


class UpstreamError(Exception):
    """Carry the outcome of an exchange that failed."""

    def __init__(self, outcome: NotSent | Broken) -> None:
        super().__init__(outcome.reason)
        self.outcome = outcome


class _Handler(ResponseHandler):
    """Remember whether a connection ended with an error; drop bytes behind a body.

    The library refuses a complete answer if bytes that are no answer follow it.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.was_reset = False
        self._head = b""
        # Bytes of the body that are still due; None while the head is read.
        self._due: float | None = None

    def data_received(self, data: bytes) -> None:
        """Pass on what belongs to the answer."""
        if self._due is None:
            self._head += data
            end = self._head.find(_HEAD_END)
            if end >= 0:
                length = _LENGTH.search(self._head, 0, end + 2)
                due = float(length[1]) if length else math.inf
                surplus = len(self._head) - end - len(_HEAD_END) - due
                if surplus > 0:
                    data = data[: len(data) - int(surplus)]
                self._due = max(0.0, -surplus)
                self._head = b""
        else:
            data = data if len(data) <= self._due else data[: int(self._due)]
            self._due -= len(data)
        if data:
            super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record a reset: the library takes it for the end of an unframed body."""
        self.was_reset = exc is not None
        super().connection_lost(exc)


class _Response(aiohttp.ClientResponse):
    """Keep the connection's handler, which the library lets go at the end."""

    handler: Any = None

    async def start(self, connection: Any) -> aiohttp.ClientResponse:
        """Read the head of the answer."""
        self.handler = connection.protocol
        return await super().start(connection)


def _open_socket(info: Any) -> socket.socket:
    family, kind, protocol = info[:3]
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return opened


class UpstreamResponse:
    """Hold one answer while it is read."""

    __slots__ = ("_response", "headers", "status")

    def __init__(self, response: _Response) -> None:
        self._response = response
        self.status = response.status
        self.headers: Headers = response.raw_headers

    async def read(self) -> bytes:
        """Return the next bytes of the body, or nothing at its complete end.

        Raises UpstreamError if the body breaks off.
        """
        try:
            data = await self._response.content.readany()
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise UpstreamError(Broken(_reason(error))) from None
        handler = self._response.handler
        if not data and handler is not None and handler.was_reset:
            raise UpstreamError(Broken("reset before the end"))
        return data

    async def read_all(self, max_bytes: int) -> bytes:
        """Return the whole body; raise UpstreamError if it is too large or cut off."""
        parts = []
        size = 0
        while data := await self.read():
            size += len(data)
            if size > max_bytes:
                raise UpstreamError(Broken(f"the answer is over {max_bytes} bytes"))
            parts.append(data)
        return b"".join(parts)

    def close(self) -> None:
        """Close the connection, which makes the upstream drop an unfinished request."""
        self._response.close()


class UpstreamClient:
    """Open exchanges; create it inside the running loop.

    `connect_timeout_s` bounds the opening of a connection in seconds.
    """

    def __init__(self, connect_timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        connector = aiohttp.TCPConnector(
            limit=0, force_close=True, socket_factory=_open_socket
        )
        loop = asyncio.get_running_loop()
        # The library has no public way to see how a connection ended.
        connector._factory = functools.partial(_Handler, loop)  # type: ignore[assignment]
        self._session = aiohttp.ClientSession(
            connector=connector,
            response_class=_Response,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=_NO_AUTO_HEADERS,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_s),
            read_bufsize=READ_BYTES,
        )

    async def send_request(
        self,
        address: str,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> UpstreamResponse:
        """Send a request and return its answer once the head is read.

        Raises UpstreamError: NotSent if no connection could be opened, Broken after.
        """
        url = URL(f"http://{address}{target}", encoded=True)
        try:
            response = await self._session.request(
                method, url, headers=headers, data=body or None, allow_redirects=False
            )
        except (aiohttp.ConnectionTimeoutError, aiohttp.ClientConnectorError) as error:
            raise UpstreamError(NotSent(_reason(error))) from None
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise UpstreamError(Broken(_reason(error))) from None
        assert isinstance(response, _Response)
        return UpstreamResponse(response)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()


def _reason(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"[:200]
