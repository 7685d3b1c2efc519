"""Model of how an engine applies orders, without I/O.

Times are in seconds of the model's clock.
"""

from collections import deque
from typing import Literal

import msgspec

OrderAction = Literal[
    "load_model", "unload_model", "load_adapter", "unload_adapter", "set_role"
]
MAX_MODELS = 256
MAX_HISTORY_ENTRIES = 1_024


class Order(msgspec.Struct, frozen=True):
    """Order to change the models, an adapter or the role of an engine.

    `fencing` is the fencing token as (revision, started_ms, sequence).
    """

    fencing: tuple[int, int, int]
    action: OrderAction
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class OrderState:
    """Models, adapters and role of an engine, which orders change.

    If `enforced`, an order with a fencing token below the highest one seen is refused.
    Equal tokens are accepted, so that an order can be repeated. Loading a model or an
    adapter takes `load_s`.
    """

    __slots__ = (
        "_enforced",
        "_load_s",
        "_models",
        "applied",
        "highest_fencing_token",
        "history",
        "role",
    )

    def __init__(
        self,
        models: dict[str, str],
        role: str = "general",
        enforced: bool = True,
        load_s: float = 5.0,
    ) -> None:
        self._enforced = enforced
        self._load_s = load_s
        # Version of each model, the time from which it is ready, and its adapters with
        # the times from which they are ready.
        self._models: dict[str, tuple[str, float, dict[str, float]]] = {
            name: (version, 0.0, {}) for name, version in models.items()
        }
        self.role = role
        self.highest_fencing_token: tuple[int, int, int] = (0, 0, 0)
        # Latest orders with their results, for tests.
        self.history: deque[dict[str, object]] = deque(maxlen=MAX_HISTORY_ENTRIES)

    def apply(self, order: Order, now: float) -> str:
        """Apply an order and return `accepted`, `stale`, `unknown_model` or `full`."""
        result = self._apply(order, now)
        order_fields = msgspec.to_builtins(order)
        self.history.append({**order_fields, "result": result, "at": now})
        return result

    def ready_models(self, now: float) -> dict[str, str]:
        """Return the version of each model that is ready."""
        return {
            name: version
            for name, (version, ready_at, _) in self._models.items()
            if ready_at <= now
        }

    def _apply(self, order: Order, now: float) -> str:
        if self._enforced and order.fencing < self.highest_fencing_token:
            return "stale"
        self.highest_fencing_token = max(self.highest_fencing_token, order.fencing)
        model_state = self._models.get(order.model)
        match order.action:
            case "set_role":
                self.role = order.role
            case "load_model":
                if len(self._models) >= MAX_MODELS:
                    return "full"
                if model_state is None or model_state[0] != order.version:
                    ready_at = now + self._load_s
                    self._models[order.model] = (order.version, ready_at, {})
            case "unload_model":
                self._models.pop(order.model, None)
            case "load_adapter":
                if model_state is None:
                    return "unknown_model"
                model_state[2].setdefault(order.adapter, now + self._load_s)
            case "unload_adapter":
                if model_state is not None:
                    model_state[2].pop(order.adapter, None)
        return "accepted"

    def ready_version(self, model: str, now: float) -> str | None:
        """Return the version of a model, or None if it is not ready."""
        model_state = self._models.get(model)
        return (
            model_state[0]
            if model_state is not None and model_state[1] <= now
            else None
        )

    def report(self, now: float) -> dict[str, object]:
        """Return models, adapters, role and highest token as sent on the wire."""
        return {
            "models": {
                name: {
                    "version": version,
                    "state": "ready" if ready_at <= now else "loading",
                    "adapters": {
                        adapter: "ready" if adapter_ready_at <= now else "loading"
                        for adapter, adapter_ready_at in adapters.items()
                    },
                }
                for name, (version, ready_at, adapters) in self._models.items()
            },
            "role": self.role,
            "fencing": self.highest_fencing_token,
        }
