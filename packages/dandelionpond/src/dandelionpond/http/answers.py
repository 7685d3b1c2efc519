"""HTTP responses for failures, built from the fixed table of error kinds."""

import asyncio
import math

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from dandelionpond.errors import ErrorKind, Failure

JSON_MEDIA_TYPE = "application/json"
REQUEST_ID_HEADER = "X-Request-Id"
EXECUTION_HEADER = "X-Execution"
# Extension of the ASGI scope that holds the flow control of the connection: an
# application can tell whether a write would wait for the client, and close the
# connection although the client does not read.
FLOW_EXTENSION = "dandelionpond.flow"
# Bytes of a piece of an answer whose memory is counted until it is read, and the time
# in seconds that a client may leave a piece unread.
PIECE_BYTES = 64 * 1024
PIECE_TIMEOUT_S = 30.0


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


class PiecewiseResponse(Response):
    """Response that ends only when the client has read most of its body.

    The server takes a body that is sent at once into its buffer, and the response would
    end before the client reads it. A client that leaves a piece unread for
    `PIECE_TIMEOUT_S` loses the rest and its connection.
    """

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the head, then the body in pieces, each after the one before is read."""
        await send(
            {
                "type": "http.response.start",
                "status": self.status_code,
                "headers": self.raw_headers,
            }
        )
        try:
            for position in range(0, len(self.body), PIECE_BYTES):
                piece = self.body[position : position + PIECE_BYTES]
                await self._send_piece(send, bytes(piece), more_body=True)
            await self._send_piece(send, b"", more_body=False)
        except TimeoutError:
            # The server closes the connection of a response that is not complete, but
            # only when the client has read what the transport holds.
            connection = scope.get("extensions", {}).get(FLOW_EXTENSION)
            if connection is not None:
                connection.abort()

    async def _send_piece(self, send: Send, piece: bytes, more_body: bool) -> None:
        async with asyncio.timeout(PIECE_TIMEOUT_S):
            await send(
                {"type": "http.response.body", "body": piece, "more_body": more_body}
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
