"""Common routing policies that send each request at once, without queue or priorities.

The product's policy is compared with them.
"""

import random
from collections import Counter
from collections.abc import Callable

from dandelionpond_standins.bench.fleet import Fleet, Outcome
from dandelionpond_standins.bench.workload import NODE_COUNT, Arrival

# `least_outstanding` counts only the node's own requests; `two_choices` compares the
# reported prefill of two random engines.
BASELINES = ("random", "round_robin", "least_outstanding", "two_choices")
_GROUP_RETRY_INTERVAL_S = 1.0
_MIN_GROUP_ENGINES = 3


class BaselinePolicy:
    """One of `BASELINES`, with separate state for each node."""

    def __init__(self, fleet: Fleet, policy: str, seed: int) -> None:
        self._fleet = fleet
        self._engine_names = list(fleet.engines)
        self._random = random.Random(f"{policy}/{seed}")
        self._outstanding = [Counter[str]() for _ in range(NODE_COUNT)]
        self._reported_prefill = [
            dict.fromkeys(self._engine_names, 0) for _ in range(NODE_COUNT)
        ]
        self._round_robin_index = [
            self._random.randrange(len(self._engine_names)) for _ in range(NODE_COUNT)
        ]
        self._waiting_for_group: list[list[Arrival]] = [[] for _ in range(NODE_COUNT)]
        self._group_tried_at = [0.0] * NODE_COUNT
        pick_functions: dict[str, Callable[[int, list[str]], str]] = {
            "random": self._pick_random,
            "round_robin": self._pick_round_robin,
            "least_outstanding": self._pick_least_outstanding,
            "two_choices": self._pick_two_choices,
        }
        self._pick = pick_functions[policy]

    def on_arrival(self, arrival: Arrival, now: float) -> None:
        """Send the request to one engine, or to a group if it is too large for one.

        If no group has the memory, `on_tick` tries again.
        """
        if arrival.tokens > self._fleet.spec.kv_capacity_tokens:
            if not self._try_start_group(arrival, now):
                self._waiting_for_group[arrival.node].append(arrival)
            return
        name = self._pick(arrival.node, self._engine_names)
        self._outstanding[arrival.node][name] += 1
        self._fleet.send(arrival, name, 1, now)

    def on_first_token(self, outcome: Outcome, now: float) -> None:
        """Do nothing; the baselines do not learn from first tokens."""

    def on_end(self, outcome: Outcome, now: float) -> None:
        """Decrement the node's outstanding requests on the engines of the request."""
        for name in outcome.engines:
            self._outstanding[outcome.arrival.node][name] -= 1

    def poll_engines(self, node: int, now: float) -> None:
        """Read the queued prefill tokens from the load report of each engine."""
        for name, engine in self._fleet.engines.items():
            self._reported_prefill[node][name] = engine.load(now).queued_prefill_tokens

    def on_tick(self, node: int, now: float) -> None:
        """Try again to start requests that wait for a group."""
        if (
            self._waiting_for_group[node]
            and now - self._group_tried_at[node] >= _GROUP_RETRY_INTERVAL_S
        ):
            self._group_tried_at[node] = now
            self._waiting_for_group[node] = [
                arrival
                for arrival in self._waiting_for_group[node]
                if not self._fleet.outcomes[arrival.request_id].is_over
                and not self._try_start_group(arrival, now)
            ]

    def _try_start_group(self, arrival: Arrival, now: float) -> bool:
        picked: list[str] = []
        remaining = list(self._engine_names)
        while remaining:
            picked.append(self._pick(arrival.node, remaining))
            remaining.remove(picked[-1])
        for count in range(_MIN_GROUP_ENGINES, len(picked) + 1):
            names = tuple(picked[:count])
            if self._fleet.try_start_group(arrival, names, 1, now):
                self._outstanding[arrival.node].update(names)
                return True
        return False

    def _pick_random(self, node: int, names: list[str]) -> str:
        return self._random.choice(names)

    def _pick_round_robin(self, node: int, names: list[str]) -> str:
        self._round_robin_index[node] += 1
        return names[self._round_robin_index[node] % len(names)]

    def _pick_least_outstanding(self, node: int, names: list[str]) -> str:
        outstanding = self._outstanding[node]
        return min(names, key=lambda name: (outstanding[name], self._random.random()))

    def _pick_two_choices(self, node: int, names: list[str]) -> str:
        pair = self._random.sample(names, min(2, len(names)))
        return min(pair, key=lambda name: self._reported_prefill[node][name])
