"""Engine stand-in: a process that serves the engine's wire format over HTTP.

The model's clock is the real clock times `--speed`. All times on the wire, such as
`expires_in_s`, are seconds of the model's clock.
"""

import asyncio
import json
import os
import socket
import sys
import time
from collections import deque
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
from starlette.types import ASGIApp, Message, Receive, Scope, Send

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
from dandelionpond_standins.engine_stream import StreamResponse
from dandelionpond_standins.engine_text import block_hashes, estimate_tokens, text_seed
from dandelionpond_standins.engine_wire import (
    GenerateRequest,
    GroupPart,
    HoldingRequest,
    RenewRequest,
    ResettableHttpProtocol,
    StreamState,
    decode_body,
    json_response,
    reset_connection,
)

# Interval in real time at which running requests pass generated tokens to their
# streams. Engine steps at speed 1 are rarely shorter.
ADVANCE_INTERVAL_S = 0.004
MAX_ARRIVALS = 10_000
REFUSAL_STATUSES = {
    "failing": 500,
    "too_large": 413,
    "queue_full": 503,
    "duplicate": 409,
}


class EngineServer:
    """HTTP server of one engine model."""

    def __init__(
        self, name: str, model: EngineModel, orders: OrderState, speed: float
    ) -> None:
        self.name = name
        self.faults = Faults()
        self.started_requests = 0
        self.refused_by_reason: dict[str, int] = {}
        self._model = model
        self._orders = orders
        self._serves_any_model = not orders.report(0.0)["models"]
        self._speed = speed
        self._started_at = time.monotonic()
        self._streams: dict[str, StreamState] = {}
        self._work_submitted = asyncio.Event()
        # Requests to generate, including refused ones. The time of the last one is in
        # seconds of CLOCK_BOOTTIME.
        self.received_requests = 0
        self.last_received_at = 0.0
        # The times of the latest requests to generate, each with whether it was
        # rejected with a time.
        self.arrivals: deque[tuple[float, bool]] = deque(maxlen=MAX_ARRIVALS)

    @property
    def now(self) -> float:
        """Return the time of the model's clock in seconds."""
        return (time.monotonic() - self._started_at) * self._speed

    async def run_model(self) -> None:
        """Advance the model and wake the streams with events, until cancelled."""
        while True:
            for event in self._model.advance(self.now):
                stream = self._streams.get(event.request_id)
                if stream is None:
                    continue
                match event:
                    case TokensGenerated():
                        stream.available_until = event.offset + event.count
                    case RequestFinished():
                        stream.finished = True
                    case RequestEvicted():
                        stream.aborted = True
                stream.changed.set()
            if self._model.next_event_at() is None:
                self._work_submitted.clear()
                await self._work_submitted.wait()
            else:
                await asyncio.sleep(ADVANCE_INTERVAL_S)

    async def generate(self, request: Request) -> Response:
        """Start a request and stream its answer, or refuse it."""
        self.received_requests += 1
        self.last_received_at = time.clock_gettime(time.CLOCK_BOOTTIME)
        self.arrivals.append((self.last_received_at, self.faults.reject_s > 0))
        if self.faults.leaving:
            return json_response(503, {"leaving": True, "execution": "not_run"})
        if self.faults.reject_s > 0:
            response = json_response(503, {"error": "busy", "execution": "not_run"})
            response.headers["Retry-After"] = f"{self.faults.reject_s:g}"
            return response
        body = decode_body(await request.body(), GenerateRequest)
        if isinstance(body, Response):
            return body
        if self.faults.crash_text and self.faults.crash_text in body.prompt:
            os._exit(1)
        version = self._orders.ready_version(body.model, self.now)
        if self._serves_any_model:
            version = body.version or "v1"
        if version is None or (body.version and body.version != version):
            self._count_refused("unknown_model")
            return json_response(
                404, {"error": "unknown_model", "execution": "not_run"}
            )
        tokens = body.prompt_tokens or estimate_tokens(body.prompt)
        text = body.prompt or f"#{body.prompt_tokens}"
        hashes = body.prefix_hashes or block_hashes(
            f"{body.model}\x00{version}", body.prompt, self._model.spec.block_tokens
        )
        group = body.group or GroupPart()
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
            # Like an engine that crashed inside, a failing one does not state whether
            # the request ran.
            if submitted.reason != "failing":
                refusal["execution"] = "not_run"
            return json_response(REFUSAL_STATUSES[submitted.reason], refusal)
        self.started_requests += 1
        stream = self._streams[body.request_id] = StreamState(body.from_offset)
        self._work_submitted.set()
        return StreamResponse(self, body, text_seed(body.model, version, text), stream)

    def _count_refused(self, reason: str) -> None:
        self.refused_by_reason[reason] = self.refused_by_reason.get(reason, 0) + 1

    async def cancel(self, request: Request) -> Response:
        """Free a stream or another holding of the owner and confirm the release.

        `found` is false if nothing was held or the holding belongs to another owner. A
        request without an owner frees the holding of any owner.
        """
        body = decode_body(await request.body(), HoldingRequest)
        if isinstance(body, Response):
            return body
        if self.faults.lose_cancels > 0:
            self.faults.lose_cancels -= 1
            reset_connection(request.scope)
            return json_response(500, {})
        owner = self._model.owner(body.id)
        if body.owner and owner is not None and owner != body.owner:
            return json_response(200, {"released": True, "found": False})
        was_held = self._model.cancel(body.id, self.now)
        stream = self._streams.get(body.id)
        if stream is not None:
            stream.aborted = True
            stream.changed.set()
        return json_response(200, {"released": True, "found": was_held})

    async def renew(self, request: Request) -> Response:
        """Renew the owner's holdings and return the identifiers it does not hold."""
        body = decode_body(await request.body(), RenewRequest)
        if isinstance(body, Response):
            return body
        now = self.now
        unknown = [
            holding_id
            for holding_id in body.ids
            if self._model.owner(holding_id) != body.owner
            or not self._model.renew(holding_id, body.expires_in_s, now)
        ]
        return json_response(200, {"unknown": unknown})

    async def reserve(self, request: Request) -> Response:
        """Reserve memory for a number of tokens."""
        body = decode_body(await request.body(), HoldingRequest)
        if isinstance(body, Response):
            return body
        is_reserved = self._model.reserve(
            body.id, body.owner, body.tokens, body.expires_in_s, self.now
        )
        return json_response(200, {"done": is_reserved})

    async def export(self, request: Request) -> Response:
        """Pin cached blocks for a transfer and return their identity."""
        body = decode_body(await request.body(), HoldingRequest)
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
        return json_response(200, {"block": block})

    async def import_(self, request: Request) -> Response:
        """Import the blocks that another engine exported."""
        body = decode_body(await request.body(), HoldingRequest)
        if isinstance(body, Response):
            return body
        if body.block is None:
            return json_response(400, {"error": "no block", "execution": "not_run"})
        is_imported = self._model.import_(
            body.id, body.owner, body.block, body.expires_in_s, self.now
        )
        return json_response(200, {"done": is_imported})

    async def list_holdings(self, request: Request) -> Response:
        """Return all holdings."""
        return json_response(200, {"holdings": self._model.holdings(self.now)})

    async def list_cache_events(self, request: Request) -> Response:
        """Return at most 1,000 cache events with `seq >= from`."""
        from_seq = int(request.query_params.get("from", "0"))
        events = self._model.cache_events(from_seq, self.now)[:1_000]
        return json_response(200, {"events": events})

    async def report_load(self, request: Request) -> Response:
        """Return the lagging load report, multiplied by the fault's `load_factor`."""
        report = self._model.load(self.now)
        factor = self.faults.load_factor
        return json_response(
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
                "uptime_s": time.monotonic() - self._started_at,
                "models": None
                if self._serves_any_model
                else self._orders.ready_models(self.now),
            },
        )

    async def apply_order(self, request: Request) -> Response:
        """Apply an order, or refuse one with a stale token if fencing is enforced."""
        order = decode_body(await request.body(), Order)
        if isinstance(order, Response):
            return order
        result = self._orders.apply(order, self.now)
        if result == "accepted":
            self._serves_any_model = False
        status = {"accepted": 200, "stale": 409}.get(result, 422)
        return json_response(
            status, {"result": result, "fencing": self._orders.highest_fencing_token}
        )

    async def report_order_state(self, request: Request) -> Response:
        """Return models, adapters, role and the highest fencing token seen."""
        return json_response(200, self._orders.report(self.now))

    async def report_counters(self, request: Request) -> Response:
        """Return the latest orders, the counts of requests and the memory in use."""
        return json_response(
            200,
            {
                "orders": list(self._orders.history),
                "refused": self.refused_by_reason,
                "started": self.started_requests,
                "clock_started_at": self._started_at,
                "kv_tokens_used": self._model.kv_tokens_used,
            },
        )

    async def control(self, request: Request) -> Response:
        """Set or clear a fault and return all faults.

        The path names `leave` for `leaving`, `clear` for all faults, or a field of
        `Faults`. `counts` changes nothing and returns the number of requests to
        generate and the time of the last one, `arrivals` the times of the latest ones.
        """
        name = request.path_params["name"]
        if name == "counts":
            return json_response(
                200, {"received": self.received_requests, "at": self.last_received_at}
            )
        if name == "arrivals":
            return json_response(200, list(self.arrivals))
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
                return json_response(404, {"error": f"no fault {name}"})
        self._model.slow_factor = self.faults.slow_factor
        self._model.fail_fast = self.faults.fail_fast
        return json_response(200, msgspec.to_builtins(self.faults))

    def count_sent_tokens(self, tokens: int) -> None:
        """Count sent tokens and exit the process above `die_after_tokens`."""
        if self.faults.die_after_tokens >= 0:
            self.faults.die_after_tokens -= tokens
            if self.faults.die_after_tokens < 0:
                os._exit(1)

    def close_stream(self, request_id: str, stream: StreamState) -> None:
        """Remove a stream whose connection ended.

        A request that still runs is stopped, but its memory stays held.
        """
        self._streams.pop(request_id, None)
        if not stream.finished and not stream.aborted:
            self._model.abandon(request_id, self.now)

    def application(self) -> ASGIApp:
        """Return the ASGI application, which runs the model during its lifespan."""

        @asynccontextmanager
        async def lifespan(_: Starlette) -> AsyncIterator[None]:
            model_task = asyncio.create_task(self.run_model())
            yield
            model_task.cancel()

        post = ["POST"]
        starlette = Starlette(
            routes=[
                Route("/v1/generate", self.generate, methods=post),
                Route("/v1/cancel", self.cancel, methods=post),
                Route("/v1/renew", self.renew, methods=post),
                Route("/v1/holdings", self.list_holdings),
                Route("/v1/kv/reserve", self.reserve, methods=post),
                Route("/v1/kv/release", self.cancel, methods=post),
                Route("/v1/kv/export", self.export, methods=post),
                Route("/v1/kv/import", self.import_, methods=post),
                Route("/v1/events", self.list_cache_events),
                Route("/v1/load", self.report_load),
                Route("/v1/orders", self.apply_order, methods=post),
                Route("/v1/orders", self.report_order_state),
                Route("/control/counters", self.report_counters),
                Route("/control/{name}", self.control, methods=post),
            ],
            lifespan=lifespan,
        )

        async def application(scope: Scope, receive: Receive, send: Send) -> None:
            async def send_marked(message: Message) -> None:
                if (
                    message["type"] == "http.response.start"
                    and self.faults.says_leaving
                ):
                    headers = [*message.get("headers", ()), (b"x-leaving", b"true")]
                    message = {**message, "headers": headers}
                await send(message)

            await starlette(scope, receive, send_marked)

        return application


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
    """Serve one engine until the process is stopped.

    Parameters
    ----------
    model
        `name=version` of a model that is loaded at the start; repeatable. Without it,
        every model is served until the first accepted order.
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
    startup_message = {
        "role": "engine",
        "name": name,
        "pid": os.getpid(),
        "address": f"{host}:{listener.getsockname()[1]}",
    }
    print(json.dumps(startup_message), flush=True)
    uvicorn.Server(config).run(sockets=[listener])


if __name__ == "__main__":
    sys.exit(app())
