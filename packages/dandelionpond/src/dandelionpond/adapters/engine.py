"""Speak the reference engine's wire format over HTTP."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import TypeVar

import aiohttp
import msgspec
from expression import Error, Ok, Result

from dandelionpond.adapters.engine_api import (
    CacheEvent,
    EngineLoad,
    EngineRequest,
    KvBlock,
    Piece,
    StreamEnd,
    StreamEvent,
    StreamFailure,
    StreamFailureReason,
)
from dandelionpond.adapters.engine_session import EngineSessions, NotSentError, Sending
from dandelionpond.adapters.sse import EventReader
from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.memory.messages import Holding, HoldingKind
from dandelionpond.orders.messages import (
    EngineChange,
    EngineReport,
    FencingToken,
    ModelState,
)

T = TypeVar("T")

# The transfer ends with the end marker or right after it; later the connection is not
# worth keeping.
_END_S = 0.2


class _Refusal(msgspec.Struct, frozen=True):
    error: str = ""
    execution: str = ""
    leaving: bool = False
    result: str = ""


class _Released(msgspec.Struct, frozen=True):
    released: bool
    found: bool


class _Holding(msgspec.Struct, frozen=True):
    holding_id: str
    kind: HoldingKind
    owner: str
    tokens: int
    expires_in_s: float


class _Holdings(msgspec.Struct, frozen=True):
    holdings: list[_Holding]


class _Unknown(msgspec.Struct, frozen=True):
    unknown: frozenset[str]


class _Done(msgspec.Struct, frozen=True):
    done: bool


class _Exported(msgspec.Struct, frozen=True):
    block: KvBlock | None


class _Events(msgspec.Struct, frozen=True):
    events: list[CacheEvent]


class _Ordered(msgspec.Struct, frozen=True):
    fencing: FencingToken


class _Report(msgspec.Struct, frozen=True):
    models: dict[str, ModelState]
    role: str
    fencing: FencingToken


class HttpEngineClient:
    """Implement `EngineClient` for the reference engine at one base URL."""

    __slots__ = ("_sessions", "_settings", "_url")

    def __init__(self, sessions: EngineSessions, url: str) -> None:
        self._sessions = sessions
        self._settings = sessions.settings
        self._url = url.rstrip("/")

    async def stream(
        self,
        request: EngineRequest,
        timeout_s: float,
        silence_s: float,
        new_connection: bool = False,
        on_sending: Callable[[], bool | None] | None = None,
    ) -> AsyncIterator[list[StreamEvent]]:
        """Yield batches of events; the last event is a StreamEnd or StreamFailure."""
        sending = Sending(on_sending)
        ended = False
        session = self._sessions.fresh if new_connection else self._sessions.pooled
        try:
            async with session.post(
                f"{self._url}/v1/generate",
                data=msgspec.json.encode(request),
                timeout=self._timeout(timeout_s, silence_s),
            ) as response:
                if response.status != 200:
                    body = await self._body(response)
                    yield [_refused(response.status, body, sending)]
                    return
                async for batch in self._events(response):
                    ended = not isinstance(batch[-1], Piece)
                    yield batch
                # Read the end of the transfer, so that the connection can be reused.
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(_END_S):
                        await response.content.readany()
        except Exception as error:
            if not ended:
                yield [_broken(error, sending)]

    async def cancel(
        self, holding_id: str, owner: str, timeout_s: float
    ) -> Result[bool, Failure]:
        """Free a holding; Ok means that the engine confirmed it."""
        body = {"id": holding_id, "owner": owner}
        answer = await self._call("POST", "/v1/cancel", body, _Released, timeout_s)
        match answer:
            case Result(tag="ok", ok=released) if not released.released:
                return Error(
                    Failure(ErrorKind.UPSTREAM_FAILED, "the engine did not release")
                )
        return answer.map(lambda released: released.found)

    async def list_holdings(self, timeout_s: float) -> Result[list[Holding], Failure]:
        """List everything that the engine holds."""
        answer = await self._call("GET", "/v1/holdings", None, _Holdings, timeout_s)
        return answer.map(
            lambda found: [
                Holding(
                    each.holding_id,
                    each.kind,
                    each.owner,
                    each.tokens,
                    each.expires_in_s,
                )
                for each in found.holdings
            ]
        )

    async def renew(
        self, holding_ids: tuple[str, ...], owner: str, ttl_s: float, timeout_s: float
    ) -> Result[frozenset[str], Failure]:
        """Move expiries and return the identifiers that the engine does not hold."""
        body = {"ids": holding_ids, "owner": owner, "expires_in_s": ttl_s}
        answer = await self._call("POST", "/v1/renew", body, _Unknown, timeout_s)
        return answer.map(lambda found: found.unknown)

    async def reserve(
        self, holding_id: str, owner: str, tokens: int, ttl_s: float, timeout_s: float
    ) -> Result[bool, Failure]:
        """Reserve memory in tokens; false if there is not enough."""
        body = {
            "id": holding_id,
            "owner": owner,
            "tokens": tokens,
            "expires_in_s": ttl_s,
        }
        answer = await self._call("POST", "/v1/kv/reserve", body, _Done, timeout_s)
        return answer.map(lambda reserved: reserved.done)

    async def release(
        self, holding_id: str, owner: str, timeout_s: float
    ) -> Result[bool, Failure]:
        """Free a reservation, an export or an import, as `cancel` does."""
        return await self.cancel(holding_id, owner, timeout_s)

    async def export_kv(
        self,
        holding_id: str,
        owner: str,
        model: str,
        prefix_hashes: tuple[int, ...],
        ttl_s: float,
        timeout_s: float,
    ) -> Result[KvBlock | None, Failure]:
        """Hold the cached leading blocks for a transfer; None if none is cached."""
        body = {
            "id": holding_id,
            "owner": owner,
            "model": model,
            "prefix_hashes": prefix_hashes,
            "expires_in_s": ttl_s,
        }
        answer = await self._call("POST", "/v1/kv/export", body, _Exported, timeout_s)
        return answer.map(lambda exported: exported.block)

    async def import_kv(
        self,
        holding_id: str,
        owner: str,
        block: KvBlock,
        ttl_s: float,
        timeout_s: float,
    ) -> Result[bool, Failure]:
        """Store exported blocks; false if there is not enough memory."""
        body = {
            "id": holding_id,
            "owner": owner,
            "block": block,
            "expires_in_s": ttl_s,
        }
        answer = await self._call("POST", "/v1/kv/import", body, _Done, timeout_s)
        return answer.map(lambda imported: imported.done)

    async def fetch_cache_events(
        self, from_seq: int, timeout_s: float
    ) -> Result[list[CacheEvent], Failure]:
        """Return cache events with `seq >= from_seq`."""
        path = f"/v1/events?from={from_seq}"
        answer = await self._call("GET", path, None, _Events, timeout_s)
        return answer.map(lambda found: found.events)

    async def fetch_load(self, timeout_s: float) -> Result[EngineLoad, Failure]:
        """Return the engine's lagging load report."""
        return await self._call("GET", "/v1/load", None, EngineLoad, timeout_s)

    async def send_order(
        self,
        token: FencingToken,
        change: EngineChange,
        timeout_s: float,
        on_sending: Callable[[], bool | None] | None = None,
    ) -> Result[FencingToken, Failure]:
        """Send an order and return the greatest token that the engine has seen."""
        body = {
            "fencing": token,
            "action": change.action,
            "model": change.model,
            "version": change.version,
            "adapter": change.adapter,
            "role": change.role,
        }
        answer = await self._call(
            "POST", "/v1/orders", body, _Ordered, timeout_s, on_sending
        )
        return answer.map(lambda ordered: ordered.fencing)

    async def fetch_report(self, timeout_s: float) -> Result[EngineReport, Failure]:
        """Return models, adapters and role of the engine."""
        answer = await self._call("GET", "/v1/orders", None, _Report, timeout_s)
        return answer.map(
            lambda found: EngineReport(found.models, found.role, found.fencing)
        )

    async def _events(
        self, response: aiohttp.ClientResponse
    ) -> AsyncIterator[list[StreamEvent]]:
        reader = EventReader(self._settings.max_event_bytes)
        left = self._settings.max_stream_bytes
        async for data in response.content.iter_any():
            left -= len(data)
            if left < 0:
                raise _TooLarge
            batch: list[StreamEvent] = [*reader.read(data)]
            if batch:
                yield batch
                if isinstance(batch[-1], StreamEnd):
                    return
        failure = Failure(ErrorKind.ANSWER_INCOMPLETE, "the answer has no end marker")
        yield [StreamFailure("truncated", failure, True)]

    async def _call(
        self,
        method: str,
        path: str,
        body: object,
        kind: type[T],
        timeout_s: float,
        on_sending: Callable[[], bool | None] | None = None,
    ) -> Result[T, Failure]:
        sending = Sending(on_sending)
        try:
            async with self._sessions.pooled.request(
                method,
                self._url + path,
                data=None if body is None else msgspec.json.encode(body),
                timeout=self._timeout(timeout_s, timeout_s),
            ) as response:
                content = await self._body(response)
                if response.status != 200:
                    return Error(_refused(response.status, content, sending).failure)
                return Ok(msgspec.json.decode(content, type=kind))
        except Exception as error:
            return Error(_broken(error, sending).failure)

    async def _body(self, response: aiohttp.ClientResponse) -> bytes:
        chunks = []
        left = self._settings.max_answer_bytes
        async for data in response.content.iter_any():
            left -= len(data)
            if left < 0:
                raise _TooLarge
            chunks.append(data)
        return b"".join(chunks)

    def _timeout(self, total_s: float, silence_s: float) -> aiohttp.ClientTimeout:
        connect_s = min(self._settings.connect_timeout_s, total_s)
        # aiohttp sets this timer anew with each read, so it is left out where the
        # total ends the wait anyway.
        sock_read = silence_s if silence_s < total_s else None
        return aiohttp.ClientTimeout(
            total=total_s, connect=connect_s, sock_read=sock_read, ceil_threshold=3_600
        )


