"""Streamed response of the engine stand-in, with injected faults."""

import asyncio
from typing import Protocol

from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from dandelionpond_standins.engine_faults import Faults, apply_stream_fault
from dandelionpond_standins.engine_text import token_text
from dandelionpond_standins.engine_wire import (
    GenerateRequest,
    StreamState,
    encode_event,
    reset_connection,
)


class StreamServer(Protocol):
    """The part of the engine server that a streamed response uses."""

    faults: Faults

    def count_sent_tokens(self, tokens: int) -> None:
        """Count sent tokens; may exit the process because of a fault."""

    def close_stream(self, request_id: str, stream: StreamState) -> None:
        """Remove a stream whose connection ended."""


class StreamResponse(Response):
    """A response that sends one server-sent event for each generated token."""

    def __init__(
        self,
        server: StreamServer,
        body: GenerateRequest,
        seed: int,
        stream: StreamState,
    ) -> None:
        super().__init__()
        self._server = server
        self._body = body
        self._seed = seed
        self._stream = stream
        self._fault = server.faults.take_stream_fault()
        self._earlier_pieces: list[bytes] = []

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send until the answer ends, a fault ends it or the client disconnects."""
        sender = asyncio.create_task(self._send(scope, send))
        disconnect = asyncio.create_task(self._wait_for_disconnect(receive))
        try:
            await asyncio.wait(
                {sender, disconnect}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            sender.cancel()
            disconnect.cancel()
            await asyncio.gather(sender, disconnect, return_exceptions=True)
            self._server.close_stream(self._body.request_id, self._stream)

    async def _wait_for_disconnect(self, receive: Receive) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass

    async def _send(self, scope: Scope, send: Send) -> None:
        stream, fault = self._stream, self._fault
        position = self._body.from_offset
        if fault is not None and fault.kind == "reset" and fault.after_tokens == 0:
            reset_connection(scope)
            return
        headers = [(b"content-type", b"text/event-stream")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        while True:
            send_until = stream.available_until
            if fault is not None:
                fault_offset = self._body.from_offset + fault.after_tokens
                send_until = (
                    min(send_until, fault_offset)
                    if position < fault_offset
                    else send_until
                )
            if send_until > position:
                await self._write(send, self._pieces_to_send(position, send_until))
                self._server.count_sent_tokens(send_until - position)
                position = send_until
            if fault is not None and position >= fault_offset:
                match fault.kind:
                    case "truncate":
                        break
                    case "silence":
                        await asyncio.Event().wait()
                    case "reset":
                        reset_connection(scope)
                        return
                    case "garbage":
                        await self._write(send, [b"data: {garbage\n\n"])
            if position < stream.available_until:
                continue
            if stream.finished or stream.aborted:
                if stream.finished:
                    end_event = {
                        "end": True,
                        "tokens": position,
                        "request_id": self._body.request_id,
                    }
                    await self._write(send, [encode_event(end_event)])
                break
            stream.changed.clear()
            await stream.changed.wait()
        await send({"type": "http.response.body", "body": b""})

    def _pieces_to_send(self, start: int, stop: int) -> list[bytes]:
        request_id = self._body.request_id
        pieces = self._encode_tokens(request_id, start, stop)
        fault = self._fault
        if fault is None or start < self._body.from_offset + fault.after_tokens:
            if fault is not None and fault.kind == "repeat":
                self._earlier_pieces += pieces
            return pieces
        return apply_stream_fault(
            fault, pieces, self._earlier_pieces, self._encode_tokens("x", start, stop)
        )

    def _encode_tokens(self, request_id: str, start: int, stop: int) -> list[bytes]:
        return [
            encode_event(
                {
                    "request_id": request_id,
                    "offset": index,
                    "text": token_text(self._seed, index),
                }
            )
            for index in range(start, stop)
        ]

    async def _write(self, send: Send, pieces: list[bytes]) -> None:
        await send(
            {"type": "http.response.body", "body": b"".join(pieces), "more_body": True}
        )
