"""Decide which orders this node sends to which engine, and when."""

from collections.abc import Collection

import msgspec

from dandelionpond import hashing
from dandelionpond.config.schema import EngineUpstream, Settings
from dandelionpond.identity import Identity
from dandelionpond.orders.desired import Desired, changes, desired_state, loads
from dandelionpond.orders.fencing import Fencing
from dandelionpond.orders.messages import (
    EngineChange,
    EngineReport,
    OrderAction,
    RequestReport,
    SendOrder,
)
from dandelionpond.orders.pace import LoadPace


class OrderCounters(msgspec.Struct):
    """Count orders and the reasons for sending none."""

    sent: int = 0
    repeated: int = 0
    pauses: int = 0
    waiting_for_rate: int = 0


class _Engine:
    __slots__ = ("asked_at", "report", "report_at", "sent", "started")

    def __init__(self) -> None:
        self.asked_at = -1e9
        self.report: EngineReport | None = None
        self.report_at = -1e9
        self.sent: tuple[EngineChange, float] | None = None
        # Loads that the pace has permitted; repeats need no further permission.
        self.started: set[EngineChange] = set()


class OrderPlanner:
    """Bring each engine of a failure domain to its desired state.

    The giver of an engine is the first by rendezvous hashing among the live nodes of
    its failure domain. The giver sends one change at a time and repeats it after
    `repeat_after_s` until the report agrees. Times are in monotonic seconds.
    """

    __slots__ = (
        "_domain",
        "_engines",
        "_fresh_after",
        "_identity",
        "_last_tick",
        "_live",
        "_mine",
        "_pace",
        "_revision",
        "_settings",
        "_total",
        "_wanted",
        "counters",
        "fencing",
    )

    def __init__(self, identity: Identity, failure_domain: str) -> None:
        self._identity = identity
        self._domain = failure_domain
        self._settings = Settings()
        self._revision = 0
        self._wanted: dict[str, Desired] = {}
        self._total = 0
        self._engines: dict[str, _Engine] = {}
        self._live: frozenset[str] = frozenset()
        self._mine: list[str] = []
        self._last_tick: float | None = None
        self._fresh_after = 0.0
        self._pace = LoadPace(self._settings.orders)
        self.fencing = Fencing(identity, self._settings.orders)
        self.counters = OrderCounters()

    @property
    def assigned_engines(self) -> tuple[str, ...]:
        """Return the engines that this node gives orders to."""
        return tuple(self._mine)

    def configure(self, revision: int, settings: Settings, now: float) -> None:
        """Take a new revision of the settings; an older one is ignored."""
        if revision <= self._revision:
            return
        old, first = self._settings, self._revision == 0
        self._settings, self._revision = settings, revision
        if settings.orders != old.orders:
            self._pace.configure(settings.orders)
            self.fencing.configure(settings.orders)
        if not first and (settings.upstreams, settings.models) == (
            old.upstreams,
            old.models,
        ):
            return
        self._wanted = {}
        self._total = 0
        fresh, needed = [], set()
        for name, upstream in settings.upstreams.items():
            want = desired_state(settings, name)
            if want is None or not isinstance(upstream, EngineUpstream):
                continue
            self._total += 1
            wanted = loads(want)
            if upstream.failure_domain == self._domain:
                self._wanted[name] = want
                needed |= {(name, change) for change in wanted}
            if not first:
                before = desired_state(old, name)
                known = loads(before) if before is not None else set()
                fresh += [(name, change) for change in wanted - known]
        self._pace.retain(needed)
        self._pace.roll_out(fresh, set(self._wanted), now)
        self._live = frozenset()

    def record_report(self, engine: str, report: EngineReport, asked_at: float) -> None:
        """Take the report that was asked for at `asked_at`."""
        state = self._engines.get(engine)
        if state is not None and asked_at > state.report_at:
            state.report, state.report_at = report, asked_at

    def tick(
        self, live_nodes: Collection[str], membership_at: float, now: float
    ) -> list[OrderAction]:
        """Return reports to ask for and orders to send.

        `live_nodes` are those of this failure domain; `membership_at` is when a peer
        was last heard, or, for a node that hears no peer, now once `gone_after_s` has
        passed since its start or pause. After a pause longer than `order_validity_s`
        nothing is sent before membership and the engine's report are newer than it.
        """
        orders = self._settings.orders
        last, self._last_tick = self._last_tick, now
        if last is None or now - last > orders.order_validity_s:
            self._fresh_after = now
            self.counters.pauses += last is not None
        if membership_at <= self._fresh_after:
            return []
        self._choose(frozenset(live_nodes))
        actions: list[OrderAction] = []
        for name in self._mine:
            actions += self._for_engine(name, self._engines[name], now)
        return actions

    def _choose(self, live: frozenset[str]) -> None:
        if live == self._live:
            return
        self._live = live
        name = self._identity.name
        self._mine = [
            engine
            for engine in self._wanted
            if name in live and hashing.is_owner(f"orders/{engine}", name, live)
        ]
        self._engines = {
            engine: self._engines.get(engine) or _Engine() for engine in self._mine
        }

    def _for_engine(self, name: str, state: _Engine, now: float) -> list[OrderAction]:
        orders = self._settings.orders
        report = state.report
        if report is None or state.report_at <= self._fresh_after:
            return self._ask(name, state, orders.interval_s, now)
        missing = changes(self._wanted[name], report)
        if not missing:
            state.started.clear()
            state.sent = None
            return self._ask(name, state, orders.repeat_after_s, now)
        actions = self._ask(name, state, orders.interval_s, now)
        if now - state.report_at > orders.order_validity_s:
            return actions
        change = missing[0]
        is_repeat = state.sent is not None and state.sent[0] == change
        if state.sent is not None:
            # A report from before the last order cannot show its effect.
            if state.report_at <= state.sent[1]:
                return actions
            if is_repeat and now - state.sent[1] < orders.repeat_after_s:
                return actions
        if not self._may_start(name, state, change, now):
            self.counters.waiting_for_rate += 1
            return actions
        token = self.fencing.next(self._revision, report.fencing)
        if token is None:
            return actions
        state.sent = (change, now)
        self.counters.sent += 1
        self.counters.repeated += is_repeat
        return [*actions, SendOrder(name, token, change, now)]

    def _ask(
        self, name: str, state: _Engine, interval_s: float, now: float
    ) -> list[OrderAction]:
        if now - state.asked_at < interval_s:
            return []
        state.asked_at = now
        return [RequestReport(name)]

    def _may_start(
        self, name: str, state: _Engine, change: EngineChange, now: float
    ) -> bool:
        if change.action not in ("load_model", "load_adapter"):
            return True
        if change not in state.started:
            share = len(self._mine) / self._total
            if not self._pace.may_start((name, change), share, now):
                return False
            state.started.add(change)
        return True
