"""Draw faults from a seed and bring them about from outside the processes."""

import asyncio
import signal
from collections import Counter

from soak_world import FREE

from dandelionpond_standins.relay import Rule

UPSTREAM_FAULTS = ("full", "slow", "reset", "unstamped", "error", "other", "cut")
STORE_FAULTS = (503, 429, "garbage", "silent", "muted")
DROPS = ("up", "down", "both")
SCOPES = ("open", "new", "all")
# Pauses in seconds between two draws, and the most faults that one draw starts.
DRAW_S = (0.1, 0.7)
MOST_AT_ONCE = 3


class Faults:
    """Own the faults of one run; `counts` says how often each kind struck."""

    def __init__(self, world, random):
        self.counts = Counter()
        self._world = world
        self._random = random
        self._busy = set()
        self._tasks = set()
        self._kinds = {
            "upstream": (4, self._upstream),
            "path": (4, self._path),
            "store": (2, self._store),
            "store path": (2, self._store_path),
            "change": (4, self._change),
            "leave": (2, self._leave),
            "pause": (2, self._pause),
            "kill": (1, self._kill),
            "stop": (1, self._stop),
        }

    async def run(self, seconds):
        """Start faults in series, so that they overlap, then wait until all heal."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        names = list(self._kinds)
        weights = [weight for weight, _ in self._kinds.values()]
        while loop.time() < end:
            for _ in range(self._random.randint(1, MOST_AT_ONCE)):
                (name,) = self._random.choices(names, weights)
                task = asyncio.create_task(self._kinds[name][1]())
                self._tasks.add(task)
            await asyncio.sleep(self._random.uniform(*DRAW_S))
        await asyncio.gather(*self._tasks)

    def _take(self, target):
        """Return whether a target is free for a fault, and take it."""
        if target in self._busy:
            return False
        self._busy.add(target)
        return True

    async def _for(self, low, high):
        await asyncio.sleep(self._random.uniform(low, high))

    async def _upstream(self):
        upstream = self._random.choice(self._world.upstreams)
        if self._take(upstream):
            upstream.fault = self._random.choice(UPSTREAM_FAULTS)
            self.counts[f"upstream {upstream.fault}"] += 1
            await self._for(0.2, 1.5)
            upstream.fault = "none"
            self._busy.discard(upstream)

    async def _path(self):
        path = self._world.paths[self._random.choice(self._world.upstreams).instance]
        await self._disturb(path, "path")

    async def _store_path(self):
        await self._disturb(self._random.choice(self._world.nodes).store, "store path")

    async def _disturb(self, path, label):
        kind = self._random.choice(("drop", "delay", "refuse", "reset"))
        scope = self._random.choice(SCOPES)
        if not self._take(path):
            return
        self.counts[f"{label} {kind}"] += 1
        match kind:
            case "drop":
                await path.apply(Rule(drop=self._random.choice(DROPS), scope=scope))
            case "delay":
                await path.apply(Rule(delay_s=self._random.uniform(0.02, 0.4)))
            case "refuse":
                await path.apply(Rule(refuse=True))
            case "reset":
                path.reset()
        await self._for(0.2, 2.0)
        # What a path has lost stays lost; its connections never continue.
        path.reset()
        await path.apply(FREE)
        self._busy.discard(path)

    async def _store(self):
        store = self._world.store
        if not self._take(store):
            return
        fault = self._random.choice(STORE_FAULTS)
        self.counts[f"store {fault}"] += 1
        store.hides_events = fault == "muted"
        store.fault = None if fault == "muted" else fault
        await self._for(0.3, 2.0)
        store.drop_history()
        store.fault, store.hides_events = None, False
        self._busy.discard(store)

    async def _change(self):
        for _ in range(self._random.randint(1, 4)):
            self.counts["change"] += 1
            self._world.publish()
            await self._for(0.0, 0.4)

    async def _leave(self):
        upstream = self._random.choice(self._world.upstreams)
        if not self._take(f"entry {upstream.instance}"):
            return
        self.counts["leave"] += 1
        self._world.enter(upstream, "draining")
        await self._for(0.1, 0.8)
        if self._random.random() < 0.5:
            self._world.store.remove(f"servers/{upstream.instance}")
            await self._for(0.1, 1.0)
        self._world.enter(upstream)
        self._busy.discard(f"entry {upstream.instance}")

    async def _pause(self):
        node = self._random.choice(self._world.nodes)
        if self._take(node):
            self.counts["pause"] += 1
            node.send(signal.SIGSTOP)
            await self._for(0.1, 2.5)
            node.send(signal.SIGCONT)
            self._busy.discard(node)

    async def _kill(self):
        await self._end(signal.SIGKILL, "kill")

    async def _stop(self):
        await self._end(signal.SIGTERM, "stop")

    async def _end(self, number, label):
        node = self._random.choice(self._world.nodes)
        if self._take(node):
            self.counts[label] += 1
            node.send(number)
            await node.ended()
            await self._for(0.0, 1.0)
            await node.start()
            self._busy.discard(node)
