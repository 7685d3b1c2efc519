"""Send and receive the heartbeats of a node."""

import asyncio
import functools
import ipaddress
import logging
import time
from collections.abc import Callable, Iterable, Sequence
from typing import cast

import msgspec

from dandelionpond.entry.fleet import Fleet
from dandelionpond.http.connection_limits import LogLimiter
from dandelionpond.mesh.messages import (
    MS_PER_S,
    Heartbeat,
    decode_heartbeat,
    encode_heartbeat,
    pack_jobs,
    pack_speeds,
    unpack_jobs,
    unpack_speeds,
)
from dandelionpond.mesh.peers import PEERS_IN_HEARTBEAT, PEERS_IN_REPLY
from dandelionpond.quarantine.messages import QuarantineNews
from dandelionpond.quarantine.wire import keep_valid_items

log = logging.getLogger("dandelionpond.mesh")

# Delay in seconds from a change of the node's work to the heartbeat that reports it, so
# that all changes of one event loop iteration are sent together.
CHANGE_DELAY_S = 0.001
# Failed reads of the store that began longer ago, in seconds, are not reported: they
# say nothing about the end of an outage.
MAX_FAILED_READ_AGE_S = 10.0


class HeartbeatProtocol(asyncio.DatagramProtocol):
    """The datagram protocol that sends and receives the heartbeats of a node."""

    def __init__(self, fleet: Fleet, on_heartbeat: Callable[[Heartbeat], None]) -> None:
        self._fleet = fleet
        self._on_heartbeat = on_heartbeat
        self._transport: asyncio.DatagramTransport | None = None
        self._started_ms = time.time_ns() // 1_000_000
        self._sequence = 0
        self._sent_changes = 0
        self._pending_send: asyncio.TimerHandle | None = None
        # Whether the pending heartbeat goes to all live peers.
        self._has_news = False
        self._live_nodes: frozenset[str] = frozenset()
        self.on_peer_change: Callable[[], None] = _no_op
        self.is_leaving = False
        self.invalid_datagrams = 0
        # Messages with items of the quarantine that exceed a limit.
        self.invalid_news = 0
        self._log_limiter = LogLimiter()

    async def start(self) -> None:
        """Open the socket; raise OSError if it cannot be bound."""
        host, _, port = self._fleet.settings.mesh_address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, int(port)))
        self._fleet.peers.take_new_addresses()
        self._send_to_all(self._fleet.peers.addresses, wants_reply=True)

    def close(self) -> None:
        """Close the socket."""
        if self._pending_send is not None:
            self._pending_send.cancel()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # In Python 3.11 the transport does not inherit from DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Process a heartbeat from a peer."""
        try:
            heartbeat = decode_heartbeat(data)
            _check_addresses((heartbeat.address, *heartbeat.peer_addresses))
        except (msgspec.MsgspecError, RecursionError, ValueError) as error:
            # msgspec raises RecursionError for values that are nested too deeply.
            self.invalid_datagrams += 1
            suppressed = self._log_limiter.admit(addr[0], "invalid", self._fleet.now())
            if suppressed is not None:
                log.warning(
                    "invalid datagram dropped",
                    extra={
                        "from": addr[0],
                        "why": str(error)[:200],
                        "suppressed": suppressed,
                    },
                )
            return
        fleet = self._fleet
        now = fleet.now()
        address = heartbeat.address
        if not fleet.peers.receive(address, heartbeat, now):
            return
        if heartbeat.needs_relay:
            self._relay(heartbeat, now)
        fleet.jobs.update_peer(address, unpack_jobs(heartbeat.jobs), now)
        if fleet.speeds is not None:
            fleet.speeds.receive(address, unpack_speeds(heartbeat.speeds), now)
        if heartbeat.unresponsive_upstreams:
            fleet.refresh_unresponsive()
        if heartbeat.quarantine is not None:
            self._receive_quarantine(heartbeat.node, heartbeat.quarantine, addr[0], now)
        fleet.room.receive(address, heartbeat.room, now)
        known = heartbeat.known_nodes
        if known is not None and not fleet.peers.learn_known_nodes(known, now):
            suppressed = self._log_limiter.admit(addr[0], "known nodes", now)
            if suppressed is not None:
                log.warning(
                    "known nodes of a peer ignored",
                    extra={
                        "peer": heartbeat.node,
                        "value": str(known)[:200],
                        "suppressed": suppressed,
                    },
                )
        self.on_peer_change()
        if heartbeat.wants_reply:
            self._send(address, self._build_heartbeat(PEERS_IN_REPLY))
        self._greet_new_peers(address if heartbeat.wants_reply else None)
        self._on_heartbeat(heartbeat)

    def _receive_quarantine(
        self, node: str, news: QuarantineNews, sender: str, now: float
    ) -> None:
        """Apply the news of a peer's quarantine without items that exceed a limit."""
        valid = keep_valid_items(news)
        self._fleet.quarantine.receive(valid, now)
        if valid == news:
            return
        self.invalid_news += 1
        suppressed = self._log_limiter.admit(sender, "quarantine", now)
        if suppressed is not None:
            log.warning(
                "quarantine items of a peer ignored",
                extra={"peer": node, "suppressed": suppressed},
            )

    def error_received(self, exc: Exception) -> None:
        """Ignore unreachable peers: missing heartbeats already mark them as silent."""

    def schedule_send(self) -> None:
        """Report changed work to the live peers after `CHANGE_DELAY_S`."""
        if (
            self._pending_send is None
            and self._fleet.jobs.change_count != self._sent_changes
        ):
            loop = asyncio.get_running_loop()
            self._pending_send = loop.call_later(CHANGE_DELAY_S, self._send_pending)

    def schedule_news(self) -> None:
        """Send a heartbeat to all live peers after `CHANGE_DELAY_S`."""
        self._has_news = True
        if self._pending_send is None:
            loop = asyncio.get_running_loop()
            self._pending_send = loop.call_later(CHANGE_DELAY_S, self._send_pending)

    def send_now(self) -> None:
        """Send a heartbeat to all live peers at once."""
        self._send_to_live(None)

    def send_regular(self) -> None:
        """Send the regular heartbeat and log changes of the set of live peers."""
        now = self._fleet.now()
        self._send_to_all(self._fleet.peers.due_addresses(now))
        live_nodes = frozenset(
            peer.heartbeat.node
            for peer in self._fleet.peers.live_peers(now)
            if peer.heartbeat
        )
        if live_nodes != self._live_nodes:
            log.info(
                "live peers changed",
                extra={
                    "count": len(live_nodes),
                    "known": self._fleet.peers.known_node_count(now) - 1,
                    "new": sorted(live_nodes - self._live_nodes)[:20],
                    "silent": sorted(self._live_nodes - live_nodes)[:20],
                },
            )
            self._live_nodes = live_nodes

    def _greet_new_peers(self, replied_to: str | None) -> None:
        """Send a heartbeat to new peers, except to one that has just got a reply."""
        addresses = [
            address
            for address in self._fleet.peers.take_new_addresses()
            if address != replied_to
        ]
        if addresses:
            data = encode_heartbeat(self._build_heartbeat(PEERS_IN_HEARTBEAT))
            for address in addresses:
                self._send_data(address, data)

    def _send_pending(self) -> None:
        self._pending_send = None
        domains = self._fleet.domains_to_update(self._fleet.jobs.take_changes())
        if self._has_news:
            domains = None
            self._has_news = False
        self._send_to_live(domains)

    def _send_to_live(self, domains: frozenset[str] | None) -> None:
        """Send a heartbeat to the live peers in these domains; None stands for all."""
        now = self._fleet.now()
        live = [
            peer.address
            for peer in self._fleet.peers.live_peers(now)
            if domains is None
            or (peer.heartbeat and peer.heartbeat.failure_domain in domains)
        ]
        self._send_to_all(live, address_count=0)

    def _send_to_all(
        self,
        addresses: Sequence[str],
        wants_reply: bool = False,
        address_count: int = PEERS_IN_HEARTBEAT,
    ) -> None:
        self._sent_changes = self._fleet.jobs.change_count
        if not addresses:
            return
        fleet = self._fleet
        heartbeat = self._build_heartbeat(address_count, wants_reply)
        plan = fleet.peers.plan_delivery(addresses, fleet.now())
        data = encode_heartbeat(heartbeat)
        for address in plan.direct:
            self._send_data(address, data)
        if plan.relays:
            data = encode_heartbeat(
                msgspec.structs.replace(heartbeat, needs_relay=True)
            )
            for address in plan.relays:
                self._send_data(address, data)

    def _relay(self, heartbeat: Heartbeat, now: float) -> None:
        """Forward a heartbeat to the live peers in this node's failure domain."""
        data = encode_heartbeat(msgspec.structs.replace(heartbeat, needs_relay=False))
        for address in self._fleet.peers.live_in_domain(
            self._fleet.settings.failure_domain, now
        ):
            self._send_data(address, data)

    def _send(self, address: str, heartbeat: Heartbeat) -> None:
        self._send_data(address, encode_heartbeat(heartbeat))

    def _send_data(self, address: str, data: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        host, _, port = address.rpartition(":")
        self._transport.sendto(data, (host, int(port)))

    def _build_heartbeat(
        self, address_count: int, wants_reply: bool = False
    ) -> Heartbeat:
        """Return a heartbeat that names up to `address_count` peer addresses."""
        fleet = self._fleet
        now = fleet.now()
        self._sequence += 1
        age = fleet.published.list_age_s(now)
        failed_s = fleet.published.failed_read_age_s(now)
        return Heartbeat(
            fleet.settings.name,
            fleet.settings.mesh_address,
            self._started_ms,
            self._sequence,
            fleet.settings.failure_domain,
            self.is_leaving,
            fleet.published.list_revision,
            fleet.published.digest,
            fleet.published.version,
            -1 if age is None else round(age * MS_PER_S),
            pack_jobs(fleet.jobs.own_jobs(now)),
            fleet.health.unresponsive(now),
            fleet.settings.fetch_address,
            fleet.peers.sample_addresses(now, address_count) if address_count else (),
            wants_reply,
            capacity=fleet.settings.capacity,
            quarantine=fleet.quarantine.news(now),
            read_number=fleet.published.read_number,
            failed_read_age_ms=round(failed_s * MS_PER_S)
            if failed_s < MAX_FAILED_READ_AGE_S
            else -1,
            hold_left_ms=int(fleet.published.hold_left_s(now) * MS_PER_S),
            speeds=pack_speeds(fleet.speeds.news(now)) if fleet.speeds else (),
            room=fleet.room.news(now),
            known_nodes=fleet.peers.known_nodes_news(now),
        )


def _no_op() -> None:
    """Do nothing; the default of `on_peer_change`."""


def _check_addresses(addresses: Iterable[str]) -> None:
    """Raise ValueError if no datagram can be sent to one of the addresses."""
    for address in addresses:
        if not _is_datagram_address(address):
            raise ValueError(f"address {address[:40]!r} is not IP:port")


# The addresses repeat with each heartbeat.
@functools.lru_cache(maxsize=4_096)
def _is_datagram_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    is_number = port.isascii() and port.isdecimal() and len(port) <= 5
    return is_number and 0 < int(port) < 65_536
