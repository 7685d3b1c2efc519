"""Parameters, requests, events and reports of the engine model.

Times are in seconds of the model's clock.
"""

import msgspec


class EngineSpec(msgspec.Struct, frozen=True):
    """Parameters of one engine.

    The duration of a step in seconds is `step_base_s + step_sequence_s * sequences +
    prefill_tokens / prefill_tokens_per_s`. The defaults are assumptions of the model,
    not measurements of a product: 20,000 prefill tokens/s and 400,000 tokens of memory
    are the defaults of the published settings; 8 ms and 0.1 ms give 2,000 to
    5,000 tokens/s at 16 to 64 decoding sequences; 2,048 tokens per step is a common
    chunk size in chunked prefill. Blocks of 256 tokens are larger than usual, so that a
    prompt of 1,000,000 tokens has only about 4,000 blocks. `event_gap_ratio` is the
    share of cache events from 0 to 1 that are dropped. If `self_expire` is true, the
    engine evicts holdings whose expiry has passed.
    """

    kv_capacity_tokens: int = 400_000
    prefill_tokens_per_s: float = 20_000.0
    step_base_s: float = 0.008
    step_sequence_s: float = 0.000_1
    chunk_tokens: int = 2_048
    block_tokens: int = 256
    max_running: int = 256
    max_waiting: int = 10_000
    report_lag_s: float = 0.5
    event_lag_s: float = 0.5
    event_gap_ratio: float = 0.0
    self_expire: bool = False


class ModelRequest(msgspec.Struct, frozen=True):
    """Request to generate `max_tokens - from_offset` tokens.

    `prefix_hashes` has one hash for each full block of the prompt. `local_tokens` is
    this engine's part of a prompt that is split over several engines; zero means the
    whole prompt. `reservation` is the identifier of a reservation whose memory the
    request takes over. If `retain_s` is above zero, the memory is held for that time
    after the last token.
    """

    request_id: str
    owner: str
    model: str
    prompt_tokens: int
    prefix_hashes: tuple[int, ...] = ()
    max_tokens: int = 16
    priority: int = 0
    expires_in_s: float = 30.0
    from_offset: int = 0
    local_tokens: int = 0
    reservation: str = ""
    retain_s: float = 0.0


class Submitted(msgspec.Struct, frozen=True):
    """Result of an accepted request.

    `cached_tokens` is the number of leading tokens of the prompt in the prefix cache.
    """

    request_id: str
    cached_tokens: int


class SubmitRefused(msgspec.Struct, frozen=True):
    """Result of a request that was refused and did not run.

    `reason` is `failing`, `too_large`, `queue_full` or `duplicate`.
    """

    request_id: str
    reason: str


class TokensGenerated(msgspec.Struct, frozen=True):
    """Event for `count` tokens from `offset` on; `at` is the time of the last one.

    `cached_tokens` is the part of the prompt that was taken from the prefix cache.
    """

    request_id: str
    offset: int
    count: int
    at: float
    cached_tokens: int = 0


class RequestFinished(msgspec.Struct, frozen=True):
    """Event for the end of a request; its memory is free unless it is retained."""

    request_id: str
    at: float


class RequestEvicted(msgspec.Struct, frozen=True):
    """Event for a request that the engine stopped because it had expired."""

    request_id: str
    at: float


ModelEvent = TokensGenerated | RequestFinished | RequestEvicted


class Holding(msgspec.Struct, frozen=True):
    """Memory held for an owner.

    `kind` is `stream`, `retained`, `reservation`, `export` or `import`.
    `expires_in_s` counts on the engine's clock and is negative after expiry.
    """

    holding_id: str
    kind: str
    owner: str
    tokens: int
    expires_in_s: float


class LoadReport(msgspec.Struct, frozen=True):
    """Load at the time `at`; `kv_tokens_used` does not include idle cache blocks.

    `queued_by_priority` has the `queued_prefill_tokens` for each request priority.
    """

    at: float
    queued_prefill_tokens: int
    running_requests: int
    waiting_requests: int
    kv_tokens_used: int
    queued_by_priority: dict[int, int] = {}


class CacheEvent(msgspec.Struct, frozen=True):
    """Event for blocks that were `stored` in or `removed` from the prefix cache."""

    seq: int
    action: str
    hashes: tuple[int, ...]
    at: float


class ExportedBlock(msgspec.Struct, frozen=True):
    """Identity of exported KV blocks, with which another engine imports them."""

    export_id: str
    model: str
    tokens: int
    prefix_hashes: tuple[int, ...]


def ideal_ttft(spec: EngineSpec, prompt_tokens: int, cached_tokens: int) -> float:
    """Return the time to first token in seconds on an engine with no other work."""
    uncached_tokens = max(1, prompt_tokens - cached_tokens)
    steps = -(-uncached_tokens // spec.chunk_tokens)
    return uncached_tokens / spec.prefill_tokens_per_s + steps * spec.step_base_s
