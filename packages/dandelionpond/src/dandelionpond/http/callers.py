"""The callers' API: completions, chat, models, tickets and service calls."""

import asyncio
import math
from collections.abc import Awaitable, Callable

from expression import Error, Ok, Result
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from dandelionpond.config.schema import ClientAccount, Settings
from dandelionpond.errors import ErrorKind, Execution, Failure
from dandelionpond.http.answers import (
    EXECUTION_HEADER,
    JSON_MEDIA_TYPE,
    REQUEST_ID_HEADER,
    PiecewiseResponse,
    error_response,
    internal_error,
    json_response,
)
from dandelionpond.http.body import BodyMemoryMiddleware, body_memory, read_body
from dandelionpond.http.body_memory import BodyLimits, BodyMemory, CallMemory
from dandelionpond.http.connection import new_request_id
from dandelionpond.http.gateway import CallAnswer, CallRequest, Gateway, PromptRequest
from dandelionpond.http.request_bodies import (
    DEFAULT_MAX_TOKENS,
    IDEMPOTENCY_HEADER,
    ChatBody,
    CompletionBody,
    check_headers,
    idempotency_key,
    parse_body,
    requested_timeout_s,
)
from dandelionpond.http.stream import ChatFormat, CompletionFormat, PromptResponse
from dandelionpond.http.tokens import estimate_tokens, prefix_hashes
from dandelionpond.requests.ticket_table import failure_for_unresolved_key

WILDCARD = "*"

ResponseResult = Result[Response, Failure]


class RequestContext:
    """Identity, account, settings and deadline of one authenticated request."""

    __slots__ = ("account", "account_name", "deadline", "request_id", "settings")

    def __init__(
        self,
        request_id: str,
        account_name: str,
        account: ClientAccount,
        settings: Settings,
        deadline: float,
    ) -> None:
        self.request_id = request_id
        self.account_name = account_name
        self.account = account
        self.settings = settings
        self.deadline = deadline

    def may_use_model(self, model: str) -> bool:
        """Return whether the account may use a model."""
        return WILDCARD in self.account.models or model in self.account.models

    def may_use_service(self, service: str) -> bool:
        """Return whether the account may call a service."""
        return WILDCARD in self.account.services or service in self.account.services


