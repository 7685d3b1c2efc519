"""Which engines are believed to have which prompt prefixes in their cache."""

from collections import OrderedDict

from dandelionpond.prefixes.messages import CacheEvent, PrefixSettings

# Certainty below which a block does not count as cached.
_MIN_CERTAINTY = 0.05
# Blocks with news in this many seconds are kept when an engine reports little memory:
# running prompts still use them, and the report may be older than the news.
_RECENT_S = 10.0
# Weight of one observation in the share of expected savings that an engine gave.
_SAVING_LEARNING_RATE = 0.2
# Share of the expected savings below which an engine's cache counts for less. Work of
# other nodes that no report shows yet makes savings appear smaller than they are.
_TRUSTED_SAVING_SHARE = 0.5
# Smallest weight of an engine's cache. At zero its savings could not be observed again.
_MIN_TRUST = 0.1


class _Confirmation:
    """The time of the latest news of some blocks, and the gaps counted by then."""

    __slots__ = ("at", "gaps")

    def __init__(self, at: float, gaps: int) -> None:
        self.at = at
        self.gaps = gaps


class _EngineCache:
    """The blocks of one engine, the least recently used first."""

    __slots__ = ("blocks", "gaps", "last_seq", "saving_share")

    def __init__(self) -> None:
        self.blocks: OrderedDict[int, _Confirmation] = OrderedDict()
        self.gaps = 0
        self.last_seq: int | None = None
        self.saving_share = 1.0

    @property
    def trust(self) -> float:
        """Return the weight of the engine's cache, from the savings it gave."""
        return max(_MIN_TRUST, min(1.0, self.saving_share / _TRUSTED_SAVING_SHARE))


