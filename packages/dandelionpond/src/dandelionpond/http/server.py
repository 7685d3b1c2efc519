"""Run HTTP listeners inside the node's event loop."""

import asyncio
import contextlib
import secrets
import socket
from collections.abc import Generator, Sequence

import uvicorn
from starlette.types import ASGIApp
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.http.answers import EXECUTION_HEADER, REQUEST_ID_HEADER, error_body

# Time for the headers of a request, in seconds. A connection that sends them more
# slowly would hold a socket and a buffer for as long as it likes.
HEADER_TIMEOUT_S = 15.0
KEEP_ALIVE_S = 75
BACKLOG = 2_048


class BoundedProtocol(HttpToolsProtocol):
    """Answer malformed requests with the error table and bound the time for headers."""

    _header_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the time limit for the first request's headers."""
        super().connection_made(transport)
        self._start_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the time limit."""
        self._stop_header_timer()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Start the time limit for the headers of a later request."""
        super().on_message_begin()
        if self._header_timer is None:
            self._start_header_timer()

    def on_headers_complete(self) -> None:
        """Stop the time limit."""
        self._stop_header_timer()
        super().on_headers_complete()

    def send_400_response(self, msg: str) -> None:
        """Send an error body in place of the library's plain text."""
        kind = ErrorKind.INVALID_HEADER
        failure = Failure(kind, "the request is not valid HTTP/1.1")
        request_id = new_request_id()
        body = error_body(failure, request_id)
        head = (
            "HTTP/1.1 400 Bad Request\r\ncontent-type: application/json\r\n"
            f"{REQUEST_ID_HEADER}: {request_id}\r\n"
            f"{EXECUTION_HEADER}: {failure.execution}\r\n"
            f"content-length: {len(body)}\r\nconnection: close\r\n\r\n"
        )
        self.transport.write(head.encode() + body)
        self.transport.close()

    def _start_header_timer(self) -> None:
        self._header_timer = self.loop.call_later(
            HEADER_TIMEOUT_S, self._headers_too_slow
        )

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _headers_too_slow(self) -> None:
        self._header_timer = None
        self.transport.close()


class _Server(uvicorn.Server):
    """Leave signals to the node, which drains before it stops a listener."""

    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        yield


def new_request_id() -> str:
    """Return a random request identifier."""
    return f"req-{secrets.token_hex(12)}"


def bind(address: str) -> socket.socket:
    """Bind a TCP socket to `IP:port`; port 0 lets the operating system choose.

    Raises OSError if the address cannot be bound.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
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


class TlsFiles:
    """Name the certificate and private key files of a listener, in PEM."""

    __slots__ = ("certificate", "private_key")

    def __init__(self, certificate: str, private_key: str) -> None:
        self.certificate = certificate
        self.private_key = private_key


class HttpListener:
    """Serve one ASGI application on one or more bound sockets."""

    def __init__(
        self,
        app: ASGIApp,
        listener: socket.socket,
        tls: TlsFiles | None = None,
        more_sockets: Sequence[socket.socket] = (),
    ) -> None:
        # The standard loop, by name: uvloop, which the automatic choice would take if
        # it were installed, uses io_uring.
        config = uvicorn.Config(
            app,
            loop="asyncio",
            http=BoundedProtocol,
            ws="none",
            lifespan="off",
            interface="asgi3",
            log_config=None,
            access_log=False,
            proxy_headers=False,
            server_header=False,
            timeout_keep_alive=KEEP_ALIVE_S,
            backlog=BACKLOG,
            ssl_certfile=tls.certificate if tls else None,
            ssl_keyfile=tls.private_key if tls else None,
        )
        self._config = config
        self._server = _Server(config)
        self._socket = listener
        self._sockets = [listener, *more_sockets]
        self._task: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Return the `IP:port` of the listener."""
        return address_of(self._socket)

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._server.server_state.connections)

    async def start(self) -> None:
        """Accept connections; returns once the listener is open."""
        self._task = asyncio.create_task(self._server.serve(self._sockets))
        while not self._server.started:
            if self._task.done():
                self._task.result()
                raise RuntimeError("the HTTP listener ended while it started")
            await asyncio.sleep(0.005)

    def set_idle_timeout(self, seconds: float) -> None:
        """Set how long connections accepted from now on may be idle."""
        self._config.timeout_keep_alive = max(1, round(seconds))

    def reload_tls(self, tls: TlsFiles) -> None:
        """Read certificate and key again; open connections keep the old ones.

        Raises OSError or ssl.SSLError if the files cannot be read; the old certificate
        then stays in use.
        """
        context = self._config.ssl
        if context is not None:
            context.load_cert_chain(tls.certificate, tls.private_key)

    async def stop(self) -> None:
        """Close the listener and wait until the open requests have ended."""
        if self._task is not None:
            self._server.should_exit = True
            await self._task
