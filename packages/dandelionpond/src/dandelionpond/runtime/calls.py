"""Run calls to plain services, at most once where they must not be repeated."""

import asyncio
import hashlib
import secrets

from expression import Error, Ok, Result

from dandelionpond.adapters.service import (
    HttpServiceClient,
    ServiceClient,
    ServiceRequest,
)
from dandelionpond.config.schema import Service, ServiceUpstream, Settings
from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.hashing import top
from dandelionpond.http.gateway import CallAnswer, CallRequest, IssuedTicket
from dandelionpond.limits.limiter import Admitted
from dandelionpond.peer.client import PeerClient
from dandelionpond.peer.messages import CallOutcome, ForwardedCall
from dandelionpond.requests.budget import RetryBudgets
from dandelionpond.requests.call import Call, ended
from dandelionpond.requests.messages import (
    AnswerCall,
    CallAction,
    CallEvent,
    CancelCall,
    ConnectFailed,
    FailCall,
    Forward,
    Outcome,
    Recorded,
    Refuse,
    RunPlain,
    RunTicket,
    SendCall,
    Started,
    Tick,
)
from dandelionpond.requests.ticket import Ticket
from dandelionpond.requests.ticket_book import TicketBook, while_key_unknown
from dandelionpond.runtime.accounts import Accounts
from dandelionpond.runtime.core import Core
from dandelionpond.runtime.gossip import Gossip
from dandelionpond.runtime.suspicion import WorkerSuspicion

EXPIRE_INTERVAL_S = 1.0
# Time that a forwarded call leaves for the way back from the issuer.
FORWARD_MARGIN_S = 0.05


