"""Exchange membership, upstream states, demand and grants with peers."""

import asyncio
import logging
import math
from typing import Protocol

from dandelionpond.config.distribution import Distribution
from dandelionpond.config.messages import (
    DistributionEvent,
    Peer,
    PeerRevision,
    PeersChanged,
)
from dandelionpond.config.schema import Settings, Upstream
from dandelionpond.limits.messages import DemandReport, Grant as ShareGrant
from dandelionpond.membership.messages import (
    Exchange,
    IncarnationSuperseded,
    MembershipAction,
    PeerChanged,
    PeerState,
    PlatformList,
    SendExchange,
    SpreadRumor,
    UpstreamAction,
    UpstreamChanged,
    UpstreamReplaced,
    UpstreamRumorReceived,
    Vm,
)
from dandelionpond.membership.peers import Membership
from dandelionpond.membership.upstreams import UpstreamView
from dandelionpond.peer.client import PeerClient
from dandelionpond.peer.messages import Demand, Grant, PeerMessage
from dandelionpond.runtime.accounts import Accounts
from dandelionpond.runtime.answer_heads import record_replacement
from dandelionpond.runtime.core import Core

log = logging.getLogger("dandelionpond.membership")

TICK_S = 0.05
UPSTREAM_TICK_S = 1.0
# The process counts as paused if two ticks are further apart than this.
PAUSE_THRESHOLD_S = 3.0


class SettingsEventHandler(Protocol):
    """A handler of events about settings, such as a peer's revision."""

    state_machine: Distribution

    def handle(self, event: DistributionEvent) -> None:
        """Handle an event."""
        ...


class UpstreamListener(Protocol):
    """A listener for changes of upstream states."""

    def upstream_changed(self, change: UpstreamChanged) -> None:
        """Handle a new state of an upstream."""
        ...


class NewsExchange(Protocol):
    """A source and receiver of news that peers exchange as bytes."""

    def news_for(self, heartbeat: int, request: Exchange | None = None) -> bytes:
        """Return the news for a message, or for the reply to `request`."""
        ...

    def receive_news(self, peer: str, data: bytes) -> None:
        """Apply the news of a peer, which may be invalid or empty."""
        ...


