"""Detect failed peers and choose the peers to gossip with.

Failure detection follows SWIM (Das, Gupta, Motivala, 2002): an exchange is the probe,
and a suspicion is a rumor that its subject can refute. The upper 32 bits of a heartbeat
are its epoch, which a refutation or a planned stop raises; the lower 32 bits count
intervals. A suspect or gone state overrides all live and leaving messages of the same
epoch, so a late message cannot revive a peer.
"""

from collections.abc import Iterable
from random import Random

from dandelionpond.identity import Identity
from dandelionpond.membership.local_node import LocalNode
from dandelionpond.membership.messages import (
    MAX_COUNTED_HEARTBEAT,
    MAX_HEARTBEAT,
    Exchange,
    IncarnationSuperseded,
    MembershipAction,
    PeerChanged,
    PeerState,
    PlatformList,
    Rumor,
    SendExchange,
    UpstreamRumorReceived,
)
from dandelionpond.membership.rumor_selection import select_rumors
from dandelionpond.membership.rumors import RelayLimiter, RumorQueue
from dandelionpond.membership.settings import MembershipSettings
from dandelionpond.membership.table import EPOCH_SIZE, Peer, PeerTable

# Once in this many heartbeats a gone peer is probed, so that the sides of a healed
# partition find each other even while the platform is down.
_GONE_RETRY_HEARTBEATS = 10


