"""KV memory of the engine model: accounting and holdings."""

import random

from dandelionpond_standins.engine_cache import PrefixCache
from dandelionpond_standins.engine_types import (
    EngineSpec,
    ExportedBlock,
    Holding,
    ModelRequest,
)


class HoldingState:
    """Memory held under one identifier.

    `blocks` are pinned blocks of the prefix cache, `private_tokens` is memory outside
    it. `expires_at` is in seconds of the model's clock.
    """

    __slots__ = ("blocks", "expires_at", "kind", "model", "owner", "private_tokens")

    def __init__(
        self,
        kind: str,
        owner: str,
        private_tokens: int,
        expires_at: float,
        model: str = "",
    ) -> None:
        self.kind = kind
        self.owner = owner
        self.private_tokens = private_tokens
        self.expires_at = expires_at
        self.model = model
        self.blocks: tuple[int, ...] = ()


class RequestState:
    """Progress of one request, ordered by `queue_order`.

    `queue_order` is the priority and the number of the request. `prefill_remaining` is
    the number of prompt and already generated tokens that are not computed yet, and
    `cached_tokens` the part of them that was in the prefix cache.
    `first_decode_step` is the number of the step that gave the first token, and
    `reported_tokens` the number of tokens reported in events.
    """

    __slots__ = (
        "cached_tokens",
        "first_decode_step",
        "holding",
        "is_stopped",
        "prefill_remaining",
        "queue_order",
        "reported_tokens",
        "request",
    )

    def __init__(self, request: ModelRequest, queue_order: tuple[int, int]) -> None:
        self.request = request
        self.queue_order = queue_order
        self.prefill_remaining = (
            request.local_tokens or request.prompt_tokens
        ) + request.from_offset
        self.cached_tokens = 0
        self.first_decode_step = 0
        self.reported_tokens = 0
        self.is_stopped = False
        self.holding: HoldingState | None = None

    def __lt__(self, other: "RequestState") -> bool:
        return self.queue_order < other.queue_order


