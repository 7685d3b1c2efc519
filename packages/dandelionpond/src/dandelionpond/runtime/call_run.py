"""Execution of the attempts of one call to a plain service."""

import asyncio

import msgspec
from expression import Error, Ok, Result

from dandelionpond.adapters.answer_head import AnswerHead
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
from dandelionpond.runtime.answer_heads import record_head
from dandelionpond.runtime.core import Core
from dandelionpond.runtime.gossip import Gossip
from dandelionpond.runtime.suspicion import WorkerSuspicion


class CallCounters(msgspec.Struct):
    """Counts of plain calls and their results.

    The result of a forwarded call is counted by the node that issued its ticket.
    `waited` counts requests that waited for a running call with the same ticket, and
    `repeated` those that got the outcome of an earlier try.
    `refused_paused` counts calls that were refused because all workers of the service
    wanted none for a time, and `late_events` events after the end of their call.
    `refused_memory` counts calls that were not forwarded for want of memory.
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
    refused_paused: int = 0
    refused_memory: int = 0
    ended_late: int = 0
    late_events: int = 0


class CallRun:
    """Runner of one `Call`, which performs its actions with one task per attempt."""

    def __init__(
        self,
        core: Core,
        client: ServiceClient,
        gossip: Gossip,
        suspicion: WorkerSuspicion,
        request: CallRequest,
        call: Call,
        service_key: str | None,
    ) -> None:
        self._core = core
        self._client = client
        self._gossip = gossip
        self._suspicion = suspicion
        self._worker_of_attempt: dict[int, str] = {}
        self._request = request
        self._call = call
        self._service_key = service_key
        self._events: asyncio.Queue[CallEvent] = asyncio.Queue()
        self._tasks: dict[int, asyncio.Task[None]] = {}

    async def result(self) -> Result[Outcome, Failure]:
        """Run the call and return its answer or failure."""
        event: CallEvent = Started()
        while True:
            for action in self._handle(event):
                match action:
                    case SendCall():
                        self._worker_of_attempt[action.attempt] = action.worker
                        self._core.marks.record_request(action.worker, self._core.now())
                        self._tasks[action.attempt] = self._core.tasks.spawn(
                            self._send(action), "plain-call"
                        )
                    case CancelCall(attempt):
                        if self._core.now() < self._request.deadline:
                            self._suspicion.record_no_answer(
                                self._worker_of_attempt[attempt]
                            )
                        self._tasks[attempt].cancel()
                    case AnswerCall(outcome):
                        return Ok(outcome)
                    case FailCall(failure):
                        return Error(failure)
            event = await self._next_event()

    def _handle(self, event: CallEvent) -> list[CallAction]:
        service_settings = self._core.settings.services.get(self._request.service)
        return self._call.handle(event, service_settings, self._core.now())

    async def _next_event(self) -> CallEvent:
        timeout_s = max(0.001, self._call.next_tick() - self._core.now())
        try:
            async with asyncio.timeout(timeout_s):
                return await self._events.get()
        except TimeoutError:
            return Tick()

    async def _send(self, action: SendCall) -> None:
        settings, attempt = self._core.settings, action.attempt
        service_settings = settings.services.get(self._request.service)
        upstream = settings.upstreams.get(action.worker)
        if service_settings is None or upstream is None:
            self._events.put_nowait(ConnectFailed(attempt))
            return

        marks, sent_at = self._core.marks, self._core.now()

        def may_send() -> bool:
            nonlocal sent_at
            # Check the clock instead of relying on a timer, because timers fire late
            # after a pause of this process.
            sent_at = now = self._core.now()
            # The worker may have rejected another call while this one was connecting.
            wants_requests = marks.wants_requests(action.worker, now)
            return wants_requests and self._call.may_send(attempt, now)

        is_rejected = False

        def on_head(head: AnswerHead) -> None:
            nonlocal is_rejected
            is_rejected = head.pause_s is not None
            # An answer from an earlier address or VM says nothing of this worker.
            present = self._core.settings.upstreams.get(action.worker)
            has_same_url = present is not None and present.url == upstream.url
            if has_same_url and not marks.was_replaced_since(action.worker, sent_at):
                record_head(self._core, self._gossip, action.worker, head)

        memory = self._request.memory.answer
        is_counted = self._request.is_forwarded
        result = await self._client.call(
            ServiceRequest(
                self._core.upstream_url(action.worker, upstream.url)
                + service_settings.path,
                action.request_id,
                self._request.body,
                max(0.001, self._call.next_tick() - self._core.now()),
                self._request.content_type,
                self._service_key,
                action.new_connection,
                service_settings.states_not_run,
                memory.grow_forwarded_to if is_counted else None,
            ),
            may_send,
            on_head,
        )
        if result.is_ok() or is_rejected:
            self._suspicion.record_answer(action.worker)
        else:
            is_overdue = self._core.now() >= self._request.deadline
            self._suspicion.record_failure(action.worker, result.error.kind, is_overdue)
        self._events.put_nowait(
            call_event_from_result(attempt, action.request_id, result)
        )
