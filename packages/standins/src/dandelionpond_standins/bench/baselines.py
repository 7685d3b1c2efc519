"""Send each request at once by a common policy, without queue or priorities."""

import random
from collections import Counter
from collections.abc import Callable

from dandelionpond_standins.bench.fleet import Fleet, Outcome
from dandelionpond_standins.bench.workload import NODE_COUNT, Arrival

BASELINES = ("random", "round_robin", "least_outstanding", "two_choices")
_GROUP_RETRY_S = 1.0
_MIN_GROUP = 3


class BaselinePolicy:
    """Decide by one of `BASELINES`, separately for each node."""

    def __init__(self, fleet: Fleet, policy: str, seed: int) -> None:
        self._fleet = fleet
        self._names = list(fleet.engines)
        self._random = random.Random(f"{policy}/{seed}")
        self._outstanding = [Counter[str]() for _ in range(NODE_COUNT)]
        self._reported = [dict.fromkeys(self._names, 0) for _ in range(NODE_COUNT)]
        self._turn = [
            self._random.randrange(len(self._names)) for _ in range(NODE_COUNT)
        ]
        self._groups: list[list[Arrival]] = [[] for _ in range(NODE_COUNT)]
        self._tried_at = [0.0] * NODE_COUNT
        picks: dict[str, Callable[[int, list[str]], str]] = {
            "random": self._pick_random,
            "round_robin": self._pick_next,
            "least_outstanding": self._pick_least,
            "two_choices": self._pick_of_two,
        }
        self._pick = picks[policy]

    def on_arrival(self, arrival: Arrival, now: float) -> None:
        """Send to an engine, or look for a group."""
        if arrival.tokens > self._fleet.spec.kv_capacity_tokens:
            if not self._try_start_group(arrival, now):
                self._groups[arrival.node].append(arrival)
            return
        name = self._pick(arrival.node, self._names)
        self._outstanding[arrival.node][name] += 1
        self._fleet.send(arrival, name, 1, now)

    def on_first_token(self, outcome: Outcome, now: float) -> None:
        """Ignore first tokens."""

    def on_end(self, outcome: Outcome, now: float) -> None:
        """Count one request less on its engines."""
        for name in outcome.engines:
            self._outstanding[outcome.arrival.node][name] -= 1

    def poll_engines(self, node: int, now: float) -> None:
        """Read the reported prefill of each engine."""
        for name, engine in self._fleet.engines.items():
            self._reported[node][name] = engine.load(now).queued_prefill_tokens

    def on_tick(self, node: int, now: float) -> None:
        """Try again to reserve groups."""
        if self._groups[node] and now - self._tried_at[node] >= _GROUP_RETRY_S:
            self._tried_at[node] = now
            self._groups[node] = [
                arrival
                for arrival in self._groups[node]
                if not self._fleet.outcomes[arrival.request_id].is_over
                and not self._try_start_group(arrival, now)
            ]

    def _try_start_group(self, arrival: Arrival, now: float) -> bool:
        ranked: list[str] = []
        left = list(self._names)
        while left:
            ranked.append(self._pick(arrival.node, left))
            left.remove(ranked[-1])
        for count in range(_MIN_GROUP, len(ranked) + 1):
            names = tuple(ranked[:count])
            if self._fleet.try_start_group(arrival, names, 1, now):
                self._outstanding[arrival.node].update(names)
                return True
        return False

    def _pick_random(self, node: int, names: list[str]) -> str:
        return self._random.choice(names)

    def _pick_next(self, node: int, names: list[str]) -> str:
        self._turn[node] += 1
        return names[self._turn[node] % len(names)]

    def _pick_least(self, node: int, names: list[str]) -> str:
        count = self._outstanding[node]
        return min(names, key=lambda name: (count[name], self._random.random()))

    def _pick_of_two(self, node: int, names: list[str]) -> str:
        pair = self._random.sample(names, min(2, len(names)))
        return min(pair, key=lambda name: self._reported[node][name])
