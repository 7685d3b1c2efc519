"""Prove with real processes that each request ends within its deadline."""

import asyncio
import json
import signal
import time
from collections import Counter

from dandelionpond.requests.pause_detector import SETTLE_S
from dandelionpond.runtime.calls import FORWARD_MARGIN_S
from dandelionpond.runtime.engines import CALL_TIMEOUT_S, TICK_S
from dandelionpond_standins.client import (
    Verdict,
    get_ticket,
    send_call,
    send_prompt,
)
from dandelionpond_standins.example_settings import KEY, PAYMENT, STOCK, ExampleSettings
from dandelionpond_standins.relay import Rule
from dandelionpond_standins.stack_helpers import (
    caller_urls,
    count_executions,
    example_prompt,
    run_stack,
    wait_until,
)

NODE = "fd1-node-1"
# The node ends a request by a timer of its own. What can come on top is one tick of the
# dispatcher, the way back from an issuer and one call to an engine that is in progress.
MARGIN_S = TICK_S + FORWARD_MARGIN_S + CALL_TIMEOUT_S
TIMEOUT_S = 1.5
SAMPLE = ExampleSettings(
    failure_domains=1, engines_per_domain=3, prefill_tokens_per_s=10_000.0
)


async def received(stack):
    """Return how many requests to generate each engine got."""
    return {
        name: (await stack.control(child, "counts"))["received"]
        for name, child in stack.engines.items()
    }


async def timed(work):
    """Return a result and the seconds it took."""
    start = time.monotonic()
    return await work, time.monotonic() - start


async def three_running(stack, prompt):
    """Return three prompts that engines have and that are not answered.

    On a machine that stalls for longer than their deadline some are never sent, which
    is right, so others are started until three are in progress at once.
    """
    for attempt in range(20):
        before = sum((await received(stack)).values())
        running = [
            asyncio.create_task(prompt(f"running-{attempt}-{n}")) for n in range(3)
        ]
        while not any(task.done() for task in running):
            if sum((await received(stack)).values()) >= before + 3:
                return running
            await asyncio.sleep(0.01)
        await asyncio.gather(*running)
    raise AssertionError("three prompts were never in progress at once")


def signal_engines(stack, number):
    """Send a signal to all engines."""
    for child in stack.engines.values():
        child.send_signal(number)


class TestSilentUpstreams:
    def test_every_request_ends_in_time(self, tmp_path):
        """Guard against a request that hangs with its upstream or its caller."""

        async def scenario(stack):
            (url,) = caller_urls(stack)
            found = {}

            def prompt(seed, timeout_s=TIMEOUT_S, max_tokens=16):
                wanted = example_prompt(200, seed, max_tokens, timeout_s)
                return timed(send_prompt(stack.session, url, KEY, wanted))

            async def call(service, body):
                ticket = await get_ticket(stack.session, url, KEY, service)
                return await timed(
                    send_call(stack.session, url, KEY, service, body, ticket, TIMEOUT_S)
                )

            async def half_a_body():
                host, _, port = url.removeprefix("http://").rpartition(":")
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(
                    f"POST /v1/completions HTTP/1.1\r\nHost: {host}\r\n"
                    f"Authorization: Bearer {KEY}\r\nContent-Length: 100\r\n"
                    f"X-Request-Timeout-Ms: {int(TIMEOUT_S * 1000)}\r\n\r\n{{".encode()
                )
                answer = await reader.readuntil(b"\r\n\r\n")
                writer.close()
                return answer

            found["half a body"] = await timed(half_a_body())

            # The node is stopped for longer than the deadline, with requests that it
            # has not read yet and with some in progress on a silent engine.
            for child in stack.engines.values():
                await stack.control(child, "stream", {"kind": "silence", "streams": 9})
            running = await three_running(stack, prompt)
            ticket = await get_ticket(stack.session, url, KEY, PAYMENT)
            node = stack.nodes[NODE]
            node.send_signal(signal.SIGSTOP)
            before = await received(stack)
            unread = [asyncio.create_task(prompt(f"unread-{n}")) for n in range(3)]
            unread.append(
                asyncio.create_task(
                    timed(
                        send_call(
                            stack.session, url, KEY, PAYMENT, b"u", ticket, TIMEOUT_S
                        )
                    )
                )
            )
            await asyncio.sleep(2 * TIMEOUT_S)
            node.send_signal(signal.SIGCONT)
            found["stopped"] = await asyncio.gather(*running, *unread)
            found["stopped sent"] = [
                before,
                await received(stack),
                (await count_executions(stack)).get("u", 0),
            ]
            for child in stack.engines.values():
                await stack.control(child, "clear")
            await asyncio.sleep(1.5 * SETTLE_S)
            found["healthy"] = [await prompt("healthy", 30.0)]

            # Nothing that is sent to an upstream arrives, then the upstreams stop.
            for relay in stack.relays_between([NODE]):
                await relay.apply(Rule(drop="both", scope="open"))
            found["paths silent"] = await asyncio.gather(
                *(prompt(f"path-{n}") for n in range(4))
            )
            await stack.heal()
            signal_engines(stack, signal.SIGSTOP)
            stack.services["fd1-service-1"].send_signal(signal.SIGSTOP)
            found["silent"] = await asyncio.gather(
                *(prompt(f"silent-{n}") for n in range(4)),
                call(PAYMENT, b"silent"),
                call(STOCK, b"silent too"),
            )
            for relay in stack.relays_between([NODE]):
                await relay.apply(Rule(refuse=True))
            signal_engines(stack, signal.SIGKILL)
            stack.services["fd1-service-1"].send_signal(signal.SIGKILL)
            found["down"] = await asyncio.gather(
                *(prompt(f"down-{n}") for n in range(4)), call(PAYMENT, b"down")
            )
            return found, await stack.call_operator_api(NODE, "/v1/dump")

        found, dump = run_stack(tmp_path, scenario, SAMPLE, relayed=True)
        answer, took_s = found["half a body"]
        assert b" 408 " in answer
        assert took_s <= TIMEOUT_S + MARGIN_S
        before, after, paid = found["stopped sent"]
        assert after == before
        assert paid == 0
        assert [one.execution for one, _ in found["stopped"]] == (
            ["may_have_run"] * 3 + ["not_run"] * 4
        ), found["stopped"]
        assert found["healthy"][0][0].verdict is Verdict.COMPLETE
        for name in ("paths silent", "silent", "down"):
            for one, took_s in found[name]:
                assert took_s <= TIMEOUT_S + MARGIN_S, (name, one)
        for name in ("silent", "down"):
            assert all(one.error for one, _ in found[name]), found[name]
        assert found["down"][-1][0].execution == "not_run"
        assert dump["status"]["prompts_in_flight"] == 0
        assert dump["status"]["calls_in_flight"] == 0
        assert dump["routing"]["in_flight"] == 0
        assert dump["counters"]["pauses"]["pauses"] >= 1


