"""Define the events and actions of `Distribution`.

The `call_id` of an event is that of the action whose call it reports on. It identifies
late answers to abandoned calls.
"""

from enum import StrEnum

import msgspec


class Message(msgspec.Struct, frozen=True, tag=True):
    """Base class of events and actions, each tagged with its class name."""


class Peer(msgspec.Struct, frozen=True):
    """Identify a node by name, with its failure domain."""

    name: str
    failure_domain: str


class OfferOutcome(StrEnum):
    """Define whether `SettingsState` accepted an offered folder."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    STALE = "stale"


class Tick(Message, frozen=True):
    """Process timeouts and due calls; sent at least twice in each `pause_after_s`."""


class PeersChanged(Message, frozen=True):
    """Replace the list of live peers; it excludes suspect and leaving peers."""

    live_peers: tuple[Peer, ...]


class PeerRevision(Message, frozen=True):
    """Report the revision and digest that a peer sent in an `Exchange`."""

    peer: str
    revision: int
    digest: str


class WatchAnswered(Message, frozen=True):
    """Report the platform's revision when a watch ends."""

    call_id: int
    revision: int


class FolderReadCompleted(Message, frozen=True):
    """Report a consistent read of the folder on the platform."""

    call_id: int
    revision: int


class PlatformCallFailed(Message, frozen=True):
    """Report that a read or a watch of the platform failed."""

    call_id: int


class PeerFetchCompleted(Message, frozen=True):
    """Report the complete answer of a peer; revision 0 means it has no settings."""

    call_id: int
    revision: int


class PeerFetchFailed(Message, frozen=True):
    """Report that a fetch from a peer failed."""

    call_id: int


class OfferDecided(Message, frozen=True):
    """Report whether the folder of an `Offer` was accepted."""

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
    """Read the folder on the platform until its revision stays the same."""

    call_id: int


class WatchPlatform(Message, frozen=True):
    """Wait for the platform to have a revision newer than `from_revision`."""

    call_id: int
    from_revision: int
    wait_s: float


class FetchFromPeer(Message, frozen=True):
    """Fetch the files that this node lacks from a peer."""

    call_id: int
    peer: str


class Offer(Message, frozen=True):
    """Offer the folder from a call to `SettingsState`, then send `OfferDecided`."""

    call_id: int
    revision: int


class Announce(Message, frozen=True):
    """Send an `Exchange` to `fanout` peers at once."""

    revision: int
    digest: str


DistributionAction = ReadFolder | WatchPlatform | FetchFromPeer | Offer | Announce
