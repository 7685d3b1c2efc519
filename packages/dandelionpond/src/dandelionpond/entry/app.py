"""Take requests from clients: route, key, kind, and the client's departure."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from dandelionpond.entry.attempts import Forwarder
from dandelionpond.entry.calls import CallForwarder
from dandelionpond.entry.groups import MemoryReservations
from dandelionpond.entry.incoming import IncomingRequest, Reply
from dandelionpond.entry.prompts import PromptForwarder
from dandelionpond.errors import ErrorKind
from dandelionpond.forwarding.messages import Headers
from dandelionpond.published.messages import Account, RequestLimits, Route
from dandelionpond.published.table import RouteTable

log = logging.getLogger("dandelionpond.requests")

# Time in seconds after which a client may come back to a node without settings.
NO_SETTINGS_RETRY_S = 0.5


class ClientGone(Exception):
    """The client closed its channel."""


class EntryApp:
    """Answer the requests of one listener as an ASGI application."""

    def __init__(
        self,
        forwarder: Forwarder,
        groups: MemoryReservations,
        arrived_at: Callable[[], float],
        is_leaving: Callable[[], bool],
    ) -> None:
        self._forwarder = forwarder
        self._calls = CallForwarder(forwarder)
        self._prompts = PromptForwarder(forwarder, groups)
        self._arrived_at = arrived_at
        self._is_leaving = is_leaving
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def in_flight(self) -> int:
        """Return the number of requests that have not ended."""
        return len(self._tasks)

    def cancel_all(self) -> None:
        """Cut off the requests that are left."""
        for task in self._tasks:
            task.cancel()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request; an error of the code ends in 500 or a closed channel."""
        try:
            await self._serve(scope, receive, send)
        except Exception:
            self._forwarder.count("code_errors")
            log.exception("request failed")
            raise

    async def _serve(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request; its work ends within a turn once the client is gone."""
        reply = Reply(send, self._is_leaving)
        arrived_at = self._arrived_at()
        try:
            body = await self._read_body(receive)
        except ClientGone:
            return
        if isinstance(body, ErrorKind):
            await self._refuse_body(scope, reply, body)
            return
        work = asyncio.create_task(self._answer(scope, body, reply, arrived_at))
        self._tasks.add(work)
        watch = asyncio.create_task(_departure(receive))
        try:
            await asyncio.wait((work, watch), return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._tasks.discard(work)
            for task in (work, watch):
                if not task.done():
                    task.cancel()
            await asyncio.gather(work, watch, return_exceptions=True)
        if not work.cancelled() and work.exception() is not None:
            log.error("request failed", exc_info=work.exception())
            if not reply.has_started:
                await self._forwarder.refuse("", reply, ErrorKind.INTERNAL)

    async def _read_body(self, receive: Any) -> bytes | ErrorKind:
        """Return the whole body, or why it was given up; raise ClientGone."""
        table = self._forwarder.fleet.keeper.table
        limits = RequestLimits() if table is None else table.document.limits
        parts: list[bytes] = []
        size = 0
        try:
            # One limit for the body as a whole: with one for each read, a client could
            # hold a connection for as long as it sends a byte now and then.
            async with asyncio.timeout(limits.idle_timeout_s):
                while True:
                    message = await receive()
                    if message["type"] == "http.disconnect":
                        raise ClientGone
                    parts.append(message.get("body", b""))
                    size += len(parts[-1])
                    if size > limits.body_bytes:
                        return ErrorKind.BODY_TOO_LARGE
                    if not message.get("more_body", False):
                        return b"".join(parts)
        except TimeoutError:
            return ErrorKind.BODY_TIMEOUT

    async def _refuse_body(self, scope: Any, reply: Reply, kind: ErrorKind) -> None:
        request_id = self._forwarder.dialect.parse_request(
            tuple(scope["headers"])
        ).request_id
        log.info("request refused", extra={"request_id": request_id, "kind": kind})
        # The rest of the body is not read.
        reply.is_last = True
        await self._forwarder.refuse(request_id, reply, kind)

    async def _answer(
        self, scope: Any, body: bytes, reply: Reply, arrived_at: float
    ) -> None:
        headers: Headers = tuple(scope["headers"])
        head = self._forwarder.dialect.parse_request(headers)
        table = self._forwarder.fleet.keeper.table
        if table is None or not self._forwarder.fleet.keeper.is_complete:
            kind = ErrorKind.SETTINGS_UNAVAILABLE
            await self._forwarder.refuse(
                head.request_id, reply, kind, NO_SETTINGS_RETRY_S
            )
            return
        path = scope["raw_path"].decode("latin-1")
        found = _find(table, _host(headers), path, head.api_key)
        if isinstance(found, ErrorKind):
            log.info(
                "request refused",
                extra={
                    "request_id": head.request_id,
                    "kind": found,
                    "version": table.document.version,
                },
            )
            await self._forwarder.refuse(head.request_id, reply, found)
            return
        route, account = found
        query = scope["query_string"].decode("latin-1")
        fleet = self._forwarder.fleet
        service_name = fleet.choose_service(route)
        call = IncomingRequest(
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
        fleet.retry_budget(service_name).earn(fleet.now())
        service = table.service(service_name)
        if service is not None and service.engine is not None:
            await self._prompts.run(call, reply, service.engine)
        else:
            await self._calls.run(call, reply)


def _find(
    table: RouteTable, host: str, path: str, key: str | None
) -> tuple[Route, Account | None] | ErrorKind:
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


async def _departure(receive: Any) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
