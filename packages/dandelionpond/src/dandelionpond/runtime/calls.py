"""Runner of plain service calls; non-idempotent ones run at most once."""

import asyncio
import hashlib
import secrets

import msgspec
from expression import Error, Ok, Result

from dandelionpond.adapters.service import HttpServiceClient, ServiceClient
from dandelionpond.config.schema import Service, ServiceUpstream, Settings, Upstream
from dandelionpond.errors import ErrorKind, Execution, Failure
from dandelionpond.hashing import top_ranked
from dandelionpond.http.body_memory import CallMemory
from dandelionpond.http.gateway import CallAnswer, CallRequest, IssuedTicket
from dandelionpond.limits.limiter import Admitted
from dandelionpond.membership.upstream_marks import longest_wait_s
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

TICKET_EXPIRY_INTERVAL_S = 1.0
# Part of the remaining time reserved for the reply from the issuer, in seconds.
FORWARD_MARGIN_S = 0.05
# A call counts as late if it ends more than this many seconds after its deadline.
LATE_THRESHOLD_S = PAUSE_THRESHOLD_S
# Retry-After, in seconds, of calls refused because too many are in flight.
OVERLOAD_RETRY_AFTER_S = 1.0
# Interval in seconds at which a call looks for a worker that takes one more request in
# the second after a pause.
RAMP_CHECK_S = 0.05


