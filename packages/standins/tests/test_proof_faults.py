"""Process tests: engine memory is released after random faults."""

import asyncio
import random
import signal
from collections import Counter

from dandelionpond_standins.client import Verdict, send_prompt
from dandelionpond_standins.example_settings import KEY, MODEL, ExampleSettings
from dandelionpond_standins.relay import Rule
from dandelionpond_standins.stack_harness import FAST_SETTINGS, StackHarness
from dandelionpond_standins.stack_helpers import example_prompt

SEED = 20_261_204
FAULT_COUNT = 300
STEP_INTERVAL_S = 0.03
# Weights of the random steps, by the name of the method of `FaultInjector`.
STEP_WEIGHTS = {
    "start_prompt": 40,
    "start_group": 4,
    "disconnect_caller": 14,
    "lose_cancels": 8,
    "inject_stream_fault": 12,
    "inject_path_fault": 10,
    "heal_path": 12,
    "send_late_reserve": 5,
    "pause_node": 4,
    "kill_node": 1.5,
    "kill_engine": 2,
}
# Steps that add load and do not count as faults.
LOAD_STEPS = {"start_prompt", "start_group"}


class FaultInjector:
    """Random prompts and faults, drawn from a seed, against the stack of a harness.

    The method of a step returns whether the step took place; only then it counts.
    """

    def __init__(self, harness, seed):
        self.harness = harness
        self.rng = random.Random(seed)
        self.counts = Counter()
        self.prompt_tasks = []
        self.fault_tasks = []
        # Nodes and engines that are paused or restarting.
        self.down = set()

    async def run(self, fault_count):
        names, weights = list(STEP_WEIGHTS), list(STEP_WEIGHTS.values())
        while (
            sum(self.counts[name] for name in names if name not in LOAD_STEPS)
            < fault_count
        ):
            name = self.rng.choices(names, weights)[0]
            if await getattr(self, name)():
                self.counts[name] += 1
            await asyncio.sleep(STEP_INTERVAL_S)

    async def end_faults(self):
        """End all faults and return the results of prompts that were not cancelled."""
        await asyncio.gather(*self.fault_tasks)
        await self.harness.stack.heal()
        for child in self.harness.stack.engines.values():
            await self.harness.stack.control(child, "clear")
        results = await asyncio.gather(*self.prompt_tasks, return_exceptions=True)
        return [
            result
            for result in results
            if not isinstance(result, asyncio.CancelledError)
        ]

    def random_node(self):
        return self.rng.choice(sorted(self.harness.stack.nodes))

    def random_engine(self):
        return self.rng.choice(sorted(self.harness.stack.engines))

    def start(self, prompt):
        url = self.harness.url(self.random_node())
        request = send_prompt(self.harness.stack.session, url, KEY, prompt)
        self.prompt_tasks.append(asyncio.create_task(request))

    async def start_prompt(self):
        prompt_tokens, max_tokens = (
            self.rng.randint(50, 3_000),
            self.rng.randint(20, 300),
        )
        self.start(
            example_prompt(
                prompt_tokens, f"f{len(self.prompt_tasks)}", max_tokens, 15.0
            )
        )
        return True

    async def start_group(self):
        self.start(example_prompt(90_000, f"g{len(self.prompt_tasks)}", 100, 15.0))
        return True

    async def disconnect_caller(self):
        open_prompts = [task for task in self.prompt_tasks if not task.done()]
        if open_prompts:
            self.rng.choice(open_prompts).cancel()
        return bool(open_prompts)

    async def set_engine_fault(self, name, value):
        engine = self.random_engine()
        if engine in self.down:
            return False
        await self.harness.stack.control(
            self.harness.stack.engines[engine], name, value
        )
        return True

    async def lose_cancels(self):
        return await self.set_engine_fault("lose_cancels", self.rng.randint(1, 4))

    async def inject_stream_fault(self):
        kind = self.rng.choice(["truncate", "silence", "reset", "wrong_id"])
        fault = {"kind": kind, "after_tokens": self.rng.randint(0, 40)}
        return await self.set_engine_fault("stream", fault)

    async def inject_path_fault(self):
        rules = [
            Rule(drop="both", scope="open"),
            Rule(drop="up"),
            Rule(drop="down"),
            Rule(delay_s=0.5),
            Rule(refuse=True),
        ]
        await self.rng.choice(self.harness.stack.relays_between()).apply(
            self.rng.choice(rules)
        )
        return True

    async def heal_path(self):
        relay = self.rng.choice(self.harness.stack.relays_between())
        await relay.apply(Rule())
        relay.reset()
        return True

    async def send_late_reserve(self):
        """Reserve memory for an earlier incarnation of a node.

        This stands for a request that arrives late, after its node has died or released
        the memory.
        """
        engine, number = self.random_engine(), self.rng.getrandbits(32)
        if engine in self.down:
            return False
        url = f"{self.harness.stack.engines[engine].url}/v1/kv/reserve"
        body = {
            "id": f"late-{number}",
            "owner": f"{self.random_node()}/1-{number:016x}",
            "model": MODEL,
            "tokens": 500,
            "expires_in_s": 1.0,
        }
        async with self.harness.stack.session.post(url, json=body) as response:
            return response.status == 200

    async def pause_node(self):
        name, pause_s = self.random_node(), self.rng.uniform(0.2, 4.0)
        if self.down & set(self.harness.stack.nodes):
            return False
        self.fault_tasks.append(asyncio.create_task(self.pause_for(name, pause_s)))
        return True

    async def pause_for(self, name, pause_s):
        self.down.add(name)
        self.harness.stack.nodes[name].send_signal(signal.SIGSTOP)
        await asyncio.sleep(pause_s)
        self.harness.stack.nodes[name].send_signal(signal.SIGCONT)
        self.down.discard(name)

    async def kill_node(self):
        name = self.random_node()
        if self.down & set(self.harness.stack.nodes):
            return False
        self.fault_tasks.append(
            asyncio.create_task(self.restart(name, self.harness.restart_node))
        )
        return True

    async def kill_engine(self):
        name = self.random_engine()
        if self.down & set(self.harness.stack.engines):
            return False
        self.fault_tasks.append(
            asyncio.create_task(self.restart(name, self.harness.restart_engine))
        )
        return True

    async def restart(self, name, restart_process):
        self.down.add(name)
        # A starting node needs its paths to the platform and to its peers.
        for relay in self.harness.stack.relays_between([name]):
            await relay.apply(Rule())
        await restart_process(name)
        self.down.discard(name)


class TestRandomFaults:
    def test_memory_returns_after_random_faults(self, tmp_path):
        """Engine memory must be released after several faults at once.

        Some leaks need overlapping faults, which tests of single faults do not have.
        """

        async def scenario(harness):
            injector = FaultInjector(harness, SEED)
            await injector.run(FAULT_COUNT)
            results = await injector.end_faults()
            await harness.wait_until_released(60.0)
            counters = [await harness.counters(node) for node in harness.stack.nodes]
            return injector.counts, results, counters

        settings = ExampleSettings(
            failure_domains=1, engines_per_domain=4, sections=FAST_SETTINGS
        )
        with StackHarness(
            tmp_path, settings, nodes_per_domain=3, relayed=True
        ) as harness:
            counts, results, counters = harness.run(scenario)
        verdicts = Counter(result.verdict for result in results)
        print(dict(counts), dict(verdicts), counters)
        assert set(counts) == set(STEP_WEIGHTS)
        assert Verdict.WRONG not in verdicts
        assert verdicts[Verdict.COMPLETE] > 0
        assert sum(node["adoption"]["confirmed"] for node in counters) > 0
        assert all(node["tasks"]["failed"] == 0 for node in counters)
