"""HTTP responses for failures, built from the fixed table of error kinds."""

import math

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from dandelionpond.errors import ErrorKind, Failure

JSON_MEDIA_TYPE = "application/json"
REQUEST_ID_HEADER = "X-Request-Id"
EXECUTION_HEADER = "X-Execution"


def error_body(failure: Failure, request_id: str) -> bytes:
    """Return the JSON error object that is sent to callers."""
    response = failure.response
    return msgspec.json.encode(
        {
            "error": {
                "message": failure.message,
                "type": response.type,
                "code": failure.kind,
                "param": failure.param,
                "execution": response.execution,
                "request_id": request_id,
            }
        }
    )


def error_response(failure: Failure, request_id: str) -> Response:
    """Return the HTTP response for a failure.

    `Retry-After` is rounded up to whole seconds, as RFC 9110 requires, and is only sent
    if a retry cannot run the request twice.
    """
    response = failure.response
    headers = {REQUEST_ID_HEADER: request_id, EXECUTION_HEADER: response.execution}
    if response.is_retryable and failure.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(failure.retry_after_s)))
    if response.status == 401:
        headers["WWW-Authenticate"] = "Bearer"
    return Response(
        error_body(failure, request_id), response.status, headers, JSON_MEDIA_TYPE
    )


async def internal_error(request: Request, error: Exception) -> Response:
    """Return the response for an unhandled exception; the server logs its traceback."""
    failure = Failure(ErrorKind.INTERNAL, "internal server error")
    return error_response(failure, "")


def json_response(
    value: object, status: int = 200, headers: dict[str, str] | None = None
) -> Response:
    """Return a JSON response with a value as its body."""
    return Response(msgspec.json.encode(value), status, headers, JSON_MEDIA_TYPE)
