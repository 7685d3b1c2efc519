"""Send and receive beats between nodes."""

import asyncio
import logging
import time
from collections.abc import Callable, Sequence
from typing import cast

import msgspec

from dandelionpond.entry.fleet import Fleet
from dandelionpond.mesh.messages import MS, Beat, decode, encode, pack, unpack
from dandelionpond.mesh.peers import PEERS_IN_ANSWER, PEERS_IN_BEAT

log = logging.getLogger("dandelionpond.mesh")

# Delay in seconds from a change of the own work to the beat that tells it, so that
# changes of one turn of the loop travel together.
NEWS_DELAY_S = 0.001


class Mesh(asyncio.DatagramProtocol):
    """Own the datagram socket of a node."""

    def __init__(self, fleet: Fleet, heard: Callable[[Beat], None]) -> None:
        self._fleet = fleet
        self._heard = heard
        self._transport: asyncio.DatagramTransport | None = None
        self._started_ms = time.time_ns() // 1_000_000
        self._sequence = 0
        self._told_changes = 0
        self._news: asyncio.TimerHandle | None = None
        self._known: frozenset[str] = frozenset()
        self.is_leaving = False
        self.invalid = 0

    async def start(self) -> None:
        """Open the socket; raise OSError if it cannot be bound."""
        host, _, port = self._fleet.settings.mesh_address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, int(port)))
        self._send_all(self._fleet.peers.addresses, wants_answer=True)

    def close(self) -> None:
        """Close the socket."""
        if self._news is not None:
            self._news.cancel()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # The transport of Python 3.11 does not derive from its interface.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in a beat."""
        try:
            beat = decode(data)
        except msgspec.MsgspecError as error:
            self.invalid += 1
            log.warning("datagram refused", extra={"from": addr[0], "why": str(error)})
            return
        fleet = self._fleet
        now = fleet.now()
        address = beat.address
        if not fleet.peers.hear(address, beat, now):
            return
        if beat.is_to_relay:
            self._pass_on(beat, now)
        fleet.jobs.update_peer(address, unpack(beat.jobs), now)
        if beat.unresponsive:
            fleet.refresh_unresponsive()
        if beat.wants_answer:
            self._send(address, self._beat(PEERS_IN_ANSWER))
        self._heard(beat)

    def error_received(self, exc: Exception) -> None:
        """Ignore unreachable peers: silence says the same."""

    def tell_news(self) -> None:
        """Tell peers soon that the own work changed."""
        if self._news is None and self._fleet.jobs.change_count != self._told_changes:
            loop = asyncio.get_running_loop()
            self._news = loop.call_later(NEWS_DELAY_S, self._send_news)

    def tell_now(self) -> None:
        """Send a beat to all live peers at once."""
        now = self._fleet.now()
        live = [peer.address for peer in self._fleet.peers.live_peers(now)]
        self._send_all(live, peers=0)

    def tick(self) -> None:
        """Send the regular beat and log peers that came or fell silent."""
        now = self._fleet.now()
        self._send_all(self._fleet.peers.due(now))
        known = frozenset(
            peer.beat.node for peer in self._fleet.peers.live_peers(now) if peer.beat
        )
        if known != self._known:
            log.info(
                "live peers changed",
                extra={
                    "count": len(known),
                    "new": sorted(known - self._known)[:20],
                    "silent": sorted(self._known - known)[:20],
                },
            )
            self._known = known

    def _send_news(self) -> None:
        self._news = None
        self.tell_now()

    def _send_all(
        self,
        addresses: Sequence[str],
        wants_answer: bool = False,
        peers: int = PEERS_IN_BEAT,
    ) -> None:
        self._told_changes = self._fleet.jobs.change_count
        if not addresses:
            return
        fleet = self._fleet
        beat = self._beat(peers, wants_answer)
        domain = fleet.settings.failure_domain
        routes = fleet.peers.routes(addresses, domain, fleet.now())
        data = encode(beat)
        for address in routes.direct:
            self._send_data(address, data)
        if routes.relays:
            data = encode(msgspec.structs.replace(beat, is_to_relay=True))
            for address in routes.relays:
                self._send_data(address, data)

    def _pass_on(self, beat: Beat, now: float) -> None:
        """Send a beat from another failure domain to the peers of the own one."""
        data = encode(msgspec.structs.replace(beat, is_to_relay=False))
        for address in self._fleet.peers.near(self._fleet.settings.failure_domain, now):
            self._send_data(address, data)

    def _send(self, address: str, beat: Beat) -> None:
        self._send_data(address, encode(beat))

    def _send_data(self, address: str, data: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        host, _, port = address.rpartition(":")
        self._transport.sendto(data, (host, int(port)))

    def _beat(self, peers: int, wants_answer: bool = False) -> Beat:
        fleet = self._fleet
        now = fleet.now()
        self._sequence += 1
        age = fleet.keeper.list_age_s(now)
        return Beat(
            fleet.settings.name,
            fleet.settings.mesh_address,
            self._started_ms,
            self._sequence,
            fleet.settings.failure_domain,
            self.is_leaving,
            fleet.keeper.revision,
            fleet.keeper.digest,
            fleet.keeper.version,
            -1 if age is None else round(age * MS),
            pack(fleet.jobs.own_jobs(now)),
            fleet.health.unresponsive(now),
            fleet.settings.fetch_address,
            fleet.peers.sample(now, peers) if peers else (),
            wants_answer,
            capacity=fleet.settings.capacity,
        )
