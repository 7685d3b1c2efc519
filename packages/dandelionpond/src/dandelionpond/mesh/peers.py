"""Decide which peers live and when they are due a beat."""

from collections.abc import Iterable
from random import Random

import msgspec

from dandelionpond.mesh.messages import Beat

# Interval between two beats to one peer, in seconds, in a small fleet.
BEAT_S = 0.5
# Beats that a node sends in a second at most without news; the interval grows beyond
# this, so that the cost of a node stays flat in the size of the fleet.
MAX_BEATS_PER_S = 60.0
# Intervals of silence after which a peer no longer counts as live.
SILENT_BEATS = 3.2
# Time in seconds after which a silent peer is forgotten.
FORGET_S = 60.0
# A silent peer gets one beat in this many, so that sides of a cut meet again.
SILENT_EVERY = 4
MAX_PEERS = 512
# Earlier starts of a peer whose late beats are recognized.
RETIRED_STARTS = 4
# Addresses that a beat carries.
PEERS_IN_BEAT = 8
PEERS_IN_ANSWER = 64


class Routes(msgspec.Struct, frozen=True):
    """Name the peers that get a beat, and those that also pass it on."""

    direct: tuple[str, ...]
    relays: tuple[str, ...]


class Peer:
    """Hold what is known of one peer; times are monotonic seconds of this node."""

    __slots__ = (
        "address",
        "beat",
        "heard_at",
        "retired",
        "sent",
    )

    def __init__(self, address: str) -> None:
        self.address = address
        self.beat: Beat | None = None
        self.heard_at = -1e9
        self.retired: tuple[int, ...] = ()
        self.sent = 0

    def is_old(self, beat: Beat) -> bool:
        """Return whether a beat is older than the last one.

        Starts are not ordered by their times, because the wall clock may step back.
        """
        last = self.beat
        if last is None or last.node != beat.node:
            return False
        if last.started_ms == beat.started_ms:
            return beat.sequence <= last.sequence
        return beat.started_ms in self.retired

    def take(self, beat: Beat, now: float) -> None:
        """Keep a beat that is not old."""
        last = self.beat
        if last is not None and last.started_ms != beat.started_ms:
            self.retired = (*self.retired, last.started_ms)[-RETIRED_STARTS:]
        self.beat = beat
        self.heard_at = now


class PeerTable:
    """Own the peers of one node by their datagram address."""

    __slots__ = ("_address", "_peers", "_random", "counters")

    def __init__(self, address: str, seeds: Iterable[str], random: Random) -> None:
        self._address = address
        self._random = random
        self._peers: dict[str, Peer] = {}
        self.counters = {"old": 0, "at_bound": 0, "forgotten": 0, "heard": 0}
        for seed in seeds:
            self._add(seed)

    @property
    def interval_s(self) -> float:
        """Return the interval between two beats to one peer in seconds."""
        return max(BEAT_S, len(self._peers) / MAX_BEATS_PER_S)

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of all peers."""
        return tuple(self._peers)

    def live_peers(self, now: float) -> list[Peer]:
        """Return the peers heard lately, leaving ones included."""
        limit = self.interval_s * SILENT_BEATS
        return [
            peer
            for peer in self._peers.values()
            if peer.beat is not None and now - peer.heard_at <= limit
        ]

    def hear(self, address: str, beat: Beat, now: float) -> bool:
        """Take in a beat; return False if a later one was heard before."""
        peer = self._add(address)
        if peer is None:
            return False
        if peer.is_old(beat):
            self.counters["old"] += 1
            return False
        peer.take(beat, now)
        self.counters["heard"] += 1
        for known in beat.peers:
            self._add(known)
        return True

    def due(self, now: float) -> list[str]:
        """Return the addresses that get the next regular beat."""
        limit = self.interval_s * SILENT_BEATS
        chosen = []
        for address, peer in list(self._peers.items()):
            silent_s = now - peer.heard_at
            if peer.beat is not None and silent_s > FORGET_S:
                del self._peers[address]
                self.counters["forgotten"] += 1
                continue
            peer.sent += 1
            if silent_s <= limit or peer.sent <= 8 or peer.sent % SILENT_EVERY == 0:
                chosen.append(address)
        return chosen

    def routes(self, addresses: Iterable[str], own_domain: str, now: float) -> Routes:
        """Return how beats reach some peers with few bytes between failure domains.

        Peers of the own domain and silent ones are sent to directly. In each other
        domain one live peer, drawn anew each time, passes a beat on.
        """
        live = {peer.address: peer for peer in self.live_peers(now)}
        direct: list[str] = []
        domains: dict[str, list[str]] = {}
        for address in addresses:
            peer = live.get(address)
            beat = peer.beat if peer else None
            if beat is None or beat.is_leaving or beat.failure_domain == own_domain:
                direct.append(address)
            else:
                domains.setdefault(beat.failure_domain, []).append(address)
        relays = [self._random.choice(found) for _, found in sorted(domains.items())]
        return Routes(tuple(direct), tuple(relays))

    def near(self, own_domain: str, now: float) -> tuple[str, ...]:
        """Return the live peers of the own failure domain."""
        return tuple(
            peer.address
            for peer in self.live_peers(now)
            if peer.beat is not None and peer.beat.failure_domain == own_domain
        )

    def sample(self, now: float, count: int) -> tuple[str, ...]:
        """Return some addresses of live peers."""
        addresses = [peer.address for peer in self.live_peers(now)]
        if len(addresses) <= count:
            return tuple(addresses)
        return tuple(self._random.sample(addresses, count))

    def silent_domains(self, now: float, silence_s: float) -> frozenset[str]:
        """Return failure domains none of whose nodes was heard for `silence_s`.

        Nothing is concluded while no peer at all is heard. A node that was heard once
        only says nothing yet about its domain.
        """
        heard: dict[str, float] = {}
        for peer in self._peers.values():
            if peer.beat is not None and not peer.beat.is_leaving:
                domain = peer.beat.failure_domain
                heard[domain] = max(heard.get(domain, -1e9), peer.heard_at)
        silence_s = max(silence_s, self.interval_s * SILENT_BEATS)
        silent = frozenset(d for d, at in heard.items() if now - at > silence_s)
        return frozenset() if len(silent) == len(heard) else silent

    def unresponsive_upstreams(self, own_domain: str, now: float) -> frozenset[str]:
        """Return upstreams from which live peers get nothing.

        One peer of the own failure domain is enough, or two of others: a single node's
        own path may be cut.
        """
        near: set[str] = set()
        once: set[str] = set()
        for peer in self.live_peers(now):
            assert peer.beat is not None
            names = set(peer.beat.unresponsive)
            if peer.beat.failure_domain == own_domain:
                near |= names
            else:
                near |= once & names
                once |= names
        return frozenset(near)

    def _add(self, address: str) -> Peer | None:
        if address == self._address:
            return None
        peer = self._peers.get(address)
        if peer is None:
            if len(self._peers) >= MAX_PEERS:
                self.counters["at_bound"] += 1
                return None
            peer = self._peers[address] = Peer(address)
        return peer