class Gossip:
    """The component that performs `Membership` and `UpstreamView` actions over gRPC."""

    def __init__(self, core: Core, peers: PeerClient, accounts: Accounts) -> None:
        local, settings = core.local, core.settings
        self._core = core
        self._peers = peers
        self._accounts = accounts
        self._configured_upstreams: dict[str, Upstream] | None = None
        # Monotonic time of the last message from a peer, in seconds.
        self.last_received_at = float("-inf")
        # Monotonic time of the start or of the end of the last pause, in seconds.
        self._resumed_at = core.now()
        self._last_tick_at = core.now()
        self.settings_event_handler: SettingsEventHandler | None = None
        self.news_exchange: NewsExchange | None = None
        self.listeners: list[UpstreamListener] = []
        self.membership = Membership(
            core.identity,
            local.peer_address,
            local.failure_domain,
            settings.membership,
            core.random,
            core.now(),
        )
        self.upstreams = UpstreamView(
            local.name, local.failure_domain, settings.membership
        )
        self._seed_addresses = {seed.name: seed.peer_address for seed in local.seeds}
        core.settings_listeners.append(self._configure)

    def start(self) -> None:
        """Contact the seeds and start the periodic tasks."""
        tasks = self._core.tasks
        for seed in self._core.local.seeds:
            tasks.spawn(self._contact_seed(seed.name, seed.peer_address), "meet-seed")
        tasks.every(lambda: TICK_S, self._tick, "gossip")
        tasks.every(lambda: UPSTREAM_TICK_S, self._upstream_tick, "upstream-states")

    def address_of(self, name: str) -> str | None:
        """Return the address to connect to a node, or None if it is unknown."""
        return self._core.local.peer_routes.get(name) or self.announced_address(name)

    def announced_address(self, name: str) -> str | None:
        """Return the address that a node announces, or None if it is unknown."""
        peer = self.membership.peer(name)
        if peer is not None and peer.address:
            return peer.address
        return self._seed_addresses.get(name)

    def fresh_domain_view(self) -> tuple[float, list[str]] | None:
        """Return when membership was last confirmed and the domain's running nodes.

        These are its live and suspect peers and this node.

        Returns None if the view may be stale, because this node has just started or was
        paused. A node that receives nothing from peers for `gone_after_s` assumes that
        it is alone on its side of a partition, and its view counts as confirmed now.
        """
        now = self._core.now()
        local = self._core.local
        nodes = [*self.membership.active_names(local.failure_domain), local.name]
        if self.membership.is_bootstrapped and self.membership.is_fresh(now):
            return self.last_received_at, nodes
        isolated_after_s = self._core.settings.membership.gone_after_s
        if now - max(self._resumed_at, self.last_received_at) >= isolated_after_s:
            return now, nodes
        return None

    def region_nodes(self) -> list[str]:
        """Return the live and suspect peers in this node's region."""
        domains = self._core.settings.failure_domains
        region = self._core.region
        return [
            name
            for domain, domain_settings in domains.items()
            if domain_settings.region == region
            for name in self.membership.active_names(domain)
        ]

    def announce(self, revision: int, digest: str) -> None:
        """Announce a new settings revision to peers immediately."""
        self.membership.settings_revision_changed(revision, digest, self._core.now())

    def leave(self) -> None:
        """Announce to peers that this node is leaving."""
        self._perform(self.membership.announce_leaving())

    def platform_list_received(self, revision: int, vms: tuple[Vm, ...]) -> None:
        """Apply the platform's list of VMs to the states of peers and upstreams."""
        platform_list = PlatformList(revision, vms)
        now = self._core.now()
        self._perform(self.membership.platform_list_received(platform_list, now))
        self._perform_upstream(
            self.upstreams.platform_list_received(platform_list, now)
        )
        self._on_peers_changed()

    def upstream_answered(
        self, upstream: str, is_leaving: bool, sent_at: float = math.inf
    ) -> None:
        """Record an upstream's answer and whether it says that it is leaving.

        `sent_at` is when its request was sent, in monotonic seconds.
        """
        now = self._core.now()
        self._perform_upstream(
            self.upstreams.upstream_answered(upstream, is_leaving, now, sent_at)
        )

    def raise_suspicion(self, upstream: str) -> None:
        """Raise this node's suspicion of an upstream."""
        now = self._core.now()
        self._perform_upstream(self.upstreams.raise_suspicion(upstream, now))

    def withdraw_suspicion(self, upstream: str) -> None:
        """Withdraw this node's suspicion of an upstream."""
        now = self._core.now()
        self._perform_upstream(self.upstreams.withdraw_suspicion(upstream, now))

    async def exchange(self, message: PeerMessage) -> PeerMessage:
        """Process an exchange from a peer and return the reply."""
        self._exchange_received(message, is_reply=False)
        grants = self._accounts.answer_demands(
            message.exchange.sender.name,
            [
                DemandReport(demand.account, demand.tokens_per_s, demand.concurrency)
                for demand in message.demands
            ],
        )
        reply = self.membership.reply_to(message.exchange)
        return PeerMessage(
            reply,
            quarantine=self._news_for(reply, message.exchange),
            grants=tuple(
                Grant(grant.account, grant.tokens_per_s, grant.concurrency, grant.ttl_s)
                for grant in grants
            ),
        )

    def _configure(self, settings: Settings) -> None:
        self.membership.configure(settings.membership)
        self.upstreams.configure(settings.membership)
        if settings.upstreams == self._configured_upstreams:
            return
        self._configured_upstreams = settings.upstreams
        domains = {
            name: upstream.failure_domain
            for name, upstream in settings.upstreams.items()
        }
        self._core.marks.set_upstreams(
            {name: upstream.url for name, upstream in settings.upstreams.items()}
        )
        # Not logged: the upstreams of a first revision all become live, which is not a
        # change worth a line for each.
        self._perform_upstream(self.upstreams.set_upstreams(domains), is_logged=False)

    async def _tick(self) -> None:
        now = self._core.now()
        if now - self._last_tick_at > PAUSE_THRESHOLD_S:
            self._resumed_at = now
        self._last_tick_at = now
        for demand in self._accounts.due_demands():
            address = self.address_of(demand.to)
            if address is not None:
                reports = tuple(
                    Demand(report.account, report.tokens_per_s, report.concurrency)
                    for report in demand.reports
                )
                message = PeerMessage(
                    self.membership.request_to(demand.to), demands=reports
                )
                self._core.tasks.spawn(
                    self._send(demand.to, address, message), "send-demand"
                )
        self._perform(self.membership.tick(now))

    async def _upstream_tick(self) -> None:
        self._perform_upstream(self.upstreams.tick(self._core.now()))

    async def _contact_seed(self, name: str, address: str) -> None:
        """Send exchanges to a seed until it answers or gossip reports it."""
        while self.membership.state_of(name) is None:
            message = PeerMessage(self.membership.request_to(name))
            await self._send(name, address, message)
            if self.membership.state_of(name) is None:
                interval = self._core.settings.membership.heartbeat_interval_s
                await asyncio.sleep(interval * (1 + self._core.random.random()))

    async def _send(self, name: str, address: str, message: PeerMessage) -> None:
        sent_at = self._core.now()
        address = self._core.local.peer_routes.get(name, address)
        result = await self._peers.exchange(name, address, message)
        if result.is_error():
            self._perform(self.membership.exchange_failed(name, self._core.now()))
            return
        self._exchange_received(result.ok, is_reply=True)
        for grant in result.ok.grants:
            share_grant = ShareGrant(
                grant.account,
                grant.tokens_per_s,
                int(grant.concurrency),
                grant.ttl_s,
            )
            self._accounts.accept_grant(name, share_grant, sent_at)

    def _news_for(self, message: Exchange, request: Exchange | None = None) -> bytes:
        if self.news_exchange is None:
            return b""
        return self.news_exchange.news_for(message.heartbeat, request)

    def _exchange_received(self, message: PeerMessage, is_reply: bool) -> None:
        exchange = message.exchange
        now = self.last_received_at = self._core.now()
        self._perform(self.membership.exchange_received(exchange, now, is_reply))
        if self.news_exchange is not None:
            self.news_exchange.receive_news(exchange.sender.name, message.quarantine)
        if self.settings_event_handler is not None and exchange.settings_revision:
            event = PeerRevision(
                exchange.sender.name,
                exchange.settings_revision,
                exchange.settings_digest,
            )
            self.settings_event_handler.handle(event)

    def _perform(self, actions: list[MembershipAction]) -> None:
        has_changed_peers = False
        for action in actions:
            match action:
                case SendExchange(peer, address, message):
                    outgoing = PeerMessage(message, quarantine=self._news_for(message))
                    self._core.tasks.spawn(
                        self._send(peer, address, outgoing), "exchange"
                    )
                case PeerChanged(peer, state):
                    has_changed_peers = True
                    if state is not PeerState.LIVE:
                        log.info("peer changed", extra={"peer": peer, "state": state})
                case UpstreamRumorReceived(rumor):
                    now = self._core.now()
                    self._perform_upstream(self.upstreams.rumor_received(rumor, now))
                case IncarnationSuperseded(started_ms):
                    log.error(
                        "peers know a later incarnation of this node's name",
                        extra={"started_ms": started_ms},
                    )
        if has_changed_peers:
            self._on_peers_changed()

    def _on_peers_changed(self) -> None:
        local = self._core.local
        live_peers = tuple(
            Peer(peer.name, peer.domain)
            for peer in self.membership.peers
            if peer.state is PeerState.LIVE
        )
        names = tuple(self.membership.active_names(local.failure_domain))
        self._accounts.set_members(names)
        if self.settings_event_handler is not None:
            self.settings_event_handler.handle(PeersChanged(live_peers))

    def _perform_upstream(
        self, actions: list[UpstreamAction], is_logged: bool = True
    ) -> None:
        for action in actions:
            match action:
                case SpreadRumor(rumor):
                    self.membership.spread_rumor(rumor, self._core.now())
                case UpstreamReplaced(upstream):
                    record_replacement(self._core, upstream, "listed as replaced")
                case UpstreamChanged():
                    if is_logged:
                        log.info(
                            "upstream changed",
                            extra={"upstream": action.upstream, "state": action.state},
                        )
                    for listener in self.listeners:
                        listener.upstream_changed(action)
