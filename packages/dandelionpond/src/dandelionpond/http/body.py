"""Read request bodies with a size limit, a common memory limit and a timeout."""

import asyncio

from expression import Error, Ok, Result
from starlette.requests import ClientDisconnect, Request
from starlette.types import ASGIApp, Receive, Scope, Send

from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.http.body_memory import BodyLimits, BodyMemory
from dandelionpond.http.connection import RETRY_AFTER_S
from dandelionpond.requests.settings import RequestsSettings

_SCOPE_KEY = "dandelionpond.body_memory"


class BodyMemoryMiddleware:
    """ASGI middleware that releases the memory of a body when its response has ended.

    Requests take the memory from `limits` while they are read.
    """

    def __init__(self, app: ASGIApp, limits: BodyLimits) -> None:
        self._app = app
        self._limits = limits

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        memory = scope[_SCOPE_KEY] = BodyMemory(self._limits)
        try:
            await self._app(scope, receive, send)
        finally:
            memory.release()


def body_memory(request: Request) -> BodyMemory:
    """Return the memory that a request holds for its body."""
    memory: BodyMemory = request.scope[_SCOPE_KEY]
    return memory


def _no_memory_failure() -> Failure:
    message = "the node has no memory for the request"
    return Failure(ErrorKind.OVERLOADED, message, RETRY_AFTER_S)


def _too_large_failure(max_bytes: int) -> Failure:
    return Failure(
        ErrorKind.BODY_TOO_LARGE, f"the body is larger than {max_bytes} bytes"
    )


async def read_body(
    request: Request, settings: RequestsSettings, remaining_s: float
) -> Result[bytes, Failure]:
    """Return the whole body, or a failure if it is too large, too slow or truncated.

    A body for which the node has no memory is refused before it is read if its length
    is announced.

    The timeout covers the whole body: a timeout per read would let a caller hold a
    connection for as long as it sends one byte within each timeout. `remaining_s` is
    the time left until the request's deadline; a slow body must not exceed it.
    """
    memory = body_memory(request)
    # A longer body would never have memory, so the caller must not try again.
    max_bytes = min(settings.max_body_bytes, memory.max_body_bytes)
    content_length = request.headers.get("content-length", "")
    if content_length.isdecimal():
        if int(content_length) > max_bytes:
            return Error(_too_large_failure(max_bytes))
        if not memory.grow_to(int(content_length)):
            return Error(_no_memory_failure())
    timeout_s = max(0.0, min(settings.body_timeout_s, remaining_s))
    chunks: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(timeout_s):
            async for chunk in request.stream():
                size += len(chunk)
                if size > max_bytes:
                    return Error(_too_large_failure(max_bytes))
                if not memory.grow_to(size):
                    return Error(_no_memory_failure())
                chunks.append(chunk)
    except TimeoutError:
        message = f"the body did not arrive within {timeout_s:g} s"
        return Error(Failure(ErrorKind.BODY_TIMEOUT, message))
    except ClientDisconnect:
        message = "the caller closed the connection before the end of the body"
        return Error(Failure(ErrorKind.INVALID_REQUEST, message))
    return Ok(b"".join(chunks))
