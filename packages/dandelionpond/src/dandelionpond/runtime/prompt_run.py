"""Drive the attempts of one prompt."""

import asyncio
from collections.abc import AsyncIterator

import msgspec

from dandelionpond.adapters.engine_api import (
    EngineClient,
    EngineRequest,
    GroupPart,
)
from dandelionpond.errors import ErrorKind, Execution, Failure
from dandelionpond.http.gateway import Delta, End, PromptRequest
from dandelionpond.metrics import length_label
from dandelionpond.requests.attempts import PromptAttempts
from dandelionpond.requests.budget import RetryBudget, RetryBudgets
from dandelionpond.requests.messages import (
    CallerGone,
    Cancel,
    Complete,
    ConnectFailed,
    ConnectionReset,
    Deliver,
    Fail,
    PauseReading,
    PiecesConsumed,
    Refused,
    Resume,
    ResumeReading,
    Send,
    Started,
    StreamAction,
    StreamEvent,
    Tick,
)
from dandelionpond.routing.messages import DispatchRequest, PlaceOnGroup, RefusePrompt
from dandelionpond.runtime.core import Core
from dandelionpond.runtime.engine_events import EngineEventTranslator
from dandelionpond.runtime.engines import Engines
from dandelionpond.runtime.lost_memory import LostMemory
from dandelionpond.runtime.placement import Placement
from dandelionpond.runtime.timer import LazyTimer

# An estimate for an idle engine can be near zero; silence is judged by it.
MIN_ESTIMATE_S = 0.05

Answer = Delta | End | Failure


class PromptCounters(msgspec.Struct):
    """Count what the attempts of all prompts met.

    `sent_again` prompts started anew and `resumed` ones continued behind the text that
    the caller has.
    """

    sent_again: int = 0
    resumed: int = 0
    reading_paused: int = 0
    too_late_to_send: int = 0
    model_gone_before_send: int = 0
    ended_late: int = 0
    dropped_full: int = 0
    late_events: int = 0

    def add(self, attempts: PromptAttempts) -> None:
        """Add what a prompt that has ended counted."""
        self.late_events += attempts.late_events
        self.dropped_full += attempts.dropped_full


