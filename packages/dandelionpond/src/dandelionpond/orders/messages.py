"""Define the messages of the orders slice: reports, orders and fencing tokens."""

from typing import Literal

import msgspec

Action = Literal[
    "load_model", "unload_model", "load_adapter", "unload_adapter", "set_role"
]


class Message(msgspec.Struct, frozen=True, tag=True):
    """Tag every message with the name of its class."""


class FencingToken(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Order the orders of all nodes; compared field by field.

    `started_ms` is the issuer's incarnation start in milliseconds since the Unix epoch.
    """

    revision: int = 0
    started_ms: int = 0
    sequence: int = 0


class ModelState(msgspec.Struct, frozen=True):
    """Report a model on an engine; an adapter's state is `loading` or `ready`."""

    version: str
    state: Literal["loading", "ready"]
    adapters: dict[str, str] = {}


class EngineReport(Message, frozen=True):
    """Report what an engine holds; `fencing` is the greatest token it has seen."""

    models: dict[str, ModelState]
    role: str
    fencing: FencingToken = FencingToken()


class EngineChange(Message, frozen=True):
    """Describe one change that brings an engine closer to the desired state."""

    action: Action
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class RequestReport(Message, frozen=True):
    """Ask an engine for its report."""

    engine: str


class SendOrder(Message, frozen=True):
    """Send an order; `decided_at` is when it was decided, in monotonic seconds.

    The sender calls `Fencing.may_send` immediately before the write.
    """

    engine: str
    token: FencingToken
    change: EngineChange
    decided_at: float


OrderAction = RequestReport | SendOrder
