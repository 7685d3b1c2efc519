"""Serve the callers' API: completions, chat, models and plain calls."""

import asyncio
import math
from collections.abc import Awaitable, Callable

from expression import Error, Ok, Result
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from dandelionpond.config.schema import ClientAccount, Settings
from dandelionpond.errors import ErrorKind, Execution, Failure
from dandelionpond.http.answers import (
    EXECUTION_HEADER,
    JSON,
    REQUEST_ID_HEADER,
    error_response,
    internal_error,
    json_response,
)
from dandelionpond.http.body import read_body
from dandelionpond.http.forms import (
    DEFAULT_MAX_TOKENS,
    IDEMPOTENCY_HEADER,
    ChatForm,
    CompletionForm,
    check_headers,
    idempotency_key,
    parse,
    timeout_s,
)
from dandelionpond.http.gateway import CallRequest, Gateway, PromptRequest
from dandelionpond.http.server import new_request_id
from dandelionpond.http.stream import ChatFormat, CompletionFormat, PromptResponse
from dandelionpond.http.tokens import estimate_tokens, prefix_hashes
from dandelionpond.requests.ticket_table import failure_for_unresolved_key

ALL = "*"

Answered = Result[Response, Failure]


class Caller:
    """Hold what is known about the sender of one request."""

    __slots__ = ("account", "deadline", "name", "request_id", "settings")

    def __init__(
        self,
        request_id: str,
        name: str,
        account: ClientAccount,
        settings: Settings,
        deadline: float,
    ) -> None:
        self.request_id = request_id
        self.name = name
        self.account = account
        self.settings = settings
        self.deadline = deadline

    def may_use_model(self, model: str) -> bool:
        """Return whether the account may use a model."""
        return ALL in self.account.models or model in self.account.models

    def may_use_service(self, service: str) -> bool:
        """Return whether the account may call a plain service."""
        return ALL in self.account.services or service in self.account.services


