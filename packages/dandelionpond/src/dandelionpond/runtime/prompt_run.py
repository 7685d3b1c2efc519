"""Execution of the attempts of one prompt."""

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
    Withdrawn,
)
from dandelionpond.routing.messages import DispatchRequest, PlaceOnGroup, RefusePrompt
from dandelionpond.runtime.core import Core
from dandelionpond.runtime.crashing_prompts import (
    AttemptWatch,
    CrashingPrompts,
    PromptWatch,
)
from dandelionpond.runtime.engine_events import EngineEventTranslator
from dandelionpond.runtime.engines import Engines
from dandelionpond.runtime.lost_memory import LostMemoryNotifier
from dandelionpond.runtime.placement import PromptPlacement
from dandelionpond.runtime.timer import LazyTimer

# Lower bound of the time to first token that silence detection uses, in seconds. The
# estimate for an idle engine can be near zero.
MIN_TTFT_ESTIMATE_S = 0.05

AnswerEvent = Delta | End | Failure


class PromptCounters(msgspec.Struct):
    """Counts of events in the attempts of all prompts.

    `sent_again` counts attempts that restarted a prompt, and `resumed` those that
    continued after the text that the caller already has.
    """

    sent_again: int = 0
    resumed: int = 0
    reading_paused: int = 0
    too_late_to_send: int = 0
    model_gone_before_send: int = 0
    rejected_before_send: int = 0
    ended_late: int = 0
    dropped_full: int = 0
    late_events: int = 0

    def add(self, attempts: PromptAttempts) -> None:
        """Add the counts of a prompt that has ended."""
        self.late_events += attempts.late_events
        self.dropped_full += attempts.dropped_full


