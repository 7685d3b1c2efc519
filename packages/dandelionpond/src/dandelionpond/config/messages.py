"""Define the events and actions of `Distribution`.

The `call_id` of an event is that of the action whose call it reports on. It identifies
late answers to abandoned calls.
"""

from enum import StrEnum

import msgspec


class Message(msgspec.Struct, frozen=True, tag=True):
    """The base class of events and actions, each tagged with its class name."""


class Peer(msgspec.Struct, frozen=True):
    """The name of a node, with its failure domain."""

    name: str
    failure_domain: str


class OfferOutcome(StrEnum):
    """The decision of `SettingsState` about an offered folder."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    STALE = "stale"


class Tick(Message, frozen=True):
    """Time has passed; timeouts and due calls are to be processed.

    It is sent at least twice in each `pause_after_s`.
    """


class PeersChanged(Message, frozen=True):
    """The list of live peers changed; it excludes suspect and leaving peers."""

    live_peers: tuple[Peer, ...]


class PeerRevision(Message, frozen=True):
    """A peer sent this revision and digest in an `Exchange`."""

    peer: str
    revision: int
    digest: str


class WatchAnswered(Message, frozen=True):
    """A watch of the platform ended with this revision."""

    call_id: int
    revision: int


class FolderReadCompleted(Message, frozen=True):
    """A consistent read of the folder on the platform completed."""

    call_id: int
    revision: int


class PlatformCallFailed(Message, frozen=True):
    """A read or a watch of the platform failed."""

    call_id: int


class PeerFetchCompleted(Message, frozen=True):
    """A peer answered completely; revision 0 means it has no settings."""

    call_id: int
    revision: int


class PeerFetchFailed(Message, frozen=True):
    """A fetch from a peer failed."""

    call_id: int


class OfferDecided(Message, frozen=True):
    """`SettingsState` decided whether to accept the folder of an `Offer`."""

    revision: int
    outcome: OfferOutcome
    digest: str = ""


DistributionEvent = (
    Tick
    | PeersChanged
    | PeerRevision
    | WatchAnswered
    | FolderReadCompleted
    | PlatformCallFailed
    | PeerFetchCompleted
    | PeerFetchFailed
    | OfferDecided
)


class ReadFolder(Message, frozen=True):
    """A request to read the platform's folder until its revision stays the same."""

    call_id: int


class WatchPlatform(Message, frozen=True):
    """A request to wait for a platform revision newer than `from_revision`."""

    call_id: int
    from_revision: int
    wait_s: float


class FetchFromPeer(Message, frozen=True):
    """A request to fetch the files that this node lacks from a peer."""

    call_id: int
    peer: str


class Offer(Message, frozen=True):
    """A request to offer the folder from a call to `SettingsState`.

    The result is reported as `OfferDecided`.
    """

    call_id: int
    revision: int


class Announce(Message, frozen=True):
    """A request to send an `Exchange` to `fanout` peers at once."""

    revision: int
    digest: str


DistributionAction = ReadFolder | WatchPlatform | FetchFromPeer | Offer | Announce
