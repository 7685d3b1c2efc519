"""Send the answer of one request of the engine stand-in, with its faults."""

import asyncio
from typing import Protocol

from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from dandelionpond_standins.engine_faults import Faults, disturb
from dandelionpond_standins.engine_text import token_text
from dandelionpond_standins.engine_wire import Generate, Stream, event, reset


class Server(Protocol):
    """Describe what a stream needs from the server."""

    faults: Faults

    def count_sent(self, tokens: int) -> None:
        """Count sent tokens."""

    def close(self, request_id: str, stream: Stream) -> None:
        """Learn that the connection ended."""


class StreamAnswer(Response):
    """Send server-sent events as the model generates tokens."""

    def __init__(
        self, server: Server, body: Generate, seed: int, stream: Stream
    ) -> None:
        super().__init__()
        self._server = server
        self._body = body
        self._seed = seed
        self._stream = stream
        self._fault = server.faults.next_stream()
        self._sent: list[bytes] = []

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send until the end, a fault or the loss of the connection."""
        sender = asyncio.create_task(self._send(scope, send))
        listener = asyncio.create_task(self._listen(receive))
        try:
            await asyncio.wait({sender, listener}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            sender.cancel()
            listener.cancel()
            await asyncio.gather(sender, listener, return_exceptions=True)
            self._server.close(self._body.request_id, self._stream)

    async def _listen(self, receive: Receive) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass

    async def _send(self, scope: Scope, send: Send) -> None:
        stream, fault = self._stream, self._fault
        position = self._body.from_offset
        if fault is not None and fault.kind == "reset" and fault.after_tokens == 0:
            reset(scope)
            return
        headers = [(b"content-type", b"text/event-stream")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        while True:
            limit = stream.available
            if fault is not None:
                stop = self._body.from_offset + fault.after_tokens
                limit = min(limit, stop) if position < stop else limit
            if limit > position:
                await self._write(send, self._pieces(position, limit))
                self._server.count_sent(limit - position)
                position = limit
            if fault is not None and position >= stop:
                match fault.kind:
                    case "truncate":
                        break
                    case "silence":
                        await asyncio.Event().wait()
                    case "reset":
                        reset(scope)
                        return
                    case "garbage":
                        await self._write(send, [b"data: {garbage\n\n"])
            if position < stream.available:
                continue
            if stream.finished or stream.gone:
                if stream.finished:
                    end = {
                        "end": True,
                        "tokens": position,
                        "request_id": self._body.request_id,
                    }
                    await self._write(send, [event(end)])
                break
            stream.changed.clear()
            await stream.changed.wait()
        await send({"type": "http.response.body", "body": b""})

    def _pieces(self, start: int, stop: int) -> list[bytes]:
        name = self._body.request_id
        pieces = self._encode(name, start, stop)
        fault = self._fault
        if fault is None or start < self._body.from_offset + fault.after_tokens:
            if fault is not None and fault.kind == "repeat":
                self._sent += pieces
            return pieces
        return disturb(fault, pieces, self._sent, self._encode("x", start, stop))

    def _encode(self, name: str, start: int, stop: int) -> list[bytes]:
        return [
            event(
                {
                    "request_id": name,
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
