"""Decide the attempts of one streamed prompt."""

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
)
from dandelionpond.requests.pace import Pace
from dandelionpond.requests.reassembly import End, PieceCounters, StreamReassembler
from dandelionpond.requests.settings import RequestsSettings


class _Open:
    __slots__ = ("engine", "in_doubt", "number", "pace", "request_id", "sent")

    def __init__(self, number: int, engine: str, request_id: str, pace: Pace) -> None:
        self.number = number
        self.engine = engine
        self.request_id = request_id
        self.pace = pace
        self.sent = False
        self.in_doubt = False

    def cancel(self) -> Cancel:
        return Cancel(self.number, self.engine, self.request_id, self.sent)


class PromptAttempts:
    """Bring one prompt to a complete answer or one failure.

    `engines` hold the same model and version, best first. `deadline` is in seconds of
    CLOCK_BOOTTIME; `estimate_s` is the estimated time to first token and
    `hedge_after_s` the wait before a second attempt, or None for no hedge. `offset` is
    the number of tokens that the caller already has. At most two
    attempts are open, and each one after the first takes from the retry budget.
    """

    __slots__ = (
        "_assembly",
        "_budget",
        "_count",
        "_deadline",
        "_dropped_sent",
        "_engines",
        "_estimate_s",
        "_hedge_after_s",
        "_hedge_at",
        "_open",
        "_paused",
        "_refreshed",
        "_request_id",
        "_result",
        "_settings",
        "_tries",
        "_undelivered",
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
        estimate_s: float,
        hedge_after_s: float | None = None,
        offset: int = 0,
    ) -> None:
        self._request_id = request_id
        self._engines = engines
        self._settings = settings
        self._budget = budget
        self._deadline = deadline
        self._estimate_s = estimate_s
        self._hedge_after_s = hedge_after_s
        self._hedge_at: float | None = None
        self._assembly = StreamReassembler(settings.reorder_pieces, offset)
        self._open: list[_Open] = []
        self._count = 0
        self._tries: dict[str, int] = {}
        # An attempt that is no longer open had sent a byte.
        self._dropped_sent = False
        self._undelivered = 0
        self._paused = False
        self._refreshed = False
        self._result: Complete | Fail | None = None
        self.dropped_full = 0
        self.late_events = 0

    @property
    def result(self) -> Complete | Fail | None:
        """Return how the prompt ended, or None while it is open."""
        return self._result

    @property
    def is_stalled(self) -> bool:
        """Return whether every open attempt is silent for longer than its pace."""
        return bool(self._open) and all(attempt.in_doubt for attempt in self._open)

    @property
    def counters(self) -> PieceCounters:
        """Return the counts of pieces that were dropped or held."""
        return self._assembly.counters

    @property
    def next_offset(self) -> int:
        """Return the number of tokens delivered."""
        return self._assembly.next_offset

    @property
    def _any_sent(self) -> bool:
        return self._dropped_sent or any(attempt.sent for attempt in self._open)

    def next_tick(self) -> float:
        """Return the time of the next `Tick` in seconds."""
        due = [self._deadline]
        if not self._paused:
            due += [
                attempt.pace.due() for attempt in self._open if not attempt.in_doubt
            ]
        if self._hedge_at is not None:
            due.append(self._hedge_at)
        return min(due)

    def may_send(self, number: int, now: float) -> bool:
        """Return whether the first byte of an attempt may leave now, and note it."""
        attempt = self._find(number)
        if self._result is not None or attempt is None or now >= self._deadline:
            return False
        attempt.sent = True
        return True

    def handle(self, event: StreamEvent, now: float) -> list[StreamAction]:
        """Take one event and return what to do; never raises for a late event."""
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
                return self._start(now)
            case CallerGone():
                return self._fail(
                    Failure(ErrorKind.CALLER_GONE, "the caller disconnected")
                )
            case PiecesConsumed():
                return self._take(event.pieces, now)
            case Tick():
                return self._tick(now)
        attempt = self._find(event.attempt)
        match event:
            case Piece():
                return self._piece(event, attempt, now)
            case Finished():
                return self._finished(event, attempt, now)
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
            case ConnectionReset():
                kind = ErrorKind.UPSTREAM_UNREACHABLE
            case ConnectionSilent():
                return [] if attempt.in_doubt else self._doubt(attempt, now)
        return self._lose(attempt, kind, now)

    def _find(self, number: int) -> _Open | None:
        for attempt in self._open:
            if attempt.number == number:
                return attempt
        return None

    def _start(self, now: float) -> list[StreamAction]:
        if self._count:
            self.late_events += 1
            return []
        self._budget.earn()
        if not self._engines:
            return self._fail(Failure(ErrorKind.NO_UPSTREAM, "no engine is live"))
        if self._hedge_after_s is not None:
            self._hedge_at = now + self._hedge_after_s
        return self._begin(self._engines[0], now)

    def _piece(
        self, piece: Piece, attempt: _Open | None, now: float
    ) -> list[StreamAction]:
        if self._undelivered >= 2 * self._settings.undelivered_pieces:
            # The edge has not paused reading. The gap is filled by a resume.
            self.dropped_full += 1
            return []
        delivered = self._assembly.accept(piece)
        actions: list[StreamAction] = [*delivered]
        if attempt is None or not delivered:
            # Only progress counts as a sign of life: a stream that repeats itself or
            # skipped a piece is as stuck as a silent one.
            return actions
        attempt.pace.hear(now)
        attempt.in_doubt = False
        self._refreshed = False
        self._hedge_at = None
        for other in [other for other in self._open if other is not attempt]:
            actions.append(self._drop(other))
        self._undelivered += len(delivered)
        if not self._paused and self._undelivered >= self._settings.undelivered_pieces:
            self._paused = True
            attempt.pace.pause()
            actions.append(PauseReading())
        return actions

    def _finished(
        self, marker: Finished, attempt: _Open | None, now: float
    ) -> list[StreamAction]:
        match self._assembly.end(marker):
            case End.COMPLETE:
                actions: list[StreamAction] = [
                    other.cancel()
                    for other in self._open
                    if other.number != marker.attempt
                ]
                self._open.clear()
                self._result = Complete(marker.tokens)
                return [*actions, self._result]
            case End.MISMATCH if attempt is not None:
                return self._lose(attempt, ErrorKind.ANSWER_INCOMPLETE, now)
        return []

    def _take(self, pieces: int, now: float) -> list[StreamAction]:
        self._undelivered = max(0, self._undelivered - pieces)
        if self._paused and 2 * self._undelivered <= self._settings.undelivered_pieces:
            self._paused = False
            for attempt in self._open:
                attempt.pace.resume(now)
            return [ResumeReading()]
        return []

    def _tick(self, now: float) -> list[StreamAction]:
        late = now - self.next_tick()
        if late > self._settings.silence_min_s and not self._refreshed:
            # The node itself was paused: pieces may wait in the sockets unread.
            self._refreshed = True
            for attempt in self._open:
                if not self._paused:
                    attempt.pace.resume(now)
            return []
        actions: list[StreamAction] = []
        for attempt in list(self._open):
            if not attempt.in_doubt and attempt.pace.is_silent(now):
                actions += self._doubt(attempt, now)
        if self._hedge_at is not None and now >= self._hedge_at:
            self._hedge_at = None
            if len(self._open) == 1 and self._may_add(now):
                actions += self._begin(self._next_engine(), now)
        return actions

    def _doubt(self, attempt: _Open, now: float) -> list[StreamAction]:
        """Test a new connection and keep the silent one, which may still continue."""
        attempt.in_doubt = True
        if any(not other.in_doubt for other in self._open) or not self._may_add(now):
            return []
        actions: list[StreamAction] = []
        if len(self._open) > 1:
            # Both are silent; the newer one tested the path and stays.
            actions.append(self._drop(self._open[0]))
        # A path can lose track of a connection while the engine works, and the engine
        # still has the prompt in its cache, so the same engine is tested first.
        tested = self._count > 1
        engine = self._next_engine() if tested else attempt.engine
        return actions + self._begin(engine, now)

    def _lose(self, attempt: _Open, kind: ErrorKind, now: float) -> list[StreamAction]:
        actions: list[StreamAction] = [self._drop(attempt)]
        if any(not other.in_doubt for other in self._open):
            return actions
        if self._may_add(now):
            return actions + self._begin(self._next_engine(), now)
        if self._open:
            # The attempt in doubt may continue until the deadline.
            return actions
        if self._any_sent:
            kind = ErrorKind.ANSWER_INCOMPLETE
        return actions + self._fail(Failure(kind, "no attempt gave a complete answer"))

    def _may_add(self, now: float) -> bool:
        return (
            self._count < self._settings.max_attempts
            and now < self._deadline
            and self._budget.take()
        )

    def _next_engine(self) -> str:
        """Return the engine with the fewest attempts so far, the best one of those."""
        return min(self._engines, key=lambda engine: self._tries.get(engine, 0))

    def _begin(self, engine: str, now: float) -> list[StreamAction]:
        self._count += 1
        self._tries[engine] = self._tries.get(engine, 0) + 1
        request_id = f"{self._request_id}-{self._count}"
        pace = Pace(self._settings, self._estimate_s, now)
        if self._paused:
            pace.pause()
        self._open.append(_Open(self._count, engine, request_id, pace))
        self._assembly.open(self._count, request_id)
        offset = self._assembly.next_offset
        if offset:
            return [Resume(self._count, engine, request_id, offset)]
        return [Send(self._count, engine, request_id, self._count > 1)]

    def _drop(self, attempt: _Open) -> Cancel:
        self._open.remove(attempt)
        self._assembly.close(attempt.number)
        self._dropped_sent |= attempt.sent
        return attempt.cancel()

    def _fail(self, failure: Failure) -> list[StreamAction]:
        if failure.execution is Execution.NOT_RUN and self._any_sent:
            failure = Failure(ErrorKind.ANSWER_INCOMPLETE, failure.message)
        actions: list[StreamAction] = [attempt.cancel() for attempt in self._open]
        self._open.clear()
        self._result = Fail(failure)
        return [*actions, self._result]
