"""Prove with real processes that each caller gets the whole answer to its prompt."""

import asyncio
import json
import signal
import socket

from dandelionpond_standins.client import Verdict, send_prompt
from dandelionpond_standins.engine_text import expected_text
from dandelionpond_standins.example_settings import (
    ACCOUNT,
    KEY,
    MODEL,
    OTHER_ACCOUNT,
    OTHER_KEY,
    VERSION,
    ExampleSettings,
)
from dandelionpond_standins.relay import Rule
from dandelionpond_standins.stack_helpers import (
    caller_urls,
    example_prompt,
    run_stack,
    wait_until,
)

NODE = "fd1-node-1"
SHORT_TOKENS = 60
# At 8 ms for each token this takes 2.4 s.
LONG_TOKENS = 300
# About 450 KB of events, more than the buffers between the node and a slow reader.
SLOW_TOKENS = 3_000
FAULTS = (
    "truncate",
    "silence",
    "reset",
    "garbage",
    "wrong_id",
    "duplicate",
    "reorder",
    "repeat",
)
# The cases need more retries than a tenth of their requests, and one prompt can meet
# the faults of all three engines.
REQUESTS = {"retry_burst": 1_000, "max_attempts": 5}
SAMPLE = ExampleSettings(
    failure_domains=1,
    engines_per_domain=3,
    services_per_domain=0,
    sections={"requests": REQUESTS},
)


async def holder(stack, tokens=20):
    """Wait until an engine has generated some tokens and return its name."""
    found = []

    async def is_there():
        for name, child in stack.engines.items():
            async with stack.session.get(f"{child.url}/v1/holdings") as response:
                holdings = (await response.json())["holdings"]
            found.extend(name for one in holdings if one["kind"] == "stream")
        return bool(found)

    await wait_until(is_there)
    # The engine needs 8 ms for each token and a little for the prompt.
    await asyncio.sleep(tokens * 0.01)
    return found[0]


class TestEngineFaults:
    def test_answer_is_whole_or_fails(self, tmp_path):
        """Guard against a truncated, repeated or foreign text that looks complete."""

        async def scenario(stack):
            (url,) = caller_urls(stack)
            engines = list(stack.engines.values())
            found = {}

            def ask(seed, tokens, key=KEY, **options):
                prompt = example_prompt(200, seed, tokens, **options)
                return send_prompt(stack.session, url, key, prompt)

            # Each engine disturbs its next answer, so the first attempt meets a fault.
            for name in FAULTS:
                fault = {"kind": name, "after_tokens": 20, "streams": 1}
                for engine in engines:
                    await stack.control(engine, "stream", fault)
                found[name] = await asyncio.gather(
                    ask(name, SHORT_TOKENS), ask(name, SHORT_TOKENS, OTHER_KEY)
                )
                for engine in engines:
                    await stack.control(engine, "clear")

            # No engine ends an answer: no attempt is left, and the caller is told.
            for engine in engines:
                fault = {"kind": "truncate", "after_tokens": 5, "streams": 100}
                await stack.control(engine, "stream", fault)
            found["no end marker"] = [await ask("never", SHORT_TOKENS)]
            for engine in engines:
                await stack.control(engine, "clear")

            # The connection goes silent while new ones work.
            running = asyncio.create_task(ask("path", LONG_TOKENS))
            name = await holder(stack)
            for relay in stack.relays_between([NODE], [name]):
                await relay.apply(Rule(drop="both", scope="open"))
            found["path"] = [await running]
            await stack.heal()

            # The engine pauses, and continues when another one has taken over.
            running = asyncio.create_task(ask("pause", LONG_TOKENS))
            child = stack.engines[await holder(stack)]
            child.send_signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(2.5)
            finally:
                child.send_signal(signal.SIGCONT)
            found["pause"] = [await running]

            running = asyncio.create_task(ask("kill", LONG_TOKENS))
            stack.engines[await holder(stack)].send_signal(signal.SIGKILL)
            found["kill"] = [await running]
            usage = (await stack.call_operator_api(NODE, "/v1/usage"))["accounts"]
            dump = await stack.call_operator_api(NODE, "/v1/dump")
            return found, usage, dump

        found, usage, dump = run_stack(tmp_path, scenario, SAMPLE, relayed=True)
        (failed,) = found.pop("no end marker")
        assert (failed.verdict, failed.error) == (Verdict.FAILED, "answer_incomplete")
        assert failed.execution == "may_have_run"
        for name, results in found.items():
            assert {one.verdict for one in results} == {Verdict.COMPLETE}, (name, found)
        pairs = [found[name] for name in FAULTS]
        # Equal prompts have equal texts, so each account's tokens tell whose they are.
        assert all(mine.request_id != other.request_id for mine, other in pairs)
        other_tokens = len(FAULTS) * SHORT_TOKENS
        assert usage[OTHER_ACCOUNT]["generated_tokens"] == other_tokens
        assert usage[ACCOUNT]["generated_tokens"] >= other_tokens + 3 * LONG_TOKENS
        # An operator sees what was dropped and how often a prompt was sent again.
        pieces, retries = dump["counters"]["pieces"], dump["counters"]["retries"]
        assert min(pieces[one] for one in ("wrong_request", "late", "held")) > 0, pieces
        assert retries["prompt_taken"] >= 6
        assert dump["counters"]["prompts"]["resumed"] >= 6


