"""Run calls to plain services, at most once where they must not be repeated."""

import asyncio
import hashlib
import secrets

from expression import Error, Ok, Result

from dandelionpond.adapters.service import HttpServiceClient, ServiceClient
from dandelionpond.config.schema import Service, ServiceUpstream, Settings
from dandelionpond.errors import ErrorKind, Execution, Failure
from dandelionpond.hashing import top_ranked
from dandelionpond.http.gateway import CallAnswer, CallRequest, IssuedTicket
from dandelionpond.limits.limiter import Admitted
from dandelionpond.peer.client import PeerClient
from dandelionpond.peer.messages import CallOutcome, ForwardedCall
from dandelionpond.requests.budget import RetryBudgets
from dandelionpond.requests.call import Call
from dandelionpond.requests.messages import (
    Classification,
    ForwardToIssuer,
    Outcome,
    Refuse,
    RepeatOutcome,
    RunWithoutTicket,
    RunWithTicket,
)
from dandelionpond.requests.pause_detector import PAUSE_THRESHOLD_S
from dandelionpond.requests.ticket import Ticket, decode_ticket
from dandelionpond.requests.ticket_table import TicketTable, failure_for_unresolved_key
from dandelionpond.runtime.accounts import Accounts
from dandelionpond.runtime.call_run import CallCounters, CallRun
from dandelionpond.runtime.core import Core
from dandelionpond.runtime.gossip import Gossip
from dandelionpond.runtime.suspicion import WorkerSuspicion

EXPIRE_INTERVAL_S = 1.0
# Time that a forwarded call leaves for the way back from the issuer.
FORWARD_MARGIN_S = 0.05
# A call that ends later than this after its deadline, in seconds, was late.
LATE_S = PAUSE_THRESHOLD_S
# Time after which a call that met a full node may come again, in seconds.
FULL_RETRY_S = 1.0


