"""Run an engine stand-in as a process that serves the engine's wire format.

The model's clock is the real clock times `--speed`. All times on the wire, such as
`expires_in_s`, are seconds of the model's clock.
"""

import asyncio
import json
import os
import socket
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, Literal

import cyclopts
import msgspec
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from dandelionpond_standins.engine_faults import Faults, StreamFault
from dandelionpond_standins.engine_model import (
    EngineModel,
    EngineSpec,
    ModelRequest,
    RequestEvicted,
    RequestFinished,
    SubmitRefused,
    TokensGenerated,
)
from dandelionpond_standins.engine_orders import Order, OrderState
from dandelionpond_standins.engine_stream import StreamAnswer
from dandelionpond_standins.engine_text import block_hashes, count_tokens, text_seed
from dandelionpond_standins.engine_wire import (
    Body,
    Generate,
    Group,
    Renewal,
    ResettableHttpProtocol,
    Stream,
    answer,
    decode,
    reset,
)

# While work runs, tokens are handed out this often; steps are rarely shorter.
TICK_S = 0.004
REFUSALS = {"failing": 500, "too_large": 413, "queue_full": 503, "duplicate": 409}


class EngineServer:
    """Serve one engine model over HTTP."""

    def __init__(
        self, name: str, model: EngineModel, orders: OrderState, speed: float
    ) -> None:
        self.name = name
        self.faults = Faults()
        # Requests that started, and refused ones by reason.
        self.started = 0
        self.refused: dict[str, int] = {}
        self._model = model
        self._orders = orders
        self._any_model = not orders.report(0.0)["models"]
        self._speed = speed
        self._start = time.monotonic()
        self._streams: dict[str, Stream] = {}
        self._wake = asyncio.Event()
        # Requests to generate, and when the last one arrived on CLOCK_BOOTTIME.
        self.received_requests = 0
        self.received_at = 0.0

    @property
    def now(self) -> float:
        """Return seconds of the model's clock."""
        return (time.monotonic() - self._start) * self._speed

    async def drive(self) -> None:
        """Advance the model and wake the streams that got tokens, until cancelled."""
        while True:
            for event in self._model.advance(self.now):
                stream = self._streams.get(event.request_id)
                if stream is None:
                    continue
                match event:
                    case TokensGenerated():
                        stream.available = event.offset + event.count
                    case RequestFinished():
                        stream.finished = True
                    case RequestEvicted():
                        stream.gone = True
                stream.changed.set()
            if self._model.next_event_at() is None:
                self._wake.clear()
                await self._wake.wait()
            else:
                await asyncio.sleep(TICK_S)

    async def generate(self, request: Request) -> Response:
        """Start a request and stream its answer."""
        self.received_requests += 1
        self.received_at = time.clock_gettime(time.CLOCK_BOOTTIME)
        if self.faults.leaving:
            return answer(503, {"leaving": True, "execution": "not_run"})
        body = decode(await request.body(), Generate)
        if isinstance(body, Response):
            return body
        version = self._orders.version(body.model, self.now)
        if self._any_model:
            version = body.version or "v1"
        if version is None or (body.version and body.version != version):
            self._count_refused("unknown_model")
            return answer(404, {"error": "unknown_model", "execution": "not_run"})
        tokens = body.prompt_tokens or count_tokens(body.prompt)
        text = body.prompt or f"#{body.prompt_tokens}"
        hashes = body.prefix_hashes or block_hashes(
            f"{body.model}\x00{version}", body.prompt, self._model.spec.block_tokens
        )
        group = body.group or Group()
        submitted = self._model.submit(
            ModelRequest(
                body.request_id,
                body.owner,
                body.model,
                tokens,
                hashes,
                body.max_tokens,
                body.priority,
                body.expires_in_s,
                body.from_offset,
                -(-tokens // group.parts) if group.parts > 1 else 0,
                group.reservation,
                body.retain_s,
            ),
            self.now,
        )
        if isinstance(submitted, SubmitRefused):
            self._count_refused(submitted.reason)
            refusal: dict[str, Any] = {"error": submitted.reason}
            # A failing engine says nothing about execution, as after a crash inside it.
            if submitted.reason != "failing":
                refusal["execution"] = "not_run"
            return answer(REFUSALS[submitted.reason], refusal)
        self.started += 1
        stream = self._streams[body.request_id] = Stream(body.from_offset)
        self._wake.set()
        return StreamAnswer(self, body, text_seed(body.model, version, text), stream)

    def _count_refused(self, reason: str) -> None:
        self.refused[reason] = self.refused.get(reason, 0) + 1

    async def cancel(self, request: Request) -> Response:
        """Free a stream or any other holding and confirm that the memory is free."""
        body = decode(await request.body(), Body)
        if isinstance(body, Response):
            return body
        if self.faults.lose_cancels > 0:
            self.faults.lose_cancels -= 1
            reset(request.scope)
            return answer(500, {})
        holder = self._model.owner(body.id)
        if body.owner and holder is not None and holder != body.owner:
            return answer(200, {"released": True, "found": False})
        found = self._model.cancel(body.id, self.now)
        stream = self._streams.get(body.id)
        if stream is not None:
            stream.gone = True
            stream.changed.set()
        return answer(200, {"released": True, "found": found})

    async def renew(self, request: Request) -> Response:
        """Move the expiry of the holdings that belong to the owner."""
        body = decode(await request.body(), Renewal)
        if isinstance(body, Response):
            return body
        now = self.now
        unknown = [
            each
            for each in body.ids
            if self._model.owner(each) != body.owner
            or not self._model.renew(each, body.expires_in_s, now)
        ]
        return answer(200, {"unknown": unknown})

    async def reserve(self, request: Request) -> Response:
        """Reserve memory in tokens."""
        body = decode(await request.body(), Body)
        if isinstance(body, Response):
            return body
        done = self._model.reserve(
            body.id, body.owner, body.tokens, body.expires_in_s, self.now
        )
        return answer(200, {"done": done})

    async def export(self, request: Request) -> Response:
        """Hold cached blocks for a transfer and return their identity."""
        body = decode(await request.body(), Body)
        if isinstance(body, Response):
            return body
        block = self._model.export(
            body.id,
            body.owner,
            body.model,
            body.prefix_hashes,
            body.expires_in_s,
            self.now,
        )
        return answer(200, {"block": block})

    async def import_(self, request: Request) -> Response:
        """Store exported blocks."""
        body = decode(await request.body(), Body)
        if isinstance(body, Response):
            return body
        if body.block is None:
            return answer(400, {"error": "no block", "execution": "not_run"})
        done = self._model.import_(
            body.id, body.owner, body.block, body.expires_in_s, self.now
        )
        return answer(200, {"done": done})

    async def holdings(self, request: Request) -> Response:
        """List everything held."""
        return answer(200, {"holdings": self._model.holdings(self.now)})

    async def events(self, request: Request) -> Response:
        """List cache events."""
        from_seq = int(request.query_params.get("from", "0"))
        found = self._model.cache_events(from_seq, self.now)[:1_000]
        return answer(200, {"events": found})

    async def load(self, request: Request) -> Response:
        """Report load, multiplied by the factor of the fault."""
        report = self._model.load(self.now)
        factor = self.faults.load_factor
        return answer(
            200,
            {
                "age_s": self.now - report.at,
                "queued_prefill_tokens": int(report.queued_prefill_tokens * factor),
                "queued_by_priority": {
                    str(level): int(tokens * factor)
                    for level, tokens in report.queued_by_priority.items()
                },
                "running_requests": int(report.running_requests * factor),
                "waiting_requests": int(report.waiting_requests * factor),
                "kv_tokens_used": int(report.kv_tokens_used * factor),
                "kv_capacity_tokens": self._model.spec.kv_capacity_tokens,
                "leaving": self.faults.leaving,
                "models": None if self._any_model else self._orders.ready(self.now),
            },
        )

    async def order(self, request: Request) -> Response:
        """Apply an order, or refuse it if its token is stale and this engine checks."""
        order = decode(await request.body(), Order)
        if isinstance(order, Response):
            return order
        result = self._orders.apply(order, self.now)
        if result == "accepted":
            self._any_model = False
        status = {"accepted": 200, "stale": 409}.get(result, 422)
        return answer(
            status, {"result": result, "fencing": self._orders.highest_fencing_token}
        )

    async def orders(self, request: Request) -> Response:
        """Report models, adapters, role and the greatest token seen."""
        return answer(200, self._orders.report(self.now))

    async def counters(self, request: Request) -> Response:
        """Report the latest orders, refused requests by reason, and memory in use."""
        return answer(
            200,
            {
                "orders": list(self._orders.history),
                "refused": self.refused,
                "started": self.started,
                "clock_started_at": self._start,
                "kv_tokens_used": self._model.kv_tokens_used,
            },
        )

    async def control(self, request: Request) -> Response:
        """Set faults: `leave`, `clear`, `stream`, or any other field of `Faults`.

        `counts` sets nothing and answers how many requests to generate arrived.
        """
        name = request.path_params["name"]
        if name == "counts":
            return answer(
                200, {"received": self.received_requests, "at": self.received_at}
            )
        value = json.loads(await request.body() or b"null")
        match name:
            case "leave":
                self.faults.leaving = True if value is None else bool(value)
            case "clear":
                self.faults = Faults()
            case "stream":
                self.faults.stream = msgspec.convert(value, StreamFault)
            case _ if name in Faults.__struct_fields__:
                setattr(self.faults, name, value)
            case _:
                return answer(404, {"error": f"no fault {name}"})
        self._model.slow_factor = self.faults.slow_factor
        self._model.fail_fast = self.faults.fail_fast
        return answer(200, msgspec.to_builtins(self.faults))

    def count_sent(self, tokens: int) -> None:
        """Count sent tokens and end the process when the fault says so."""
        if self.faults.die_after_tokens >= 0:
            self.faults.die_after_tokens -= tokens
            if self.faults.die_after_tokens < 0:
                os._exit(1)

    def close(self, request_id: str, stream: Stream) -> None:
        """Keep the memory of a stream whose connection ended early."""
        self._streams.pop(request_id, None)
        if not stream.finished and not stream.gone:
            self._model.abandon(request_id, self.now)

    def application(self) -> Starlette:
        """Return the routes; the model runs as long as the application."""

        @asynccontextmanager
        async def lifespan(_: Starlette) -> AsyncIterator[None]:
            driver = asyncio.create_task(self.drive())
            yield
            driver.cancel()

        post = ["POST"]
        return Starlette(
            routes=[
                Route("/v1/generate", self.generate, methods=post),
                Route("/v1/cancel", self.cancel, methods=post),
                Route("/v1/renew", self.renew, methods=post),
                Route("/v1/holdings", self.holdings),
                Route("/v1/kv/reserve", self.reserve, methods=post),
                Route("/v1/kv/release", self.cancel, methods=post),
                Route("/v1/kv/export", self.export, methods=post),
                Route("/v1/kv/import", self.import_, methods=post),
                Route("/v1/events", self.events),
                Route("/v1/load", self.load),
                Route("/v1/orders", self.order, methods=post),
                Route("/v1/orders", self.orders),
                Route("/control/counters", self.counters),
                Route("/control/{name}", self.control, methods=post),
            ],
            lifespan=lifespan,
        )


app = cyclopts.App(help="Run an engine stand-in.")


@app.default
def main(
    *,
    name: str,
    host: str = "127.0.0.1",
    port: int = 0,
    model: list[str] | None = None,
    role: str = "general",
    fencing: Literal["enforced", "ignored"] = "enforced",
    speed: float = 1.0,
    load_s: float = 5.0,
    seed: int = 1,
    self_expire: bool = False,
    keep_alive_s: int = 5,
    kv_capacity_tokens: int = 400_000,
    prefill_tokens_per_s: float = 20_000.0,
    step_base_s: float = 0.008,
    step_sequence_s: float = 0.000_1,
    chunk_tokens: int = 2_048,
    block_tokens: int = 256,
    max_running: int = 256,
    report_lag_s: float = 0.5,
    event_lag_s: float = 0.5,
    event_gap_ratio: float = 0.0,
) -> None:
    """Serve one engine until the process is ended.

    Parameters
    ----------
    model
        `name=version` of a model held at the start, repeatable. Without one, any model
        is served until the first order.
    speed
        Seconds of the model's clock for each real second.
    keep_alive_s
        Seconds after which an idle connection is closed.
    """
    spec = EngineSpec(
        kv_capacity_tokens=kv_capacity_tokens,
        prefill_tokens_per_s=prefill_tokens_per_s,
        step_base_s=step_base_s,
        step_sequence_s=step_sequence_s,
        chunk_tokens=chunk_tokens,
        block_tokens=block_tokens,
        max_running=max_running,
        report_lag_s=report_lag_s,
        event_lag_s=event_lag_s,
        event_gap_ratio=event_gap_ratio,
        self_expire=self_expire,
    )
    models = dict(item.split("=", 1) for item in model or [])
    orders = OrderState(models, role, fencing == "enforced", load_s)
    server = EngineServer(name, EngineModel(spec, seed), orders, speed)
    config = uvicorn.Config(
        server.application(),
        loop="asyncio",
        http=ResettableHttpProtocol,
        ws="none",
        log_level="warning",
        access_log=False,
        timeout_keep_alive=keep_alive_s,
        timeout_graceful_shutdown=1,
    )
    listener = socket.create_server((host, port), backlog=1024)
    first = {
        "role": "engine",
        "name": name,
        "pid": os.getpid(),
        "address": f"{host}:{listener.getsockname()[1]}",
    }
    print(json.dumps(first), flush=True)
    uvicorn.Server(config).run(sockets=[listener])


if __name__ == "__main__":
    sys.exit(app())
