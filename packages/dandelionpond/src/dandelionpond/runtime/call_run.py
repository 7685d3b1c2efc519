"""Drive the attempts of one call to a plain service."""

import asyncio

import msgspec
from expression import Error, Ok, Result

from dandelionpond.adapters.service import ServiceClient, ServiceRequest
from dandelionpond.errors import Failure
from dandelionpond.http.gateway import CallRequest
from dandelionpond.requests.call import Call, call_event_from_result
from dandelionpond.requests.messages import (
    AnswerCall,
    CallAction,
    CallEvent,
    CancelCall,
    ConnectFailed,
    FailCall,
    Outcome,
    SendCall,
    Started,
    Tick,
)
from dandelionpond.runtime.core import Core
from dandelionpond.runtime.gossip import Gossip
from dandelionpond.runtime.suspicion import WorkerSuspicion


class CallCounters(msgspec.Struct):
    """Count what happened to the calls that this node itself decided.

    `waited` tries found their ticket's call running, and `repeated` ones got an outcome
    of an earlier try. `late_events` came after their call had ended.
    """

    ran: int = 0
    not_run: int = 0
    may_have_run: int = 0
    repeated: int = 0
    waited: int = 0
    forwarded: int = 0
    issuer_unreachable: int = 0
    forwarder_gone: int = 0
    refused_full: int = 0
    ended_late: int = 0
    late_events: int = 0


class CallRun:
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
                self._core.upstream_url(action.worker, upstream.url) + rule.path,
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
        self._queue.put_nowait(
            call_event_from_result(attempt, action.request_id, result)
        )
