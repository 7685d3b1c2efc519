"""Renew, release and adopt engine memory, and reserve it for groups of engines."""

import asyncio
from collections.abc import Callable

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


class LeaseRunner:
    """Carry out the actions of `LeaseTable`, `GroupReservations` and `Adoption`.

    `client_of` gives the client of an engine, or None if the settings do not list it.
    """

    def __init__(
        self,
        core: Core,
        gossip: Gossip,
        client_of: Callable[[str], EngineClient | None],
    ) -> None:
        memory = core.settings.memory
        self._core = core
        self._gossip = gossip
        self._client_of = client_of
        self._waiting: dict[str, asyncio.Future[Failure | None]] = {}
        # The engines of this node's failure domain.
        self._own_engines: list[str] = []
        self.book = LeaseTable(core.identity.owner, memory, core.random)
        self.groups = GroupReservations(self.book, memory)
        self.adoption = Adoption(core.local.name, memory)
        # Hear of a lost lease (engine, holding) and of a lost group that was ready.
        self.on_lease_lost: Callable[[str, str], None] | None = None
        self.on_group_lost: Callable[[str], None] | None = None
        core.on_settings.append(self._configure)

    def start(self) -> None:
        """Start the timers."""
        self._core.tasks.every(lambda: TICK_S, self._tick, "leases")

    def acquire(self, engine: str, holding_id: str) -> bool:
        """Enter a lease before its request is sent; false at the bound."""
        return self.book.acquire(engine, holding_id, self._core.now()).is_ok()

    def owns(self, engine: str, holding_id: str) -> bool:
        """Return whether a lease certainly still holds, as before a send."""
        return self.book.owns(engine, holding_id, self._core.now())

    def on_freed(self, engine: str, holding_id: str) -> None:
        """Learn that an engine freed a holding by itself."""
        self.book.on_freed(engine, holding_id)

    def release(self, engine: str, holding_id: str) -> None:
        """Give a holding up; the release is repeated until it is confirmed."""
        now = self._core.now()
        self.book.release(engine, holding_id, now)
        self._send_due(now)

    async def reserve_group(
        self, group: str, engines: tuple[str, ...], part_tokens: int, timeout_s: float
    ) -> Failure | None:
        """Reserve all parts of a group; return why it failed, holding nothing."""
        parts = tuple(PromptPart(engine, part_tokens) for engine in engines)
        started = self.groups.start(group, parts, self._core.now())
        if started.is_error():
            return started.error
        waiting: asyncio.Future[Failure | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[group] = waiting
        self._perform_group(started.ok)
        try:
            async with asyncio.timeout(timeout_s):
                return await waiting
        except BaseException:
            self.groups.finish(group, self._core.now())
            raise
        finally:
            self._waiting.pop(group, None)

    def finish_group(self, group: str) -> None:
        """Release what is left of a group."""
        self.groups.finish(group, self._core.now())

    def _configure(self, settings: Settings) -> None:
        self.book.configure(settings.memory)
        self.groups.configure(settings.memory)
        self.adoption.configure(settings.memory)
        domain = self._core.local.failure_domain
        # To look for them at each tick took 1.6% of a core with 10,000 upstreams.
        self._own_engines = [
            name
            for name, upstream in settings.upstreams.items()
            if isinstance(upstream, EngineUpstream)
            and upstream.failure_domain == domain
        ]

    async def _tick(self) -> None:
        now = self._core.now()
        self._send_due(now)
        self._perform_group(self.groups.tick(now))
        view = self._gossip.usable_view()
        if view is None:
            return
        heard_at, nodes = view
        for scan in self.adoption.tick(self._own_engines, nodes, heard_at, now):
            self._core.tasks.spawn(self._scan(scan), "scan-engine")

    def _send_due(self, now: float) -> None:
        for action in self.book.tick(now):
            match action:
                case Renew():
                    self._core.tasks.spawn(self._renew(action), "renew-leases")
                case Release():
                    self._core.tasks.spawn(self._release(action), "release-lease")
                case LeaseLost(engine, holding_id):
                    self._lost(engine, holding_id)

    def _lost(self, engine: str, holding_id: str) -> None:
        self._perform_group(
            self.groups.on_lease_lost(engine, holding_id, self._core.now())
        )
        if self.on_lease_lost is not None:
            self.on_lease_lost(engine, holding_id)

    async def _renew(self, action: Renew) -> None:
        client = self._client_of(action.engine)
        if client is None:
            return
        asked_at = self._core.now()
        result = await client.renew(
            action.holding_ids, self.book.owner, action.ttl_s, CALL_TIMEOUT_S
        )
        if result.is_error():
            return
        now = self._core.now()
        for lost in self.book.on_renewed(action, result.ok, asked_at, now):
            self._lost(lost.engine, lost.holding_id)

    async def _release(self, action: Release) -> None:
        client = self._client_of(action.engine)
        if client is None:
            self.book.drop_engine(action.engine)
            return
        result = await client.cancel(action.holding_id, action.owner, CALL_TIMEOUT_S)
        now = self._core.now()
        if result.is_error():
            self.book.on_release_failed(action.engine, now)
        else:
            self.book.on_released(action.engine, action.holding_id, result.ok, now)

    async def _scan(self, scan: Scan) -> None:
        client = self._client_of(scan.engine)
        if client is None:
            return
        asked_at = self._core.now()
        result = await client.holdings(CALL_TIMEOUT_S)
        if result.is_error():
            return
        holdings: list[Holding] = result.ok
        now = self._core.now()
        self.book.reconcile(scan.engine, holdings, now)
        releases = self.adoption.on_scan_result(
            scan, holdings, self._live_owners(), asked_at, now
        )
        for release in releases:
            answer = await client.cancel(
                release.holding_id, release.owner, CALL_TIMEOUT_S
            )
            self.adoption.on_release_result(answer.is_ok())

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
                    self._core.tasks.spawn(self._reserve(action), "reserve-part")
                case GroupReady(group):
                    self._resolve(group, None)
                case GroupFailed(group, failure):
                    self._resolve(group, failure)

    def _resolve(self, group: str, failure: Failure | None) -> None:
        waiting = self._waiting.get(group)
        if waiting is not None:
            if not waiting.done():
                waiting.set_result(failure)
        elif failure is not None and self.on_group_lost is not None:
            self.on_group_lost(group)

    async def _reserve(self, action: Reserve) -> None:
        client = self._client_of(action.engine)
        done, certain = False, True
        if client is not None:
            result = await client.reserve(
                action.holding_id,
                self.book.owner,
                action.tokens,
                action.ttl_s,
                CALL_TIMEOUT_S,
            )
            done, certain = result.is_ok() and result.ok, result.is_ok()
        now = self._core.now()
        group, engine = action.group, action.engine
        if done:
            self._perform_group(self.groups.on_part_reserved(group, engine, now))
        else:
            self._perform_group(
                self.groups.on_part_refused(group, engine, certain, now)
            )
