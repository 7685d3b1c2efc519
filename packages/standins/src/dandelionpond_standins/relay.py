"""Relay TCP bytes and drop, delay, refuse or reset them on command."""

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

MAX_LINKS = 4_096
CHUNK_BYTES = 64 * 1024


class Rule(msgspec.Struct, frozen=True):
    """Set how bytes are treated; `up` is towards the target.

    With `scope` "open" the rule holds for the connections that are open now, and new
    ones work: a path that has lost track of its connections. With "new" it holds for
    later connections, with "all" for both. `refuse` closes the listening port whatever
    the scope is. `delay_s` is added to each chunk. A chunk towards the target that
    contains `hold` waits until another rule is in force.
    """

    drop: Literal["none", "up", "down", "both"] = "none"
    scope: Literal["open", "new", "all"] = "all"
    delay_s: float = 0.0
    refuse: bool = False
    hold: str = ""


class RelayCounters(msgspec.Struct):
    """Count connections and bytes since the start."""

    accepted: int = 0
    over_bound: int = 0
    unreachable: int = 0
    forwarded_bytes: int = 0
    dropped_bytes: int = 0


class _Link:
    __slots__ = ("closed", "rule", "writers")

    def __init__(self, rule: Rule, *writers: asyncio.StreamWriter) -> None:
        self.rule = rule
        self.writers = writers
        self.closed = False

    def holds(self, direction: str, data: bytes) -> bool:
        marker = self.rule.hold.encode()
        return direction == "up" and bool(marker) and marker in data and not self.closed

    def drops(self, direction: str) -> bool:
        return self.rule.drop in (direction, "both")


class Relay:
    """Own the listening port and the open connections of one path.

    At `MAX_LINKS` open connections a new one is reset and counted. `bytes_dropped` is
    set at the first byte that the rule in force drops, `chunk_held` at the first chunk
    it holds.
    """

    __slots__ = (
        "_changed",
        "_host",
        "_links",
        "_port",
        "_rule",
        "_server",
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
        self._links: set[_Link] = set()
        self._server: asyncio.Server | None = None
        self.counters = RelayCounters()
        self.bytes_dropped = asyncio.Event()
        self.chunk_held = asyncio.Event()
        # Wakes held chunks when a rule changes or a connection is reset.
        self._changed = asyncio.Event()

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and port that callers connect to."""
        return self._host, self._port

    @property
    def open_links(self) -> int:
        """Return the number of open connections."""
        return len(self._links)

    async def start(self) -> None:
        """Listen; the first time on a free port, later on the same one."""
        if self._server is None:
            listener = create_listener(self._host, self._port)
            self._port = listener.getsockname()[1]
            self._server = await asyncio.start_server(
                self._accept, sock=listener, limit=CHUNK_BYTES
            )

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        self._stop_listening()
        self.reset()

    async def apply(self, rule: Rule) -> None:
        """Put a rule in force."""
        self.bytes_dropped.clear()
        self.chunk_held.clear()
        if rule.scope in ("open", "all"):
            for link in self._links:
                link.rule = rule
        self._rule = Rule() if rule.scope == "open" else rule
        self._wake()
        if rule.refuse:
            self._stop_listening()
        else:
            await self.start()

    def reset(self) -> int:
        """Reset all open connections on both sides and return their number."""
        count = len(self._links)
        for link in list(self._links):
            self._close(link)
        self._wake()
        return count

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def _close(self, link: _Link) -> None:
        if not link.closed:
            link.closed = True
            self._links.discard(link)
            for writer in link.writers:
                if not writer.transport.is_closing():
                    reset_connection(writer.transport)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.counters.accepted += 1
        if len(self._links) >= MAX_LINKS:
            self.counters.over_bound += 1
            reset_connection(writer.transport)
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(*self._target)
        except OSError:
            self.counters.unreachable += 1
            reset_connection(writer.transport)
            return
        link = _Link(self._rule, writer, up_writer)
        self._links.add(link)
        try:
            await asyncio.gather(
                self._pump(link, "up", reader, up_writer),
                self._pump(link, "down", up_reader, writer),
            )
            # Both ends have finished, so a plain close follows.
            link.closed = True
            for end in link.writers:
                end.close()
        except OSError:
            pass
        finally:
            self._close(link)
            self._links.discard(link)

    async def _pump(
        self,
        link: _Link,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if link.rule.delay_s:
                await asyncio.sleep(link.rule.delay_s)
            if link.holds(direction, data):
                self.chunk_held.set()
                while link.holds(direction, data):
                    await self._changed.wait()
            if link.drops(direction):
                self.counters.dropped_bytes += len(data)
                self.bytes_dropped.set()
                continue
            self.counters.forwarded_bytes += len(data)
            writer.write(data)
            await writer.drain()
        # A path that drops bytes drops the end of the connection as well.
        if not link.drops(direction) and writer.can_write_eof():
            writer.write_eof()


class RelayControl:
    """Control a relay over HTTP."""

    __slots__ = ("_relay",)

    def __init__(self, relay: Relay) -> None:
        self._relay = relay

    async def rule(self, request: Request) -> Response:
        """Put the rule in the body in force."""
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
        """Answer the counters."""
        counters = msgspec.to_builtins(self._relay.counters)
        return JSONResponse({"open_links": self._relay.open_links, **counters})

    def app(self) -> Starlette:
        """Return the application."""
        return Starlette(
            routes=[
                Route("/control/rule", self.rule, methods=["POST"]),
                Route("/control/reset", self.reset, methods=["POST"]),
                Route("/control/state", self.state, methods=["GET"]),
            ]
        )


app = cyclopts.App(help="Run a TCP relay that fails on command.")


@app.default
async def main(
    *, target: str, name: str = "relay", host: str = "127.0.0.1", control_port: int = 0
) -> None:
    """Relay to TARGET (host:port) and print both addresses as one JSON line."""
    target_host, _, target_port = target.rpartition(":")
    relay = Relay((target_host, int(target_port)), host)
    await relay.start()
    listener = create_listener(host, control_port)
    line = {
        "role": "relay",
        "name": name,
        "pid": os.getpid(),
        "address": f"{host}:{relay.address[1]}",
        "control": f"{host}:{listener.getsockname()[1]}",
    }
    print(json.dumps(line), flush=True)
    await create_server(RelayControl(relay).app()).serve(sockets=[listener])
    await relay.close()


if __name__ == "__main__":
    app()