class CallersApi:
    """HTTP API for callers, which validates requests and passes them to the gateway.

    `body_limits` are shared with the connections and the operators' API of the process.
    """

    def __init__(self, gateway: Gateway, body_limits: BodyLimits | None = None) -> None:
        self._gateway = gateway
        self._body_limits = body_limits or BodyLimits()

    def app(self) -> Starlette:
        """Return the ASGI application."""
        routes = [
            Route(
                "/v1/completions",
                self._endpoint(self._handle_completion),
                methods=["POST"],
            ),
            Route(
                "/v1/chat/completions",
                self._endpoint(self._handle_chat),
                methods=["POST"],
            ),
            Route("/v1/models", self._endpoint(self._list_models), methods=["GET"]),
            Route(
                "/v1/services/{service}/tickets",
                self._endpoint(self._issue_ticket),
                methods=["POST"],
            ),
            Route(
                "/v1/services/{service}/calls",
                self._endpoint(self._handle_call),
                methods=["POST"],
            ),
        ]
        handlers = {HTTPException: self._http_error, Exception: internal_error}
        middleware = [Middleware(BodyMemoryMiddleware, limits=self._body_limits)]
        return Starlette(
            routes=routes, middleware=middleware, exception_handlers=handlers
        )

    def _endpoint(
        self, handler: Callable[[Request, RequestContext], Awaitable[ResponseResult]]
    ) -> Callable[[Request], Awaitable[Response]]:
        async def endpoint(request: Request) -> Response:
            request_id = new_request_id()
            context = self._authenticate(request, request_id)
            if context.is_error():
                return self._build_error_response(
                    _failure_before_key_lookup(request, context.error), request_id
                )
            result = await handler(request, context.ok)
            if result.is_ok():
                return result.ok
            return self._build_error_response(result.error, request_id)

        return endpoint

    def _build_error_response(self, failure: Failure, request_id: str) -> Response:
        self._gateway.count_error(failure)
        response = error_response(failure, request_id)
        if failure.kind in (ErrorKind.BODY_TIMEOUT, ErrorKind.BODY_TOO_LARGE):
            # The rest of the body may still arrive and must not be parsed as a request.
            response.headers["Connection"] = "close"
        return response

    async def _http_error(self, request: Request, error: Exception) -> Response:
        assert isinstance(error, HTTPException)
        failure = Failure(
            ErrorKind.UNKNOWN_PATH,
            f"{request.method} {request.url.path} does not exist",
        )
        return self._build_error_response(failure, new_request_id())

    def _authenticate(
        self, request: Request, request_id: str
    ) -> Result[RequestContext, Failure]:
        settings = self._gateway.settings
        if not self._gateway.is_accepting:
            message = "this node is shutting down"
            return Error(Failure(ErrorKind.DRAINING, message, retry_after_s=1))
        if settings is None:
            message = "this node has no settings yet"
            return Error(
                Failure(ErrorKind.SETTINGS_UNAVAILABLE, message, retry_after_s=2)
            )
        checked = check_headers(request.headers)
        if checked.is_error():
            return Error(checked.error)
        name = self._gateway.keys.account_name(request.headers)
        if name.is_error():
            return Error(name.error)
        timeout_s = requested_timeout_s(request.headers, settings.requests)
        if timeout_s.is_error():
            return Error(timeout_s.error)
        account = settings.client_accounts[name.ok]
        deadline = self._gateway.arrived_at() + timeout_s.ok
        return Ok(RequestContext(request_id, name.ok, account, settings, deadline))

    async def _read_body(
        self, request: Request, context: RequestContext
    ) -> Result[bytes, Failure]:
        remaining_s = context.deadline - self._gateway.now()
        return await read_body(request, context.settings.requests, remaining_s)

    async def _handle_completion(
        self, request: Request, context: RequestContext
    ) -> ResponseResult:
        body = await self._read_body(request, context)
        parsed_body = body.bind(lambda data: parse_body(data, CompletionBody))
        if parsed_body.is_error():
            return Error(parsed_body.error)
        checked = build_prompt_request(
            context, parsed_body.ok, parsed_body.ok.max_tokens
        )
        return checked.map(
            lambda prompt: PromptResponse(
                self._gateway,
                prompt,
                CompletionFormat(prompt),
                parsed_body.ok.stream,
                self._build_error_response,
            )
        )

    async def _handle_chat(
        self, request: Request, context: RequestContext
    ) -> ResponseResult:
        body = await self._read_body(request, context)
        parsed_body = body.bind(lambda data: parse_body(data, ChatBody))
        if parsed_body.is_error():
            return Error(parsed_body.error)
        max_tokens = parsed_body.ok.max_completion_tokens or parsed_body.ok.max_tokens
        checked = build_prompt_request(context, parsed_body.ok, max_tokens)
        return checked.map(
            lambda prompt: PromptResponse(
                self._gateway,
                prompt,
                ChatFormat(prompt),
                parsed_body.ok.stream,
                self._build_error_response,
            )
        )

    async def _list_models(
        self, request: Request, context: RequestContext
    ) -> ResponseResult:
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "operator"}
            for name in sorted(context.settings.models)
            if context.may_use_model(name)
        ]
        headers = {REQUEST_ID_HEADER: context.request_id}
        return Ok(json_response({"object": "list", "data": models}, headers=headers))

    def _find_service(
        self, request: Request, context: RequestContext
    ) -> Result[str, Failure]:
        name: str = request.path_params["service"]
        if name not in context.settings.services or not context.may_use_service(name):
            message = f"service {name!r} does not exist or is not permitted"
            return Error(Failure(ErrorKind.UNKNOWN_SERVICE, message))
        return Ok(name)

    async def _issue_ticket(
        self, request: Request, context: RequestContext
    ) -> ResponseResult:
        service = self._find_service(request, context)
        ticket = service.bind(
            lambda name: self._gateway.issue_ticket(context.account_name, name)
        )
        return ticket.map(
            lambda ticket: json_response(
                {
                    "ticket": ticket.ticket,
                    "expires_in_s": math.floor(ticket.expires_in_s),
                },
                status=201,
                headers={REQUEST_ID_HEADER: context.request_id},
            )
        )

    async def _handle_call(
        self, request: Request, context: RequestContext
    ) -> ResponseResult:
        service = self._find_service(request, context)
        if service.is_error():
            return Error(_failure_before_key_lookup(request, service.error))
        key = idempotency_key(request.headers)
        if key.is_error():
            return Error(key.error)
        body = await self._read_body(request, context)
        if body.is_error():
            return Error(_failure_before_key_lookup(request, body.error))
        request_memory = body_memory(request)
        memory = CallMemory(request_memory.detach(), BodyMemory(self._body_limits))
        call = CallRequest(
            context.request_id,
            context.account_name,
            service.ok,
            key.ok,
            body.ok,
            request.headers.get("content-type", JSON_MEDIA_TYPE),
            context.deadline,
            memory,
        )
        # The shield keeps a call running when its caller disconnects: its outcome is
        # recorded for the caller's next attempt with the same ticket.
        run_task = asyncio.ensure_future(self._run_call(call))
        try:
            result = await asyncio.shield(run_task)
        except BaseException:
            run_task.add_done_callback(lambda _: memory.answer.release())
            raise
        # The answer is held until the caller has read it.
        request_memory.take_over(memory.answer)
        response_class = Response
        if request_memory.is_held:
            response_class = PiecewiseResponse
        return result.map(
            lambda answer: response_class(
                answer.body,
                answer.status,
                {
                    REQUEST_ID_HEADER: context.request_id,
                    EXECUTION_HEADER: _execution_for_status(answer.status),
                    "X-Repeated-Outcome": "true" if answer.is_repeated else "false",
                },
                answer.content_type,
            )
        )

    async def _run_call(self, call: CallRequest) -> Result[CallAnswer, Failure]:
        """Run a call; release the memory of its body when it has ended."""
        try:
            return await self._gateway.call(call)
        finally:
            call.memory.body.release()


