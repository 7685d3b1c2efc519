"""HTTP sessions that send each request once and keep nothing between requests."""

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

# Limit on the bytes of a response between two pieces of its body: of the head with its
# interim responses, of the line with a chunk's size, and of the trailers.
MAX_FRAMING_BYTES = 64 * 1024


class AnswerLostError(aiohttp.ClientConnectionError):
    """The connection ended after the request was sent and before the response head."""


class BoundedResponseHandler(ResponseHandler):
    """A handler that closes connections on which no body arrives among the bytes.

    aiohttp accepts interim responses (status 1xx), chunk extensions and trailers
    without end.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._framing_bytes = 0

    def set_response_params(self, *args: Any, **options: Any) -> None:
        """Prepare for the response to the next request."""
        self._framing_bytes = 0
        super().set_response_params(*args, **options)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the response and count those that are not its body."""
        payload = self._payload
        before = 0 if payload is None else payload.total_bytes
        super().data_received(data)
        latest = self._payload
        if latest is not payload:
            before = 0
        if latest is not None and latest.total_bytes > before:
            self._framing_bytes = 0
            return
        self._framing_bytes += len(data)
        if self._framing_bytes > MAX_FRAMING_BYTES:
            self.fail(f"no body in {MAX_FRAMING_BYTES} bytes of a response")

    def fail(self, reason: str) -> None:
        """Close the connection; the reader of the response gets an error.

        `close` of aiohttp would drop the error.
        """
        error = aiohttp.ClientPayloadError(reason)
        transport, payload = self.transport, self._payload
        self.set_exception(error)
        if payload is not None:
            payload.set_exception(error)
        if transport is not None:
            transport.abort()


async def raise_lost_answer(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Replace the errors after which aiohttp sends a request again.

    aiohttp 3.14 repeats GET, HEAD, OPTIONS, TRACE, PUT and DELETE once after a
    `ClientOSError` or a `ServerDisconnectedError`, on new connections as well. Only the
    caller knows whether a request may run twice.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        reason = f"{type(error).__name__}: {error}"
        raise AnswerLostError(reason) from error


def create_session(
    connector: aiohttp.BaseConnector, **options: Any
) -> aiohttp.ClientSession:
    """Return a session without retries, cookies and proxies of the environment.

    aiohttp has no such option for redirects: requests need `allow_redirects=False`.
    """
    if connector._factory.func is ResponseHandler:
        # aiohttp has no public API for limits on what is not the body.
        loop = asyncio.get_running_loop()
        connector._factory = functools.partial(BoundedResponseHandler, loop)  # type: ignore[assignment]
    return aiohttp.ClientSession(
        connector=connector,
        middlewares=(raise_lost_answer,),
        cookie_jar=aiohttp.DummyCookieJar(),
        trust_env=False,
        **options,
    )
