"""Hold the HTTP sessions of the engine clients and their bounds."""

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import aiohttp
import msgspec


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
        trace = aiohttp.TraceConfig()
        # Both signals come when a connection is available and before the first byte of
        # the request is written to it.
        trace.on_connection_create_end.append(_mark)
        trace.on_connection_reuseconn.append(_mark)
        return aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=self.settings.max_connections, force_close=force_close
            ),
            trace_configs=[trace],
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
        )


class Sending:
    """Remember whether a byte of a request can have left."""

    __slots__ = ("_callback", "started")

    def __init__(self, callback: Callable[[], None] | None) -> None:
        self._callback = callback
        self.started = False

    def mark(self) -> None:
        """Learn that the next byte may leave, unless the callback raises."""
        if not self.started:
            if self._callback is not None:
                self._callback()
            self.started = True


async def _mark(
    session: aiohttp.ClientSession, context: SimpleNamespace, params: Any
) -> None:
    context.trace_request_ctx.mark()