class PrefixTable:
    """The blocks that each engine is believed to hold.

    The sources are this node's own prompts, the engines' cache events and their memory
    reports. A block is forgotten when an event says so, when its engine lacks the
    memory for it, when the only prompt that brought it there ended without a token, and
    with all others when its engine is dropped. Its certainty halves with each half-life
    without news and with each later gap in the numbers of events, because the lost
    events may have removed it.
    """

    __slots__ = (
        "_block_count",
        "_engines",
        "_settings",
        "_unconfirmed",
        "dropped_engines",
        "evicted_blocks",
        "memory_evictions",
        "sequence_gaps",
        "withdrawn_blocks",
    )

    def __init__(self, settings: PrefixSettings) -> None:
        self._settings = settings
        self._engines: dict[str, _EngineCache] = {}
        self._block_count = 0
        # Blocks that an open request without a token brought to its engine.
        self._unconfirmed: dict[str, tuple[str, _Confirmation, tuple[int, ...]]] = {}
        self.dropped_engines = 0
        self.evicted_blocks = 0
        self.memory_evictions = 0
        self.sequence_gaps = 0
        self.withdrawn_blocks = 0

    def __len__(self) -> int:
        """Return the number of blocks kept, counted once for each engine."""
        return self._block_count

    def read_counters(self) -> dict[str, int]:
        """Return how many blocks and engines were forgotten, by reason."""
        return {
            "dropped_engines": self.dropped_engines,
            "evicted_blocks": self.evicted_blocks,
            "memory_evictions": self.memory_evictions,
            "sequence_gaps": self.sequence_gaps,
            "withdrawn_blocks": self.withdrawn_blocks,
        }

    def configure(self, settings: PrefixSettings) -> None:
        """Apply new settings to the events that follow."""
        if not settings.is_enabled:
            self._engines.clear()
            self._unconfirmed.clear()
            self._block_count = 0
        self._settings = settings

    def record_sent(
        self, request_id: str, engine: str, hashes: tuple[int, ...], now: float
    ) -> None:
        """Record that a prompt was sent to an engine, which then caches its blocks."""
        if not hashes or not self._settings.is_enabled:
            return
        self.withdraw(request_id)
        cache = self._engines.setdefault(engine, _EngineCache())
        confirmation = _Confirmation(now, cache.gaps)
        new_blocks = tuple(block for block in hashes if block not in cache.blocks)
        if new_blocks and len(self._unconfirmed) < self._settings.max_open_requests:
            self._unconfirmed[request_id] = engine, confirmation, new_blocks
        self._confirm(cache, hashes, confirmation)

    def record_first_token(self, request_id: str) -> None:
        """Record a prompt's first token: its engine has processed the blocks."""
        self._unconfirmed.pop(request_id, None)

    def withdraw(self, request_id: str) -> None:
        """Forget the blocks of a request that ended or moved before its first token.

        Blocks of which there was other news in the meantime are kept.
        """
        unconfirmed = self._unconfirmed.pop(request_id, None)
        if unconfirmed is None:
            return
        engine, confirmation, blocks = unconfirmed
        cache = self._engines.get(engine)
        if cache is None:
            return
        for block in blocks:
            if cache.blocks.get(block) is confirmation:
                del cache.blocks[block]
                self._block_count -= 1
                self.withdrawn_blocks += 1

    def apply_event(self, event: CacheEvent, now: float) -> None:
        """Apply a cache event; old ones are ignored and a gap lowers the certainty."""
        if not self._settings.is_enabled:
            return
        cache = self._engines.setdefault(event.engine, _EngineCache())
        if cache.last_seq is not None:
            if event.seq <= cache.last_seq:
                return
            if event.seq > cache.last_seq + 1:
                self.sequence_gaps += 1
                cache.gaps += 1
        if event.cleared:
            self._clear(cache)
        cache.last_seq = event.seq
        for block in event.removed:
            if cache.blocks.pop(block, None) is not None:
                self._block_count -= 1
        if event.added:
            self._confirm(cache, event.added, _Confirmation(now, cache.gaps))

    def record_memory(self, engine: str, idle_tokens: float, now: float) -> None:
        """Record how much memory of an engine no request uses.

        Engines evict the least recently used blocks that no request uses, so only the
        latest ones can be left in that memory.
        """
        cache = self._engines.get(engine)
        if cache is None:
            return
        room = int(max(0.0, idle_tokens) // self._settings.block_tokens)
        while len(cache.blocks) > room:
            block, confirmation = next(iter(cache.blocks.items()))
            if now - confirmation.at < _RECENT_S:
                return
            del cache.blocks[block]
            self._block_count -= 1
            self.memory_evictions += 1

    def record_saving(self, engine: str, share: float) -> None:
        """Record the share of an expected saving that an engine gave.

        The share exceeds 1 if the engine saved more than its trust let expect.
        """
        cache = self._engines.get(engine)
        if cache is not None:
            share = min(1.0, max(0.0, share * cache.trust))
            cache.saving_share += _SAVING_LEARNING_RATE * (share - cache.saving_share)

    def drop_engine(self, engine: str) -> None:
        """Drop all data about an engine that restarted or is out of use."""
        cache = self._engines.pop(engine, None)
        if cache is not None:
            self._block_count -= len(cache.blocks)
            self.dropped_engines += 1

    def cached_tokens(self, hashes: tuple[int, ...], now: float) -> dict[str, float]:
        """Return the expected cached tokens of a prompt by engine.

        Only an unbroken run of blocks from the start of the prompt counts, because a
        prefix cache reuses nothing else. The count is weighted by the certainty.
        """
        expected: dict[str, float] = {}
        if not hashes:
            return expected
        for name, cache in self._engines.items():
            blocks = cache.blocks
            if hashes[0] not in blocks:
                continue
            weight, total = 1.0, 0.0
            last: _Confirmation | None = None
            for block in hashes:
                confirmation = blocks.get(block)
                if confirmation is None:
                    break
                # Most blocks of a prompt have the same confirmation.
                if confirmation is not last:
                    last = confirmation
                    weight = min(weight, self._certainty(cache, confirmation, now))
                    if weight < _MIN_CERTAINTY:
                        break
                total += weight
            if total > 0.0:
                expected[name] = total * self._settings.block_tokens * cache.trust
        return expected

    def _certainty(
        self, cache: _EngineCache, confirmation: _Confirmation, now: float
    ) -> float:
        age_s = max(0.0, now - confirmation.at)
        halvings = age_s / self._settings.half_life_s + cache.gaps - confirmation.gaps
        return float(0.5**halvings)

    def _confirm(
        self, cache: _EngineCache, blocks: tuple[int, ...], confirmation: _Confirmation
    ) -> None:
        # The last block of a prompt is the first to be evicted, as in engines: the
        # blocks behind a missing one cannot be reused.
        for block in reversed(blocks):
            if block not in cache.blocks:
                self._block_count += 1
            cache.blocks[block] = confirmation
            cache.blocks.move_to_end(block)
        while self._block_count > self._settings.max_blocks:
            largest = max(self._engines.values(), key=lambda item: len(item.blocks))
            largest.blocks.popitem(last=False)
            self._block_count -= 1
            self.evicted_blocks += 1

    def _clear(self, cache: _EngineCache) -> None:
        self._block_count -= len(cache.blocks)
        cache.blocks.clear()
        cache.gaps = 0
