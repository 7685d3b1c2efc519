"""Benchmark of moving a cached prefix to a less loaded engine.

The engine model has no transfer time, so this program adds an assumed one: the prefix
tokens divided by `--move-tokens-per-s`, plus two calls. Two simplifications favour
moving: loads and caches are known without lag, and a transfer does not slow other
traffic. A prefix is moved only if that shortens the estimated time to first token by
more than `MIN_GAIN_S`.
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

# Assumed time in seconds of the two calls of a transfer.
TRANSFER_CALLS_S = 0.005
MIN_GAIN_S = 0.05
OUTPUT_TOKENS = 100


class Workload(msgspec.Struct, frozen=True):
    """Conversations whose prompts grow with each turn; times are in seconds.

    `load` is relative to the engines' prefill capacity. A conversation starts with one
    of the prompt lengths in `first_tokens`, drawn with the relative weights in
    `first_weights`. `think_s` is the mean of a random pause before the next turn, to
    which 5 s are added.
    """

    engines: int = 8
    load: float = 0.8
    seconds: float = 600.0
    turns: int = 8
    growth_tokens: int = 1_000
    think_s: float = 20.0
    first_tokens: tuple[int, ...] = (2_000, 8_000, 32_000, 100_000)
    first_weights: tuple[float, ...] = (50, 30, 15, 5)


class Result(msgspec.Struct, frozen=True):
    """Times to first token in seconds and the number of moved prefixes."""

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


def simulate(workload: Workload, seed: int, move_tokens_per_s: float) -> Result:
    """Simulate one workload and return its result; at rate 0 nothing is moved."""
    rng = random.Random(seed)
    spec = EngineSpec(report_lag_s=0.0)
    engines = [EngineModel(spec, seed + index) for index in range(workload.engines)]
    for engine in engines:
        engine.reports_progress = False
    # With perfect cache reuse, only first prompts and the growth per turn are computed.
    mean_first_tokens = sum(
        tokens * weight
        for tokens, weight in zip(
            workload.first_tokens, workload.first_weights, strict=True
        )
    ) / sum(workload.first_weights)
    computed_tokens = mean_first_tokens + workload.turns * workload.growth_tokens
    arrivals_per_s = (
        workload.load * workload.engines * spec.prefill_tokens_per_s / computed_tokens
    )
    events: list[tuple[float, int, Callable[[float], None]]] = []
    sequence = count()
    arrived_at: dict[str, float] = {}
    ttfts_s: list[float] = []
    moved_count = 0

    def call_at(at: float, action: Callable[[float], None]) -> None:
        heapq.heappush(events, (at, next(sequence), action))

    def advance(now: float) -> None:
        for engine in engines:
            for event in engine.advance(now):
                if (
                    isinstance(event, TokensGenerated)
                    and event.request_id in arrived_at
                ):
                    ttfts_s.append(event.at - arrived_at.pop(event.request_id))

    def submit(
        conversation: _Conversation, request_id: str, target: int, now: float
    ) -> None:
        engines[target].submit(
            ModelRequest(
                request_id,
                "n",
                "m",
                conversation.tokens,
                conversation.hashes,
                OUTPUT_TOKENS,
            ),
            now,
        )

    def start_turn(conversation: _Conversation, now: float) -> None:
        nonlocal moved_count
        request_id = f"{conversation.number}-{conversation.turn}"
        arrived_at[request_id] = now
        options = []
        cached_tokens = [
            engine.cached_tokens(conversation.hashes) for engine in engines
        ]
        source = max(range(len(engines)), key=cached_tokens.__getitem__)
        for index, engine in enumerate(engines):
            queued_tokens = engine.load(now).queued_prefill_tokens
            estimated_s = (
                queued_tokens + conversation.tokens - cached_tokens[index]
            ) / spec.prefill_tokens_per_s
            options.append((estimated_s, index, False))
            if move_tokens_per_s and cached_tokens[index] < cached_tokens[source]:
                transfer_s = (
                    cached_tokens[source] / move_tokens_per_s + TRANSFER_CALLS_S
                )
                uncached_tokens = conversation.tokens - cached_tokens[source]
                # The target works off its queue during the transfer.
                estimated_s = max(transfer_s, queued_tokens / spec.prefill_tokens_per_s)
                estimated_s += uncached_tokens / spec.prefill_tokens_per_s + MIN_GAIN_S
                options.append((estimated_s, index, True))
        _, target, is_move = min(options)
        if is_move:
            moved_count += 1
            exported = engines[source].export(
                request_id, "n", "m", conversation.hashes, 60, now
            )
            transfer_s = cached_tokens[source] / move_tokens_per_s + TRANSFER_CALLS_S

            def finish_transfer(at: float) -> None:
                engines[source].release(request_id, at)
                if exported is not None:
                    engines[target].import_(f"{request_id}i", "n", exported, 60, at)
                submit(conversation, request_id, target, at)
                engines[target].release(f"{request_id}i", at)

            call_at(now + transfer_s, finish_transfer)
        else:
            submit(conversation, request_id, target, now)
        conversation.turn += 1
        if conversation.turn < workload.turns:
            conversation.tokens += workload.growth_tokens
            pause_s = rng.expovariate(1 / workload.think_s) + 5.0
            call_at(now + pause_s, lambda at: start_turn(conversation, at))

    def start_conversation(now: float) -> None:
        tokens = rng.choices(workload.first_tokens, workload.first_weights)[0]
        start_turn(
            _Conversation(next(conversation_numbers), tokens, spec.block_tokens), now
        )
        if now < workload.seconds:
            call_at(now + rng.expovariate(arrivals_per_s), start_conversation)

    conversation_numbers = count(1)
    call_at(0.0, start_conversation)
    while events:
        now, _, action = heapq.heappop(events)
        advance(now)
        action(now)
    advance(1e9)
    ttfts_s.sort()
    return Result(
        len(ttfts_s),
        sum(ttfts_s) / len(ttfts_s),
        ttfts_s[len(ttfts_s) // 2],
        ttfts_s[int(len(ttfts_s) * 0.95)],
        moved_count,
    )


app = cyclopts.App(help="Measure whether moving cached prefixes saves time.")


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
    """Print one JSON line for each transfer rate; 0 means that nothing is moved.

    Parameters
    ----------
    load
        Load relative to the prefill capacity of the engines.
    seconds
        Simulated seconds in which conversations start.
    first_tokens
        Possible lengths of the first prompt of a conversation.
    first_weights
        Relative weights of these lengths.
    move_tokens_per_s
        Transfer rates to compare.
    """
    for transfer_tokens_per_s in move_tokens_per_s:
        workload = Workload(
            load=load,
            seconds=seconds,
            first_tokens=first_tokens,
            first_weights=first_weights,
        )
        result = simulate(workload, seed, transfer_tokens_per_s)
        fields = {
            "load": load,
            "seed": seed,
            "move_tokens_per_s": transfer_tokens_per_s,
        }
        print(json.dumps(fields | msgspec.to_builtins(result)), flush=True)


if __name__ == "__main__":
    sys.exit(app())
