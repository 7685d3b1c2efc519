"""Prefix cache of the engine model and its events."""

import random
from collections import OrderedDict, deque
from collections.abc import Iterable

from dandelionpond_standins.engine_types import CacheEvent

# Enough for several seconds of changes at full load. A reader that is further behind
# sees a gap in the sequence numbers and must treat the state of the cache as unknown.
MAX_EVENTS = 4_096


class PrefixCache:
    """A cache of blocks by hash that evicts the least recently used unpinned block.

    A block is pinned while at least one holding uses it, and idle otherwise.
    `gap_ratio` is the share of events from 0 to 1 that are dropped.
    """

    __slots__ = ("_events", "_gap_ratio", "_idle", "_pinned", "_random", "_seq")

    def __init__(self, gap_ratio: float, random_source: random.Random) -> None:
        self._pinned: dict[int, int] = {}
        self._idle: OrderedDict[int, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._seq = 0
        self._gap_ratio = gap_ratio
        self._random = random_source

    @property
    def pinned_blocks(self) -> int:
        """Return the number of pinned blocks."""
        return len(self._pinned)

    @property
    def idle_blocks(self) -> int:
        """Return the number of idle blocks, which may be evicted."""
        return len(self._idle)

    def match(self, hashes: tuple[int, ...]) -> int:
        """Return how many leading blocks of a prompt are cached."""
        for index, block in enumerate(hashes):
            if block not in self._pinned and block not in self._idle:
                return index
        return len(hashes)

    def pin(self, hashes: Iterable[int], now: float) -> None:
        """Add one user to each block and store the blocks that are missing."""
        stored = []
        for block in hashes:
            if block in self._pinned:
                self._pinned[block] += 1
                continue
            if block in self._idle:
                del self._idle[block]
            else:
                stored.append(block)
            self._pinned[block] = 1
        if stored:
            self._publish("stored", tuple(stored), now)

    def unpin(self, hashes: tuple[int, ...]) -> None:
        """Remove one user from each block.

        Later blocks of a prompt are evicted before earlier ones.
        """
        for block in reversed(hashes):
            user_count = self._pinned[block] - 1
            if user_count:
                self._pinned[block] = user_count
            else:
                del self._pinned[block]
                self._idle[block] = None

    def evict(self, count: int, now: float) -> None:
        """Evict up to `count` idle blocks, the least recently used first."""
        removed = []
        while count > len(removed) and self._idle:
            removed.append(self._idle.popitem(last=False)[0])
        if removed:
            self._publish("removed", tuple(removed), now)

    def events(self, from_seq: int, until: float) -> list[CacheEvent]:
        """Return the events with `seq >= from_seq` up to the time `until`."""
        return [
            event
            for event in self._events
            if event.seq >= from_seq and event.at <= until
        ]

    def _publish(self, action: str, hashes: tuple[int, ...], now: float) -> None:
        self._seq += 1
        if self._random.random() >= self._gap_ratio:
            self._events.append(CacheEvent(self._seq, action, hashes, now))
