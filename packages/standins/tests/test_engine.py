"""Tests of the engine stand-in as a process, its texts and its orders."""

import asyncio
import json
import subprocess
import sys
from contextlib import contextmanager
from pathlib import Path

import aiohttp

from dandelionpond_standins.engine_orders import Order, OrderState
from dandelionpond_standins.engine_text import block_hashes, expected_text

PACKAGES_DIR = Path(__file__).parents[2]


@contextmanager
def running_engine(*options):
    """Run a stand-in and yield its process and startup message; kill it at the end."""
    paths = [PACKAGES_DIR / "standins/src", PACKAGES_DIR / "dandelionpond/src"]
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
        """Answers, refusals and injected faults must be visible to an HTTP client.

        A fault that the process accepts but does not apply would make fault tests pass
        without testing anything.
        """

        async def run(url, process):
            async with aiohttp.ClientSession(url) as session:

                async def post(path, body=None):
                    data = json.dumps(body)
                    async with session.post(path, data=data) as response:
                        return response.status, await response.read()

                async def get_load():
                    async with session.get("/v1/load") as response:
                        return await response.json()

                def generate_body(request_id, max_tokens=5):
                    return {
                        "request_id": request_id,
                        "owner": "n/1",
                        "model": "m",
                        "prompt": "hello",
                        "max_tokens": max_tokens,
                    }

                status, body = await post("/v1/generate", generate_body("a"))
                encoded_events = body.decode().split("\n\n")
                events = [json.loads(event[6:]) for event in encoded_events if event]
                assert [event["offset"] for event in events[:-1]] == list(range(5))
                text = "".join(event["text"] for event in events[:-1])
                assert text == expected_text("m", "7", "hello", 5)
                assert events[-1] == {"end": True, "tokens": 5, "request_id": "a"}
                unknown_model = {**generate_body("b"), "model": "other"}
                status, body = await post("/v1/generate", unknown_model)
                assert (status, json.loads(body)["execution"]) == (404, "not_run")

                reservation = {"id": "r", "owner": "n/1", "tokens": 1_000}
                await post("/v1/kv/reserve", reservation)
                await post("/control/load_factor", 3)
                await asyncio.sleep(0.05)
                assert (await get_load())["kv_tokens_used"] == 3_000
                await post("/control/fail_fast", True)
                status, body = await post("/v1/generate", generate_body("c"))
                assert status == 500 and b"execution" not in body
                await post("/control/clear")
                await post("/control/leave")
                status, body = await post("/v1/generate", generate_body("d"))
                leaving = {"leaving": True, "execution": "not_run"}
                assert (status, json.loads(body)) == (503, leaving)
                await post("/control/clear")
                await post("/control/die_after_tokens", 3)
                try:
                    await post("/v1/generate", generate_body("e", 500))
                except aiohttp.ClientError:
                    pass
            assert process.wait(10) == 1

        with running_engine("--model", "m=7") as (process, startup_message):
            assert (
                startup_message["role"] == "engine" and startup_message["name"] == "e"
            )
            assert startup_message["pid"] == process.pid
            asyncio.run(run(f"http://{startup_message['address']}", process))


class TestText:
    def test_text_continues_at_any_offset(self):
        """A resumed answer must continue with the text of the uninterrupted one."""
        full_text = expected_text("m", "1", "p", 20)
        first_part = expected_text("m", "1", "p", 8)
        assert first_part + expected_text("m", "1", "p", 20, 8) == full_text
        assert expected_text("m", "2", "p", 20) != full_text

    def test_block_hashes_depend_on_all_text_before(self):
        """An equal block must not be a cache hit if the text before it differs."""
        hashes, other_hashes = (
            block_hashes("m", "a" * 64, 4),
            block_hashes("m", "b" + "a" * 63, 4),
        )
        assert len(hashes) == 4
        assert not set(hashes) & set(other_hashes)
        assert block_hashes("m", "a" * 70, 4) == hashes


class TestOrderState:
    def test_loading_takes_time_and_stale_tokens_are_refused(self):
        """A model must not be ready before `load_s` has passed.

        An order with a fencing token below the highest one seen must be refused.
        """
        state = OrderState({}, load_s=5.0)
        assert state.apply(Order((2, 1, 1), "load_model", "m", "1"), 0.0) == "accepted"
        assert state.ready_version("m", 4.9) is None
        assert state.ready_version("m", 5.0) == "1"
        assert state.apply(Order((1, 9, 9), "unload_model", "m"), 6.0) == "stale"
        assert state.apply(Order((2, 1, 1), "load_model", "m", "1"), 6.0) == "accepted"
        assert state.ready_version("m", 6.0) == "1"

    def test_ignoring_engine_takes_any_token(self):
        """An engine that ignores fencing must accept an order with an old token."""
        state = OrderState({"m": "1"}, enforced=False)
        state.apply(Order((9, 9, 9), "set_role", role="long"), 0.0)
        assert (
            state.apply(Order((1, 1, 1), "set_role", role="short"), 0.0) == "accepted"
        )
        assert state.role == "short"
        assert state.highest_fencing_token == (9, 9, 9)
