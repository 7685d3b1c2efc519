"""Drive the attempts of one prompt."""

import asyncio
from collections.abc import AsyncIterator

import msgspec

from dandelionpond.adapters.engine_api import (
    Broken,
    End as EngineEnd,
    EngineClient,
    EngineRequest,
    GroupPart,
    Piece as EnginePiece,
    StreamEvent as EngineEvent,
)
from dandelionpond.errors import ErrorKind, Execution, Failure
from dandelionpond.http.gateway import Delta, End, PromptRequest
from dandelionpond.metrics import length_class
from dandelionpond.requests.attempts import Attempts
from dandelionpond.requests.budget import RetryBudgets
from dandelionpond.requests.messages import (
    CallerGone,
    Cancel,
    Complete,
    ConnectFailed,
    Deliver,
    Fail,
    Finished,
    PauseReading,
    Piece,
    Refused,
    Reset,
    Resume,
    ResumeReading,
    Send,
    Silent,
    Started,
    StreamAction,
    StreamEvent,
    Taken,
    Tick,
)
from dandelionpond.routing.dispatcher import Place, PlaceGroup, Refuse, Work
from dandelionpond.runtime.core import Core
from dandelionpond.runtime.engines import Engines

# Wait before a prompt asks for the memory of several engines again; load reports lag by
# about as much.
GROUP_RETRY_S = 0.5

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
    ended_late: int = 0
    dropped_full: int = 0
    late_events: int = 0

    def add(self, attempts: Attempts) -> None:
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
        request: PromptRequest,
    ) -> None:
        self._core = core
        self._engines = engines
        self._budgets = budgets
        self._counters = counters
        self._request = request
        self._queue: asyncio.Queue[StreamEvent] = asyncio.Queue()
        self._bound = self._core.settings.requests.undelivered_pieces
        self._reading = asyncio.Event()
        self._reading.set()
        # Set while the queue has room for what the engines send.
        self._room = asyncio.Event()
        self._room.set()
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._attempts: Attempts | None = None
        self._place: Place | PlaceGroup | None = None
        self._engine_of: dict[int, str] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float("inf")
        self._started_at = self._core.now()
        self._first_at: float | None = None
        self.generated = 0
        self.was_sent = False

    @property
    def attempts(self) -> Attempts | None:
        """Return the attempts, or None if the prompt was not placed."""
        return self._attempts

    async def events(self) -> AsyncIterator[Answer]:
        """Yield the answer."""
        request, now = self._request, self._core.now()
        account = self._core.settings.client_accounts.get(request.account)
        work = Work(
            request.request_id,
            request.account,
            account.weight if account else 1.0,
            request.model,
            request.prompt_tokens,
            request.max_tokens,
            request.deadline,
            request.prefix_hashes,
        )
        placed = await self._place_with_memory(work)
        if isinstance(placed, Refuse):
            yield placed.failure
            return
        self._place = placed
        if isinstance(placed, PlaceGroup):
            names: tuple[str, ...] = placed.engines[:1]
        else:
            names = (placed.engine, *placed.others)
        model = self._core.settings.models.get(request.model)
        if model is None:
            message = f"model {request.model!r} was removed"
            yield Failure(ErrorKind.UNKNOWN_MODEL, message)
            return
        self._attempts = Attempts(
            request.request_id,
            names,
            self._core.settings.requests,
            self._budgets.get(f"model:{request.model}"),
            request.deadline,
            max(placed.ttft_s, 0.05),
        )
        async for event in self._drive(self._attempts, now):
            yield event

    async def _place_with_memory(self, work: Work) -> Place | PlaceGroup | Refuse:
        """Place a prompt; one for a group also gets the memory of all its engines.

        Load reports lag, so an engine may have less memory than it seemed. The prompt
        then waits again, until its deadline.
        """
        while True:
            placed = await self._engines.place(work)
            if not isinstance(placed, PlaceGroup):
                return placed
            failure: Failure | None = None
            try:
                failure = await self._engines.reserve_group(placed, work.deadline)
            except TimeoutError:
                message = "no engines had the memory in time"
                failure = Failure(ErrorKind.DEADLINE_BEFORE_SEND, message)
            except BaseException:
                self._engines.finished(work.request_id, placed, 0, 0.0)
                raise
            if failure is None:
                return placed
            self._engines.finished(work.request_id, placed, 0, 0.0)
            if failure.kind is not ErrorKind.INSUFFICIENT_MEMORY:
                return Refuse(work.request_id, failure)
            await asyncio.sleep(GROUP_RETRY_S * (0.5 + self._core.random.random()))

    async def _drive(self, attempts: Attempts, now: float) -> AsyncIterator[Answer]:
        event: StreamEvent = Started()
        while True:
            now = self._core.now()
            pieces = 0
            for action in attempts.handle(event, now):
                match action:
                    case Deliver(_, text):
                        pieces += 1
                        yield self._deliver(attempts, text, now)
                    case Complete(tokens):
                        self.generated = tokens
                        yield End(tokens)
                        return
                    case Fail(failure):
                        yield failure
                        return
                    case _:
                        self._perform(action, now)
            if pieces:
                event = Taken(pieces)
                continue
            self._set_timer(attempts.next_tick())
            event = await self._queue.get()
            if 2 * self._queue.qsize() <= self._bound:
                self._room.set()

    def _deliver(self, attempts: Attempts, text: str, now: float) -> Delta:
        if self._first_at is None:
            self._first_at = now
            label = length_class(self._request.prompt_tokens)
            self._core.metrics.ttft.labels(label).observe(now - self._started_at)
            engine = self._engine_of[max(self._engine_of)]
            self._engines.first_token(self._request.request_id, engine)
            if isinstance(self._place, PlaceGroup):
                self._engines.group_started(self._place, engine)
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
                    self._engines.freed(engine, request_id)
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
        request, place = self._request, self._place
        assert place is not None
        settings = self._core.settings
        model = settings.models.get(request.model)
        client = self._engines.client(engine)
        if model is None or client is None:
            self._queue.put_nowait(ConnectFailed(attempt))
            return
        if attempt > 1:
            self._engines.moved(request.request_id, engine)
        self._engine_of[attempt] = engine
        group = None
        if isinstance(place, PlaceGroup):
            reservation = self._engines.reservation(place, engine)
            group = GroupPart(len(place.engines), reservation)
        if not self._engines.hold(engine, request_id):
            self._queue.put_nowait(ConnectFailed(attempt))
            return
        wanted = EngineRequest(
            request_id,
            self._core.identity.owner,
            request.model,
            request.max_tokens,
            version=model.version,
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
                self._queue.put_nowait(self._translate(attempt, engine, request, event))
            await self._reading.wait()
            if self._queue.qsize() >= self._bound:
                # The caller reads more slowly than the engine sends. Events wait here
                # while the caller blocks `_drive`, so the attempts do not see them.
                self._counters.reading_paused += 1
                self._room.clear()
                await self._room.wait()

    def _translate(
        self, attempt: int, engine: str, request: EngineRequest, event: EngineEvent
    ) -> StreamEvent:
        match event:
            case EnginePiece(request_id, offset, tokens, text):
                return Piece(attempt, request_id, offset, tokens, text)
            case EngineEnd(request_id, tokens):
                if request_id == request.request_id:
                    self._engines.succeeded(engine)
                    self._engines.freed(engine, request_id)
                return Finished(attempt, request_id, tokens)
            case Broken():
                return self._broken(attempt, engine, event)
        raise AssertionError(event)

    def _broken(self, attempt: int, engine: str, event: Broken) -> StreamEvent:
        match event.reason:
            case "leaving":
                self._engines.answered(engine, is_leaving=True)
                return Refused(attempt)
            case "refused" if event.failure.execution is Execution.NOT_RUN:
                return Refused(attempt)
            case "deadline" if not event.sent:
                # The attempt was given up; this says nothing about the engine.
                return ConnectFailed(attempt)
            case "connect_failed":
                self._engines.failed(engine)
                return ConnectFailed(attempt)
            case "silent":
                self._engines.failed(engine)
                return Silent(attempt)
        self._engines.failed(engine)
        return Reset(attempt)

    def _set_timer(self, due: float) -> None:
        """Make sure that a `Tick` comes at `due` or a little later.

        A timer that is early enough is kept: a stream moves its next tick with each
        token, and setting a timer for each would cost more than the token itself.
        """
        if due >= self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        delay = max(0.0, due - self._core.now())
        self._timer_at = due
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay, self._timer_fired)

    def _timer_fired(self) -> None:
        self._timer, self._timer_at = None, float("inf")
        assert self._attempts is not None
        due = self._attempts.next_tick()
        if due <= self._core.now():
            self._queue.put_nowait(Tick())
        else:
            self._set_timer(due)

    def interrupt(self) -> None:
        """End the prompt as if its caller had left."""
        self._queue.put_nowait(CallerGone())

    def close(self) -> None:
        """Stop all attempts and give the engines' memory back."""
        if self._timer is not None:
            self._timer.cancel()
        # A stream that still reads its end must not wait for a caller that is served.
        self._reading.set()
        self._room.set()
        if self._place is None:
            self._engines.cancelled(self._request.request_id)
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
        self._engines.finished(
            self._request.request_id, self._place, self.generated, decode_s
        )