class Membership:
    """The known peers of one node; times are seconds of the caller's clock."""

    __slots__ = (
        "_failing_peers",
        "_failure_domain",
        "_heartbeat_at",
        "_identity",
        "_is_fresh",
        "_last_tick",
        "_listed_names",
        "_local_node",
        "_platform_revision",
        "_queue",
        "_random",
        "_relay_limiter",
        "_replies_received",
        "_sent_at",
        "_settings",
        "_settings_version",
        "_suspects",
        "_table",
        "counts",
    )

    def __init__(
        self,
        identity: Identity,
        address: str,
        failure_domain: str,
        settings: MembershipSettings,
        random: Random,
        now: float,
    ) -> None:
        self._identity = identity
        self._local_node = LocalNode(identity, address, failure_domain)
        self._failure_domain = failure_domain
        self._settings = settings
        self._random = random
        self._table = PeerTable(settings.max_peers)
        self._queue = RumorQueue(settings.max_pending_rumors)
        self._last_tick = now
        self._heartbeat_at = now
        self._relay_limiter = RelayLimiter(settings, random, now)
        self._sent_at: dict[str, float] = {}
        self._suspects: dict[str, Peer] = {}
        self._failing_peers: dict[str, Peer] = {}
        self._listed_names: frozenset[str] | None = None
        self._platform_revision = -1
        self._replies_received = 0
        self._settings_version = (0, "")
        self._is_fresh = False
        counter_names = ("pauses", "stale_lists", "old_messages", "refuted")
        self.counts = dict.fromkeys((*counter_names, "invalid_heartbeats"), 0)
        self._queue_own_state()

    @property
    def _pause_limit_s(self) -> float:
        return self._settings.pause_intervals * self._settings.heartbeat_interval_s

    @property
    def next_tick_at(self) -> float:
        """Return when the next heartbeat or relay is due."""
        due_at = self._relay_limiter.due_at
        return self._heartbeat_at if due_at is None else min(self._heartbeat_at, due_at)

    @property
    def is_bootstrapped(self) -> bool:
        """Return whether a platform list and `fanout` replies have been received.

        With fewer known peers than `fanout`, as many replies as peers are enough.
        """
        # An empty platform list does not prove that known peers are gone, so replies
        # are needed as well.
        needed_replies = min(self._settings.fanout, len(self._table))
        return (
            self._listed_names is not None and self._replies_received >= needed_replies
        )

    @property
    def peers(self) -> Iterable[Peer]:
        """Return all known peers; the caller must not modify them."""
        return self._table

    @property
    def relays_deferred(self) -> int:
        """Return how often the rate limit left a change to the next heartbeat."""
        return self._relay_limiter.deferred

    def is_fresh(self, now: float) -> bool:
        """Return whether the states of peers are current.

        That is so once a reply has arrived since the start or the last pause, or once
        the platform's list shows no other node.
        """
        return self._is_fresh and now - self._last_tick <= self._pause_limit_s

    def state_of(self, name: str) -> PeerState | None:
        """Return the state of a peer, or None if it is unknown."""
        peer = self._table.get(name)
        return peer.state if peer else None

    def active_names(self, domain: str | None = None) -> list[str]:
        """Return the live and suspect peers of one failure domain or of all."""
        return [
            peer.name
            for peer in self._table
            if peer.state in (PeerState.LIVE, PeerState.SUSPECT)
            and domain in (None, peer.domain)
        ]

    def peer(self, name: str) -> Peer | None:
        """Return the entry of a peer, or None; the caller must not modify it."""
        return self._table.get(name)

    def configure(self, settings: MembershipSettings) -> None:
        """Apply new settings from the next event on.

        The bounds of the peer table and of the rumor queue stay as they are.
        """
        self._settings = settings

    def request_to(self, receiver: str) -> Exchange:
        """Return a request to a peer outside of the periodic gossip."""
        return self._build_message(receiver)

    def settings_revision_changed(self, revision: int, digest: str, now: float) -> None:
        """Announce a new settings revision, before the next heartbeat if possible."""
        self._settings_version = (revision, digest)
        self._relay_limiter.schedule(now)

    def spread_rumor(self, rumor: Rumor, now: float) -> None:
        """Queue a rumor from this node, such as one from `UpstreamView`."""
        self._queue.add(rumor, self._settings.relays)
        self._relay_limiter.schedule(now)

    def schedule_exchange(self, now: float) -> None:
        """Exchange with peers before the next heartbeat if possible."""
        self._relay_limiter.schedule(now)

    def tick(self, now: float) -> list[MembershipAction]:
        """Send due heartbeats and relays, and expire suspicions and gone peers."""
        self._detect_pause(now)
        self._last_tick = now
        actions: list[MembershipAction] = []
        if now >= self._heartbeat_at:
            # Without jitter, nodes that started together would all send at the same
            # time, and rumors would wait a whole interval for the next messages.
            jitter = 0.9 + 0.2 * self._random.random()
            self._heartbeat_at = now + self._settings.heartbeat_interval_s * jitter
            self._local_node.heartbeat += 1
            self._expire_peers(now, actions)
            self._send_exchanges(self._select_targets(is_relay=False), now, actions)
            self._relay_limiter.due_at = None
        elif (
            self._relay_limiter.due_at is not None and now >= self._relay_limiter.due_at
        ):
            self._relay_limiter.due_at = None
            self._send_exchanges(self._select_targets(is_relay=True), now, actions)
        return actions

    def exchange_received(
        self, exchange: Exchange, now: float, is_reply: bool = False
    ) -> list[MembershipAction]:
        """Process a request or a reply from a peer."""
        self._detect_pause(now)
        actions: list[MembershipAction] = []
        sender = exchange.sender
        if sender.name == self._identity.name:
            self._handle_state_of_self(
                (sender.started_ms, sender.nonce), 0, None, now, actions
            )
            return actions
        state = PeerState.LEAVING if exchange.state == "leaving" else PeerState.LIVE
        sender_state = Rumor(
            sender.name,
            "node",
            state.value,
            sender.started_ms,
            sender.nonce,
            exchange.heartbeat,
            exchange.peer_address,
            exchange.failure_domain,
        )
        self._handle_state_of_peer(sender_state, now, actions)
        if is_reply:
            sent_at = self._sent_at.pop(sender.name, None)
            if sent_at is not None:
                self._replies_received += 1
                self._is_fresh = True
            peer = self._failing_peers.pop(sender.name, None)
            if peer is not None:
                peer.failing_since = None
        for rumor in exchange.rumors[: self._settings.max_rumors]:
            if rumor.subject_kind == "upstream":
                actions.append(UpstreamRumorReceived(rumor))
            elif rumor.subject == self._identity.name:
                incarnation = (rumor.started_ms, rumor.nonce)
                self._handle_state_of_self(
                    incarnation, rumor.heartbeat, rumor.state, now, actions
                )
            else:
                self._handle_state_of_peer(rumor, now, actions)
        return actions

    def reply_to(self, exchange: Exchange) -> Exchange:
        """Return the reply to a request that `exchange_received` has processed."""
        return self._build_message(exchange.sender.name, exchange)

    def exchange_failed(self, peer: str, now: float) -> list[MembershipAction]:
        """Record a failure; after `suspect_after_s` of failures suspect a live peer."""
        self._detect_pause(now)
        actions: list[MembershipAction] = []
        sent_at = self._sent_at.pop(peer, None)
        entry = self._table.get(peer)
        # A timeout of a call made before a pause is no sign of a failed peer.
        if entry is None or sent_at is None:
            return actions
        if entry.failing_since is None:
            entry.failing_since = now
            self._failing_peers[peer] = entry
        elif now - entry.failing_since >= self._settings.suspect_after_s and (
            entry.state is PeerState.LIVE
        ):
            self._set_state(entry, PeerState.SUSPECT, now, actions)
        return actions

    def platform_list_received(
        self, vms: PlatformList, now: float
    ) -> list[MembershipAction]:
        """Process the platform's list of VMs.

        The absence of a peer from the list counts only if no message from or about the
        peer has arrived.
        """
        self._detect_pause(now)
        actions: list[MembershipAction] = []
        if vms.revision < self._platform_revision:
            self.counts["stale_lists"] += 1
            return actions
        self._platform_revision = vms.revision
        nodes = [
            vm for vm in vms.vms if vm.role == "node" and vm.name != self._identity.name
        ]
        self._listed_names = frozenset(vm.name for vm in nodes)
        for vm in nodes:
            peer = self._table.get(vm.name)
            if peer is None:
                peer = self._table.add(vm.name, vm.address, vm.failure_domain, now)
                if peer is not None:
                    actions.append(PeerChanged(vm.name, PeerState.LIVE, 0, 0))
            if (
                peer is not None
                and vm.state == "leaving"
                and peer.state in (PeerState.LIVE, PeerState.SUSPECT)
            ):
                self._set_state(peer, PeerState.LEAVING, now, actions)
        if not nodes:
            self._is_fresh = True
        for peer in list(self._table) if self.is_bootstrapped else ():
            if peer.incarnation is None and peer.name not in self._listed_names:
                self._set_state(peer, PeerState.GONE, now, actions)
                self._forget(peer)
        return actions

    def announce_leaving(self) -> list[MembershipAction]:
        """Notify `fanout` peers at once that this node is leaving."""
        if not self._local_node.is_leaving:
            self._local_node.leave()
            self._queue_own_state()
        actions: list[MembershipAction] = []
        self._send_exchanges(
            self._select_targets(is_relay=True), self._last_tick, actions
        )
        return actions

    def _detect_pause(self, now: float) -> None:
        if now - self._last_tick <= self._pause_limit_s:
            return
        self.counts["pauses"] += 1
        self._last_tick = now
        self._is_fresh = False
        # Replies and failures of calls made before the pause are out of date.
        self._sent_at.clear()
        # Refutations may have been missed, so each suspicion restarts its timeout.
        for peer in self._suspects.values():
            peer.changed_at = now
        for peer in self._failing_peers.values():
            peer.failing_since = None
        self._failing_peers.clear()

    def _expire_peers(self, now: float, actions: list[MembershipAction]) -> None:
        settings = self._settings
        for peer in list(self._suspects.values()):
            # A starting node has no evidence that a peer without an incarnation ever
            # ran, so it does not declare it gone.
            can_expire = peer.incarnation is not None or self.is_bootstrapped
            if can_expire and now - peer.changed_at >= settings.gone_after_s:
                # Every node that received the suspicion has its own timeout. Relaying
                # the result as well would double the rumors during a partition.
                self._set_state(peer, PeerState.GONE, now, actions, is_relayed=False)
        if self.is_bootstrapped and self._table.gone:
            oldest = next(iter(self._table.gone.values()))
            is_expired = now - oldest.changed_at >= settings.forget_after_s
            if is_expired and oldest.name not in (self._listed_names or ()):
                self._forget(oldest)

    def _forget(self, peer: Peer) -> None:
        self._suspects.pop(peer.name, None)
        self._failing_peers.pop(peer.name, None)
        self._table.remove(peer)

    def _select_targets(self, is_relay: bool) -> list[Peer]:
        fanout = self._settings.fanout
        chosen: dict[str, Peer] = {}
        heartbeat = self._local_node.heartbeat
        retry_interval = (
            2 if self._table.is_probably_partitioned else _GONE_RETRY_HEARTBEATS
        )
        if not is_relay and heartbeat % retry_interval == 1 and self._table.gone:
            peer = self._table.sample_gone_peers(1, self._random)[0]
            chosen[peer.name] = peer
        elif not is_relay and self._failing_peers:
            peer = self._failing_peers.pop(next(iter(self._failing_peers)))
            self._failing_peers[peer.name] = peer
            chosen[peer.name] = peer
        settings = self._settings
        rotate = not is_relay and heartbeat % settings.view_rotation == 0
        self._table.refresh_view(
            settings.view_size,
            self._failure_domain,
            settings.foreign_share,
            rotate,
            self._random,
        )
        # At least one exchange goes to the view, however many peers are failing.
        fanout = max(fanout, len(chosen) + 1)
        self._table.sample_view(
            chosen, fanout, self._failure_domain, is_relay, self._random
        )
        return list(chosen.values())

    def _send_exchanges(
        self, targets: list[Peer], now: float, actions: list[MembershipAction]
    ) -> None:
        for peer in targets:
            self._sent_at[peer.name] = now
            message = self._build_message(peer.name)
            actions.append(SendExchange(peer.name, peer.address, message))

    def _build_message(
        self, receiver: str, request: Exchange | None = None
    ) -> Exchange:
        rumors = select_rumors(
            receiver, request, self._table, self._queue, self._settings, self._random
        )
        return self._local_node.to_exchange(self._settings_version, tuple(rumors))

    def _queue_own_state(self) -> None:
        self._queue.add(self._local_node.to_rumor(), self._settings.relays)

    def _handle_state_of_self(
        self,
        incarnation: tuple[int, int],
        heartbeat: int,
        state: str | None,
        now: float,
        actions: list[MembershipAction],
    ) -> None:
        if incarnation > self._local_node.incarnation:
            actions.append(IncarnationSuperseded(incarnation[0]))
        elif heartbeat > MAX_COUNTED_HEARTBEAT:
            self.counts["invalid_heartbeats"] += 1
        elif state is not None and self._local_node.refute(
            incarnation, heartbeat, state
        ):
            self.counts["refuted"] += 1
            self._queue_own_state()
            self._relay_limiter.schedule(now)

    def _handle_state_of_peer(
        self, rumor: Rumor, now: float, actions: list[MembershipAction]
    ) -> None:
        if rumor.heartbeat > MAX_HEARTBEAT:
            self.counts["invalid_heartbeats"] += 1
            return
        incarnation = (rumor.started_ms, rumor.nonce)
        try:
            state = PeerState(rumor.state)
        except ValueError:
            return
        peer = self._table.get(rumor.subject)
        if peer is None:
            if state is PeerState.GONE or incarnation == (0, 0):
                return
            peer = self._table.add(
                rumor.subject, rumor.peer_address, rumor.failure_domain, now
            )
            if peer is None:
                return
        current = peer.incarnation
        if current is not None and incarnation < current:
            self.counts["old_messages"] += 1
            return
        if incarnation == (0, 0):
            return
        is_failure = state in (PeerState.SUSPECT, PeerState.GONE)
        is_same_incarnation = current is None or incarnation == current
        is_known_epoch = rumor.heartbeat // EPOCH_SIZE <= peer.heartbeat // EPOCH_SIZE
        if is_failure and not rumor.origin and is_same_incarnation and is_known_epoch:
            # Without an origin this is an entry of the sender's table, sent so that
            # the receiver can correct it. It is no observation of a failure.
            return
        if incarnation == current and not peer.is_replaced_by(rumor.heartbeat, state):
            if state is peer.state:
                peer.heartbeat = max(peer.heartbeat, rumor.heartbeat)
            return
        peer.incarnation = incarnation
        peer.heartbeat = max(
            rumor.heartbeat, peer.heartbeat if incarnation == current else 0
        )
        # A rumor without an origin is an entry of the sender's table. It is not
        # relayed, because a node that learns of the whole fleet would relay all of it.
        self._table.update(peer, state, rumor.peer_address, rumor.failure_domain)
        self._set_state(peer, state, now, actions, is_relayed=bool(rumor.origin))

    def _set_state(
        self,
        peer: Peer,
        state: PeerState,
        now: float,
        actions: list[MembershipAction],
        is_relayed: bool = True,
    ) -> None:
        self._table.update(peer, state, "", "")
        peer.changed_at = now
        self._suspects.pop(peer.name, None)
        if state is PeerState.SUSPECT:
            self._suspects[peer.name] = peer
        if state is not PeerState.SUSPECT:
            peer.failing_since = None
            self._failing_peers.pop(peer.name, None)
        started_ms, nonce = peer.incarnation or (0, 0)
        actions.append(PeerChanged(peer.name, state, started_ms, nonce))
        if is_relayed:
            self._queue.add(peer.to_rumor(self._identity.name), self._settings.relays)
            self._relay_limiter.schedule(now)
