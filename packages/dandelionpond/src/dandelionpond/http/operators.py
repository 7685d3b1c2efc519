"""The operators' API: health, metrics, state, decisions and drain."""

import asyncio
import functools
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Protocol

import msgspec
from expression import Result
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.http.answers import error_response, internal_error, json_response
from dandelionpond.http.body import BodyMemoryMiddleware, read_body
from dandelionpond.http.body_memory import BodyLimits
from dandelionpond.http.connection import new_request_id
from dandelionpond.http.keys import bearer_key, key_matches
from dandelionpond.http.openapi import operators_description
from dandelionpond.requests.settings import RequestsSettings

# Time in seconds within which the body of a request must arrive.
BODY_TIMEOUT_S = 10.0
NDJSON_MEDIA_TYPE = "application/x-ndjson"


class NodeView(Protocol):
    """Node state and actions that are available to operators."""

    @property
    def is_live(self) -> bool:
        """Return whether the event loop is running."""
        ...

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests to this node."""
        ...

    @property
    def registry(self) -> CollectorRegistry:
        """Return the metrics registry."""
        ...

    def status(self) -> dict[str, object]:
        """Return a short summary of the node."""
        ...

    def dump(self) -> dict[str, object]:
        """Return the state of every slice, without keys or prompt text."""
        ...

    def usage(self) -> dict[str, object]:
        """Return usage and refusals on this node by client account."""
        ...

    def explain(self, request_id: str) -> list[bytes]:
        """Return the decision records of one request as JSON."""
        ...

    def decisions(self, follow: bool) -> AsyncIterator[bytes]:
        """Yield decision records as JSON lines; with `follow`, wait for new ones."""
        ...

    def where(self, data: bytes) -> Result[dict[str, object], Failure]:
        """Return where the prompt of a JSON body would go now, without sending it."""
        ...

    def drain(self) -> dict[str, object]:
        """Start a planned shutdown; repeated calls have no effect."""
        ...


Handler = Callable[[Request], Awaitable[Response]]


class OperatorsApi:
    """HTTP API for operators, authenticated with the operators' key.

    `/livez` and `/readyz` require no key: the platform's load balancer has none.
    """

    def __init__(
        self, view: NodeView, key_hash: str, body_limits: BodyLimits | None = None
    ) -> None:
        self._view = view
        self._key_hash = key_hash
        self._body_limits = body_limits or BodyLimits()

    def app(self) -> Starlette:
        """Return the ASGI application."""
        routes = [
            Route("/livez", self._livez, methods=["GET"]),
            Route("/readyz", self._readyz, methods=["GET"]),
            self._route("/metrics", self._metrics),
            self._route("/v1/status", self._status),
            self._route("/v1/dump", self._dump),
            self._route("/v1/usage", self._usage),
            self._route("/v1/decisions", self._decisions),
            self._route("/v1/requests/{request_id}", self._explain),
            self._route("/v1/where", self._where, method="POST"),
            self._route("/v1/drain", self._drain, method="POST"),
            self._route("/v1/openapi.json", self._openapi),
        ]
        handlers = {HTTPException: self._http_error, Exception: internal_error}
        middleware = [Middleware(BodyMemoryMiddleware, limits=self._body_limits)]
        return Starlette(
            routes=routes, middleware=middleware, exception_handlers=handlers
        )

    def _route(self, path: str, handler: Handler, method: str = "GET") -> Route:
        @functools.wraps(handler)
        async def endpoint(request: Request) -> Response:
            key = bearer_key(request.headers)
            if key.is_error():
                return error_response(key.error, new_request_id())
            if not key_matches(key.ok, self._key_hash):
                failure = Failure(ErrorKind.INVALID_KEY, "the bearer key is not known")
                return error_response(failure, new_request_id())
            return await handler(request)

        return Route(path, endpoint, methods=[method])

    async def _http_error(self, request: Request, error: Exception) -> Response:
        assert isinstance(error, HTTPException)
        message = f"{request.method} {request.url.path} does not exist"
        failure = Failure(ErrorKind.UNKNOWN_PATH, message)
        return error_response(failure, new_request_id())

    async def _livez(self, request: Request) -> Response:
        return _health_response(self._view.is_live)

    async def _readyz(self, request: Request) -> Response:
        return _health_response(self._view.is_ready)

    async def _metrics(self, request: Request) -> Response:
        body = generate_latest(self._view.registry)
        return Response(body, media_type=CONTENT_TYPE_LATEST)

    async def _status(self, request: Request) -> Response:
        return json_response(self._view.status())

    async def _dump(self, request: Request) -> Response:
        return json_response(self._view.dump())

    async def _usage(self, request: Request) -> Response:
        return json_response(self._view.usage())

    async def _explain(self, request: Request) -> Response:
        records = self._view.explain(request.path_params["request_id"])
        return json_response({"records": [msgspec.Raw(record) for record in records]})

    async def _decisions(self, request: Request) -> Response:
        follow = request.query_params.get("follow", "false") == "true"
        lines = self._view.decisions(follow)
        return StreamingResponse(lines, media_type=NDJSON_MEDIA_TYPE)

    async def _where(self, request: Request) -> Response:
        body = await read_body(request, RequestsSettings(), BODY_TIMEOUT_S)
        result = body.bind(self._view.where)
        if result.is_error():
            response = error_response(result.error, new_request_id())
            if body.is_error():
                # The rest of the body must not be parsed as a request.
                response.headers["Connection"] = "close"
            return response
        return json_response(result.ok)

    async def _drain(self, request: Request) -> Response:
        return json_response(self._view.drain(), status=202)

    async def _openapi(self, request: Request) -> Response:
        return json_response(operators_description())


def _health_response(is_healthy: bool) -> Response:
    return json_response({"ok": is_healthy}, status=200 if is_healthy else 503)


async def measure_loop_lag(report: Callable[[float], None], interval_s: float) -> None:
    """Report the delay of a periodic event loop timer in seconds."""
    loop = asyncio.get_running_loop()
    while True:
        scheduled_at = loop.time() + interval_s
        await asyncio.sleep(interval_s)
        report(loop.time() - scheduled_at)
