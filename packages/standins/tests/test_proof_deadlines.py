"""Process tests: each request ends within its deadline."""

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
# A node ends a request by its own timer. One tick of the dispatcher, the way back from
# an issuer and one call in progress to an engine can add to the deadline.
MARGIN_S = TICK_S + FORWARD_MARGIN_S + CALL_TIMEOUT_S
TIMEOUT_S = 1.5
SETTINGS = ExampleSettings(
    failure_domains=1, engines_per_domain=3, prefill_tokens_per_s=10_000.0
)


async def received_counts(stack):
    """Return how many requests to generate each engine has received."""
    return {
        name: (await stack.control(child, "counts"))["received"]
        for name, child in stack.engines.items()
    }


async def measure_duration(awaitable):
    """Return the result of an awaitable and the seconds it took."""
    started_at = time.monotonic()
    return await awaitable, time.monotonic() - started_at


async def start_three_prompts(stack, send):
    """Start prompts until three are in progress at once and return their tasks.

    If the machine stalls for longer than the deadline, the node rightly never sends
    some of the prompts. Then three more are started.
    """
    for attempt in range(20):
        received_before = sum((await received_counts(stack)).values())
        running = [
            asyncio.create_task(send(f"running-{attempt}-{n}")) for n in range(3)
        ]
        while not any(task.done() for task in running):
            if sum((await received_counts(stack)).values()) >= received_before + 3:
                return running
            await asyncio.sleep(0.01)
        await asyncio.gather(*running)
    raise AssertionError("three prompts were never in progress at once")


def signal_engines(stack, signal_number):
    """Send a signal to all engines."""
    for child in stack.engines.values():
        child.send_signal(signal_number)


class TestSilentUpstreams:
    def test_every_request_ends_in_time(self, tmp_path):
        """A request must end in time when its upstream, caller or node stops.

        A caller stops in the middle of a body, the node is paused with requests unread
        and in progress, paths and upstreams go silent, and upstreams are killed.
        """

        async def scenario(stack):
            (url,) = caller_urls(stack)
            results = {}

            def send(seed, timeout_s=TIMEOUT_S, max_tokens=16):
                request = example_prompt(200, seed, max_tokens, timeout_s)
                return measure_duration(send_prompt(stack.session, url, KEY, request))

            async def call(service, body):
                ticket = await get_ticket(stack.session, url, KEY, service)
                return await measure_duration(
                    send_call(stack.session, url, KEY, service, body, ticket, TIMEOUT_S)
                )

            async def send_partial_body():
                host, _, port = url.removeprefix("http://").rpartition(":")
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(
                    f"POST /v1/completions HTTP/1.1\r\nHost: {host}\r\n"
                    f"Authorization: Bearer {KEY}\r\nContent-Length: 100\r\n"
                    f"X-Request-Timeout-Ms: {int(TIMEOUT_S * 1000)}\r\n\r\n{{".encode()
                )
                response_head = await reader.readuntil(b"\r\n\r\n")
                writer.close()
                return response_head

            results["partial body"] = await measure_duration(send_partial_body())

            # The node is paused for longer than the deadline, with prompts in progress
            # on silent engines and with requests that it has not read yet.
            for child in stack.engines.values():
                await stack.control(child, "stream", {"kind": "silence", "streams": 9})
            running = await start_three_prompts(stack, send)
            ticket = await get_ticket(stack.session, url, KEY, PAYMENT)
            node = stack.nodes[NODE]
            node.send_signal(signal.SIGSTOP)
            received_before = await received_counts(stack)
            unread = [asyncio.create_task(send(f"unread-{n}")) for n in range(3)]
            unread.append(
                asyncio.create_task(
                    measure_duration(
                        send_call(
                            stack.session, url, KEY, PAYMENT, b"u", ticket, TIMEOUT_S
                        )
                    )
                )
            )
            await asyncio.sleep(2 * TIMEOUT_S)
            node.send_signal(signal.SIGCONT)
            results["paused"] = await asyncio.gather(*running, *unread)
            results["paused counts"] = [
                received_before,
                await received_counts(stack),
                (await count_executions(stack)).get("u", 0),
            ]
            for child in stack.engines.values():
                await stack.control(child, "clear")
            await asyncio.sleep(1.5 * SETTLE_S)
            results["healthy"] = [await send("healthy", 30.0)]

            # First nothing that is sent to an upstream arrives, then the upstreams are
            # paused, and last they are killed and their paths refuse connections.
            for relay in stack.relays_between([NODE]):
                await relay.apply(Rule(drop="both", scope="open"))
            results["paths silent"] = await asyncio.gather(
                *(send(f"path-{n}") for n in range(4))
            )
            await stack.heal()
            signal_engines(stack, signal.SIGSTOP)
            stack.services["fd1-service-1"].send_signal(signal.SIGSTOP)
            results["silent"] = await asyncio.gather(
                *(send(f"silent-{n}") for n in range(4)),
                call(PAYMENT, b"silent"),
                call(STOCK, b"silent too"),
            )
            for relay in stack.relays_between([NODE]):
                await relay.apply(Rule(refuse=True))
            signal_engines(stack, signal.SIGKILL)
            stack.services["fd1-service-1"].send_signal(signal.SIGKILL)
            results["down"] = await asyncio.gather(
                *(send(f"down-{n}") for n in range(4)), call(PAYMENT, b"down")
            )
            return results, await stack.call_operator_api(NODE, "/v1/dump")

        results, dump = run_stack(tmp_path, scenario, SETTINGS, relayed=True)
        response_head, took_s = results["partial body"]
        assert b" 408 " in response_head
        assert took_s <= TIMEOUT_S + MARGIN_S
        received_before, received_after, payment_executions = results["paused counts"]
        assert received_after == received_before
        assert payment_executions == 0
        assert [result.execution for result, _ in results["paused"]] == (
            ["may_have_run"] * 3 + ["not_run"] * 4
        ), results["paused"]
        assert results["healthy"][0][0].verdict is Verdict.COMPLETE
        for name in ("paths silent", "silent", "down"):
            for result, took_s in results[name]:
                assert took_s <= TIMEOUT_S + MARGIN_S, (name, result)
        for name in ("silent", "down"):
            assert all(result.error for result, _ in results[name]), results[name]
        assert results["down"][-1][0].execution == "not_run"
        assert dump["status"]["prompts_in_flight"] == 0
        assert dump["status"]["calls_in_flight"] == 0
        assert dump["routing"]["in_flight"] == 0
        assert dump["counters"]["pauses"]["pauses"] >= 1