class PromptRun:
    """Runner of one prompt, which places it and performs `PromptAttempts` actions."""

    def __init__(
        self,
        core: Core,
        engines: Engines,
        budgets: RetryBudgets,
        counters: PromptCounters,
        lost_memory: LostMemoryNotifier,
        crashing_prompts: CrashingPrompts,
        request: PromptRequest,
    ) -> None:
        self._core = core
        self._engines = engines
        self._budgets = budgets
        self._counters = counters
        self._lost_memory = lost_memory
        self._request = request
        self._watch = PromptWatch(
            crashing_prompts, request.account, request.prefix_hashes, request.request_id
        )
        self._event_queue: asyncio.Queue[StreamEvent] = asyncio.Queue()
        self._max_queued_events = self._core.settings.requests.undelivered_pieces
        self._reading_allowed = asyncio.Event()
        self._reading_allowed.set()
        # Set while the event queue has room for further engine events.
        self._queue_has_room = asyncio.Event()
        self._queue_has_room.set()
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._attempts: PromptAttempts | None = None
        self._placement = PromptPlacement(core, engines)
        self._engine_of_attempt: dict[int, str] = {}
        self._holding_ids: set[str] = set()
        self._event_translator = EngineEventTranslator(engines)
        self._earlier_may_have_run = False
        self._timer = LazyTimer(core.now, self._timer_fired)
        self._started_at = self._core.now()
        self._first_token_at: float | None = None
        self._last_token_at = 0.0
        self.generated_tokens = 0
        self.was_sent = False

    @property
    def attempts(self) -> PromptAttempts | None:
        """Return the attempts, or None if the prompt has not been placed."""
        return self._attempts

    async def place(self) -> Failure | None:
        """Place the prompt; return None, or the failure if it cannot run."""
        request = self._request
        quarantined = self._watch.check()
        if quarantined is not None:
            return quarantined
        account = self._core.settings.client_accounts.get(request.account)
        dispatch_request = DispatchRequest(
            request.request_id,
            request.account,
            account.weight if account else 1.0,
            request.model,
            request.prompt_tokens,
            request.max_tokens,
            request.deadline,
            request.prefix_hashes,
        )
        placed = await self._placement.acquire(dispatch_request)
        if isinstance(placed, RefusePrompt):
            return placed.failure
        requests_settings = self._core.settings.requests
        if isinstance(placed, PlaceOnGroup):
            self._lost_memory.add_group(self._placement.group_id, self)
            engine_names: tuple[str, ...] = placed.engines[:1]
            # A second attempt needs a new reservation on all engines of a group.
            requests_settings = msgspec.structs.replace(
                requests_settings, max_attempts=1
            )
        else:
            engine_names = (placed.engine, *placed.fallback_engines)
        if request.model not in self._core.settings.models:
            message = f"model {request.model!r} was removed from the settings"
            return Failure(ErrorKind.UNKNOWN_MODEL, message)
        count = self._placement.placement_count
        self._attempts = PromptAttempts(
            request.request_id if count == 1 else f"{request.request_id}.{count}",
            engine_names,
            requests_settings,
            self._budget(),
            request.deadline,
            max(placed.ttft_s, MIN_TTFT_ESTIMATE_S),
            offset=self.generated_tokens,
            may_use=self._engines.may_use,
            choose=self._watch.choose_engine,
        )
        return None

    async def stream_answer(self) -> AsyncIterator[AnswerEvent]:
        """Yield the answer of a prompt that `place` has placed."""
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
                        yield self._deliver_text(attempts, text, now)
                    case Complete(tokens):
                        self.generated_tokens = tokens
                        yield End(tokens)
                        return
                    case Fail(failed):
                        failure = failed
                    case _:
                        self._perform(action, now)
            if failure is not None:
                failure = await self._place_again(failure)
                if failure is not None:
                    yield self._adjust_failure(failure)
                    return
                event = Started()
                continue
            if pieces:
                event = PiecesConsumed(pieces)
                continue
            if self._needs_another_group(attempts):
                event = ConnectionReset(max(self._engine_of_attempt))
                continue
            self._timer.schedule(attempts.next_tick())
            event = await self._event_queue.get()
            if 2 * self._event_queue.qsize() <= self._max_queued_events:
                self._queue_has_room.set()

    def _budget(self) -> RetryBudget:
        return self._budgets.get(f"model:{self._request.model}")

    def _needs_another_group(self, attempts: PromptAttempts) -> bool:
        """Return whether the stream of a group has stalled and may be placed again.

        Only a new group can test another path, because every attempt needs all parts.
        """
        limit = self._core.settings.requests.max_attempts
        is_group = bool(self._placement.group_id)
        return (
            is_group and attempts.is_stalled and self._placement.placement_count < limit
        )

    async def _place_again(self, failure: Failure) -> Failure | None:
        """Place a failed prompt again, or return the failure that ends it.

        A prompt whose model version was refused is placed again until its deadline,
        without a retry limit: it did not run, and an engine that refused the version
        gets no further prompt for it before its next load report.
        """
        if not self._may_place_again(failure):
            return self._add_retry_time(failure)
        limit = self._core.settings.requests.max_attempts
        if not self._event_translator.is_model_refused and (
            self._placement.placement_count >= limit or not self._budget().take()
        ):
            return self._add_retry_time(failure)
        self._earlier_may_have_run |= failure.execution is not Execution.NOT_RUN
        self._event_translator.is_model_refused = False
        self._event_translator.is_rejected = False
        self._lost_memory.counters.placed_again += 1
        self._reset_placement()
        return await self.place()

    def _may_place_again(self, failure: Failure) -> bool:
        """Return whether a failed prompt may be placed again.

        This is so for prompts on a group of engines, and for prompts that all engines
        refused because the model version was changing or because they wanted no
        requests. The latter wait for an engine that has the version ready or wants
        requests.
        """
        translator = self._event_translator
        if (
            translator.is_model_refused or translator.is_rejected
        ) and failure.kind is ErrorKind.UPSTREAM_REFUSED:
            return True
        retryable_kinds = (
            ErrorKind.ANSWER_INCOMPLETE,
            ErrorKind.UPSTREAM_UNREACHABLE,
            ErrorKind.UPSTREAM_REFUSED,
        )
        return bool(self._placement.group_id) and failure.kind in retryable_kinds

    def _add_retry_time(self, failure: Failure) -> Failure:
        """Add when an engine wants requests again, if all that are left want none."""
        pause_s = self._engines.pause_left_s(self._request.model)
        if failure.kind is not ErrorKind.UPSTREAM_REFUSED or pause_s is None:
            return failure
        return msgspec.structs.replace(failure, retry_after_s=pause_s)

    def _adjust_failure(self, failure: Failure) -> Failure:
        """Return a failure, adjusted if an earlier placement's attempt may have run.

        `PromptAttempts` knows only the attempts of the last placement.
        """
        if self._earlier_may_have_run and failure.execution is Execution.NOT_RUN:
            return Failure(ErrorKind.ANSWER_INCOMPLETE, failure.message)
        return failure

    def _reset_placement(self) -> None:
        """Release the placement and discard its attempts before placing again."""
        self._release_placement(0.0)
        self._engine_of_attempt.clear()
        self._tasks.clear()
        # Attempt numbers start again at 1, so events of earlier attempts must not stay
        # in the queue.
        queued_events = [
            self._event_queue.get_nowait() for _ in range(self._event_queue.qsize())
        ]
        for event in queued_events:
            if isinstance(event, CallerGone):
                self._event_queue.put_nowait(event)
        self._reading_allowed.set()
        self._queue_has_room.set()

    def _release_placement(self, decode_s: float) -> None:
        """Release the holdings and the group of the placement."""
        for holding_id in self._holding_ids:
            self._lost_memory.remove_stream(holding_id)
        self._holding_ids.clear()
        self._lost_memory.remove_group(self._placement.group_id)
        self._placement.release(self.generated_tokens, decode_s)

    def _deliver_text(self, attempts: PromptAttempts, text: str, now: float) -> Delta:
        if self._first_token_at is None:
            self._first_token_at = now
            label = length_label(self._request.prompt_tokens)
            self._core.metrics.ttft.labels(label).observe(now - self._started_at)
            engine = self._engine_of_attempt[max(self._engine_of_attempt)]
            self._engines.record_first_token(self._request.request_id, engine)
        else:
            self._core.metrics.token_gap.observe(now - self._last_token_at)
        self._last_token_at = now
        self._placement.token_received()
        tokens = attempts.next_offset - self.generated_tokens
        self.generated_tokens = attempts.next_offset
        return Delta(text, tokens)

    def _perform(self, action: StreamAction, now: float) -> None:
        match action:
            case Send(attempt, engine, request_id, new_connection):
                self._counters.sent_again += attempt > 1
                self._start_attempt(attempt, engine, request_id, 0, new_connection, now)
            case Resume(attempt, engine, request_id, offset):
                self._counters.resumed += 1
                self._start_attempt(attempt, engine, request_id, offset, True, now)
            case Cancel(attempt, engine, request_id, may_hold_memory):
                task = self._tasks.pop(attempt, None)
                if task is not None:
                    task.cancel()
                if may_hold_memory:
                    self._engines.release(engine, request_id)
                else:
                    self._engines.on_freed(engine, request_id)
            case PauseReading():
                self._counters.reading_paused += 1
                self._reading_allowed.clear()
            case ResumeReading():
                self._reading_allowed.set()

    def _start_attempt(
        self,
        attempt: int,
        engine: str,
        request_id: str,
        offset: int,
        new_connection: bool,
        now: float,
    ) -> None:
        request, target = self._request, self._placement.target
        assert target is not None
        settings = self._core.settings
        model = settings.models.get(request.model)
        client = self._engines.client(engine)
        if model is None or client is None:
            self._event_queue.put_nowait(ConnectFailed(attempt))
            return
        watch = self._watch.begin_attempt(engine, request_id)
        if not watch.may_send():
            # The prompt has crashed engines since it was placed.
            assert watch.withdrawn is not None
            self._event_queue.put_nowait(Withdrawn(attempt, watch.withdrawn))
            return
        if not self._engines.can_serve(engine, request.model, target.version):
            # The model version changed after the prompt was placed.
            self._event_translator.is_model_refused = True
            self._event_queue.put_nowait(Refused(attempt))
            return
        if not self._engines.wants_requests(engine):
            # The engine rejected another prompt after this one was placed.
            self._event_translator.is_rejected = True
            self._event_queue.put_nowait(Refused(attempt))
            return
        if attempt > 1:
            self._engines.record_move(request.request_id, engine)
        self._engine_of_attempt[attempt] = engine
        group = None
        if isinstance(target, PlaceOnGroup):
            reservation = self._engines.reservation_id(self._placement.group_id, engine)
            group = GroupPart(len(target.engines), reservation)
        if not self._engines.acquire_lease(engine, request_id):
            self._event_queue.put_nowait(ConnectFailed(attempt))
            return
        self._holding_ids.add(request_id)
        self._lost_memory.add_stream(request_id, self, attempt)
        engine_request = EngineRequest(
            request_id,
            self._core.identity.owner,
            request.model,
            request.max_tokens,
            version=target.version or model.version,
            priority=target.priority,
            prompt=request.prompt,
            prefix_hashes=request.prefix_hashes,
            from_offset=offset,
            expires_in_s=settings.memory.lease_ttl_s,
            group=group,
        )
        remaining_s = max(0.001, request.deadline - now)
        self._tasks[attempt] = self._core.tasks.spawn(
            self._read_stream(
                attempt,
                client,
                engine,
                engine_request,
                remaining_s,
                new_connection,
                watch,
            ),
            "stream",
        )
        watch.track(self._tasks[attempt])

    async def _read_stream(
        self,
        attempt: int,
        client: EngineClient,
        engine: str,
        request: EngineRequest,
        remaining_s: float,
        new_connection: bool,
        watch: AttemptWatch,
    ) -> None:
        def may_send() -> bool:
            # Check the clock instead of relying on a timer, because timers fire late
            # after a pause of this process.
            assert self._attempts is not None
            if not self._engines.wants_requests(engine):
                # The engine rejected another prompt while this connection was opening.
                self._counters.rejected_before_send += 1
                return False
            if not watch.may_send():
                return False
            if not (
                self._engines.owns_lease(engine, request.request_id)
                and self._placement.may_start_stream(engine)
            ):
                self._lost_memory.counters.not_sent += 1
                return False
            if not self._engines.can_serve(engine, request.model, request.version):
                # The engine refused another prompt while this connection was opening.
                self._counters.model_gone_before_send += 1
                return False
            now = self._core.now()
            permitted = self._attempts.may_send(attempt, now)
            self.was_sent |= permitted
            if permitted:
                watch.sent_at = now
            self._counters.too_late_to_send += not permitted
            return permitted

        await watch.wait()
        # `PromptAttempts` detects silence, because it knows the pace of the stream. The
        # connection stays open until it cancels the attempt.
        stream = client.stream(
            request, remaining_s, remaining_s, new_connection, may_send
        )
        async for batch in stream:
            for event in batch:
                translated: StreamEvent
                if watch.withdrawn is not None:
                    translated = Withdrawn(attempt, watch.withdrawn)
                else:
                    translated = self._event_translator.translate(
                        attempt, engine, request, event
                    )
                    await watch.observe(event, self._core.now())
                self._event_queue.put_nowait(translated)
            if not self._reading_allowed.is_set():
                await self._reading_allowed.wait()
            if self._event_queue.qsize() >= self._max_queued_events:
                # The caller reads more slowly than the engine sends. Limit the queue
                # here, because `stream_answer` is blocked by the caller and the events
                # do not reach `PromptAttempts`, which limits undelivered pieces.
                self._counters.reading_paused += 1
                self._queue_has_room.clear()
                await self._queue_has_room.wait()

    def _timer_fired(self) -> float | None:
        """Queue a `Tick` if it is due; otherwise return its due time."""
        assert self._attempts is not None
        due_at = self._attempts.next_tick()
        if due_at > self._core.now():
            return due_at
        self._event_queue.put_nowait(Tick())
        return None

    def lease_lost(self, attempt: int) -> None:
        """Handle the loss of the lease of an attempt's stream."""
        self._event_queue.put_nowait(ConnectionReset(attempt))

    def group_part_lost(self) -> None:
        """Handle the loss of a part of the group; its streams cannot continue."""
        for attempt in list(self._tasks):
            self._event_queue.put_nowait(ConnectionReset(attempt))

    def interrupt(self) -> None:
        """End the prompt as if its caller had disconnected."""
        self._event_queue.put_nowait(CallerGone())

    def close(self) -> None:
        """Stop all attempts and release their engine memory."""
        self._watch.end()
        self._timer.cancel()
        # The caller already has its answer, so a stream that still reads its end marker
        # must not wait for the caller to read.
        self._reading_allowed.set()
        self._queue_has_room.set()
        if self._placement.target is None:
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
        decode_s = (
            self._core.now() - self._first_token_at if self._first_token_at else 0.0
        )
        self._release_placement(decode_s)
