"""Send plain calls to service workers over HTTP."""

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

from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.requests.messages import Outcome
from dandelionpond.requests.settings import RequestsSettings


class ServiceRequest(msgspec.Struct, frozen=True):
    """Describe one attempt; `timeout_s` is in seconds and covers all of it.

    `key` goes to a service that de-duplicates. A call of a service that is not
    idempotent sets `new_connection`.
    """

    url: str
    request_id: str
    body: bytes
    timeout_s: float
    content_type: str = "application/octet-stream"
    key: str | None = None
    new_connection: bool = True
    states_not_run: bool = False


class ServiceClient(Protocol):
    """Run one attempt of a plain call on one worker."""

    async def call(
        self,
        request: ServiceRequest,
        may_send: Callable[[], bool],
        leaving: Callable[[], None] | None = None,
    ) -> Result[Outcome, Failure]:
        """Return the answer, or a failure whose execution state is certain.

        `leaving` is called if the worker's answer says that it is about to stop.
        `may_send` is called once, in the loop step before the first byte can leave. If
        it returns False, nothing is sent and the failure is `deadline_before_send`.
        Errors: `upstream_unreachable`, `deadline_before_send` and `upstream_refused`
        (all `not_run`); `upstream_failed`, `upstream_invalid`, `deadline_after_send`
        (all `may_have_run`); `answer_too_large` (`ran`).
        """
        ...


class _Handover:
    __slots__ = ("may_send", "sent")

    def __init__(self, may_send: Callable[[], bool]) -> None:
        self.may_send = may_send
        self.sent = False


class _NotSentError(Exception):
    pass


_handover: ContextVar[_Handover] = ContextVar("handover")


class _Connector(aiohttp.TCPConnector):
    """Note when a request gets a connection, which is when its first byte can leave.

    aiohttp writes the request after `connect` returns, so before that no byte of it
    has left. The trace signal `on_request_headers_sent` comes too late: it follows the
    write. A connection that is known to be closed is not handed over.
    """

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: ClientTimeout
    ) -> Connection:
        connection = await super().connect(req, traces, timeout)
        handover = _handover.get()
        transport = connection.transport
        if transport is None or transport.is_closing():
            connection.close()
            raise aiohttp.ClientConnectionError("closed before the request")
        if handover.sent:
            # The library tries a second time by itself, which it must never do.
            connection.close()
            raise aiohttp.ClientConnectionError("second send refused")
        if not handover.may_send():
            connection.close()
            raise _NotSentError
        handover.sent = True
        return connection


class HttpServiceClient:
    """Call workers with aiohttp, each attempt at most once.

    aiohttp 3.14 repeats GET, HEAD, OPTIONS, TRACE, PUT and DELETE on a broken
    persistent connection; this client only sends POST, and the connector refuses a
    second send. Redirects are not followed, since 307 and 308 repeat the call.
    `timeout` gives the context manager that ends an attempt after some seconds.
    """

    __slots__ = ("_fresh", "_pooled", "_settings", "_timeout")

    def __init__(
        self,
        settings: RequestsSettings,
        timeout: Callable[[float], asyncio.Timeout] = asyncio.timeout,
    ) -> None:
        self._settings = settings
        self._timeout = timeout
        self._fresh = self._session(force_close=True)
        self._pooled = self._session(force_close=False)

    async def close(self) -> None:
        """Close all connections."""
        await self._fresh.close()
        await self._pooled.close()

    async def call(
        self,
        request: ServiceRequest,
        may_send: Callable[[], bool],
        leaving: Callable[[], None] | None = None,
    ) -> Result[Outcome, Failure]:
        """Run one attempt; see `ServiceClient.call`."""
        handover = _Handover(may_send)
        token = _handover.set(handover)
        try:
            async with self._timeout(request.timeout_s):
                return await self._exchange(request, leaving)
        except _NotSentError:
            return _error(ErrorKind.DEADLINE_BEFORE_SEND, "too late to send")
        except TimeoutError as error:
            if isinstance(error, aiohttp.ConnectionTimeoutError):
                return _error(ErrorKind.UPSTREAM_UNREACHABLE, "no connection in time")
            kind = (
                ErrorKind.DEADLINE_AFTER_SEND
                if handover.sent
                else ErrorKind.DEADLINE_BEFORE_SEND
            )
            return _error(kind, f"no answer within {request.timeout_s:g} s")
        except (aiohttp.ClientResponseError, aiohttp.ClientPayloadError) as error:
            return _error(ErrorKind.UPSTREAM_INVALID, _text(error))
        except (aiohttp.ClientError, OSError) as error:
            if handover.sent:
                return _error(ErrorKind.UPSTREAM_FAILED, _text(error))
            return _error(ErrorKind.UPSTREAM_UNREACHABLE, _text(error))
        finally:
            _handover.reset(token)

    async def _exchange(
        self, request: ServiceRequest, leaving: Callable[[], None] | None
    ) -> Result[Outcome, Failure]:
        headers = {
            "X-Request-Id": request.request_id,
            "Content-Type": request.content_type,
            # The body is passed on as it came, without its Content-Encoding.
            "Accept-Encoding": "identity",
        }
        if request.key is not None:
            headers["Idempotency-Key"] = request.key
        session = self._fresh if request.new_connection else self._pooled
        async with session.post(
            request.url, data=request.body, headers=headers, allow_redirects=False
        ) as response:
            if response.headers.get("X-Request-Id") != request.request_id:
                response.close()
                return _error(ErrorKind.UPSTREAM_INVALID, "answer to another request")
            if leaving is not None and response.headers.get("X-Leaving") == "true":
                leaving()
            bound = self._settings.max_answer_bytes
            body = bytearray()
            async for chunk in response.content.iter_any():
                body += chunk
                if len(body) > bound:
                    response.close()
                    return _error(
                        ErrorKind.ANSWER_TOO_LARGE, f"answer over {bound} bytes"
                    )
            if response.headers.get("X-Execution") == "not_run":
                if request.states_not_run:
                    return _error(ErrorKind.UPSTREAM_REFUSED, "the service refused it")
                return _error(ErrorKind.UPSTREAM_FAILED, "untrusted refusal")
            content_type = response.headers.get("Content-Type", "")
            return Ok(Outcome(response.status, bytes(body), content_type))

    def _session(self, force_close: bool) -> aiohttp.ClientSession:
        # The library adds no limit of its own: `max_in_flight` bounds the calls, and a
        # wait for a free connection would not be seen by the decisions.
        connector = _Connector(limit=0, force_close=force_close)
        timeout = ClientTimeout(total=None, connect=self._settings.connect_timeout_s)
        return aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
            auto_decompress=False,
            trust_env=False,
            # A cookie of one caller's answer must not go out with another's call.
            cookie_jar=aiohttp.DummyCookieJar(),
        )


def _error(kind: ErrorKind, message: str) -> Result[Outcome, Failure]:
    return Error(Failure(kind, message))


def _text(error: Exception) -> str:
    return str(error) or type(error).__name__
