"""Platform service stand-in that serves a folder and a list of VMs over HTTP."""

import asyncio
import json
import os
import socket
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import cyclopts
import msgspec
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from dandelionpond.adapters.platform import MAX_VALUE_BYTES
from dandelionpond.clock import SystemClock
from dandelionpond.membership.messages import Vm
from dandelionpond_standins.platform_store import Mode, PlatformStore

MAX_WATCHES = 4_096
MAX_WAIT_S = 60.0

Handler = Callable[[Request], Awaitable[Response]]


class PlatformApp:
    """HTTP application with the platform's endpoints and the control endpoints."""

    def __init__(self, store: PlatformStore, poll_s: float = 0.2) -> None:
        self._store = store
        self._poll_s = poll_s
        self._state_changed = asyncio.Event()
        self._waiting_watches = 0

    def build(self) -> Starlette:
        """Return the ASGI application."""
        public = {
            "/v1/list": self._list,
            "/v1/keys/{name:path}": self._read,
            "/v1/watch": self._watch,
            "/v1/vms": self._vms,
        }
        routes = [
            Route(path, self._wrap_handler(path.split("/")[2], handler))
            for path, handler in public.items()
        ]
        routes += [
            Route("/control/files/{name}", self._edit_file, methods=["PUT", "DELETE"]),
            Route("/control/vms", self._set_vms, methods=["POST"]),
            Route("/control/state", self._set_state, methods=["POST"]),
            Route("/control/counters", self._counters, methods=["GET", "DELETE"]),
        ]
        return Starlette(routes=routes, lifespan=self._lifespan)

    @asynccontextmanager
    async def _lifespan(self, app: Starlette) -> AsyncIterator[None]:
        task = asyncio.create_task(self._poll())
        yield
        task.cancel()

    async def _poll(self) -> None:
        while True:
            await asyncio.sleep(self._poll_s)
            try:
                changed = self._store.scan()
            except OSError as error:
                # The folder may be missing while it is replaced: serve the last state.
                print(f"platform: {error}", file=sys.stderr)
                continue
            if changed:
                self._notify_state_change()

    def _notify_state_change(self) -> None:
        self._state_changed.set()
        self._state_changed = asyncio.Event()

    def _wrap_handler(self, kind: str, handler: Handler) -> Handler:
        """Return an endpoint that counts its calls and applies the store's mode."""

        async def endpoint(request: Request) -> Response:
            self._store.count_call(kind)
            while self._store.mode is Mode.SILENT:
                await self._state_changed.wait()
            if self._store.mode is Mode.DOWN:
                return JSONResponse({"error": "down"}, 503)
            return await handler(request)

        return endpoint

    async def _list(self, request: Request) -> Response:
        prefix = request.query_params.get("prefix", "")
        return JSONResponse(self._store.list_files(prefix))

    async def _read(self, request: Request) -> Response:
        file = self._store.read(request.path_params["name"])
        if file is None:
            return JSONResponse({"error": "not found"}, 404)
        content, revision = file
        headers = {"X-Revision": str(revision)}
        return Response(content, headers=headers, media_type="application/json")

    async def _watch(self, request: Request) -> Response:
        try:
            from_revision = int(request.query_params.get("from", "0"))
            wait_s = float(request.query_params.get("wait_s", "0"))
        except ValueError:
            return JSONResponse({"error": "from and wait_s must be numbers"}, 400)
        if self._waiting_watches >= MAX_WATCHES:
            self._store.count_call("watch_refused")
            return JSONResponse({"error": "too many watches"}, 503)
        self._waiting_watches += 1
        try:
            async with asyncio.timeout(min(max(wait_s, 0.0), MAX_WAIT_S)):
                while self._store.revision <= from_revision:
                    await self._state_changed.wait()
        except TimeoutError:
            pass
        finally:
            self._waiting_watches -= 1
        if self._store.mode is Mode.DOWN:
            return JSONResponse({"error": "down"}, 503)
        return JSONResponse({"revision": self._store.revision})

    async def _vms(self, request: Request) -> Response:
        return JSONResponse(msgspec.to_builtins(self._store.vms()))

    async def _edit_file(self, request: Request) -> Response:
        name = request.path_params["name"]
        if request.method == "DELETE":
            is_accepted = self._store.delete(name)
        else:
            content = await request.body()
            if len(content) > MAX_VALUE_BYTES:
                return JSONResponse({"error": "value over 1 MB"}, 413)
            is_accepted = self._store.put(name, content)
        self._notify_state_change()
        body = {"revision": self._store.newest_revision}
        return JSONResponse(body, 200 if is_accepted else 404)

    async def _set_vms(self, request: Request) -> Response:
        try:
            vms = msgspec.json.decode(await request.body(), type=list[Vm])
        except msgspec.MsgspecError as error:
            return JSONResponse({"error": str(error)}, 400)
        for vm in vms:
            self._store.set_vm(vm)
        return JSONResponse({"vms": len(vms)})

    async def _set_state(self, request: Request) -> Response:
        """Apply the fields present in a `StateChange`."""
        try:
            change = msgspec.json.decode(await request.body(), type=StateChange)
        except msgspec.MsgspecError as error:
            return JSONResponse({"error": str(error)}, 400)
        is_accepted = True
        if change.mode is not None:
            self._store.mode = change.mode
        if change.frozen is not None:
            self._store.freeze(change.frozen)
        if change.step_back is not None:
            is_accepted = self._store.step_back(change.step_back)
        if change.renumber is not None:
            self._store.renumber(change.renumber)
        if change.vm_lag_s is not None:
            self._store.vm_lag_s = change.vm_lag_s
        self._notify_state_change()
        return JSONResponse(
            {"revision": self._store.revision}, 200 if is_accepted else 404
        )

    async def _counters(self, request: Request) -> Response:
        if request.method == "DELETE":
            self._store.reset_counters()
        body = self._store.counters()
        return JSONResponse({**body, "watches_waiting": self._waiting_watches})


class StateChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Change of the stand-in's behaviour; absent fields leave it as it is.

    `frozen` is the argument of `PlatformStore.freeze`, `step_back` and `renumber` are
    revisions, and `vm_lag_s` is in seconds.
    """

    mode: Mode | None = None
    frozen: bool | None = None
    step_back: int | None = None
    renumber: int | None = None
    vm_lag_s: float | None = None


def serve(
    *,
    folder: Path,
    port: int = 0,
    host: str = "127.0.0.1",
    prefix: str = "settings/",
    vms: Path | None = None,
    poll_s: float = 0.2,
) -> int:
    """Serve a folder as the platform until a signal ends the process.

    Parameters
    ----------
    folder
        Directory whose files are served; each change found in it is one new revision.
    port
        TCP port; 0 lets the operating system choose.
    host
        Address to bind.
    prefix
        Prefix of the file names in the platform's keys.
    vms
        File with a JSON list of the initial VMs.
    poll_s
        Seconds between two scans of the folder.
    """
    try:
        store = PlatformStore(folder, SystemClock(), prefix)
        if vms is not None:
            for vm in msgspec.json.decode(vms.read_bytes(), type=list[Vm]):
                store.set_vm(vm)
        listener = socket.create_server((host, port), backlog=2_048)
    except (OSError, msgspec.MsgspecError) as error:
        print(f"platform: {error}", file=sys.stderr)
        return 1
    address = "{}:{}".format(*listener.getsockname()[:2])
    print(json.dumps({"role": "platform", "pid": os.getpid(), "address": address}))
    sys.stdout.flush()
    config = uvicorn.Config(
        PlatformApp(store, poll_s).build(),
        loop="asyncio",
        http="httptools",
        log_level="warning",
        access_log=False,
        timeout_graceful_shutdown=1,
    )
    uvicorn.Server(config).run(sockets=[listener])
    return 0


if __name__ == "__main__":
    app = cyclopts.App(name="platform", help="Run a stand-in for the platform service.")
    app.default(serve)
    app()
