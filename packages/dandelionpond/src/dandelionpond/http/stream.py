"""Send an answer to a caller as JSON or as server-sent events."""

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

DONE = b"data: [DONE]\n\n"

# Time after the deadline for the last event to be written.
UNREAD_GRACE_S = 0.5

Events = AsyncIterator[Delta | End | Failure]


class AnswerFormat(Protocol):
    """Build the pieces of one caller-facing format."""

    def event(self, text: str) -> bytes:
        """Return a server-sent event with new text."""
        ...

    def last_event(self, tokens: int) -> bytes:
        """Return the event that carries the finish reason."""
        ...

    def whole(self, text: str, tokens: int) -> object:
        """Return the body of an answer that is not streamed."""
        ...


class _Format:
    """Share what both formats need.

    The event around the text is the same for a whole answer, so it is encoded once; at
    12,600 tokens/s encoding each event anew was the largest cost of a relayed token.
    """

    prefix = ""
    object_name = ""
    chunk_name = ""

    def __init__(self, request: PromptRequest) -> None:
        self._request = request
        self._id = f"{self.prefix}-{request.request_id.removeprefix('req-')}"
        self._created = int(time.time())
        marker = "\x00"
        event = self._encode_event(self._choice(marker, None))
        self._before, self._after = event.split(msgspec.json.encode(marker))

    def _base(self, name: str) -> dict[str, object]:
        return {
            "id": self._id,
            "object": name,
            "created": self._created,
            "model": self._request.model,
        }

    def _choice(self, text: str, reason: str | None) -> dict[str, object]:
        raise NotImplementedError

    def _encode_event(self, choice: dict[str, object]) -> bytes:
        body = self._base(self.chunk_name) | {"choices": [choice]}
        return b"data: " + msgspec.json.encode(body) + b"\n\n"

    def _reason(self, tokens: int) -> str:
        return "length" if tokens >= self._request.max_tokens else "stop"

    def _usage(self, tokens: int) -> dict[str, int]:
        prompt = self._request.prompt_tokens
        return {
            "prompt_tokens": prompt,
            "completion_tokens": tokens,
            "total_tokens": prompt + tokens,
        }

    def event(self, text: str) -> bytes:
        """Return a server-sent event with new text."""
        return self._before + msgspec.json.encode(text) + self._after

    def last_event(self, tokens: int) -> bytes:
        """Return the event that carries the finish reason and the usage."""
        body = self._base(self.chunk_name) | {
            "choices": [self._choice("", self._reason(tokens))],
            "usage": self._usage(tokens),
        }
        return b"data: " + msgspec.json.encode(body) + b"\n\n"


class CompletionFormat(_Format):
    """Build answers of `POST /v1/completions`."""

    prefix = "cmpl"
    object_name = "text_completion"
    chunk_name = "text_completion"

    def _choice(self, text: str, reason: str | None) -> dict[str, object]:
        return {"index": 0, "text": text, "logprobs": None, "finish_reason": reason}

    def whole(self, text: str, tokens: int) -> object:
        """Return the body of an answer that is not streamed."""
        choice = self._choice(text, self._reason(tokens))
        return self._base(self.object_name) | {
            "choices": [choice],
            "usage": self._usage(tokens),
        }


