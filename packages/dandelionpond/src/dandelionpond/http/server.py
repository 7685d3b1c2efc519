"""HTTP listeners that run in the node's event loop."""

import asyncio
import contextlib
import resource
import socket
import ssl
from collections.abc import Generator, Sequence
from typing import Any

import uvicorn
from starlette.types import ASGIApp

from dandelionpond.http.body_memory import DEFAULT_MEMORY_BYTES, BodyLimits
from dandelionpond.http.connection import BoundedProtocol
from dandelionpond.http.connection_limits import (
    IDLE_CONNECTION_BYTES,
    TLS_CONNECTION_BYTES,
    BufferLimit,
    ConnectionTable,
    max_client_connections,
)
from dandelionpond.http.handshake import TlsHandshake

KEEP_ALIVE_S = 75
BACKLOG = 2_048
# Connections that are accepted at once, before any of them can be counted. They are
# within the descriptors that connections of clients do not get.
ACCEPT_BATCH = 16
# Descriptors of a process that states none.
DEFAULT_MAX_DESCRIPTORS = 1_024


class _Server(uvicorn.Server):
    """Server without signal handlers; the node drains before it stops a listener.

    `tls_context` is for the protocols: the sockets accept connections without TLS, so
    that connections are counted before their handshake.
    """

    tls_context: ssl.SSLContext | None = None

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Open the listeners."""
        self.tls_context, self.config.ssl = self.config.ssl, None
        await super().startup(sockets)

    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        yield


def bind(address: str) -> socket.socket:
    """Bind a TCP socket to `IP:port`; port 0 selects a free port.

    Raise `OSError` if the address cannot be bound.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # Accepted sockets take over the protocol number, and asyncio sets TCP_NODELAY only
    # on sockets that have it.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
    except OSError:
        listener.close()
        raise
    return listener


def address_of(listener: socket.socket) -> str:
    """Return the `IP:port` that a socket is bound to."""
    host, port = listener.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def create_table(
    limit: BufferLimit | None = None,
    memory_bytes: int = DEFAULT_MEMORY_BYTES,
    max_descriptors: int = DEFAULT_MAX_DESCRIPTORS,
    has_tls: bool = False,
) -> ConnectionTable:
    """Return a table for the connections of one or more listeners.

    `limit` is shared with request bodies. The process may have fewer descriptors than
    its settings say.
    """
    if limit is None:
        limit = BodyLimits(memory_bytes).long_bodies
    soft_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if soft_limit != resource.RLIM_INFINITY:
        max_descriptors = min(max_descriptors, soft_limit)
    connection_bytes = TLS_CONNECTION_BYTES if has_tls else IDLE_CONNECTION_BYTES
    max_connections = max_client_connections(
        memory_bytes, max_descriptors, connection_bytes
    )
    return ConnectionTable(limit, max_connections)


class TlsFiles:
    """Paths of the PEM files with the certificate and private key of a listener."""

    __slots__ = ("certificate", "private_key")

    def __init__(self, certificate: str, private_key: str) -> None:
        self.certificate = certificate
        self.private_key = private_key


class HttpListener:
    """Listener that serves an ASGI application on one or more bound sockets."""

    def __init__(
        self,
        app: ASGIApp,
        listener: socket.socket,
        tls: TlsFiles | None = None,
        more_sockets: Sequence[socket.socket] = (),
        table: ConnectionTable | None = None,
    ) -> None:
        if table is None:
            table = create_table()
        # loop="auto" would select uvloop if it is installed, and uvloop uses io_uring.
        config = uvicorn.Config(
            app,
            loop="asyncio",
            http=self._create_protocol,  # type: ignore[arg-type]
            ws="none",
            lifespan="off",
            interface="asgi3",
            log_config=None,
            access_log=False,
            proxy_headers=False,
            server_header=False,
            timeout_keep_alive=KEEP_ALIVE_S,
            backlog=ACCEPT_BATCH,
            ssl_certfile=tls.certificate if tls else None,
            ssl_keyfile=tls.private_key if tls else None,
        )
        self._table = table
        self._config = config
        self._server = _Server(config)
        self._socket = listener
        self._sockets = [listener, *more_sockets]
        self._task: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Return the `IP:port` of the first socket."""
        return address_of(self._socket)

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._server.server_state.connections)

    @property
    def partial_requests(self) -> int:
        """Return the number of requests whose heads have been read in part."""
        return sum(
            getattr(connection, "is_reading_head", False)
            for connection in self._server.server_state.connections
        )

    @property
    def unsent_responses(self) -> int:
        """Return the number of complete responses that clients have yet to read."""
        return sum(
            getattr(connection, "has_unsent_response", False)
            for connection in self._server.server_state.connections
        )

    @property
    def unfinished_requests(self) -> int:
        """Return the number of partial and running requests and unread responses."""
        running = len(self._server.server_state.tasks)
        return running + self.partial_requests + self.unsent_responses

    async def start(self) -> None:
        """Start accepting connections; return once the listener is open."""
        self._task = asyncio.create_task(self._server.serve(self._sockets))
        while not self._server.started:
            if self._task.done():
                self._task.result()
                raise RuntimeError("the HTTP listener stopped during startup")
            await asyncio.sleep(0.005)
        # asyncio accepts as many connections at once as may wait. More may wait.
        for listener in self._sockets:
            listener.listen(BACKLOG)

    def set_idle_timeout(self, seconds: float) -> None:
        """Set the keep-alive timeout of connections accepted from now on."""
        self._config.timeout_keep_alive = max(1, round(seconds))

    def reload_tls(self, tls: TlsFiles) -> None:
        """Reload the certificate and key; open connections keep the old ones.

        Raise `OSError` or `ssl.SSLError` if the files cannot be loaded; the old
        certificate then stays in use.
        """
        context = self._server.tls_context
        if context is not None:
            context.load_cert_chain(tls.certificate, tls.private_key)

    def _create_protocol(self, **options: Any) -> asyncio.Protocol:
        """Return the protocol of a connection that is being accepted."""
        protocol = BoundedProtocol(self._table, **options)
        context = self._server.tls_context
        if context is None:
            return protocol
        return TlsHandshake(protocol, context, self._table)

    async def stop(self, timeout_s: float | None = None) -> None:
        """Close the listener and wait until the open requests have finished.

        With a timeout, requests that are open after it are left unfinished.
        """
        if self._task is not None:
            self._server.should_exit = True
            await asyncio.wait([self._task], timeout=timeout_s)
            if self._task.done():
                self._task.result()