class CallRunner:
    """Serve plain calls and own the ticket book of this incarnation."""

    def __init__(
        self, core: Core, accounts: Accounts, gossip: Gossip, peers: PeerClient
    ) -> None:
        settings = core.settings.requests
        self._core = core
        self._accounts = accounts
        self._gossip = gossip
        self._peers = peers
        self._client: ServiceClient = HttpServiceClient(settings)
        self._suspicion = WorkerSuspicion(core, gossip)
        self.budgets = RetryBudgets(settings)
        # The secret never leaves this process, so only this incarnation can verify
        # the tickets that it issued.
        self.tickets = TicketBook(
            core.identity,
            core.local.peer_address,
            secrets.token_bytes(32),
            settings,
            core.random,
        )
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
        assert isinstance(self._client, HttpServiceClient)
        await self._client.close()

    def issue(self, account: str, service: str) -> Result[IssuedTicket, Failure]:
        """Issue a ticket for one call."""
        now = self._core.now()
        ticket = self.tickets.issue(account, service, now)
        return Ok(IssuedTicket(ticket, self._core.settings.requests.ticket_ttl_s))

    async def run(self, request: CallRequest) -> Result[CallAnswer, Failure]:
        """Run a caller's call, here or at the issuer of its ticket."""
        self.in_flight += 1
        self._core.metrics.in_flight.labels("call").set(self.in_flight)
        try:
            answer = await self._run(request)
        finally:
            self.in_flight -= 1
            self._core.metrics.in_flight.labels("call").set(self.in_flight)
        outcome = "complete"
        if answer.is_error():
            outcome = answer.error.execution.value
            self._accounts.count_refusal(request.account, answer.error)
        self._core.metrics.requests.labels("call", outcome).inc()
        return answer

    async def _run(self, request: CallRequest) -> Result[CallAnswer, Failure]:
        rule = self._core.settings.services.get(request.service)
        if rule is None:
            message = f"service {request.service!r} was removed"
            return Error(Failure(ErrorKind.UNKNOWN_SERVICE, message))
        body_hash = _hash(request.body)
        decided = self.tickets.classify(
            request.key,
            request.account,
            request.service,
            rule,
            body_hash,
            self._core.now(),
        )
        match decided:
            case Refuse(failure):
                return Error(failure)
            case Recorded(outcome):
                return Ok(_answer(outcome, repeated=True))
            case Forward(issuer, incarnation, address):
                return await self._forward(request, issuer, incarnation, address)
            case RunPlain(key):
                admitted = self._accounts.admit_call(
                    request.account, request.request_id
                )
                if admitted.is_error():
                    return Error(_refusal(request.key, admitted.error))
                result = await self._attempt(request, rule, key, None, admitted.ok)
                return result.map(_answer)
            case RunTicket(ticket, key):
                return await self._run_ticket(request, rule, ticket, key, body_hash)

    async def _run_ticket(
        self,
        request: CallRequest,
        rule: Service,
        ticket: Ticket,
        key: str | None,
        body_hash: bytes,
    ) -> Result[CallAnswer, Failure]:
        admitted = self._accounts.admit_call(request.account, request.request_id)
        if admitted.is_error():
            return Error(admitted.error)
        begun = self.tickets.begin(ticket, body_hash, self._core.now())
        if begun.is_error():
            self._accounts.finished(admitted.ok, 0)
            match begun.error:
                case Recorded(outcome):
                    return Ok(_answer(outcome, repeated=True))
                case Refuse(failure):
                    return Error(failure)
        run = begun.ok
        failure = Failure(ErrorKind.INTERNAL, "the call ended without an outcome")
        result: Result[Outcome, Failure] = Error(failure)
        try:
            result = await self._attempt(
                request, rule, key, ticket.expires_at, admitted.ok
            )
        finally:
            value = result.ok if result.is_ok() else result.error
            self.tickets.finish(ticket, run, value, self._core.now())
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
        )
        result = await self._peers.forward_call(known, call)
        if result.is_error():
            return Error(while_key_unknown(result.error.failure))
        outcome = result.ok
        if outcome.error is not None:
            # The issuer knows its tickets, so what it says of the execution stands.
            return Error(Failure(outcome.error, outcome.error_message))
        return Ok(
            CallAnswer(
                outcome.status, outcome.content_type, outcome.body, outcome.is_repeated
            )
        )

    async def forwarded(self, call: ForwardedCall) -> CallOutcome:
        """Run a call that another node forwarded to this one."""
        request = CallRequest(
            call.request_id,
            call.account,
            call.service,
            call.ticket,
            call.body,
            "application/json",
            self._core.now() + call.remaining_s,
        )
        result = await self._run_forwarded(request)
        if result.is_ok():
            answer = result.ok
            return CallOutcome(
                answer.status,
                answer.content_type,
                answer.body,
                is_repeated=answer.repeated,
            )
        failure = result.error
        return CallOutcome(0, "", b"", failure.kind, failure.message)

    async def _run_forwarded(self, request: CallRequest) -> Result[CallAnswer, Failure]:
        settings = self._core.settings
        account = settings.client_accounts.get(request.account)
        if account is None:
            failure = Failure(ErrorKind.NOT_PERMITTED, "unknown client account")
            return Error(while_key_unknown(failure))
        rule = settings.services.get(request.service)
        decided = (
            self.tickets.classify(
                request.key,
                request.account,
                request.service,
                rule,
                _hash(request.body),
                self._core.now(),
            )
            if rule is not None
            else None
        )
        if not self.accepting and isinstance(decided, RunPlain):
            failure = Failure(ErrorKind.DRAINING, "the issuer is shutting down")
            return Error(while_key_unknown(failure))
        # A forwarded call is never forwarded again: two nodes that each believe the
        # other one to be the issuer would pass it on for ever.
        if isinstance(decided, Forward):
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
        run = _CallRun(
            self._core, self._client, self._gossip, self._suspicion, request, call, key
        )
        try:
            return await run.result()
        finally:
            self._accounts.finished(admitted, 0)

    def _workers(self, request: CallRequest) -> tuple[str, ...]:
        """Return the usable workers, those of this failure domain first."""
        settings, domain = self._core.settings, self._core.local.failure_domain
        near, far = [], []
        for name, upstream in settings.upstreams.items():
            if (
                not isinstance(upstream, ServiceUpstream)
                or request.service not in upstream.services
                or self._gossip.upstreams.state_of(name) not in ("live", "suspect")
            ):
                continue
            (near if upstream.failure_domain == domain else far).append(name)
        key = request.request_id
        ordered = (*top(key, near, len(near)), *top(key, far, len(far)))
        live = [n for n in ordered if self._gossip.upstreams.state_of(n) == "live"]
        return tuple(live) or ordered

    async def _expire(self) -> None:
        self.tickets.expire(self._core.now())

    def _configure(self, settings: Settings) -> None:
        self.tickets.update(settings.requests)
        self.budgets.configure(settings.requests)


