"""Start stand-ins and nodes as processes, for demonstrations and failure tests.

The node itself starts no process; only this package, which is not shipped, does.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
from collections.abc import Iterable
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import aiohttp
import msgspec

from dandelionpond.config.merge import merge_folder
from dandelionpond.config.schema import EngineUpstream, ServiceUpstream, Settings
from dandelionpond.http.keys import hash_key
from dandelionpond_standins.process import HOST, Child, reserve_port
from dandelionpond_standins.relay import Relay, Rule

START_TIMEOUT_S = 60.0
OPERATOR_KEY = "demo-operator"
# The name sorts after the published files, so that its URLs replace theirs.
OVERLAY = "99-stack.json"


class StackError(Exception):
    """Report that a process did not start or stop."""


class StackOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a stack.

    `overlay` is merged over the published folder. `engine_speed` is the number of model
    seconds for each real second. `engine_arguments` go to each engine stand-in. With
    `relayed` each path from a node to a peer, an upstream or the platform goes through
    a relay of its own.
    """

    settings: Path
    nodes_per_domain: int = 1
    engine_speed: float = 1.0
    engine_arguments: tuple[str, ...] = ()
    service_arguments: tuple[str, ...] = ()
    overlay: dict[str, Any] = {}
    start_nodes: bool = True
    relayed: bool = False


