"""Define the messages and actions for engine memory."""

from typing import Literal

import msgspec

from dandelionpond.errors import Failure

HoldingKind = Literal["stream", "retained", "reservation", "export", "import"]


class Message(msgspec.Struct, frozen=True, tag=True):
    """The base class of all messages; the tag is the name of the class."""


class Holding(Message, frozen=True):
    """A holding of memory as an engine lists it.

    `owner` is `Identity.owner` of the node that requested the memory. `expires_in_s` is
    the remaining time by the engine's own clock and is negative after expiry.
    """

    holding_id: str
    kind: HoldingKind
    owner: str
    tokens: int
    expires_in_s: float


class Renew(Message, frozen=True):
    """A request to extend holdings to `ttl_s` from now in one call to the engine."""

    engine: str
    holding_ids: tuple[str, ...]
    ttl_s: float


class Release(Message, frozen=True):
    """A request to an engine to free a holding and to confirm it."""

    engine: str
    holding_id: str
    owner: str


class LeaseLost(Message, frozen=True):
    """This node can no longer rely on a holding."""

    engine: str
    holding_id: str


class Scan(Message, frozen=True):
    """A request for the list of all holdings of an engine."""

    engine: str


class PromptPart(Message, frozen=True):
    """The part of a prompt that is assigned to one engine, in tokens."""

    engine: str
    tokens: int


class Reserve(Message, frozen=True):
    """A request to reserve memory for one part of a group."""

    group: str
    engine: str
    holding_id: str
    tokens: int
    ttl_s: float


class GroupReady(Message, frozen=True):
    """Every part of a group is reserved; `parts` is in engine-name order."""

    group: str
    parts: tuple[PromptPart, ...]


class GroupFailed(Message, frozen=True):
    """A group failed.

    Memory of its parts may stay reserved until their pending releases are confirmed.
    """

    group: str
    failure: Failure


LeaseAction = Renew | Release | LeaseLost
GroupAction = Reserve | GroupReady | GroupFailed
