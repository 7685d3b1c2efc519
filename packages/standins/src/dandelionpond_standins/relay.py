"""TCP relay that drops, delays or holds bytes and refuses or resets connections."""

import asyncio
import json
import os
from typing import Literal

import cyclopts
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from dandelionpond_standins.service import (
    create_listener,
    create_server,
    reset_connection,
)

MAX_CONNECTIONS = 4_096
MAX_CHUNK_BYTES = 64 * 1024


class Rule(msgspec.Struct, frozen=True):
    """How a relay treats connections and their bytes.

    `drop` names the directions in which bytes are dropped; `up` is towards the target.
    `scope` says which connections the rule applies to: those open now ("open"), later
    ones ("new") or both ("all"). With "open", new connections work normally, as on a
    network path that has lost the state of its connections. `refuse` closes the
    listening port whatever the scope is. Each chunk is delayed by `delay_s` seconds. A
    chunk towards the target that contains the text `hold` waits until another rule
    applies.
    """

    drop: Literal["none", "up", "down", "both"] = "none"
    scope: Literal["open", "new", "all"] = "all"
    delay_s: float = 0.0
    refuse: bool = False
    hold: str = ""


class RelayCounters(msgspec.Struct):
    """Connections and bytes since the start of the relay.

    `over_bound` counts connections reset at `MAX_CONNECTIONS`, `unreachable` those
    whose target did not accept a connection.
    """

    accepted: int = 0
    over_bound: int = 0
    unreachable: int = 0
    forwarded_bytes: int = 0
    dropped_bytes: int = 0


class _Connection:
    __slots__ = ("closed", "rule", "writers")

    def __init__(self, rule: Rule, *writers: asyncio.StreamWriter) -> None:
        self.rule = rule
        self.writers = writers
        self.closed = False

    def must_hold(self, direction: str, data: bytes) -> bool:
        text = self.rule.hold.encode()
        return direction == "up" and bool(text) and text in data and not self.closed

    def must_drop(self, direction: str) -> bool:
        return self.rule.drop in (direction, "both")


