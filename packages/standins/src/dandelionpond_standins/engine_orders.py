"""Model what an engine does with orders, without I/O; times in seconds."""

from collections import deque
from typing import Literal

import msgspec

ACTIONS = Literal[
    "load_model", "unload_model", "load_adapter", "unload_adapter", "set_role"
]
MAX_ITEMS = 256
MAX_HISTORY = 1_024


class Order(msgspec.Struct, frozen=True):
    """Ask for one change; `fencing` is (revision, started_ms, sequence)."""

    fencing: tuple[int, int, int]
    action: ACTIONS
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class OrderState:
    """Hold models, adapters and role of an engine and apply orders to them.

    An enforcing engine refuses a token that is smaller than the greatest one it has
    seen. Equal tokens are accepted, so that an order can be repeated.
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
        # Model name to version, the time it is ready, and adapters with their times.
        self._models: dict[str, tuple[str, float, dict[str, float]]] = {
            name: (version, 0.0, {}) for name, version in models.items()
        }
        self.role = role
        self.highest_fencing_token: tuple[int, int, int] = (0, 0, 0)
        self.applied = 0
        # The latest orders with their results, for tests.
        self.history: deque[dict[str, object]] = deque(maxlen=MAX_HISTORY)

    def apply(self, order: Order, now: float) -> str:
        """Apply an order and return `accepted`, `stale`, `unknown_model` or `full`."""
        result = self._apply(order, now)
        told = msgspec.to_builtins(order)
        self.history.append({**told, "result": result, "at": now})
        return result

    def ready_models(self, now: float) -> dict[str, str]:
        """Return the models that can be used now with their versions."""
        return {
            name: version
            for name, (version, ready, _) in self._models.items()
            if ready <= now
        }

    def _apply(self, order: Order, now: float) -> str:
        if self._enforced and order.fencing < self.highest_fencing_token:
            return "stale"
        self.highest_fencing_token = max(self.highest_fencing_token, order.fencing)
        held = self._models.get(order.model)
        match order.action:
            case "set_role":
                self.role = order.role
            case "load_model":
                if len(self._models) >= MAX_ITEMS:
                    return "full"
                if held is None or held[0] != order.version:
                    ready = now + self._load_s
                    self._models[order.model] = (order.version, ready, {})
            case "unload_model":
                self._models.pop(order.model, None)
            case "load_adapter":
                if held is None:
                    return "unknown_model"
                held[2].setdefault(order.adapter, now + self._load_s)
            case "unload_adapter":
                if held is not None:
                    held[2].pop(order.adapter, None)
        self.applied += 1
        return "accepted"

    def ready_version(self, model: str, now: float) -> str | None:
        """Return the version of a model that is ready, or None."""
        held = self._models.get(model)
        return held[0] if held is not None and held[1] <= now else None

    def report(self, now: float) -> dict[str, object]:
        """Return models, adapters, role and the greatest token, as sent to readers."""
        return {
            "models": {
                name: {
                    "version": version,
                    "state": "ready" if ready <= now else "loading",
                    "adapters": {
                        adapter: "ready" if at <= now else "loading"
                        for adapter, at in adapters.items()
                    },
                }
                for name, (version, ready, adapters) in self._models.items()
            },
            "role": self.role,
            "fencing": self.highest_fencing_token,
        }
