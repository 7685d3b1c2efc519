"""The messages and actions of the membership package."""

from enum import StrEnum
from typing import Literal

import msgspec

from dandelionpond.identity import Identity


class PeerState(StrEnum):
    """The states of a peer."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


class UpstreamState(StrEnum):
    """The states of an upstream."""

    LIVE = "live"
    SUSPECT = "suspect"
    EJECTED = "ejected"
    LEAVING = "leaving"
    GONE = "gone"


# Peers refuse a message with a rumor of a larger heartbeat.
MAX_HEARTBEAT = 2**63
# Larger ones are not counted up from, so that the result remains below that limit.
MAX_COUNTED_HEARTBEAT = 2**62


class Rumor(msgspec.Struct, frozen=True, tag="rumor"):
    """An observation about a node or an upstream.

    For a node, `heartbeat` is its heartbeat counter. For an upstream, it is the version
    of its registration, and `failure_domain` is that of the reporter `origin`. The
    state `listed` of an upstream means that the platform lists it as leaving, which the
    upstream's own answer does not override.
    """

    subject: str
    subject_kind: Literal["node", "upstream"]
    state: str
    started_ms: int = 0
    nonce: int = 0
    heartbeat: int = 0
    peer_address: str = ""
    failure_domain: str = ""
    origin: str = ""


class Exchange(msgspec.Struct, frozen=True, tag="exchange"):
    """A gossip request or its reply, with the sender's own state and rumors."""

    sender: Identity
    peer_address: str
    failure_domain: str
    state: Literal["serving", "leaving"]
    heartbeat: int
    settings_revision: int = 0
    settings_digest: str = ""
    rumors: tuple[Rumor, ...] = ()


class Vm(msgspec.Struct, frozen=True):
    """A VM of the platform's list; `state` is `live` or `leaving`."""

    name: str
    role: str
    address: str
    failure_domain: str
    state: str


class PlatformList(msgspec.Struct, frozen=True, tag="platform_list"):
    """The platform's list of VMs at one revision."""

    revision: int
    vms: tuple[Vm, ...]


class SendExchange(msgspec.Struct, frozen=True, tag="send_exchange"):
    """A request to send an exchange to a peer."""

    peer: str
    address: str
    message: Exchange


class PeerChanged(msgspec.Struct, frozen=True, tag="peer_changed"):
    """A peer's state or incarnation changed."""

    peer: str
    state: PeerState
    started_ms: int
    nonce: int


class UpstreamRumorReceived(msgspec.Struct, frozen=True, tag="upstream_heard"):
    """A request to pass a rumor to `UpstreamView.rumor_received`."""

    rumor: Rumor


class IncarnationSuperseded(msgspec.Struct, frozen=True, tag="superseded"):
    """Peers know a later incarnation of this node's name.

    Either the wall clock was set back before a restart, or two nodes share one name.
    """

    started_ms: int


class SpreadRumor(msgspec.Struct, frozen=True, tag="spread"):
    """A request to pass a rumor to `Membership.spread_rumor`."""

    rumor: Rumor


class UpstreamChanged(msgspec.Struct, frozen=True, tag="upstream_changed"):
    """An upstream's state changed."""

    upstream: str
    state: UpstreamState


class UpstreamReplaced(msgspec.Struct, frozen=True, tag="upstream_replaced"):
    """The platform's list shows another VM under the name of an upstream."""

    upstream: str


MembershipAction = (
    SendExchange | PeerChanged | UpstreamRumorReceived | IncarnationSuperseded
)
UpstreamAction = SpreadRumor | UpstreamChanged | UpstreamReplaced
