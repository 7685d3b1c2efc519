"""Bring the engines of this failure domain to their desired state."""

import logging
from collections.abc import Callable

from dandelionpond.adapters.engine_api import EngineClient
from dandelionpond.config.schema import Settings
from dandelionpond.orders.messages import AskReport, SendOrder
from dandelionpond.orders.plan import OrderPlan
from dandelionpond.runtime.core import Core
from dandelionpond.runtime.gossip import Gossip

log = logging.getLogger("dandelionpond.orders")

TICK_S = 0.5
CALL_TIMEOUT_S = 2.0


class OrderRunner:
    """Carry out the actions of `OrderPlan`."""

    def __init__(
        self,
        core: Core,
        gossip: Gossip,
        client_of: Callable[[str], EngineClient | None],
    ) -> None:
        self._core = core
        self._gossip = gossip
        self._client_of = client_of
        self.plan = OrderPlan(core.identity, core.local.failure_domain)
        core.on_settings.append(self._configure)

    def start(self) -> None:
        """Start the timer."""
        self._core.tasks.every(lambda: TICK_S, self._tick, "orders")

    def _configure(self, settings: Settings) -> None:
        now = self._core.now()
        self.plan.configure(self._core.keeper.revision, settings, now)

    async def _tick(self) -> None:
        membership = self._gossip.membership
        if not membership.has_first_pass or not membership.is_fresh:
            return
        local = self._core.local
        nodes = [*membership.names(local.failure_domain), local.name]
        actions = self.plan.tick(nodes, self._gossip.heard_at, self._core.now())
        for action in actions:
            match action:
                case AskReport(engine):
                    self._core.tasks.spawn(self._ask(engine), "ask-order-report")
                case SendOrder():
                    self._core.tasks.spawn(self._send(action), "send-order")

    async def _ask(self, engine: str) -> None:
        client = self._client_of(engine)
        if client is None:
            return
        asked_at = self._core.now()
        result = await client.report(CALL_TIMEOUT_S)
        if result.is_ok():
            self.plan.reported(engine, result.ok, asked_at)

    async def _send(self, order: SendOrder) -> None:
        client = self._client_of(order.engine)
        if client is None or not self.plan.fencing.may_send(order, self._core.now()):
            return
        change = order.change
        log.info(
            "order sent",
            extra={
                "engine": order.engine,
                "action": change.action,
                "model": change.model,
                "version": change.version,
                "role": change.role,
            },
        )
        await client.order(order.token, change, CALL_TIMEOUT_S)