class PromptRun:
    """Drive the attempts of one prompt."""

    def __init__(
        self,
        core: Core,
        engines: Engines,
        budgets: RetryBudgets,
        counters: PromptCounters,
        memory: LostMemory,
        request: PromptRequest,
    ) -> None:
        self._core = core
        self._engines = engines
        self._budgets = budgets
        self._counters = counters
        self._memory = memory
        self._request = request
        self._queue: asyncio.Queue[StreamEvent] = asyncio.Queue()
        self._bound = self._core.settings.requests.undelivered_pieces
        self._reading = asyncio.Event()
        self._reading.set()
        # Set while the queue has room for what the engines send.
        self._room = asyncio.Event()
        self._room.set()
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._attempts: PromptAttempts | None = None
        self._placement = Placement(core, engines)
        self._engine_of: dict[int, str] = {}
        self._holdings: set[str] = set()
        self._events = EngineEventTranslator(engines)
        self._may_have_run = False
        self._timer = LazyTimer(core.now, self._timer_fired)
        self._started_at = self._core.now()
        self._first_at: float | None = None
        self._last_at = 0.0
        self.generated = 0
        self.was_sent = False

    @property
    def attempts(self) -> PromptAttempts | None:
        """Return the attempts, or None if the prompt was not placed."""
        return self._attempts

    async def start(self) -> Failure | None:
        """Place the prompt; return why it cannot run."""
        request = self._request
        account = self._core.settings.client_accounts.get(request.account)
        work = DispatchRequest(
            request.request_id,
            request.account,
            account.weight if account else 1.0,
            request.model,
            request.prompt_tokens,
            request.max_tokens,
            request.deadline,
            request.prefix_hashes,
        )
        placed = await self._placement.take(work)
        if isinstance(placed, RefusePrompt):
            return self._as_failure(placed.failure)
        limits = self._core.settings.requests
        if isinstance(placed, PlaceOnGroup):
            self._memory.add_group(self._placement.group, self)
            names: tuple[str, ...] = placed.engines[:1]
            # A second attempt needs the memory of all parts again.
            limits = msgspec.structs.replace(limits, max_attempts=1)
        else:
            names = (placed.engine, *placed.fallback_engines)
        if request.model not in self._core.settings.models:
            message = f"model {request.model!r} was removed"
            return self._as_failure(Failure(ErrorKind.UNKNOWN_MODEL, message))
        count = self._placement.count
        self._attempts = PromptAttempts(
            request.request_id if count == 1 else f"{request.request_id}.{count}",
            names,
            limits,
            self._budget(),
            request.deadline,
            max(placed.ttft_s, MIN_ESTIMATE_S),
            offset=self.generated,
        )
        return None

    async def answer(self) -> AsyncIterator[Answer]:
        """Yield the answer of a prompt that `start` has placed."""
        event: StreamEvent = Started()
        while True:
            attempts = self._attempts
            assert attempts is not None
            now = self._core.now()
            pieces = 0
            failure: Failure | None = None
            for action in attempts.handle(event, now):
                match action:
                    case Deliver(_, text):
                        pieces += 1
                        yield self._deliver(attempts, text, now)
                    case Complete(tokens):
                        self.generated = tokens
                        yield End(tokens)
                        return
                    case Fail(failed):
                        failure = failed
                    case _:
                        self._perform(action, now)
            if failure is not None:
                failure = await self._place_again(failure)
                if failure is not None:
                    yield failure
                    return
                event = Started()
                continue
            if pieces:
                event = PiecesConsumed(pieces)
                continue
            if self._needs_another_group(attempts):
                event = ConnectionReset(max(self._engine_of))
                continue
            self._timer.set(attempts.next_tick())
            event = await self._queue.get()
            if 2 * self._queue.qsize() <= self._bound:
                self._room.set()

    def _budget(self) -> RetryBudget:
        return self._budgets.get(f"model:{self._request.model}")

    def _needs_another_group(self, attempts: PromptAttempts) -> bool:
        """Return whether the stream of a group is in doubt and may be placed again.

        Only another group can test the path, because each needs all parts.
        """
        limit = self._core.settings.requests.max_attempts
        is_group = bool(self._placement.group)
        return is_group and attempts.is_stalled and self._placement.count < limit

    async def _place_again(self, failure: Failure) -> Failure | None:
        """Place a failed prompt once more, or return the failure that ends it.

        A prompt that no engine took for its version is placed until its deadline: it
        did not run, and an engine that refused it gets no other one before its next
        report.
        """
        if not self._may_place_again(failure):
            return failure
        limit = self._core.settings.requests.max_attempts
        if not self._events.is_model_refused and (
            self._placement.count >= limit or not self._budget().take()
        ):
            return failure
        self._may_have_run |= failure.execution is not Execution.NOT_RUN
        self._events.is_model_refused = False
        self._memory.counters.placed_again += 1
        self._leave_placement()
        return await self.start()

    def _may_place_again(self, failure: Failure) -> bool:
        """Return whether a prompt can be placed again.

        So can one on a group of engines, and one that no engine took because the
        version of its model was changing; that one waits for a ready engine.
        """
        if self._events.is_model_refused and failure.kind is ErrorKind.UPSTREAM_REFUSED:
            return True
        lost = (
            ErrorKind.ANSWER_INCOMPLETE,
            ErrorKind.UPSTREAM_UNREACHABLE,
            ErrorKind.UPSTREAM_REFUSED,
        )
        return bool(self._placement.group) and failure.kind in lost

    def _as_failure(self, failure: Failure) -> Failure:
        """Return a failure to find a place, which may follow attempts that ran."""
        if self._may_have_run and failure.execution is Execution.NOT_RUN:
            return Failure(ErrorKind.ANSWER_INCOMPLETE, failure.message)
        return failure

    def _leave_placement(self) -> None:
        """Give a placement up and forget its attempts, before another one is made."""
        self._finish(0.0)
        self._engine_of.clear()
        self._tasks.clear()
        # Events of the earlier attempts would be taken for those of the next ones.
        waiting = [self._queue.get_nowait() for _ in range(self._queue.qsize())]
        for event in waiting:
            if isinstance(event, CallerGone):
                self._queue.put_nowait(event)
        self._reading.set()
        self._room.set()

    def _finish(self, decode_s: float) -> None:
        """Give back what the placement holds."""
        for holding_id in self._holdings:
            self._memory.remove_stream(holding_id)
        self._holdings.clear()
        self._memory.remove_group(self._placement.group)
        self._placement.leave(self.generated, decode_s)

    def _deliver(self, attempts: PromptAttempts, text: str, now: float) -> Delta:
        if self._first_at is None:
            self._first_at = now
            label = length_label(self._request.prompt_tokens)
            self._core.metrics.ttft.labels(label).observe(now - self._started_at)
            engine = self._engine_of[max(self._engine_of)]
            self._engines.record_first_token(self._request.request_id, engine)
        else:
            self._core.metrics.token_gap.observe(now - self._last_at)
        self._last_at = now
        self._placement.started()
        tokens = attempts.next_offset - self.generated
        self.generated = attempts.next_offset
        return Delta(text, tokens)

    def _perform(self, action: StreamAction, now: float) -> None:
        match action:
            case Send(attempt, engine, request_id, new_connection):
                self._counters.sent_again += attempt > 1
                self._start(attempt, engine, request_id, 0, new_connection, now)
            case Resume(attempt, engine, request_id, offset):
                self._counters.resumed += 1
                self._start(attempt, engine, request_id, offset, True, now)
            case Cancel(attempt, engine, request_id, sent):
                task = self._tasks.pop(attempt, None)
                if task is not None:
                    task.cancel()
                if sent:
                    self._engines.release(engine, request_id)
                else:
                    self._engines.on_freed(engine, request_id)
            case PauseReading():
                self._counters.reading_paused += 1
                self._reading.clear()
            case ResumeReading():
                self._reading.set()

    def _start(
        self,
        attempt: int,
        engine: str,
        request_id: str,
        offset: int,
        new_connection: bool,
        now: float,
    ) -> None:
        request, place = self._request, self._placement.place
        assert place is not None
        settings = self._core.settings
        model = settings.models.get(request.model)
        client = self._engines.client(engine)
        if model is None or client is None:
            self._queue.put_nowait(ConnectFailed(attempt))
            return
        if not self._engines.can_serve(engine, request.model, place.version):
            # The model's version changed after the prompt was placed.
            self._events.is_model_refused = True
            self._queue.put_nowait(Refused(attempt))
            return
        if attempt > 1:
            self._engines.record_move(request.request_id, engine)
        self._engine_of[attempt] = engine
        group = None
        if isinstance(place, PlaceOnGroup):
            reservation = self._engines.reservation_id(self._placement.group, engine)
            group = GroupPart(len(place.engines), reservation)
        if not self._engines.acquire_lease(engine, request_id):
            self._queue.put_nowait(ConnectFailed(attempt))
            return
        self._holdings.add(request_id)
        self._memory.add_stream(request_id, self, attempt)
        wanted = EngineRequest(
            request_id,
            self._core.identity.owner,
            request.model,
            request.max_tokens,
            version=place.version or model.version,
            priority=place.priority,
            prompt=request.prompt,
            prefix_hashes=request.prefix_hashes,
            from_offset=offset,
            expires_in_s=settings.memory.lease_ttl_s,
            group=group,
        )
        remaining = max(0.001, request.deadline - now)
        self._tasks[attempt] = self._core.tasks.spawn(
            self._stream(attempt, client, engine, wanted, remaining, new_connection),
            "stream",
        )

    async def _stream(
        self,
        attempt: int,
        client: EngineClient,
        engine: str,
        request: EngineRequest,
        remaining_s: float,
        new_connection: bool,
    ) -> None:
        def may_send() -> bool:
            # Compared with the clock and not only by a timer: after a pause of this
            # process the timers fire late.
            assert self._attempts is not None
            if not (
                self._engines.owns_lease(engine, request.request_id)
                and self._placement.starting(engine)
            ):
                self._memory.counters.not_sent += 1
                return False
            if not self._engines.can_serve(engine, request.model, request.version):
                # Another prompt was refused while this one's connection was opened.
                self._counters.model_gone_before_send += 1
                return False
            permitted = self._attempts.may_send(attempt, self._core.now())
            self.was_sent |= permitted
            self._counters.too_late_to_send += not permitted
            return permitted

        # Silence is judged by the attempts, which know the pace of the stream; the
        # connection stays open until they give it up.
        stream = client.stream(
            request, remaining_s, remaining_s, new_connection, may_send
        )
        async for batch in stream:
            for event in batch:
                self._queue.put_nowait(
                    self._events.translate(attempt, engine, request, event)
                )
            if not self._reading.is_set():
                await self._reading.wait()
            if self._queue.qsize() >= self._bound:
                # The caller reads more slowly than the engine sends. Events wait here
                # while the caller blocks `answer`, so the attempts do not see them.
                self._counters.reading_paused += 1
                self._room.clear()
                await self._room.wait()

    def _timer_fired(self) -> float | None:
        """Report a due tick, or return when the next one is due."""
        assert self._attempts is not None
        due = self._attempts.next_tick()
        if due > self._core.now():
            return due
        self._queue.put_nowait(Tick())
        return None

    def lost(self, attempt: int) -> None:
        """Learn that the lease of an attempt's stream was lost."""
        self._queue.put_nowait(ConnectionReset(attempt))

    def group_lost(self) -> None:
        """Learn that a part of the prompt was lost, so that no stream can go on."""
        for attempt in list(self._tasks):
            self._queue.put_nowait(ConnectionReset(attempt))

    def interrupt(self) -> None:
        """End the prompt as if its caller had left."""
        self._queue.put_nowait(CallerGone())

    def close(self) -> None:
        """Stop all attempts and give the engines' memory back."""
        self._timer.cancel()
        # A stream that still reads its end must not wait for a caller that is served.
        self._reading.set()
        self._room.set()
        if self._placement.place is None:
            self._engines.cancel(self._request.request_id)
            return
        attempts = self._attempts
        if attempts is not None and attempts.result is None:
            now = self._core.now()
            for action in attempts.handle(CallerGone(), now):
                self._perform(action, now)
        for task in self._tasks.values():
            if attempts is None or not isinstance(attempts.result, Complete):
                task.cancel()
        decode_s = self._core.now() - self._first_at if self._first_at else 0.0
        self._finish(decode_s)
