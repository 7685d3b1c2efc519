"""Decide which peers are live and with which peers to gossip.

Failure detection follows SWIM (Das, Gupta, Motivala, 2002): an exchange is the probe, a
suspicion is a rumor, and the subject refutes it. The upper 32 bits of a heartbeat count
refutations and the lower 32 bits count intervals. A suspicion or a gone rumor holds
against every message with the same upper bits, so a late message cannot revive a peer.
"""

from collections.abc import Iterable
from random import Random

from dandelionpond.identity import Identity
from dandelionpond.membership.compose import rumors_for
from dandelionpond.membership.messages import (
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
from dandelionpond.membership.own import LocalNode
from dandelionpond.membership.rumors import RelayPace, RumorQueue
from dandelionpond.membership.settings import MembershipSettings
from dandelionpond.membership.table import EPOCH, Peer, PeerTable

# A gone peer is tried once in this many intervals, so that sides of a healed partition
# meet again even while the platform is down.
_GONE_RETRY_INTERVALS = 10


class Membership:
    """Track the peers of one node; times are seconds of the injected clock."""

    __slots__ = (
        "_domain",
        "_exchanges",
        "_identity",
        "_is_fresh",
        "_last_tick",
        "_listed",
        "_local_node",
        "_next_beat",
        "_pace",
        "_platform_revision",
        "_queue",
        "_random",
        "_sent_at",
        "_settings",
        "_settings_version",
        "_suspects",
        "_table",
        "_watched",
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
        self._domain = failure_domain
        self._settings = settings
        self._random = random
        self._table = PeerTable(settings.max_peers)
        self._queue = RumorQueue(settings.max_pending_rumors)
        self._last_tick = now
        self._next_beat = now
        self._pace = RelayPace(settings, random, now)
        self._sent_at: dict[str, float] = {}
        self._suspects: dict[str, Peer] = {}
        self._watched: dict[str, Peer] = {}
        self._listed: frozenset[str] | None = None
        self._platform_revision = -1
        self._exchanges = 0
        self._settings_version = (0, "")
        self._is_fresh = False
        names = ("pauses", "stale_lists", "old_messages", "refuted")
        self.counts = dict.fromkeys(names, 0)
        self._announce()

    @property
    def _pause_limit(self) -> float:
        return self._settings.pause_intervals * self._settings.heartbeat_interval_s

    @property
    def next_tick_at(self) -> float:
        """Return the time of the next tick that has something to do."""
        due_at = self._pace.due_at
        return self._next_beat if due_at is None else min(self._next_beat, due_at)

    @property
    def is_bootstrapped(self) -> bool:
        """Say whether a platform list and `fanout` replies have been received."""
        # An empty list alone proves nothing while peers are known.
        needed = min(self._settings.fanout, len(self._table))
        return self._listed is not None and self._exchanges >= needed

    @property
    def peers(self) -> Iterable[Peer]:
        """Return all known peers; the caller must not change them."""
        return self._table

    @property
    def relays_deferred(self) -> int:
        """Return how often news waited for the next heartbeat."""
        return self._pace.deferred

    def is_fresh(self, now: float) -> bool:
        """Say whether this node has exchanged since its start or its last pause."""
        return self._is_fresh and now - self._last_tick <= self._pause_limit

    def state_of(self, name: str) -> PeerState | None:
        """Return the state of a peer, or None if it is unknown."""
        peer = self._table.get(name)
        return peer.state if peer else None

    def active_names(self, domain: str | None = None) -> list[str]:
        """Return peers that are live or suspect, of one failure domain or of all."""
        return [
            peer.name
            for peer in self._table
            if peer.state in (PeerState.LIVE, PeerState.SUSPECT)
            and domain in (None, peer.domain)
        ]

    def peer(self, name: str) -> Peer | None:
        """Return what is known of a peer; the caller must not change it."""
        return self._table.get(name)

    def configure(self, settings: MembershipSettings) -> None:
        """Take new settings from the next event on; bounds of tables stay."""
        self._settings = settings

    def request_to(self, receiver: str) -> Exchange:
        """Return a request to a peer outside the periodic gossip."""
        return self._message(receiver)

    def settings_revision_changed(self, revision: int, digest: str, now: float) -> None:
        """Carry a new settings revision in messages and relay it at once."""
        self._settings_version = (revision, digest)
        self._pace.ask(now)

    def spread_rumor(self, rumor: Rumor, now: float) -> None:
        """Queue an observation of this node, such as one of `UpstreamView`."""
        self._queue.add(rumor, self._settings.relays)
        self._pace.ask(now)

    def tick(self, now: float) -> list[MembershipAction]:
        """Send due heartbeats and relays, and advance suspicions."""
        self._notice_pause(now)
        self._last_tick = now
        actions: list[MembershipAction] = []
        if now >= self._next_beat:
            # Nodes that start together would otherwise send at the same instants, and
            # news would wait a whole interval for the next ones.
            jitter = 0.9 + 0.2 * self._random.random()
            self._next_beat = now + self._settings.heartbeat_interval_s * jitter
            self._local_node.heartbeat += 1
            self._expire(now, actions)
            self._send(self._targets(is_relay=False), now, actions)
            self._pace.due_at = None
        elif self._pace.due_at is not None and now >= self._pace.due_at:
            self._pace.due_at = None
            self._send(self._targets(is_relay=True), now, actions)
        return actions

    def exchange_received(
        self, exchange: Exchange, now: float, is_reply: bool = False
    ) -> list[MembershipAction]:
        """Take in a request or a reply of a peer."""
        self._notice_pause(now)
        actions: list[MembershipAction] = []
        sender = exchange.sender
        if sender.name == self._identity.name:
            self._about_self((sender.started_ms, sender.nonce), 0, None, now, actions)
            return actions
        state = PeerState.LEAVING if exchange.state == "leaving" else PeerState.LIVE
        own = Rumor(
            sender.name,
            "node",
            state.value,
            sender.started_ms,
            sender.nonce,
            exchange.heartbeat,
            exchange.peer_address,
            exchange.failure_domain,
        )
        self._about_peer(own, now, actions)
        if is_reply:
            sent_at = self._sent_at.pop(sender.name, None)
            if sent_at is not None:
                self._exchanges += 1
                self._is_fresh = True
            peer = self._watched.pop(sender.name, None)
            if peer is not None:
                peer.failing_since = None
        for rumor in exchange.rumors[: self._settings.max_rumors]:
            if rumor.subject_kind == "upstream":
                actions.append(UpstreamRumorReceived(rumor))
            elif rumor.subject == self._identity.name:
                incarnation = (rumor.started_ms, rumor.nonce)
                self._about_self(
                    incarnation, rumor.heartbeat, rumor.state, now, actions
                )
            else:
                self._about_peer(rumor, now, actions)
        return actions

    def reply_to(self, exchange: Exchange) -> Exchange:
        """Return the reply to a request that `received` has taken in."""
        return self._message(exchange.sender.name, exchange)

    def exchange_failed(self, peer: str, now: float) -> list[MembershipAction]:
        """Count a failed exchange; suspect after failures for `suspect_after_s`."""
        self._notice_pause(now)
        actions: list[MembershipAction] = []
        sent_at = self._sent_at.pop(peer, None)
        known = self._table.get(peer)
        # The deadline of a call from before a pause says nothing about the peer.
        if known is None or sent_at is None:
            return actions
        if known.failing_since is None:
            known.failing_since = now
            self._watched[peer] = known
        elif now - known.failing_since >= self._settings.suspect_after_s and (
            known.state is PeerState.LIVE
        ):
            self._set(known, PeerState.SUSPECT, now, actions)
        return actions

    def platform_list_received(
        self, vms: PlatformList, now: float
    ) -> list[MembershipAction]:
        """Take in the platform's list; heartbeats outweigh it for peers heard of."""
        self._notice_pause(now)
        actions: list[MembershipAction] = []
        if vms.revision < self._platform_revision:
            self.counts["stale_lists"] += 1
            return actions
        self._platform_revision = vms.revision
        nodes = [
            vm for vm in vms.vms if vm.role == "node" and vm.name != self._identity.name
        ]
        self._listed = frozenset(vm.name for vm in nodes)
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
                self._set(peer, PeerState.LEAVING, now, actions)
        if not nodes:
            self._is_fresh = True
        for peer in list(self._table) if self.is_bootstrapped else ():
            if peer.incarnation is None and peer.name not in self._listed:
                self._set(peer, PeerState.GONE, now, actions)
                self._forget(peer)
        return actions

    def announce_leaving(self) -> list[MembershipAction]:
        """Tell `fanout` peers at once that this node is leaving."""
        if not self._local_node.is_leaving:
            self._local_node.leave()
            self._announce()
        actions: list[MembershipAction] = []
        self._send(self._targets(is_relay=True), self._last_tick, actions)
        return actions

    def _notice_pause(self, now: float) -> None:
        if now - self._last_tick <= self._pause_limit:
            return
        self.counts["pauses"] += 1
        self._last_tick = now
        self._is_fresh = False
        # Replies and failures of these calls say nothing about the present.
        self._sent_at.clear()
        # Refutations may have been missed, so each suspicion runs its full time again.
        for peer in self._suspects.values():
            peer.changed_at = now
        for peer in self._watched.values():
            peer.failing_since = None
        self._watched.clear()

    def _expire(self, now: float, actions: list[MembershipAction]) -> None:
        settings = self._settings
        for peer in list(self._suspects.values()):
            # A starting node has no proof that an unheard peer ever ran.
            is_known = peer.incarnation is not None or self.is_bootstrapped
            if is_known and now - peer.changed_at >= settings.gone_after_s:
                # Each node that heard the suspicion has a timer of its own, so this is
                # no news; relaying it would double the rumors of a partition.
                self._set(peer, PeerState.GONE, now, actions, is_relayed=False)
        if self.is_bootstrapped and self._table.gone:
            oldest = next(iter(self._table.gone.values()))
            is_old = now - oldest.changed_at >= settings.forget_after_s
            if is_old and oldest.name not in (self._listed or ()):
                self._forget(oldest)

    def _forget(self, peer: Peer) -> None:
        self._suspects.pop(peer.name, None)
        self._watched.pop(peer.name, None)
        self._table.remove(peer)

    def _targets(self, is_relay: bool) -> list[Peer]:
        fanout = self._settings.fanout
        chosen: dict[str, Peer] = {}
        beat = self._local_node.heartbeat
        every = 2 if self._table.is_split else _GONE_RETRY_INTERVALS
        if not is_relay and beat % every == 1 and self._table.gone:
            peer = self._table.sample_gone(1, self._random)[0]
            chosen[peer.name] = peer
        elif not is_relay and self._watched:
            peer = self._watched.pop(next(iter(self._watched)))
            self._watched[peer.name] = peer
            chosen[peer.name] = peer
        settings = self._settings
        rotate = not is_relay and beat % settings.view_rotation == 0
        self._table.refresh_view(
            settings.view_size,
            self._domain,
            settings.foreign_share,
            rotate,
            self._random,
        )
        # One exchange at least goes to the view, whatever fails.
        fanout = max(fanout, len(chosen) + 1)
        self._table.sample(chosen, fanout, self._domain, is_relay, self._random)
        return list(chosen.values())

    def _send(
        self, targets: list[Peer], now: float, actions: list[MembershipAction]
    ) -> None:
        for peer in targets:
            self._sent_at[peer.name] = now
            message = self._message(peer.name)
            actions.append(SendExchange(peer.name, peer.address, message))

    def _message(self, receiver: str, request: Exchange | None = None) -> Exchange:
        rumors = rumors_for(
            receiver, request, self._table, self._queue, self._settings, self._random
        )
        return self._local_node.exchange(self._settings_version, tuple(rumors))

    def _announce(self) -> None:
        self._queue.add(self._local_node.rumor(), self._settings.relays)

    def _about_self(
        self,
        incarnation: tuple[int, int],
        heartbeat: int,
        state: str | None,
        now: float,
        actions: list[MembershipAction],
    ) -> None:
        if incarnation > self._local_node.incarnation:
            actions.append(IncarnationSuperseded(incarnation[0]))
        elif state is not None and self._local_node.refute(
            incarnation, heartbeat, state
        ):
            self.counts["refuted"] += 1
            self._announce()
            self._pace.ask(now)

    def _about_peer(
        self, rumor: Rumor, now: float, actions: list[MembershipAction]
    ) -> None:
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
        known = peer.incarnation
        if known is not None and incarnation < known:
            self.counts["old_messages"] += 1
            return
        if incarnation == (0, 0):
            return
        is_away = state in (PeerState.SUSPECT, PeerState.GONE)
        is_same = known is None or incarnation == known
        is_held = rumor.heartbeat // EPOCH <= peer.heartbeat // EPOCH
        if is_away and not rumor.origin and is_same and is_held:
            # Old knowledge of a peer asks for a correction; it is no observation.
            return
        if incarnation == known and not peer.is_news(rumor.heartbeat, state):
            if state is peer.state:
                peer.heartbeat = max(peer.heartbeat, rumor.heartbeat)
            return
        peer.incarnation = incarnation
        peer.heartbeat = max(
            rumor.heartbeat, peer.heartbeat if incarnation == known else 0
        )
        # Only news names its origin. Knowledge from a peer's table is not relayed: a
        # node that learns a whole fleet would otherwise send all of it on.
        self._table.update(peer, state, rumor.peer_address, rumor.failure_domain)
        self._set(peer, state, now, actions, is_relayed=bool(rumor.origin))

    def _set(
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
            self._watched.pop(peer.name, None)
        started_ms, nonce = peer.incarnation or (0, 0)
        actions.append(PeerChanged(peer.name, state, started_ms, nonce))
        if is_relayed:
            self._queue.add(peer.rumor(self._identity.name), self._settings.relays)
            self._pace.ask(now)
