"""Hold the known peers with constant-time random choice in each failure domain."""

from collections.abc import Iterable, Iterator
from random import Random

from dandelionpond.membership.messages import PeerState, Rumor

EPOCH = 1 << 32

# Daily replacements leave fewer than one gone entry in 20; a lost failure domain leaves
# at least one in 8.
_SPLIT_SHARE = 20

# Order of the states that one epoch of a heartbeat allows; later ones win.
_RANK = {
    PeerState.LIVE: 0,
    PeerState.LEAVING: 1,
    PeerState.SUSPECT: 2,
    PeerState.GONE: 3,
}


class Peer:
    """Hold what one node knows of one peer; `incarnation` is None until heard."""

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

    def is_news(self, heartbeat: int, state: PeerState) -> bool:
        """Say whether a state of this incarnation replaces the held one."""
        held = (self.heartbeat // EPOCH, _RANK[self.state])
        return (heartbeat // EPOCH, _RANK[state]) > held

    def rumor(self, origin: str) -> Rumor:
        """Return this knowledge as a rumor."""
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
    """Index peers by name, by failure domain and by state.

    At `bound` entries the gone entry that changed first is removed; if there is none,
    the new entry is refused. Both are counted.
    """

    __slots__ = (
        "_bound",
        "_domains",
        "_peers",
        "_places",
        "_view",
        "gone",
        "refused",
        "removed",
    )

    def __init__(self, bound: int) -> None:
        self._bound = bound
        self._peers: dict[str, Peer] = {}
        self._domains: dict[str, list[str]] = {}
        self._places: dict[str, tuple[str, int]] = {}
        self._view: list[Peer] = []
        self.gone: dict[str, Peer] = {}
        self.refused = 0
        self.removed = 0

    def __len__(self) -> int:
        return len(self._peers)

    def __iter__(self) -> Iterator[Peer]:
        return iter(self._peers.values())

    @property
    def is_split(self) -> bool:
        """Say whether so many peers are gone that a partition is likely."""
        return len(self.gone) * _SPLIT_SHARE > len(self._peers)

    def sample_gone(self, count: int, random: Random) -> list[Peer]:
        """Return up to `count` random gone peers."""
        gone = list(self.gone.values())
        return random.sample(gone, min(count, len(gone)))

    def corrections(self, rumors: Iterable[Rumor]) -> list[Rumor]:
        """Return what is held here and is newer than the given knowledge."""
        found = []
        for rumor in rumors:
            peer = self._peers.get(rumor.subject)
            if peer is None or peer.incarnation is None or rumor.subject_kind != "node":
                continue
            held = (peer.incarnation, peer.heartbeat // EPOCH)
            incarnation = (rumor.started_ms, rumor.nonce)
            if held > (incarnation, rumor.heartbeat // EPOCH):
                found.append(peer.rumor(""))
        return found

    def get(self, name: str) -> Peer | None:
        """Return the peer of that name, or None."""
        return self._peers.get(name)

    def add(self, name: str, address: str, domain: str, now: float) -> Peer | None:
        """Add a live peer; return None if the table is full."""
        if len(self._peers) >= self._bound:
            if not self.gone:
                self.refused += 1
                return None
            oldest = min(self.gone.values(), key=lambda peer: peer.changed_at)
            self.remove(oldest)
            self.removed += 1
        peer = self._peers[name] = Peer(name, address, domain, now)
        self._place(peer)
        return peer

    def remove(self, peer: Peer) -> None:
        """Remove a peer."""
        self._unplace(peer.name)
        self.gone.pop(peer.name, None)
        del self._peers[peer.name]

    def update(self, peer: Peer, state: PeerState, address: str, domain: str) -> None:
        """Set the state, address and failure domain of a peer and its indexes."""
        peer.state = state
        peer.address = address or peer.address
        peer.domain = domain or peer.domain
        self._unplace(peer.name)
        self.gone.pop(peer.name, None)
        if state is PeerState.GONE:
            self.gone[peer.name] = peer
        else:
            self._place(peer)

    def pick(self, domain: str, is_foreign: bool, random: Random) -> Peer | None:
        """Return a random peer that is not gone, of this or of another domain."""
        if is_foreign:
            others = [name for name in self._domains if name != domain]
            if not others:
                return None
            domain = others[int(random.random() * len(others))]
        names = self._domains.get(domain)
        if not names:
            return None
        return self._peers[names[int(random.random() * len(names))]]

    def pick_any(self, random: Random) -> Peer | None:
        """Return a random peer that is not gone, each failure domain as likely."""
        domains = list(self._domains)
        if not domains:
            return None
        return self.pick(domains[int(random.random() * len(domains))], False, random)

    def refresh_view(
        self, size: int, domain: str, foreign_share: float, rotate: bool, random: Random
    ) -> None:
        """Fill the view up to `size` peers; with `rotate`, replace its oldest one.

        Exchanges go to the peers of the view, so that their channels stay open. The
        view changes slowly, so that each node is observed by changing peers.
        """
        self._view = [
            peer
            for peer in self._view
            if peer.state is not PeerState.GONE and self._peers.get(peer.name) is peer
        ]
        if rotate and len(self._view) >= size:
            del self._view[0]
        foreign = sum(peer.domain != domain for peer in self._view)
        wanted = max(1, round(size * foreign_share))
        for _ in range(size * 2):
            if len(self._view) >= size:
                return
            is_foreign = foreign < wanted
            found = self.pick(domain, is_foreign, random)
            found = found or self.pick(domain, not is_foreign, random)
            if found is not None and found not in self._view:
                self._view.append(found)
                foreign += found.domain != domain

    def sample(
        self,
        chosen: dict[str, Peer],
        count: int,
        domain: str,
        is_foreign_first: bool,
        random: Random,
    ) -> None:
        """Fill `chosen` with random peers of the view up to `count`.

        With `is_foreign_first` the first one is of another failure domain, so that
        news crosses domains.
        """
        order = random.sample(self._view, len(self._view))
        if is_foreign_first:
            foreign = [peer for peer in order if peer.domain != domain][:1]
            order = foreign + order
        for peer in order:
            if len(chosen) >= count:
                return
            chosen[peer.name] = peer

    def _place(self, peer: Peer) -> None:
        names = self._domains.setdefault(peer.domain, [])
        self._places[peer.name] = (peer.domain, len(names))
        names.append(peer.name)

    def _unplace(self, name: str) -> None:
        place = self._places.pop(name, None)
        if place is None:
            return
        domain, index = place
        names = self._domains[domain]
        last = names.pop()
        if last != name:
            names[index] = last
            self._places[last] = (domain, index)
        if not names:
            del self._domains[domain]
