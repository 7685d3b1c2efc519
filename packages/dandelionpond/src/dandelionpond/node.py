"""Assemble a node from its parts and run it."""

import asyncio
import gc
import json
import os
import signal
import sys
from collections.abc import AsyncIterator

import msgspec
from expression import Error, Result
from prometheus_client import CollectorRegistry

from dandelionpond.adapters.platform import HttpPlatformClient
from dandelionpond.clock import SystemClock
from dandelionpond.config.local import LocalSettings
from dandelionpond.config.schema import Settings
from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.http.body_memory import BodyLimits, BodyMemory, CallMemory
from dandelionpond.http.callers import CallersApi
from dandelionpond.http.connection_limits import SIDE_CONNECTIONS, ConnectionLimits
from dandelionpond.http.gateway import (
    CallAnswer,
    CallRequest,
    Delta,
    End,
    IssuedTicket,
    PromptRequest,
)
from dandelionpond.http.keys import KeyIndex
from dandelionpond.http.operators import OperatorsApi, measure_loop_lag
from dandelionpond.http.server import HttpListener, TlsFiles, bind, create_table
from dandelionpond.logs import configure_logging
from dandelionpond.peer.client import PeerClient
from dandelionpond.peer.messages import (
    CallOutcome,
    FetchReply,
    FetchRequest,
    ForwardedCall,
    PeerMessage,
)
from dandelionpond.peer.server import PeerServer
from dandelionpond.peer.settings import CALL_FIELDS_BYTES, PeerSettings
from dandelionpond.requests.pause_detector import TICK_S as PAUSE_TICK_S
from dandelionpond.requests.settings import RequestsSettings
from dandelionpond.runtime.accounts import Accounts
from dandelionpond.runtime.calls import CallRunner
from dandelionpond.runtime.core import Core, new_identity
from dandelionpond.runtime.crashing_prompts import CrashingPrompts
from dandelionpond.runtime.distribution import DistributionRunner, build_fetch_reply
from dandelionpond.runtime.engines import Engines
from dandelionpond.runtime.gossip import Gossip
from dandelionpond.runtime.orders import OrderRunner
from dandelionpond.runtime.prompts import PromptRunner
from dandelionpond.runtime.shutdown import ShutdownRunner
from dandelionpond.runtime.state import StateView
from dandelionpond.runtime.vm_list import VmListReader
from dandelionpond.runtime.where import explain_where
from dandelionpond.shutdown.messages import PendingWork

LOOP_LAG_INTERVAL_S = 1.0
# Interval in seconds after which connections follow changed settings.
LIMITS_INTERVAL_S = 1.0
PEER_SERVER_STOP_GRACE_S = 1.0
# Time in seconds for a listener to close its idle connections.
LISTENER_STOP_TIMEOUT_S = 0.5
# Garbage collection of the oldest generation blocks the event loop. It runs less often
# than by default, because the settings of 9,500 client accounts may be in memory.
GC_THRESHOLDS = (5_000, 20, 100)


