"""HTTP client for the wire format of the reference engine."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import TypeVar

import aiohttp
import msgspec
from expression import Error, Ok, Result

from dandelionpond.adapters.answer_head import AnswerHead, HeadListener, read_marks
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
from dandelionpond.adapters.engine_session import (
    EngineSessions,
    NotSentError,
    SendState,
)
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

# An engine ends the transfer with the end marker or directly after it. After this time
# the connection is closed rather than kept for reuse.
_TRANSFER_END_TIMEOUT_S = 0.2


class _ErrorBody(msgspec.Struct, frozen=True):
    error: str = ""
    execution: str = ""
    leaving: bool = False
    result: str = ""


class _CancelResponse(msgspec.Struct, frozen=True):
    released: bool
    found: bool


class _Holding(msgspec.Struct, frozen=True):
    holding_id: str
    kind: HoldingKind
    owner: str
    tokens: int
    expires_in_s: float


class _HoldingsResponse(msgspec.Struct, frozen=True):
    holdings: list[_Holding]


class _RenewResponse(msgspec.Struct, frozen=True):
    unknown: frozenset[str]


class _DoneResponse(msgspec.Struct, frozen=True):
    done: bool


class _ExportResponse(msgspec.Struct, frozen=True):
    block: KvBlock | None


class _CacheEventsResponse(msgspec.Struct, frozen=True):
    events: list[CacheEvent]


class _OrderResponse(msgspec.Struct, frozen=True):
    fencing: FencingToken


class _ReportResponse(msgspec.Struct, frozen=True):
    models: dict[str, ModelState]
    role: str
    fencing: FencingToken


class HttpEngineClient:
    """`EngineClient` of a reference engine at one base URL.

    `on_head` is called with the marks in the head of each response that has any.
    """

    __slots__ = ("_on_head", "_sessions", "_settings", "_url")

    def __init__(
        self, sessions: EngineSessions, url: str, on_head: HeadListener | None = None
    ) -> None:
        self._on_head = on_head
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
        send_state = SendState(on_sending)
        is_finished = False
        session = self._sessions.unpooled if new_connection else self._sessions.pooled
        try:
            async with session.post(
                f"{self._url}/v1/generate",
                data=msgspec.json.encode(request),
                timeout=self._timeout(timeout_s, silence_s),
                allow_redirects=False,
            ) as response:
                marks = self._report_marks(response)
                if response.status != 200:
                    body = await self._read_body(response)
                    error_body = self._decode_error(response, body)
                    failure = _failure_from_response(
                        response.status, error_body, send_state
                    )
                    if marks is not None and marks.pause_s is not None:
                        failure = msgspec.structs.replace(failure, reason="paused")
                    yield [failure]
                    return
                async for batch in self._read_events(response):
                    is_finished = not isinstance(batch[-1], Piece)
                    yield batch
                # Read to the end of the transfer so that the connection can be reused.
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(_TRANSFER_END_TIMEOUT_S):
                        await response.content.readany()
        except Exception as error:
            if not is_finished:
                yield [_failure_from_exception(error, send_state)]

    async def cancel(
        self, holding_id: str, owner: str, timeout_s: float
    ) -> Result[bool, Failure]:
        """Release a holding; Ok means that the engine confirmed the release."""
        body = {"id": holding_id, "owner": owner}
        result = await self._call(
            "POST", "/v1/cancel", body, _CancelResponse, timeout_s
        )
        match result:
            case Result(tag="ok", ok=response) if not response.released:
                return Error(
                    Failure(
                        ErrorKind.UPSTREAM_FAILED, "engine did not release the holding"
                    )
                )
        return result.map(lambda response: response.found)

    async def list_holdings(self, timeout_s: float) -> Result[list[Holding], Failure]:
        """List all holdings of the engine."""
        result = await self._call(
            "GET", "/v1/holdings", None, _HoldingsResponse, timeout_s
        )
        return result.map(
            lambda response: [
                Holding(
                    holding.holding_id,
                    holding.kind,
                    holding.owner,
                    holding.tokens,
                    holding.expires_in_s,
                )
                for holding in response.holdings
            ]
        )

    async def renew(
        self, holding_ids: tuple[str, ...], owner: str, ttl_s: float, timeout_s: float
    ) -> Result[frozenset[str], Failure]:
        """Renew holdings; return the identifiers that the engine does not hold."""
        body = {"ids": holding_ids, "owner": owner, "expires_in_s": ttl_s}
        result = await self._call("POST", "/v1/renew", body, _RenewResponse, timeout_s)
        return result.map(lambda response: response.unknown)

    async def reserve(
        self, holding_id: str, owner: str, tokens: int, ttl_s: float, timeout_s: float
    ) -> Result[bool, Failure]:
        """Reserve memory for `tokens` tokens; False if the engine has too little."""
        body = {
            "id": holding_id,
            "owner": owner,
            "tokens": tokens,
            "expires_in_s": ttl_s,
        }
        result = await self._call(
            "POST", "/v1/kv/reserve", body, _DoneResponse, timeout_s
        )
        return result.map(lambda response: response.done)

    async def release(
        self, holding_id: str, owner: str, timeout_s: float
    ) -> Result[bool, Failure]:
        """Release a reservation, an export or an import, as `cancel` does."""
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
        """Pin the cached leading blocks for a transfer; None if none is cached."""
        body = {
            "id": holding_id,
            "owner": owner,
            "model": model,
            "prefix_hashes": prefix_hashes,
            "expires_in_s": ttl_s,
        }
        result = await self._call(
            "POST", "/v1/kv/export", body, _ExportResponse, timeout_s
        )
        return result.map(lambda response: response.block)

    async def import_kv(
        self,
        holding_id: str,
        owner: str,
        block: KvBlock,
        ttl_s: float,
        timeout_s: float,
    ) -> Result[bool, Failure]:
        """Import exported blocks; False if the engine has too little memory."""
        body = {
            "id": holding_id,
            "owner": owner,
            "block": block,
            "expires_in_s": ttl_s,
        }
        result = await self._call(
            "POST", "/v1/kv/import", body, _DoneResponse, timeout_s
        )
        return result.map(lambda response: response.done)

    async def fetch_cache_events(
        self, from_seq: int, timeout_s: float
    ) -> Result[list[CacheEvent], Failure]:
        """Return cache events with `seq >= from_seq`."""
        path = f"/v1/events?from={from_seq}"
        result = await self._call("GET", path, None, _CacheEventsResponse, timeout_s)
        return result.map(lambda response: response.events)

    async def fetch_load(self, timeout_s: float) -> Result[EngineLoad, Failure]:
        """Return the engine's load report, which lags behind by `age_s`."""
        return await self._call("GET", "/v1/load", None, EngineLoad, timeout_s)

    async def send_order(
        self,
        token: FencingToken,
        change: EngineChange,
        timeout_s: float,
        on_sending: Callable[[], bool | None] | None = None,
    ) -> Result[FencingToken, Failure]:
        """Send an order and return the highest token that the engine has seen."""
        body = {
            "fencing": token,
            "action": change.action,
            "model": change.model,
            "version": change.version,
            "adapter": change.adapter,
            "role": change.role,
        }
        result = await self._call(
            "POST", "/v1/orders", body, _OrderResponse, timeout_s, on_sending
        )
        return result.map(lambda response: response.fencing)

    async def fetch_report(self, timeout_s: float) -> Result[EngineReport, Failure]:
        """Return the engine's models, adapters, role and fencing token."""
        result = await self._call("GET", "/v1/orders", None, _ReportResponse, timeout_s)
        return result.map(
            lambda response: EngineReport(
                response.models, response.role, response.fencing
            )
        )

    async def _read_events(
        self, response: aiohttp.ClientResponse
    ) -> AsyncIterator[list[StreamEvent]]:
        reader = EventReader(self._settings.max_event_bytes)
        remaining_bytes = self._settings.max_stream_bytes
        async for data in response.content.iter_any():
            remaining_bytes -= len(data)
            if remaining_bytes < 0:
                raise _ResponseTooLargeError
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
        response_type: type[T],
        timeout_s: float,
        on_sending: Callable[[], bool | None] | None = None,
    ) -> Result[T, Failure]:
        send_state = SendState(on_sending)
        try:
            async with self._sessions.pooled.request(
                method,
                self._url + path,
                data=None if body is None else msgspec.json.encode(body),
                timeout=self._timeout(timeout_s, timeout_s),
                allow_redirects=False,
            ) as response:
                self._report_marks(response)
                content = await self._read_body(response)
                if response.status != 200:
                    error_body = self._decode_error(response, content)
                    return Error(
                        _failure_from_response(
                            response.status, error_body, send_state
                        ).failure
                    )
                return Ok(msgspec.json.decode(content, type=response_type))
        except Exception as error:
            return Error(_failure_from_exception(error, send_state).failure)

    def _report_marks(self, response: aiohttp.ClientResponse) -> AnswerHead | None:
        marks = read_marks(response)
        if marks is not None and self._on_head is not None:
            self._on_head(marks)
        return marks

    def _decode_error(
        self, response: aiohttp.ClientResponse, body: bytes
    ) -> _ErrorBody:
        """Decode the body of an error, which may also say that the engine leaves."""
        try:
            error_body = msgspec.json.decode(body, type=_ErrorBody)
        except (msgspec.MsgspecError, RecursionError):
            return _ErrorBody()
        if error_body.leaving and self._on_head is not None:
            source = f"{response.method} {response.url.path}"
            self._on_head(AnswerHead(source, response.status, is_leaving=True))
        return error_body

    async def _read_body(self, response: aiohttp.ClientResponse) -> bytes:
        chunks = []
        remaining_bytes = self._settings.max_answer_bytes
        async for data in response.content.iter_any():
            remaining_bytes -= len(data)
            if remaining_bytes < 0:
                raise _ResponseTooLargeError
            chunks.append(data)
        return b"".join(chunks)

    def _timeout(self, total_s: float, silence_s: float) -> aiohttp.ClientTimeout:
        connect_s = min(self._settings.connect_timeout_s, total_s)
        # aiohttp restarts this timer on each read, so it is omitted where the total
        # timeout expires first anyway.
        sock_read = silence_s if silence_s < total_s else None
        return aiohttp.ClientTimeout(
            total=total_s, connect=connect_s, sock_read=sock_read, ceil_threshold=3_600
        )


