"""Start stand-ins and nodes as processes, for demonstrations and failure tests.

Only this package, which is not shipped, starts processes; a node never does.
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
# Files are merged in the order of their names: this one overrides the published URLs.
OVERLAY_FILE_NAME = "99-stack.json"


class StackError(Exception):
    """Raised for invalid settings, a failed start and a refused control request."""


class StackOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of a stack.

    `settings` is the folder of published settings, and `overlay` is merged over it.
    `engine_speed` is in simulated seconds per second of real time. `engine_arguments`
    and `service_arguments` are passed to each engine and service stand-in. `local` is
    merged over the local settings of each node. If `relayed` is true, each path from a
    node to a peer, an upstream or the platform has a relay of its own.
    """

    settings: Path
    nodes_per_domain: int = 1
    engine_speed: float = 1.0
    engine_arguments: tuple[str, ...] = ()
    service_arguments: tuple[str, ...] = ()
    overlay: dict[str, Any] = {}
    local: dict[str, Any] = {}
    start_nodes: bool = True
    relayed: bool = False


class Stack:
    """Platform, upstreams and nodes that run for the time of an `async with` block."""

    def __init__(self, options: StackOptions) -> None:
        self.options = options
        self.settings = _read_settings(options.settings)
        self.platform: Child | None = None
        self.engines: dict[str, Child] = {}
        self.services: dict[str, Child] = {}
        self.nodes: dict[str, Child] = {}
        self._folder = Path(tempfile.mkdtemp(prefix="dandelionpond-"))
        self._published_folder = self._folder / "published"
        self._reserved_ports: list[socket.socket] = []
        self._seeds: list[dict[str, str]] = []
        self._local_settings_paths: dict[str, Path] = {}
        self._session: aiohttp.ClientSession | None = None
        # Relays by the name of the node that connects and the name of its target.
        self.relays: dict[tuple[str, str], Relay] = {}

    @property
    def published_folder(self) -> Path:
        """Return the folder of settings that the platform stand-in serves."""
        return self._published_folder

    @property
    def session(self) -> aiohttp.ClientSession:
        """Return the HTTP session of the stack, which is closed with it."""
        assert self._session is not None
        return self._session

    @property
    def children(self) -> list[Child]:
        """Return the processes of the stack, including those that have exited."""
        platform = [self.platform] if self.platform else []
        return [
            *platform,
            *self.engines.values(),
            *self.services.values(),
            *self.nodes.values(),
        ]

    def describe(self) -> dict[str, Any]:
        """Return what each process reported at its start, and the operator key."""
        processes = [
            child.startup_info | {"failure_domain": child.failure_domain}
            for child in self.children
        ]
        return {"processes": processes, "operator_key": OPERATOR_KEY}

    async def __aenter__(self) -> Self:
        """Start all processes and wait until the nodes are ready."""
        self._session = aiohttp.ClientSession()
        try:
            await self._start_upstreams()
            self._publish_settings()
            self.platform = await self._start_platform()
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
        """Stop all processes."""
        await self.close()

    async def close(self) -> None:
        """Kill all processes, stop the relays and remove the temporary folder."""
        for relay in self.relays.values():
            await relay.close()
        for child in self.children:
            child.send_signal(signal.SIGCONT)
            child.send_signal(signal.SIGKILL)
        await asyncio.gather(*(child.process.wait() for child in self.children))
        if self._session is not None:
            await self._session.close()
        for reserved in self._reserved_ports:
            reserved.close()
        shutil.rmtree(self._folder, ignore_errors=True)

    async def start_nodes(self) -> None:
        """Start all nodes and wait until each is ready."""
        domains = sorted(self.settings.failure_domains)
        nodes = [
            (f"{domain}-node-{number}", domain)
            for number in range(1, self.options.nodes_per_domain + 1)
            for domain in domains
        ]
        for name, domain in nodes:
            self._write_local_settings(name, domain)
        self._write_seeds()
        if self.options.relayed:
            await self._start_relays()
        await asyncio.gather(*(self.start_node(name) for name, _ in nodes))

    async def start_node(self, name: str) -> Child:
        """Start the node of this name and wait until it is ready."""
        path = self._local_settings_paths[name]
        arguments = ["-m", "dandelionpond", "run", "--settings", str(path)]
        domain = json.loads(path.read_text())["failure_domain"]
        child = await self._spawn(name, domain, arguments)
        self.nodes[name] = child
        await self._register_vm(
            name,
            "node",
            child.startup_info["peer_address"],
            domain=domain,
            state="live",
        )
        await self._wait_ready(child)
        return child

    def operator_url(self, name: str) -> str:
        """Return the base URL of a node's operator API."""
        return self._node_url(self.nodes[name], "operator_address")

    def _node_url(self, child: Child, listener: str) -> str:
        scheme = "https" if "tls_certificate" in self.options.local else "http"
        return f"{scheme}://{child.startup_info[listener]}"

    async def call_operator_api(self, name: str, path: str, method: str = "GET") -> Any:
        """Call a node's operator API and return the JSON response."""
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        url = self.operator_url(name) + path
        async with self.session.request(
            method, url, headers=headers, ssl=False
        ) as response:
            return await response.json()

    async def control(self, child: Child, name: str, value: object = None) -> Any:
        """Post a value to a control endpoint of a stand-in; return the JSON response.

        Raise `StackError` if the response has an error status.
        """
        url = f"{child.url}/control/{name}"
        async with self.session.post(url, json=value) as response:
            if response.status >= 400:
                raise StackError(f"{url}: {await response.text()}")
            return await response.json()

    async def set_vm(self, name: str, state: str) -> None:
        """Set the state of a VM in the list of the platform stand-in."""
        child = self.nodes.get(name) or self.engines.get(name) or self.services[name]
        role = str(child.startup_info["role"])
        address = str(child.startup_info.get("peer_address", child.address))
        await self._register_vm(name, role, address, child.failure_domain, state)

    def relays_between(
        self, sources: Iterable[str] = (), targets: Iterable[str] = ()
    ) -> list[Relay]:
        """Return the relays from these nodes to these targets; empty means all."""
        wanted_sources, wanted_targets = set(sources), set(targets)
        return [
            relay
            for (source, target), relay in self.relays.items()
            if (not wanted_sources or source in wanted_sources)
            and (not wanted_targets or target in wanted_targets)
        ]

    async def partition(self, domains: Iterable[str], rule: Rule) -> None:
        """Apply a rule to each relay between a process in `domains` and one outside.

        The platform counts as outside.
        """
        inside = {
            child.name for child in self.children if child.failure_domain in domains
        }
        for (source, target), relay in self.relays.items():
            if (source in inside) != (target in inside):
                await relay.apply(rule)

    async def heal(self) -> None:
        """Remove all rules and reset all connections, which may have lost bytes."""
        for relay in self.relays.values():
            await relay.apply(Rule())
            relay.reset()

    async def _start_relays(self) -> None:
        assert self.platform is not None
        for name, path in self._local_settings_paths.items():
            local = json.loads(path.read_text())
            local["peer_routes"] = {
                seed["name"]: await self._start_relay(
                    name, seed["name"], seed["peer_address"]
                )
                for seed in self._seeds
                if seed["name"] != name
            }
            local["upstream_routes"] = {
                child.name: "http://"
                + await self._start_relay(name, child.name, child.address)
                for child in (*self.engines.values(), *self.services.values())
            }
            address = await self._start_relay(name, "platform", self.platform.address)
            local["platform_url"] = f"http://{address}"
            path.write_text(json.dumps(local))

    async def _start_relay(self, source: str, target: str, address: str) -> str:
        host, _, port = address.rpartition(":")
        relay = Relay((host, int(port)))
        await relay.start()
        self.relays[source, target] = relay
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
        """Start one engine stand-in with the properties that its settings declare."""
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

    async def _start_platform(self) -> Child:
        arguments = [
            "-m",
            "dandelionpond_standins.platform",
            "--port=0",
            f"--folder={self._published_folder}",
        ]
        return await self._spawn("platform", "", arguments)

    def _publish_settings(self) -> None:
        shutil.copytree(self.options.settings, self._published_folder)
        urls = {
            child.name: {"url": child.url}
            for child in (*self.engines.values(), *self.services.values())
        }
        overlay = {"upstreams": urls}
        for section, value in self.options.overlay.items():
            overlay[section] = overlay.get(section, {}) | value
        (self._published_folder / OVERLAY_FILE_NAME).write_text(
            json.dumps(overlay, indent=1)
        )

    async def _register_upstreams(self) -> None:
        for child in (*self.engines.values(), *self.services.values()):
            await self._register_vm(
                child.name,
                str(child.startup_info["role"]),
                child.address,
                child.failure_domain,
                "live",
            )

    async def _register_vm(
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
        reserved = reserve_port()
        self._reserved_ports.append(reserved)
        return f"{HOST}:{reserved.getsockname()[1]}"

    def _write_local_settings(self, name: str, domain: str) -> None:
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
            **self.options.local,
        }
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(local))
        self._local_settings_paths[name] = path
        self._seeds.append(
            {"name": name, "peer_address": peer_address, "failure_domain": domain}
        )

    def _write_seeds(self) -> None:
        for name, path in self._local_settings_paths.items():
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
        """Return what the process of this name wrote to standard error."""
        return (self._folder / f"{name}.log").read_text(errors="replace")

    async def _wait_ready(self, child: Child) -> None:
        url = self._node_url(child, "operator_address") + "/readyz"
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while not await self._is_ready(url):
                    if child.process.returncode is not None:
                        raise StackError(
                            f"{child.name} exited early: {self.read_log(child.name)}"
                        )
                    await asyncio.sleep(0.05)
        except TimeoutError:
            raise StackError(
                f"{child.name} was not ready within {START_TIMEOUT_S} s"
            ) from None

    async def _is_ready(self, url: str) -> bool:
        try:
            # The certificates of tests are not signed by a known authority.
            async with self.session.get(url, ssl=False) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False


def _read_settings(folder: Path) -> Settings:
    files = {path.name: path.read_bytes() for path in sorted(folder.glob("*.json"))}
    merged = merge_folder(files)
    if merged.is_error():
        first = merged.error[0]
        raise StackError(f"{first.file}: {first.path}: {first.reason}")
    return merged.ok.settings
