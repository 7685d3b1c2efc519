"""Limit the rate at which all engines together load from the weight store."""

from collections.abc import Iterable

from dandelionpond import hashing
from dandelionpond.orders.messages import EngineChange
from dandelionpond.orders.settings import OrdersSettings

Load = tuple[str, EngineChange]


class LoadScheduler:
    """Scheduler that decides when a load may start, without communication among nodes.

    All nodes see the same settings change and compute the same schedule of the loads
    that it needs, with one load every `1 / weight_store_loads_per_s` seconds. Other
    loads, such as those after the restart of an engine, are limited to this node's
    share of the rate, which is its share of all engines, with a burst of one. Times are
    in monotonic seconds.
    """

    __slots__ = (
        "_available",
        "_rollout_end",
        "_settings",
        "_start_times",
        "_updated_at",
    )

    def __init__(self, settings: OrdersSettings) -> None:
        self._settings = settings
        self._start_times: dict[Load, float] = {}
        self._rollout_end = 0.0
        self._available = 1.0
        self._updated_at = 0.0

    def configure(self, settings: OrdersSettings) -> None:
        """Apply new settings; loads that are already scheduled keep their times."""
        self._settings = settings

    def schedule_rollout(
        self, loads: Iterable[Load], local_engines: set[str], now: float
    ) -> None:
        """Schedule all new loads of the fleet and store those of `local_engines`.

        The table holds one entry for each load of the engines of this failure domain.
        """
        ordered_loads = sorted(
            loads, key=lambda load: hashing.score(_load_key(load[1]), load[0])
        )
        start = max(now, self._rollout_end)
        for index, load in enumerate(ordered_loads):
            # A burst starts immediately, the rest at the rate of the weight store.
            wait = max(0, index + 1 - self._settings.weight_store_burst)
            start_at = start + wait / self._settings.weight_store_loads_per_s
            self._rollout_end = start_at
            if load[0] in local_engines:
                self._start_times[load] = start_at

    def retain(self, needed: set[Load]) -> None:
        """Remove scheduled loads that no engine needs any more."""
        self._start_times = {
            load: start_at
            for load, start_at in self._start_times.items()
            if load in needed
        }

    def try_start(self, load: Load, share: float, now: float) -> bool:
        """Return whether a load may start; if so, count it as started.

        A scheduled load is removed from the schedule; any other is counted against
        `share`, this node's part of the rate.
        """
        share_per_s = self._settings.weight_store_loads_per_s * share
        self._available = min(
            1.0, self._available + max(0.0, now - self._updated_at) * share_per_s
        )
        self._updated_at = now
        start_at = self._start_times.get(load)
        if start_at is not None:
            if now < start_at:
                return False
            del self._start_times[load]
            return True
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True


def _load_key(change: EngineChange) -> str:
    return f"{change.model}/{change.version}/{change.adapter}"