class _ResponseTooLargeError(Exception):
    """Raised when a response exceeds its size limit."""


def _failure_from_response(
    status: int, error_body: _ErrorBody, send_state: SendState
) -> StreamFailure:
    """Return the failure for a response with an error status."""
    text = error_body.error or error_body.result or f"status {status}"
    reason: StreamFailureReason = "leaving" if error_body.leaving else "refused"
    if error_body.execution != "not_run":
        reason, kind = "failed", ErrorKind.UPSTREAM_FAILED
        if error_body.result:
            reason, kind = "refused", ErrorKind.UPSTREAM_REFUSED
    elif error_body.error == "too_large":
        kind = ErrorKind.INSUFFICIENT_MEMORY
    elif error_body.error == "unknown_model":
        reason, kind = "unknown_model", ErrorKind.UPSTREAM_REFUSED
    else:
        kind = ErrorKind.UPSTREAM_REFUSED
    return StreamFailure(
        reason, Failure(kind, f"engine: {text}"), send_state.may_have_sent
    )


def _failure_from_exception(error: Exception, send_state: SendState) -> StreamFailure:
    """Return the failure for an exception; re-raise one that indicates a bug."""
    reason: StreamFailureReason
    match error:
        case _ResponseTooLargeError():
            reason, kind, text = "too_large", ErrorKind.ANSWER_TOO_LARGE, "too large"
        case NotSentError():
            failure = Failure(ErrorKind.DEADLINE_BEFORE_SEND, "too late to send")
            return StreamFailure("not_sent", failure, False)
        case aiohttp.ConnectionTimeoutError() if not send_state.may_have_sent:
            reason, kind, text = "connect_failed", ErrorKind.UPSTREAM_UNREACHABLE, ""
        case aiohttp.SocketTimeoutError():
            reason, kind, text = "silent", ErrorKind.UPSTREAM_FAILED, "no data in time"
        case TimeoutError():
            reason, kind, text = "deadline", ErrorKind.UPSTREAM_FAILED, "timed out"
        case aiohttp.ClientPayloadError():
            # The connection was closed or reset before the end of the transfer coding.
            reason, kind, text = "reset", ErrorKind.UPSTREAM_FAILED, "answer truncated"
        case aiohttp.ClientResponseError() | RecursionError() | ValueError():
            reason, kind, text = "invalid", ErrorKind.UPSTREAM_INVALID, "invalid answer"
        case aiohttp.ClientError() | OSError():
            reason, kind, text = "reset", ErrorKind.UPSTREAM_FAILED, "connection lost"
        case _:
            raise error
    if not send_state.may_have_sent:
        reason, kind = "connect_failed", ErrorKind.UPSTREAM_UNREACHABLE
    detail = f"{text or 'no connection'}: {error}".rstrip(": ")
    return StreamFailure(reason, Failure(kind, detail), send_state.may_have_sent)
