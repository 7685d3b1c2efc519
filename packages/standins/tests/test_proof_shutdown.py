"""Test with real processes that a planned stop interrupts no request."""

import asyncio
import itertools
import random
import signal

import pytest

from dandelionpond_standins.client import Verdict, get_ticket, send_call, send_prompt
from dandelionpond_standins.example_settings import KEY, PAYMENT, STOCK, ExampleSettings
from dandelionpond_standins.stack_helpers import (
    count_executions,
    example_prompt,
    run_stack,
    wait_until,
)

# Delay of the simulated load balancer between a probe and its effect.
PROBE_LAG_S = 0.3
# A stream of about 3 s: the engine stand-in takes 8 ms for each token.
LONG_ANSWER_TOKENS = 400


def run_scenario(folder, scenario, balancer_delay_s, nodes_per_domain=1, **shutdown):
    """Run a scenario; `shutdown` holds more settings of the section of that name."""
    sections = {
        "shutdown": {"balancer_delay_s": balancer_delay_s, **shutdown},
        "membership": {"heartbeat_interval_s": 0.3},
    }
    settings = ExampleSettings(sections=sections)
    return run_stack(folder, scenario, settings, nodes_per_domain=nodes_per_domain)


def caller_url(stack, name):
    """Return the callers' URL of a node."""
    return f"http://{stack.nodes[name].startup_info['caller_address']}"


async def is_ready(stack, name):
    """Return whether a node's readiness probe succeeds."""
    url = stack.operator_url(name) + "/readyz"
    try:
        async with stack.session.get(url) as response:
            return response.status == 200
    except OSError:
        return False


async def begin_stop(stack, name, trigger):
    """Start a planned stop by `signal` or by `drain`, through the operators' API."""
    if trigger == "signal":
        stack.nodes[name].send_signal(signal.SIGTERM)
    else:
        await stack.call_operator_api(name, "/v1/drain", "POST")


class TestPlannedStop:
    @pytest.mark.parametrize("trigger", ["signal", "drain"])
    def test_phases(self, tmp_path, trigger):
        """A planned stop must not cut off a stream or refuse requests too early.

        The load balancer still sends requests until it notices that the node is not
        ready, and calls with the node's tickets may arrive through other nodes.
        """

        async def scenario(stack):
            name, other = "fd1-node-1", "fd2-node-1"
            url, session = caller_url(stack, name), stack.session
            unused_ticket = await get_ticket(session, url, KEY, PAYMENT)
            used_ticket = await get_ticket(session, url, KEY, PAYMENT)
            prompt = example_prompt(200, "long", max_tokens=LONG_ANSWER_TOKENS)
            stream = asyncio.create_task(send_prompt(session, url, KEY, prompt))
            await asyncio.sleep(0.5)
            await begin_stop(stack, name, trigger)

            async def is_known_to_peer():
                dump = await stack.call_operator_api(other, "/v1/dump")
                peers = {p["name"]: p["state"] for p in dump["membership"]["peers"]}
                return peers[name] == "leaving"

            async def is_announced():
                status = await stack.call_operator_api(name, "/v1/status")
                return status["phase"] == "announced"

            await wait_until(is_announced)
            assert not await is_ready(stack, name)
            # The load balancer has not noticed yet, so new requests are still served.
            call = await send_call(session, url, KEY, STOCK, b"late")
            assert call.status == 200
            other_url = caller_url(stack, other)
            paid = await send_call(session, other_url, KEY, PAYMENT, b"1", used_ticket)
            assert paid.status == 200
            assert await get_ticket(session, url, KEY, PAYMENT) == ""
            await wait_until(is_known_to_peer)
            # Process supervisors may repeat the signal.
            stack.nodes[name].send_signal(signal.SIGTERM)
            await begin_stop(stack, name, trigger)

            async def is_draining():
                status = await stack.call_operator_api(name, "/v1/status")
                return status["phase"] == "draining"

            await wait_until(is_draining)
            # The issuer still knows its tickets: one was never used, one has run.
            repeated = await send_call(
                session, other_url, KEY, PAYMENT, b"1", used_ticket
            )
            refused = await send_call(
                session, other_url, KEY, PAYMENT, b"2", unused_ticket
            )
            assert not stream.done()
            result = await stream
            exit_code = await stack.nodes[name].process.wait()
            after_exit = await send_call(
                session, other_url, KEY, PAYMENT, b"3", unused_ticket
            )
            return (
                result,
                exit_code,
                paid,
                repeated,
                refused,
                after_exit,
                await count_executions(stack),
            )

        result, exit_code, paid, repeated, refused, after_exit, counts = run_scenario(
            tmp_path, scenario, 1.0
        )
        assert (result.verdict, exit_code) == (Verdict.COMPLETE, 0)
        assert (repeated.status, repeated.body, repeated.repeated) == (
            200,
            paid.body,
            True,
        )
        assert (refused.error, refused.execution) == ("draining", "not_run")
        assert after_exit.execution == "may_have_run"
        assert counts.get("1") == 1
        assert "2" not in counts
        assert "3" not in counts

    def test_pause_within_the_drain(self, tmp_path):
        """A pause of the process during the drain must not interrupt a stream."""

        async def scenario(stack):
            name = "fd1-node-1"
            prompt = example_prompt(200, "long", max_tokens=LONG_ANSWER_TOKENS)
            stream = asyncio.create_task(
                send_prompt(stack.session, caller_url(stack, name), KEY, prompt)
            )
            await asyncio.sleep(0.5)
            await begin_stop(stack, name, "signal")
            await asyncio.sleep(1.0)
            stack.nodes[name].send_signal(signal.SIGSTOP)
            await asyncio.sleep(6.0)
            stack.nodes[name].send_signal(signal.SIGCONT)
            result = await stream
            return result.verdict, await stack.nodes[name].process.wait()

        # The pause of 6 s is longer than the timeout of the drain.
        verdict_and_code = run_scenario(tmp_path, scenario, 0.5, drain_timeout_s=5.0)
        assert verdict_and_code == (Verdict.COMPLETE, 0)

    def test_interrupted_stream_gives_code_3(self, tmp_path):
        """A stop that interrupted a stream must not report success by its exit code."""

        async def scenario(stack):
            name = "fd1-node-1"
            prompt = example_prompt(200, "long", max_tokens=4_000, timeout_s=600.0)
            stream = asyncio.create_task(
                send_prompt(stack.session, caller_url(stack, name), KEY, prompt)
            )
            await asyncio.sleep(0.5)
            await begin_stop(stack, name, "signal")
            result = await stream
            return result.verdict, await stack.nodes[name].process.wait()

        verdict, exit_code = run_scenario(tmp_path, scenario, 0.3, drain_timeout_s=0.5)
        assert verdict in (Verdict.FAILED, Verdict.TRUNCATED)
        assert exit_code == 3


