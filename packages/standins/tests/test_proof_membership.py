"""Prove with real processes when upstreams get no new work and when they still do."""

import asyncio
import itertools
import signal
from contextlib import asynccontextmanager

from dandelionpond_standins.client import Verdict, send_call, send_prompt
from dandelionpond_standins.example_settings import ACCOUNT, KEY, STOCK, ExampleSettings
from dandelionpond_standins.relay import Rule
from dandelionpond_standins.stack_helpers import example_prompt, run_stack, wait_until

NO_WORK_S = 3.0
CUT = Rule(drop="both")
LIMIT_TOKENS_PER_S = 3_000_000
SECTIONS = {
    "distribution": {"watch_wait_s": 2.0, "platform_timeout_s": 2.0},
    "membership": {
        "heartbeat_interval_s": 0.3,
        "suspect_after_s": 1.5,
        "gone_after_s": 4.0,
        "suspicion_ttl_s": 5.0,
    },
    "services": {STOCK: {"idempotent": True, "timeout_s": 1.0}},
}


def prove(folder, scenario, sections=None, **counts):
    """Run a scenario with two nodes in each of three failure domains."""

    async def run(stack):
        return await scenario(Work(stack))

    sample = ExampleSettings(sections=SECTIONS | (sections or {}), **counts)
    options = {"nodes_per_domain": 2, "relayed": True}
    return run_stack(folder, run, sample, **options)


class Work:
    """Send prompts and calls through every node and count what arrives upstream."""

    def __init__(self, stack):
        self.stack = stack
        self.failures = []
        self.sent = {}
        self._numbers = itertools.count()

    async def once(self, node):
        """Send one prompt and one idempotent call through a node."""
        session, number = self.stack.session, next(self._numbers)
        url = f"http://{self.stack.nodes[node].startup_info['caller_address']}"
        prompt = example_prompt(200, f"n{number}", max_tokens=2, timeout_s=20.0)
        result = await send_prompt(session, url, KEY, prompt)
        if result.verdict is not Verdict.COMPLETE:
            self.failures.append((node, result.verdict, result.error))
        call = await send_call(session, url, KEY, STOCK, b"%d" % number, None, 20.0)
        if call.status != 200:
            self.failures.append((node, call.status, call.error))
        self.sent[node] = self.sent.get(node, 0) + 1

    @asynccontextmanager
    async def steady(self, nodes=None):
        """Send through nodes all the time."""

        async def repeat(node):
            while True:
                await self.once(node)
                await asyncio.sleep(0.03)

        tasks = [asyncio.create_task(repeat(n)) for n in nodes or self.stack.nodes]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            found = await asyncio.gather(*tasks, return_exceptions=True)
            errors = [e for e in found if not isinstance(e, asyncio.CancelledError)]
            assert errors == []

    async def received(self, *names):
        """Return how many prompts and calls arrived at upstreams."""
        total = 0
        for name in names:
            if name in self.stack.engines:
                child = self.stack.engines[name]
                total += (await self.stack.control(child, "counts"))["received"]
            else:
                url = f"{self.stack.services[name].url}/control/executions"
                async with self.stack.session.get(url) as response:
                    total += (await response.json())["received"]
        return total

    async def states(self, upstream, nodes=None):
        """Return the states that nodes see an upstream in."""
        dumps = [
            await self.stack.call_operator_api(n, "/v1/dump")
            for n in nodes or self.nodes
        ]
        return [dump["membership"]["upstreams"][upstream] for dump in dumps]

    @property
    def nodes(self):
        """Return the names of all nodes."""
        return tuple(self.stack.nodes)

    async def gets_no_work(self, *names):
        """Assert that nothing arrives at upstreams after the time that G6 gives."""
        await asyncio.sleep(NO_WORK_S)
        before, sent = await self.received(*names), sum(self.sent.values())
        await asyncio.sleep(1.5)
        assert await self.received(*names) == before
        assert sum(self.sent.values()) > sent + 10

    async def platform(self, **state):
        """Change how the platform answers."""
        await self.stack.control(self.stack.platform, "state", state)


