"""Account for the KV memory of the engine model and list who holds it."""

import random

from dandelionpond_standins.engine_cache import PrefixCache
from dandelionpond_standins.engine_types import (
    EngineSpec,
    ExportedBlock,
    Holding,
    ModelRequest,
)


class Held:
    """Track memory held under one identifier."""

    __slots__ = ("blocks", "expires", "kind", "model", "owner", "private")

    def __init__(
        self, kind: str, owner: str, private: int, expires: float, model: str = ""
    ) -> None:
        self.kind = kind
        self.owner = owner
        self.private = private
        self.expires = expires
        self.model = model
        self.blocks: tuple[int, ...] = ()


class Run:
    """Track the progress of one request."""

    __slots__ = ("done", "first_step", "held", "left", "order", "reported", "request")

    def __init__(self, request: ModelRequest, order: tuple[int, int]) -> None:
        self.request = request
        self.order = order
        self.left = (
            request.local_tokens or request.prompt_tokens
        ) + request.from_offset
        self.first_step = 0
        self.reported = 0
        self.done = False
        self.held: Held | None = None

    def __lt__(self, other: "Run") -> bool:
        return self.order < other.order


class EngineMemory:
    """Own all holdings and the prefix cache; times are on the model's clock."""

    __slots__ = ("_private", "_spec", "cache", "held")

    def __init__(self, spec: EngineSpec, random_source: random.Random) -> None:
        self._spec = spec
        self._private = 0
        self.cache = PrefixCache(spec.event_gap_ratio, random_source)
        self.held: dict[str, Held] = {}

    @property
    def used(self) -> int:
        """Return the tokens in use, without evictable cache."""
        return self._private + self.cache.pinned_blocks * self._spec.block_tokens

    def listing(self, now: float) -> list[Holding]:
        """List everything held with its remaining seconds."""
        return [
            Holding(
                name,
                held.kind,
                held.owner,
                held.private + len(held.blocks) * self._spec.block_tokens,
                held.expires - now,
            )
            for name, held in self.held.items()
        ]

    def make_room(self, tokens: int, now: float) -> bool:
        """Evict cache until `tokens` are free; change nothing if that cannot be."""
        size = self._spec.block_tokens
        spare = self._spec.kv_capacity_tokens - self.used
        if tokens > spare:
            return False
        over = tokens + self.cache.idle_blocks * size - spare
        if over > 0:
            self.cache.evict(-(-over // size), now)
        return True

    def take(self, held: Held, prompt: tuple[int, ...], size: int, now: float) -> int:
        """Give a stream its memory and return its cached tokens, or -1 if it must wait.

        `prompt` has the hashes that may be used from the cache, `size` is in tokens.
        """
        blocks = prompt[: self.cache.match(prompt)]
        cached = len(blocks) * self._spec.block_tokens
        self.pin(held, blocks, now)
        if not self.make_room(size - cached, now):
            self.cache.unpin(blocks)
            held.blocks = ()
            return -1
        held.private = size - cached
        self._private += held.private
        return cached

    def share(self, held: Held, prompt: tuple[int, ...], now: float) -> None:
        """Move the computed blocks of a prompt from private memory to the cache."""
        fresh = prompt[len(held.blocks) :]
        fresh = fresh[: held.private // self._spec.block_tokens]
        self.cache.pin(fresh, now)
        held.blocks += fresh
        moved = len(fresh) * self._spec.block_tokens
        held.private -= moved
        self._private -= moved

    def pin(self, held: Held, blocks: tuple[int, ...], now: float) -> None:
        """Hold cached blocks."""
        self.cache.pin(blocks, now)
        held.blocks = blocks

    def free(self, holding_id: str) -> bool:
        """Free a holding; false if nothing is held under the identifier."""
        held = self.held.pop(holding_id, None)
        if held is None:
            return False
        self._private -= held.private
        self.cache.unpin(held.blocks)
        return True

    def reserve(
        self, name: str, owner: str, tokens: int, ttl_s: float, now: float
    ) -> bool:
        """Reserve memory; a repeat by the same owner only renews."""
        held = self.held.get(name)
        if held is not None:
            if held.owner != owner:
                return False
            held.expires = now + ttl_s
            return True
        if not self.make_room(tokens, now):
            return False
        self.held[name] = Held("reservation", owner, tokens, now + ttl_s)
        self._private += tokens
        return True

    def export(
        self,
        name: str,
        owner: str,
        model: str,
        prompt: tuple[int, ...],
        ttl_s: float,
        now: float,
    ) -> ExportedBlock | None:
        """Hold the cached leading blocks of a prompt; None if none is cached."""
        blocks = prompt[: self.cache.match(prompt)]
        if not blocks or name in self.held:
            return None
        held = self.held[name] = Held("export", owner, 0, now + ttl_s, model)
        self.pin(held, blocks, now)
        return ExportedBlock(name, model, len(blocks) * self._spec.block_tokens, blocks)

    def import_(
        self, name: str, owner: str, block: ExportedBlock, ttl_s: float, now: float
    ) -> bool:
        """Hold exported blocks; false without memory or for another owner's name."""
        if name in self.held:
            return self.held[name].owner == owner
        known = self.cache.match(block.prefix_hashes)
        held = self.held[name] = Held("import", owner, 0, now + ttl_s, block.model)
        self.pin(held, block.prefix_hashes[:known], now)
        # Later blocks may be cached as well; counting them as missing only evicts more.
        missing = len(block.prefix_hashes) - known
        if not self.make_room(missing * self._spec.block_tokens, now):
            self.free(name)
            return False
        self.cache.unpin(held.blocks)
        self.pin(held, block.prefix_hashes, now)
        return True
