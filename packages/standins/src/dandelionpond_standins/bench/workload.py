"""Generate open-loop arrivals with fixed seeds."""

import bisect
import math
import random

import msgspec

from dandelionpond_standins.engine_model import EngineSpec, ideal_ttft

NODE_COUNT = 5
MIN_PROMPT_TOKENS = 1_000
LONG_PROMPT_TOKENS = 100_000
MAX_PROMPT_TOKENS = 1_000_000
LONG_PROMPT_SHARE = 1 / 50

# Relative demand of ten client accounts: three large ones make two thirds of it.
ACCOUNT_DEMANDS = {
    f"account-{index}": share
    for index, share in enumerate((30, 20, 15, 10, 5, 5, 5, 4, 3, 3))
}
_MAX_ANSWER = 256
_PREFIX_SHARE = 0.3
_PREFIXES_PER_ACCOUNT = 8


class Deployment(msgspec.Struct, frozen=True):
    """Describe a fleet and its published weight of short prompts."""

    name: str
    engines: int
    short_weight: float


DEPLOYMENTS = (Deployment("mwambao", 16, 1.0), Deployment("brambilla", 20, 0.3))


class Arrival(msgspec.Struct, frozen=True):
    """Describe one request; times in seconds, `hashes` cover the shared prefix."""

    request_id: str
    at: float
    node: int
    account: str
    prompt_tokens: int
    max_tokens: int
    hashes: tuple[int, ...]
    timeout_s: float

    @property
    def tokens(self) -> int:
        """Return prompt and answer tokens."""
        return self.prompt_tokens + self.max_tokens


def engine_time_s(spec: EngineSpec, prompt_tokens: float, max_tokens: float) -> float:
    """Return engine seconds for one request in full batches, without cached prefixes.

    A full step takes the base time and prefills one chunk; each generated token takes
    its own time and one place in a chunk.
    """
    step = spec.step_base_s + spec.chunk_tokens / spec.prefill_tokens_per_s
    places = (prompt_tokens + max_tokens) / spec.chunk_tokens * step
    return places + max_tokens * spec.step_sequence_s


def _log_uniform(source: random.Random, low: float, high: float) -> int:
    return int(math.exp(source.uniform(math.log(low), math.log(high))))


def _mean_work_s(spec: EngineSpec) -> float:
    def mean(low: float, high: float) -> float:
        return (high - low) / math.log(high / low)

    prompt = (1 - LONG_PROMPT_SHARE) * mean(MIN_PROMPT_TOKENS, LONG_PROMPT_TOKENS)
    prompt += LONG_PROMPT_SHARE * mean(LONG_PROMPT_TOKENS, MAX_PROMPT_TOKENS)
    return engine_time_s(spec, prompt, mean(16, _MAX_ANSWER))


def generate_arrivals(
    deployment: Deployment, spec: EngineSpec, load: float, seconds: float, seed: int
) -> list[Arrival]:
    """Return Poisson arrivals at `load` times the fleet's capacity.

    Capacity is the number of engines over the mean engine time of a request. Prompt
    lengths are log-uniform from 1,000 to 100,000 tokens, and one in fifty from 100,000
    to 1,000,000. Three in ten prompts start with one of their account's prefixes.
    """
    source = random.Random(f"{deployment.name}/{load}/{seed}")
    rate = load * deployment.engines / _mean_work_s(spec)
    names = list(ACCOUNT_DEMANDS)
    weights = list(ACCOUNT_DEMANDS.values())
    prefixes = {
        name: [
            tuple(
                source.getrandbits(63)
                for _ in range(_log_uniform(source, 1_024, 16_384) // spec.block_tokens)
            )
            for _ in range(_PREFIXES_PER_ACCOUNT)
        ]
        for name in names
    }
    arrivals: list[Arrival] = []
    now = 0.0
    while True:
        now += source.expovariate(rate)
        if now >= seconds:
            return arrivals
        account = source.choices(names, weights)[0]
        if source.random() < LONG_PROMPT_SHARE:
            prompt = _log_uniform(source, LONG_PROMPT_TOKENS + 1, MAX_PROMPT_TOKENS)
        else:
            prompt = _log_uniform(source, MIN_PROMPT_TOKENS, LONG_PROMPT_TOKENS)
        answer = _log_uniform(source, 16, _MAX_ANSWER)
        hashes: tuple[int, ...] = ()
        if source.random() < _PREFIX_SHARE:
            prefix = source.choice(prefixes[account])
            hashes = prefix[: prompt // 2 // spec.block_tokens]
        # A caller waits 30 s and ten times what an idle engine needs; a token of the
        # answer takes up to a full step of 0.11 s.
        timeout = 30.0 + 10.0 * ideal_ttft(spec, prompt, 0) + 0.2 * answer
        name = f"{deployment.name}-{len(arrivals)}"
        node = source.randrange(NODE_COUNT)
        arrivals.append(
            Arrival(name, now, node, account, prompt, answer, hashes, timeout)
        )


LENGTH_RANGES = ("1k-4k", "4k-20k", "20k-100k", "100k-400k", "400k-1M")
_RANGE_BOUNDS_TOKENS = (4_000, 20_000, 100_000, 400_000)


def length_range(tokens: int) -> str:
    """Return the name of the range of prompt lengths for the report."""
    return LENGTH_RANGES[bisect.bisect_left(_RANGE_BOUNDS_TOKENS, tokens)]
