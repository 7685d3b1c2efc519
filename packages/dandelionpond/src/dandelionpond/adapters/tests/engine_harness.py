"""Run engines for the contract tests: the stand-in, and a server of fixed bytes."""

import asyncio
import contextlib
import socket
import struct

import uvicorn

from dandelionpond.adapters.engine import EngineSessions, HttpEngineClient
from dandelionpond.adapters.engine_api import EngineClient
from dandelionpond_standins.engine import EngineServer
from dandelionpond_standins.engine_faults import StreamFault
from dandelionpond_standins.engine_model import EngineModel, EngineSpec
from dandelionpond_standins.engine_orders import OrderState
from dandelionpond_standins.engine_wire import Protocol


class ReferenceHarness:
    """Give a client and the stand-in behind it; another adapter brings its own."""

    client: EngineClient

    def __init__(self, spec: EngineSpec | None = None, enforced: bool = True):
        model = EngineModel(spec or EngineSpec(), 1)
        orders = OrderState({"m": "v1"}, enforced=enforced, load_s=0.0)
        self.server = EngineServer("e", model, orders, speed=200.0)

    async def __aenter__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        config = uvicorn.Config(
            self.server.application(), http=Protocol, ws="none", log_level="critical"
        )
        self._uvicorn = uvicorn.Server(config)
        self._uvicorn.capture_signals = contextlib.nullcontext
        self._task = asyncio.create_task(self._uvicorn.serve([self._listener]))
        self._sessions = EngineSessions()
        self.url = f"http://127.0.0.1:{self._listener.getsockname()[1]}"
        self.client = HttpEngineClient(self._sessions, self.url)
        return self

    async def __aexit__(self, *error):
        await self._sessions.close()
        self._uvicorn.should_exit = self._uvicorn.force_exit = True
        await self._task

    def disturb(self, kind, after_tokens=2):
        """Disturb the next stream."""
        self.server.faults.stream = StreamFault(kind, after_tokens)


HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n"


class RawServer:
    """Answer each connection with fixed bytes, then close, reset or stay silent."""

    def __init__(self, chunks, then="close", settings=None):
        self._settings = settings
        self._chunks = chunks
        self._then = then
        self._open = []

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._sessions = EngineSessions(self._settings)
        port = self._server.sockets[0].getsockname()[1]
        return HttpEngineClient(self._sessions, f"http://127.0.0.1:{port}")

    async def __aexit__(self, *error):
        await self._sessions.close()
        for writer in self._open:
            writer.close()
        self._server.close()

    async def _serve(self, reader, writer):
        self._open.append(writer)
        await reader.readuntil(b"\r\n\r\n")
        for chunk in self._chunks:
            writer.write(chunk)
            await writer.drain()
            await asyncio.sleep(0)
        if self._then == "reset":
            await asyncio.sleep(0.02)
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        elif self._then == "close":
            writer.close()
