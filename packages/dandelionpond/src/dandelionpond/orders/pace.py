"""Divide the weight store's rate over the fleet."""

from collections.abc import Iterable

from dandelionpond import hashing
from dandelionpond.orders.messages import EngineChange
from dandelionpond.orders.settings import OrdersSettings

Load = tuple[str, EngineChange]


class LoadPace:
    """Decide when a load may start, without communication between nodes.

    All nodes see the same change of the settings and put the loads that it needs into
    the same order, one every `1 / weight_store_loads_per_s` seconds. Other loads, as
    after the restart of an engine, use this node's share of the rate, which is its part
    of all engines; at most one of them starts at once. Times are monotonic seconds.
    """

    __slots__ = ("_at", "_level", "_rollout_end", "_settings", "_slots")

    def __init__(self, settings: OrdersSettings) -> None:
        self._settings = settings
        self._slots: dict[Load, float] = {}
        self._rollout_end = 0.0
        self._level = 1.0
        self._at = 0.0

    def configure(self, settings: OrdersSettings) -> None:
        """Take new settings; slots that were given stay."""
        self._settings = settings

    def roll_out(self, loads: Iterable[Load], keep: set[str], now: float) -> None:
        """Give each new load of the fleet its slot; only engines in `keep` are stored.

        The table holds one entry for each load of the engines of this failure domain.
        """
        ordered = sorted(loads, key=lambda load: hashing.score(_text(load[1]), load[0]))
        start = max(now, self._rollout_end)
        for index, load in enumerate(ordered):
            # A burst starts at once, the rest at the store's rate.
            wait = max(0, index + 1 - self._settings.weight_store_burst)
            at = start + wait / self._settings.weight_store_loads_per_s
            self._rollout_end = at
            if load[0] in keep:
                self._slots[load] = at

    def retain(self, needed: set[Load]) -> None:
        """Drop the slots of loads that no engine needs any more."""
        self._slots = {load: at for load, at in self._slots.items() if load in needed}

    def may_start(self, load: Load, share: float, now: float) -> bool:
        """Return whether a load may start and, if so, use up its slot or the share."""
        rate = self._settings.weight_store_loads_per_s * share
        self._level = min(1.0, self._level + max(0.0, now - self._at) * rate)
        self._at = now
        slot = self._slots.get(load)
        if slot is not None:
            if now < slot:
                return False
            del self._slots[load]
            return True
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


def _text(change: EngineChange) -> str:
    return f"{change.model}/{change.version}/{change.adapter}"
