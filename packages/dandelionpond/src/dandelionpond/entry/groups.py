"""Reserve memory on several engines for one prompt, and give it back."""

import asyncio
import logging
from collections.abc import Mapping
from typing import Protocol

from expression import Ok, Result

from dandelionpond.entry.fleet import Fleet
from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.memory.groups import GroupReservations
from dandelionpond.memory.leases import LeaseTable
from dandelionpond.memory.messages import (
    GroupAction,
    GroupFailed,
    GroupReady,
    LeaseLost,
    PromptPart,
    Release,
    Renew,
    Reserve,
)
from dandelionpond.memory.settings import MemorySettings
from dandelionpond.published.messages import UpstreamEntry
from dandelionpond.runtime.tasks import Tasks

log = logging.getLogger("dandelionpond.memory")

# The platform permits memory without a user for four seconds, so what a node that died
# held must run out before.
SETTINGS = MemorySettings(
    lease_ttl_s=3.4,
    renew_after_s=1.0,
    release_retry_s=0.2,
    release_retry_max_s=1.0,
    group_timeout_s=0.8,
    max_groups=64,
    min_group_engines=2,
)
# Interval in seconds between two looks for due renewals and releases.
TICK_S = 0.1
# Time in seconds for one order; engines answer in milliseconds.
ORDER_TIMEOUT_S = 0.4


class EngineOrders(Protocol):
    """Give orders about memory to engines; implemented by an adapter."""

    async def reserve(
        self, entry: UpstreamEntry, holding: str, tokens: int, hold_s: float
    ) -> Result[None, Failure]:
        """Reserve or renew memory for `hold_s` seconds.

        The error `insufficient_memory` says that nothing was reserved; after others
        memory may be reserved.
        """
        ...

    async def release(
        self, entry: UpstreamEntry, holding: str
    ) -> Result[bool, Failure]:
        """Release memory; return whether the engine held it."""
        ...

    async def close(self) -> None:
        """Close the connections."""
        ...


class MemoryReservations:
    """Own the reservations of one node."""

    def __init__(self, fleet: Fleet, orders: EngineOrders, tasks: Tasks) -> None:
        self._fleet = fleet
        self._orders = orders
        self._tasks = tasks
        self._leases = LeaseTable(fleet.settings.name, SETTINGS, fleet.random)
        self._plan = GroupReservations(self._leases, SETTINGS)
        self._entries: dict[str, UpstreamEntry] = {}
        self._tokens: dict[str, int] = {}

    @property
    def active_count(self) -> int:
        """Return the number of reservations that are not given back."""
        return len(self._leases)

    @property
    def counters(self) -> dict[str, int]:
        """Return the counts of groups by outcome."""
        counts = self._plan.counters
        return {
            "ready": counts.ready,
            "refused": counts.refused,
            "timed_out": counts.timed_out,
            "part_failed": counts.part_failed,
        }

    def start(self) -> None:
        """Renew and release from now on."""
        self._tasks.every(lambda: TICK_S, self._tick, "memory")

    def holding_id(self, group: str, engine: str) -> str:
        """Return the identifier of a part's reservation."""
        return self._plan.holding_id(group, engine)

    async def reserve(
        self,
        group: str,
        parts: tuple[PromptPart, ...],
        entries: Mapping[str, UpstreamEntry],
    ) -> bool:
        """Reserve all parts, or none of them; return whether they are reserved."""
        for part in parts:
            self._entries[part.engine] = entries[part.engine]
            self._tokens[self.holding_id(group, part.engine)] = part.tokens
        started = self._plan.start(group, parts, self._fleet.now())
        if started.is_error():
            self._log(group, parts, started.error.message)
            return False
        actions = started.ok
        while actions:
            action = actions[0]
            match action:
                case Reserve():
                    actions = await self._reserve(action)
                case GroupReady():
                    self._log(group, parts, "reserved")
                    return True
                case GroupFailed(failure=failure):
                    self._log(group, parts, failure.message)
                    return False
        return False

    def release_group(self, group: str) -> None:
        """Give back what a group has reserved."""
        self._plan.finish(group, self._fleet.now())

    async def _reserve(self, action: Reserve) -> list[GroupAction]:
        fleet, group, engine = self._fleet, action.group, action.engine
        entry = self._entries[engine]
        try:
            found = await self._orders.reserve(
                entry, action.holding_id, action.tokens, action.ttl_s
            )
        except asyncio.CancelledError:
            self._plan.on_part_refused(group, engine, False, fleet.now())
            raise
        if found.is_ok():
            return self._plan.on_part_reserved(group, engine, fleet.now())
        is_certain = found.error.kind is ErrorKind.INSUFFICIENT_MEMORY
        return self._plan.on_part_refused(group, engine, is_certain, fleet.now())

    async def _tick(self) -> None:
        if not len(self._leases):
            self._entries.clear()
            self._tokens.clear()
            return
        now = self._fleet.now()
        for group_action in self._plan.tick(now):
            if isinstance(group_action, GroupFailed):
                log.warning("group failed", extra={"why": group_action.failure.message})
        for action in self._leases.tick(now):
            match action:
                case Renew():
                    self._tasks.spawn(self._renew(action), "renew-memory")
                case Release():
                    self._tasks.spawn(self._release(action), "release-memory")
                case LeaseLost(engine, holding_id):
                    self._lose(engine, holding_id)

    async def _renew(self, action: Renew) -> None:
        asked_at = self._fleet.now()
        entry = self._entries[action.engine]
        unknown = []
        for holding in action.holding_ids:
            tokens = self._tokens.get(holding)
            found: Result[None, Failure] = Ok(None)
            if tokens is not None:
                found = await self._orders.reserve(entry, holding, tokens, action.ttl_s)
            if found.is_error():
                if found.error.kind is ErrorKind.INSUFFICIENT_MEMORY:
                    unknown.append(holding)
                else:
                    # The lease ends by itself if no later renewal gets through.
                    log.warning("renewal failed", extra={"why": found.error.message})
                    return
        now = self._fleet.now()
        for lost in self._leases.on_renewed(action, unknown, asked_at, now):
            self._lose(lost.engine, lost.holding_id)

    async def _release(self, action: Release) -> None:
        entry = self._entries[action.engine]
        found = await self._orders.release(entry, action.holding_id)
        now = self._fleet.now()
        if found.is_ok():
            self._leases.on_released(action.engine, action.holding_id, found.ok, now)
        else:
            self._leases.on_release_failed(action.engine, now)
            log.warning(
                "release failed",
                extra={"upstream": action.engine, "why": found.error.message},
            )

    def _lose(self, engine: str, holding_id: str) -> None:
        now = self._fleet.now()
        log.warning("reserved memory lost", extra={"upstream": engine})
        for action in self._plan.on_lease_lost(engine, holding_id, now):
            if isinstance(action, GroupFailed):
                log.warning("group failed", extra={"why": action.failure.message})

    def _log(self, group: str, parts: tuple[PromptPart, ...], outcome: str) -> None:
        log.info(
            "memory of several engines",
            extra={
                "request_id": group,
                "parts": {part.engine: part.tokens for part in parts},
                "outcome": outcome,
            },
        )
