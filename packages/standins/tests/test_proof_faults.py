"""Prove with real processes that memory comes back after random faults."""

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
FAULTS = 300
STEP_S = 0.03
# Names of methods of `Chaos` with their weights.
STEPS = {
    "start_prompt": 40,
    "start_group": 4,
    "leave": 14,
    "lose_cancels": 8,
    "disturb_stream": 12,
    "disturb_path": 10,
    "heal_path": 12,
    "late_request": 5,
    "pause_node": 4,
    "kill_node": 1.5,
    "kill_engine": 2,
}
NO_FAULT = {"start_prompt", "start_group"}


class Chaos:
    """Apply random faults to a world; the order of steps depends on the seed alone."""

    def __init__(self, world, seed):
        self.world = world
        self.random = random.Random(seed)
        self.done = Counter()
        self.prompts = []
        self.repairs = []
        self.down = set()

    async def run(self, faults):
        names, weights = list(STEPS), list(STEPS.values())
        while sum(self.done[name] for name in names if name not in NO_FAULT) < faults:
            name = self.random.choices(names, weights)[0]
            if await getattr(self, name)():
                self.done[name] += 1
            await asyncio.sleep(STEP_S)

    async def repair(self):
        """End all faults and return the results of the prompts that were not left."""
        await asyncio.gather(*self.repairs)
        await self.world.stack.heal()
        for child in self.world.stack.engines.values():
            await self.world.stack.control(child, "clear")
        results = await asyncio.gather(*self.prompts, return_exceptions=True)
        return [one for one in results if not isinstance(one, asyncio.CancelledError)]

    def node(self):
        return self.random.choice(sorted(self.world.stack.nodes))

    def engine(self):
        return self.random.choice(sorted(self.world.stack.engines))

    def send(self, prompt):
        url = self.world.url(self.node())
        call = send_prompt(self.world.stack.session, url, KEY, prompt)
        self.prompts.append(asyncio.create_task(call))

    async def start_prompt(self):
        tokens, length = self.random.randint(50, 3_000), self.random.randint(20, 300)
        self.send(example_prompt(tokens, f"f{len(self.prompts)}", length, 15.0))
        return True

    async def start_group(self):
        self.send(example_prompt(90_000, f"g{len(self.prompts)}", 100, 15.0))
        return True

    async def leave(self):
        open_ones = [task for task in self.prompts if not task.done()]
        if open_ones:
            self.random.choice(open_ones).cancel()
        return bool(open_ones)

    async def control(self, name, value):
        engine = self.engine()
        if engine in self.down:
            return False
        await self.world.stack.control(self.world.stack.engines[engine], name, value)
        return True

    async def lose_cancels(self):
        return await self.control("lose_cancels", self.random.randint(1, 4))

    async def disturb_stream(self):
        kind = self.random.choice(["truncate", "silence", "reset", "wrong_id"])
        fault = {"kind": kind, "after_tokens": self.random.randint(0, 40)}
        return await self.control("stream", fault)

    async def disturb_path(self):
        rules = [
            Rule(drop="both", scope="open"),
            Rule(drop="up"),
            Rule(drop="down"),
            Rule(delay_s=0.5),
            Rule(refuse=True),
        ]
        await self.random.choice(self.world.stack.relays_between()).apply(
            self.random.choice(rules)
        )
        return True

    async def heal_path(self):
        path = self.random.choice(self.world.stack.relays_between())
        await path.apply(Rule())
        path.reset()
        return True

    async def late_request(self):
        """Send what a node that is dead or has released it would have sent."""
        engine, number = self.engine(), self.random.getrandbits(32)
        if engine in self.down:
            return False
        url = f"{self.world.stack.engines[engine].url}/v1/kv/reserve"
        body = {
            "id": f"late-{number}",
            "owner": f"{self.node()}/1-{number:016x}",
            "model": MODEL,
            "tokens": 500,
            "expires_in_s": 1.0,
        }
        async with self.world.stack.session.post(url, json=body) as answer:
            return answer.status == 200

    async def pause_node(self):
        name, wait_s = self.node(), self.random.uniform(0.2, 4.0)
        if self.down & set(self.world.stack.nodes):
            return False
        self.repairs.append(asyncio.create_task(self.resume(name, wait_s)))
        return True

    async def resume(self, name, wait_s):
        self.down.add(name)
        self.world.stack.nodes[name].send_signal(signal.SIGSTOP)
        await asyncio.sleep(wait_s)
        self.world.stack.nodes[name].send_signal(signal.SIGCONT)
        self.down.discard(name)

    async def kill_node(self):
        name = self.node()
        if self.down & set(self.world.stack.nodes):
            return False
        self.repairs.append(
            asyncio.create_task(self.restart(name, self.world.restart_node))
        )
        return True

    async def kill_engine(self):
        name = self.engine()
        if self.down & set(self.world.stack.engines):
            return False
        self.repairs.append(
            asyncio.create_task(self.restart(name, self.world.restart_engine))
        )
        return True

    async def restart(self, name, start):
        self.down.add(name)
        # A node that starts needs its paths to the platform and to its peers.
        for path in self.world.stack.relays_between([name]):
            await path.apply(Rule())
        await start(name)
        self.down.discard(name)


class TestRandomFaults:
    def test_memory_returns_after_random_faults(self, tmp_path):
        """Guard against leaks that need several faults at once."""

        async def case(world):
            chaos = Chaos(world, SEED)
            await chaos.run(FAULTS)
            results = await chaos.repair()
            await world.wait_until_released(60.0)
            counters = [await world.counters(node) for node in world.stack.nodes]
            return chaos.done, results, counters

        sample = ExampleSettings(
            failure_domains=1, engines_per_domain=4, sections=FAST_SETTINGS
        )
        with StackHarness(tmp_path, sample, nodes_per_domain=3, relayed=True) as world:
            done, results, counters = world.run(case)
        verdicts = Counter(one.verdict for one in results)
        print(dict(done), dict(verdicts), counters)
        assert set(done) == set(STEPS)
        assert Verdict.WRONG not in verdicts
        assert verdicts[Verdict.COMPLETE] > 0
        assert sum(one["adoption"]["confirmed"] for one in counters) > 0
        assert all(one["tasks"]["failed"] == 0 for one in counters)