class BalancedTraffic:
    """Client traffic through a load balancer that notices readiness with a lag.

    `finished` counts the requests by kind, `failures` lists those that failed and
    `paid` the bodies of the payments that succeeded.
    """

    def __init__(self, stack):
        self.stack = stack
        self.failures = []
        self.finished = {"prompt": 0, "call": 0, "ticket": 0}
        self.paid = []
        self._ready_nodes = list(stack.nodes)
        self._random = random.Random(5)
        self._numbers = itertools.count()

    async def probe_nodes(self):
        """Probe all nodes repeatedly; results take effect after `PROBE_LAG_S`."""
        loop = asyncio.get_running_loop()
        while True:
            names = list(self.stack.nodes)
            results = await asyncio.gather(*(is_ready(self.stack, n) for n in names))
            ready = [name for name, is_up in zip(names, results, strict=True) if is_up]
            loop.call_later(PROBE_LAG_S, setattr, self, "_ready_nodes", ready)
            await asyncio.sleep(0.05)

    def random_url(self):
        """Return the URL of a random node that the balancer considers ready."""
        return caller_url(self.stack, self._random.choice(self._ready_nodes))

    async def send_prompts(self):
        """Send prompts; about one in five has a longer answer."""
        session = self.stack.session
        while True:
            number = next(self._numbers)
            tokens = 150 if number % 5 == 0 else 8
            prompt = example_prompt(200, f"p{number}", max_tokens=tokens)
            result = await send_prompt(session, self.random_url(), KEY, prompt)
            if result.verdict is not Verdict.COMPLETE:
                self.failures.append((result.verdict, result.error))
            self.finished["prompt"] += 1

    async def send_calls(self):
        """Send idempotent calls."""
        while True:
            body = b"call-%d" % next(self._numbers)
            result = await send_call(
                self.stack.session, self.random_url(), KEY, STOCK, body
            )
            if result.status != 200:
                self.failures.append((result.status, result.error))
            self.finished["call"] += 1
            await asyncio.sleep(0.02)

    async def send_payments(self):
        """Send calls that must run once; ticket and call go through random nodes.

        A node that is leaving answers `draining` (`not_run`) instead of a ticket, and
        the caller asks again as `Retry-After` says.
        """
        session = self.stack.session
        while True:
            body = f"pay-{next(self._numbers)}"
            for _ in range(20):
                ticket = await get_ticket(session, self.random_url(), KEY, PAYMENT)
                if ticket:
                    break
                await asyncio.sleep(0.1)
            result = await send_call(
                session, self.random_url(), KEY, PAYMENT, body.encode(), ticket
            )
            if result.status == 200:
                self.paid.append(body)
            else:
                self.failures.append((result.status, result.error))
            self.finished["ticket"] += 1
            await asyncio.sleep(0.02)


class TestRollingRestart:
    def test_no_request_fails(self, tmp_path):
        """No request may fail while all nodes are restarted one after the other."""

        async def scenario(stack):
            traffic = BalancedTraffic(stack)
            tasks = [
                asyncio.create_task(start())
                for start in (
                    traffic.probe_nodes,
                    traffic.send_prompts,
                    traffic.send_prompts,
                    traffic.send_calls,
                    traffic.send_payments,
                )
            ]
            await asyncio.sleep(1.0)
            exit_codes = []
            for number, name in enumerate(list(stack.nodes)):
                await begin_stop(stack, name, "drain" if number % 2 else "signal")
                exit_codes.append(await stack.nodes[name].process.wait())
                await stack.start_node(name)
                await asyncio.sleep(0.5)
            await asyncio.sleep(0.5)
            for task in tasks:
                task.cancel()
            outcomes = await asyncio.gather(*tasks, return_exceptions=True)
            errors = [e for e in outcomes if not isinstance(e, asyncio.CancelledError)]
            return traffic, exit_codes, errors, await count_executions(stack)

        traffic, exit_codes, errors, counts = run_scenario(tmp_path, scenario, 1.5, 2)
        assert errors == []
        assert exit_codes == [0] * 6
        assert traffic.failures == []
        assert min(traffic.finished.values()) > 50, traffic.finished
        assert {body: counts.get(body) for body in traffic.paid} == dict.fromkeys(
            traffic.paid, 1
        )
