"""Replay of prompts that crash engines against a fleet whose nodes have restarted.

The nodes run `PromptQuarantine` and exchange `QuarantineNews` in simulated time. Run as
a program, it prints the figures of docs/decisions/quarantine-after-restart.md.
"""

import heapq
import itertools
import statistics
import sys
from collections.abc import Callable, Iterable
from random import Random

import msgspec

from dandelionpond.quarantine.evidence import Suspect
from dandelionpond.quarantine.messages import PromptKey, QuarantineNews
from dandelionpond.quarantine.quarantine import PromptQuarantine

FLEET_SIZES = (15, 69, 138)
ACCOUNT, SHARED, HARMFUL = 7, 1, 2
# Second parts of sound prompts; all prompts have the shared first part.
FIRST_SOUND_PART = 100
SOUND_PARTS = 20
PROMPTS_PER_NODE_S = 1.07
ENGINES_PER_NODE = 1.2
# Times in seconds from the logs of `deploy/days/tainted.toml`: from the sending of a
# harmful prompt to the crash of its engine, and until the engine is back.
CRASH_AFTER_S = 0.154
ENGINE_DOWN_S = 3.35
# Ranges in seconds of the time to a sound prompt's first event, and to its end.
FIRST_EVENT_S = (0.1, 0.5)
ANSWER_S = (1.0, 4.0)
# Constants of `entry/`: the beginning of an answer, the delay of a suspect's retry, the
# attempts for a request, the delay of news and the intervals of nodes.
BEGINNING_S = 0.25
RETRY_DELAY_S = 0.2
MAX_ATTEMPTS = 2
SEND_DELAY_S = 0.001
NEWS_DELAY_S = 0.003
TICK_S = 0.25
HEARTBEAT_S = 0.5
# How often a client sends a request that fails.
CLIENT_SENDS = 2
DURATION_S = 8.0
# `StableWindowMs` of the deployments in seconds, at least: the bound on prompts with a
# harmful part does not count what a node sends within this time after its start.
STABLE_WINDOW_S = 3.0


class Prompt(msgspec.Struct):
    """A prompt; `engine` is the one that has it now, sent by node `node`."""

    name: str
    key: PromptKey
    first_event_s: float
    answer_s: float
    sends: int = 1
    attempts: int = 0
    sent_at: float = 0.0
    engine: int | None = None
    node: int = 0

    @property
    def is_harmful(self) -> bool:
        """Return whether the prompt crashes its engine."""
        return HARMFUL in self.key.parts


class Counts(msgspec.Struct):
    """The results of one replay."""

    # Harmful prompts that reached engines, retries included, and those of them that
    # were sent later than `STABLE_WINDOW_S` after the restart.
    reached: int = 0
    reached_later: int = 0
    sound: int = 0
    sound_refused: int = 0
    sound_interrupted: int = 0


