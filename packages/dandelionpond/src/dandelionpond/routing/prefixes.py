"""Remember which engines hold which prompt prefixes."""

from collections import OrderedDict

import msgspec

from dandelionpond.routing.settings import RoutingSettings

_ENGINES_PER_BLOCK = 4
# Knowledge after a gap in the event numbers is worth half; each event in sequence
# restores a tenth of what is missing.
_GAP_FACTOR = 0.5
_RECOVERY = 0.1
# Own sends are known to have been cached once, but eviction is only heard of late.
_MIN_CERTAINTY = 0.1


class CacheEvent(msgspec.Struct, frozen=True):
    """Describe a change of an engine's prefix cache; `seq` grows by one each."""

    engine: str
    seq: int
    added: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()
    cleared: bool = False


class PrefixMap:
    """Map block hashes to engines, fed by own sends and by cache events.

    At most `max_prefix_blocks` blocks are kept; the least recently used one is dropped
    and counted in `evicted`. A block lists at most four engines.
    """

    __slots__ = ("_blocks", "_certainty", "_policy", "_seqs", "evicted", "gaps")

    def __init__(self, policy: RoutingSettings) -> None:
        self._policy = policy
        self._blocks: OrderedDict[int, list[str]] = OrderedDict()
        self._seqs: dict[str, int] = {}
        self._certainty: dict[str, float] = {}
        self.evicted = 0
        self.gaps = 0

    def __len__(self) -> int:
        """Return the number of blocks kept."""
        return len(self._blocks)

    def certainty(self, engine: str) -> float:
        """Return the trust in what is known of an engine's cache, from 0.1 to 1."""
        return self._certainty.get(engine, 1.0)

    def configure(self, policy: RoutingSettings) -> None:
        """Take new settings from the next event on."""
        self._policy = policy

    def sent(self, engine: str, hashes: tuple[int, ...]) -> None:
        """Record that an engine computes, and so caches, a prompt's blocks."""
        for block in hashes:
            self._add(engine, block)

    def apply(self, event: CacheEvent) -> None:
        """Apply a cache event; an old one is ignored and a gap lowers certainty."""
        expected = self._seqs.get(event.engine, event.seq - 1) + 1
        if event.seq < expected:
            return
        certainty = self.certainty(event.engine)
        if event.seq > expected:
            self.gaps += 1
            certainty = max(_MIN_CERTAINTY, certainty * _GAP_FACTOR)
        else:
            certainty += (1.0 - certainty) * _RECOVERY
        if event.cleared:
            self.forget(event.engine)
            certainty = 1.0
        self._seqs[event.engine] = event.seq
        self._certainty[event.engine] = certainty
        for block in event.removed:
            self._remove(event.engine, block)
        for block in event.added:
            self._add(event.engine, block)

    def forget(self, engine: str) -> None:
        """Drop everything known of an engine that restarted or left reach."""
        for block in [key for key, names in self._blocks.items() if engine in names]:
            self._remove(engine, block)
        self._seqs.pop(engine, None)
        self._certainty.pop(engine, None)

    def cached_tokens(self, hashes: tuple[int, ...]) -> dict[str, float]:
        """Return the expected cached tokens of a prompt for each engine with any.

        Only an unbroken run of blocks from the start counts, because a cache reuses
        prefixes alone. The count is weighted by the certainty.
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
        return {name: n * size * self.certainty(name) for name, n in depth.items()}

    def _add(self, engine: str, block: int) -> None:
        names = self._blocks.setdefault(block, [])
        if engine in names:
            names.remove(engine)
        names.append(engine)
        del names[:-_ENGINES_PER_BLOCK]
        self._blocks.move_to_end(block)
        if len(self._blocks) > self._policy.max_prefix_blocks:
            self._blocks.popitem(last=False)
            self.evicted += 1

    def _remove(self, engine: str, block: int) -> None:
        names = self._blocks.get(block)
        if names is not None and engine in names:
            names.remove(engine)
            if not names:
                del self._blocks[block]
