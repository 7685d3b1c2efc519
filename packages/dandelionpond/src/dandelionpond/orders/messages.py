"""Messages about orders to engines: reports, changes, orders, fencing tokens."""

from typing import Literal

import msgspec

Action = Literal[
    "load_model", "unload_model", "load_adapter", "unload_adapter", "set_role"
]


class Message(msgspec.Struct, frozen=True, tag=True):
    """Base class that tags each message with the name of its class."""


class FencingToken(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Fencing token of an order; tokens of all nodes are compared field by field.

    `started_ms` is the start of the issuing node's incarnation in milliseconds since
    the Unix epoch.
    """

    revision: int = 0
    started_ms: int = 0
    sequence: int = 0


class ModelState(msgspec.Struct, frozen=True):
    """State of a model on an engine; each adapter is `loading` or `ready`."""

    version: str
    state: Literal["loading", "ready"]
    adapters: dict[str, str] = {}


class EngineReport(Message, frozen=True):
    """State that an engine reports; `fencing` is the greatest token it has seen."""

    models: dict[str, ModelState]
    role: str
    fencing: FencingToken = FencingToken()


class EngineChange(Message, frozen=True):
    """One change that brings an engine closer to its desired state."""

    action: Action
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class RequestReport(Message, frozen=True):
    """Request for an engine's report."""

    engine: str


class SendOrder(Message, frozen=True):
    """Request to send an order that was decided at `decided_at`, in monotonic seconds.

    The sender calls `FencingTokenIssuer.may_send` immediately before the write.
    """

    engine: str
    token: FencingToken
    change: EngineChange
    decided_at: float


OrderAction = RequestReport | SendOrder