class RestartedFleet:
    """Nodes that restart at time 0, and engines.

    A share of the prompts is harmful. Nodes hear their peers after up to `join_s`. The
    first `survivors` nodes did not restart: they have the part in quarantine. Engines
    may also crash for causes of their own.
    """

    def __init__(
        self,
        node_count: int,
        seed: int,
        share: float = 0.05,
        join_s: float = 0.5,
        survivors: int = 0,
        own_crashes_per_s: float = 0.0,
    ) -> None:
        self.now = 0.0
        self.counts = Counts()
        self.names = [f"n{number}" for number in range(node_count)]
        self.nodes = [PromptQuarantine(name) for name in self.names]
        self._random = Random(seed)
        self._share = share
        self._prompts_per_s = PROMPTS_PER_NODE_S * node_count
        self._own_crashes_per_s = own_crashes_per_s
        engine_count = round(ENGINES_PER_NODE * node_count)
        self._up_at = [0.0] * engine_count
        self._running: list[list[Prompt]] = [[] for _ in range(engine_count)]
        self._joined: list[int] = []
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        for number, node in enumerate(self.nodes):
            node.on_news = lambda number=number: self._after(
                SEND_DELAY_S, lambda: self._tell(number)
            )
            self._after(
                self._random.uniform(0, TICK_S), lambda node=node: self._tick(node)
            )
            self._after(
                self._random.uniform(0, join_s),
                lambda number=number: self._join(number),
            )
            if number < survivors:
                self._teach(node)
        self._after(0.0, self._arrive)
        if own_crashes_per_s:
            self._after(join_s, self._crash_any)

    def run(self) -> Counts:
        """Play the first `DURATION_S` after the restart."""
        while self._events[0][0] < DURATION_S:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.counts

    def refusing_nodes(self) -> int:
        """Return how many nodes refuse harmful prompts."""
        key = PromptKey(ACCOUNT, (SHARED, HARMFUL))
        refused = (
            node.preview(key, self.now, lambda: self.names) for node in self.nodes
        )
        return sum(refusal is not None for refusal in refused)

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay_s, next(self._numbers), action))

    def _teach(self, node: PromptQuarantine) -> None:
        """Let a node see the crashes before the restart, the last one 5 s ago."""
        for number in range(3):
            at = number - 7.0
            key = PromptKey(ACCOUNT, (SHARED, HARMFUL))
            suspect = Suspect(ACCOUNT, key.parts, at - CRASH_AFTER_S, True)
            node.record_crash(key, f"past{number}", suspect, f"past{number}", at)
        node.record_answer(PromptKey(ACCOUNT, (SHARED,)), -4.0, -1.0)
        node.tick(-1.0)

    def _tick(self, node: PromptQuarantine) -> None:
        node.tick(self.now)
        self._after(TICK_S, lambda: self._tick(node))

    def _join(self, number: int) -> None:
        """Let a node and those that have joined before hear each other."""
        for other in self._joined:
            self._tell(other, (number,))
        self._joined.append(number)
        self._beat(number)

    def _beat(self, number: int) -> None:
        self._tell(number)
        self._after(HEARTBEAT_S, lambda: self._beat(number))

    def _tell(self, number: int, receivers: Iterable[int] | None = None) -> None:
        if number not in self._joined:
            return
        news = self.nodes[number].news(self.now)
        if news is None:
            return
        if receivers is None:
            receivers = [other for other in self._joined if other != number]
        self._after(NEWS_DELAY_S, lambda: self._deliver(news, receivers))

    def _deliver(self, news: QuarantineNews, receivers: Iterable[int]) -> None:
        for number in receivers:
            self.nodes[number].receive(news, self.now)

    def _arrive(self) -> None:
        part = HARMFUL
        if self._random.random() >= self._share:
            self.counts.sound += 1
            part = FIRST_SOUND_PART + self._random.randrange(SOUND_PARTS)
        prompt = Prompt(
            f"r{next(self._numbers)}",
            PromptKey(ACCOUNT, (SHARED, part)),
            self._random.uniform(*FIRST_EVENT_S),
            self._random.uniform(*ANSWER_S),
        )
        self._send_from_client(prompt)
        self._after(self._random.expovariate(self._prompts_per_s), self._arrive)

    def _send_from_client(self, prompt: Prompt) -> None:
        prompt.node = self._random.randrange(len(self.nodes))
        self._send(prompt)

    def _send(self, prompt: Prompt) -> None:
        node = self.nodes[prompt.node]
        if node.check(prompt.key, prompt.name, self.now, lambda: self.names):
            self.counts.sound_refused += not prompt.is_harmful
            return
        up = [engine for engine, at in enumerate(self._up_at) if at <= self.now]
        if not up:
            return
        engine = self._random.choice(up)
        prompt.engine, prompt.sent_at = engine, self.now
        prompt.attempts += 1
        attempt = prompt.attempts
        self._running[engine].append(prompt)
        if prompt.is_harmful:
            self.counts.reached += 1
            self.counts.reached_later += self.now > STABLE_WINDOW_S
            self._after(CRASH_AFTER_S, lambda: self._crash_under(prompt, engine))
        else:
            self._after(prompt.answer_s, lambda: self._answer(prompt, attempt))

    def _answer(self, prompt: Prompt, attempt: int) -> None:
        if prompt.engine is None or prompt.attempts != attempt:
            return
        self._running[prompt.engine].remove(prompt)
        prompt.engine = None
        node = self.nodes[prompt.node]
        node.record_answer(prompt.key, prompt.sent_at, self.now)

    def _crash_any(self) -> None:
        self._crash(self._random.randrange(len(self._up_at)), None)
        self._after(1 / self._own_crashes_per_s, self._crash_any)

    def _crash_under(self, prompt: Prompt, engine: int) -> None:
        if prompt.engine == engine:
            self._crash(engine, prompt)

    def _crash(self, engine: int, cause: Prompt | None) -> None:
        self._up_at[engine] = self.now + ENGINE_DOWN_S
        lost, self._running[engine] = self._running[engine], []
        for prompt in lost:
            prompt.engine = None
            self.counts.sound_interrupted += not prompt.is_harmful
            begun_s = self.now - prompt.sent_at - prompt.first_event_s
            has_begun = prompt is cause or begun_s >= 0
            if prompt is cause or begun_s <= BEGINNING_S:
                suspect = Suspect(ACCOUNT, prompt.key.parts, prompt.sent_at, has_begun)
                self.nodes[prompt.node].record_crash(
                    prompt.key, f"e{engine}", suspect, prompt.name, self.now
                )
            delay_s = RETRY_DELAY_S if has_begun else 0.0
            self._after(delay_s, lambda prompt=prompt: self._retry(prompt))

    def _retry(self, prompt: Prompt) -> None:
        self.nodes[prompt.node].tick(self.now)
        if prompt.attempts < MAX_ATTEMPTS * prompt.sends:
            self._send(prompt)
        elif prompt.sends < CLIENT_SENDS:
            prompt.sends += 1
            self._send_from_client(prompt)


def main() -> None:
    """Print the results for each size of the fleet and each situation."""
    seeds = range(1, 1 + (int(sys.argv[1]) if len(sys.argv) > 1 else 10))
    situations: dict[str, dict[str, float]] = {
        "all restarted": {},
        "all restarted, share 0.3": {"share": 0.3},
        "all restarted, join 1.5 s": {"join_s": 1.5},
        "all restarted, join 1.5 s, share 0.3": {"join_s": 1.5, "share": 0.3},
        "one did not restart": {"survivors": 1},
        "one did not restart, share 0.3": {"survivors": 1, "share": 0.3},
        "no harmful part, 1 crash/s": {"share": 0.0, "own_crashes_per_s": 1.0},
    }
    for situation, settings in situations.items():
        for size in FLEET_SIZES:
            runs = [RestartedFleet(size, seed, **settings).run() for seed in seeds]
            reached = sorted(run.reached for run in runs)
            print(
                f"{situation:38} {size:4} nodes: reached {reached[0]} to {reached[-1]},"
                f" median {statistics.median(reached):g},"
                f" later at most {max(run.reached_later for run in runs)};"
                f" sound refused {sum(run.sound_refused for run in runs)}"
                f" in {sum(run.sound_refused > 0 for run in runs)} runs,"
                f" interrupted {sum(run.sound_interrupted for run in runs)}"
                f" of {sum(run.sound for run in runs)}",
                flush=True,
            )


if __name__ == "__main__":
    main()