class Relay:
    """A relay that forwards TCP connections to one target, subject to a rule.

    At `MAX_CONNECTIONS` open connections a new one is reset and counted. The event
    `bytes_dropped` is set when the current rule first drops bytes, `chunk_held` when it
    first holds a chunk.
    """

    __slots__ = (
        "_connections",
        "_host",
        "_port",
        "_rule",
        "_server",
        "_state_changed",
        "_target",
        "bytes_dropped",
        "chunk_held",
        "counters",
    )

    def __init__(self, target: tuple[str, int], host: str = "127.0.0.1") -> None:
        self._target = target
        self._host = host
        self._port = 0
        self._rule = Rule()
        self._connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None
        self.counters = RelayCounters()
        self.bytes_dropped = asyncio.Event()
        self.chunk_held = asyncio.Event()
        # Set on a new rule or a reset, to wake the tasks that hold chunks.
        self._state_changed = asyncio.Event()

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and port that clients connect to."""
        return self._host, self._port

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    async def start(self) -> None:
        """Listen on a free port the first time, and later on the same port."""
        if self._server is None:
            listener = create_listener(self._host, self._port)
            self._port = listener.getsockname()[1]
            self._server = await asyncio.start_server(
                self._accept, sock=listener, limit=MAX_CHUNK_BYTES
            )

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        self._stop_listening()
        self.reset()

    async def apply(self, rule: Rule) -> None:
        """Replace the current rule."""
        self.bytes_dropped.clear()
        self.chunk_held.clear()
        if rule.scope in ("open", "all"):
            for connection in self._connections:
                connection.rule = rule
        self._rule = Rule() if rule.scope == "open" else rule
        self._wake_held_chunks()
        if rule.refuse:
            self._stop_listening()
        else:
            await self.start()

    def reset(self) -> int:
        """Reset all open connections on both sides and return their number."""
        count = len(self._connections)
        for connection in list(self._connections):
            self._reset_both_sides(connection)
        self._wake_held_chunks()
        return count

    def _wake_held_chunks(self) -> None:
        self._state_changed.set()
        self._state_changed = asyncio.Event()

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def _reset_both_sides(self, connection: _Connection) -> None:
        if not connection.closed:
            connection.closed = True
            self._connections.discard(connection)
            for writer in connection.writers:
                if not writer.transport.is_closing():
                    reset_connection(writer.transport)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.counters.accepted += 1
        if len(self._connections) >= MAX_CONNECTIONS:
            self.counters.over_bound += 1
            reset_connection(writer.transport)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            self.counters.unreachable += 1
            reset_connection(writer.transport)
            return
        connection = _Connection(self._rule, writer, target_writer)
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._forward(connection, "up", reader, target_writer),
                self._forward(connection, "down", target_reader, writer),
            )
            # Both sides have sent their end of stream, so a regular close follows.
            connection.closed = True
            for side_writer in connection.writers:
                side_writer.close()
        except OSError:
            pass
        finally:
            self._reset_both_sides(connection)
            self._connections.discard(connection)

    async def _forward(
        self,
        connection: _Connection,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while data := await reader.read(MAX_CHUNK_BYTES):
            if connection.rule.delay_s:
                await asyncio.sleep(connection.rule.delay_s)
            if connection.must_hold(direction, data):
                self.chunk_held.set()
                while connection.must_hold(direction, data):
                    await self._state_changed.wait()
            if connection.must_drop(direction):
                self.counters.dropped_bytes += len(data)
                self.bytes_dropped.set()
                continue
            self.counters.forwarded_bytes += len(data)
            writer.write(data)
            await writer.drain()
        # A rule that drops bytes drops the end of the stream as well.
        if not connection.must_drop(direction) and writer.can_write_eof():
            writer.write_eof()


class RelayControl:
    """HTTP endpoints that control a relay."""

    __slots__ = ("_relay",)

    def __init__(self, relay: Relay) -> None:
        self._relay = relay

    async def set_rule(self, request: Request) -> Response:
        """Apply the rule in the request body."""
        try:
            rule = msgspec.json.decode(await request.body(), type=Rule)
        except msgspec.DecodeError as error:
            return JSONResponse({"error": str(error)}, 400)
        await self._relay.apply(rule)
        return JSONResponse(msgspec.to_builtins(rule))

    async def reset(self, request: Request) -> Response:
        """Reset all open connections."""
        return JSONResponse({"reset": self._relay.reset()})

    async def state(self, request: Request) -> Response:
        """Return the counters and the number of open connections."""
        counters = msgspec.to_builtins(self._relay.counters)
        return JSONResponse({"open_links": self._relay.open_connections, **counters})

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/control/rule", self.set_rule, methods=["POST"]),
                Route("/control/reset", self.reset, methods=["POST"]),
                Route("/control/state", self.state, methods=["GET"]),
            ]
        )


app = cyclopts.App(help="Run a TCP relay that injects faults on command.")


@app.default
async def main(
    *, target: str, name: str = "relay", host: str = "127.0.0.1", control_port: int = 0
) -> None:
    """Relay to TARGET (host:port) and print both addresses as one JSON line."""
    target_host, _, target_port = target.rpartition(":")
    relay = Relay((target_host, int(target_port)), host)
    await relay.start()
    listener = create_listener(host, control_port)
    startup_info = {
        "role": "relay",
        "name": name,
        "pid": os.getpid(),
        "address": f"{host}:{relay.address[1]}",
        "control": f"{host}:{listener.getsockname()[1]}",
    }
    print(json.dumps(startup_info), flush=True)
    await create_server(RelayControl(relay).app()).serve(sockets=[listener])
    await relay.close()


if __name__ == "__main__":
    app()