class CallersApi:
    """Check requests of callers and hand them to the gateway."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    def app(self) -> Starlette:
        """Return the ASGI application."""
        routes = [
            Route("/v1/completions", self._wrap(self._completion), methods=["POST"]),
            Route("/v1/chat/completions", self._wrap(self._chat), methods=["POST"]),
            Route("/v1/models", self._wrap(self._models), methods=["GET"]),
            Route(
                "/v1/services/{service}/tickets",
                self._wrap(self._ticket),
                methods=["POST"],
            ),
            Route(
                "/v1/services/{service}/calls", self._wrap(self._call), methods=["POST"]
            ),
        ]
        handlers = {HTTPException: self._http_error, Exception: internal_error}
        return Starlette(routes=routes, exception_handlers=handlers)

    def _wrap(
        self, handler: Callable[[Request, Caller], Awaitable[Answered]]
    ) -> Callable[[Request], Awaitable[Response]]:
        async def endpoint(request: Request) -> Response:
            request_id = new_request_id()
            caller = self._identify(request, request_id)
            if caller.is_error():
                return self._fail(_before_lookup(request, caller.error), request_id)
            result = await handler(request, caller.ok)
            if result.is_ok():
                return result.ok
            return self._fail(result.error, request_id)

        return endpoint

    def _fail(self, failure: Failure, request_id: str) -> Response:
        self._gateway.count_error(failure)
        response = error_response(failure, request_id)
        if failure.kind in (ErrorKind.BODY_TIMEOUT, ErrorKind.BODY_TOO_LARGE):
            # The rest of the body may still arrive and must not be read as a request.
            response.headers["Connection"] = "close"
        return response

    async def _http_error(self, request: Request, error: Exception) -> Response:
        assert isinstance(error, HTTPException)
        failure = Failure(
            ErrorKind.UNKNOWN_PATH,
            f"{request.method} {request.url.path} is not served here",
        )
        return self._fail(failure, new_request_id())

    def _identify(self, request: Request, request_id: str) -> Result[Caller, Failure]:
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
        name = self._gateway.keys.account(request.headers)
        if name.is_error():
            return Error(name.error)
        granted = timeout_s(request.headers, settings.requests)
        if granted.is_error():
            return Error(granted.error)
        account = settings.client_accounts[name.ok]
        deadline = self._gateway.arrived_at() + granted.ok
        return Ok(Caller(request_id, name.ok, account, settings, deadline))

    async def _body(self, request: Request, caller: Caller) -> Result[bytes, Failure]:
        remaining_s = caller.deadline - self._gateway.now()
        return await read_body(request, caller.settings.requests, remaining_s)

    async def _completion(self, request: Request, caller: Caller) -> Answered:
        body = await self._body(request, caller)
        form = body.bind(lambda data: parse(data, CompletionForm))
        if form.is_error():
            return Error(form.error)
        checked = self._prompt_request(caller, form.ok, form.ok.max_tokens)
        return checked.map(
            lambda prompt: PromptResponse(
                self._gateway,
                prompt,
                CompletionFormat(prompt),
                form.ok.stream,
                self._fail,
            )
        )

    async def _chat(self, request: Request, caller: Caller) -> Answered:
        body = await self._body(request, caller)
        form = body.bind(lambda data: parse(data, ChatForm))
        if form.is_error():
            return Error(form.error)
        max_tokens = form.ok.max_completion_tokens or form.ok.max_tokens
        checked = self._prompt_request(caller, form.ok, max_tokens)
        return checked.map(
            lambda prompt: PromptResponse(
                self._gateway, prompt, ChatFormat(prompt), form.ok.stream, self._fail
            )
        )

    def _prompt_request(
        self, caller: Caller, form: CompletionForm | ChatForm, max_tokens: int | None
    ) -> Result[PromptRequest, Failure]:
        model = caller.settings.models.get(form.model)
        if model is None or not caller.may_use_model(form.model):
            # One answer for both, so that names of other accounts' models stay unknown.
            message = f"model {form.model!r} does not exist or is not permitted"
            return Error(Failure(ErrorKind.UNKNOWN_MODEL, message, param="model"))
        prompt = form.prompt
        data = prompt.encode()
        tokens = estimate_tokens(data)
        if tokens > model.max_prompt_tokens:
            message = (
                f"the prompt has about {tokens} tokens; "
                f"model {form.model!r} takes {model.max_prompt_tokens}"
            )
            return Error(Failure(ErrorKind.PROMPT_TOO_LONG, message, param="prompt"))
        options = {
            name: value
            for name in ("temperature", "top_p", "seed")
            if (value := getattr(form, name)) is not None
        }
        return Ok(
            PromptRequest(
                caller.request_id,
                caller.name,
                form.model,
                prompt,
                tokens,
                prefix_hashes(
                    form.model, data, caller.settings.routing.prefix_block_tokens
                ),
                min(max_tokens or DEFAULT_MAX_TOKENS, model.max_output_tokens),
                caller.deadline,
                options,
            )
        )

    async def _models(self, request: Request, caller: Caller) -> Answered:
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "operator"}
            for name in sorted(caller.settings.models)
            if caller.may_use_model(name)
        ]
        headers = {REQUEST_ID_HEADER: caller.request_id}
        return Ok(json_response({"object": "list", "data": models}, headers=headers))

    def _service(self, request: Request, caller: Caller) -> Result[str, Failure]:
        name: str = request.path_params["service"]
        if name not in caller.settings.services or not caller.may_use_service(name):
            message = f"service {name!r} does not exist or is not permitted"
            return Error(Failure(ErrorKind.UNKNOWN_SERVICE, message))
        return Ok(name)

    async def _ticket(self, request: Request, caller: Caller) -> Answered:
        service = self._service(request, caller)
        issued = service.bind(
            lambda name: self._gateway.issue_ticket(caller.name, name)
        )
        return issued.map(
            lambda ticket: json_response(
                {
                    "ticket": ticket.ticket,
                    "expires_in_s": math.floor(ticket.expires_in_s),
                },
                status=201,
                headers={REQUEST_ID_HEADER: caller.request_id},
            )
        )

    async def _call(self, request: Request, caller: Caller) -> Answered:
        service = self._service(request, caller)
        if service.is_error():
            return Error(_before_lookup(request, service.error))
        key = idempotency_key(request.headers)
        if key.is_error():
            return Error(key.error)
        body = await self._body(request, caller)
        if body.is_error():
            return Error(_before_lookup(request, body.error))
        call = CallRequest(
            caller.request_id,
            caller.name,
            service.ok,
            key.ok,
            body.ok,
            request.headers.get("content-type", JSON),
            caller.deadline,
        )
        # A call that has been sent is followed to its end, also if the caller leaves:
        # its outcome is recorded for the caller's next try with the same ticket.
        answer = await asyncio.shield(asyncio.ensure_future(self._gateway.call(call)))
        return answer.map(
            lambda found: Response(
                found.body,
                found.status,
                {
                    REQUEST_ID_HEADER: caller.request_id,
                    EXECUTION_HEADER: _execution(found.status),
                    "X-Repeated-Outcome": "true" if found.is_repeated else "false",
                },
                found.content_type,
            )
        )


def _before_lookup(request: Request, failure: Failure) -> Failure:
    """Return a refusal that is true for an earlier try with the same key as well.

    A request without the right bearer key is not from the key's client account, so
    its refusal says nothing about an earlier try.
    """
    is_call = request.url.path.endswith("/calls")
    if not is_call or IDEMPOTENCY_HEADER not in request.headers:
        return failure
    if failure.kind in (ErrorKind.MISSING_KEY, ErrorKind.INVALID_KEY):
        return failure
    return failure_for_unresolved_key(failure)


def _execution(status: int) -> Execution:
    """Return what the answer of a service says of the execution.

    A service that answers with an error of its own may have failed half-way.
    """
    return Execution.RAN if status < 500 else Execution.MAY_HAVE_RUN