def build_prompt_request(
    context: RequestContext,
    parsed_body: CompletionBody | ChatBody,
    max_tokens: int | None,
) -> Result[PromptRequest, Failure]:
    """Return the validated prompt of a body, or why it is refused."""
    model = context.settings.models.get(parsed_body.model)
    if model is None or not context.may_use_model(parsed_body.model):
        # The same response in both cases does not reveal models of other accounts.
        message = f"model {parsed_body.model!r} does not exist or is not permitted"
        return Error(Failure(ErrorKind.UNKNOWN_MODEL, message, param="model"))
    prompt = parsed_body.prompt
    data = prompt.encode()
    tokens = estimate_tokens(data)
    if tokens > model.max_prompt_tokens:
        message = (
            f"the prompt has about {tokens} tokens; "
            f"the limit of model {parsed_body.model!r} is {model.max_prompt_tokens}"
        )
        return Error(Failure(ErrorKind.PROMPT_TOO_LONG, message, param="prompt"))
    options = {
        name: value
        for name in ("temperature", "top_p", "seed")
        if (value := getattr(parsed_body, name)) is not None
    }
    return Ok(
        PromptRequest(
            context.request_id,
            context.account_name,
            parsed_body.model,
            prompt,
            tokens,
            prefix_hashes(
                parsed_body.model,
                data,
                context.settings.routing.prefix_block_tokens,
            ),
            min(max_tokens or DEFAULT_MAX_TOKENS, model.max_output_tokens),
            context.deadline,
            options,
        )
    )


def _failure_before_key_lookup(request: Request, failure: Failure) -> Failure:
    """Return the failure of a call that is refused before its key is looked up.

    An earlier attempt with the same idempotency key may have run, so the failure must
    not claim that the call did not run. Without a valid bearer key the request does not
    come from the client account of the earlier attempt, and the failure is unchanged.
    """
    is_call = request.url.path.endswith("/calls")
    if not is_call or IDEMPOTENCY_HEADER not in request.headers:
        return failure
    if failure.kind in (ErrorKind.MISSING_KEY, ErrorKind.INVALID_KEY):
        return failure
    return failure_for_unresolved_key(failure)


def _execution_for_status(status: int) -> Execution:
    """Return whether a call ran, given the status of the service's response.

    A service that responds with status 500 or above may have failed partway.
    """
    return Execution.RAN if status < 500 else Execution.MAY_HAVE_RUN
