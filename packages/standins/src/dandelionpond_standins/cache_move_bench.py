"""Measure whether moving a cached prefix to a less loaded engine pays.

The engine model takes no time for transfers, so the time is an assumption that this
program adds: the tokens divided by `--move-tokens-per-s`, plus two calls. Load and
caches are known without lag and a transfer disturbs no other traffic, all in favour of
moving. A prefix is moved only if that shortens the estimate by `MIN_GAIN_S`.
"""

import heapq
import json
import random
import sys
from collections.abc import Callable
from itertools import count

import cyclopts
import msgspec

from dandelionpond_standins.engine_model import (
    EngineModel,
    EngineSpec,
    ModelRequest,
    TokensGenerated,
)

CALLS_S = 0.005
MIN_GAIN_S = 0.05
OUTPUT_TOKENS = 100


class Workload(msgspec.Struct, frozen=True):
    """Describe conversations: the first prompt, and the growth with each turn."""

    engines: int = 8
    load: float = 0.8
    seconds: float = 600.0
    turns: int = 8
    growth_tokens: int = 1_000
    think_s: float = 20.0
    first_tokens: tuple[int, ...] = (2_000, 8_000, 32_000, 100_000)
    first_weights: tuple[float, ...] = (50, 30, 15, 5)


class Result(msgspec.Struct, frozen=True):
    """Hold times to first token in seconds and the number of moved prefixes."""

    requests: int
    mean_s: float
    p50_s: float
    p95_s: float
    moved: int


class _Conversation:
    def __init__(self, number: int, tokens: int, block_tokens: int) -> None:
        self.number = number
        self.tokens = tokens
        self.turn = 0
        self._block_tokens = block_tokens

    @property
    def hashes(self) -> tuple[int, ...]:
        blocks = self.tokens // self._block_tokens
        return tuple(range(self.number << 20, (self.number << 20) + blocks))


def simulate(work: Workload, seed: int, move_tokens_per_s: float) -> Result:
    """Run one workload; a rate of zero means that nothing is moved."""
    source = random.Random(seed)
    spec = EngineSpec(report_lag_s=0.0)
    engines = [EngineModel(spec, seed + index) for index in range(work.engines)]
    for engine in engines:
        engine.reports_progress = False
    # With perfect reuse the first prompts and the growth are all that is computed.
    mean_first = sum(
        tokens * weight
        for tokens, weight in zip(work.first_tokens, work.first_weights, strict=True)
    ) / sum(work.first_weights)
    fresh = mean_first + work.turns * work.growth_tokens
    rate = work.load * work.engines * spec.prefill_tokens_per_s / fresh
    events: list[tuple[float, int, Callable[[float], None]]] = []
    order = count()
    arrived: dict[str, float] = {}
    times: list[float] = []
    moved = 0

    def later(at: float, call: Callable[[float], None]) -> None:
        heapq.heappush(events, (at, next(order), call))

    def advance(now: float) -> None:
        for engine in engines:
            for event in engine.advance(now):
                if isinstance(event, TokensGenerated) and event.request_id in arrived:
                    times.append(event.at - arrived.pop(event.request_id))

    def submit(talk: _Conversation, name: str, target: int, now: float) -> None:
        engines[target].submit(
            ModelRequest(name, "n", "m", talk.tokens, talk.hashes, OUTPUT_TOKENS), now
        )

    def turn(talk: _Conversation, now: float) -> None:
        nonlocal moved
        name = f"{talk.number}-{talk.turn}"
        arrived[name] = now
        options = []
        known = [engine.cached_tokens(talk.hashes) for engine in engines]
        home = max(range(len(engines)), key=known.__getitem__)
        for index, engine in enumerate(engines):
            queue = engine.load(now).queued_prefill_tokens
            cost = (queue + talk.tokens - known[index]) / spec.prefill_tokens_per_s
            options.append((cost, index, False))
            if move_tokens_per_s and known[index] < known[home]:
                wait = known[home] / move_tokens_per_s + CALLS_S
                rest = talk.tokens - known[home]
                # The queue shrinks while the prefix is on its way.
                cost = max(wait, queue / spec.prefill_tokens_per_s)
                cost += rest / spec.prefill_tokens_per_s + MIN_GAIN_S
                options.append((cost, index, True))
        _, target, is_move = min(options)
        if is_move:
            moved += 1
            block = engines[home].export(name, "n", "m", talk.hashes, 60, now)
            wait = known[home] / move_tokens_per_s + CALLS_S

            def land(at: float) -> None:
                engines[home].release(name, at)
                if block is not None:
                    engines[target].import_(f"{name}i", "n", block, 60, at)
                submit(talk, name, target, at)
                engines[target].release(f"{name}i", at)

            later(now + wait, land)
        else:
            submit(talk, name, target, now)
        talk.turn += 1
        if talk.turn < work.turns:
            talk.tokens += work.growth_tokens
            pause = source.expovariate(1 / work.think_s) + 5.0
            later(now + pause, lambda at: turn(talk, at))

    def begin(now: float) -> None:
        tokens = source.choices(work.first_tokens, work.first_weights)[0]
        turn(_Conversation(next(numbers), tokens, spec.block_tokens), now)
        if now < work.seconds:
            later(now + source.expovariate(rate), begin)

    numbers = count(1)
    later(0.0, begin)
    while events:
        now, _, call = heapq.heappop(events)
        advance(now)
        call(now)
    advance(1e9)
    times.sort()
    return Result(
        len(times),
        sum(times) / len(times),
        times[len(times) // 2],
        times[int(len(times) * 0.95)],
        moved,
    )


app = cyclopts.App(help="Measure whether moving cached prefixes pays.")


@app.default
def main(
    *,
    load: float = 0.8,
    seconds: float = 600.0,
    seed: int = 1,
    first_tokens: tuple[int, ...] = (2_000, 8_000, 32_000),
    first_weights: tuple[float, ...] = (50, 30, 20),
    move_tokens_per_s: tuple[float, ...] = (0.0, 5_000.0, 10_000.0, 40_000.0),
) -> None:
    """Print one JSON line for each transfer rate; 0 means that nothing is moved."""
    for rate in move_tokens_per_s:
        work = Workload(
            load=load,
            seconds=seconds,
            first_tokens=first_tokens,
            first_weights=first_weights,
        )
        result = simulate(work, seed, rate)
        line = {"load": load, "seed": seed, "move_tokens_per_s": rate}
        print(json.dumps(line | msgspec.to_builtins(result)), flush=True)


if __name__ == "__main__":
    sys.exit(app())
