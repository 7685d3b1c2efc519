"""Track which peers are live and when each one is sent a heartbeat."""

import math
from collections.abc import Iterable
from random import Random

import msgspec

from dandelionpond.mesh.messages import Heartbeat, KnownNodes
from dandelionpond.mesh.node_count import NodeCountTracker

# Interval in seconds between two rounds of regular heartbeats.
HEARTBEAT_INTERVAL_S = 0.5
# Limit on the regular heartbeats that a node sends per second within its own failure
# domain, and on those that it receives per second from other domains. Beyond it, a peer
# is sent a heartbeat in only one of several rounds, so that the cost of a node does not
# depend on the fleet's size.
MAX_HEARTBEATS_PER_S = 100.0
# Number of heartbeat intervals without a heartbeat after which a peer is not live.
SILENT_AFTER_INTERVALS = 3.2
# Time in seconds after which a silent peer is removed. Seeds are kept.
FORGET_AFTER_S = 60.0
# A new peer is sent a heartbeat in each of its first rounds, even while nothing has
# been heard from it.
NEW_PEER_ROUNDS = 8
# A silent peer is sent a heartbeat in one of this many rounds, so that both sides of a
# network partition find each other again.
SILENT_PEER_ROUNDS = 4
MAX_PEERS = 512
# Number of earlier incarnations of a peer whose delayed heartbeats are recognized.
MAX_PAST_STARTS = 4
# Number of peer addresses in a regular heartbeat and in a requested reply.
PEERS_IN_HEARTBEAT = 8
PEERS_IN_REPLY = 64


class DeliveryPlan(msgspec.Struct, frozen=True):
    """The peers that get a heartbeat, and those that also have to relay it."""

    direct: tuple[str, ...]
    relays: tuple[str, ...]


class Peer:
    """What is known about one peer; times are this node's monotonic seconds."""

    __slots__ = (
        "address",
        "heartbeat",
        "last_heard_at",
        "past_starts",
        "rounds",
    )

    def __init__(self, address: str) -> None:
        self.address = address
        self.heartbeat: Heartbeat | None = None
        self.last_heard_at = -1e9
        self.past_starts: tuple[int, ...] = ()
        self.rounds = 0

    def is_stale(self, heartbeat: Heartbeat) -> bool:
        """Return whether a heartbeat is older than the last one received.

        Incarnations are not compared by their start times, because the wall clock may
        step back.
        """
        previous = self.heartbeat
        if previous is None or previous.node != heartbeat.node:
            return False
        if previous.started_ms == heartbeat.started_ms:
            return heartbeat.sequence <= previous.sequence
        return heartbeat.started_ms in self.past_starts

    def record(self, heartbeat: Heartbeat, now: float) -> None:
        """Store a heartbeat that is not stale."""
        previous = self.heartbeat
        if previous is not None and previous.started_ms != heartbeat.started_ms:
            self.past_starts = (*self.past_starts, previous.started_ms)[
                -MAX_PAST_STARTS:
            ]
        self.heartbeat = heartbeat
        self.last_heard_at = now


