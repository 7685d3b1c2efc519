"""Turn failures into HTTP answers from the closed table of error kinds."""

import math

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from dandelionpond.errors import ErrorKind, Failure

JSON = "application/json"
REQUEST_ID_HEADER = "X-Request-Id"
EXECUTION_HEADER = "X-Execution"


def error_body(failure: Failure, request_id: str) -> bytes:
    """Return the error object that callers receive, as JSON."""
    answer = failure.response
    return msgspec.json.encode(
        {
            "error": {
                "message": failure.message,
                "type": answer.type,
                "code": failure.kind,
                "param": failure.param,
                "execution": answer.execution,
                "request_id": request_id,
            }
        }
    )


def error_response(failure: Failure, request_id: str) -> Response:
    """Return the HTTP answer for a failure.

    `Retry-After` is rounded up to whole seconds, as RFC 9110 asks, and is only sent
    where a repeat cannot run the request twice.
    """
    answer = failure.response
    headers = {REQUEST_ID_HEADER: request_id, EXECUTION_HEADER: answer.execution}
    if answer.is_retryable and failure.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(failure.retry_after_s)))
    if answer.status == 401:
        headers["WWW-Authenticate"] = "Bearer"
    return Response(error_body(failure, request_id), answer.status, headers, JSON)


async def internal_error(request: Request, error: Exception) -> Response:
    """Answer a fault of this program; the server logs its traceback."""
    failure = Failure(ErrorKind.INTERNAL, "this node failed to serve the request")
    return error_response(failure, "")


def json_response(
    value: object, status: int = 200, headers: dict[str, str] | None = None
) -> Response:
    """Return a value as a JSON answer."""
    return Response(msgspec.json.encode(value), status, headers, JSON)
