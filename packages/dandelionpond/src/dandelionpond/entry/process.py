"""Assemble and run the node process that serves the published routes."""

import asyncio
import gc
import logging
import secrets
import signal
import sys
from random import Random
from typing import Any

import msgspec

from dandelionpond.clock import Clock, SystemClock
from dandelionpond.entry.app import EntryApp
from dandelionpond.entry.attempts import Forwarder
from dandelionpond.entry.dump import describe_node
from dandelionpond.entry.evacuations import EvacuationReporter
from dandelionpond.entry.fleet import Fleet
from dandelionpond.entry.log_stream import LogStream
from dandelionpond.entry.mesh import HeartbeatProtocol
from dandelionpond.entry.operators import OperatorsApp
from dandelionpond.entry.reservations import EngineMemoryClient, MemoryReservations
from dandelionpond.entry.room import WaitingRoom
from dandelionpond.entry.settings import EntrySettings
from dandelionpond.entry.state_sync import MetadataStore, StateSync
from dandelionpond.entry.upstream_client import UpstreamClient
from dandelionpond.entry.where import explain_where
from dandelionpond.forwarding.messages import HeaderTranslator
from dandelionpond.http.body import BodyMemoryMiddleware
from dandelionpond.http.connection_limits import SIDE_CONNECTIONS, ConnectionLimits
from dandelionpond.http.server import HttpListener, bind, create_table
from dandelionpond.identity import Identity
from dandelionpond.logs import configure_logging
from dandelionpond.mesh.peers import HEARTBEAT_INTERVAL_S
from dandelionpond.metrics import Metrics
from dandelionpond.peer.settings import PeerSettings
from dandelionpond.peer.snapshots import SnapshotServer
from dandelionpond.requests.pause_detector import PauseDetector
from dandelionpond.runtime.tasks import Tasks
from dandelionpond.shutdown.drain import DrainStateMachine
from dandelionpond.shutdown.messages import (
    AnnounceShutdown,
    DrainRequested,
    HandOverReleases,
    InterruptRequests,
    PendingWork,
    Stop,
    StopAdmission,
    Tick,
)

log = logging.getLogger("dandelionpond.process")

# Interval in seconds between two checks for process pauses and silent peers.
TICK_INTERVAL_S = 0.25
# Interval in seconds between two steps of a planned shutdown.
SHUTDOWN_TICK_INTERVAL_S = 0.1
GC_THRESHOLDS = (5_000, 20, 100)


