"""Run prompts: admit, place, stream, resume and release."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import msgspec

from dandelionpond.adapters.engine_api import (
    Broken,
    End as EngineEnd,
    EngineClient,
    EngineRequest,
    GroupPart,
    NotSentError,
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
from dandelionpond.routing.dispatcher import PlaceGroup, Refuse, Work
from dandelionpond.runtime.accounts import Accounts
from dandelionpond.runtime.core import Core
from dandelionpond.runtime.engines import Engines
from dandelionpond.runtime.placement import Placement

Answer = Delta | End | Failure


class PromptMemoryCounters(msgspec.Struct):
    """Count what lost engine memory did to prompts.

    `not_sent` attempts had lost their lease before the first byte could leave.
    """

    stream_lost: int = 0
    group_lost: int = 0
    placed_again: int = 0
    not_sent: int = 0


class PromptRunner:
    """Serve prompts with the engines in reach."""

    def __init__(self, core: Core, accounts: Accounts, engines: Engines) -> None:
        self.core = core
        self.accounts = accounts
        self.engines = engines
        self.budgets = RetryBudgets(core.settings.requests)
        self.in_flight = 0
        self.counters = PromptMemoryCounters()
        self._runs: set[_PromptRun] = set()
        # Runs by the identifier of a stream with its attempt, and by their group.
        self.streams: dict[str, tuple[_PromptRun, int]] = {}
        self.groups: dict[str, _PromptRun] = {}
        engines.leases.on_lost = self._stream_lost
        engines.leases.on_group_lost = self._group_lost
        core.on_settings.append(
            lambda settings: self.budgets.configure(settings.requests)
        )

    async def run(self, request: PromptRequest) -> AsyncIterator[Answer]:
        """Yield the answer of a prompt; closing the iterator cancels it."""
        core, accounts = self.core, self.accounts
        usage = accounts.of(request.account)
        usage.requests += 1
        admitted = accounts.admit(
            request.account, request.prompt_tokens + request.max_tokens
        )
        if admitted.is_error():
            self._count("refused")
            yield admitted.error
            return
        run = _PromptRun(self, request)
        self._runs.add(run)
        self.in_flight += 1
        core.metrics.in_flight.labels("prompt").set(self.in_flight)
        outcome = "cancelled"
        try:
            async for event in run.events():
                match event:
                    case End():
                        outcome = "complete"
                    case Failure():
                        ran = event.execution is not Execution.NOT_RUN
                        outcome = "failed" if ran else "refused"
                        accounts.count_refusal(request.account, event)
                yield event
        finally:
            run.close()
            self._runs.discard(run)
            self.in_flight -= 1
            core.metrics.in_flight.labels("prompt").set(self.in_flight)
            self._count(outcome)
            used = request.prompt_tokens if run.was_sent else 0
            accounts.finished(admitted.ok, used + run.generated)
            usage.prompt_tokens += used
            usage.generated_tokens += run.generated
            core.metrics.tokens.labels("prompt").inc(used)
            core.metrics.tokens.labels("generated").inc(run.generated)

    def cancel_all(self) -> None:
        """Interrupt every prompt; callers get a failure."""
        for run in list(self._runs):
            run.interrupt()

    def _stream_lost(self, engine: str, holding_id: str) -> None:
        found = self.streams.get(holding_id)
        if found is not None:
            self.counters.stream_lost += 1
            run, attempt = found
            run.lost(attempt)

    def _group_lost(self, group: str) -> None:
        run = self.groups.get(group)
        if run is not None:
            self.counters.group_lost += 1
            run.group_lost()

    def _count(self, outcome: str) -> None:
        self.core.metrics.requests.labels("prompt", outcome).inc()


class _PromptRun:
    """Drive the attempts of one prompt."""

    def __init__(self, runner: PromptRunner, request: PromptRequest) -> None:
        self._runner = runner
        self._core = runner.core
        self._engines = runner.engines
        self._request = request
        self._queue: asyncio.Queue[StreamEvent] = asyncio.Queue()
        self._reading = asyncio.Event()
        self._reading.set()
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._attempts: Attempts | None = None
        self._placement = Placement(runner.core, runner.engines)
        self._engine_of: dict[int, str] = {}
        self._holdings: set[str] = set()
        self._is_model_refused = False
        self._may_have_run = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float("inf")
        self._started_at = self._core.now()
        self._first_at: float | None = None
        self.generated = 0
        self.was_sent = False

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
        budget = self._runner.budgets.get(f"model:{request.model}")
        limits = self._core.settings.requests
        name = request.request_id
        while True:
            placed = await self._placement.take(work)
            if isinstance(placed, Refuse):
                yield self._as_failure(placed.failure)
                return
            settings = limits
            if isinstance(placed, PlaceGroup):
                self._runner.groups[self._placement.group] = self
                names: tuple[str, ...] = placed.engines[:1]
                # A second attempt needs the memory of all parts again.
                settings = msgspec.structs.replace(limits, max_attempts=1)
            else:
                names = (placed.engine, *placed.others)
            if request.model not in self._core.settings.models:
                message = f"model {request.model!r} was removed"
                yield self._as_failure(Failure(ErrorKind.UNKNOWN_MODEL, message))
                return
            self._attempts = Attempts(
                name,
                names,
                settings,
                budget,
                request.deadline,
                max(placed.ttft_s, 0.05),
                offset=self.generated,
            )
            async with contextlib.aclosing(self._drive(self._attempts, now)) as events:
                async for event in events:
                    if isinstance(event, Failure) and self._may_place_again(event):
                        break
                    yield event
                else:
                    return
            if self._placement.count >= limits.max_attempts or not (
                self._is_model_refused or budget.take()
            ):
                yield event
                return
            self._may_have_run |= event.execution is not Execution.NOT_RUN
            self._is_model_refused = False
            self._runner.counters.placed_again += 1
            name = f"{request.request_id}.{self._placement.count + 1}"
            self._leave_placement()

    def _may_place_again(self, failure: Failure) -> bool:
        """Return whether a prompt can be placed again.

        So can one on a group of engines, and one that no engine took because the
        version of its model was changing; that one waits for a ready engine.
        """
        if self._is_model_refused and failure.kind is ErrorKind.UPSTREAM_REFUSED:
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
        """Give a group up and forget its attempts, before another one is placed."""
        self._finish(0.0)
        self._engine_of.clear()
        self._tasks.clear()
        # Events of the earlier attempts would be taken for those of the next ones.
        waiting = [self._queue.get_nowait() for _ in range(self._queue.qsize())]
        for event in waiting:
            if isinstance(event, CallerGone):
                self._queue.put_nowait(event)
        self._reading.set()

    def _finish(self, decode_s: float) -> None:
        """Give back what the placement holds."""
        for holding_id in self._holdings:
            self._runner.streams.pop(holding_id, None)
        self._holdings.clear()
        self._runner.groups.pop(self._placement.group, None)
        self._placement.leave(self.generated, decode_s)

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
            if (
                self._placement.group
                and attempts.is_in_doubt
                and self._placement.count < self._core.settings.requests.max_attempts
            ):
                # Only another group can test the path, because each needs all parts.
                event = Reset(max(self._engine_of))
                continue
            self._set_timer(attempts.next_tick())
            event = await self._queue.get()

    def _deliver(self, attempts: Attempts, text: str, now: float) -> Delta:
        if self._first_at is None:
            self._first_at = now
            label = length_class(self._request.prompt_tokens)
            self._core.metrics.ttft.labels(label).observe(now - self._started_at)
            engine = self._engine_of[max(self._engine_of)]
            self._engines.first_token(self._request.request_id, engine)
        self._placement.started()
        tokens = attempts.next_offset - self.generated
        self.generated = attempts.next_offset
        return Delta(text, tokens)

    def _perform(self, action: StreamAction, now: float) -> None:
        match action:
            case Send(attempt, engine, request_id, new_connection):
                self._start(attempt, engine, request_id, 0, new_connection, now)
            case Resume(attempt, engine, request_id, offset):
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
            self._is_model_refused = True
            self._queue.put_nowait(Refused(attempt))
            return
        if attempt > 1:
            self._engines.moved(request.request_id, engine)
        self._engine_of[attempt] = engine
        group = None
        if isinstance(place, PlaceGroup):
            reservation = self._engines.reservation(self._placement.group, engine)
            group = GroupPart(len(place.engines), reservation)
        if not self._engines.hold(engine, request_id):
            self._queue.put_nowait(ConnectFailed(attempt))
            return
        self._holdings.add(request_id)
        self._runner.streams[request_id] = self, attempt
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
        def sending() -> None:
            assert self._attempts is not None
            if not (
                self._engines.owns(engine, request.request_id)
                and self._placement.starting(engine)
                and self._attempts.may_send(attempt, self._core.now())
            ):
                raise NotSentError("the engine's memory was lost before sending")
            self.was_sent = True

        # Silence is judged by the attempts, which know the pace of the stream; the
        # connection stays open until they give it up.
        stream = client.stream(
            request, remaining_s, remaining_s, new_connection, sending
        )
        async for batch in stream:
            for event in batch:
                self._queue.put_nowait(self._translate(attempt, engine, request, event))
            if not self._reading.is_set():
                await self._reading.wait()

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
            case "not_sent":
                self._runner.counters.not_sent += 1
                return ConnectFailed(attempt)
            case "unknown_model":
                self._is_model_refused = True
                self._engines.refused_model(engine, self._request.model)
                return Refused(attempt)
            case "leaving":
                self._engines.answered(engine, is_leaving=True)
                return Refused(attempt)
            case "refused" if event.failure.execution is Execution.NOT_RUN:
                return Refused(attempt)
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

    def lost(self, attempt: int) -> None:
        """Learn that the lease of an attempt's stream was lost."""
        self._queue.put_nowait(Reset(attempt))

    def group_lost(self) -> None:
        """Learn that a part of the prompt was lost, so that no stream can go on."""
        for attempt in list(self._tasks):
            self._queue.put_nowait(Reset(attempt))

    def interrupt(self) -> None:
        """End the prompt as if its caller had left."""
        self._queue.put_nowait(CallerGone())

    def close(self) -> None:
        """Stop all attempts and give the engines' memory back."""
        if self._timer is not None:
            self._timer.cancel()
        if self._placement.place is None:
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
        self._finish(decode_s)
