"""Decide which orders this node sends to which engines, and when."""

from collections.abc import Collection

import msgspec

from dandelionpond import hashing
from dandelionpond.config.schema import EngineUpstream, Settings
from dandelionpond.identity import Identity
from dandelionpond.orders.desired import (
    DesiredState,
    desired_state,
    missing_changes,
    required_loads,
)
from dandelionpond.orders.fencing import FencingTokenIssuer
from dandelionpond.orders.load_scheduler import LoadScheduler
from dandelionpond.orders.messages import (
    EngineChange,
    EngineReport,
    OrderAction,
    RequestReport,
    SendOrder,
)


class OrderCounters(msgspec.Struct):
    """Numbers of orders, of pauses and of attempts that had to wait.

    `repeated` is the part of `sent` that repeats the order before it. `pauses` counts
    the pauses of this process. `waiting_for_rate` counts a load that waits for the
    rate limit of the weight store once for each tick.
    """

    sent: int = 0
    repeated: int = 0
    pauses: int = 0
    waiting_for_rate: int = 0


class _EngineState:
    __slots__ = (
        "last_order",
        "last_request_at",
        "permitted_loads",
        "report",
        "report_requested_at",
    )

    def __init__(self) -> None:
        self.last_request_at = -1e9
        self.report: EngineReport | None = None
        self.report_requested_at = -1e9
        self.last_order: tuple[EngineChange, float] | None = None
        # Loads that the scheduler has permitted. Repeats need no further permission.
        self.permitted_loads: set[EngineChange] = set()


