"""Test that the commands of docs/OPERATIONS.md explain requests that really failed."""

import asyncio
import re
import shutil
import signal
import subprocess
import sys
from random import Random

import aiohttp
import pytest
from soak import ROOT, SOURCE, until, works
from soak_clients import Clients
from soak_world import World

# The cause that each section's command must name.
CAUSES = {
    "Refused with 503": "it ran nowhere and was refused",
    "Cut off midway": "the answer was cut off midway",
    "A payment whose outcome is unknown": "the outcome is unknown, it may have run at",
}
ATTEMPTS = 40


def commands():
    """Return the command of each section of the page."""
    text = (ROOT / "docs/OPERATIONS.md").read_text()
    found = re.findall(r"^### (.+?)\n\n    (.+?)\n", text, re.MULTILINE)
    return {title: command for title, command in found if title in CAUSES}


async def fail(clients, world, kind, wanted):
    """Send requests until one ends as wanted; return its identifier."""
    node = world.nodes[0]
    async with aiohttp.ClientSession(auto_decompress=False) as session:
        for _ in range(ATTEMPTS):
            attempt = clients.next_attempt()
            try:
                async with clients.request(
                    session, node, f"/{kind}/x", attempt
                ) as answer:
                    status = answer.status
                    await answer.read()
            except aiohttp.ClientPayloadError:
                status = "cut"
            if status == wanted:
                return attempt
    raise AssertionError(f"no {kind} ended with {wanted}")


async def failing_run(folder):
    """Run nodes whose upstreams fail; return the identifiers by section."""
    found = {}
    async with World(folder, 251, SOURCE) as world:
        clients = Clients(world, Random(1), "ops-")
        await until(lambda: works(clients, world))
        engines = [one for one in world.upstreams if one.service == "llm"]
        for one in world.upstreams:
            one.fault = "cut" if one in engines else "reset"
        found["Cut off midway"] = await fail(clients, world, "chat", "cut")
        found["A payment whose outcome is unknown"] = await fail(
            clients, world, "pay", 502
        )
        for one in engines:
            world.store.remove(f"servers/{one.instance}")
        # The entries that vanished are known to the node after its next read.
        found["Refused with 503"] = await fail(clients, world, "chat", 503)
        for node in world.nodes:
            node.send(signal.SIGTERM)
        await asyncio.gather(*(node.ended() for node in world.nodes))
    return found


@pytest.fixture(scope="module")
def run(tmp_path_factory):
    folder = tmp_path_factory.mktemp("operations")
    return folder, asyncio.run(failing_run(folder))


class TestFailedRequests:
    @pytest.mark.parametrize("title", CAUSES)
    def test_command_names_the_cause(self, run, title):
        """Guard against a page whose commands do not lead to the cause."""
        folder, found = run
        command = commands()[title].replace("ID", found[title])
        program = shutil.which("dandelionpondctl", path=str(ROOT / ".venv/bin"))
        program = program or f"{sys.executable} -m dandelionpond_ctl.main"
        done = subprocess.run(
            command.replace("dandelionpondctl", program),
            shell=True,
            cwd=folder,
            capture_output=True,
            text=True,
            check=False,
        )
        assert done.returncode == 0, done.stderr
        assert CAUSES[title] in done.stdout
        assert found[title] in done.stdout or "--json" not in command