class ChatFormat(_Format):
    """Build answers of `POST /v1/chat/completions`."""

    prefix = "chatcmpl"
    object_name = "chat.completion"
    chunk_name = "chat.completion.chunk"

    def _choice(self, text: str, reason: str | None) -> dict[str, object]:
        delta = {"role": "assistant", "content": text}
        return {"index": 0, "delta": delta, "finish_reason": reason}

    def whole(self, text: str, tokens: int) -> object:
        """Return the body of an answer that is not streamed."""
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": self._reason(tokens),
        }
        return self._base(self.object_name) | {
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
    """Run a prompt and send its answer as it arrives.

    The status line waits for the first token, so a failure before it still gets its own
    status. A failure after it ends the stream with an error event and without `[DONE]`.
    """

    def __init__(
        self,
        gateway: Gateway,
        request: PromptRequest,
        format: AnswerFormat,
        streamed: bool,
        fail: Callable[[Failure, str], Response],
    ) -> None:
        super().__init__()
        self._gateway = gateway
        self._request = request
        self._format = format
        self._streamed = streamed
        self._fail = fail
        self._timer: asyncio.TimerHandle | None = None
        self._is_sending = False
        self._is_unread = False

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the answer, or stop the prompt if the caller leaves."""
        answer = asyncio.ensure_future(self._answer(scope, receive, send))
        gone = asyncio.ensure_future(wait_for_disconnect(receive))
        try:
            await asyncio.wait({answer, gone}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            gone.cancel()
            if not answer.done():
                self._gateway.count_error(
                    Failure(ErrorKind.CALLER_GONE, "the caller closed the connection")
                )
                answer.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await answer

    async def _answer(self, scope: Scope, receive: Receive, send: Send) -> None:
        events = self._gateway.prompt(self._request)
        try:
            if self._streamed:
                await self._bounded_stream(events, scope, receive, send)
            else:
                response = await self._collect(events)
                await response(scope, receive, send)
        finally:
            await events.aclose()  # type: ignore[attr-defined]

    async def _collect(self, events: Events) -> Response:
        texts: list[str] = []
        async for event in events:
            match event:
                case Delta(text=text):
                    texts.append(text)
                case End(tokens=tokens):
                    return json_response(
                        self._format.whole("".join(texts), tokens),
                        headers={REQUEST_ID_HEADER: self._request.request_id},
                    )
                case Failure():
                    return self._fail(event, self._request.request_id)
        return self._fail(self._cut_short(), self._request.request_id)

    async def _send_stream(
        self, events: Events, scope: Scope, receive: Receive, send: Send
    ) -> None:
        first = await anext(events, None)
        if first is None or isinstance(first, Failure):
            failure = first or self._cut_short()
            response = self._fail(failure, self._request.request_id)
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
        last = await self._send_event(first, send)
        while not last:
            event = await anext(events, None)
            last = await self._send_event(event or self._cut_short(), send)

    async def _bounded_stream(
        self, events: Events, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Send the stream and give up a caller that has stopped reading.

        One timer serves the whole answer, because one for each event cost a tenth of
        the time of a relayed token. It only ends a send that is blocked: after a pause
        of this process the timer fires before the answer could end by itself.
        """
        task = asyncio.current_task()
        assert task is not None
        remaining = self._request.deadline - self._gateway.now() + UNREAD_GRACE_S
        self._watch(task, max(0.0, remaining))
        try:
            await self._send_stream(events, scope, receive, send)
        except asyncio.CancelledError:
            if not self._is_unread:
                raise
            task.uncancel()
            self._gateway.count_error(
                Failure(ErrorKind.CALLER_GONE, "the caller did not read its answer")
            )
        finally:
            if self._timer is not None:
                self._timer.cancel()

    def _watch(self, task: asyncio.Task[object], delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._end_blocked_send, task)

    def _end_blocked_send(self, task: asyncio.Task[object]) -> None:
        if self._is_sending:
            self._is_unread = True
            task.cancel()
        else:
            self._watch(task, UNREAD_GRACE_S)

    async def _send_event(self, event: Delta | End | Failure, send: Send) -> bool:
        match event:
            case Delta(text=text):
                data, last = self._format.event(text), False
            case End(tokens=tokens):
                data, last = self._format.last_event(tokens) + DONE, True
            case _:
                self._gateway.count_error(event)
                body = error_body(event, self._request.request_id)
                data, last = b"data: " + body + b"\n\n", True
        self._is_sending = True
        await send({"type": "http.response.body", "body": data, "more_body": not last})
        self._is_sending = False
        return last

    def _cut_short(self) -> Failure:
        message = "the answer ended without its end marker"
        return Failure(ErrorKind.ANSWER_INCOMPLETE, message)