class HeartbeatPeerTable:
    """The peers of one node by their datagram address."""

    __slots__ = (
        "_address",
        "_domain",
        "_local_rounds",
        "_new_addresses",
        "_node_count",
        "_peers",
        "_random",
        "_remote_rounds",
        "_round",
        "_seeds",
        "counters",
    )

    def __init__(
        self, address: str, failure_domain: str, seeds: Iterable[str], random: Random
    ) -> None:
        self._address = address
        self._domain = failure_domain
        self._random = random
        # A random start, so that nodes don't send to other domains in the same rounds.
        self._round = random.randrange(1_000)
        # Rounds between two heartbeats to the same peer, by whether it is in the own
        # failure domain.
        self._local_rounds = 1
        self._remote_rounds = 1
        self._peers: dict[str, Peer] = {}
        self._new_addresses: list[str] = []
        self.counters = {"old": 0, "at_bound": 0, "forgotten": 0, "heard": 0}
        self.counters["bad_known_nodes"] = 0
        self._seeds = tuple(seeds)
        for seed in self._seeds:
            self._add_peer(seed)
        self._node_count = NodeCountTracker(len(self._peers))

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of all peers."""
        return tuple(self._peers)

    def live_peers(self, now: float) -> list[Peer]:
        """Return the peers that were heard recently, including leaving ones."""
        return [peer for peer in self._peers.values() if self._is_live(peer, now)]

    def known_node_count(self, now: float) -> int:
        """Return the most nodes that were live at once lately, with this one.

        Peers that announced that they leave do not count once they are silent.
        """
        live = {
            peer.address: peer.heartbeat is not None and peer.heartbeat.is_leaving
            for peer in self.live_peers(now)
        }
        return self._node_count.update(live, now)

    def known_nodes_news(self, now: float) -> KnownNodes | None:
        """Return what to tell peers about nodes that are not heard, None if nothing."""
        return self._node_count.news(now)

    def learn_known_nodes(self, news: KnownNodes, now: float) -> bool:
        """Record how many nodes a peer has known; return False for a bad value.

        A node that starts in a part of a split fleet learns the fleet's size so.
        """
        if self._node_count.receive(news, now):
            return True
        self.counters["bad_known_nodes"] += 1
        return False

    def silence_limit_s(self, address: str) -> float:
        """Return the time in seconds after which a silent peer is not live."""
        peer = self._peers.get(address)
        is_remote = peer is not None and self._is_remote(peer)
        rounds = self._remote_rounds if is_remote else self._local_rounds
        return rounds * HEARTBEAT_INTERVAL_S * SILENT_AFTER_INTERVALS

    def receive(self, address: str, heartbeat: Heartbeat, now: float) -> bool:
        """Record a heartbeat; return False if it is stale or its sender not tracked."""
        peer = self._add_peer(address)
        if peer is None:
            return False
        if peer.is_stale(heartbeat):
            self.counters["old"] += 1
            return False
        peer.record(heartbeat, now)
        self.counters["heard"] += 1
        for known in heartbeat.peer_addresses:
            self._add_peer(known)
        return True

    def take_new_addresses(self) -> tuple[str, ...]:
        """Return the addresses that were added since the last call.

        They are told of this node at once: until then, the two nodes do not know of
        each other's work.
        """
        addresses = tuple(self._new_addresses)
        self._new_addresses.clear()
        return addresses

    def due_addresses(self, now: float) -> list[str]:
        """Return the addresses for the next regular heartbeat; drop expired peers.

        Call this once in each `HEARTBEAT_INTERVAL_S`.
        """
        self._round += 1
        self._drop_expired(now)
        remote_count = sum(self._is_remote(peer) for peer in self._peers.values())
        self._remote_rounds = _rounds_for(remote_count)
        self._local_rounds = _rounds_for(len(self._peers) - remote_count)
        due = []
        for index, (address, peer) in enumerate(self._peers.items()):
            if self._is_remote(peer):
                # A relay forwards to all peers of its domain, so all are due at once.
                is_turn = self._round % self._remote_rounds == 0
            else:
                is_turn = (self._round + index) % self._local_rounds == 0
            if not is_turn:
                continue
            peer.rounds += 1
            if (
                self._is_live(peer, now)
                or peer.rounds <= NEW_PEER_ROUNDS
                or peer.rounds % SILENT_PEER_ROUNDS == 0
            ):
                due.append(address)
        return due

    def plan_delivery(self, addresses: Iterable[str], now: float) -> DeliveryPlan:
        """Choose direct receivers and relays to limit traffic between failure domains.

        Heartbeats go directly to peers in the own domain and to peers that are silent
        or leaving. In each other domain one live peer relays them; it is chosen at
        random each time, so that a dead relay does not hide its domain.
        """
        direct: list[str] = []
        domains: dict[str, list[str]] = {}
        for address in addresses:
            peer = self._peers.get(address)
            heartbeat = peer.heartbeat if peer and self._is_live(peer, now) else None
            if (
                heartbeat is None
                or heartbeat.is_leaving
                or heartbeat.failure_domain == self._domain
            ):
                direct.append(address)
            else:
                domains.setdefault(heartbeat.failure_domain, []).append(address)
        relays = [
            self._random.choice(domain_addresses)
            for _, domain_addresses in sorted(domains.items())
        ]
        return DeliveryPlan(tuple(direct), tuple(relays))

    def live_in_domain(self, domain: str, now: float) -> tuple[str, ...]:
        """Return the addresses of the live peers in a failure domain."""
        return tuple(
            peer.address
            for peer in self.live_peers(now)
            if peer.heartbeat is not None and peer.heartbeat.failure_domain == domain
        )

    def domain_nodes(self, domain: str, now: float) -> tuple[tuple[str, ...], int]:
        """Return the live nodes of a failure domain, and how many were heard lately.

        That is within `FORGET_AFTER_S`. Leaving nodes do not count.
        """
        live, known = set(), set()
        for peer in self._peers.values():
            heartbeat = peer.heartbeat
            if heartbeat is None or heartbeat.is_leaving:
                continue
            if heartbeat.failure_domain == domain:
                known.add(heartbeat.node)
                if self._is_live(peer, now):
                    live.add(heartbeat.node)
        return tuple(sorted(live)), len(known)

    def node_counts(self, now: float) -> tuple[int, int]:
        """Return the numbers of live peers and of those heard lately.

        That is within `FORGET_AFTER_S`. Leaving nodes do not count.
        """
        live, known = set(), set()
        for peer in self._peers.values():
            heartbeat = peer.heartbeat
            if heartbeat is not None and not heartbeat.is_leaving:
                known.add(heartbeat.node)
                if self._is_live(peer, now):
                    live.add(heartbeat.node)
        return len(live), len(known)

    def sample_addresses(self, now: float, count: int) -> tuple[str, ...]:
        """Return the addresses of at most `count` live peers, chosen at random."""
        addresses = [peer.address for peer in self.live_peers(now)]
        if len(addresses) <= count:
            return tuple(addresses)
        return tuple(self._random.sample(addresses, count))

    def silent_domains(self, now: float, silence_s: float) -> frozenset[str]:
        """Return the failure domains without a heartbeat for `silence_s` seconds.

        The result is empty if all domains are silent, because then this node itself is
        probably cut off. Leaving peers and peers that were never heard do not count.
        """
        last_heard_at: dict[str, float] = {}
        counts: dict[str, int] = {}
        for peer in self._peers.values():
            if peer.heartbeat is not None and not peer.heartbeat.is_leaving:
                domain = peer.heartbeat.failure_domain
                counts[domain] = counts.get(domain, 0) + 1
                last_heard_at[domain] = max(
                    last_heard_at.get(domain, -1e9), peer.last_heard_at
                )
        silent = frozenset(
            domain
            for domain, at in last_heard_at.items()
            if now - at > max(silence_s, self._domain_limit_s(domain, counts[domain]))
        )
        return frozenset() if len(silent) == len(last_heard_at) else silent

    def unresponsive_upstreams(self, now: float) -> frozenset[str]:
        """Return the upstreams that live peers report as unresponsive.

        One report from the own failure domain is enough. From other domains it takes
        two, because the network path of a single node may be broken.
        """
        confirmed: set[str] = set()
        reported_once: set[str] = set()
        for peer in self.live_peers(now):
            assert peer.heartbeat is not None
            names = set(peer.heartbeat.unresponsive_upstreams)
            if peer.heartbeat.failure_domain == self._domain:
                confirmed |= names
            else:
                confirmed |= reported_once & names
                reported_once |= names
        return frozenset(confirmed)

    def _domain_limit_s(self, domain: str, count: int) -> float:
        """Return the time without any heartbeat that `count` live peers don't explain.

        Peers send in different rounds, so the more of them a domain has, the sooner its
        silence is noticed.
        """
        rounds = self._local_rounds if domain == self._domain else self._remote_rounds
        return max(1.0, rounds / count) * HEARTBEAT_INTERVAL_S * SILENT_AFTER_INTERVALS

    def _is_remote(self, peer: Peer) -> bool:
        heartbeat = peer.heartbeat
        return heartbeat is not None and heartbeat.failure_domain != self._domain

    def _is_live(self, peer: Peer, now: float) -> bool:
        return (
            peer.heartbeat is not None
            and now - peer.last_heard_at <= self.silence_limit_s(peer.address)
        )

    def _drop_expired(self, now: float) -> None:
        for address, peer in list(self._peers.items()):
            if peer.heartbeat is not None and now - peer.last_heard_at > FORGET_AFTER_S:
                self.counters["forgotten"] += 1
                if address in self._seeds:
                    # Otherwise the two sides of a long partition would have forgotten
                    # every address of each other.
                    seed = self._peers[address] = Peer(address)
                    seed.rounds = NEW_PEER_ROUNDS
                else:
                    del self._peers[address]

    def _add_peer(self, address: str) -> Peer | None:
        if address == self._address:
            return None
        peer = self._peers.get(address)
        if peer is None:
            if len(self._peers) >= MAX_PEERS:
                self.counters["at_bound"] += 1
                return None
            peer = self._peers[address] = Peer(address)
            self._new_addresses.append(address)
        return peer


def _rounds_for(peer_count: int) -> int:
    """Return the rounds between two heartbeats to the same peer of a group."""
    return max(1, math.ceil(peer_count / (MAX_HEARTBEATS_PER_S * HEARTBEAT_INTERVAL_S)))
