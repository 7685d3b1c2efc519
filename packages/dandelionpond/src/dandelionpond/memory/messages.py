"""Define the messages of the memory slice: what engines list and what to do then."""

from typing import Literal

import msgspec

from dandelionpond.errors import Failure

HoldingKind = Literal["stream", "retained", "reservation", "export", "import"]


class Message(msgspec.Struct, frozen=True, tag=True):
    """Tag every message with the name of its class."""


class Holding(Message, frozen=True):
    """Describe one entry of an engine's list.

    `owner` is `Identity.owner` of the node that asked for the memory. `expires_in_s`
    is the remaining time on the engine's own clock and negative after expiry.
    """

    holding_id: str
    kind: HoldingKind
    owner: str
    tokens: int
    expires_in_s: float


class Renew(Message, frozen=True):
    """Move the expiry of holdings to `ttl_s` from now in one call to the engine."""

    engine: str
    holding_ids: tuple[str, ...]
    ttl_s: float


class Release(Message, frozen=True):
    """Ask an engine to free a holding and to confirm it."""

    engine: str
    holding_id: str
    owner: str


class LeaseLost(Message, frozen=True):
    """Report that this node can no longer rely on a holding."""

    engine: str
    holding_id: str


class Scan(Message, frozen=True):
    """Ask an engine for the list of everything it holds."""

    engine: str


class PromptPart(Message, frozen=True):
    """Describe the part of a prompt that one engine holds, in tokens."""

    engine: str
    tokens: int


class Reserve(Message, frozen=True):
    """Reserve memory for one part of a group."""

    group: str
    engine: str
    holding_id: str
    tokens: int
    ttl_s: float


class GroupReady(Message, frozen=True):
    """Report that every part is reserved; `parts` is in engine-name order."""

    group: str
    parts: tuple[PromptPart, ...]


class GroupFailed(Message, frozen=True):
    """Report that a group holds nothing any more, apart from pending releases."""

    group: str
    failure: Failure


LeaseAction = Renew | Release | LeaseLost
GroupAction = Reserve | GroupReady | GroupFailed
