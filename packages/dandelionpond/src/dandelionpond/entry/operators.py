"""Answer requests at the node's metrics address."""

from collections.abc import Callable
from typing import Any

from expression import Result
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest
from starlette.requests import Request
from starlette.responses import Response

from dandelionpond.entry.where import Explanation, WhereBody
from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.http.answers import error_response, json_response
from dandelionpond.http.body import read_body
from dandelionpond.http.request_bodies import parse_body
from dandelionpond.requests.settings import RequestsSettings

# Limits on the size in bytes and on the time in seconds of a body.
MAX_BODY_BYTES = 64 * 1024
BODY_TIMEOUT_S = 10.0

Explain = Callable[[WhereBody], Result[Explanation, Failure]]


class OperatorsApp:
    """The ASGI application of the metrics address.

    Paths without a handler of their own get the metrics. No key is asked for: the
    address is reachable for operators only, and nothing here has an effect.
    """

    def __init__(
        self,
        registry: CollectorRegistry,
        describe_node: Callable[[], object],
        explain_where: Explain,
    ) -> None:
        self._registry = registry
        self._describe_node = describe_node
        self._explain_where = explain_where
        self._body_settings = RequestsSettings(
            max_body_bytes=MAX_BODY_BYTES, body_timeout_s=BODY_TIMEOUT_S
        )

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        response = await self._respond(Request(scope, receive))
        await response(scope, receive, send)

    async def _respond(self, request: Request) -> Response:
        match request.method, request.url.path:
            case "GET", "/v1/dump":
                return json_response(self._describe_node())
            case "POST", "/v1/where":
                return await self._where(request)
            case method, ("/v1/dump" | "/v1/where") as path:
                message = f"{method} {path} does not exist"
                return error_response(Failure(ErrorKind.UNKNOWN_PATH, message), "")
        data = generate_latest(self._registry)
        return Response(data, headers={"Content-Type": CONTENT_TYPE_LATEST})

    async def _where(self, request: Request) -> Response:
        body = await read_body(request, self._body_settings, BODY_TIMEOUT_S)
        if body.is_error():
            response = error_response(body.error, "")
            # The rest of the body must not be parsed as a request.
            response.headers["Connection"] = "close"
            return response
        result = parse_body(body.ok, WhereBody).bind(self._explain_where)
        if result.is_error():
            return error_response(result.error, "")
        return json_response(result.ok)