class _TooLarge(Exception):
    """Report an answer over its size bound."""


def _refused(status: int, body: bytes, sending: Sending) -> StreamFailure:
    """Translate an answer with an error status."""
    try:
        refusal = msgspec.json.decode(body, type=_Refusal)
    except msgspec.MsgspecError:
        refusal = _Refusal()
    text = refusal.error or refusal.result or f"status {status}"
    reason: StreamFailureReason = "leaving" if refusal.leaving else "refused"
    if refusal.execution != "not_run":
        reason, kind = "failed", ErrorKind.UPSTREAM_FAILED
        if refusal.result:
            reason, kind = "refused", ErrorKind.UPSTREAM_REFUSED
    elif refusal.error == "too_large":
        kind = ErrorKind.INSUFFICIENT_MEMORY
    elif refusal.error == "unknown_model":
        reason, kind = "unknown_model", ErrorKind.UPSTREAM_REFUSED
    else:
        kind = ErrorKind.UPSTREAM_REFUSED
    return StreamFailure(reason, Failure(kind, f"engine: {text}"), sending.started)


def _broken(error: Exception, sending: Sending) -> StreamFailure:
    """Translate an exception; one that means a fault of this program is raised."""
    reason: StreamFailureReason
    match error:
        case _TooLarge():
            reason, kind, text = "too_large", ErrorKind.ANSWER_TOO_LARGE, "too large"
        case NotSentError():
            failure = Failure(ErrorKind.DEADLINE_BEFORE_SEND, "too late to send")
            return StreamFailure("not_sent", failure, False)
        case aiohttp.ConnectionTimeoutError() if not sending.started:
            reason, kind, text = "connect_failed", ErrorKind.UPSTREAM_UNREACHABLE, ""
        case aiohttp.SocketTimeoutError():
            reason, kind, text = "silent", ErrorKind.UPSTREAM_FAILED, "engine is silent"
        case TimeoutError():
            reason, kind, text = "deadline", ErrorKind.UPSTREAM_FAILED, "out of time"
        case aiohttp.ClientPayloadError():
            # The transfer coding ended early, by a close or by a reset.
            reason, kind, text = "reset", ErrorKind.UPSTREAM_FAILED, "answer cut off"
        case aiohttp.ClientResponseError() | ValueError():
            reason, kind, text = "invalid", ErrorKind.UPSTREAM_INVALID, "invalid answer"
        case aiohttp.ClientError() | OSError():
            reason, kind, text = "reset", ErrorKind.UPSTREAM_FAILED, "connection lost"
        case _:
            raise error
    if not sending.started:
        reason, kind = "connect_failed", ErrorKind.UPSTREAM_UNREACHABLE
    detail = f"{text or 'no connection'}: {error}".rstrip(": ")
    return StreamFailure(reason, Failure(kind, detail), sending.started)