class Node:
    """A node, which creates, connects and runs its parts.

    This is the `Gateway` of the callers' API and the `NodeView` of the operators' API.
    """

    def __init__(self, core: Core) -> None:
        local = core.local
        self._core = core
        memory_bytes = local.memory_mb << 20
        self._body_limits = BodyLimits(memory_bytes)
        self._platform_client = HttpPlatformClient(local.platform_url)
        peer_settings = self._build_peer_settings()
        self._peer_client = PeerClient(peer_settings, self._requests_settings)
        self.accounts = Accounts(core)
        self.gossip = Gossip(core, self._peer_client, self.accounts)
        self.distribution = DistributionRunner(
            core,
            self._platform_client,
            self._peer_client,
            self.gossip.address_of,
            self.gossip.announce,
        )
        self.gossip.settings_event_handler = self.distribution
        self.vm_list_reader = VmListReader(
            core, self._platform_client, self.gossip, self.distribution
        )
        self.engines = Engines(core, self.gossip)
        self.orders = OrderRunner(core, self.gossip, self.engines.client)
        self.crashing_prompts = CrashingPrompts(core, self.gossip)
        self.prompts = PromptRunner(
            core, self.accounts, self.engines, self.crashing_prompts
        )
        self.calls = CallRunner(core, self.accounts, self.gossip, self._peer_client)
        self.shutdown = ShutdownRunner(
            core,
            self._count_pending_work,
            self.gossip.leave,
            self._stop_admission,
            self.interrupt_requests,
            self._set_exit_code,
        )
        self._peer_server = PeerServer(
            self,
            local.peer_address,
            peer_settings,
            self._body_limits,
            self._requests_settings,
        )
        self._connections = create_table(
            self._body_limits.long_bodies,
            memory_bytes,
            local.max_descriptors,
            has_tls=bool(local.tls_certificate and local.tls_private_key),
        )
        slices = core.metrics.slices
        slices.add_counters("bodies", lambda: {"refused": self._body_limits.refused})
        slices.add_counters("peer_client", lambda: self._peer_client.counts)
        slices.add_counters("peer_server", lambda: self._peer_server.counts)
        slices.add_counters("connections", lambda: self._connections.counters)
        slices.add_counters(
            "connection_log", lambda: self._connections.log_limiter.counters
        )
        slices.add_size("connections", lambda: self._connections.count)
        slices.add_size("connection_bytes", lambda: self._connections.held_bytes)
        self._caller_listener: HttpListener | None = None
        self._operator_listener: HttpListener | None = None
        self._exit_code: asyncio.Future[int] | None = None
        self._is_accepting = True
        self.state = StateView(core, self)

    @property
    def settings(self) -> Settings | None:
        """Return the settings in effect, or None before the first ones."""
        merged = self._core.merged_settings
        return merged.settings if merged else None

    @property
    def keys(self) -> KeyIndex:
        """Return the index of bearer keys."""
        return self._core.keys

    @property
    def is_accepting(self) -> bool:
        """Return whether new requests are accepted."""
        return self._is_accepting

    @property
    def is_live(self) -> bool:
        """Return true: being able to respond shows that the event loop is running."""
        return True

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests to this node."""
        return self.settings is not None and self.shutdown.drain.is_ready

    @property
    def registry(self) -> CollectorRegistry:
        """Return the metrics registry."""
        return self._core.metrics.registry

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._core.now()

    def arrived_at(self) -> float:
        """Return the earliest time at which a request read now can have arrived."""
        return self._core.arrived_at()

    def prompt(self, request: PromptRequest) -> AsyncIterator[Delta | End | Failure]:
        """Run a prompt."""
        return self.prompts.run(request)

    def issue_ticket(self, account: str, service: str) -> Result[IssuedTicket, Failure]:
        """Issue a ticket for one call, unless this node is draining.

        Once the node has stopped, calls with its tickets can only get an error with
        `may_have_run`.
        """
        if not self.shutdown.drain.is_ready:
            message = "this node is shutting down"
            return Error(Failure(ErrorKind.DRAINING, message, 0.1))
        return self.calls.issue_ticket(account, service)

    async def call(self, request: CallRequest) -> Result[CallAnswer, Failure]:
        """Run a call to a plain service."""
        return await self.calls.run(request)

    def count_error(self, failure: Failure) -> None:
        """Count an error response."""
        self._core.metrics.error_responses.labels(failure.kind).inc()

    async def exchange(self, message: PeerMessage) -> PeerMessage:
        """Handle an exchange message from a peer and return the reply."""
        return await self.gossip.exchange(message)

    async def fetch_settings(self, request: FetchRequest) -> FetchReply:
        """Return the current settings files that a peer does not have."""
        return build_fetch_reply(self._core.settings_state, request)

    async def forward_call(
        self, call: ForwardedCall, memory: CallMemory
    ) -> CallOutcome:
        """Run a call that a peer forwarded because this node issued its ticket."""
        return await self.calls.run_forwarded(call, memory)

    def status(self) -> dict[str, object]:
        """Return a summary of the node's state."""
        return self.state.status()

    def dump(self) -> dict[str, object]:
        """Return the state of every slice."""
        return self.state.dump()

    def usage(self) -> dict[str, object]:
        """Return the usage of each client account."""
        return self.state.usage()

    def explain(self, request_id: str) -> list[bytes]:
        """Return the decision records of one request."""
        return self.state.explain(request_id)

    def decisions(self, follow: bool) -> AsyncIterator[bytes]:
        """Yield decision records as JSON lines; `follow` waits for new ones."""
        return self.state.decisions(follow)

    def where(self, data: bytes) -> Result[dict[str, object], Failure]:
        """Return where a prompt would go now, without sending it."""
        return explain_where(self._core, self, data)

    def drain(self) -> dict[str, object]:
        """Start a graceful shutdown."""
        self.shutdown.start_drain()
        return {"phase": self.shutdown.drain.phase}

    async def start(self) -> dict[str, object]:
        """Start the listeners and background tasks and return the start-up information.

        Raises OSError if an address cannot be bound.
        """
        local = self._core.local
        self._exit_code = asyncio.get_running_loop().create_future()
        tls = None
        if local.tls_certificate and local.tls_private_key:
            tls = TlsFiles(local.tls_certificate, local.tls_private_key)
        self._operator_listener = HttpListener(
            OperatorsApi(self, local.operator_key_hash, self._body_limits).app(),
            bind(local.operator_address),
            tls,
            table=self._connections,
        )
        operator_port = self._operator_listener.address.rpartition(":")[2]
        self._connections.add_group(operator_port, SIDE_CONNECTIONS)
        self._caller_listener = HttpListener(
            CallersApi(self, self._body_limits).app(),
            bind(local.caller_address),
            tls,
            table=self._connections,
        )
        try:
            await self._peer_server.start()
        except RuntimeError as error:
            raise OSError(0, f"{local.peer_address}: {error}") from None
        await self._operator_listener.start()
        await self._caller_listener.start()
        tasks = self._core.tasks
        tasks.every(lambda: PAUSE_TICK_S, self._core.tick_pause_detector, "pauses")
        tasks.every(lambda: LIMITS_INTERVAL_S, self._update_connection_limits, "limits")
        self.gossip.start()
        self.distribution.start()
        self.vm_list_reader.start()
        self.engines.start()
        self.crashing_prompts.start()
        self.orders.start()
        self.calls.start()
        report_lag = self._core.metrics.loop_lag.set
        self._core.tasks.spawn(
            measure_loop_lag(report_lag, LOOP_LAG_INTERVAL_S), "measure-loop-lag"
        )
        return {
            "role": "node",
            "name": local.name,
            "pid": os.getpid(),
            "failure_domain": local.failure_domain,
            "address": self._caller_listener.address,
            "caller_address": self._caller_listener.address,
            "operator_address": self._operator_listener.address,
            "peer_address": local.peer_address,
        }

    def reload_tls(self) -> None:
        """Reload the TLS certificate and private key."""
        local = self._core.local
        if local.tls_certificate and local.tls_private_key:
            files = TlsFiles(local.tls_certificate, local.tls_private_key)
            for listener in (self._caller_listener, self._operator_listener):
                if listener is not None:
                    listener.reload_tls(files)

    async def wait(self) -> int:
        """Wait for the end of the shutdown, close the node and return the exit code."""
        assert self._exit_code is not None
        code = await self._exit_code
        await self._close()
        return code

    def interrupt_requests(self) -> None:
        """Cancel all prompts that are still running."""
        self.prompts.interrupt_all()

    def _requests_settings(self) -> RequestsSettings:
        return self._core.settings.requests

    def _build_peer_settings(self) -> PeerSettings:
        """Return the settings of calls between nodes.

        The published limit of bodies may be raised up to what the memory allows.
        """
        defaults = PeerSettings()
        memory_limit = BodyMemory(self._body_limits).max_body_bytes + CALL_FIELDS_BYTES
        return msgspec.structs.replace(
            defaults, max_call_bytes=max(defaults.max_call_bytes, memory_limit)
        )

    async def _update_connection_limits(self) -> None:
        """Let connections follow the published limit on bodies."""
        settings = self.settings
        if settings is not None:
            self._connections.limits = ConnectionLimits(
                body_bytes=settings.requests.max_body_bytes
            )

    def _count_pending_work(self) -> PendingWork:
        # Requests whose bodies are still arriving, and responses that are still read.
        unfinished = 0
        if self._caller_listener is not None:
            in_flight = self.prompts.in_flight + self.calls.in_flight
            unfinished = max(0, self._caller_listener.unfinished_requests - in_flight)
        return PendingWork(
            self.prompts.in_flight + unfinished,
            self.calls.in_flight,
            self.engines.leases.table.pending_releases,
        )

    async def _stop_admission(self) -> None:
        self._is_accepting = False
        self.calls.stop_admission()
        assert self._caller_listener is not None
        await self._caller_listener.stop()

    def _set_exit_code(self, exit_code: int) -> None:
        assert self._exit_code is not None
        if not self._exit_code.done():
            self._exit_code.set_result(exit_code)

    async def _close(self) -> None:
        await self._peer_server.stop(PEER_SERVER_STOP_GRACE_S)
        # The drain has waited for requests of callers as long as its settings allow.
        if self._caller_listener is not None:
            await self._caller_listener.stop(LISTENER_STOP_TIMEOUT_S)
        if self._operator_listener is not None:
            await self._operator_listener.stop(LISTENER_STOP_TIMEOUT_S)
        await self._core.tasks.cancel()
        await self.engines.close()
        await self.calls.close()
        await self._peer_client.close()
        await self._platform_client.close()


async def serve(local: LocalSettings) -> int:
    """Run a node until it has drained, and return its exit code.

    Raises OSError if an address cannot be bound.
    """
    gc.set_threshold(*GC_THRESHOLDS)
    identity = new_identity(local.name)
    log_context = configure_logging(identity, local.log_level)
    node = Node(Core(local, identity, SystemClock(), log_context))
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, node.drain)
    loop.add_signal_handler(signal.SIGHUP, node.reload_tls)
    startup_info = await node.start()
    print(json.dumps(startup_info), flush=True)
    sys.stdout.flush()
    return await node.wait()
