"""HTTP sessions and limits that the engine clients share."""

from collections.abc import Callable
from contextvars import ContextVar

import aiohttp
import msgspec
from aiohttp.client import ClientTimeout
from aiohttp.client_reqrep import ClientRequest
from aiohttp.connector import Connection
from aiohttp.tracing import Trace

from dandelionpond.adapters.http_session import create_session


class EngineClientSettings(msgspec.Struct, frozen=True):
    """Limits of the engine client, in bytes and seconds.

    `max_stream_bytes` has room for 8,192 output tokens of about 100 bytes each,
    including the event framing; `max_answer_bytes` has room for 20,000 holdings of
    about 150 bytes each.
    """

    connect_timeout_s: float = 2.0
    max_connections: int = 5_000
    max_event_bytes: int = 256 * 1024
    max_stream_bytes: int = 64 * 1024 * 1024
    max_answer_bytes: int = 8 * 1024 * 1024


class EngineSessions:
    """HTTP sessions shared by the clients of all engines.

    Must be created inside the running event loop. `unpooled` opens a new connection for
    each request; `pooled` reuses connections.
    """

    __slots__ = ("pooled", "settings", "unpooled")

    def __init__(self, settings: EngineClientSettings | None = None) -> None:
        self.settings = settings or EngineClientSettings()
        self.pooled = self._create_session(force_close=False)
        self.unpooled = self._create_session(force_close=True)

    async def close(self) -> None:
        """Close all connections."""
        await self.pooled.close()
        await self.unpooled.close()

    def _create_session(self, force_close: bool) -> aiohttp.ClientSession:
        connector = _GuardedConnector(
            limit=self.settings.max_connections, force_close=force_close
        )
        return create_session(connector, auto_decompress=False)


class NotSentError(Exception):
    """Raised when a request is abandoned before its first byte is sent."""


class SendState:
    """Whether any byte of a request may have been sent.

    A new instance applies to the next request of the current task.
    """

    __slots__ = ("_callback", "may_have_sent")

    def __init__(self, callback: Callable[[], bool | None] | None) -> None:
        self._callback = callback
        self.may_have_sent = False
        _send_state.set(self)

    def may_send(self) -> bool:
        """Return whether the request may be sent; if so, mark it as possibly sent."""
        if not self.may_have_sent:
            if self._callback is not None and self._callback() is False:
                return False
            self.may_have_sent = True
        return True


_send_state: ContextVar[SendState] = ContextVar("send_state")


class _GuardedConnector(aiohttp.TCPConnector):
    """Connector that asks for permission to send once a request has its connection.

    That is the last moment before the first byte can be sent. A trace signal of aiohttp
    fires at the same time, but aiohttp does not close a new connection if the signal's
    handler raises.
    """

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: ClientTimeout
    ) -> Connection:
        connection = await super().connect(req, traces, timeout)
        if not _send_state.get().may_send():
            connection.close()
            raise NotSentError
        return connection
