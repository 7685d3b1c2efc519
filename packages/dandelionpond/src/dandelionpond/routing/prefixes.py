"""Which engines have which prompt prefixes in their cache."""

from collections import OrderedDict

import msgspec

from dandelionpond.routing.settings import RoutingSettings

_MAX_ENGINES_PER_BLOCK = 4
# A gap in the event numbers halves the certainty; each event in sequence restores a
# tenth of the missing part.
_GAP_CERTAINTY_FACTOR = 0.5
_CERTAINTY_RECOVERY = 0.1
# Certainty never falls to zero, because the prompts this node sent were cached once;
# their eviction is reported late.
_MIN_CERTAINTY = 0.1


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of an engine's prefix cache; `seq` grows by one with each event."""

    engine: str
    seq: int
    added: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()
    cleared: bool = False


class PrefixMap:
    """A map from block hashes to engines, from this node's requests and cache events.

    At most `max_prefix_blocks` blocks are kept; beyond that, the least recently used
    block is evicted and counted in `evicted_blocks`. Each block lists at most four
    engines.
    """

    __slots__ = (
        "_blocks",
        "_certainty",
        "_last_seqs",
        "_policy",
        "evicted_blocks",
        "sequence_gaps",
    )

    def __init__(self, policy: RoutingSettings) -> None:
        self._policy = policy
        self._blocks: OrderedDict[int, list[str]] = OrderedDict()
        self._last_seqs: dict[str, int] = {}
        self._certainty: dict[str, float] = {}
        self.evicted_blocks = 0
        self.sequence_gaps = 0

    def __len__(self) -> int:
        """Return the number of blocks kept."""
        return len(self._blocks)

    def certainty(self, engine: str) -> float:
        """Return the certainty of the data about an engine's cache, from 0.1 to 1."""
        return self._certainty.get(engine, 1.0)

    def configure(self, policy: RoutingSettings) -> None:
        """Apply new settings to the events that follow."""
        self._policy = policy

    def record_sent(self, engine: str, hashes: tuple[int, ...]) -> None:
        """Record that a prompt was sent to an engine, which then caches its blocks."""
        for block in hashes:
            self._add(engine, block)

    def apply_event(self, event: CacheEvent) -> None:
        """Apply a cache event; old ones are ignored and a gap lowers the certainty."""
        expected = self._last_seqs.get(event.engine, event.seq - 1) + 1
        if event.seq < expected:
            return
        certainty = self.certainty(event.engine)
        if event.seq > expected:
            self.sequence_gaps += 1
            certainty = max(_MIN_CERTAINTY, certainty * _GAP_CERTAINTY_FACTOR)
        else:
            certainty += (1.0 - certainty) * _CERTAINTY_RECOVERY
        if event.cleared:
            self.drop_engine(event.engine)
            certainty = 1.0
        self._last_seqs[event.engine] = event.seq
        self._certainty[event.engine] = certainty
        for block in event.removed:
            self._remove(event.engine, block)
        for block in event.added:
            self._add(event.engine, block)

    def drop_engine(self, engine: str) -> None:
        """Drop all data about an engine that cleared its cache or is out of reach."""
        for block in [key for key, names in self._blocks.items() if engine in names]:
            self._remove(engine, block)
        self._last_seqs.pop(engine, None)
        self._certainty.pop(engine, None)

    def cached_tokens(self, hashes: tuple[int, ...]) -> dict[str, float]:
        """Return the expected cached tokens of a prompt by engine.

        Only an unbroken run of blocks from the start of the prompt counts, because a
        prefix cache reuses nothing else. The count is weighted by the certainty.
        """
        depth: dict[str, int] = {}
        holders: set[str] | None = None
        for index, block in enumerate(hashes):
            names = set(self._blocks.get(block, ()))
            holders = names if holders is None else holders & names
            if not holders:
                break
            self._blocks.move_to_end(block)
            for name in holders:
                depth[name] = index + 1
        size = self._policy.prefix_block_tokens
        return {
            name: blocks * size * self.certainty(name) for name, blocks in depth.items()
        }

    def _add(self, engine: str, block: int) -> None:
        names = self._blocks.setdefault(block, [])
        if engine in names:
            names.remove(engine)
        names.append(engine)
        del names[:-_MAX_ENGINES_PER_BLOCK]
        self._blocks.move_to_end(block)
        if len(self._blocks) > self._policy.max_prefix_blocks:
            self._blocks.popitem(last=False)
            self.evicted_blocks += 1

    def _remove(self, engine: str, block: int) -> None:
        names = self._blocks.get(block)
        if names is not None and engine in names:
            names.remove(engine)
            if not names:
                del self._blocks[block]