class TestLeaving:
    def test_every_source_reaches_every_node(self, tmp_path):
        """Guard against new work on an upstream that is about to stop."""

        async def scenario(work):
            stack = work.stack
            async with work.steady():
                await asyncio.sleep(1.0)
                assert await work.received("fd1-engine-1") > 0
                # The list knows first: the engine still answers `leaving: false`. Half
                # of the nodes cannot read the list and learn of it from peers.
                peers_only = ["fd1-node-2", "fd2-node-1", "fd2-node-2"]
                for relay in stack.relays_between(peers_only, ["platform"]):
                    await relay.apply(CUT)
                await stack.set_vm("fd1-engine-1", "leaving")
                await stack.set_vm("fd1-service-1", "leaving")
                await work.gets_no_work("fd1-engine-1", "fd1-service-1")

                await work.platform(vm_lag_s=60.0)
                await stack.control(stack.engines["fd2-engine-1"], "leave", True)
                leaving = {"fault": "leaving", "calls": 1_000_000}
                await stack.control(stack.services["fd2-service-1"], "faults", leaving)
                await work.gets_no_work("fd2-engine-1", "fd2-service-1")

                await work.platform(mode="down")
                await stack.control(stack.engines["fd3-engine-1"], "leave", True)
                await stack.control(stack.services["fd3-service-1"], "faults", leaving)
                gone = [
                    f"fd{n}-{k}-1" for n in (1, 2, 3) for k in ("engine", "service")
                ]
                await work.gets_no_work(*gone)
            for name in gone:
                assert set(await work.states(name)) == {"leaving"}
            assert work.failures == []

        prove(tmp_path, scenario, engines_per_domain=2, services_per_domain=2)

    def test_across_a_partition(self, tmp_path):
        """Guard against a side that goes on using what the other saw leave."""

        async def scenario(work):
            stack = work.stack
            inside = ("fd3-node-1", "fd3-node-2")
            outside = [name for name in work.nodes if name not in inside]
            await stack.partition({"fd3"}, CUT)
            # Load reports of engines on the other side become stale after 5 s.
            await asyncio.sleep(7.0)
            await stack.set_vm("fd1-engine-1", "leaving")
            await stack.control(stack.engines["fd3-engine-1"], "leave", True)
            leaving = {"fault": "leaving", "calls": 1_000_000}
            await stack.control(stack.services["fd3-service-1"], "faults", leaving)
            before = await work.received("fd3-engine-2", "fd3-service-2")
            async with work.steady():
                await work.gets_no_work("fd1-engine-1", "fd3-engine-1", "fd3-service-1")
                dumps = [
                    await stack.call_operator_api(name, "/v1/dump") for name in inside
                ]
                assert all(dump["status"]["ready"] for dump in dumps)
                shares = [dump["limits"][ACCOUNT]["share"] for dump in dumps]
                assert all(share["tokens_per_s"] > 0 for share in shares)
                total = sum(share["tokens_per_s"] for share in shares)
                assert total <= LIMIT_TOKENS_PER_S / 3 * 1.001
                assert sum(work.sent[name] for name in inside) > 10
                await stack.heal()
                await work.gets_no_work("fd1-engine-1", "fd3-engine-1", "fd3-service-1")
            assert await work.received("fd3-engine-2", "fd3-service-2") > before
            assert set(await work.states("fd1-engine-1")) == {"leaving"}
            assert set(await work.states("fd3-engine-1", outside)) == {"leaving"}

            # A VM that is replaced under its name gets work again.
            async def seen(state):
                return set(await work.states("fd1-engine-1")) == {state}

            await stack.set_vm("fd1-engine-1", "gone")
            await asyncio.sleep(3.0)
            await stack.set_vm("fd1-engine-1", "live")
            await wait_until(lambda: seen("live"), 30.0)
            assert work.failures == []

        sections = {"client_accounts": limited()}
        counts = {"engines_per_domain": 2, "services_per_domain": 2}
        prove(tmp_path, scenario, sections, **counts)


def limited():
    """Return the sample's client accounts with a limit on tokens per second."""
    accounts = ExampleSettings().document()["client_accounts"]
    limits = {"limits": {"tokens_per_s": LIMIT_TOKENS_PER_S, "concurrency": 3_000}}
    return {ACCOUNT: accounts[ACCOUNT] | limits}


class TestSuspicion:
    def test_one_nodes_paths_are_cut(self, tmp_path):
        """Guard against one node that takes an upstream from all, or keeps waiting."""

        async def scenario(work):
            stack, cut = work.stack, "fd1-node-1"
            others = [name for name in work.nodes if name != cut]
            paths = stack.relays_between([cut], ["fd1-service-1", "fd1-engine-1"])
            [calls] = stack.relays_between([cut], ["fd1-service-1"])
            for relay in paths:
                await relay.apply(CUT)
            async with work.steady():

                async def suspected():
                    found = await work.states("fd1-service-1", [cut])
                    found += await work.states("fd1-engine-1", [cut])
                    return found == ["suspect", "suspect"]

                await wait_until(suspected, 40.0)
                assert set(await work.states("fd1-service-1", others)) == {"live"}
                assert set(await work.states("fd1-engine-1", others)) == {"live"}
                attempts = calls.counters.accepted
                before = await work.received("fd1-service-1")
                await asyncio.sleep(1.0)
                assert calls.counters.accepted == attempts
                assert await work.received("fd1-service-1") > before

                await stack.heal()
                attempts = calls.counters.accepted

                async def back():
                    states = await work.states("fd1-service-1")
                    states += await work.states("fd1-engine-1")
                    return set(states) == {"live"} and (
                        calls.counters.accepted > attempts
                    )

                await wait_until(back, 40.0)
            assert work.failures == []

        prove(tmp_path, scenario, engines_per_domain=3, services_per_domain=3)

    def test_dead_worker_is_not_tried_first(self, tmp_path):
        """Guard against calls that each wait for a worker that is gone."""

        async def scenario(work):
            stack, name = work.stack, "fd1-service-1"
            upstream = stack.settings.upstreams[name]
            port = int(stack.services[name].address.rpartition(":")[2])
            near = ("fd1-node-1", "fd1-node-2")
            await stack.services[name].stop(signal.SIGKILL)
            paths = stack.relays_between(near, [name])
            async with work.steady(near):

                async def suspected():
                    return set(await work.states(name, near)) <= {"suspect", "ejected"}

                await wait_until(suspected, 40.0)
                opened = sum(path.counters.accepted for path in paths)
                sent = sum(work.sent.values())
                await asyncio.sleep(2.0)
                calls = sum(work.sent.values()) - sent
                # Each node tries one connection a second to see the worker return.
                probes = sum(path.counters.accepted for path in paths) - opened
                assert probes <= 8 < calls
                await stack.start_service(name, upstream, port)

                async def back():
                    live = set(await work.states(name, near)) == {"live"}
                    return live and await work.received(name) > 0

                await wait_until(back, 40.0)
            assert work.failures == []

        prove(tmp_path, scenario, services_per_domain=3)