class _CallRun:
    """Drive `Call`: one task for each attempt and a timer."""

    def __init__(
        self,
        core: Core,
        client: ServiceClient,
        gossip: Gossip,
        suspicion: WorkerSuspicion,
        request: CallRequest,
        call: Call,
        key: str | None,
    ) -> None:
        self._core = core
        self._client = client
        self._gossip = gossip
        self._suspicion = suspicion
        self._workers: dict[int, str] = {}
        self._request = request
        self._call = call
        self._key = key
        self._queue: asyncio.Queue[CallEvent] = asyncio.Queue()
        self._tasks: dict[int, asyncio.Task[None]] = {}

    async def result(self) -> Result[Outcome, Failure]:
        """Return the one answer or failure."""
        event: CallEvent = Started()
        while True:
            for action in self._handle(event):
                match action:
                    case SendCall():
                        self._workers[action.attempt] = action.worker
                        self._tasks[action.attempt] = self._core.tasks.spawn(
                            self._send(action), "plain-call"
                        )
                    case CancelCall(attempt):
                        if self._core.now() < self._request.deadline:
                            self._suspicion.unanswered(self._workers[attempt])
                        self._tasks[attempt].cancel()
                    case AnswerCall(outcome):
                        return Ok(outcome)
                    case FailCall(failure):
                        return Error(failure)
            event = await self._next()

    def _handle(self, event: CallEvent) -> list[CallAction]:
        rule = self._core.settings.services.get(self._request.service)
        return self._call.handle(event, rule, self._core.now())

    async def _next(self) -> CallEvent:
        wait = max(0.001, self._call.next_tick() - self._core.now())
        try:
            async with asyncio.timeout(wait):
                return await self._queue.get()
        except TimeoutError:
            return Tick()

    async def _send(self, action: SendCall) -> None:
        settings, attempt = self._core.settings, action.attempt
        rule = settings.services.get(self._request.service)
        upstream = settings.upstreams.get(action.worker)
        if rule is None or upstream is None:
            self._queue.put_nowait(ConnectFailed(attempt))
            return

        def may_send() -> bool:
            # Compared with the clock and not only by a timer: after a pause of this
            # process the timers fire late.
            return self._call.may_send(attempt, self._core.now())

        result = await self._client.call(
            ServiceRequest(
                self._core.url_of(action.worker, upstream.url) + rule.path,
                action.request_id,
                self._request.body,
                max(0.001, self._call.next_tick() - self._core.now()),
                self._request.content_type,
                self._key,
                action.new_connection,
                rule.states_not_run,
            ),
            may_send,
            lambda: self._gossip.upstream_answered(action.worker, True),
        )
        if result.is_ok():
            self._suspicion.answered(action.worker)
        else:
            is_overdue = self._core.now() >= self._request.deadline
            self._suspicion.failed(action.worker, result.error.kind, is_overdue)
        self._queue.put_nowait(ended(attempt, action.request_id, result))


def _refusal(key: str | None, failure: Failure) -> Failure:
    """Return a refusal that is true for an earlier try with the same key as well."""
    return failure if key is None else while_key_unknown(failure)


def _hash(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=32).digest()


def _answer(outcome: Outcome, repeated: bool = False) -> CallAnswer:
    return CallAnswer(outcome.status, outcome.content_type, outcome.body, repeated)