class EntryProcess:
    """A node's process, which connects the components and runs them until it stops."""

    def __init__(
        self,
        settings: EntrySettings,
        header_translator: HeaderTranslator,
        store: MetadataStore,
        memory_client: EngineMemoryClient,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._store = store
        self._memory_client = memory_client
        self._tasks = Tasks()
        self._pauses = PauseDetector(clock.monotonic())
        self._fleet = Fleet(settings, clock, Random(secrets.randbits(64)))
        self._sync = StateSync(self._fleet, store, self._tasks)
        self._heartbeats = HeartbeatProtocol(self._fleet, self._sync.on_heartbeat)
        self._sync.on_update = self._heartbeats.send_now
        memory_client.on_answer = self._fleet.record_head
        self._fleet.on_unresponsive = self._heartbeats.send_now
        self._fleet.quarantine.on_news = self._heartbeats.schedule_news
        self._snapshots = SnapshotServer(
            settings.fetch_address,
            self._sync.current_snapshot,
            PeerSettings(max_connections=settings.max_peer_connections),
        )
        self._upstream_client = UpstreamClient(settings.connect_timeout_s)
        self._metrics = Metrics()
        self._forwarder = Forwarder(
            self._fleet, self._upstream_client, header_translator, self._metrics
        )
        self._reservations = MemoryReservations(self._fleet, memory_client, self._tasks)
        self._room = WaitingRoom(self._fleet)
        self._room.on_news = self._heartbeats.schedule_news
        self._heartbeats.on_peer_change = self._room.on_change
        self._app = EntryApp(
            self._forwarder,
            self._reservations,
            self._room,
            self._arrived_at,
            self._is_shutting_down,
        )
        self._connections = create_table(
            self._app.body_limits.long_bodies,
            settings.memory_bytes,
            settings.max_descriptors,
        )
        for address in (settings.ready_address, settings.metrics_address):
            self._connections.add_group(str(_port(address)), SIDE_CONNECTIONS)
        self._fleet.jobs.on_change = self._on_job_change
        self._drain = DrainStateMachine(settings.shutdown)
        self._evacuations = EvacuationReporter(self._fleet)
        operators = OperatorsApp(
            self._metrics.registry,
            lambda: describe_node(
                self._fleet, self._forwarder.accounts, self._evacuations
            ),
            lambda body: explain_where(self._fleet, self._room, body),
        )
        self._operators = BodyMemoryMiddleware(operators, self._app.body_limits)
        self._add_metrics()
        self._listener: HttpListener | None = None
        self._exit = asyncio.get_running_loop().create_future()

    async def start(self) -> None:
        """Open the listeners; raise OSError if an address cannot be bound."""
        settings = self._settings
        await self._heartbeats.start()
        self._sync.start()
        self._reservations.start()
        front = bind(settings.front_address)
        ready = bind(settings.ready_address)
        metrics = bind(settings.metrics_address)
        self._listener = HttpListener(
            self._dispatch,
            front,
            more_sockets=(ready, metrics),
            table=self._connections,
        )
        await self._listener.start()
        await self._snapshots.start()
        self._tasks.every(lambda: TICK_INTERVAL_S, self._tick, "tick")
        self._tasks.every(
            lambda: HEARTBEAT_INTERVAL_S, self._send_heartbeats, "heartbeat"
        )
        log.info("started", extra={"front": settings.front_address})

    def terminate(self) -> None:
        """Start a planned shutdown; repeated signals have no effect."""
        if self._drain.is_ready:
            self._advance_shutdown(DrainRequested())
            self._tasks.every(
                lambda: SHUTDOWN_TICK_INTERVAL_S, self._shutdown_tick, "shutdown"
            )

    def reload(self) -> None:
        """Log that a SIGHUP does not reload the settings file."""
        log.info("settings are not reloaded; restart the node to apply changes")

    async def wait(self) -> int:
        """Wait until a planned shutdown has ended and return the exit code."""
        code: int = await self._exit
        assert self._listener is not None
        await self._snapshots.stop()
        self._sync.close()
        await self._tasks.cancel()
        self._heartbeats.close()
        await self._upstream_client.close()
        await self._store.close()
        await self._memory_client.close()
        return code

    async def _dispatch(self, scope: Any, receive: Any, send: Any) -> None:
        """Select the handler by the local port of the connection."""
        port = scope["server"][1]
        if port == _port(self._settings.ready_address):
            await _send_response(send, 200 if self._is_ready() else 503, b"")
        elif port == _port(self._settings.metrics_address):
            await self._operators(scope, receive, send)
        else:
            await self._app(scope, receive, send)

    def _is_ready(self) -> bool:
        return self._drain.is_ready and self._fleet.published.is_complete

    def _is_shutting_down(self) -> bool:
        return not self._drain.is_ready

    def _arrived_at(self) -> float:
        """Return the earliest time at which a request read now may have arrived.

        It is earlier than now if the request may have waited during a process pause.
        """
        return self._pauses.arrived_at(self._clock.monotonic())

    async def _tick(self) -> None:
        self._pauses.tick(self._clock.monotonic())
        self._fleet.tick()
        self._evacuations.tick()
        self._room.tick()
        table = self._fleet.published.table
        if table is not None and self._listener is not None:
            limits = table.document.limits
            self._listener.set_idle_timeout(limits.idle_timeout_s)
            self._connections.limits = ConnectionLimits(
                limits.header_bytes, limits.body_bytes, limits.header_timeout_s
            )

    async def _send_heartbeats(self) -> None:
        self._heartbeats.send_regular()

    def _on_job_change(self) -> None:
        self._heartbeats.schedule_send()
        self._room.on_change()

    async def _shutdown_tick(self) -> None:
        assert self._listener is not None
        pending = PendingWork(
            streams=self._app.in_flight
            + self._listener.partial_requests
            + self._listener.unsent_responses,
            pending_releases=self._reservations.active_count,
        )
        self._advance_shutdown(Tick(pending))

    def _advance_shutdown(self, event: DrainRequested | Tick) -> None:
        for action in self._drain.handle_event(event, self._clock.monotonic()):
            match action:
                case AnnounceShutdown():
                    log.info("shutdown announced to peers")
                    self._heartbeats.is_leaving = True
                    self._heartbeats.send_now()
                case StopAdmission():
                    log.info("draining", extra={"in_flight": self._app.in_flight})
                    assert self._listener is not None
                    self._tasks.spawn(self._listener.stop(), "stop-listener")
                case InterruptRequests(requests):
                    log.warning("requests interrupted", extra={"requests": requests})
                    self._app.cancel_all()
                case HandOverReleases(releases):
                    log.warning("releases not confirmed", extra={"releases": releases})
                case Stop(exit_code):
                    log.info("stopped", extra={"exit_code": exit_code})
                    if not self._exit.done():
                        self._exit.set_result(exit_code)

    def _read_admission_counters(self) -> dict[str, int]:
        counters = self._fleet.room.read_counters()
        return {**counters, "accounts_at_bound": self._forwarder.accounts.at_bound}

    def _add_metrics(self) -> None:
        slices, fleet = self._metrics.slices, self._fleet
        slices.add_counters("requests", lambda: self._forwarder.counters)
        slices.add_counters("upstream", lambda: self._upstream_client.counters)
        slices.add_counters("sync", self._sync.read_counters)
        slices.add_counters(
            "shutdown", lambda: {"repeated_signals": self._drain.repeated_signals}
        )
        slices.add_counters(
            "published", lambda: msgspec.structs.asdict(fleet.published.counters)
        )
        slices.add_counters("store", lambda: self._store.counters)
        slices.add_counters(
            "bodies", lambda: {"refused": self._app.body_limits.refused}
        )
        slices.add_counters(
            "datagrams",
            lambda: {
                "invalid": self._heartbeats.invalid_datagrams,
                "invalid_news": self._heartbeats.invalid_news,
            },
        )
        slices.add_counters("connections", lambda: self._connections.counters)
        slices.add_counters(
            "connection_log", lambda: self._connections.log_limiter.counters
        )
        slices.add_counters("request_log", lambda: self._app.log_limiter.counters)
        slices.add_size("connections", lambda: self._connections.count)
        slices.add_size("connection_bytes", lambda: self._connections.held_bytes)
        slices.add_counters(
            "marks", lambda: msgspec.structs.asdict(fleet.marks.counters)
        )
        slices.add_counters("cold", fleet.cold.read_counters)
        if fleet.speeds is not None:
            speeds = fleet.speeds
            slices.add_counters(
                "speeds", lambda: msgspec.structs.asdict(speeds.counters)
            )
        stream_buffers = self._forwarder.stream_buffers
        if stream_buffers is not None:
            total = stream_buffers.total
            slices.add_counters("stream_buffers", stream_buffers.read_counters)
            slices.add_size("stream_buffer_bytes", lambda: total.used_bytes)
        slices.add_counters("groups", lambda: self._reservations.counters)
        slices.add_counters("peers", lambda: fleet.peers.counters)
        slices.add_counters("prefixes", fleet.prefixes.read_counters)
        slices.add_counters("quarantine", fleet.quarantine.read_counters)
        slices.add_counters("kept_away", lambda: fleet.kept_away)
        slices.add_size("evacuated_domains", self._evacuations.domain_count)
        slices.add_size("evacuated_requests", self._evacuations.request_count)
        slices.add_counters("admission", self._read_admission_counters)
        slices.add_size("requests", lambda: self._app.in_flight)
        slices.add_size("quarantine", lambda: fleet.quarantine.size)
        slices.add_size("waiting_prompts", lambda: len(fleet.room))
        slices.add_size("refused_prompts", lambda: fleet.room.remembered)
        slices.add_size("peers", lambda: len(fleet.peers.live_peers(fleet.now())))


async def _send_response(send: Any, status: int, body: bytes) -> None:
    headers = [(b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])


async def serve(
    settings: EntrySettings,
    header_translator: HeaderTranslator,
    store: MetadataStore,
    memory_client: EngineMemoryClient,
) -> int:
    """Run the node until its shutdown has ended and return the exit code.

    Raises OSError if an address cannot be bound.
    """
    gc.set_threshold(*GC_THRESHOLDS)
    identity = Identity(settings.name, 0, secrets.randbits(64))
    configure_logging(identity, "INFO", LogStream(sys.stdout.fileno()))
    logging.getLogger("uvicorn.error").setLevel(logging.WARNING)
    process = EntryProcess(
        settings, header_translator, store, memory_client, SystemClock()
    )
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, process.terminate)
    loop.add_signal_handler(signal.SIGINT, process.terminate)
    loop.add_signal_handler(signal.SIGHUP, process.reload)
    await process.start()
    return await process.wait()
