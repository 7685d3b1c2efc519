"""Open-loop workload of the benchmark, generated from a seed."""

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

# Demands of ten client accounts in percent; the three largest make up about two thirds.
ACCOUNT_DEMANDS = {
    f"account-{index}": share
    for index, share in enumerate((30, 20, 15, 10, 5, 5, 5, 4, 3, 3))
}
_MAX_RESPONSE_TOKENS = 256
_SHARED_PREFIX_SHARE = 0.3
_PREFIXES_PER_ACCOUNT = 8


class Deployment(msgspec.Struct, frozen=True):
    """A fleet of `engines` engines and its published weight of short prompts."""

    name: str
    engines: int
    short_weight: float


DEPLOYMENTS = (Deployment("mwambao", 16, 1.0), Deployment("brambilla", 20, 0.3))


class Arrival(msgspec.Struct, frozen=True):
    """A request and the node that it reaches; times are in seconds.

    `hashes` are the block hashes of the prefix that it shares with other requests.
    """

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
        """The number of prompt and response tokens."""
        return self.prompt_tokens + self.max_tokens


def engine_time_s(spec: EngineSpec, prompt_tokens: float, max_tokens: float) -> float:
    """Return the engine time of one request in full batches, without cached prefixes.

    A full step takes its base time plus the time to prefill one chunk. Each generated
    token adds `step_sequence_s` and takes the place of one prefill token in a chunk.
    """
    step_s = spec.step_base_s + spec.chunk_tokens / spec.prefill_tokens_per_s
    chunks_s = (prompt_tokens + max_tokens) / spec.chunk_tokens * step_s
    return chunks_s + max_tokens * spec.step_sequence_s


def _log_uniform(rng: random.Random, low: float, high: float) -> int:
    return int(math.exp(rng.uniform(math.log(low), math.log(high))))


def _mean_engine_time_s(spec: EngineSpec) -> float:
    def log_uniform_mean(low: float, high: float) -> float:
        return (high - low) / math.log(high / low)

    prompt_tokens = (1 - LONG_PROMPT_SHARE) * log_uniform_mean(
        MIN_PROMPT_TOKENS, LONG_PROMPT_TOKENS
    )
    prompt_tokens += LONG_PROMPT_SHARE * log_uniform_mean(
        LONG_PROMPT_TOKENS, MAX_PROMPT_TOKENS
    )
    return engine_time_s(
        spec, prompt_tokens, log_uniform_mean(16, _MAX_RESPONSE_TOKENS)
    )


def generate_arrivals(
    deployment: Deployment, spec: EngineSpec, load: float, seconds: float, seed: int
) -> list[Arrival]:
    """Return Poisson arrivals at `load` times the fleet's capacity.

    Capacity in requests per second is the number of engines divided by the mean engine
    time of a request. Prompt lengths are log-uniform from 1,000 to 100,000 tokens, for
    one prompt in fifty from 100,000 to 1,000,000. Three in ten prompts start with a
    prefix that other prompts of their account share.
    """
    rng = random.Random(f"{deployment.name}/{load}/{seed}")
    arrivals_per_s = load * deployment.engines / _mean_engine_time_s(spec)
    accounts = list(ACCOUNT_DEMANDS)
    weights = list(ACCOUNT_DEMANDS.values())
    prefixes = {
        account: [
            tuple(
                rng.getrandbits(63)
                for _ in range(_log_uniform(rng, 1_024, 16_384) // spec.block_tokens)
            )
            for _ in range(_PREFIXES_PER_ACCOUNT)
        ]
        for account in accounts
    }
    arrivals: list[Arrival] = []
    now = 0.0
    while True:
        now += rng.expovariate(arrivals_per_s)
        if now >= seconds:
            return arrivals
        account = rng.choices(accounts, weights)[0]
        if rng.random() < LONG_PROMPT_SHARE:
            prompt_tokens = _log_uniform(rng, LONG_PROMPT_TOKENS + 1, MAX_PROMPT_TOKENS)
        else:
            prompt_tokens = _log_uniform(rng, MIN_PROMPT_TOKENS, LONG_PROMPT_TOKENS)
        response_tokens = _log_uniform(rng, 16, _MAX_RESPONSE_TOKENS)
        hashes: tuple[int, ...] = ()
        if rng.random() < _SHARED_PREFIX_SHARE:
            prefix = rng.choice(prefixes[account])
            hashes = prefix[: prompt_tokens // 2 // spec.block_tokens]
        # A caller waits for 30 s, ten times the time to first token of an idle engine
        # and 0.2 s per response token, which takes up to a full step of 0.11 s.
        timeout_s = (
            30.0 + 10.0 * ideal_ttft(spec, prompt_tokens, 0) + 0.2 * response_tokens
        )
        request_id = f"{deployment.name}-{len(arrivals)}"
        node = rng.randrange(NODE_COUNT)
        arrivals.append(
            Arrival(
                request_id,
                now,
                node,
                account,
                prompt_tokens,
                response_tokens,
                hashes,
                timeout_s,
            )
        )


LENGTH_RANGES = ("1k-4k", "4k-20k", "20k-100k", "100k-400k", "400k-1M")
_RANGE_BOUNDS_TOKENS = (4_000, 20_000, 100_000, 400_000)


def length_range(tokens: int) -> str:
    """Return the name of the length range in the report for a prompt of `tokens`."""
    return LENGTH_RANGES[bisect.bisect_left(_RANGE_BOUNDS_TOKENS, tokens)]
