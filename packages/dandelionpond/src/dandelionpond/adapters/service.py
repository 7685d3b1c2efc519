"""HTTP client that sends plain calls to service workers."""

import asyncio
from collections.abc import Callable
from contextvars import ContextVar
from typing import Protocol

import aiohttp
import msgspec
from aiohttp.client import ClientTimeout
from aiohttp.client_reqrep import ClientRequest
from aiohttp.connector import Connection
from aiohttp.tracing import Trace
from expression import Error, Ok, Result

from dandelionpond.adapters.answer_head import HeadListener, read_marks
from dandelionpond.adapters.http_session import create_session
from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.requests.messages import Outcome
from dandelionpond.requests.settings import RequestsSettings


class ServiceRequest(msgspec.Struct, frozen=True):
    """One attempt of a call; `timeout_s` limits the whole attempt, in seconds.

    `key` is the idempotency key for a service that deduplicates. `new_connection` must
    be set for a service that is not idempotent. `states_not_run` means that the service
    is trusted when it states that it did not run a call. `has_memory_for`, if there is
    one, is asked before an answer of a length in bytes is held.
    """

    url: str
    request_id: str
    body: bytes
    timeout_s: float
    content_type: str = "application/octet-stream"
    key: str | None = None
    new_connection: bool = True
    states_not_run: bool = False
    has_memory_for: Callable[[int], bool] | None = None


class ServiceClient(Protocol):
    """Client that sends one attempt of a plain call to one worker."""

    async def call(
        self,
        request: ServiceRequest,
        may_send: Callable[[], bool],
        on_head: HeadListener | None = None,
    ) -> Result[Outcome, Failure]:
        """Return the answer, or a failure with a reliable execution state.

        `on_head` is called with the marks in the head of the answer, if there are any:
        that the worker is about to stop, or wants no calls for a time. `may_send` is
        called once, directly before the first byte can be transmitted, with no other
        task in between. If it returns False, nothing is transmitted and the failure is
        `deadline_before_send`.
        Errors: `upstream_unreachable`, `deadline_before_send` and `upstream_refused`
        (all `not_run`); `upstream_failed`, `upstream_invalid`, `deadline_after_send`
        (all `may_have_run`); `answer_too_large` (`ran`).
        """
        ...


class _SendState:
    __slots__ = ("may_have_sent", "may_send")

    def __init__(self, may_send: Callable[[], bool]) -> None:
        self.may_send = may_send
        self.may_have_sent = False


class _NotSentError(Exception):
    pass


def _may_not_send() -> bool:
    return False


_send_state: ContextVar[_SendState] = ContextVar("send_state")


class _GuardedConnector(aiohttp.TCPConnector):
    """Connector that asks for permission to send and records possible transmissions.

    aiohttp writes the request after `connect` returns, so no byte of it is transmitted
    before that. The trace signal `on_request_headers_sent` fires too late, after the
    write. A connection that is known to be closed is not returned.
    """

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: ClientTimeout
    ) -> Connection:
        connection = await super().connect(req, traces, timeout)
        send_state = _send_state.get()
        transport = connection.transport
        if transport is None or transport.is_closing():
            connection.close()
            raise aiohttp.ClientConnectionError("connection closed before the request")
        if send_state.may_have_sent:
            # A call must never be transmitted twice, whatever the library does.
            connection.close()
            raise aiohttp.ClientConnectionError("second send refused")
        if not send_state.may_send():
            connection.close()
            raise _NotSentError
        send_state.may_have_sent = True
        return connection