class TestSlowReader:
    def test_slow_and_absent_readers(self, tmp_path):
        """Guard against text lost to backpressure, or an engine held by nobody."""

        async def scenario(stack):
            (url,) = caller_urls(stack)
            host, _, port = url.removeprefix("http://").rpartition(":")

            async def slow(seed, pauses, timeout_s, max_tokens):
                prompt = example_prompt(200, seed, max_tokens)
                body = json.dumps(
                    {
                        "model": MODEL,
                        "prompt": prompt.text,
                        "max_tokens": max_tokens,
                        "stream": True,
                    }
                )
                # Small segments keep the node's socket buffer small, which grows with
                # their size, so the node feels the slow reader soon.
                raw = socket.socket()
                raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
                raw.setblocking(False)
                loop = asyncio.get_running_loop()
                await loop.sock_connect(raw, (host, int(port)))
                reader, writer = await asyncio.open_connection(sock=raw, limit=256)
                writer.write(
                    f"POST /v1/completions HTTP/1.1\r\nHost: {host}\r\n"
                    f"Authorization: Bearer {KEY}\r\nConnection: close\r\n"
                    f"X-Request-Timeout-Ms: {int(timeout_s * 1000)}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
                )
                received = b""
                while data := await reader.read(2_048):
                    received += data
                    if len(received) < pauses * 2_048:
                        await asyncio.sleep(0.1)
                writer.close()
                texts = []
                for line in received.splitlines():
                    if line.startswith(b"data: {"):
                        choices = json.loads(line[6:]).get("choices")
                        texts += [one["text"] for one in choices or ()]
                wanted = expected_text(MODEL, VERSION, prompt.text, max_tokens)
                return "".join(texts) == wanted, b"data: [DONE]" in received

            results = await asyncio.gather(
                *(slow(f"s{n}", 60, 300.0, SLOW_TOKENS) for n in range(3))
            )
            gone = asyncio.create_task(
                send_prompt(
                    stack.session, url, KEY, example_prompt(200, "gone", LONG_TOKENS)
                )
            )
            await holder(stack)
            gone.cancel()

            async def is_free():
                for child in stack.engines.values():
                    url = f"{child.url}/v1/holdings"
                    async with stack.session.get(url) as response:
                        if (await response.json())["holdings"]:
                            return False
                return True

            async def is_confirmed():
                # The engine forgets a prompt before the node has read its answer to
                # the cancel, so the node's own record follows a moment later.
                dump = await stack.call_operator_api(NODE, "/v1/dump")
                return dump["memory"]["leases"] == 0

            # Less than the time to live of the lease: the node itself cancels.
            await wait_until(is_free)
            await wait_until(is_confirmed)
            return results, await stack.call_operator_api(NODE, "/v1/dump")

        # The node joins tokens that arrive together, so pieces are few.
        settings = ExampleSettings(
            failure_domains=1,
            engines_per_domain=3,
            services_per_domain=0,
            sections={"requests": {"undelivered_pieces": 16}},
        )
        results, dump = run_stack(tmp_path, scenario, settings, engine_speed=4.0)
        assert results == [(True, True)] * 3
        assert dump["counters"]["prompts"]["reading_paused"] > 0
        assert dump["status"]["prompts_in_flight"] == 0
        assert dump["routing"]["in_flight"] == 0
        assert dump["memory"]["leases"] == 0