class TestOverload:
    def test_three_times_the_capacity_and_a_retry_storm(self, tmp_path):
        """Overload must be refused early and retries must stay within their budget.

        A late refusal uses up the caller's deadline, and retries without a budget
        multiply the load while all engines fail.
        """
        prompt_tokens, overload_s, storm_size = 4_000, 4.0, 100
        # The three engines together prefill 30,000 tokens/s.
        prompts_per_s = 3 * 30_000 / prompt_tokens
        requests = {"retry_ratio": 0.1, "retry_burst": 5}

        async def scenario(stack):
            (url,) = caller_urls(stack)
            tasks = []
            for number in range(int(prompts_per_s * overload_s)):
                prompt = example_prompt(prompt_tokens, f"o{number}", 4, TIMEOUT_S)
                tasks.append(
                    asyncio.create_task(send_prompt(stack.session, url, KEY, prompt))
                )
                await asyncio.sleep(1 / prompts_per_s)
            offered = await asyncio.gather(*tasks)

            async def send_storm(name):
                before = sum((await received_counts(stack)).values())
                results = []
                for number in range(storm_size):
                    prompt = example_prompt(50, f"{name}{number}", 4, 5.0)
                    results.append(await send_prompt(stack.session, url, KEY, prompt))
                return results, sum((await received_counts(stack)).values()) - before

            for child in stack.engines.values():
                await stack.control(child, "fail_fast", True)
            with_budget = await send_storm("with")
            dump = await stack.call_operator_api(NODE, "/v1/dump")
            change = {"requests": {"retry_ratio": 10.0, "retry_burst": 100_000}}
            (stack.published_folder / "99-z-change.json").write_text(json.dumps(change))
            revision = dump["status"]["settings_revision"]

            async def is_in_effect():
                status = await stack.call_operator_api(NODE, "/v1/status")
                return status["settings_revision"] > revision

            await wait_until(is_in_effect)
            return offered, with_budget, await send_storm("without"), dump

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
        verdicts = Counter(result.verdict for result in offered)
        refused = [result for result in offered if result.verdict is Verdict.REFUSED]
        print("overload:", dict(verdicts))
        assert verdicts[Verdict.COMPLETE] > 0
        assert len(refused) >= len(offered) / 4
        assert {result.execution for result in refused} == {"not_run"}
        assert all(result.retry_after_s >= 1.0 for result in refused)
        assert all(result.total_s <= TIMEOUT_S + MARGIN_S for result in offered)
        refused_early = [
            result for result in refused if result.error == "deadline_unreachable"
        ]
        refusal_times_s = sorted(result.total_s for result in refused_early)
        assert refusal_times_s[len(refusal_times_s) // 2] < TIMEOUT_S / 2
        # Other prompts were sent and failed with an error; none is truncated or wrong.
        other_verdicts = set(verdicts) - {
            Verdict.COMPLETE,
            Verdict.REFUSED,
            Verdict.FAILED,
        }
        assert not other_verdicts

        results, sent = with_budget
        print("storm of", storm_size, "with budget:", sent, "without:", without[1])
        max_retries = requests["retry_ratio"] * storm_size + requests["retry_burst"]
        assert not any(result.verdict is Verdict.COMPLETE for result in results)
        # The overload phase can have saved up retries only up to the burst.
        assert sent <= storm_size + max_retries
        assert dump["counters"]["retries"]["prompt_taken"] <= max_retries
        assert dump["counters"]["retries"]["prompt_refused"] > 0
        # Without a budget the same requests are sent again far more often, so it is the
        # budget that bounds the retries.
        assert without[1] > 1.5 * sent
