"""Responses to prompts, sent as JSON or as server-sent events."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable
from typing import Protocol

import msgspec
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.http.answers import (
    REQUEST_ID_HEADER,
    error_body,
    json_response,
)
from dandelionpond.http.gateway import Delta, End, Gateway, PromptRequest

DONE_EVENT = b"data: [DONE]\n\n"

# Time after the deadline in which the last event may still be written.
SEND_GRACE_S = 0.5

PromptEvents = AsyncIterator[Delta | End | Failure]


class ResponseFormat(Protocol):
    """Encoder of one response format."""

    def event(self, text: str) -> bytes:
        """Return a server-sent event with the next part of the text."""
        ...

    def last_event(self, tokens: int) -> bytes:
        """Return the event with the finish reason and the usage."""
        ...

    def full_body(self, text: str, tokens: int) -> object:
        """Return the body of a response that is not streamed."""
        ...


class _BaseFormat:
    """Base class of the response formats.

    The parts of an event before and after its text are the same for a whole answer, so
    they are encoded once; at 12,600 tokens/s encoding each event from scratch was the
    largest cost of a relayed token.
    """

    id_prefix = ""
    object_name = ""
    chunk_object_name = ""

    def __init__(self, request: PromptRequest) -> None:
        self._request = request
        self._id = f"{self.id_prefix}-{request.request_id.removeprefix('req-')}"
        self._created = int(time.time())
        placeholder = "\x00"
        event = self._encode_event(self._choice(placeholder, None))
        self._event_prefix, self._event_suffix = event.split(
            msgspec.json.encode(placeholder)
        )

    def _envelope(self, object_name: str) -> dict[str, object]:
        return {
            "id": self._id,
            "object": object_name,
            "created": self._created,
            "model": self._request.model,
        }

    def _choice(self, text: str, finish_reason: str | None) -> dict[str, object]:
        raise NotImplementedError

    def _encode_event(self, choice: dict[str, object]) -> bytes:
        body = self._envelope(self.chunk_object_name) | {"choices": [choice]}
        return b"data: " + msgspec.json.encode(body) + b"\n\n"

    def _finish_reason(self, tokens: int) -> str:
        return "length" if tokens >= self._request.max_tokens else "stop"

    def _usage(self, tokens: int) -> dict[str, int]:
        prompt_tokens = self._request.prompt_tokens
        return {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": prompt_tokens + tokens,
        }

    def event(self, text: str) -> bytes:
        """Return a server-sent event with the next part of the text."""
        return self._event_prefix + msgspec.json.encode(text) + self._event_suffix

    def last_event(self, tokens: int) -> bytes:
        """Return the event with the finish reason and the usage."""
        body = self._envelope(self.chunk_object_name) | {
            "choices": [self._choice("", self._finish_reason(tokens))],
            "usage": self._usage(tokens),
        }
        return b"data: " + msgspec.json.encode(body) + b"\n\n"


class CompletionFormat(_BaseFormat):
    """Response format of `POST /v1/completions`."""

    id_prefix = "cmpl"
    object_name = "text_completion"
    chunk_object_name = "text_completion"

    def _choice(self, text: str, finish_reason: str | None) -> dict[str, object]:
        return {
            "index": 0,
            "text": text,
            "logprobs": None,
            "finish_reason": finish_reason,
        }

    def full_body(self, text: str, tokens: int) -> object:
        """Return the body of a response that is not streamed."""
        choice = self._choice(text, self._finish_reason(tokens))
        return self._envelope(self.object_name) | {
            "choices": [choice],
            "usage": self._usage(tokens),
        }


class ChatFormat(_BaseFormat):
    """Response format of `POST /v1/chat/completions`."""

    id_prefix = "chatcmpl"
    object_name = "chat.completion"
    chunk_object_name = "chat.completion.chunk"

    def _choice(self, text: str, finish_reason: str | None) -> dict[str, object]:
        delta = {"role": "assistant", "content": text}
        return {"index": 0, "delta": delta, "finish_reason": finish_reason}

    def full_body(self, text: str, tokens: int) -> object:
        """Return the body of a response that is not streamed."""
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": self._finish_reason(tokens),
        }
        return self._envelope(self.object_name) | {
            "choices": [choice],
            "usage": self._usage(tokens),
        }


async def wait_for_disconnect(receive: Receive) -> None:
    """Return when the caller closes its connection."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return


