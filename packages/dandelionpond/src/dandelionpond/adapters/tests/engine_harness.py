"""Engines for the contract tests: the stand-in and a server that sends fixed bytes."""

import asyncio
import contextlib
import socket
import struct

import uvicorn

from dandelionpond.adapters.engine import HttpEngineClient
from dandelionpond.adapters.engine_api import EngineClient
from dandelionpond.adapters.engine_session import EngineSessions
from dandelionpond_standins.engine import EngineServer
from dandelionpond_standins.engine_faults import StreamFault
from dandelionpond_standins.engine_model import EngineModel, EngineSpec
from dandelionpond_standins.engine_orders import OrderState
from dandelionpond_standins.engine_wire import ResettableHttpProtocol


class ReferenceHarness:
    """Engine stand-in with its client; another adapter has its own harness."""

    client: EngineClient

    def __init__(self, spec: EngineSpec | None = None, enforced: bool = True):
        model = EngineModel(spec or EngineSpec(), 1)
        self._model = model
        orders = OrderState({"m": "v1"}, enforced=enforced, load_s=0.0)
        self.server = EngineServer("e", model, orders, speed=200.0)

    async def __aenter__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        config = uvicorn.Config(
            self.server.application(),
            http=ResettableHttpProtocol,
            ws="none",
            log_level="critical",
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

    def slow_down(self, factor):
        """Make each step of the engine take `factor` times as long."""
        self._model.slow_factor = factor

    def inject_fault(self, kind, after_tokens=2):
        """Inject a fault into the next stream after some tokens."""
        self.server.faults.stream = StreamFault(kind, after_tokens)


RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n"


class RawServer:
    """Server that sends fixed bytes, and closes, resets or keeps each connection."""

    def __init__(self, chunks, ending="close", settings=None):
        self._settings = settings
        self._chunks = chunks
        self._ending = ending
        self._writers = []

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._sessions = EngineSessions(self._settings)
        port = self._server.sockets[0].getsockname()[1]
        return HttpEngineClient(self._sessions, f"http://127.0.0.1:{port}")

    async def __aexit__(self, *error):
        await self._sessions.close()
        for writer in self._writers:
            writer.close()
        self._server.close()

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        await reader.readuntil(b"\r\n\r\n")
        for chunk in self._chunks:
            writer.write(chunk)
            await writer.drain()
            await asyncio.sleep(0)
        if self._ending == "reset":
            await asyncio.sleep(0.02)
            raw_socket = writer.get_extra_info("socket")
            raw_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()
        elif self._ending == "close":
            writer.close()
