"""Send orders that bring this failure domain's engines to their desired state."""

import logging
from collections.abc import Callable

import msgspec

from dandelionpond.adapters.engine_api import EngineClient
from dandelionpond.config.schema import Settings
from dandelionpond.errors import ErrorKind
from dandelionpond.orders.messages import RequestReport, SendOrder
from dandelionpond.orders.plan import OrderPlanner
from dandelionpond.runtime.core import Core
from dandelionpond.runtime.gossip import Gossip

log = logging.getLogger("dandelionpond.orders")

TICK_S = 0.5
CALL_TIMEOUT_S = 2.0


class OrderOutcomes(msgspec.Struct):
    """Counts of the outcomes of orders; `dropped` ones had become too old to send."""

    accepted: int = 0
    refused: int = 0
    unanswered: int = 0
    dropped: int = 0


class OrderRunner:
    """The component that performs the actions of `OrderPlanner`.

    `get_client` returns the client of an engine, or None if it is not in the settings.
    """

    def __init__(
        self,
        core: Core,
        gossip: Gossip,
        get_client: Callable[[str], EngineClient | None],
    ) -> None:
        self._core = core
        self._gossip = gossip
        self._get_client = get_client
        self.planner = OrderPlanner(core.identity, core.local.failure_domain)
        self.outcomes = OrderOutcomes()
        core.settings_listeners.append(self._configure)

    def start(self) -> None:
        """Start the periodic task."""
        self._core.tasks.every(lambda: TICK_S, self._tick, "orders")

    def _configure(self, settings: Settings) -> None:
        now = self._core.now()
        self.planner.configure(self._core.settings_state.revision, settings, now)

    async def _tick(self) -> None:
        view = self._gossip.fresh_domain_view()
        if view is None:
            return
        confirmed_at, nodes = view
        actions = self.planner.tick(nodes, confirmed_at, self._core.now())
        for action in actions:
            match action:
                case RequestReport(engine):
                    self._core.tasks.spawn(
                        self._request_report(engine), "ask-order-report"
                    )
                case SendOrder():
                    self._core.tasks.spawn(self._send_order(action), "send-order")

    async def _request_report(self, engine: str) -> None:
        client = self._get_client(engine)
        if client is None:
            return
        sent_at = self._core.now()
        result = await client.fetch_report(CALL_TIMEOUT_S)
        if result.is_ok():
            self.planner.record_report(engine, result.ok, sent_at)

    async def _send_order(self, order: SendOrder) -> None:
        client = self._get_client(order.engine)
        if client is None:
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

        def may_send() -> bool:
            is_permitted = self.planner.fencing.may_send(order, self._core.now())
            self.outcomes.dropped += not is_permitted
            return is_permitted

        result = await client.send_order(order.token, change, CALL_TIMEOUT_S, may_send)
        if result.is_ok():
            self.outcomes.accepted += 1
        elif result.error.kind is ErrorKind.UPSTREAM_REFUSED:
            self.outcomes.refused += 1
            log.warning("order refused", extra={"engine": order.engine})
        else:
            self.outcomes.unanswered += 1
