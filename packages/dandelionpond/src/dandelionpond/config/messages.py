"""Define the events and actions of `Distribution`.

`call` numbers tie an answer to the action that asked for it. A late answer to an
abandoned call is recognised by its number.
"""

from enum import StrEnum

import msgspec


class Message(msgspec.Struct, frozen=True, tag=True):
    """Tag each event and action with its class name."""


class Peer(msgspec.Struct, frozen=True):
    """Name a live node and its failure domain."""

    name: str
    failure_domain: str


class OfferOutcome(StrEnum):
    """Say what the keeper decided about an offered folder."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    STALE = "stale"


class Tick(Message, frozen=True):
    """Let time pass; sent at least twice in each `pause_after_s`."""


class PeersChanged(Message, frozen=True):
    """Replace the list of live peers; suspected and leaving peers are not in it."""

    live: tuple[Peer, ...]


class PeerRevision(Message, frozen=True):
    """Report the revision and digest that a peer sent in an `Exchange`."""

    peer: str
    revision: int
    digest: str


class WatchAnswered(Message, frozen=True):
    """Report the platform's revision at the end of a watch."""

    call: int
    revision: int


class FolderReadCompleted(Message, frozen=True):
    """Report a consistent read of the platform's folder."""

    call: int
    revision: int


class PlatformCallFailed(Message, frozen=True):
    """Report that a platform call had no usable answer."""

    call: int


class PeerFetchCompleted(Message, frozen=True):
    """Report a complete answer of a peer; revision 0 if the peer has no settings."""

    call: int
    revision: int


class PeerFetchFailed(Message, frozen=True):
    """Report that a peer gave no usable answer."""

    call: int


class OfferDecided(Message, frozen=True):
    """Report the keeper's verdict on the folder of an `Offer`."""

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
    """Read the platform's folder until its revision stands still."""

    call: int


class WatchPlatform(Message, frozen=True):
    """Wait on the platform for a revision above `from_revision`."""

    call: int
    from_revision: int
    wait_s: float


class FetchFromPeer(Message, frozen=True):
    """Fetch the files that this node misses from a peer."""

    call: int
    peer: str


class Offer(Message, frozen=True):
    """Offer the folder that a call brought to the keeper, then send `OfferDecided`."""

    call: int
    revision: int


class Announce(Message, frozen=True):
    """Send an `Exchange` to `fanout` peers now."""

    revision: int
    digest: str


DistributionAction = ReadFolder | WatchPlatform | FetchFromPeer | Offer | Announce