class Stack:
    """Run a platform, upstreams and nodes until the end of an `async with` block."""

    def __init__(self, options: StackOptions) -> None:
        self.options = options
        self.settings = _read(options.settings)
        self.platform: Child | None = None
        self.engines: dict[str, Child] = {}
        self.services: dict[str, Child] = {}
        self.nodes: dict[str, Child] = {}
        self._folder = Path(tempfile.mkdtemp(prefix="dandelionpond-"))
        self._published = self._folder / "published"
        self._held_ports: list[socket.socket] = []
        self._seeds: list[dict[str, str]] = []
        self._locals: dict[str, Path] = {}
        self._session: aiohttp.ClientSession | None = None
        # Relays by the node at their start and the name at their end.
        self.relays: dict[tuple[str, str], Relay] = {}

    @property
    def published_folder(self) -> Path:
        """Return the folder that the platform stand-in publishes."""
        return self._published

    @property
    def session(self) -> aiohttp.ClientSession:
        """Return an HTTP client for tests and tools."""
        assert self._session is not None
        return self._session

    @property
    def children(self) -> list[Child]:
        """Return every running process."""
        platform = [self.platform] if self.platform else []
        return [
            *platform,
            *self.engines.values(),
            *self.services.values(),
            *self.nodes.values(),
        ]

    def describe(self) -> dict[str, Any]:
        """Return the roles, names, process numbers and addresses of all processes."""
        processes = [
            child.startup_info | {"failure_domain": child.failure_domain}
            for child in self.children
        ]
        return {"processes": processes, "operator_key": OPERATOR_KEY}

    async def __aenter__(self) -> Self:
        """Start everything and wait until the nodes are ready."""
        self._session = aiohttp.ClientSession()
        try:
            await self._start_upstreams()
            self._publish()
            self.platform = await self._platform()
            await self._register_upstreams()
            if self.options.start_nodes:
                await self.start_nodes()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop everything."""
        await self.close()

    async def close(self) -> None:
        """Stop every process and remove the temporary folder."""
        for relay in self.relays.values():
            await relay.close()
        for child in self.children:
            child.send_signal(signal.SIGCONT)
            child.send_signal(signal.SIGKILL)
        await asyncio.gather(*(child.process.wait() for child in self.children))
        if self._session is not None:
            await self._session.close()
        for held in self._held_ports:
            held.close()
        shutil.rmtree(self._folder, ignore_errors=True)

    async def start_nodes(self) -> None:
        """Start all nodes and wait until each is ready."""
        domains = sorted(self.settings.failure_domains)
        specs = [
            (f"{domain}-node-{number}", domain)
            for number in range(1, self.options.nodes_per_domain + 1)
            for domain in domains
        ]
        for name, domain in specs:
            self._local_settings(name, domain)
        self._write_seeds()
        if self.options.relayed:
            await self._relay_paths()
        await asyncio.gather(*(self.start_node(name) for name, _ in specs))

    async def start_node(self, name: str) -> Child:
        """Start one node by its name and wait until it is ready."""
        path = self._locals[name]
        arguments = ["-m", "dandelionpond", "run", "--settings", str(path)]
        domain = json.loads(path.read_text())["failure_domain"]
        child = await self._spawn(name, domain, arguments)
        self.nodes[name] = child
        await self._register(
            name,
            "node",
            child.startup_info["peer_address"],
            domain=domain,
            state="live",
        )
        await self._wait_ready(child)
        return child

    def operator_url(self, name: str) -> str:
        """Return the operators' URL of a node."""
        return f"http://{self.nodes[name].startup_info['operator_address']}"

    async def call_operator_api(self, name: str, path: str, method: str = "GET") -> Any:
        """Call a node's operators' API and return its JSON answer."""
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        url = self.operator_url(name) + path
        async with self.session.request(method, url, headers=headers) as response:
            return await response.json()

    async def control(self, child: Child, name: str, value: object = None) -> Any:
        """Call a control endpoint of a stand-in."""
        url = f"{child.url}/control/{name}"
        async with self.session.post(url, json=value) as response:
            if response.status >= 400:
                raise StackError(f"{url}: {await response.text()}")
            return await response.json()

    async def set_vm(self, name: str, state: str) -> None:
        """Set the state of a VM in the platform's list."""
        child = self.nodes.get(name) or self.engines.get(name) or self.services[name]
        role = str(child.startup_info["role"])
        address = str(child.startup_info.get("peer_address", child.address))
        await self._register(name, role, address, child.failure_domain, state)

    def relays_between(
        self, sources: Iterable[str] = (), targets: Iterable[str] = ()
    ) -> list[Relay]:
        """Return the relays from some nodes to some ends; empty means all."""
        starts, ends = set(sources), set(targets)
        return [
            relay
            for (start, end), relay in self.relays.items()
            if (not starts or start in starts) and (not ends or end in ends)
        ]

    async def partition(self, domains: Iterable[str], rule: Rule) -> None:
        """Apply a rule to every path that crosses the border of some domains.

        The platform is on the other side.
        """
        inside = {
            child.name for child in self.children if child.failure_domain in domains
        }
        for (start, end), relay in self.relays.items():
            if (start in inside) != (end in inside):
                await relay.apply(rule)

    async def heal(self) -> None:
        """Let all paths work again; connections that dropped bytes are reset."""
        for relay in self.relays.values():
            await relay.apply(Rule())
            relay.reset()

    async def _relay_paths(self) -> None:
        assert self.platform is not None
        for name, path in self._locals.items():
            local = json.loads(path.read_text())
            local["peer_routes"] = {
                seed["name"]: await self._relay(
                    name, seed["name"], seed["peer_address"]
                )
                for seed in self._seeds
                if seed["name"] != name
            }
            local["upstream_routes"] = {
                child.name: "http://"
                + await self._relay(name, child.name, child.address)
                for child in (*self.engines.values(), *self.services.values())
            }
            address = await self._relay(name, "platform", self.platform.address)
            local["platform_url"] = f"http://{address}"
            path.write_text(json.dumps(local))

    async def _relay(self, start: str, end: str, address: str) -> str:
        host, _, port = address.rpartition(":")
        relay = Relay((host, int(port)))
        await relay.start()
        self.relays[start, end] = relay
        return "{}:{}".format(*relay.address)

    async def _start_upstreams(self) -> None:
        tasks = []
        for name, upstream in self.settings.upstreams.items():
            match upstream:
                case EngineUpstream():
                    tasks.append(self.start_engine(name, upstream))
                case ServiceUpstream():
                    tasks.append(self.start_service(name, upstream))
        await asyncio.gather(*tasks)

    async def start_engine(
        self, name: str, upstream: EngineUpstream, port: int = 0
    ) -> Child:
        """Start one engine stand-in with the traits that the settings give it."""
        models = [
            f"--model={model}={self.settings.models[model].version}"
            for model in upstream.models
        ]
        arguments = [
            "-m",
            "dandelionpond_standins.engine",
            f"--name={name}",
            f"--port={port}",
            f"--kv-capacity-tokens={upstream.kv_capacity_tokens}",
            f"--prefill-tokens-per-s={upstream.prefill_tokens_per_s}",
            f"--fencing={upstream.fencing}",
            f"--role={upstream.role}",
            f"--speed={self.options.engine_speed}",
            *models,
            *self.options.engine_arguments,
        ]
        child = await self._spawn(name, upstream.failure_domain, arguments)
        self.engines[name] = child
        return child

    async def start_service(
        self, name: str, upstream: ServiceUpstream, port: int = 0
    ) -> Child:
        """Start one plain-service stand-in."""
        arguments = [
            "-m",
            "dandelionpond_standins.service",
            f"--name={name}",
            f"--port={port}",
            *self.options.service_arguments,
        ]
        child = await self._spawn(name, upstream.failure_domain, arguments)
        self.services[name] = child
        return child

    async def _platform(self) -> Child:
        arguments = [
            "-m",
            "dandelionpond_standins.platform",
            "--port=0",
            f"--folder={self._published}",
        ]
        return await self._spawn("platform", "", arguments)

    def _publish(self) -> None:
        shutil.copytree(self.options.settings, self._published)
        urls = {
            child.name: {"url": child.url}
            for child in (*self.engines.values(), *self.services.values())
        }
        overlay = {"upstreams": urls}
        for section, value in self.options.overlay.items():
            overlay[section] = overlay.get(section, {}) | value
        (self._published / OVERLAY).write_text(json.dumps(overlay, indent=1))

    async def _register_upstreams(self) -> None:
        for child in (*self.engines.values(), *self.services.values()):
            await self._register(
                child.name,
                str(child.startup_info["role"]),
                child.address,
                child.failure_domain,
                "live",
            )

    async def _register(
        self, name: str, role: str, address: str, domain: str, state: str
    ) -> None:
        assert self.platform is not None
        vm = {
            "name": name,
            "role": role,
            "address": address,
            "failure_domain": domain,
            "state": state,
        }
        await self.control(self.platform, "vms", [vm])

    def _new_address(self) -> str:
        held = reserve_port()
        self._held_ports.append(held)
        return f"{HOST}:{held.getsockname()[1]}"

    def _local_settings(self, name: str, domain: str) -> None:
        assert self.platform is not None
        peer_address = self._new_address()
        local = {
            "name": name,
            "failure_domain": domain,
            "caller_address": self._new_address(),
            "operator_address": self._new_address(),
            "peer_address": peer_address,
            "platform_url": self.platform.url,
            "operator_key_hash": hash_key(OPERATOR_KEY),
        }
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(local))
        self._locals[name] = path
        self._seeds.append(
            {"name": name, "peer_address": peer_address, "failure_domain": domain}
        )

    def _write_seeds(self) -> None:
        for name, path in self._locals.items():
            local = json.loads(path.read_text())
            local["seeds"] = [seed for seed in self._seeds if seed["name"] != name]
            path.write_text(json.dumps(local))

    async def _spawn(self, name: str, domain: str, arguments: Iterable[str]) -> Child:
        log = (self._folder / f"{name}.log").open("ab")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=log,
            env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
        )
        log.close()
        assert process.stdout is not None
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                line = await process.stdout.readline()
        except TimeoutError:
            line = b""
        if not line:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
            raise StackError(f"{name} did not start: {self.read_log(name)[-2000:]}")
        return Child(process, json.loads(line), domain)

    def read_log(self, name: str) -> str:
        """Return what a process wrote to standard error."""
        return (self._folder / f"{name}.log").read_text(errors="replace")

    async def _wait_ready(self, child: Child) -> None:
        url = f"http://{child.startup_info['operator_address']}/readyz"
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while not await self._is_ready(url):
                    if child.process.returncode is not None:
                        raise StackError(
                            f"{child.name} ended: {self.read_log(child.name)}"
                        )
                    await asyncio.sleep(0.05)
        except TimeoutError:
            raise StackError(f"{child.name} is not ready") from None

    async def _is_ready(self, url: str) -> bool:
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False


def _read(folder: Path) -> Settings:
    files = {path.name: path.read_bytes() for path in sorted(folder.glob("*.json"))}
    merged = merge_folder(files)
    if merged.is_error():
        first = merged.error[0]
        raise StackError(f"{first.file}: {first.path}: {first.reason}")
    return merged.ok.settings
