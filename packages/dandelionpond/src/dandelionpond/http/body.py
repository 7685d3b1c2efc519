"""Read request bodies within bounds of size and time."""

import asyncio

from expression import Error, Ok, Result
from starlette.requests import ClientDisconnect, Request

from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.requests.settings import RequestsSettings


def _too_large(limit: int) -> Failure:
    return Failure(ErrorKind.BODY_TOO_LARGE, f"the body is larger than {limit} bytes")


async def read_body(
    request: Request, settings: RequestsSettings, remaining_s: float
) -> Result[bytes, Failure]:
    """Return the whole body, or a failure if it is too large, too slow or cut short.

    The time limit covers the body as a whole: a limit on each read would let a caller
    hold a connection for as long as it sends one byte within the limit. `remaining_s`
    is left of the request's deadline, which a slow body must not outlast.
    """
    limit = settings.max_body_bytes
    declared = request.headers.get("content-length", "")
    if declared.isdecimal() and int(declared) > limit:
        return Error(_too_large(limit))
    limit_s = max(0.0, min(settings.body_timeout_s, remaining_s))
    chunks: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(limit_s):
            async for chunk in request.stream():
                size += len(chunk)
                if size > limit:
                    return Error(_too_large(limit))
                chunks.append(chunk)
    except TimeoutError:
        message = f"the body did not arrive within {limit_s:g} s"
        return Error(Failure(ErrorKind.BODY_TIMEOUT, message))
    except ClientDisconnect:
        message = "the caller closed the connection before the body ended"
        return Error(Failure(ErrorKind.INVALID_REQUEST, message))
    return Ok(b"".join(chunks))
