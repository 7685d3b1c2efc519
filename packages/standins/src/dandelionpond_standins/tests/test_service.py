"""Test the plain-service stand-in and the relay as processes."""

import json
import os
import subprocess
import sys
import urllib.error
import urllib.request
from contextlib import contextmanager

from dandelionpond_standins.service import ServiceStandin


@contextmanager
def run_standin(module, *arguments):
    path = os.pathsep.join(entry for entry in sys.path if entry)
    child = subprocess.Popen(
        [sys.executable, "-m", f"dandelionpond_standins.{module}", *arguments],
        stdout=subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": path},
    )
    try:
        yield json.loads(child.stdout.readline())
    finally:
        child.kill()
        child.wait()
        child.stdout.close()


def post(address, path, body, **headers):
    headers = {name.replace("_", "-"): value for name, value in headers.items()}
    request = urllib.request.Request(f"http://{address}{path}", body, headers)
    with urllib.request.urlopen(request, timeout=30) as response:
        return response.read()


class TestProcesses:
    def test_call_through_relay_is_counted(self):
        """A stack relies on the JSON line with which each process reports its address.

        Both calls have the same key, so the service executes only the first one.
        """
        with (
            run_standin("service", "--name", "pay", "--deduplicate") as service,
            run_standin("relay", "--target", service["address"]) as relay,
        ):
            assert service["role"] == "service" and service["name"] == "pay"
            for number in range(2):
                post(
                    relay["address"],
                    "/call",
                    b"x",
                    X_Request_Id=f"r{number}",
                    Idempotency_Key="k",
                )
            rule = json.dumps({"refuse": True}).encode()
            post(relay["control"], "/control/rule", rule)
            try:
                post(relay["address"], "/call", b"y")
                refused = False
            except urllib.error.URLError:
                refused = True
            assert refused
            url = f"http://{service['address']}/control/executions"
            with urllib.request.urlopen(url, timeout=30) as response:
                counts = json.load(response)
            assert counts["by_key"] == {"k": 1} and counts["by_body"] == {"x": 1}


class TestServiceStandin:
    def test_repeats_run_again_without_deduplication(self):
        """A second execution of a call must be counted, because tests look for it."""
        standin = ServiceStandin("s")
        standin.execute("r", "k", b"x")
        standin.execute("r", "k", b"x")
        assert standin.count_executions()["by_key"] == {"k": 2}
