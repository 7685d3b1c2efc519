"""HTTP client that sends each request to an upstream on a new connection.

A new connection costs one round trip. It avoids the faults of reused ones: a late
response to an earlier request, stray bytes after a response, and connections that hang
or were closed while idle.
"""

import asyncio
import functools
import math
import re
import socket
from typing import Any

import aiohttp
from yarl import URL

from dandelionpond.adapters.connection_probe import refuses_connections
from dandelionpond.adapters.http_session import BoundedResponseHandler, create_session
from dandelionpond.forwarding.messages import BrokenResponse, Headers, NotSent
from dandelionpond.http.body_memory import SHORT_BODY_BYTES
from dandelionpond.http.connection_limits import BufferLimit

# Timeout in seconds for opening a connection. Round trips take milliseconds; the rest
# allows for a busy processor.
CONNECT_TIMEOUT_S = 0.35
# Copies of a response when all of it was read: its parts, and the whole. Up to
# SHORT_BODY_BYTES they are not counted in the limit of long bodies, so that long bodies
# do not fail the calls whose short responses are still to come.
COPIES_OF_RESPONSE = 2
# TCP keepalive: idle seconds before the first probe, seconds between probes, and
# unanswered probes after which the kernel resets the connection. This detects hosts
# that lost power.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Milliseconds for which sent bytes may stay unacknowledged.
USER_TIMEOUT_MS = 1_500
READ_BYTES = 64 * 1024
# Limit on the bytes of a response's head, interim responses included.
MAX_HEAD_BYTES = 64 * 1024
# Headers that aiohttp would add to those of the client.
_NO_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


_HEAD_END = b"\r\n\r\n"
_INTERIM = re.compile(rb"HTTP/1\.[01] 1\d\d")
_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*(\d+)[ \t]*\r\n", re.IGNORECASE)


class UpstreamError(Exception):
    """A failure of a request, with its outcome."""

    def __init__(self, outcome: NotSent | BrokenResponse) -> None:
        super().__init__(outcome.reason)
        self.outcome = outcome


class _ResponseHandler(BoundedResponseHandler):
    """A handler that records a connection error and drops bytes after a body.

    aiohttp rejects a complete response if bytes that are no response follow it, and
    accepts interim responses (status 1xx) without end.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.was_reset = False
        self._head = b""
        self._head_bytes = 0
        # Bytes of the body that are still expected; None while the head is read.
        self._remaining: float | None = None

    def data_received(self, data: bytes) -> None:
        """Pass on the bytes that belong to the response.

        aiohttp resumes its paused parser by a call without data.
        """
        if not data:
            super().data_received(data)
            return
        if self._remaining is None:
            data = self._read_head(data)
        else:
            data = (
                data if len(data) <= self._remaining else data[: int(self._remaining)]
            )
            self._remaining -= len(data)
        if data:
            super().data_received(data)

    def _read_head(self, data: bytes) -> bytes:
        """Look for the end of the final head; return the bytes to pass on."""
        self._head += data
        self._head_bytes += len(data)
        while (end := self._head.find(_HEAD_END)) >= 0:
            if not _INTERIM.match(self._head):
                length = _LENGTH.search(self._head, 0, end + 2)
                body_bytes = float(length[1]) if length else math.inf
                surplus = len(self._head) - end - len(_HEAD_END) - body_bytes
                self._remaining = max(0.0, -surplus)
                self._head = b""
                return data[: len(data) - int(surplus)] if surplus > 0 else data
            self._head = self._head[end + len(_HEAD_END) :]
        if self._head_bytes > MAX_HEAD_BYTES:
            self.fail(f"no complete response head in {MAX_HEAD_BYTES} bytes")
            return b""
        return data

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record a reset, which aiohttp treats as the end of a body without length."""
        self.was_reset = exc is not None
        super().connection_lost(exc)


class _ClientResponse(aiohttp.ClientResponse):
    """A response that keeps a reference to the connection's handler.

    aiohttp drops its own reference at the end of the response.
    """

    handler: Any = None

    async def start(self, connection: Any) -> aiohttp.ClientResponse:
        """Read the head of the response."""
        self.handler = connection.protocol
        return await super().start(connection)


def _open_socket(address_info: Any) -> socket.socket:
    family, kind, protocol = address_info[:3]
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return sock


