"""Read request bodies with a size limit and a timeout."""

import asyncio

from expression import Error, Ok, Result
from starlette.requests import ClientDisconnect, Request

from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.requests.settings import RequestsSettings


def _too_large_failure(max_bytes: int) -> Failure:
    return Failure(
        ErrorKind.BODY_TOO_LARGE, f"the body is larger than {max_bytes} bytes"
    )


async def read_body(
    request: Request, settings: RequestsSettings, remaining_s: float
) -> Result[bytes, Failure]:
    """Return the whole body, or a failure if it is too large, too slow or truncated.

    The timeout covers the whole body: a timeout per read would let a caller hold a
    connection for as long as it sends one byte within each timeout. `remaining_s` is
    the time left until the request's deadline; a slow body must not exceed it.
    """
    max_bytes = settings.max_body_bytes
    content_length = request.headers.get("content-length", "")
    if content_length.isdecimal() and int(content_length) > max_bytes:
        return Error(_too_large_failure(max_bytes))
    timeout_s = max(0.0, min(settings.body_timeout_s, remaining_s))
    chunks: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(timeout_s):
            async for chunk in request.stream():
                size += len(chunk)
                if size > max_bytes:
                    return Error(_too_large_failure(max_bytes))
                chunks.append(chunk)
    except TimeoutError:
        message = f"the body did not arrive within {timeout_s:g} s"
        return Error(Failure(ErrorKind.BODY_TIMEOUT, message))
    except ClientDisconnect:
        message = "the caller closed the connection before the end of the body"
        return Error(Failure(ErrorKind.INVALID_REQUEST, message))
    return Ok(b"".join(chunks))
