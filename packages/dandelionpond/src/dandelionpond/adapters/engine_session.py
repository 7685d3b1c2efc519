"""Hold the HTTP sessions of the engine clients and their bounds."""

from collections.abc import Callable
from contextvars import ContextVar

import aiohttp
import msgspec
from aiohttp.client import ClientTimeout
from aiohttp.client_reqrep import ClientRequest
from aiohttp.connector import Connection
from aiohttp.tracing import Trace


class EngineClientSettings(msgspec.Struct, frozen=True):
    """Bound sizes in bytes and times in seconds of the engine client.

    8,192 output tokens of at most some 100 bytes with their event frame stay below
    `max_stream_bytes`; 20,000 holdings of about 150 bytes stay below
    `max_answer_bytes`.
    """

    connect_timeout_s: float = 2.0
    max_connections: int = 5_000
    max_event_bytes: int = 256 * 1024
    max_stream_bytes: int = 64 * 1024 * 1024
    max_answer_bytes: int = 8 * 1024 * 1024


class EngineSessions:
    """Hold the HTTP sessions that the clients of all engines share.

    Create it inside the running loop. `fresh` never reuses a connection.
    """

    __slots__ = ("fresh", "pooled", "settings")

    def __init__(self, settings: EngineClientSettings | None = None) -> None:
        self.settings = settings or EngineClientSettings()
        self.pooled = self._session(force_close=False)
        self.fresh = self._session(force_close=True)

    async def close(self) -> None:
        """Close all connections."""
        await self.pooled.close()
        await self.fresh.close()

    def _session(self, force_close: bool) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(
            connector=_Connector(
                limit=self.settings.max_connections, force_close=force_close
            ),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
        )


class NotSentError(Exception):
    """Report that a request was given up before its first byte could leave."""


class Sending:
    """Remember whether a byte of a request can have left.

    It belongs to the next request of the current task.
    """

    __slots__ = ("_callback", "started")

    def __init__(self, callback: Callable[[], bool | None] | None) -> None:
        self._callback = callback
        self.started = False
        _sending.set(self)

    def may_start(self) -> bool:
        """Return whether the next byte may leave, and note it."""
        if not self.started:
            if self._callback is not None and self._callback() is False:
                return False
            self.started = True
        return True


_sending: ContextVar[Sending] = ContextVar("sending")


class _Connector(aiohttp.TCPConnector):
    """Ask when a request gets a connection, which is when its first byte can leave.

    A trace signal comes at the same time, but a new connection is not closed when the
    receiver of the signal raises.
    """

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: ClientTimeout
    ) -> Connection:
        connection = await super().connect(req, traces, timeout)
        if not _sending.get().may_start():
            connection.close()
            raise NotSentError
        return connection
