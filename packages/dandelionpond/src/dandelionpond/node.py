"""Assemble a node from its slices and run it."""

import asyncio
import gc
import json
import os
import signal
import sys
from collections.abc import AsyncIterator

from expression import Error, Result
from prometheus_client import CollectorRegistry

from dandelionpond.adapters.platform import HttpPlatformClient
from dandelionpond.clock import SystemClock
from dandelionpond.config.local import LocalSettings
from dandelionpond.config.schema import Settings
from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.http.callers import CallersApi
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
from dandelionpond.http.server import HttpListener, TlsFiles, bind
from dandelionpond.logs import configure_logs
from dandelionpond.peer.client import PeerClient
from dandelionpond.peer.messages import (
    CallOutcome,
    FetchReply,
    FetchRequest,
    ForwardedCall,
    PeerMessage,
)
from dandelionpond.peer.server import PeerServer
from dandelionpond.peer.settings import PeerSettings
from dandelionpond.requests.pauses import TICK_S as PAUSE_TICK_S
from dandelionpond.runtime.accounts import Accounts
from dandelionpond.runtime.calls import CallRunner
from dandelionpond.runtime.core import Core, new_identity
from dandelionpond.runtime.distribution import DistributionRunner, fetch_reply
from dandelionpond.runtime.engines import Engines
from dandelionpond.runtime.gossip import Gossip
from dandelionpond.runtime.orders import OrderRunner
from dandelionpond.runtime.platform import VmListReader
from dandelionpond.runtime.prompts import PromptRunner
from dandelionpond.runtime.shutdown import ShutdownRunner
from dandelionpond.runtime.state import StateView
from dandelionpond.shutdown.messages import PendingWork

LOOP_LAG_INTERVAL_S = 1.0
PEER_STOP_S = 1.0
# A full collection of the oldest generation stops the loop; with the settings of 9,500
# client accounts in memory it is run more seldom than by default.
GC_THRESHOLDS = (5_000, 20, 100)


