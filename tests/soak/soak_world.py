"""Run nodes as processes between clients, the platform's store and upstreams."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from platform_stubs import StubStore, routing_config
from soak_upstreams import Runs, Upstream

from dandelionpond_standins.relay import Relay, Rule

ROOT = Path(__file__).resolve().parents[2]
NODES = (("n1", "a"), ("n2", "a"), ("n3", "b"))
UPSTREAMS = (("app", 3), ("llm", 3))
# Versions of the document whose own route it still holds.
KEPT_VERSIONS = 3
# Time limit of each route in milliseconds.
TIMEOUT_MS = 4_000
GRACE_S = 8
CUT = Rule(drop="both")
FREE = Rule()


def document(version):
    """Return a document with routes of its own and of the last versions."""
    more = {"MaxAttempts": 3, "TimeoutMs": TIMEOUT_MS}
    routes = [
        ("call", "/call/", "idempotent", more),
        ("pay", "/pay/", "non_idempotent", more),
        ("chat", "/chat/", "stream", more | {"Resumable": True}),
    ]
    for kept in range(max(1, version - KEPT_VERSIONS + 1), version + 1):
        routes.append((f"v{kept}", f"/v{kept}/", "idempotent", more))
    return routing_config(version, routes=routes)


class Node:
    """Own one node's process; `lives` counts its starts, `exits` those unasked."""

    def __init__(self, name, domain, ip, seeds, store, folder, source):
        self.name = name
        self.ip = ip
        self.front = f"http://{ip}:7600"
        self.store = store
        self.lives = 0
        self.exits = []
        self._folder = folder
        self._source = source
        self._process = None
        self._asked = False
        self._watch = None
        self._settings = {
            "Node": name,
            "Zone": domain,
            "Ip": ip,
            "Listen.Front": f"{ip}:7600",
            "Listen.Ready": f"{ip}:7601",
            "Listen.Control": f"{ip}:7602",
            "InternalPorts": "7603",
            "Seeds": ",".join(f"{seed}:7602" for seed in seeds),
            "Bounds.GraceS": GRACE_S,
            "Bounds.RetryBudgetRatio": 0.2,
            "Bounds.BudgetWindowS": 10,
            "Bounds.BudgetSlack": 200,
        }

    @property
    def is_running(self):
        """Return whether the process was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    async def start(self):
        """Start the process; its output goes to a file of this life."""
        host, port = self.store.address
        fields = self._settings | {"Platform.Address": f"{host}:{port}"}
        path = self._folder / f"{self.name}.conf"
        path.write_text("".join(f"{key}={value}\n" for key, value in fields.items()))
        paths = [str(self._source), str(ROOT / "platform")]
        environment = os.environ | {
            "DANDELIONPOND_CONFIG": str(path),
            "PYTHONPATH": os.pathsep.join(paths),
        }
        self.lives += 1
        self._asked = False
        with (self._folder / f"{self.name}-{self.lives}.log").open("w") as output:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "platform/run.py"),
                "front",
                env=environment,
                stdout=output,
                stderr=output,
            )
        self._watch = asyncio.create_task(self._wait(self._process))

    def send(self, number):
        """Send the process a signal."""
        self._asked |= number in (signal.SIGKILL, signal.SIGTERM)
        if self.is_running:
            self._process.send_signal(number)

    async def ended(self):
        """Wait for the end that a signal asked for; kill after the grace time."""
        try:
            async with asyncio.timeout(GRACE_S):
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
        await self._watch

    async def _wait(self, process):
        code = await process.wait()
        if not self._asked:
            self.exits.append(code)


class World:
    """Own all processes, stand-ins and paths of one run."""

    def __init__(self, folder, number, source):
        self.runs = Runs()
        self.store = StubStore()
        self.version = 0
        self.versions_at = {}
        self._folder = folder
        self._source = source
        # Each run has addresses of its own, so that runs beside it do not meet.
        self._net = f"127.{20 + os.getpid() % 200}.{number % 250}"

    async def __aenter__(self):
        await self.store.start()
        self.publish()
        host, _, port = self.store.address.rpartition(":")
        self.upstreams, self.paths = [], {}
        for service, count in UPSTREAMS:
            for number in range(count):
                upstream = Upstream(f"{service}-{number}", service, self.runs)
                await upstream.start()
                path = Relay(tuple(upstream.address))
                await path.start()
                self.upstreams.append(upstream)
                self.paths[upstream.instance] = path
                self.enter(upstream)
        self.nodes = []
        seeds = [f"{self._net}.{index + 1}" for index in range(len(NODES))]
        for ip, (name, domain) in zip(seeds, NODES, strict=True):
            store = Relay((host, int(port)))
            await store.start()
            parts = (name, domain, ip, seeds, store, self._folder, self._source)
            self.nodes.append(Node(*parts))
        await asyncio.gather(*(node.start() for node in self.nodes))
        return self

    async def __aexit__(self, *_):
        for node in self.nodes:
            node.send(signal.SIGCONT)
            node.send(signal.SIGKILL)
            await node.ended()
            await node.store.close()
        for upstream in self.upstreams:
            await self.paths[upstream.instance].close()
            await upstream.stop()
        await self.store.stop()

    def publish(self):
        """Write the next version of the document."""
        self.version += 1
        now = asyncio.get_running_loop().time()
        self.versions_at[self.version] = now
        self.store.put("op/config", document(self.version))

    def enter(self, upstream, state="ready"):
        """Write the entry of an upstream."""
        host, port = self.paths[upstream.instance].address
        entry = {
            "Service": upstream.service,
            "Address": f"{host}:{port}",
            "Zone": "a" if upstream.instance[-1] != "2" else "b",
            "State": state,
            "Slots": 8,
        }
        self.store.put(f"servers/{upstream.instance}", entry)