class PromptResponse(Response):
    """Response that runs a prompt and sends its answer as it arrives.

    The status line is sent with the first token, so a failure before that has its own
    status. A later failure ends the stream with an error event and without `[DONE]`.
    """

    def __init__(
        self,
        gateway: Gateway,
        request: PromptRequest,
        format: ResponseFormat,
        is_streamed: bool,
        build_error_response: Callable[[Failure, str], Response],
    ) -> None:
        super().__init__()
        self._gateway = gateway
        self._request = request
        self._format = format
        self._is_streamed = is_streamed
        self._build_error_response = build_error_response
        self._timer: asyncio.TimerHandle | None = None
        self._is_sending = False
        self._is_send_cancelled = False

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the answer; cancel the prompt if the caller disconnects."""
        response_task = asyncio.ensure_future(self._respond(scope, receive, send))
        disconnect_task = asyncio.ensure_future(wait_for_disconnect(receive))
        try:
            await asyncio.wait(
                {response_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            disconnect_task.cancel()
            if not response_task.done():
                self._gateway.count_error(
                    Failure(ErrorKind.CALLER_GONE, "the caller closed the connection")
                )
                response_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await response_task

    async def _respond(self, scope: Scope, receive: Receive, send: Send) -> None:
        events = self._gateway.prompt(self._request)
        try:
            if self._is_streamed:
                await self._send_stream_with_timeout(events, scope, receive, send)
            else:
                response = await self._collect_response(events)
                await response(scope, receive, send)
        finally:
            await events.aclose()  # type: ignore[attr-defined]

    async def _collect_response(self, events: PromptEvents) -> Response:
        texts: list[str] = []
        async for event in events:
            match event:
                case Delta(text=text):
                    texts.append(text)
                case End(tokens=tokens):
                    return json_response(
                        self._format.full_body("".join(texts), tokens),
                        headers={REQUEST_ID_HEADER: self._request.request_id},
                    )
                case Failure():
                    return self._build_error_response(event, self._request.request_id)
        return self._build_error_response(
            self._incomplete_failure(), self._request.request_id
        )

    async def _send_stream(
        self, events: PromptEvents, scope: Scope, receive: Receive, send: Send
    ) -> None:
        first = await anext(events, None)
        if first is None or isinstance(first, Failure):
            failure = first or self._incomplete_failure()
            response = self._build_error_response(failure, self._request.request_id)
            await response(scope, receive, send)
            return
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [
                    (b"content-type", b"text/event-stream; charset=utf-8"),
                    (b"cache-control", b"no-store"),
                    (REQUEST_ID_HEADER.encode(), self._request.request_id.encode()),
                ],
            }
        )
        is_last = await self._send_event(first, send)
        while not is_last:
            event = await anext(events, None)
            is_last = await self._send_event(event or self._incomplete_failure(), send)

    async def _send_stream_with_timeout(
        self, events: PromptEvents, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Send the stream; cancel it if the caller stops reading.

        One timer is used for the whole answer, because a timer for each event took a
        tenth of the time of a relayed token. It only cancels a blocked send: after a
        pause of this process the timer can fire before the rest of the answer has been
        sent to a caller that does read.
        """
        task = asyncio.current_task()
        assert task is not None
        timeout_s = self._request.deadline - self._gateway.now() + SEND_GRACE_S
        self._start_send_timer(task, max(0.0, timeout_s))
        try:
            await self._send_stream(events, scope, receive, send)
        except asyncio.CancelledError:
            if not self._is_send_cancelled:
                raise
            task.uncancel()
            self._gateway.count_error(
                Failure(ErrorKind.CALLER_GONE, "the caller did not read its answer")
            )
        finally:
            if self._timer is not None:
                self._timer.cancel()

    def _start_send_timer(self, task: asyncio.Task[object], delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._cancel_blocked_send, task)

    def _cancel_blocked_send(self, task: asyncio.Task[object]) -> None:
        if self._is_sending:
            self._is_send_cancelled = True
            task.cancel()
        else:
            self._start_send_timer(task, SEND_GRACE_S)

    async def _send_event(self, event: Delta | End | Failure, send: Send) -> bool:
        match event:
            case Delta(text=text):
                data, is_last = self._format.event(text), False
            case End(tokens=tokens):
                data, is_last = self._format.last_event(tokens) + DONE_EVENT, True
            case _:
                self._gateway.count_error(event)
                body = error_body(event, self._request.request_id)
                data, is_last = b"data: " + body + b"\n\n", True
        self._is_sending = True
        await send(
            {"type": "http.response.body", "body": data, "more_body": not is_last}
        )
        self._is_sending = False
        return is_last

    def _incomplete_failure(self) -> Failure:
        message = "the answer ended without its end marker"
        return Failure(ErrorKind.ANSWER_INCOMPLETE, message)
