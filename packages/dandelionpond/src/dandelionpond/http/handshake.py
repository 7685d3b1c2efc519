"""TLS handshakes of client connections, which count as connections from accept on."""

import asyncio
import ssl
from asyncio import sslproto
from typing import Any

from dandelionpond.http import connection
from dandelionpond.http.connection_limits import CloseReason, ConnectionTable

# Most bytes of a TLS record, which are also the encrypted bytes that a connection reads
# at once and those above which it stops reading while its requests wait. asyncio has
# 256 KiB of both for each connection.
RECORD_BYTES = 16 * 1024


class _TlsProtocol(sslproto.SSLProtocol):
    max_size = RECORD_BYTES


class TlsHandshake(asyncio.Protocol):
    """The protocol of an accepted connection until its TLS handshake has ended.

    asyncio calls the protocol of a TLS connection only when the handshake has ended.
    A client that does not go on with it would hold a descriptor that nobody counts.
    `start_tls` is not used, because it may deliver bytes before `connection_made`.
    """

    _transport: asyncio.Transport

    def __init__(
        self,
        protocol: connection.BoundedProtocol,
        context: ssl.SSLContext,
        table: ConnectionTable,
    ) -> None:
        self._protocol = protocol
        self._context = context
        self._table = table
        self._address = ""
        protocol.on_connection_made = self._release

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection and start the handshake."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._address = (transport.get_extra_info("peername") or ("",))[0]
        # The server closes these at a planned stop.
        self._protocol.server_state.connections.add(self)  # type: ignore[arg-type]
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[Any] = loop.create_future()
        waiter.add_done_callback(self._on_end)
        tls = _TlsProtocol(
            loop,
            self._protocol,
            self._context,
            waiter,
            server_side=True,
            ssl_handshake_timeout=connection.HEADER_TIMEOUT_S,  # type: ignore[arg-type]
        )
        transport.set_protocol(tls)
        tls.connection_made(transport)
        port = str(transport.get_extra_info("sockname")[1])
        victim: Any = self._table.open(self, port)
        if victim is not None:
            victim.close_for(CloseReason.CONNECTIONS)

    def close_for(self, reason: CloseReason) -> None:
        """Close the connection because there are too many."""
        self._record(reason)
        self._transport.abort()

    def shutdown(self) -> None:
        """Close the connection at a planned stop; it has no request yet."""
        self._transport.abort()

    def _release(self) -> None:
        """Stop counting the handshake."""
        self._table.close(self)
        self._protocol.server_state.connections.discard(self)

    def _on_end(self, waiter: asyncio.Future[Any]) -> None:
        """Record a handshake that failed or took too long; the connection is closed.

        A client that closes its connection is not recorded.
        """
        self._release()
        error = waiter.exception()
        if isinstance(error, ssl.SSLError | ConnectionAbortedError):
            self._record(CloseReason.HANDSHAKE)
        transport: Any = self._protocol.transport
        if transport is not None:
            transport.set_read_buffer_limits(RECORD_BYTES)

    def _record(self, reason: CloseReason) -> None:
        now = asyncio.get_running_loop().time()
        connection.record_closed(self._table, reason, self._address, now)
