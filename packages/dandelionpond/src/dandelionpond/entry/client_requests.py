"""A client's request and the reply to it."""

import itertools
from typing import Any, Protocol

from dandelionpond.errors import ErrorKind
from dandelionpond.forwarding.messages import Headers, RequestHead
from dandelionpond.placement.exclusions import Exclusion, requirements_of
from dandelionpond.published.messages import Account, Route
from dandelionpond.published.table import RouteTable

_sequence = itertools.count()


class IncomingRequest:
    """A request that was read completely; times are monotonic seconds.

    `target` is the path and query as the client sent them. `local_id` identifies the
    request within this process, since clients may use a request id twice.
    `kept_from` are the reasons by which operators kept it from upstreams so far.
    """

    __slots__ = (
        "account",
        "arrived_at",
        "body",
        "deadline_at",
        "document_version",
        "head",
        "headers",
        "kept_from",
        "local_id",
        "method",
        "requirements",
        "route",
        "service",
        "target",
    )

    def __init__(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        head: RequestHead,
        route: Route,
        service: str,
        account: Account | None,
        arrived_at: float,
    ) -> None:
        self.local_id = f"{head.request_id}/{next(_sequence)}"
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.head = head
        self.route = route
        self.service = service
        self.account = account
        self.requirements = requirements_of(route, account)
        self.kept_from: frozenset[Exclusion] = frozenset()
        # The version of the document that `requirements` follow; 0 at the arrival.
        self.document_version = 0
        self.arrived_at = arrived_at
        timeout = route.timeout_s
        if head.timeout_s is not None:
            timeout = min(timeout, head.timeout_s)
        self.deadline_at = arrived_at + timeout

    def update_requirements(self, table: RouteTable) -> None:
        """Follow a newer document; a removed route or account keeps its requirements.

        A request may be sent again long after it arrived.
        """
        if table.document.version == self.document_version:
            return
        self.document_version = table.document.version
        route, account = table.match(self.route.host, self.route.prefix), None
        if self.account is not None and self.head.api_key is not None:
            account = table.account_of(self.head.api_key)
        if route is None or route.prefix != self.route.prefix:
            return
        if account is None and self.account is not None:
            return
        self.requirements = requirements_of(route, account)


class ClientConnection(Protocol):
    """The flow control of a client's connection.

    `write_paused` is whether the client has too much unread data for further writes,
    `is_lost` whether the connection has been closed.
    """

    write_paused: bool
    is_lost: bool

    async def drain(self) -> None:
        """Wait until the client has read enough, or has closed the connection."""
        ...

    def abort(self) -> None:
        """Close the connection, and drop what the client has not read."""
        ...


class Reply:
    """The response to one client, sent over ASGI.

    `connection` is None if the server does not provide it.
    `closes_connection` is whether the connection closes after this response.
    `error_kind` is the kind of an error response of this node.
    """

    __slots__ = (
        "_is_shutting_down",
        "_send",
        "closes_connection",
        "connection",
        "error_kind",
        "has_started",
        "is_complete",
        "status",
    )

    def __init__(
        self,
        send: Any,
        is_shutting_down: Any,
        connection: ClientConnection | None = None,
    ) -> None:
        self._send = send
        self.connection = connection
        self._is_shutting_down = is_shutting_down
        self.has_started = False
        self.is_complete = False
        self.closes_connection = False
        self.error_kind: ErrorKind | None = None
        self.status = 0

    async def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the status and headers.

        A node that is shutting down adds `Connection: close`, so that the client's next
        request uses a new connection.
        """
        if self.closes_connection or self._is_shutting_down():
            headers = [*headers, (b"connection", b"close")]
        self.has_started = True
        self.status = status
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self, data: bytes = b"") -> None:
        """Send the last part of the body."""
        await self._send({"type": "http.response.body", "body": data})
        self.is_complete = True

    async def send(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a complete response."""
        length = str(len(body)).encode()
        await self.start(status, [*headers, (b"content-length", length)])
        await self.finish(body)
