"""Test the engine stand-in as a process."""

import asyncio
import json
import subprocess
import sys
from contextlib import contextmanager
from pathlib import Path

import aiohttp

from dandelionpond_standins.engine_orders import Order, OrderState
from dandelionpond_standins.engine_text import block_hashes, expected_text

SOURCES = Path(__file__).parents[2]


@contextmanager
def engine(*options):
    """Run a stand-in and end exactly this process afterwards."""
    paths = [SOURCES / "standins/src", SOURCES / "dandelionpond/src"]
    command = [sys.executable, "-m", "dandelionpond_standins.engine", "--name", "e"]
    process = subprocess.Popen(
        [*command, "--port", "0", "--speed", "100", *options],
        stdout=subprocess.PIPE,
        env={"PYTHONPATH": ":".join(str(path) for path in paths)},
    )
    try:
        yield process, json.loads(process.stdout.readline())
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


class TestProcess:
    def test_endpoints_and_faults(self):
        """Guard against a fault that does not show on the wire."""

        async def run(url, process):
            async with aiohttp.ClientSession(url) as session:

                async def post(path, body=None):
                    data = json.dumps(body)
                    async with session.post(path, data=data) as response:
                        return response.status, await response.read()

                async def load():
                    async with session.get("/v1/load") as response:
                        return await response.json()

                def ask(name, count=5):
                    return {
                        "request_id": name,
                        "owner": "n/1",
                        "model": "m",
                        "prompt": "hello",
                        "max_tokens": count,
                    }

                status, body = await post("/v1/generate", ask("a"))
                lines = body.decode().split("\n\n")
                events = [json.loads(line[6:]) for line in lines if line]
                assert [event["offset"] for event in events[:-1]] == list(range(5))
                text = "".join(event["text"] for event in events[:-1])
                assert text == expected_text("m", "7", "hello", 5)
                assert events[-1] == {"end": True, "tokens": 5, "request_id": "a"}
                unknown = {**ask("b"), "model": "other"}
                status, body = await post("/v1/generate", unknown)
                assert (status, json.loads(body)["execution"]) == (404, "not_run")

                reservation = {"id": "r", "owner": "n/1", "tokens": 1_000}
                await post("/v1/kv/reserve", reservation)
                await post("/control/load_factor", 3)
                await asyncio.sleep(0.05)
                assert (await load())["kv_tokens_used"] == 3_000
                await post("/control/fail_fast", True)
                status, body = await post("/v1/generate", ask("c"))
                assert status == 500 and b"execution" not in body
                await post("/control/clear")
                await post("/control/leave")
                status, body = await post("/v1/generate", ask("d"))
                leaving = {"leaving": True, "execution": "not_run"}
                assert (status, json.loads(body)) == (503, leaving)
                await post("/control/clear")
                await post("/control/die_after_tokens", 3)
                try:
                    await post("/v1/generate", ask("e", 500))
                except aiohttp.ClientError:
                    pass
            assert process.wait(10) == 1

        with engine("--model", "m=7") as (process, first):
            assert first["role"] == "engine" and first["name"] == "e"
            assert first["pid"] == process.pid
            asyncio.run(run(f"http://{first['address']}", process))


class TestText:
    def test_text_continues_at_any_offset(self):
        """Guard against a resume that gives another text."""
        whole = expected_text("m", "1", "p", 20)
        head = expected_text("m", "1", "p", 8)
        assert head + expected_text("m", "1", "p", 20, 8) == whole
        assert expected_text("m", "2", "p", 20) != whole

    def test_block_hashes_depend_on_all_text_before(self):
        """Guard against a cache hit for a block after a different beginning."""
        one, two = block_hashes("m", "a" * 64, 4), block_hashes("m", "b" + "a" * 63, 4)
        assert len(one) == 4
        assert not set(one) & set(two)
        assert block_hashes("m", "a" * 70, 4) == one


class TestOrderState:
    def test_loading_takes_time_and_stale_tokens_are_refused(self):
        """Guard against an engine that is ready at once or takes old orders."""
        state = OrderState({}, load_s=5.0)
        assert state.apply(Order((2, 1, 1), "load_model", "m", "1"), 0.0) == "accepted"
        assert state.ready_version("m", 4.9) is None
        assert state.ready_version("m", 5.0) == "1"
        assert state.apply(Order((1, 9, 9), "unload_model", "m"), 6.0) == "stale"
        assert state.apply(Order((2, 1, 1), "load_model", "m", "1"), 6.0) == "accepted"
        assert state.ready_version("m", 6.0) == "1"

    def test_ignoring_engine_takes_any_token(self):
        """Guard against a stand-in that enforces although it is told not to."""
        state = OrderState({"m": "1"}, enforced=False)
        state.apply(Order((9, 9, 9), "set_role", role="long"), 0.0)
        assert (
            state.apply(Order((1, 1, 1), "set_role", role="short"), 0.0) == "accepted"
        )
        assert state.role == "short"
        assert state.highest_fencing_token == (9, 9, 9)