class EngineMemory:
    """All holdings of an engine and its prefix cache.

    Sizes are in tokens, times in seconds of the model's clock.
    """

    __slots__ = ("_private_tokens", "_spec", "cache", "holdings")

    def __init__(self, spec: EngineSpec, random_source: random.Random) -> None:
        self._spec = spec
        self._private_tokens = 0
        self.cache = PrefixCache(spec.event_gap_ratio, random_source)
        self.holdings: dict[str, HoldingState] = {}

    @property
    def used_tokens(self) -> int:
        """Return the tokens in use, without idle cache blocks."""
        return self._private_tokens + self.cache.pinned_blocks * self._spec.block_tokens

    def list_holdings(self, now: float) -> list[Holding]:
        """Return all holdings with the seconds until they expire."""
        return [
            Holding(
                holding_id,
                holding.kind,
                holding.owner,
                holding.private_tokens + len(holding.blocks) * self._spec.block_tokens,
                holding.expires_at - now,
            )
            for holding_id, holding in self.holdings.items()
        ]

    def ensure_free(self, tokens: int, now: float) -> bool:
        """Evict idle cache blocks until `tokens` are free.

        Return false and evict nothing if there is too little memory.
        """
        block_tokens = self._spec.block_tokens
        unused = self._spec.kv_capacity_tokens - self.used_tokens
        if tokens > unused:
            return False
        missing = tokens + self.cache.idle_blocks * block_tokens - unused
        if missing > 0:
            self.cache.evict(-(-missing // block_tokens), now)
        return True

    def allocate(
        self, holding: HoldingState, hashes: tuple[int, ...], tokens: int, now: float
    ) -> int:
        """Allocate `tokens` for a stream and return how many of them are cached.

        Return -1 and allocate nothing if there is too little memory. `hashes` are the
        blocks of the prompt that may be used from the cache.
        """
        blocks = hashes[: self.cache.match(hashes)]
        cached_tokens = len(blocks) * self._spec.block_tokens
        self.pin(holding, blocks, now)
        if not self.ensure_free(tokens - cached_tokens, now):
            self.cache.unpin(blocks)
            holding.blocks = ()
            return -1
        holding.private_tokens = tokens - cached_tokens
        self._private_tokens += holding.private_tokens
        return cached_tokens

    def move_to_cache(
        self, holding: HoldingState, hashes: tuple[int, ...], now: float
    ) -> None:
        """Move the computed blocks of a prompt from private memory to the cache."""
        new_blocks = hashes[len(holding.blocks) :]
        new_blocks = new_blocks[: holding.private_tokens // self._spec.block_tokens]
        self.cache.pin(new_blocks, now)
        holding.blocks += new_blocks
        moved_tokens = len(new_blocks) * self._spec.block_tokens
        holding.private_tokens -= moved_tokens
        self._private_tokens -= moved_tokens

    def pin(self, holding: HoldingState, blocks: tuple[int, ...], now: float) -> None:
        """Pin blocks in the cache and make them the blocks of a holding."""
        self.cache.pin(blocks, now)
        holding.blocks = blocks

    def free(self, holding_id: str) -> bool:
        """Free a holding; return false if it does not exist."""
        holding = self.holdings.pop(holding_id, None)
        if holding is None:
            return False
        self._private_tokens -= holding.private_tokens
        self.cache.unpin(holding.blocks)
        return True

    def reserve(
        self, holding_id: str, owner: str, tokens: int, ttl_s: float, now: float
    ) -> bool:
        """Reserve memory; return false if there is too little.

        A repeated call by the same owner only renews the holding. For an identifier of
        another owner the result is false.
        """
        holding = self.holdings.get(holding_id)
        if holding is not None:
            if holding.owner != owner:
                return False
            holding.expires_at = now + ttl_s
            return True
        if not self.ensure_free(tokens, now):
            return False
        self.holdings[holding_id] = HoldingState(
            "reservation", owner, tokens, now + ttl_s
        )
        self._private_tokens += tokens
        return True

    def export(
        self,
        holding_id: str,
        owner: str,
        model: str,
        hashes: tuple[int, ...],
        ttl_s: float,
        now: float,
    ) -> ExportedBlock | None:
        """Pin the cached leading blocks of a prompt for a transfer.

        Return None if none is cached or the identifier is in use.
        """
        blocks = hashes[: self.cache.match(hashes)]
        if not blocks or holding_id in self.holdings:
            return None
        holding = self.holdings[holding_id] = HoldingState(
            "export", owner, 0, now + ttl_s, model
        )
        self.pin(holding, blocks, now)
        return ExportedBlock(
            holding_id, model, len(blocks) * self._spec.block_tokens, blocks
        )

    def import_(
        self,
        holding_id: str,
        owner: str,
        block: ExportedBlock,
        ttl_s: float,
        now: float,
    ) -> bool:
        """Store exported blocks in the cache and pin them.

        Return false if there is too little memory. For an identifier in use, change
        nothing and return whether it belongs to the same owner.
        """
        if holding_id in self.holdings:
            return self.holdings[holding_id].owner == owner
        cached_blocks = self.cache.match(block.prefix_hashes)
        holding = self.holdings[holding_id] = HoldingState(
            "import", owner, 0, now + ttl_s, block.model
        )
        self.pin(holding, block.prefix_hashes[:cached_blocks], now)
        # Blocks behind the first missing one may be cached as well. Counting them as
        # missing can only evict more than necessary.
        missing_blocks = len(block.prefix_hashes) - cached_blocks
        if not self.ensure_free(missing_blocks * self._spec.block_tokens, now):
            self.free(holding_id)
            return False
        self.cache.unpin(holding.blocks)
        self.pin(holding, block.prefix_hashes, now)
        return True