class HttpServiceClient:
    """`ServiceClient` based on aiohttp that transmits each attempt at most once.

    Its session and its connector reject a second transmission. Redirects are not
    followed, since 307 and 308 repeat the call.
    `timeout` returns the context manager that ends an attempt after a time in seconds.
    """

    __slots__ = ("_pooled", "_settings", "_timeout", "_unpooled")

    def __init__(
        self,
        settings: RequestsSettings,
        timeout: Callable[[float], asyncio.Timeout] = asyncio.timeout,
    ) -> None:
        self._settings = settings
        self._timeout = timeout
        self._unpooled = self._create_session(force_close=True)
        self._pooled = self._create_session(force_close=False)

    def update(self, settings: RequestsSettings) -> None:
        """Apply new settings to the attempts that begin from now on."""
        self._settings = settings

    async def close(self) -> None:
        """Close all connections."""
        await self._unpooled.close()
        await self._pooled.close()

    async def call(
        self,
        request: ServiceRequest,
        may_send: Callable[[], bool],
        on_head: HeadListener | None = None,
    ) -> Result[Outcome, Failure]:
        """Send one attempt; see `ServiceClient.call`."""
        send_state = _SendState(may_send)
        token = _send_state.set(send_state)
        try:
            async with self._timeout(request.timeout_s):
                return await self._exchange(request, on_head)
        except _NotSentError:
            return _failure(ErrorKind.DEADLINE_BEFORE_SEND, "too late to send")
        except TimeoutError as error:
            if isinstance(error, aiohttp.ConnectionTimeoutError):
                return _failure(ErrorKind.UPSTREAM_UNREACHABLE, "no connection in time")
            kind = (
                ErrorKind.DEADLINE_AFTER_SEND
                if send_state.may_have_sent
                else ErrorKind.DEADLINE_BEFORE_SEND
            )
            return _failure(kind, f"no answer within {request.timeout_s:g} s")
        except (aiohttp.ClientResponseError, aiohttp.ClientPayloadError) as error:
            return _failure(ErrorKind.UPSTREAM_INVALID, _describe(error))
        except (aiohttp.ClientError, OSError) as error:
            if send_state.may_have_sent:
                return _failure(ErrorKind.UPSTREAM_FAILED, _describe(error))
            return _failure(ErrorKind.UPSTREAM_UNREACHABLE, _describe(error))
        finally:
            _send_state.reset(token)
            # Handles of the libraries keep copies of the context after the attempt, and
            # with them `may_send`, which refers to the body and the answer of the call.
            send_state.may_send = _may_not_send

    async def _exchange(
        self, request: ServiceRequest, on_head: HeadListener | None
    ) -> Result[Outcome, Failure]:
        headers = {
            "X-Request-Id": request.request_id,
            "Content-Type": request.content_type,
            # The answer's body is forwarded unchanged but without its Content-Encoding.
            "Accept-Encoding": "identity",
        }
        if request.key is not None:
            headers["Idempotency-Key"] = request.key
        session = self._unpooled if request.new_connection else self._pooled
        timeout = ClientTimeout(total=None, connect=self._settings.connect_timeout_s)
        async with session.post(
            request.url,
            data=request.body,
            headers=headers,
            allow_redirects=False,
            timeout=timeout,
        ) as response:
            if response.headers.get("X-Request-Id") != request.request_id:
                response.close()
                return _failure(ErrorKind.UPSTREAM_INVALID, "answer to another request")
            marks = read_marks(response)
            if on_head is not None and marks is not None:
                on_head(marks)
            max_bytes = self._settings.max_answer_bytes
            body = bytearray()
            # The announced length may be wrong or absent.
            size = min(response.content_length or 0, max_bytes)
            if not _has_memory(request, size):
                response.close()
                return _no_memory_failure()
            async for chunk in response.content.iter_any():
                if len(body) + len(chunk) > max_bytes:
                    response.close()
                    return _failure(
                        ErrorKind.ANSWER_TOO_LARGE, f"answer exceeds {max_bytes} bytes"
                    )
                if not _has_memory(request, len(body) + len(chunk)):
                    response.close()
                    return _no_memory_failure()
                body += chunk
            if response.headers.get("X-Execution") == "not_run":
                if request.states_not_run:
                    return _failure(
                        ErrorKind.UPSTREAM_REFUSED, "the service refused the call"
                    )
                return _failure(
                    ErrorKind.UPSTREAM_FAILED, "refused, execution state not trusted"
                )
            content_type = response.headers.get("Content-Type", "")
            return Ok(Outcome(response.status, bytes(body), content_type))

    def _create_session(self, force_close: bool) -> aiohttp.ClientSession:
        # No connection limit in aiohttp: `max_in_flight` limits the calls, and the
        # decisions could not account for a wait for a free connection.
        connector = _GuardedConnector(limit=0, force_close=force_close)
        return create_session(connector, auto_decompress=False)


def _has_memory(request: ServiceRequest, answer_bytes: int) -> bool:
    return request.has_memory_for is None or request.has_memory_for(answer_bytes)


def _no_memory_failure() -> Result[Outcome, Failure]:
    message = "the node has no memory for the answer"
    return _failure(ErrorKind.ANSWER_TOO_LARGE, message)


def _failure(kind: ErrorKind, message: str) -> Result[Outcome, Failure]:
    return Error(Failure(kind, message))


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__
