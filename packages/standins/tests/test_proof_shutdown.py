"""Prove with real processes that a planned stop interrupts no request."""

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

LAG_S = 0.3
# A stream of about 3 s: the engine stand-in takes 8 ms for each token.
LONG = 400


def prove(folder, scenario, delay_s, nodes_per_domain=1, **shutdown):
    """Run a scenario with a time for the load balancer of `delay_s` seconds."""
    sections = {
        "shutdown": {"balancer_delay_s": delay_s, **shutdown},
        "membership": {"heartbeat_interval_s": 0.3},
    }
    sample = ExampleSettings(sections=sections)
    return run_stack(folder, scenario, sample, nodes_per_domain=nodes_per_domain)


def url_of(stack, name):
    """Return the callers' URL of a node."""
    return f"http://{stack.nodes[name].startup_info['caller_address']}"


async def is_ready(stack, name):
    """Ask a node as a load balancer does."""
    url = stack.operator_url(name) + "/readyz"
    try:
        async with stack.session.get(url) as response:
            return response.status == 200
    except OSError:
        return False


async def begin_stop(stack, name, how):
    """Start a planned stop by a signal or through the operators' API."""
    if how == "signal":
        stack.nodes[name].send_signal(signal.SIGTERM)
    else:
        await stack.call_operator_api(name, "/v1/drain", "POST")


class TestPlannedStop:
    @pytest.mark.parametrize("how", ["signal", "drain"])
    def test_phases(self, tmp_path, how):
        """Guard against a stop that cuts off a stream or closes the door too early."""

        async def scenario(stack):
            name, other = "fd1-node-1", "fd2-node-1"
            url, session = url_of(stack, name), stack.session
            unused = await get_ticket(session, url, KEY, PAYMENT)
            used = await get_ticket(session, url, KEY, PAYMENT)
            prompt = example_prompt(200, "long", max_tokens=LONG)
            stream = asyncio.create_task(send_prompt(session, url, KEY, prompt))
            await asyncio.sleep(0.5)
            await begin_stop(stack, name, how)

            async def told():
                dump = await stack.call_operator_api(other, "/v1/dump")
                peers = {p["name"]: p["state"] for p in dump["membership"]["peers"]}
                return peers[name] == "leaving"

            async def announced():
                status = await stack.call_operator_api(name, "/v1/status")
                return status["phase"] == "announced"

            await wait_until(announced)
            assert not await is_ready(stack, name)
            # The balancer has not noticed yet: what it sends is served.
            call = await send_call(session, url, KEY, STOCK, b"late")
            assert call.status == 200
            through = url_of(stack, other)
            paid = await send_call(session, through, KEY, PAYMENT, b"1", used)
            assert paid.status == 200
            assert await get_ticket(session, url, KEY, PAYMENT) == ""
            await wait_until(told)
            # Supervisors repeat the signal.
            stack.nodes[name].send_signal(signal.SIGTERM)
            await begin_stop(stack, name, how)

            async def draining():
                status = await stack.call_operator_api(name, "/v1/status")
                return status["phase"] == "draining"

            await wait_until(draining)
            # The issuer still knows its tickets: one was never used, one has run.
            again = await send_call(session, through, KEY, PAYMENT, b"1", used)
            never = await send_call(session, through, KEY, PAYMENT, b"2", unused)
            assert not stream.done()
            result = await stream
            code = await stack.nodes[name].process.wait()
            gone = await send_call(session, through, KEY, PAYMENT, b"3", unused)
            return result, code, paid, again, never, gone, await count_executions(stack)

        result, code, paid, again, never, gone, counts = prove(tmp_path, scenario, 1.0)
        assert (result.verdict, code) == (Verdict.COMPLETE, 0)
        assert (again.status, again.body, again.repeated) == (200, paid.body, True)
        assert (never.error, never.execution) == ("draining", "not_run")
        assert gone.execution == "may_have_run"
        assert counts.get("1") == 1
        assert "2" not in counts
        assert "3" not in counts

    def test_pause_within_the_drain(self, tmp_path):
        """Guard against a stop that counts the time of a pause against streams."""

        async def scenario(stack):
            name = "fd1-node-1"
            prompt = example_prompt(200, "long", max_tokens=LONG)
            stream = asyncio.create_task(
                send_prompt(stack.session, url_of(stack, name), KEY, prompt)
            )
            await asyncio.sleep(0.5)
            await begin_stop(stack, name, "signal")
            await asyncio.sleep(1.0)
            stack.nodes[name].send_signal(signal.SIGSTOP)
            await asyncio.sleep(6.0)
            stack.nodes[name].send_signal(signal.SIGCONT)
            result = await stream
            return result.verdict, await stack.nodes[name].process.wait()

        # The pause is longer than the time for the drain.
        found = prove(tmp_path, scenario, 0.5, drain_timeout_s=5.0)
        assert found == (Verdict.COMPLETE, 0)

    def test_interrupted_stream_gives_code_3(self, tmp_path):
        """Guard against a stop that reports success after cutting off a stream."""

        async def scenario(stack):
            name = "fd1-node-1"
            prompt = example_prompt(200, "long", max_tokens=4_000, timeout_s=600.0)
            stream = asyncio.create_task(
                send_prompt(stack.session, url_of(stack, name), KEY, prompt)
            )
            await asyncio.sleep(0.5)
            await begin_stop(stack, name, "signal")
            result = await stream
            return result.verdict, await stack.nodes[name].process.wait()

        verdict, code = prove(tmp_path, scenario, 0.3, drain_timeout_s=0.5)
        assert verdict in (Verdict.FAILED, Verdict.TRUNCATED)
        assert code == 3