class CallRunner:
    """Serve plain calls and own the ticket book of this incarnation."""

    def __init__(
        self,
        core: Core,
        accounts: Accounts,
        gossip: Gossip,
        peers: PeerClient,
        client: ServiceClient | None = None,
    ) -> None:
        settings = core.settings.requests
        self._core = core
        self._accounts = accounts
        self._gossip = gossip
        self._peers = peers
        self._client = client or HttpServiceClient(settings)
        self._suspicion = WorkerSuspicion(core, gossip)
        self.budgets = RetryBudgets(settings)
        # The secret never leaves this process, so only this incarnation can verify
        # the tickets that it issued.
        self.tickets = TicketTable(
            core.identity,
            core.local.peer_address,
            secrets.token_bytes(32),
            settings,
            core.random,
        )
        # The ends of the running calls by the nonce of their ticket.
        self._running: dict[str, asyncio.Future[Outcome | Failure]] = {}
        self.counters = CallCounters()
        self.in_flight = 0
        self.accepting = True
        core.on_settings.append(self._configure)

    def start(self) -> None:
        """Start the timers."""
        self._suspicion.start()
        self._core.tasks.every(lambda: EXPIRE_INTERVAL_S, self._expire, "tickets")

    def stop_admission(self) -> None:
        """Refuse forwarded calls and begin no further ticket."""
        self.accepting = False
        self.tickets.close()

    async def close(self) -> None:
        """Close all connections."""
        if isinstance(self._client, HttpServiceClient):
            await self._client.close()

    def issue_ticket(self, account: str, service: str) -> Result[IssuedTicket, Failure]:
        """Issue a ticket for one call."""
        now = self._core.now()
        ticket = self.tickets.issue(account, service, now)
        return Ok(IssuedTicket(ticket, self._core.settings.requests.ticket_ttl_s))

    async def run(self, request: CallRequest) -> Result[CallAnswer, Failure]:
        """Run a caller's call, here or at the issuer of its ticket."""
        if self.in_flight >= self._core.settings.requests.max_in_flight:
            self.counters.refused_full += 1
            message = "this node has too many calls in flight"
            failure = Failure(ErrorKind.OVERLOADED, message, FULL_RETRY_S)
            return Error(_refusal(request.key, failure))
        self.in_flight += 1
        self._core.metrics.in_flight.labels("call").set(self.in_flight)
        try:
            answer = await self._run(request)
        finally:
            self.in_flight -= 1
            self._core.metrics.in_flight.labels("call").set(self.in_flight)
            late_s = self._core.now() - request.deadline
            self.counters.ended_late += late_s > LATE_S
        outcome = "complete"
        if answer.is_error():
            outcome = answer.error.execution.value
            self._accounts.count_refusal(request.account, answer.error)
        self._core.metrics.requests.labels("call", outcome).inc()
        return answer

    async def _run(self, request: CallRequest) -> Result[CallAnswer, Failure]:
        decided = self._classify(request)
        if isinstance(decided, ForwardToIssuer):
            result = await self._forward(
                request, decided.issuer, decided.incarnation, decided.peer_address
            )
            kind = result.error.kind if result.is_error() else None
            self.counters.forwarded += 1
            self.counters.issuer_unreachable += kind is ErrorKind.ISSUER_UNREACHABLE
            return result
        while _is_running(decided):
            # The caller wants the outcome and cannot know when to ask again.
            end = await self._wait(request)
            if end is not None:
                return self._counted(end)
            if self._core.now() >= request.deadline:
                break
            decided = self._classify(request)
        match decided:
            case Refuse(failure):
                return self._counted(Error(failure))
            case RepeatOutcome(outcome):
                return self._counted(Ok(_answer(outcome, repeated=True)))
            case RunWithoutTicket(key):
                rule = self._core.settings.services[request.service]
                admitted = self._accounts.admit_call(
                    request.account, request.request_id
                )
                if admitted.is_error():
                    return self._counted(Error(_refusal(request.key, admitted.error)))
                # The service must not take equal keys of two accounts for one.
                scoped = None if key is None else f"{request.account}|{key}"
                plain = await self._attempt(request, rule, scoped, None, admitted.ok)
                return self._counted(plain.map(_answer))
            case RunWithTicket(ticket, key):
                return self._counted(await self._run_ticket(request, ticket, key))
        raise AssertionError(decided)

    def _classify(self, request: CallRequest) -> Classification:
        rule = self._core.settings.services.get(request.service)
        if rule is None:
            message = f"service {request.service!r} was removed"
            failure = Failure(ErrorKind.UNKNOWN_SERVICE, message)
            return Refuse(_refusal(request.key, failure))
        return self.tickets.classify(
            request.key,
            request.account,
            request.service,
            rule,
            _hash(request.body),
            self._core.now(),
        )

    async def _wait(self, request: CallRequest) -> Result[CallAnswer, Failure] | None:
        """Wait for the end of the running call that has the request's ticket.

        None means that this try has to look again: the running call ended without
        having run, or the deadline has passed. A try that waits counts for its client
        account, which bounds the number of them.
        """
        signed = decode_ticket(request.key or "")
        running = self._running.get(signed.ticket.nonce) if signed else None
        if running is None:
            # Without this, a fault here would make the loop above spin.
            return Error(Failure(ErrorKind.CALL_IN_PROGRESS, "the call is running"))
        admitted = self._accounts.admit_call(request.account, request.request_id)
        if admitted.is_error():
            return Error(_refusal(request.key, admitted.error))
        self.counters.waited += 1
        try:
            async with asyncio.timeout(request.deadline - self._core.now()):
                end = await asyncio.shield(running)
        except TimeoutError:
            return None
        finally:
            self._accounts.finished(admitted.ok, 0)
        if isinstance(end, Outcome):
            return Ok(_answer(end, repeated=True))
        return None if end.execution is Execution.NOT_RUN else Error(end)

    def _counted(
        self, result: Result[CallAnswer, Failure]
    ) -> Result[CallAnswer, Failure]:
        if result.is_ok():
            self.counters.ran += 1
            self.counters.repeated += result.ok.repeated
            return result
        match result.error.execution:
            case Execution.RAN:
                self.counters.ran += 1
            case Execution.NOT_RUN:
                self.counters.not_run += 1
            case Execution.MAY_HAVE_RUN:
                self.counters.may_have_run += 1
        return result

    async def _run_ticket(
        self, request: CallRequest, ticket: Ticket, key: str | None
    ) -> Result[CallAnswer, Failure]:
        rule = self._core.settings.services[request.service]
        admitted = self._accounts.admit_call(request.account, request.request_id)
        if admitted.is_error():
            return Error(admitted.error)
        now = self._core.now()
        begun = self.tickets.begin(ticket, _hash(request.body), now)
        if begun.is_error():
            self._accounts.finished(admitted.ok, 0)
            match begun.error:
                case RepeatOutcome(outcome):
                    return Ok(_answer(outcome, repeated=True))
                case Refuse(failure):
                    return Error(failure)
        run = begun.ok
        running = asyncio.get_running_loop().create_future()
        self._running[ticket.nonce] = running
        failure = Failure(ErrorKind.INTERNAL, "the call ended without an outcome")
        result: Result[Outcome, Failure] = Error(failure)
        try:
            result = await self._attempt(
                request, rule, key, ticket.expires_at, admitted.ok
            )
        finally:
            value = result.ok if result.is_ok() else result.error
            self.tickets.finish(ticket, run, value, self._core.now())
            del self._running[ticket.nonce]
            running.set_result(value)
        return result.map(_answer)

    async def _forward(
        self, request: CallRequest, issuer: str, incarnation: str, address: str
    ) -> Result[CallAnswer, Failure]:
        """Hand a call to the issuer of its ticket.

        The address is the caller's claim, so it is used only if membership knows the
        issuer under it: a caller must not choose where a node connects to.
        """
        known = self._gossip.address_of(issuer)
        if known is None or self._gossip.announced_address(issuer) != address:
            message = "the issuer of this ticket is not known to this node"
            return Error(Failure(ErrorKind.ISSUER_UNREACHABLE, message))
        assert request.key is not None
        remaining = request.deadline - self._core.now() - FORWARD_MARGIN_S
        call = ForwardedCall(
            self._core.identity,
            request.key,
            request.account,
            request.service,
            _hash(request.body).hex(),
            request.body,
            remaining,
            request.request_id,
            request.content_type,
        )
        result = await self._peers.forward_call(known, call)
        if result.is_error():
            return Error(failure_for_unresolved_key(result.error.failure))
        outcome = result.ok
        if outcome.error is not None:
            # The issuer knows its tickets, so what it says of the execution stands.
            return Error(
                Failure(outcome.error, outcome.error_message, outcome.retry_after_s)
            )
        return Ok(
            CallAnswer(
                outcome.status, outcome.content_type, outcome.body, outcome.is_repeated
            )
        )

    async def run_forwarded(self, call: ForwardedCall) -> CallOutcome:
        """Run a call that another node forwarded to this one."""
        # The deadline counts from the arrival, and the answer needs time as well.
        deadline = self._core.arrived_at() + call.remaining_s - FORWARD_MARGIN_S
        request = CallRequest(
            call.request_id,
            call.account,
            call.service,
            call.ticket,
            call.body,
            call.content_type,
            deadline,
        )
        run = self._core.tasks.spawn(
            self._check_and_run_forwarded(request), "forwarded-call"
        )
        try:
            # gRPC cancels this handler when the forwarding node goes away or its
            # deadline passes. A call that has been sent is followed to its end.
            result = await asyncio.shield(run)
        except asyncio.CancelledError:
            self.counters.forwarder_gone += 1
            raise
        if result.is_ok():
            answer = result.ok
            return CallOutcome(
                answer.status,
                answer.content_type,
                answer.body,
                is_repeated=answer.repeated,
            )
        failure = result.error
        return CallOutcome(
            0,
            "",
            b"",
            failure.kind,
            failure.message,
            retry_after_s=failure.retry_after_s,
        )

    async def _check_and_run_forwarded(
        self, request: CallRequest
    ) -> Result[CallAnswer, Failure]:
        settings = self._core.settings
        account = settings.client_accounts.get(request.account)
        if account is None:
            failure = Failure(ErrorKind.NOT_PERMITTED, "unknown client account")
            return Error(failure_for_unresolved_key(failure))
        decided = self._classify(request)
        if not self.accepting and isinstance(decided, RunWithoutTicket):
            failure = Failure(ErrorKind.DRAINING, "the issuer is shutting down")
            return Error(failure_for_unresolved_key(failure))
        # A forwarded call is never forwarded again: two nodes that each believe the
        # other one to be the issuer would pass it on for ever.
        if isinstance(decided, ForwardToIssuer):
            message = "the ticket is not from this node"
            return Error(Failure(ErrorKind.ISSUER_UNREACHABLE, message))
        return await self.run(request)

    async def _attempt(
        self,
        request: CallRequest,
        rule: Service,
        key: str | None,
        send_until: float | None,
        admitted: Admitted,
    ) -> Result[Outcome, Failure]:
        usage = self._accounts.of(request.account)
        usage.calls += 1
        workers = self._workers(request)
        call = Call(
            request.request_id,
            workers,
            rule,
            self._core.settings.requests,
            self.budgets.get(f"service:{request.service}"),
            request.deadline,
            send_until,
        )
        run = CallRun(
            self._core, self._client, self._gossip, self._suspicion, request, call, key
        )
        try:
            return await run.result()
        finally:
            self.counters.late_events += call.late_events
            self._accounts.finished(admitted, 0)

    def _workers(self, request: CallRequest) -> tuple[str, ...]:
        """Return the usable workers, those of this failure domain first."""
        settings, domain = self._core.settings, self._core.local.failure_domain
        near: list[str] = []
        far: list[str] = []
        for name, upstream in settings.upstreams.items():
            if (
                not isinstance(upstream, ServiceUpstream)
                or request.service not in upstream.services
                or self._gossip.upstreams.state_of(name) not in ("live", "suspect")
            ):
                continue
            (near if upstream.failure_domain == domain else far).append(name)
        key = request.request_id
        ordered = (*top_ranked(key, near, len(near)), *top_ranked(key, far, len(far)))
        live = [n for n in ordered if self._gossip.upstreams.state_of(n) == "live"]
        return tuple(live) or ordered

    async def _expire(self) -> None:
        self.tickets.expire(self._core.now())

    def _configure(self, settings: Settings) -> None:
        self.tickets.update(settings.requests)
        self.budgets.configure(settings.requests)


def _is_running(decided: Classification) -> bool:
    return (
        isinstance(decided, Refuse)
        and decided.failure.kind is ErrorKind.CALL_IN_PROGRESS
    )


def _refusal(key: str | None, failure: Failure) -> Failure:
    """Return a refusal that is true for an earlier try with the same key as well."""
    return failure if key is None else failure_for_unresolved_key(failure)


def _hash(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=32).digest()


def _answer(outcome: Outcome, repeated: bool = False) -> CallAnswer:
    return CallAnswer(outcome.status, outcome.content_type, outcome.body, repeated)
