"""Memory reservations on several engines for one prompt."""

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import Protocol

from expression import Ok, Result

from dandelionpond.entry.fleet import Fleet
from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.forwarding.messages import ResponseHead
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

# The platform allows memory to stay reserved without a user for four seconds, so the
# leases of a node that crashed must expire earlier than that.
SETTINGS = MemorySettings(
    lease_ttl_s=3.4,
    renew_after_s=1.0,
    release_retry_s=0.2,
    release_retry_max_s=1.0,
    group_timeout_s=0.8,
    max_groups=64,
    min_group_engines=2,
)
# Interval in seconds between checks for due renewals and releases.
TICK_S = 0.1
# Timeout in seconds of a memory request; engines respond in milliseconds.
MEMORY_REQUEST_TIMEOUT_S = 0.4


class EngineMemoryClient(Protocol):
    """A client for the memory requests of engines; implemented by an adapter.

    `on_answer` is called with the head of each answer.
    """

    on_answer: Callable[[UpstreamEntry, ResponseHead], None]

    async def reserve(
        self, engine: UpstreamEntry, holding_id: str, tokens: int, hold_s: float
    ) -> Result[None, Failure]:
        """Reserve memory, or renew a reservation, for `hold_s` seconds.

        The error `insufficient_memory` means that the engine reserved nothing. After
        any other error the memory may be reserved.
        """
        ...

    async def release(
        self, engine: UpstreamEntry, holding_id: str
    ) -> Result[bool, Failure]:
        """Release a reservation and return whether the engine had it."""
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...


class MemoryReservations:
    """The engine memory reserved for this node's prompts, renewed until its release.

    The parts of one prompt form a group, which is reserved as a whole or not at all.
    """

    def __init__(
        self, fleet: Fleet, memory_client: EngineMemoryClient, tasks: Tasks
    ) -> None:
        self._fleet = fleet
        self._memory_client = memory_client
        self._tasks = tasks
        self._leases = LeaseTable(fleet.settings.name, SETTINGS, fleet.random)
        self._groups = GroupReservations(self._leases, SETTINGS)
        # Engines by instance and reserved tokens by holding id.
        self._engines: dict[str, UpstreamEntry] = {}
        self._tokens: dict[str, int] = {}

    @property
    def active_count(self) -> int:
        """Return the number of reservations that are not released yet."""
        return len(self._leases)

    @property
    def counters(self) -> dict[str, int]:
        """Return the number of groups by outcome."""
        counts = self._groups.counters
        return {
            "ready": counts.ready,
            "refused": counts.refused,
            "timed_out": counts.timed_out,
            "part_failed": counts.part_failed,
        }

    def start(self) -> None:
        """Start the periodic task that renews and releases reservations."""
        self._tasks.every(lambda: TICK_S, self._tick, "memory")

    def holding_id(self, group: str, engine: str) -> str:
        """Return the identifier of a group's reservation on an engine."""
        return self._groups.holding_id(group, engine)

    async def reserve(
        self,
        group: str,
        request_id: str,
        parts: tuple[PromptPart, ...],
        engines: Mapping[str, UpstreamEntry],
    ) -> bool:
        """Reserve memory for all parts and return whether that succeeded.

        If one part fails, the other ones are released. `request_id` is for the log.
        """
        for part in parts:
            self._engines[part.engine] = engines[part.engine]
            self._tokens[self.holding_id(group, part.engine)] = part.tokens
        started = self._groups.start(group, parts, self._fleet.now())
        if started.is_error():
            self._log_outcome(group, request_id, parts, started.error.message)
            return False
        actions = started.ok
        while actions:
            action = actions[0]
            match action:
                case Reserve():
                    actions = await self._reserve(action)
                case GroupReady():
                    self._log_outcome(group, request_id, parts, "reserved")
                    return True
                case GroupFailed(failure=failure):
                    self._log_outcome(group, request_id, parts, failure.message)
                    return False
        return False

    def release_group(self, group: str) -> None:
        """Schedule the release of a group's reservations."""
        self._groups.finish(group, self._fleet.now())

    async def _reserve(self, action: Reserve) -> list[GroupAction]:
        fleet, group, instance = self._fleet, action.group, action.engine
        engine = self._engines[instance]
        if engine.failure_domain in fleet.published.evacuated_domains:
            return self._groups.on_part_refused(group, instance, True, fleet.now())
        try:
            result = await self._memory_client.reserve(
                engine, action.holding_id, action.tokens, action.ttl_s
            )
        except asyncio.CancelledError:
            self._groups.on_part_refused(group, instance, False, fleet.now())
            raise
        if result.is_ok():
            return self._groups.on_part_reserved(group, instance, fleet.now())
        is_certain = result.error.kind is ErrorKind.INSUFFICIENT_MEMORY
        return self._groups.on_part_refused(group, instance, is_certain, fleet.now())

    async def _tick(self) -> None:
        if not len(self._leases):
            self._engines.clear()
            self._tokens.clear()
            return
        now = self._fleet.now()
        for group_action in self._groups.tick(now):
            if isinstance(group_action, GroupFailed):
                log.warning(
                    "memory group failed", extra={"why": group_action.failure.message}
                )
        for action in self._leases.tick(now):
            match action:
                case Renew():
                    self._tasks.spawn(self._renew(action), "renew-memory")
                case Release():
                    self._tasks.spawn(self._release(action), "release-memory")
                case LeaseLost(instance, holding_id):
                    self._handle_loss(instance, holding_id)

    async def _renew(self, action: Renew) -> None:
        sent_at = self._fleet.now()
        engine = self._engines[action.engine]
        unknown = []
        for holding_id in action.holding_ids:
            tokens = self._tokens.get(holding_id)
            result: Result[None, Failure] = Ok(None)
            if tokens is not None:
                result = await self._memory_client.reserve(
                    engine, holding_id, tokens, action.ttl_s
                )
            if result.is_error():
                if result.error.kind is ErrorKind.INSUFFICIENT_MEMORY:
                    unknown.append(holding_id)
                else:
                    # The lease expires unless a later renewal succeeds.
                    log.warning(
                        "memory renewal failed", extra={"why": result.error.message}
                    )
                    return
        now = self._fleet.now()
        for lost in self._leases.on_renewed(action, unknown, sent_at, now):
            self._handle_loss(lost.engine, lost.holding_id)

    async def _release(self, action: Release) -> None:
        engine = self._engines[action.engine]
        result = await self._memory_client.release(engine, action.holding_id)
        now = self._fleet.now()
        if result.is_ok():
            self._leases.on_released(action.engine, action.holding_id, result.ok, now)
        else:
            self._leases.on_release_failed(action.engine, now)
            log.warning(
                "memory release failed",
                extra={"upstream": action.engine, "why": result.error.message},
            )

    def _handle_loss(self, instance: str, holding_id: str) -> None:
        now = self._fleet.now()
        log.warning("reserved memory lost", extra={"upstream": instance})
        for action in self._groups.on_lease_lost(instance, holding_id, now):
            if isinstance(action, GroupFailed):
                log.warning(
                    "memory group failed", extra={"why": action.failure.message}
                )

    def _log_outcome(
        self, group: str, request_id: str, parts: tuple[PromptPart, ...], outcome: str
    ) -> None:
        log.info(
            "memory reservation on several engines",
            extra={
                "request_id": request_id,
                "group": group,
                "parts": {part.engine: part.tokens for part in parts},
                "outcome": outcome,
            },
        )
