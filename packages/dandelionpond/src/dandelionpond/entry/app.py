"""ASGI application that receives, authorizes and forwards client requests."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from dandelionpond.entry.attempts import Forwarder
from dandelionpond.entry.calls import CallForwarder
from dandelionpond.entry.client_requests import IncomingRequest, Reply
from dandelionpond.entry.prompts import PromptForwarder
from dandelionpond.entry.reservations import MemoryReservations
from dandelionpond.entry.room import WaitingRoom
from dandelionpond.errors import ErrorKind
from dandelionpond.forwarding.messages import Headers
from dandelionpond.http.answers import FLOW_EXTENSION
from dandelionpond.http.body_memory import BodyMemory
from dandelionpond.http.connection_limits import LogLimiter
from dandelionpond.published.messages import Account, RequestLimits, Route, RouteKind
from dandelionpond.published.table import RouteTable

log = logging.getLogger("dandelionpond.requests")

# Seconds after which clients may retry while this node has no settings yet.
NO_SETTINGS_RETRY_AFTER_S = 0.5
# Longest time in seconds that a request waits for the first settings of a node that has
# just started, the longest share of its own time limit, and the interval of checks. A
# node gets its settings within a few tenths of a second if a peer or the store answers.
MAX_SETTINGS_WAIT_S = 0.5
MAX_SETTINGS_WAIT_SHARE = 0.1
SETTINGS_CHECK_INTERVAL_S = 0.02


class ClientDisconnected(Exception):
    """The client closed its connection before the body was read."""


class EntryApp:
    """The ASGI application of one listener."""

    def __init__(
        self,
        forwarder: Forwarder,
        reservations: MemoryReservations,
        room: WaitingRoom,
        arrived_at: Callable[[], float],
        is_shutting_down: Callable[[], bool],
    ) -> None:
        self._forwarder = forwarder
        self._calls = CallForwarder(forwarder)
        self._prompts = PromptForwarder(forwarder, reservations, room)
        self._arrived_at = arrived_at
        self._is_shutting_down = is_shutting_down
        self._tasks: set[asyncio.Task[None]] = set()
        self.body_limits = forwarder.body_limits
        self.log_limiter = LogLimiter()
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Return the number of unfinished requests, also of those still being read."""
        return self._in_flight

    def cancel_all(self) -> None:
        """Cancel all unfinished requests."""
        for task in self._tasks:
            task.cancel()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request.

        An unexpected exception ends in status 500 or in a closed connection.
        """
        self._in_flight += 1
        try:
            await self._serve(scope, receive, send)
        except Exception:
            self._forwarder.count("code_errors")
            log.exception("unhandled exception while serving a request")
            raise
        finally:
            self._in_flight -= 1

    async def _serve(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request and cancel its task when the client disconnects."""
        connection = scope.get("extensions", {}).get(FLOW_EXTENSION)
        reply = Reply(send, self._is_shutting_down, connection)
        arrived_at = self._arrived_at()
        memory = BodyMemory(self.body_limits)
        try:
            body = await self._read_body(
                receive, _content_length(scope["headers"]), memory
            )
            if isinstance(body, ErrorKind):
                await self._refuse_body(scope, reply, body)
                return
            await self._serve_request(scope, receive, body, reply, arrived_at)
        except ClientDisconnected:
            return
        finally:
            memory.release()

    async def _serve_request(
        self,
        scope: Any,
        receive: Any,
        body: bytes,
        reply: Reply,
        arrived_at: float,
    ) -> None:
        work = asyncio.create_task(self._handle(scope, body, reply, arrived_at))
        self._tasks.add(work)
        disconnect = asyncio.create_task(_wait_for_disconnect(receive))
        try:
            await asyncio.wait((work, disconnect), return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._tasks.discard(work)
            for task in (work, disconnect):
                if not task.done():
                    task.cancel()
            await asyncio.gather(work, disconnect, return_exceptions=True)
        if not work.cancelled() and work.exception() is not None:
            log.error(
                "unhandled exception while forwarding a request",
                exc_info=work.exception(),
            )
            if not reply.has_started:
                await self._forwarder.refuse("", reply, ErrorKind.INTERNAL)

    async def _read_body(
        self, receive: Any, length: int, memory: BodyMemory
    ) -> bytes | ErrorKind:
        """Return the request body, or the error kind of its refusal.

        It may be too large, too slow, or not fit in the memory for bodies; that is
        decided before it is read if its length is known. Raises ClientDisconnected if
        the client closes the connection first.
        """
        table = self._forwarder.fleet.published.table
        limits = RequestLimits() if table is None else table.document.limits
        parts: list[bytes] = []
        size = 0
        if length <= limits.body_bytes and not memory.grow_to(length):
            return ErrorKind.OVERLOADED
        try:
            # The timeout covers the whole body. With a timeout for each read, a client
            # that sends single bytes could keep a connection open without limit.
            async with asyncio.timeout(limits.idle_timeout_s):
                while True:
                    message = await receive()
                    if message["type"] == "http.disconnect":
                        raise ClientDisconnected
                    parts.append(message.get("body", b""))
                    size += len(parts[-1])
                    if size > limits.body_bytes:
                        return ErrorKind.BODY_TOO_LARGE
                    if not memory.grow_to(size):
                        return ErrorKind.OVERLOADED
                    if not message.get("more_body", False):
                        return b"".join(parts)
        except TimeoutError:
            return ErrorKind.BODY_TIMEOUT

    async def _refuse_body(self, scope: Any, reply: Reply, kind: ErrorKind) -> None:
        request_id = self._forwarder.header_translator.parse_request(
            tuple(scope["headers"])
        ).request_id
        self._log_refusal(scope, request_id, kind)
        # The server discards the rest of a body that is within the limits. Otherwise
        # the connection cannot be reused.
        reply.closes_connection = kind is not ErrorKind.OVERLOADED
        await self._forwarder.refuse(request_id, reply, kind)

    def _log_refusal(self, scope: Any, request_id: str, kind: ErrorKind) -> None:
        """Log a refused request, at most once a minute for each client and kind."""
        client = scope.get("client")
        address = client[0] if client else ""
        fleet = self._forwarder.fleet
        suppressed = self.log_limiter.admit(address, kind, fleet.now())
        if suppressed is not None:
            log.info(
                "request refused",
                extra={
                    "request_id": request_id,
                    "from": address,
                    "kind": kind,
                    "version": fleet.published.version,
                    "suppressed": suppressed,
                },
            )

    async def _wait_for_settings(
        self, arrived_at: float, timeout_s: float | None
    ) -> None:
        """Wait for the first settings, until it is no longer worth it for a request.

        A client that is refused comes back only once or twice.
        """
        fleet = self._forwarder.fleet
        # The store was tried and peers were asked: settings will not come soon.
        while not fleet.published.is_complete and not fleet.published.is_old_trusted:
            if fleet.now() - arrived_at >= _settings_wait_s(timeout_s):
                return
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)

    async def _handle(
        self, scope: Any, body: bytes, reply: Reply, arrived_at: float
    ) -> None:
        headers: Headers = tuple(scope["headers"])
        head = self._forwarder.header_translator.parse_request(headers)
        published = self._forwarder.fleet.published
        if not published.is_complete:
            await self._wait_for_settings(arrived_at, head.timeout_s)
        table = published.table
        if table is None or not published.is_complete:
            kind = ErrorKind.SETTINGS_UNAVAILABLE
            await self._forwarder.refuse(
                head.request_id, reply, kind, NO_SETTINGS_RETRY_AFTER_S
            )
            return
        path = scope["raw_path"].decode("latin-1")
        matched = match_route(table, _host(headers), path, head.api_key)
        if isinstance(matched, ErrorKind):
            self._log_refusal(scope, head.request_id, matched)
            await self._forwarder.refuse(head.request_id, reply, matched)
            return
        route, account = matched
        query = scope["query_string"].decode("latin-1")
        fleet = self._forwarder.fleet
        service_name = fleet.choose_service(route)
        request = IncomingRequest(
            scope["method"],
            f"{path}?{query}" if query else path,
            headers,
            body,
            head,
            route,
            service_name,
            account,
            arrived_at,
        )
        fleet.retry_budget(service_name).add_request(fleet.now())
        service = table.service(service_name)
        if route.kind is RouteKind.STREAM:
            engine = None if service is None else service.engine
            await self._prompts.run(request, reply, engine)
        else:
            await self._calls.run(request, reply)


def _content_length(headers: Headers) -> int:
    """Return the announced length of a body; 0 if unknown."""
    for name, value in headers:
        if name == b"content-length" and value.isdigit() and len(value) < 19:
            return int(value)
    return 0


def _settings_wait_s(timeout_s: float | None) -> float:
    """Return how long a request with a time limit waits for the first settings."""
    if timeout_s is None:
        return MAX_SETTINGS_WAIT_S
    return min(MAX_SETTINGS_WAIT_S, MAX_SETTINGS_WAIT_SHARE * timeout_s)


def match_route(
    table: RouteTable, host: str, path: str, key: str | None
) -> tuple[Route, Account | None] | ErrorKind:
    """Return the route and the account of a request, or why it is refused."""
    route = table.match(host, path)
    if route is None:
        return ErrorKind.UNKNOWN_PATH
    if route.is_public or not table.needs_key:
        return route, None
    if key is None:
        return ErrorKind.MISSING_KEY
    account = table.account_of(key)
    return ErrorKind.INVALID_KEY if account is None else (route, account)


def _host(headers: Headers) -> str:
    for name, value in headers:
        if name == b"host":
            return value.decode("latin-1")
    return ""


async def _wait_for_disconnect(receive: Any) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