class UpstreamResponse:
    """A response whose head is read and whose body is read in pieces."""

    __slots__ = ("_response", "headers", "status")

    def __init__(self, response: _ClientResponse) -> None:
        self._response = response
        self.status = response.status
        self.headers: Headers = response.raw_headers

    @property
    def has_length(self) -> bool:
        """Return whether the end of the body is marked by a length or by chunks."""
        headers = self._response.headers
        return "Content-Length" in headers or "Transfer-Encoding" in headers

    async def read(self) -> bytes:
        """Return the next bytes of the body, or an empty string at its end.

        Raises UpstreamError if the body is cut off.
        """
        try:
            data = await self._response.content.readany()
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise UpstreamError(BrokenResponse(_reason(error))) from None
        handler = self._response.handler
        if not data and handler is not None and handler.was_reset:
            raise UpstreamError(
                BrokenResponse("connection reset before the end of the body")
            )
        return data

    async def read_all(
        self, max_bytes: int, buffer: BufferLimit, memory: BufferLimit
    ) -> bytes:
        """Return the whole body.

        Raises UpstreamError if it is cut off, longer than `max_bytes`, or if all
        responses together exceed the limit of `buffer`, or the copies of long ones
        that of `memory`, which other data shares.
        """
        parts = []
        size = counted = 0
        try:
            while data := await self.read():
                if size + len(data) > max_bytes:
                    reason = f"response body exceeds {max_bytes} bytes"
                    raise UpstreamError(BrokenResponse(reason))
                if not buffer.take(len(data)):
                    reason = f"responses in progress exceed {buffer.max_bytes} bytes"
                    raise UpstreamError(BrokenResponse(reason, is_own_limit=True))
                size += len(data)
                needed = COPIES_OF_RESPONSE * size if size > SHORT_BODY_BYTES else 0
                if needed and not memory.take(needed - counted):
                    reason = "no memory for the response"
                    raise UpstreamError(BrokenResponse(reason, is_own_limit=True))
                counted = needed
                parts.append(data)
            return b"".join(parts)
        finally:
            buffer.release(size)
            memory.release(counted)

    def close(self) -> None:
        """Close the connection, so that the upstream cancels an unfinished request."""
        self._response.close()


class UpstreamClient:
    """A client for upstreams; must be created inside the running event loop.

    `connect_timeout_s` is the timeout for opening a connection in seconds. `counters`
    holds the requests of the caller and the connections opened for them; the numbers
    differ if a request was sent more than once.
    """

    def __init__(self, connect_timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        self.counters = {"requests": 0, "connections": 0}
        connector = aiohttp.TCPConnector(
            limit=0, force_close=True, socket_factory=self._open_socket
        )
        loop = asyncio.get_running_loop()
        # aiohttp has no public API that tells how a connection ended.
        connector._factory = functools.partial(_ResponseHandler, loop)  # type: ignore[assignment]
        self._connect_timeout_s = connect_timeout_s
        self._session = create_session(
            connector,
            response_class=_ClientResponse,
            auto_decompress=False,
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
        """Send a request and return the response once its head is read.

        Raises UpstreamError with `NotSent` if the connection could not be opened, and
        with `BrokenResponse` for any later failure.
        """
        url = URL(f"http://{address}{target}", encoded=True)
        self.counters["requests"] += 1
        try:
            response = await self._session.request(
                method, url, headers=headers, data=body or None, allow_redirects=False
            )
        except (aiohttp.ConnectionTimeoutError, aiohttp.ClientConnectorError) as error:
            raise UpstreamError(NotSent(_reason(error))) from None
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise UpstreamError(BrokenResponse(_reason(error))) from None
        assert isinstance(response, _ClientResponse)
        return UpstreamResponse(response)

    async def is_reachable(self, address: str) -> bool:
        """Return whether an upstream accepts a connection."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return False
        writer.transport.abort()
        return True

    async def refuses_connections(self, address: str, repeats: bool = True) -> bool:
        """Return whether no process listens at an upstream's address any more.

        A host that does not respond may only be cut off, and is not reported. An
        upstream that accepts a connection is tested once more if `repeats`.
        """
        host, _, port = address.rpartition(":")
        return await refuses_connections(host, int(port), repeats)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    def _open_socket(self, address_info: Any) -> socket.socket:
        self.counters["connections"] += 1
        return _open_socket(address_info)


def _reason(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"[:200]