class CallRunner:
    """The runner of plain calls and owner of this incarnation's ticket table."""

    def __init__(
        self,
        core: Core,
        accounts: Accounts,
        gossip: Gossip,
        peer_client: PeerClient,
        client: ServiceClient | None = None,
    ) -> None:
        settings = core.settings.requests
        self._core = core
        self._accounts = accounts
        self._gossip = gossip
        self._peer_client = peer_client
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
        # Results of the running calls, keyed by the nonce of their ticket.
        self._running_calls: dict[str, asyncio.Future[Outcome | Failure]] = {}
        self._configured_upstreams: dict[str, Upstream] = {}
        self._workers_by_service: dict[str, list[str]] = {}
        self.counters = CallCounters()
        self.in_flight = 0
        self.is_accepting = True
        core.settings_listeners.append(self._configure)

    def start(self) -> None:
        """Start the background tasks."""
        self._suspicion.start()
        self._core.tasks.every(
            lambda: TICKET_EXPIRY_INTERVAL_S, self._expire_tickets, "tickets"
        )

    def stop_admission(self) -> None:
        """Refuse forwarded calls without a ticket and start no more ticketed ones."""
        self.is_accepting = False
        self.tickets.close()

    async def close(self) -> None:
        """Close all connections to services."""
        if isinstance(self._client, HttpServiceClient):
            await self._client.close()

    def issue_ticket(self, account: str, service: str) -> Result[IssuedTicket, Failure]:
        """Issue a ticket for one call."""
        now = self._core.now()
        ticket = self.tickets.issue(account, service, now)
        return Ok(IssuedTicket(ticket, self._core.settings.requests.ticket_ttl_s))

    async def run(self, request: CallRequest) -> Result[CallAnswer, Failure]:
        """Run a call on this node or forward it to the issuer of its ticket."""
        if self.in_flight >= self._core.settings.requests.max_in_flight:
            self.counters.refused_full += 1
            message = "this node has too many calls in flight"
            failure = Failure(ErrorKind.OVERLOADED, message, OVERLOAD_RETRY_AFTER_S)
            return Error(_failure_for_key(request.key, failure))
        self.in_flight += 1
        self._core.metrics.in_flight.labels("call").set(self.in_flight)
        try:
            answer = await self._run_or_forward(request)
        finally:
            self.in_flight -= 1
            self._core.metrics.in_flight.labels("call").set(self.in_flight)
            late_s = self._core.now() - request.deadline
            self.counters.ended_late += late_s > LATE_THRESHOLD_S
        outcome = "complete"
        if answer.is_error():
            outcome = answer.error.execution.value
            self._accounts.count_refusal(request.account, answer.error)
        self._core.metrics.requests.labels("call", outcome).inc()
        return answer

    async def _run_or_forward(
        self, request: CallRequest
    ) -> Result[CallAnswer, Failure]:
        classification = self._classify(request)
        if isinstance(classification, ForwardToIssuer):
            result = await self._forward_to_issuer(
                request,
                classification.issuer,
                classification.incarnation,
                classification.peer_address,
            )
            kind = result.error.kind if result.is_error() else None
            self.counters.forwarded += 1
            self.counters.issuer_unreachable += kind is ErrorKind.ISSUER_UNREACHABLE
            return result
        while _is_running(classification):
            # Wait, since the caller needs the outcome and cannot know when to retry.
            waited_result = await self._wait_for_running_call(request)
            if waited_result is not None:
                return self._count_result(waited_result)
            if self._core.now() >= request.deadline:
                break
            classification = self._classify(request)
        match classification:
            case Refuse(failure):
                return self._count_result(Error(failure))
            case RepeatOutcome(outcome):
                return self._count_result(Ok(_call_answer(outcome, is_repeated=True)))
            case RunWithoutTicket(key):
                service_settings = self._core.settings.services[request.service]
                admitted = self._accounts.admit_call(
                    request.account, request.request_id
                )
                if admitted.is_error():
                    return self._count_result(
                        Error(_failure_for_key(request.key, admitted.error))
                    )
                # Prefix the account, so that the service does not deduplicate calls of
                # different accounts that use the same key.
                scoped_key = None if key is None else f"{request.account}|{key}"
                run_result = await self._run_attempts(
                    request, service_settings, scoped_key, None, admitted.ok
                )
                return self._count_result(run_result.map(_call_answer))
            case RunWithTicket(ticket, key):
                return self._count_result(
                    await self._run_with_ticket(request, ticket, key)
                )
        raise AssertionError(classification)

    def _classify(self, request: CallRequest) -> Classification:
        service_settings = self._core.settings.services.get(request.service)
        if service_settings is None:
            message = f"service {request.service!r} was removed from the settings"
            failure = Failure(ErrorKind.UNKNOWN_SERVICE, message)
            return Refuse(_failure_for_key(request.key, failure))
        return self.tickets.classify(
            request.key,
            request.account,
            request.service,
            service_settings,
            _body_hash(request.body),
            self._core.now(),
        )

    async def _wait_for_running_call(
        self, request: CallRequest
    ) -> Result[CallAnswer, Failure] | None:
        """Wait for the running call with the same ticket and return its result.

        Returns None if the deadline passed, or if the running call ended as `not_run`,
        so that this request may run in its place. A waiting request counts towards the
        concurrency limit of its client account, which limits the number of waiters.
        """
        decoded_ticket = decode_ticket(request.key or "")
        end_future = (
            self._running_calls.get(decoded_ticket.ticket.nonce)
            if decoded_ticket
            else None
        )
        if end_future is None:
            # A running ticket should always have a future. If it has none because of a
            # bug, fail, since the loop in `_run_or_forward` would spin otherwise.
            return Error(Failure(ErrorKind.CALL_IN_PROGRESS, "the call is running"))
        admitted = self._accounts.admit_call(request.account, request.request_id)
        if admitted.is_error():
            return Error(_failure_for_key(request.key, admitted.error))
        self.counters.waited += 1
        try:
            async with asyncio.timeout(request.deadline - self._core.now()):
                end = await asyncio.shield(end_future)
        except TimeoutError:
            return None
        finally:
            self._accounts.finish(admitted.ok, 0)
        if isinstance(end, Outcome):
            return Ok(_call_answer(end, is_repeated=True))
        return None if end.execution is Execution.NOT_RUN else Error(end)

    def _count_result(
        self, result: Result[CallAnswer, Failure]
    ) -> Result[CallAnswer, Failure]:
        if result.is_ok():
            self.counters.ran += 1
            self.counters.repeated += result.ok.is_repeated
            return result
        match result.error.execution:
            case Execution.RAN:
                self.counters.ran += 1
            case Execution.NOT_RUN:
                self.counters.not_run += 1
            case Execution.MAY_HAVE_RUN:
                self.counters.may_have_run += 1
        return result

    async def _run_with_ticket(
        self, request: CallRequest, ticket: Ticket, key: str | None
    ) -> Result[CallAnswer, Failure]:
        service_settings = self._core.settings.services[request.service]
        admitted = self._accounts.admit_call(request.account, request.request_id)
        if admitted.is_error():
            return Error(admitted.error)
        now = self._core.now()
        begin_result = self.tickets.begin(ticket, _body_hash(request.body), now)
        if begin_result.is_error():
            self._accounts.finish(admitted.ok, 0)
            match begin_result.error:
                case RepeatOutcome(outcome):
                    return Ok(_call_answer(outcome, is_repeated=True))
                case Refuse(failure):
                    return Error(failure)
        run_number = begin_result.ok
        end_future = asyncio.get_running_loop().create_future()
        self._running_calls[ticket.nonce] = end_future
        failure = Failure(ErrorKind.INTERNAL, "the call ended without an outcome")
        result: Result[Outcome, Failure] = Error(failure)
        try:
            result = await self._run_attempts(
                request, service_settings, key, ticket.expires_at, admitted.ok
            )
        finally:
            outcome_or_failure = result.ok if result.is_ok() else result.error
            self.tickets.finish(
                ticket, run_number, outcome_or_failure, self._core.now()
            )
            del self._running_calls[ticket.nonce]
            end_future.set_result(outcome_or_failure)
        return result.map(_call_answer)

    async def _forward_to_issuer(
        self, request: CallRequest, issuer: str, incarnation: str, claimed_address: str
    ) -> Result[CallAnswer, Failure]:
        """Forward a call to the issuer of its ticket.

        The address in the ticket is not verified here. It must match the address that
        membership has for the issuer, so that a caller cannot make this node connect to
        an arbitrary address.
        """
        address = self._gossip.address_of(issuer)
        if address is None or self._gossip.announced_address(issuer) != claimed_address:
            message = "the issuer of this ticket is not known to this node"
            return Error(Failure(ErrorKind.ISSUER_UNREACHABLE, message))
        assert request.key is not None
        memory = request.memory
        if not memory.body.grow_forwarded_to(len(request.body)):
            self.counters.refused_memory += 1
            # The issuer may have run an earlier attempt with this ticket.
            message = "this node has no memory to forward the call"
            failure = Failure(ErrorKind.OVERLOADED, message, OVERLOAD_RETRY_AFTER_S)
            return Error(failure_for_unresolved_key(failure))
        remaining_s = request.deadline - self._core.now() - FORWARD_MARGIN_S
        call = ForwardedCall(
            self._core.identity,
            request.key,
            request.account,
            request.service,
            _body_hash(request.body).hex(),
            request.body,
            remaining_s,
            request.request_id,
            request.content_type,
        )
        result = await self._peer_client.forward_call(address, call, memory)
        if result.is_error():
            return Error(failure_for_unresolved_key(result.error.failure))
        outcome = result.ok
        if outcome.error is not None:
            # The issuer has the ticket's state, so its error is returned unchanged.
            return Error(
                Failure(outcome.error, outcome.error_message, outcome.retry_after_s)
            )
        return Ok(
            CallAnswer(
                outcome.status, outcome.content_type, outcome.body, outcome.is_repeated
            )
        )

    async def run_forwarded(
        self, call: ForwardedCall, memory: CallMemory
    ) -> CallOutcome:
        """Run a call that another node forwarded to this one.

        The memory of the body is released at the end of the call. That of the answer is
        left to the caller of this method, unless it is cancelled.
        """
        # The remaining time counts from the arrival, less a margin for the reply.
        deadline = self._core.arrived_at() + call.remaining_s - FORWARD_MARGIN_S
        request = CallRequest(
            call.request_id,
            call.account,
            call.service,
            call.ticket,
            call.body,
            call.content_type,
            deadline,
            memory,
            is_forwarded=True,
        )
        run_task = self._core.tasks.spawn(
            self._check_and_run_forwarded(request), "forwarded-call"
        )
        run_task.add_done_callback(lambda _: memory.body.release())
        try:
            # gRPC cancels this handler when the forwarding node disconnects or its
            # deadline passes. A call that was sent must still run to its end.
            result = await asyncio.shield(run_task)
        except asyncio.CancelledError:
            self.counters.forwarder_gone += 1
            run_task.add_done_callback(lambda _: memory.answer.release())
            raise
        if result.is_ok():
            answer = result.ok
            return CallOutcome(
                answer.status,
                answer.content_type,
                answer.body,
                is_repeated=answer.is_repeated,
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
        classification = self._classify(request)
        if not self.is_accepting and isinstance(classification, RunWithoutTicket):
            failure = Failure(ErrorKind.DRAINING, "the issuer is shutting down")
            return Error(failure_for_unresolved_key(failure))
        # Never forward a call twice: two nodes that each take the other for the issuer
        # would forward it back and forth forever.
        if isinstance(classification, ForwardToIssuer):
            message = "this node did not issue the ticket"
            return Error(Failure(ErrorKind.ISSUER_UNREACHABLE, message))
        return await self.run(request)

    async def _run_attempts(
        self,
        request: CallRequest,
        service_settings: Service,
        key: str | None,
        ticket_expires_at: float | None,
        admitted: Admitted,
    ) -> Result[Outcome, Failure]:
        usage = self._accounts.usage_of(request.account)
        usage.calls += 1
        try:
            workers = await self._wait_for_workers(request)
            if workers.is_error():
                return Error(workers.error)
            return await self._run_call(
                request, service_settings, key, ticket_expires_at, workers.ok
            )
        finally:
            self._accounts.finish(admitted, 0)

    async def _run_call(
        self,
        request: CallRequest,
        service_settings: Service,
        key: str | None,
        ticket_expires_at: float | None,
        workers: tuple[str, ...],
    ) -> Result[Outcome, Failure]:
        call = Call(
            request.request_id,
            workers,
            service_settings,
            self._core.settings.requests,
            self.budgets.get(f"service:{request.service}"),
            request.deadline,
            ticket_expires_at,
            lambda worker: self._core.marks.exclusion(worker, self._core.now()) is None,
        )
        run = CallRun(
            self._core, self._client, self._gossip, self._suspicion, request, call, key
        )
        try:
            result = await run.result()
        finally:
            self.counters.late_events += call.late_events
        if result.is_ok():
            return result
        pause_s = self._core.marks.pause_left_s(
            self._workers_of(request.service), self._core.now()
        )
        if pause_s is None:
            return result
        match result.error.kind:
            case ErrorKind.UPSTREAM_REFUSED:
                failure = msgspec.structs.replace(result.error, retry_after_s=pause_s)
                return Error(failure)
            case ErrorKind.UPSTREAM_UNREACHABLE:
                # The worker may have rejected another call while this one connected.
                return Error(self._paused_failure(request.service, pause_s))
        return result

    def _paused_failure(self, service: str, pause_s: float) -> Failure:
        """Count and return the refusal of a call whose workers want none for a time."""
        self.counters.refused_paused += 1
        message = f"all workers of {service!r} want no calls for a time"
        return Failure(ErrorKind.NO_UPSTREAM, message, pause_s)

    async def _wait_for_workers(
        self, request: CallRequest
    ) -> Result[tuple[str, ...], Failure]:
        """Return the workers for a call.

        If all of them want no calls for a time, wait for the first one if its time ends
        soon, else return the failure for the caller.
        """
        marks, now = self._core.marks, self._core.now()
        wait_until = now + longest_wait_s(request.deadline - now)
        while True:
            workers, now = self._workers_of(request.service), self._core.now()
            usable = [name for name in workers if marks.exclusion(name, now) is None]
            if usable or all(marks.is_leaving(name, now) for name in workers):
                return Ok(self._order_workers(request.request_id, usable))
            pause_s = marks.pause_left_s(workers, now) or RAMP_CHECK_S
            if now + pause_s > wait_until:
                return Error(self._paused_failure(request.service, pause_s))
            await asyncio.sleep(pause_s)

    def _workers_of(self, service: str) -> tuple[str, ...]:
        """Return the live and suspect workers of a service."""
        return tuple(
            name
            for name in self._workers_by_service.get(service, ())
            if self._gossip.upstreams.state_of(name) in ("live", "suspect")
        )

    def _order_workers(self, ranking_key: str, workers: list[str]) -> tuple[str, ...]:
        """Return the workers to try, with those of this failure domain first.

        Suspect ones are left out if there are others.
        """
        upstreams, domain = (
            self._core.settings.upstreams,
            self._core.local.failure_domain,
        )
        local_workers: list[str] = []
        remote_workers: list[str] = []
        for name in workers:
            is_local = upstreams[name].failure_domain == domain
            (local_workers if is_local else remote_workers).append(name)
        ordered = (
            *top_ranked(ranking_key, local_workers, len(local_workers)),
            *top_ranked(ranking_key, remote_workers, len(remote_workers)),
        )
        live = [
            name for name in ordered if self._gossip.upstreams.state_of(name) == "live"
        ]
        return tuple(live) or ordered

    async def _expire_tickets(self) -> None:
        self.tickets.expire(self._core.now())

    def _configure(self, settings: Settings) -> None:
        self.tickets.update(settings.requests)
        self.budgets.configure(settings.requests)
        if isinstance(self._client, HttpServiceClient):
            self._client.update(settings.requests)
        if settings.upstreams == self._configured_upstreams:
            return
        self._configured_upstreams = settings.upstreams
        # Waiting calls read this often, and there may be 10,000 upstreams.
        self._workers_by_service = {}
        for name, upstream in settings.upstreams.items():
            if isinstance(upstream, ServiceUpstream):
                for service in upstream.services:
                    self._workers_by_service.setdefault(service, []).append(name)


def _is_running(classification: Classification) -> bool:
    return (
        isinstance(classification, Refuse)
        and classification.failure.kind is ErrorKind.CALL_IN_PROGRESS
    )


def _failure_for_key(key: str | None, failure: Failure) -> Failure:
    """Return a failure that is also true of earlier tries with the same key.

    An earlier try may have run, so `not_run` is only stated for calls without a key.
    """
    return failure if key is None else failure_for_unresolved_key(failure)


def _body_hash(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=32).digest()


def _call_answer(outcome: Outcome, is_repeated: bool = False) -> CallAnswer:
    return CallAnswer(outcome.status, outcome.content_type, outcome.body, is_repeated)
