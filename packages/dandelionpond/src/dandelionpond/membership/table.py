"""Index the known peers, with random choice in constant time in each failure domain."""

from collections.abc import Iterable, Iterator
from random import Random

from dandelionpond.membership.messages import PeerState, Rumor

# The upper 32 bits of a heartbeat hold the epoch, the lower ones count intervals.
EPOCH_SIZE = 1 << 32

# A partition is likely if more than one peer in this many is gone: daily replacements
# leave fewer than 1 in 20 gone, a lost failure domain leaves at least 1 in 8.
_PARTITION_RATIO = 20

# Within one epoch of a heartbeat, a state replaces those of lower precedence.
_PRECEDENCE = {
    PeerState.LIVE: 0,
    PeerState.LEAVING: 1,
    PeerState.SUSPECT: 2,
    PeerState.GONE: 3,
}


class Peer:
    """What this node knows of a peer.

    `incarnation` is None until the first message from or about the peer.
    """

    __slots__ = (
        "address",
        "changed_at",
        "domain",
        "failing_since",
        "heartbeat",
        "incarnation",
        "name",
        "state",
    )

    def __init__(self, name: str, address: str, domain: str, now: float) -> None:
        self.name = name
        self.address = address
        self.domain = domain
        self.state = PeerState.LIVE
        self.incarnation: tuple[int, int] | None = None
        self.heartbeat = 0
        self.changed_at = now
        self.failing_since: float | None = None

    def is_replaced_by(self, heartbeat: int, state: PeerState) -> bool:
        """Return whether a state of the same incarnation replaces the current one."""
        current = (self.heartbeat // EPOCH_SIZE, _PRECEDENCE[self.state])
        return (heartbeat // EPOCH_SIZE, _PRECEDENCE[state]) > current

    def to_rumor(self, origin: str) -> Rumor:
        """Return this entry as a rumor."""
        started_ms, nonce = self.incarnation or (0, 0)
        return Rumor(
            self.name,
            "node",
            self.state.value,
            started_ms,
            nonce,
            self.heartbeat,
            self.address,
            self.domain,
            origin,
        )


class PeerTable:
    """An index of peers by name, by failure domain and by state.

    At `max_peers` the peer that has been gone longest is removed; if none is gone, the
    new peer is refused. Both are counted.
    """

    __slots__ = (
        "_max_peers",
        "_names_by_domain",
        "_peers",
        "_positions",
        "_view",
        "gone",
        "refused",
        "removed",
    )

    def __init__(self, max_peers: int) -> None:
        self._max_peers = max_peers
        self._peers: dict[str, Peer] = {}
        self._names_by_domain: dict[str, list[str]] = {}
        # Name of a peer to its failure domain and its index in the domain's list.
        self._positions: dict[str, tuple[str, int]] = {}
        self._view: list[Peer] = []
        self.gone: dict[str, Peer] = {}
        self.refused = 0
        self.removed = 0

    def __len__(self) -> int:
        return len(self._peers)

    def __iter__(self) -> Iterator[Peer]:
        return iter(self._peers.values())

    @property
    def is_probably_partitioned(self) -> bool:
        """Return whether so many peers are gone that a partition is likely."""
        return len(self.gone) * _PARTITION_RATIO > len(self._peers)

    def sample_gone_peers(self, count: int, random: Random) -> list[Peer]:
        """Return up to `count` random gone peers."""
        gone = list(self.gone.values())
        return random.sample(gone, min(count, len(gone)))

    def corrections(self, rumors: Iterable[Rumor]) -> list[Rumor]:
        """Return the entries that are newer than the given rumors about them."""
        corrections = []
        for rumor in rumors:
            peer = self._peers.get(rumor.subject)
            if peer is None or peer.incarnation is None or rumor.subject_kind != "node":
                continue
            current = (peer.incarnation, peer.heartbeat // EPOCH_SIZE)
            incarnation = (rumor.started_ms, rumor.nonce)
            if current > (incarnation, rumor.heartbeat // EPOCH_SIZE):
                corrections.append(peer.to_rumor(""))
        return corrections

    def get(self, name: str) -> Peer | None:
        """Return the peer of that name, or None."""
        return self._peers.get(name)

    def add(self, name: str, address: str, domain: str, now: float) -> Peer | None:
        """Add a live peer; return None if the table is full."""
        if len(self._peers) >= self._max_peers:
            if not self.gone:
                self.refused += 1
                return None
            oldest = min(self.gone.values(), key=lambda peer: peer.changed_at)
            self.remove(oldest)
            self.removed += 1
        peer = self._peers[name] = Peer(name, address, domain, now)
        self._add_to_domain(peer)
        return peer

    def remove(self, peer: Peer) -> None:
        """Remove a peer from the table and its indexes."""
        self._remove_from_domain(peer.name)
        self.gone.pop(peer.name, None)
        del self._peers[peer.name]

    def update(self, peer: Peer, state: PeerState, address: str, domain: str) -> None:
        """Set the state of a peer and reindex it.

        An empty address or failure domain leaves the current one.
        """
        peer.state = state
        peer.address = address or peer.address
        peer.domain = domain or peer.domain
        self._remove_from_domain(peer.name)
        self.gone.pop(peer.name, None)
        if state is PeerState.GONE:
            self.gone[peer.name] = peer
        else:
            self._add_to_domain(peer)

    def random_peer(self, domain: str, is_foreign: bool, random: Random) -> Peer | None:
        """Return a random peer that is not gone.

        It is in `domain`, or with `is_foreign` in another failure domain.
        """
        if is_foreign:
            other_domains = [name for name in self._names_by_domain if name != domain]
            if not other_domains:
                return None
            domain = other_domains[int(random.random() * len(other_domains))]
        names = self._names_by_domain.get(domain)
        if not names:
            return None
        return self._peers[names[int(random.random() * len(names))]]

    def random_peer_of_any_domain(self, random: Random) -> Peer | None:
        """Return a random peer that is not gone; all domains are equally likely."""
        domains = list(self._names_by_domain)
        if not domains:
            return None
        return self.random_peer(
            domains[int(random.random() * len(domains))], False, random
        )

    def refresh_view(
        self, size: int, domain: str, foreign_share: float, rotate: bool, random: Random
    ) -> None:
        """Fill the view up to `size` peers; with `rotate`, replace its oldest one.

        Exchanges go only to the peers of the view, so that their channels stay open.
        The slow rotation has each node probed by different peers over time.
        """
        self._view = [
            peer
            for peer in self._view
            if peer.state is not PeerState.GONE and self._peers.get(peer.name) is peer
        ]
        if rotate and len(self._view) >= size:
            del self._view[0]
        foreign_count = sum(peer.domain != domain for peer in self._view)
        foreign_target = max(1, round(size * foreign_share))
        for _ in range(size * 2):
            if len(self._view) >= size:
                return
            is_foreign = foreign_count < foreign_target
            peer = self.random_peer(domain, is_foreign, random)
            peer = peer or self.random_peer(domain, not is_foreign, random)
            if peer is not None and peer not in self._view:
                self._view.append(peer)
                foreign_count += peer.domain != domain

    def sample_view(
        self,
        chosen: dict[str, Peer],
        count: int,
        domain: str,
        is_foreign_first: bool,
        random: Random,
    ) -> None:
        """Add random peers of the view to `chosen` until it has `count` peers.

        With `is_foreign_first` the first one is in another failure domain, so that
        rumors cross failure domains.
        """
        order = random.sample(self._view, len(self._view))
        if is_foreign_first:
            foreign = [peer for peer in order if peer.domain != domain][:1]
            order = foreign + order
        for peer in order:
            if len(chosen) >= count:
                return
            chosen[peer.name] = peer

    def _add_to_domain(self, peer: Peer) -> None:
        names = self._names_by_domain.setdefault(peer.domain, [])
        self._positions[peer.name] = (peer.domain, len(names))
        names.append(peer.name)

    def _remove_from_domain(self, name: str) -> None:
        position = self._positions.pop(name, None)
        if position is None:
            return
        domain, index = position
        names = self._names_by_domain[domain]
        last = names.pop()
        if last != name:
            names[index] = last
            self._positions[last] = (domain, index)
        if not names:
            del self._names_by_domain[domain]