class TestOverload:
    def test_three_times_the_capacity_and_a_retry_storm(self, tmp_path):
        """Guard against late refusals, and against retries that multiply a failure."""
        tokens, overload_s, count = 4_000, 4.0, 100
        # 30,000 tokens/s of prefill together.
        rate = 3 * 30_000 / tokens
        requests = {"retry_ratio": 0.1, "retry_burst": 5}

        async def scenario(stack):
            (url,) = caller_urls(stack)
            tasks = []
            for number in range(int(rate * overload_s)):
                prompt = example_prompt(tokens, f"o{number}", 4, TIMEOUT_S)
                tasks.append(
                    asyncio.create_task(send_prompt(stack.session, url, KEY, prompt))
                )
                await asyncio.sleep(1 / rate)
            offered = await asyncio.gather(*tasks)

            async def storm(name):
                start = sum((await received(stack)).values())
                results = []
                for number in range(count):
                    prompt = example_prompt(50, f"{name}{number}", 4, 5.0)
                    results.append(await send_prompt(stack.session, url, KEY, prompt))
                return results, sum((await received(stack)).values()) - start

            for child in stack.engines.values():
                await stack.control(child, "fail_fast", True)
            with_budget = await storm("with")
            dump = await stack.call_operator_api(NODE, "/v1/dump")
            change = {"requests": {"retry_ratio": 10.0, "retry_burst": 100_000}}
            (stack.published_folder / "99-z-change.json").write_text(json.dumps(change))
            revision = dump["status"]["settings_revision"]

            async def is_in_force():
                status = await stack.call_operator_api(NODE, "/v1/status")
                return status["settings_revision"] > revision

            await wait_until(is_in_force)
            return offered, with_budget, await storm("without"), dump

        offered, with_budget, without, dump = run_stack(
            tmp_path,
            scenario,
            ExampleSettings(
                failure_domains=1,
                engines_per_domain=3,
                services_per_domain=0,
                prefill_tokens_per_s=10_000.0,
                sections={"requests": requests},
            ),
        )
        verdicts = Counter(one.verdict for one in offered)
        refused = [one for one in offered if one.verdict is Verdict.REFUSED]
        print("overload:", dict(verdicts))
        assert verdicts[Verdict.COMPLETE] > 0
        assert len(refused) >= len(offered) / 4
        assert {one.execution for one in refused} == {"not_run"}
        assert all(one.retry_after_s >= 1.0 for one in refused)
        assert all(one.total_s <= TIMEOUT_S + MARGIN_S for one in offered)
        at_once = [one for one in refused if one.error == "deadline_unreachable"]
        took = sorted(one.total_s for one in at_once)
        assert took[len(took) // 2] < TIMEOUT_S / 2
        # Only prompts that were sent can fail otherwise, and they say so.
        others = set(verdicts) - {Verdict.COMPLETE, Verdict.REFUSED, Verdict.FAILED}
        assert not others

        results, sent = with_budget
        print("storm of", count, "with budget:", sent, "without:", without[1])
        bound = requests["retry_ratio"] * count + requests["retry_burst"]
        assert not any(one.verdict is Verdict.COMPLETE for one in results)
        # Requests of the overload phase may have saved up retries to the burst only.
        assert sent <= count + bound
        assert dump["counters"]["retries"]["prompt_taken"] <= bound
        assert dump["counters"]["retries"]["prompt_refused"] > 0
        # The same storm without a budget shows that the bound is the budget's.
        assert without[1] > 1.5 * sent