class OrderPlanner:
    """Planner of the orders that bring a failure domain's engines to the desired state.

    Each engine is assigned to one live node of its failure domain by rendezvous
    hashing. That node sends one change at a time and repeats it after `repeat_after_s`
    until the engine's report shows its effect. Times are in monotonic seconds.
    """

    __slots__ = (
        "_assigned",
        "_desired_states",
        "_engine_count",
        "_engines",
        "_failure_domain",
        "_fresh_after",
        "_identity",
        "_last_tick_at",
        "_live_nodes",
        "_load_scheduler",
        "_revision",
        "_settings",
        "counters",
        "fencing",
    )

    def __init__(self, identity: Identity, failure_domain: str) -> None:
        self._identity = identity
        self._failure_domain = failure_domain
        self._settings = Settings()
        self._revision = 0
        self._desired_states: dict[str, DesiredState] = {}
        self._engine_count = 0
        self._engines: dict[str, _EngineState] = {}
        self._live_nodes: frozenset[str] = frozenset()
        self._assigned: list[str] = []
        self._last_tick_at: float | None = None
        self._fresh_after = 0.0
        self._load_scheduler = LoadScheduler(self._settings.orders)
        self.fencing = FencingTokenIssuer(identity, self._settings.orders)
        self.counters = OrderCounters()

    @property
    def assigned_engines(self) -> tuple[str, ...]:
        """Return the engines that this node sends orders to."""
        return tuple(self._assigned)

    def configure(self, revision: int, settings: Settings, now: float) -> None:
        """Apply a new revision of the settings; ignore an older one."""
        if revision <= self._revision:
            return
        old, is_first = self._settings, self._revision == 0
        self._settings, self._revision = settings, revision
        if settings.orders != old.orders:
            self._load_scheduler.configure(settings.orders)
            self.fencing.configure(settings.orders)
        if not is_first and (settings.upstreams, settings.models) == (
            old.upstreams,
            old.models,
        ):
            return
        self._desired_states = {}
        self._engine_count = 0
        new_loads, local_loads = [], set()
        for name, upstream in settings.upstreams.items():
            desired = desired_state(settings, name)
            if desired is None or not isinstance(upstream, EngineUpstream):
                continue
            self._engine_count += 1
            required = required_loads(desired)
            if upstream.failure_domain == self._failure_domain:
                self._desired_states[name] = desired
                local_loads |= {(name, change) for change in required}
            if not is_first:
                previous = desired_state(old, name)
                previous_loads = (
                    required_loads(previous) if previous is not None else set()
                )
                new_loads += [(name, change) for change in required - previous_loads]
        self._load_scheduler.retain(local_loads)
        self._load_scheduler.schedule_rollout(new_loads, set(self._desired_states), now)
        self._live_nodes = frozenset()

    def record_report(
        self, engine: str, report: EngineReport, requested_at: float
    ) -> None:
        """Record a report that was requested at `requested_at`."""
        state = self._engines.get(engine)
        if state is not None and requested_at > state.report_requested_at:
            state.report, state.report_requested_at = report, requested_at

    def tick(
        self, live_nodes: Collection[str], heard_at: float, now: float
    ) -> list[OrderAction]:
        """Return the reports to request and the orders to send.

        `live_nodes` are the live nodes of this failure domain. `heard_at` is the time
        of the last message from a peer; for a node that receives none, it is `now` once
        `gone_after_s` has passed since the node started or was paused. After a pause
        longer than `order_validity_s`, nothing is sent until `heard_at` is newer than
        the end of the pause, and no order until the engine's report is newer, too.
        """
        orders = self._settings.orders
        last_tick_at, self._last_tick_at = self._last_tick_at, now
        if last_tick_at is None or now - last_tick_at > orders.order_validity_s:
            self._fresh_after = now
            self.counters.pauses += last_tick_at is not None
        if heard_at <= self._fresh_after:
            return []
        self._update_assignment(frozenset(live_nodes))
        actions: list[OrderAction] = []
        for name in self._assigned:
            actions += self._plan_engine(name, self._engines[name], now)
        return actions

    def _update_assignment(self, live_nodes: frozenset[str]) -> None:
        if live_nodes == self._live_nodes:
            return
        self._live_nodes = live_nodes
        name = self._identity.name
        self._assigned = [
            engine
            for engine in self._desired_states
            if name in live_nodes
            and hashing.is_owner(f"orders/{engine}", name, live_nodes)
        ]
        self._engines = {
            engine: self._engines.get(engine) or _EngineState()
            for engine in self._assigned
        }

    def _plan_engine(
        self, name: str, state: _EngineState, now: float
    ) -> list[OrderAction]:
        orders = self._settings.orders
        report = state.report
        if report is None or state.report_requested_at <= self._fresh_after:
            return self._request_report(name, state, orders.interval_s, now)
        missing = missing_changes(self._desired_states[name], report)
        if not missing:
            state.permitted_loads.clear()
            state.last_order = None
            return self._request_report(name, state, orders.repeat_after_s, now)
        actions = self._request_report(name, state, orders.interval_s, now)
        if now - state.report_requested_at > orders.order_validity_s:
            return actions
        change = missing[0]
        is_repeat = state.last_order is not None and state.last_order[0] == change
        if state.last_order is not None:
            # A report requested before the last order was sent cannot show its effect.
            if state.report_requested_at <= state.last_order[1]:
                return actions
            if is_repeat and now - state.last_order[1] < orders.repeat_after_s:
                return actions
        if not self._try_start(name, state, change, now):
            self.counters.waiting_for_rate += 1
            return actions
        token = self.fencing.next_token(self._revision, report.fencing)
        if token is None:
            return actions
        state.last_order = (change, now)
        self.counters.sent += 1
        self.counters.repeated += is_repeat
        return [*actions, SendOrder(name, token, change, now)]

    def _request_report(
        self, name: str, state: _EngineState, interval_s: float, now: float
    ) -> list[OrderAction]:
        if now - state.last_request_at < interval_s:
            return []
        state.last_request_at = now
        return [RequestReport(name)]

    def _try_start(
        self, name: str, state: _EngineState, change: EngineChange, now: float
    ) -> bool:
        if change.action not in ("load_model", "load_adapter"):
            return True
        if change not in state.permitted_loads:
            share = len(self._assigned) / self._engine_count
            if not self._load_scheduler.try_start((name, change), share, now):
                return False
            state.permitted_loads.add(change)
        return True