class Balancer:
    """Follow readiness with a lag and send requests as callers do."""

    def __init__(self, stack):
        self.stack = stack
        self.failures = []
        self.done = {"prompt": 0, "call": 0, "ticket": 0}
        self.paid = []
        self._view = list(stack.nodes)
        self._random = random.Random(5)
        self._numbers = itertools.count()

    async def follow(self):
        """Take each answer of the probes into use after `LAG_S` seconds."""
        loop = asyncio.get_running_loop()
        while True:
            names = list(self.stack.nodes)
            found = await asyncio.gather(*(is_ready(self.stack, n) for n in names))
            ready = [name for name, is_up in zip(names, found, strict=True) if is_up]
            loop.call_later(LAG_S, setattr, self, "_view", ready)
            await asyncio.sleep(0.05)

    def pick(self):
        """Return the URL of a node that the balancer takes for ready."""
        return url_of(self.stack, self._random.choice(self._view))

    async def prompts(self):
        """Send prompts, some of which last."""
        session = self.stack.session
        while True:
            number = next(self._numbers)
            tokens = 150 if number % 5 == 0 else 8
            prompt = example_prompt(200, f"p{number}", max_tokens=tokens)
            result = await send_prompt(session, self.pick(), KEY, prompt)
            if result.verdict is not Verdict.COMPLETE:
                self.failures.append((result.verdict, result.error))
            self.done["prompt"] += 1

    async def calls(self):
        """Send idempotent calls."""
        while True:
            body = b"call-%d" % next(self._numbers)
            found = await send_call(self.stack.session, self.pick(), KEY, STOCK, body)
            if found.status != 200:
                self.failures.append((found.status, found.error))
            self.done["call"] += 1
            await asyncio.sleep(0.02)

    async def payments(self):
        """Send calls that must run once, with a ticket from any node through another.

        A node that is leaving answers `draining` (`not_run`) in place of a ticket, and
        the caller asks again as `Retry-After` says.
        """
        session = self.stack.session
        while True:
            body = f"pay-{next(self._numbers)}"
            for _ in range(20):
                ticket = await get_ticket(session, self.pick(), KEY, PAYMENT)
                if ticket:
                    break
                await asyncio.sleep(0.1)
            found = await send_call(
                session, self.pick(), KEY, PAYMENT, body.encode(), ticket
            )
            if found.status == 200:
                self.paid.append(body)
            else:
                self.failures.append((found.status, found.error))
            self.done["ticket"] += 1
            await asyncio.sleep(0.02)


class TestRollingRestart:
    def test_no_request_fails(self, tmp_path):
        """Guard against requests lost to the restart of every node."""

        async def scenario(stack):
            balancer = Balancer(stack)
            tasks = [
                asyncio.create_task(one())
                for one in (
                    balancer.follow,
                    balancer.prompts,
                    balancer.prompts,
                    balancer.calls,
                    balancer.payments,
                )
            ]
            await asyncio.sleep(1.0)
            codes = []
            for number, name in enumerate(list(stack.nodes)):
                await begin_stop(stack, name, "drain" if number % 2 else "signal")
                codes.append(await stack.nodes[name].process.wait())
                await stack.start_node(name)
                await asyncio.sleep(0.5)
            await asyncio.sleep(0.5)
            for task in tasks:
                task.cancel()
            ended = await asyncio.gather(*tasks, return_exceptions=True)
            errors = [e for e in ended if not isinstance(e, asyncio.CancelledError)]
            return balancer, codes, errors, await count_executions(stack)

        balancer, codes, errors, counts = prove(tmp_path, scenario, 1.5, 2)
        assert errors == []
        assert codes == [0] * 6
        assert balancer.failures == []
        assert min(balancer.done.values()) > 50, balancer.done
        assert {body: counts.get(body) for body in balancer.paid} == dict.fromkeys(
            balancer.paid, 1
        )