class Node:
    """Own the parts of one running node."""

    def __init__(self, core: Core) -> None:
        local = core.local
        self._core = core
        self._platform = HttpPlatformClient(local.platform_url)
        self._peers = PeerClient(PeerSettings())
        self.accounts = Accounts(core)
        self.gossip = Gossip(core, self._peers, self.accounts)
        self.distribution = DistributionRunner(
            core,
            self._platform,
            self._peers,
            self.gossip.address_of,
            self.gossip.announce,
        )
        self.gossip.settings_events = self.distribution
        self.vms = VmListReader(core, self._platform, self.gossip, self.distribution)
        self.engines = Engines(core, self.gossip)
        self.orders = OrderRunner(core, self.gossip, self.engines.client)
        self.prompts = PromptRunner(core, self.accounts, self.engines)
        self.calls = CallRunner(core, self.accounts, self.gossip, self._peers)
        self.shutdown = ShutdownRunner(
            core,
            self._load,
            self.gossip.leave,
            self._stop_admission,
            self.interrupt,
            self._stopped,
        )
        self._peer_server = PeerServer(self, local.peer_address, PeerSettings())
        self._callers: HttpListener | None = None
        self._operators: HttpListener | None = None
        self._exit_code: asyncio.Future[int] | None = None
        self._accepting = True
        self.state = StateView(core, self)

    @property
    def settings(self) -> Settings | None:
        """Return the settings in force, or None before the first ones."""
        merged = self._core.merged
        return merged.settings if merged else None

    @property
    def keys(self) -> KeyIndex:
        """Return the index of bearer keys."""
        return self._core.keys

    @property
    def accepting(self) -> bool:
        """Return whether new requests are accepted."""
        return self._accepting

    @property
    def live(self) -> bool:
        """Return true: an answer is proof that the loop makes progress."""
        return True

    @property
    def ready(self) -> bool:
        """Return whether the load balancer should send requests."""
        return self.settings is not None and self.shutdown.drain.is_ready

    @property
    def registry(self) -> CollectorRegistry:
        """Return the registry of metrics."""
        return self._core.metrics.registry

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._core.now()

    def arrived_at(self) -> float:
        """Return when a request that is read now can have arrived at the earliest."""
        return self._core.arrived_at()

    def prompt(self, request: PromptRequest) -> AsyncIterator[Delta | End | Failure]:
        """Run a prompt."""
        return self.prompts.run(request)

    def issue_ticket(self, account: str, service: str) -> Result[IssuedTicket, Failure]:
        """Issue a ticket for one call, unless this node is leaving.

        A ticket of a node that stops could only be answered `may_have_run`.
        """
        if not self.shutdown.drain.is_ready:
            message = "this node is shutting down"
            return Error(Failure(ErrorKind.DRAINING, message, 0.1))
        return self.calls.issue(account, service)

    async def call(self, request: CallRequest) -> Result[CallAnswer, Failure]:
        """Run a call to a plain service."""
        return await self.calls.run(request)

    def count_error(self, failure: Failure) -> None:
        """Count an answer with an error."""
        self._core.metrics.refusals.labels(failure.kind).inc()

    async def exchange(self, message: PeerMessage) -> PeerMessage:
        """Answer an exchange of a peer."""
        return await self.gossip.exchange(message)

    async def fetch_settings(self, request: FetchRequest) -> FetchReply:
        """Return the files in force that a peer does not hold."""
        return fetch_reply(self._core.keeper, request)

    async def forward_call(self, call: ForwardedCall) -> CallOutcome:
        """Run a call whose ticket this node issued."""
        return await self.calls.forwarded(call)

    def status(self) -> dict[str, object]:
        """Return a short summary of the node."""
        return self.state.status()

    def dump(self) -> dict[str, object]:
        """Return the state of every slice."""
        return self.state.dump()

    def usage(self) -> dict[str, object]:
        """Return what each client account used."""
        return self.state.usage()

    def explain(self, request_id: str) -> list[bytes]:
        """Return the decision records of one request."""
        return self.state.explain(request_id)

    def decisions(self, follow: bool) -> AsyncIterator[bytes]:
        """Yield decision records as JSON lines."""
        return self.state.decisions(follow)

    def drain(self) -> dict[str, object]:
        """Start a planned stop."""
        self.shutdown.terminate()
        return {"phase": self.shutdown.drain.phase}

    async def start(self) -> dict[str, object]:
        """Open the listeners and return the addresses.

        Raises OSError if an address cannot be bound.
        """
        local = self._core.local
        self._exit_code = asyncio.get_running_loop().create_future()
        tls = None
        if local.tls_certificate and local.tls_private_key:
            tls = TlsFiles(local.tls_certificate, local.tls_private_key)
        self._operators = HttpListener(
            OperatorsApi(self, local.operator_key_hash).app(),
            bind(local.operator_address),
            tls,
        )
        self._callers = HttpListener(
            CallersApi(self).app(), bind(local.caller_address), tls
        )
        try:
            await self._peer_server.start()
        except RuntimeError as error:
            raise OSError(0, f"{local.peer_address}: {error}") from None
        await self._operators.start()
        await self._callers.start()
        tasks = self._core.tasks
        tasks.every(lambda: PAUSE_TICK_S, self._core.tick_pauses, "pauses")
        self.gossip.start()
        self.distribution.start()
        self.vms.start()
        self.engines.start()
        self.orders.start()
        self.calls.start()
        lag = self._core.metrics.loop_lag.set
        self._core.tasks.spawn(
            measure_loop_lag(lag, LOOP_LAG_INTERVAL_S), "measure-loop-lag"
        )
        return {
            "role": "node",
            "name": local.name,
            "pid": os.getpid(),
            "failure_domain": local.failure_domain,
            "address": self._callers.address,
            "caller_address": self._callers.address,
            "operator_address": self._operators.address,
            "peer_address": local.peer_address,
        }

    def reload_tls(self) -> None:
        """Read certificate and key again."""
        local = self._core.local
        if local.tls_certificate and local.tls_private_key:
            files = TlsFiles(local.tls_certificate, local.tls_private_key)
            for listener in (self._callers, self._operators):
                if listener is not None:
                    listener.reload_tls(files)

    async def wait(self) -> int:
        """Return the exit code after a planned stop."""
        assert self._exit_code is not None
        code = await self._exit_code
        await self._close()
        return code

    def interrupt(self) -> None:
        """Cut off the requests that are left."""
        self.prompts.cancel_all()

    def _load(self) -> PendingWork:
        return PendingWork(
            self.prompts.in_flight,
            self.calls.in_flight,
            self.engines.leases.table.pending_releases,
        )

    async def _stop_admission(self) -> None:
        self._accepting = False
        self.calls.stop_admission()
        assert self._callers is not None
        await self._callers.stop()

    def _stopped(self, exit_code: int) -> None:
        assert self._exit_code is not None
        if not self._exit_code.done():
            self._exit_code.set_result(exit_code)

    async def _close(self) -> None:
        await self._peer_server.stop(PEER_STOP_S)
        if self._callers is not None:
            await self._callers.stop()
        if self._operators is not None:
            await self._operators.stop()
        await self._core.tasks.cancel()
        await self.engines.close()
        await self.calls.close()
        await self._peers.close()
        await self._platform.close()


async def serve(local: LocalSettings) -> int:
    """Run a node until it has drained and return its exit code.

    Raises OSError if an address cannot be bound.
    """
    gc.set_threshold(*GC_THRESHOLDS)
    identity = new_identity(local.name)
    logs = configure_logs(identity, local.log_level)
    node = Node(Core(local, identity, SystemClock(), logs))
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.drain)
    loop.add_signal_handler(signal.SIGHUP, node.reload_tls)
    started = await node.start()
    print(json.dumps(started), flush=True)
    sys.stdout.flush()
    return await node.wait()
