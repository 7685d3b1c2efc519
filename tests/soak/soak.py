"""Run nodes under random faults and check what clients and upstreams see.

`python tests/soak/soak.py --seeds 1-50` runs seeds one after another, or several at
once with `--jobs`. Each prints one JSON line: the faults and how often they struck, the
outcomes of requests and the promises that were broken. `--mutation` damages a copy of
the code first; the run must then fail.
"""

import asyncio
import json
import logging
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from random import Random
from typing import Annotated

import cyclopts

ROOT = Path(__file__).resolve().parents[2]
for folder in ("tests/soak", "tests/platform_adapter", "packages/standins/src"):
    sys.path.insert(0, str(ROOT / folder))

from soak_clients import Clients  # noqa: E402
from soak_faults import Faults  # noqa: E402
from soak_world import World  # noqa: E402

# The upstreams log each connection that a fault or a client cuts under them.
logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)

SOURCE = ROOT / "packages/dandelionpond/src"
FAULTS_S = 6.0
CLIENTS_PER_NODE = 3
# Time in seconds within which everything works again after the last fault; a bound of
# the run and not of the product, so that a busy machine cannot miss it.
PATIENCE_S = 60.0
# Lines of code, with what replaces them, that break one promise each.
MUTATIONS = {
    "second send": (
        (
            "published/messages.py",
            "return self.kind is RouteKind.IDEMPOTENT",
            "return True",
        ),
    ),
    "dropped event": (
        (
            "forwarding/events.py",
            'attempt that was interrupted."""\n',
            'attempt that was interrupted."""\n'
            "        self.last_event_id = (self.last_event_id or 0) + 1\n",
        ),
    ),
    "older revision": (
        ("published/state.py", "document.version < self.version", "False"),
        ("published/state.py", "document.version > self.version", "True"),
        (
            "entry/state_sync.py",
            "or heartbeat.document_version > published.version",
            "or True",
        ),
        (
            "entry/state_sync.py",
            "                fleet.published.version,\n                Peer",
            "                0,\n                Peer",
        ),
    ),
}


async def until(condition):
    """Wait until a condition holds; raise TimeoutError after `PATIENCE_S`."""
    async with asyncio.timeout(PATIENCE_S):
        while not await condition():  # noqa: ASYNC110
            await asyncio.sleep(0.1)


async def play(seed, folder, source=SOURCE):
    """Run one seed and return its report."""
    random = Random(seed)
    async with World(folder, seed, source) as world:
        clients = Clients(world, Random(random.random()), f"{seed:04x}")
        faults = Faults(world, random)
        try:
            await until(lambda: works(clients, world))
        except TimeoutError:
            return {"seed": seed, "broken": ["start: the nodes never served"]}
        tasks = [
            asyncio.create_task(clients.run(node, probes=number == 0))
            for node in world.nodes
            for number in range(CLIENTS_PER_NODE)
        ]
        await faults.run(FAULTS_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        broken = list(clients.broken)
        try:
            await until(lambda: works(clients, world))
        except TimeoutError:
            broken.append("recover: a node does not serve the newest version")
        try:
            await until(lambda: _is_idle(world))
        except TimeoutError:
            broken.append(f"cancel: {+world.runs.open} still run")
        broken += _end(clients, world)
        return {
            "seed": seed,
            "faults": dict(sorted(faults.counts.items())),
            "struck": dict(sorted(world.runs.faults.items())),
            "outcomes": dict(sorted(clients.outcomes.items())),
            "lives": sum(node.lives for node in world.nodes),
            "broken": broken,
        }


async def works(clients, world):
    """Return whether each node answers each kind and serves the newest version."""
    for node in world.nodes:
        for kind in ("call", "pay", "chat", f"v{world.version}"):
            if not await clients.works(node, kind):
                return False
    return True


async def _is_idle(world):
    return not +world.runs.open


def _end(clients, world):
    """Return the promises that the whole run shows as broken."""
    runs = world.runs.by_attempt
    broken = [
        f"twice: {one} ran {runs[one]} times" for one in clients.paid if runs[one] > 1
    ]
    broken += [f"false refusal: {one} ran" for one in clients.refused if runs[one]]
    for node in world.nodes:
        broken += [f"exit: {node.name} ended with {code}" for code in node.exits]
    return broken


def mutated(name, folder):
    """Return a damaged copy of the source."""
    shutil.copytree(SOURCE, folder / "src")
    for file, old, new in MUTATIONS[name]:
        path = folder / "src/dandelionpond" / file
        text = path.read_text()
        if old not in text:
            raise ValueError(f"{name}: {file} has no {old!r}")
        path.write_text(text.replace(old, new))
    return folder / "src"


def _seeds(text):
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def main(
    *,
    seeds: str = "1-5",
    jobs: int = 1,
    mutation: str | None = None,
    keep: Annotated[Path | None, cyclopts.Parameter(help="Keep logs here.")] = None,
) -> int:
    """Play seeds (FIRST-LAST) and return 1 if a promise was broken."""
    wanted, running, failed = list(_seeds(seeds)), [], []
    with tempfile.TemporaryDirectory() as scratch:
        folder = keep or Path(scratch)
        source = mutated(mutation, folder) if mutation else SOURCE
        while wanted or running:
            while wanted and len(running) < jobs:
                seed = wanted.pop(0)
                (folder / str(seed)).mkdir(parents=True, exist_ok=True)
                command = [
                    sys.executable,
                    __file__,
                    "one",
                    str(seed),
                    str(folder / str(seed)),
                    str(source),
                ]
                running.append(
                    (seed, subprocess.Popen(command, stdout=subprocess.PIPE))
                )
            seed, process = running.pop(0)
            output, _ = process.communicate()
            print(output.decode(), end="", flush=True)
            if process.returncode:
                failed.append(seed)
    print(json.dumps({"failed_seeds": failed}))
    return 1 if failed else 0


def one(seed: int, folder: Path, source: Path) -> int:
    """Play one seed in this process."""
    report = asyncio.run(play(seed, folder, source))
    print(json.dumps(report))
    return 1 if report["broken"] else 0


if __name__ == "__main__":
    app = cyclopts.App(
        help="Run nodes under random faults.", result_action="return_value"
    )
    app.default(main)
    app.command(one)
    sys.exit(app())
