"""Renew, release and adopt leases of engine memory, and reserve it for groups."""

import asyncio
from collections.abc import Callable, Iterable

import msgspec

from dandelionpond.adapters.engine_api import EngineClient
from dandelionpond.config.schema import EngineUpstream, Settings
from dandelionpond.errors import Failure
from dandelionpond.identity import Identity
from dandelionpond.memory.adoption import Adoption
from dandelionpond.memory.groups import GroupReservations
from dandelionpond.memory.leases import LeaseTable
from dandelionpond.memory.messages import (
    GroupAction,
    GroupFailed,
    GroupReady,
    Holding,
    LeaseLost,
    PromptPart,
    Release,
    Renew,
    Reserve,
    Scan,
)
from dandelionpond.runtime.core import Core
from dandelionpond.runtime.gossip import Gossip

TICK_S = 0.2
CALL_TIMEOUT_S = 2.0
# Delay in seconds before an engine is asked again about a holding it does not know. It
# frees the memory of a stream that has ended, and its answer to a renewal may arrive
# before the end of the stream, on another connection.
CONFIRM_DELAY_S = 0.2


class LeaseRunner:
    """The component that performs the actions for engine memory.

    They are the actions of `LeaseTable`, `GroupReservations` and `Adoption`.
    `get_client` returns the client of an engine, or None if it is not in the settings.
    """

    def __init__(
        self,
        core: Core,
        gossip: Gossip,
        get_client: Callable[[str], EngineClient | None],
    ) -> None:
        memory = core.settings.memory
        self._core = core
        self._gossip = gossip
        self._get_client = get_client
        self._pending_groups: dict[str, asyncio.Future[Failure | None]] = {}
        # Engines in this node's failure domain.
        self._domain_engines: list[str] = []
        self.table = LeaseTable(core.identity.owner, memory, core.random)
        self.groups = GroupReservations(self.table, memory)
        self.adoption = Adoption(core.local.name, memory)
        # Callbacks for a lost lease (engine, holding ID) and for the loss of a group
        # whose reservation was complete.
        self.on_lease_lost: Callable[[str, str], None] | None = None
        self.on_group_lost: Callable[[str], None] | None = None
        core.settings_listeners.append(self._configure)

    def start(self) -> None:
        """Start the periodic task."""
        self._core.tasks.every(lambda: TICK_S, self._tick, "leases")

    def acquire(self, engine: str, holding_id: str) -> bool:
        """Add a lease before its request is sent; return false if the table is full."""
        return self.table.acquire(engine, holding_id, self._core.now()).is_ok()

    def owns(self, engine: str, holding_id: str) -> bool:
        """Return whether a lease has certainly not expired; asked before each send."""
        return self.table.owns(engine, holding_id, self._core.now())

    def on_freed(self, engine: str, holding_id: str) -> None:
        """Record that an engine has released all memory of a holding."""
        self.table.on_freed(engine, holding_id)

    def release(self, engine: str, holding_id: str) -> None:
        """Release a holding; the release is repeated until the engine confirms it."""
        now = self._core.now()
        self.table.release(engine, holding_id, now)
        self._perform_due_actions(now)

    async def reserve_group(
        self, group: str, engines: tuple[str, ...], part_tokens: int, timeout_s: float
    ) -> Failure | None:
        """Reserve all parts of a group; return the failure or None.

        After a failure or a timeout, parts that were reserved are released.
        """
        parts = tuple(PromptPart(engine, part_tokens) for engine in engines)
        started = self.groups.start(group, parts, self._core.now())
        if started.is_error():
            return started.error
        future: asyncio.Future[Failure | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending_groups[group] = future
        self._perform_group(started.ok)
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except BaseException:
            self.groups.finish(group, self._core.now())
            raise
        finally:
            self._pending_groups.pop(group, None)

    def finish_group(self, group: str) -> None:
        """Release the remaining reservations of a group."""
        self.groups.finish(group, self._core.now())

    def _configure(self, settings: Settings) -> None:
        self.table.configure(settings.memory)
        self.groups.configure(settings.memory)
        self.adoption.configure(settings.memory)
        domain = self._core.local.failure_domain
        # Cached, because filtering 10,000 upstreams at each tick took 1.6% of a core.
        self._domain_engines = [
            name
            for name, upstream in settings.upstreams.items()
            if isinstance(upstream, EngineUpstream)
            and upstream.failure_domain == domain
        ]

    async def _tick(self) -> None:
        now = self._core.now()
        self._perform_due_actions(now)
        self._perform_group(self.groups.tick(now))
        view = self._gossip.fresh_domain_view()
        if view is None:
            return
        confirmed_at, nodes = view
        for scan in self.adoption.tick(self._domain_engines, nodes, confirmed_at, now):
            self._core.tasks.spawn(self._scan(scan), "scan-engine")

    def _perform_due_actions(self, now: float) -> None:
        for action in self.table.tick(now):
            match action:
                case Renew():
                    self._core.tasks.spawn(self._renew(action), "renew-leases")
                case Release():
                    self._core.tasks.spawn(self._release(action), "release-lease")
                case LeaseLost(engine, holding_id):
                    self._report_lost_lease(engine, holding_id)

    def _report_lost_lease(self, engine: str, holding_id: str) -> None:
        self._perform_group(
            self.groups.on_lease_lost(engine, holding_id, self._core.now())
        )
        if self.on_lease_lost is not None:
            self.on_lease_lost(engine, holding_id)

    async def _renew(self, action: Renew) -> None:
        client = self._get_client(action.engine)
        if client is None:
            return
        sent_at = self._core.now()
        result = await client.renew(
            action.holding_ids, self.table.owner, action.ttl_s, CALL_TIMEOUT_S
        )
        if result.is_error():
            return
        unknown = set(result.ok)
        known = tuple(name for name in action.holding_ids if name not in unknown)
        renewed = msgspec.structs.replace(action, holding_ids=known)
        self._apply_renewal(renewed, (), sent_at)
        if unknown:
            await self._confirm_unknown(
                client,
                msgspec.structs.replace(action, holding_ids=tuple(sorted(unknown))),
            )

    async def _confirm_unknown(self, client: EngineClient, action: Renew) -> None:
        """Ask again about holdings that an engine does not know.

        Without an answer, their leases expire unless a later renewal succeeds.
        """
        await asyncio.sleep(CONFIRM_DELAY_S)
        sent_at = self._core.now()
        result = await client.renew(
            action.holding_ids, self.table.owner, action.ttl_s, CALL_TIMEOUT_S
        )
        if result.is_ok():
            self._apply_renewal(action, result.ok, sent_at)

    def _apply_renewal(
        self, action: Renew, unknown: Iterable[str], sent_at: float
    ) -> None:
        now = self._core.now()
        for lost in self.table.on_renewed(action, unknown, sent_at, now):
            self._report_lost_lease(lost.engine, lost.holding_id)

    async def _release(self, action: Release) -> None:
        client = self._get_client(action.engine)
        if client is None:
            self.table.drop_engine(action.engine)
            return
        result = await client.cancel(action.holding_id, action.owner, CALL_TIMEOUT_S)
        now = self._core.now()
        if result.is_error():
            self.table.on_release_failed(action.engine, now)
        else:
            self.table.on_released(action.engine, action.holding_id, result.ok, now)

    async def _scan(self, scan: Scan) -> None:
        client = self._get_client(scan.engine)
        if client is None:
            return
        sent_at = self._core.now()
        result = await client.list_holdings(CALL_TIMEOUT_S)
        if result.is_error():
            return
        holdings: list[Holding] = result.ok
        now = self._core.now()
        self.table.reconcile(scan.engine, holdings, now)
        releases = self.adoption.on_scan_result(
            scan, holdings, self._live_owners(), sent_at, now
        )
        for release in releases:
            release_result = await client.cancel(
                release.holding_id, release.owner, CALL_TIMEOUT_S
            )
            self.adoption.on_release_result(release_result.is_ok())

    def _live_owners(self) -> dict[str, str]:
        owners = {self._core.local.name: self._core.identity.owner}
        for peer in self._gossip.membership.peers:
            if peer.incarnation is not None and peer.state != "gone":
                owners[peer.name] = Identity(peer.name, *peer.incarnation).owner
        return owners

    def _perform_group(self, actions: list[GroupAction]) -> None:
        for action in actions:
            match action:
                case Reserve():
                    self._core.tasks.spawn(self._reserve_part(action), "reserve-part")
                case GroupReady(group):
                    self._resolve_group(group, None)
                case GroupFailed(group, failure):
                    self._resolve_group(group, failure)

    def _resolve_group(self, group: str, failure: Failure | None) -> None:
        future = self._pending_groups.get(group)
        if future is not None:
            if not future.done():
                future.set_result(failure)
        elif failure is not None and self.on_group_lost is not None:
            self.on_group_lost(group)

    async def _reserve_part(self, action: Reserve) -> None:
        client = self._get_client(action.engine)
        is_reserved, is_certain = False, True
        if client is not None:
            result = await client.reserve(
                action.holding_id,
                self.table.owner,
                action.tokens,
                action.ttl_s,
                CALL_TIMEOUT_S,
            )
            is_reserved, is_certain = result.is_ok() and result.ok, result.is_ok()
        now = self._core.now()
        group, engine = action.group, action.engine
        if is_reserved:
            self._perform_group(self.groups.on_part_reserved(group, engine, now))
        else:
            self._perform_group(
                self.groups.on_part_refused(group, engine, is_certain, now)
            )
