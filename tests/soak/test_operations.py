"""Test that the commands in docs/OPERATIONS.md explain actual failed requests."""

import asyncio
import re
import shutil
import signal
import subprocess
import sys
from random import Random

import aiohttp
import pytest
from soak import ROOT, SOURCE, all_nodes_serve, wait_until
from soak_clients import Clients
from soak_cluster import Cluster

# The text that the command of each section must print.
EXPECTED_CAUSES = {
    "Refused with 503": "it ran nowhere and was refused",
    "Cut off midway": "the answer was cut off midway",
    "A payment whose outcome is unknown": "the outcome is unknown, it may have run at",
}
# Requests that are sent at most until one fails as expected.
MAX_REQUESTS = 40


def read_commands():
    """Return the first command of each tested section of the page, by title."""
    text = (ROOT / "docs/OPERATIONS.md").read_text()
    sections = re.findall(r"^### (.+?)\n\n    (.+?)\n", text, re.MULTILINE)
    return {title: command for title, command in sections if title in EXPECTED_CAUSES}


async def send_until(clients, cluster, kind, expected):
    """Send requests until one has the expected status; return its attempt id.

    The status "cut" stands for a response that ended before it was complete.
    """
    node = cluster.nodes[0]
    async with aiohttp.ClientSession(auto_decompress=False) as session:
        for _ in range(MAX_REQUESTS):
            attempt_id = clients.next_attempt_id()
            try:
                async with clients.request(
                    session, node, f"/{kind}/x", attempt_id
                ) as response:
                    status = response.status
                    await response.read()
            except aiohttp.ClientPayloadError:
                status = "cut"
            if status == expected:
                return attempt_id
    raise AssertionError(f"no {kind} request ended with {expected}")


async def cause_failures(folder):
    """Run nodes whose upstreams fail; return one failed attempt id per section."""
    attempt_ids = {}
    async with Cluster(folder, 251, SOURCE) as cluster:
        clients = Clients(cluster, Random(1), "ops-")
        await wait_until(lambda: all_nodes_serve(clients, cluster))
        engines = [
            upstream for upstream in cluster.upstreams if upstream.service == "llm"
        ]
        for upstream in cluster.upstreams:
            upstream.fault = "cut" if upstream in engines else "reset"
        attempt_ids["Cut off midway"] = await send_until(
            clients, cluster, "chat", "cut"
        )
        attempt_ids["A payment whose outcome is unknown"] = await send_until(
            clients, cluster, "pay", 502
        )
        for engine in engines:
            cluster.store.remove(f"servers/{engine.instance}")
        # The node notices the removed entries at its next read of the store; until
        # then requests fail in other ways.
        attempt_ids["Refused with 503"] = await send_until(
            clients, cluster, "chat", 503
        )
        for node in cluster.nodes:
            node.send_signal(signal.SIGTERM)
        await asyncio.gather(*(node.wait_for_exit() for node in cluster.nodes))
    return attempt_ids


@pytest.fixture(scope="module")
def failed_requests(tmp_path_factory):
    """Return the folder with the logs and a failed attempt id per section."""
    folder = tmp_path_factory.mktemp("operations")
    return folder, asyncio.run(cause_failures(folder))


class TestFailedRequests:
    @pytest.mark.parametrize("title", EXPECTED_CAUSES)
    def test_command_names_the_cause(self, failed_requests, title):
        """The command on the page must find the failed request and print its cause."""
        folder, attempt_ids = failed_requests
        command = read_commands()[title].replace("ID", attempt_ids[title])
        program = shutil.which("dandelionpondctl", path=str(ROOT / ".venv/bin"))
        program = program or f"{sys.executable} -m dandelionpond_ctl.main"
        result = subprocess.run(
            command.replace("dandelionpondctl", program),
            shell=True,
            cwd=folder,
            capture_output=True,
            text=True,
            check=False,
        )
        assert result.returncode == 0, result.stderr
        assert EXPECTED_CAUSES[title] in result.stdout
        assert attempt_ids[title] in result.stdout or "--json" not in command
