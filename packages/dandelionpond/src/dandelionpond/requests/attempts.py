"""State machine for the attempts of one streamed prompt."""

from collections.abc import Callable, Sequence

from dandelionpond.errors import ErrorKind, Execution, Failure
from dandelionpond.requests.budget import RetryBudget
from dandelionpond.requests.messages import (
    BytesSent,
    CallerGone,
    Cancel,
    Complete,
    ConnectFailed,
    ConnectionReset,
    ConnectionSilent,
    Fail,
    Finished,
    PauseReading,
    Piece,
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
from dandelionpond.requests.reassembly import (
    EndMarkerResult,
    PieceCounters,
    StreamReassembler,
)
from dandelionpond.requests.settings import RequestsSettings
from dandelionpond.requests.silence_detector import SilenceDetector


class _OpenAttempt:
    __slots__ = ("engine", "is_stalled", "number", "request_id", "sent", "silence")

    def __init__(
        self, number: int, engine: str, request_id: str, silence: SilenceDetector
    ) -> None:
        self.number = number
        self.engine = engine
        self.request_id = request_id
        self.silence = silence
        self.sent = False
        self.is_stalled = False

    def cancel(self) -> Cancel:
        return Cancel(self.number, self.engine, self.request_id, self.sent)


class PromptAttempts:
    """State machine that runs one prompt to a complete answer or a single failure.

    `engines` serve the same version of the model and are ordered by preference.
    `deadline` is in seconds of CLOCK_BOOTTIME. `ttft_estimate_s` is the estimated time
    to first token. `hedge_after_s` is the delay before a hedged second attempt, or None
    for no hedging. `offset` is the number of tokens that the caller already has.
    `may_use` returns whether an engine may get another attempt now, and `choose` one of
    several engines that may, best first. At most two attempts are open, and each
    attempt after the first takes a retry from the budget.
    """

    __slots__ = (
        "_attempt_count",
        "_attempts_per_engine",
        "_budget",
        "_choose",
        "_closed_attempt_sent",
        "_deadline",
        "_engines",
        "_hedge_after_s",
        "_hedge_at",
        "_may_use",
        "_open_attempts",
        "_reading_paused",
        "_reassembler",
        "_request_id",
        "_result",
        "_settings",
        "_silence_reset",
        "_ttft_estimate_s",
        "_undelivered_count",
        "dropped_full",
        "late_events",
    )

    def __init__(
        self,
        request_id: str,
        engines: tuple[str, ...],
        settings: RequestsSettings,
        budget: RetryBudget,
        deadline: float,
        ttft_estimate_s: float,
        hedge_after_s: float | None = None,
        offset: int = 0,
        may_use: Callable[[str], bool] = lambda engine: True,
        choose: Callable[[Sequence[str]], str] = lambda engines: engines[0],
    ) -> None:
        self._may_use = may_use
        self._choose = choose
        self._request_id = request_id
        self._engines = engines
        self._settings = settings
        self._budget = budget
        self._deadline = deadline
        self._ttft_estimate_s = ttft_estimate_s
        self._hedge_after_s = hedge_after_s
        self._hedge_at: float | None = None
        self._reassembler = StreamReassembler(settings.reorder_pieces, offset)
        self._open_attempts: list[_OpenAttempt] = []
        self._attempt_count = 0
        self._attempts_per_engine: dict[str, int] = {}
        # Whether an attempt that has been closed had sent a byte.
        self._closed_attempt_sent = False
        self._undelivered_count = 0
        self._reading_paused = False
        self._silence_reset = False
        self._result: Complete | Fail | None = None
        self.dropped_full = 0
        self.late_events = 0

    @property
    def result(self) -> Complete | Fail | None:
        """Return the end of the prompt, or None while it is running."""
        return self._result

    @property
    def is_stalled(self) -> bool:
        """Return whether attempts are open and all of them are stalled."""
        return bool(self._open_attempts) and all(
            attempt.is_stalled for attempt in self._open_attempts
        )

    @property
    def counters(self) -> PieceCounters:
        """Return the counts of pieces that were dropped or buffered."""
        return self._reassembler.counters

    @property
    def next_offset(self) -> int:
        """Return the number of delivered tokens, including the initial offset."""
        return self._reassembler.next_offset

    @property
    def _any_sent(self) -> bool:
        return self._closed_attempt_sent or any(
            attempt.sent for attempt in self._open_attempts
        )

    def next_tick(self) -> float:
        """Return the time in seconds at which the next `Tick` is due."""
        times = [self._deadline]
        if not self._reading_paused:
            times += [
                attempt.silence.silent_at()
                for attempt in self._open_attempts
                if not attempt.is_stalled
            ]
        if self._hedge_at is not None:
            times.append(self._hedge_at)
        return min(times)

    def may_send(self, number: int, now: float) -> bool:
        """Return whether an attempt may send its first byte now and record the send."""
        attempt = self._find_attempt(number)
        if self._result is not None or attempt is None or now >= self._deadline:
            return False
        attempt.sent = True
        return True

    def handle(self, event: StreamEvent, now: float) -> list[StreamAction]:
        """Return the actions for an event; late events are counted and ignored."""
        if self._result is not None:
            self.late_events += 1
            return []
        if now >= self._deadline:
            kind = (
                ErrorKind.DEADLINE_AFTER_SEND
                if self._any_sent
                else ErrorKind.DEADLINE_BEFORE_SEND
            )
            return self._fail(Failure(kind, "the deadline passed"))
        match event:
            case Started():
                return self._handle_started(now)
            case CallerGone():
                return self._fail(
                    Failure(ErrorKind.CALLER_GONE, "the caller disconnected")
                )
            case PiecesConsumed():
                return self._handle_consumed(event.pieces, now)
            case Tick():
                return self._handle_tick(now)
        attempt = self._find_attempt(event.attempt)
        match event:
            case Piece():
                return self._handle_piece(event, attempt, now)
            case Finished():
                return self._handle_end_marker(event, attempt, now)
        if attempt is None:
            self.late_events += 1
            return []
        match event:
            case BytesSent():
                attempt.sent = True
                return []
            case ConnectFailed():
                kind = ErrorKind.UPSTREAM_UNREACHABLE
            case Refused():
                attempt.sent = False
                kind = ErrorKind.UPSTREAM_REFUSED
            case Withdrawn(failure=failure):
                return self._handle_withdrawn(attempt, failure)
            case ConnectionReset():
                kind = ErrorKind.UPSTREAM_UNREACHABLE
            case ConnectionSilent():
                return [] if attempt.is_stalled else self._handle_stall(attempt, now)
        return self._handle_failed_attempt(attempt, kind, now)

    def _find_attempt(self, number: int) -> _OpenAttempt | None:
        for attempt in self._open_attempts:
            if attempt.number == number:
                return attempt
        return None

    def _handle_started(self, now: float) -> list[StreamAction]:
        if self._attempt_count:
            self.late_events += 1
            return []
        self._budget.add_request()
        if not self._engines:
            return self._fail(
                Failure(ErrorKind.NO_UPSTREAM, "no live engine serves the model")
            )
        if self._hedge_after_s is not None:
            self._hedge_at = now + self._hedge_after_s
        return self._start_attempt(self._engines[0], now)

    def _handle_piece(
        self, piece: Piece, attempt: _OpenAttempt | None, now: float
    ) -> list[StreamAction]:
        if self._undelivered_count >= 2 * self._settings.undelivered_pieces:
            # The node did not stop reading after `PauseReading`, so drop the piece. The
            # resume of a later attempt fills the gap.
            self.dropped_full += 1
            return []
        delivered = self._reassembler.accept(piece)
        actions: list[StreamAction] = [*delivered]
        if attempt is None or not delivered:
            # Only delivered text restarts the timeout: a stream that repeats text or
            # skipped a piece makes no more progress than a silent one.
            return actions
        attempt.silence.record_piece(now)
        attempt.is_stalled = False
        self._silence_reset = False
        self._hedge_at = None
        for other in [other for other in self._open_attempts if other is not attempt]:
            actions.append(self._close_attempt(other))
        self._undelivered_count += len(delivered)
        if (
            not self._reading_paused
            and self._undelivered_count >= self._settings.undelivered_pieces
        ):
            self._reading_paused = True
            attempt.silence.pause()
            actions.append(PauseReading())
        return actions

    def _handle_end_marker(
        self, marker: Finished, attempt: _OpenAttempt | None, now: float
    ) -> list[StreamAction]:
        match self._reassembler.check_end_marker(marker):
            case EndMarkerResult.COMPLETE:
                actions: list[StreamAction] = [
                    other.cancel()
                    for other in self._open_attempts
                    if other.number != marker.attempt
                ]
                self._open_attempts.clear()
                self._result = Complete(marker.tokens)
                return [*actions, self._result]
            case EndMarkerResult.MISMATCH if attempt is not None:
                return self._handle_failed_attempt(
                    attempt, ErrorKind.ANSWER_INCOMPLETE, now
                )
        return []

    def _handle_consumed(self, pieces: int, now: float) -> list[StreamAction]:
        self._undelivered_count = max(0, self._undelivered_count - pieces)
        if (
            self._reading_paused
            and 2 * self._undelivered_count <= self._settings.undelivered_pieces
        ):
            self._reading_paused = False
            for attempt in self._open_attempts:
                attempt.silence.resume(now)
            return [ResumeReading()]
        return []

    def _handle_tick(self, now: float) -> list[StreamAction]:
        delay_s = now - self.next_tick()
        if delay_s > self._settings.silence_min_s and not self._silence_reset:
            # The node itself was paused, and unread pieces may wait in the sockets, so
            # restart the timeouts once.
            self._silence_reset = True
            for attempt in self._open_attempts:
                if not self._reading_paused:
                    attempt.silence.resume(now)
            return []
        actions: list[StreamAction] = []
        for attempt in list(self._open_attempts):
            if not attempt.is_stalled and attempt.silence.is_silent(now):
                actions += self._handle_stall(attempt, now)
        if self._hedge_at is not None and now >= self._hedge_at:
            self._hedge_at = None
            engine = self._next_engine()
            if (
                len(self._open_attempts) == 1
                and engine is not None
                and self._take_retry(now)
            ):
                actions += self._start_attempt(engine, now)
        return actions

    def _handle_stall(self, attempt: _OpenAttempt, now: float) -> list[StreamAction]:
        """Try a new connection and keep the stalled one, which may still continue."""
        attempt.is_stalled = True
        if any(not other.is_stalled for other in self._open_attempts):
            return []
        # The network can drop a connection while the engine works, and the engine still
        # has the prompt in its cache, so the first retry goes to the same engine.
        was_retried = self._attempt_count > 1
        may_use_same = not was_retried and self._may_use(attempt.engine)
        engine = attempt.engine if may_use_same else self._next_engine()
        if engine is None or not self._take_retry(now):
            return []
        actions: list[StreamAction] = []
        if len(self._open_attempts) > 1:
            # Both are stalled. Keep the newer one, which used a new connection.
            actions.append(self._close_attempt(self._open_attempts[0]))
        return actions + self._start_attempt(engine, now)

    def _handle_failed_attempt(
        self, attempt: _OpenAttempt, kind: ErrorKind, now: float
    ) -> list[StreamAction]:
        actions: list[StreamAction] = [self._close_attempt(attempt)]
        if any(not other.is_stalled for other in self._open_attempts):
            return actions
        engine = self._next_engine()
        if engine is not None and self._take_retry(now):
            return actions + self._start_attempt(engine, now)
        if self._open_attempts:
            # The stalled attempt may still continue until the deadline.
            return actions
        if self._any_sent:
            kind = ErrorKind.ANSWER_INCOMPLETE
        return actions + self._fail(
            Failure(kind, "no attempt returned a complete answer")
        )

    def _handle_withdrawn(
        self, attempt: _OpenAttempt, failure: Failure
    ) -> list[StreamAction]:
        """End the prompt, unless an attempt that was sent earlier may still answer."""
        actions: list[StreamAction] = [self._close_attempt(attempt)]
        if self._open_attempts:
            return actions
        return actions + self._fail(failure)

    def _take_retry(self, now: float) -> bool:
        return (
            self._attempt_count < self._settings.max_attempts
            and now < self._deadline
            and self._budget.take()
        )

    def _next_engine(self) -> str | None:
        """Return the engine with the fewest attempts; ties go to the chosen one.

        Engines that may not be used are left out. Return None if none is left.
        """
        usable = [engine for engine in self._engines if self._may_use(engine)]
        if not usable:
            return None
        attempts = self._attempts_per_engine
        fewest = min(attempts.get(engine, 0) for engine in usable)
        return self._choose(
            [engine for engine in usable if attempts.get(engine, 0) == fewest]
        )

    def _start_attempt(self, engine: str, now: float) -> list[StreamAction]:
        self._attempt_count += 1
        self._attempts_per_engine[engine] = self._attempts_per_engine.get(engine, 0) + 1
        request_id = f"{self._request_id}-{self._attempt_count}"
        silence = SilenceDetector(self._settings, self._ttft_estimate_s, now)
        if self._reading_paused:
            silence.pause()
        self._open_attempts.append(
            _OpenAttempt(self._attempt_count, engine, request_id, silence)
        )
        self._reassembler.open(self._attempt_count, request_id)
        offset = self._reassembler.next_offset
        if offset:
            return [Resume(self._attempt_count, engine, request_id, offset)]
        return [Send(self._attempt_count, engine, request_id, self._attempt_count > 1)]

    def _close_attempt(self, attempt: _OpenAttempt) -> Cancel:
        self._open_attempts.remove(attempt)
        self._reassembler.close(attempt.number)
        self._closed_attempt_sent |= attempt.sent
        return attempt.cancel()

    def _fail(self, failure: Failure) -> list[StreamAction]:
        if failure.execution is Execution.NOT_RUN and self._any_sent:
            failure = Failure(ErrorKind.ANSWER_INCOMPLETE, failure.message)
        actions: list[StreamAction] = [
            attempt.cancel() for attempt in self._open_attempts
        ]
        self._open_attempts.clear()
        self._result = Fail(failure)
        return [*actions, self._result]
