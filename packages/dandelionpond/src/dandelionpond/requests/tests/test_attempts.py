"""Test the attempts of a streamed prompt."""

from hypothesis import settings as profile, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from dandelionpond.clock import ManualClock
from dandelionpond.errors import ErrorKind, Execution
from dandelionpond.requests import messages as msg
from dandelionpond.requests.attempts import PromptAttempts
from dandelionpond.requests.budget import RetryBudget
from dandelionpond.requests.settings import RequestsSettings

ENGINES = ("e1", "e2", "e3")


class Run:
    def __init__(self, hedge_after_s=None, estimate_s=1.0, engines=ENGINES, **fields):
        settings = RequestsSettings(**{"silence_factor": 4.0, **fields})
        self.clock = ManualClock()
        self.budget = RetryBudget(settings)
        self.attempts = PromptAttempts(
            "r", engines, settings, self.budget, 1_000.0, estimate_s, hedge_after_s
        )

    def handle(self, event, after=0.0):
        self.clock.advance(after)
        return self.attempts.handle(event, self.clock.monotonic())

    def start(self):
        [send] = self.handle(msg.Started())
        self.attempts.may_send(1, 0.0)
        return send

    def piece(self, attempt, offset, text, after=0.1):
        piece = msg.Piece(attempt, f"r-{attempt}", offset, len(text), text)
        return self.handle(piece, after)

    def tick(self):
        """Advance to the next due time, a little past it, and tick."""
        self.clock.advance(self.attempts.next_tick() + 0.01 - self.clock.monotonic())
        return self.handle(msg.Tick())


class TestAttempts:
    def test_silent_connection_is_tested_while_in_doubt(self):
        """Guard against a working stream that is cut, or text delivered twice."""
        run = Run()
        run.start()
        run.piece(1, 0, "ab")
        assert run.tick() == [msg.Resume(2, "e1", "r-2", 2)]
        run.attempts.may_send(2, run.clock.monotonic())
        assert run.piece(1, 2, "c") == [
            msg.Deliver(2, "c"),
            msg.Cancel(2, "e1", "r-2", True),
        ]
        assert run.piece(2, 2, "cd") == [] and run.attempts.next_offset == 3
        assert run.handle(msg.Finished(1, "r-1", 3)) == [msg.Complete(3)]

    def test_prompt_that_is_placed_again_goes_on_at_its_offset(self):
        """Guard against text that a caller gets twice after another placement."""
        settings = RequestsSettings(max_attempts=1)
        attempts = PromptAttempts(
            "r.2", ("e9",), settings, RetryBudget(settings), 1_000.0, 1.0, offset=5
        )
        assert attempts.handle(msg.Started(), 0.0) == [msg.Resume(1, "e9", "r.2-1", 5)]
        attempts.may_send(1, 0.0)
        piece = msg.Piece(1, "r.2-1", 5, 1, "x")
        assert attempts.handle(piece, 0.1) == [msg.Deliver(5, "x")]
        assert attempts.handle(msg.Finished(1, "r.2-1", 6), 0.2) == [msg.Complete(6)]

    def test_new_connection_wins(self):
        """Guard against a path that lost the connection and holds up the answer."""
        run = Run()
        run.start()
        run.piece(1, 0, "ab")
        run.tick()
        assert run.piece(2, 2, "c") == [
            msg.Deliver(2, "c"),
            msg.Cancel(1, "e1", "r-1", True),
        ]
        assert run.piece(1, 2, "cd") == [] and run.piece(1, 3, "d") == []
        assert run.handle(msg.Finished(1, "r-1", 3)) == []

    def test_second_silence_moves_to_another_engine(self):
        """Guard against a dead engine that is tested again and again."""
        run = Run()
        run.start()
        run.piece(1, 0, "ab")
        run.tick()
        cancel, resume = run.tick()
        assert cancel.attempt == 1 and resume.engine != "e1" and resume.offset == 2
        assert run.tick() == [] and run.attempts.result is None

    def test_engine_that_failed_twice_is_not_the_next_one(self):
        """Guard against a last attempt spent on an engine behind a cut path.

        With two engines the third attempt went to the first engine again, and the
        prompt failed at its deadline although the second engine worked.
        """
        run = Run(engines=("e1", "e2"))
        run.start()
        assert run.tick() == [msg.Send(2, "e1", "r-2", True)]
        actions = run.handle(msg.ConnectFailed(2))
        assert msg.Send(3, "e2", "r-3", True) in actions

    def test_silence_bound_follows_the_pace(self):
        """Guard against a slow stream that is taken for a silent one."""
        run = Run(estimate_s=10.0)
        run.start()
        assert run.attempts.next_tick() == 30.0
        for offset in range(3):
            run.piece(1, offset, "x", after=0.5)
        assert abs(run.attempts.next_tick() - run.clock.monotonic() - 2.0) < 0.01

    def test_pause_of_the_node_is_not_silence(self):
        """Guard against a new attempt for each stream after the node resumes."""
        run = Run()
        run.start()
        run.piece(1, 0, "ab")
        assert run.handle(msg.Tick(), after=300.0) == []
        assert run.handle(msg.Tick(), after=0.1) == []
        assert run.piece(1, 2, "c") == [msg.Deliver(2, "c")]

    def test_lost_piece_and_early_end_resume(self):
        """Guard against an answer with a hole or a missing end."""
        run = Run()
        run.start()
        run.piece(1, 0, "ab")
        run.piece(1, 3, "d")
        cancel, resume = run.handle(msg.Finished(1, "r-1", 4))
        assert cancel.attempt == 1 and resume == msg.Resume(2, "e2", "r-2", 2)
        assert run.piece(2, 2, "cd") == [msg.Deliver(2, "cd")]

    def test_reset_without_budget_is_incomplete(self):
        """Guard against a truncated answer that looks whole."""
        run = Run(retry_burst=0)
        run.start()
        run.piece(1, 0, "ab")
        _, end = run.handle(msg.ConnectionReset(1))
        assert end.failure.kind is ErrorKind.ANSWER_INCOMPLETE

    def test_doubt_outlives_a_refusal(self):
        """Guard against `not_run` after an earlier attempt sent its prompt."""
        run = Run(max_attempts=2)
        run.start()
        run.handle(msg.ConnectionReset(1))
        _, end = run.handle(msg.Refused(2))
        assert end.failure.execution is Execution.MAY_HAVE_RUN
        fresh = Run(max_attempts=1)
        fresh.handle(msg.Started())
        _, end = fresh.handle(msg.ConnectFailed(1))
        assert end.failure.kind is ErrorKind.UPSTREAM_UNREACHABLE

    def test_hedge_only_before_the_first_token_and_within_budget(self):
        """Guard against hedges that double the load."""
        run = Run(hedge_after_s=0.5)
        run.start()
        assert run.tick() == [msg.Send(2, "e2", "r-2", True)]
        assert run.piece(2, 0, "a")[1].attempt == 1
        poor = Run(hedge_after_s=0.5, retry_burst=0)
        poor.start()
        assert poor.tick() == []
        early = Run(hedge_after_s=0.5)
        early.start()
        early.piece(1, 0, "a")
        assert early.attempts.next_tick() > 1.0

    def test_slow_caller_pauses_reading(self):
        """Guard against undelivered text without a bound, and silence while paused."""
        run = Run(undelivered_pieces=2)
        run.start()
        run.piece(1, 0, "a")
        assert run.piece(1, 1, "b") == [msg.Deliver(1, "b"), msg.PauseReading()]
        assert run.attempts.next_tick() == 1_000.0
        for offset in range(2, 6):
            run.piece(1, offset, "c")
        assert run.attempts.dropped_full == 2
        assert run.handle(msg.PiecesConsumed(3), after=50.0) == [msg.ResumeReading()]
        assert run.attempts.next_tick() > run.clock.monotonic()

    def test_attempt_that_starts_while_paused_is_not_silent(self):
        """Guard against attempts that are given up because the caller is slow."""
        run = Run(undelivered_pieces=1)
        run.start()
        run.piece(1, 0, "a")
        run.handle(msg.ConnectionReset(1))
        assert run.handle(msg.Tick(), after=0.1) == []
        assert run.handle(msg.Tick(), after=300.0) == []
        run.handle(msg.PiecesConsumed(1))
        assert isinstance(run.tick()[0], msg.Resume)

    def test_caller_gone_and_deadline_cancel_every_attempt(self):
        """Guard against engine memory that no one releases."""
        for event, after in ((msg.CallerGone(), 0.0), (msg.Tick(), 2_000.0)):
            run = Run()
            run.start()
            run.handle(msg.ConnectionSilent(1))
            run.attempts.may_send(2, run.clock.monotonic())
            *cancels, _ = run.handle(event, after)
            assert [(c.attempt, c.may_hold_memory) for c in cancels] == [
                (1, True),
                (2, True),
            ]
            assert not run.attempts.may_send(2, run.clock.monotonic())


TRUTH = "".join(chr(0x4E00 + number) for number in range(20))


class StreamWorld(RuleBasedStateMachine):
    """Deliver pieces in any order, more than once or never."""

    ages = st.sampled_from([0, 0, 0, 1, 2])
    sizes = st.lists(st.integers(1, 5), min_size=1, max_size=3)

    def __init__(self):
        super().__init__()
        self.run = Run(
            max_attempts=6, retry_burst=9, reorder_pieces=3, undelivered_pieces=3
        )
        self.text = ""
        self.ended = None
        # Messages under way, the offset of each attempt's engine, attempts with memory.
        self.wire = []
        self.engines = {}
        self.holding = set()
        self.waiting = 0
        # Attempts that have sent their end marker.
        self.done = set()
        self.cancelled = set()

    @initialize(hedge=st.sampled_from([None, 0.5]))
    def start(self, hedge):
        self.run.attempts._hedge_after_s = hedge
        self.take(msg.Started())

    def take(self, event, after=0.0):
        actions = self.run.handle(event, after)
        if self.ended is not None:
            assert actions == []
        for action in actions:
            assert self.ended is None
            match action:
                case msg.Send() | msg.Resume():
                    self.engines[action.attempt] = getattr(action, "offset", 0)
                    now = self.run.clock.monotonic()
                    if self.run.attempts.may_send(action.attempt, now):
                        self.holding.add(action.attempt)
                case msg.Cancel():
                    assert action.may_hold_memory or action.attempt not in self.holding
                    self.holding.discard(action.attempt)
                    self.cancelled.add(action.attempt)
                case msg.Deliver():
                    assert action.offset == len(self.text)
                    self.text += action.text
                    self.waiting += 1
                case msg.Complete():
                    assert self.text == TRUTH
                    self.ended = action
                case msg.Fail():
                    self.ended = action
                    assert action.failure.execution is Execution.MAY_HAVE_RUN

    def pick(self, age):
        """Return the newest attempt for 0, an older one for higher numbers."""
        return sorted(self.engines)[-1 - age % len(self.engines)]

    def emit(self, attempt, sizes):
        for size in sizes:
            offset = self.engines[attempt]
            text = TRUTH[offset : offset + size]
            if text:
                piece = msg.Piece(attempt, f"r-{attempt}", offset, len(text), text)
                self.wire.append(piece)
                self.engines[attempt] += len(text)
        if self.engines[attempt] == len(TRUTH) and attempt not in self.done:
            self.done.add(attempt)
            self.wire.append(msg.Finished(attempt, f"r-{attempt}", len(TRUTH)))

    @rule(age=ages, sizes=sizes, back=st.sampled_from([0, 0, 0, 2]))
    def engine_emits(self, age, sizes, back):
        """Emit pieces; an engine that goes back repeats and overlaps earlier ones."""
        attempt = self.pick(age)
        self.engines[attempt] = max(0, self.engines[attempt] - back)
        self.emit(attempt, sizes)

    @rule(age=ages, sizes=sizes, disorder=st.sampled_from([0, 0, 1, 2]))
    def flow(self, age, sizes, disorder):
        """Deliver all that is under way, some of it early and twice."""
        self.emit(self.pick(age), sizes)
        while self.wire:
            index = min(disorder, len(self.wire) - 1)
            event = self.wire.pop(index)
            for _ in range(1 + disorder % 2):
                self.arrive_now(event)
            disorder = 0

    @precondition(lambda self: self.wire)
    @rule(index=st.integers(0, 9))
    def arrive(self, index):
        self.arrive_now(self.wire.pop(index % len(self.wire)))

    def arrive_now(self, event):
        if isinstance(event, msg.Finished):
            # An engine that has sent its end marker holds no memory.
            self.holding.discard(event.attempt)
        text, cancelled = self.text, event.attempt in self.cancelled
        self.take(event, after=0.05)
        assert not cancelled or self.text == text

    @precondition(lambda self: self.wire)
    @rule(index=st.integers(0, 99))
    def lose(self, index):
        self.wire.pop(index % len(self.wire))

    @precondition(lambda self: self.wire)
    @rule(attempt=st.integers(0, 9), request=st.integers(0, 9))
    def foreign(self, attempt, request):
        """Send a piece that claims a wrong attempt or request identifier."""
        if attempt != request:
            offset = len(self.text)
            self.take(msg.Piece(attempt, f"r-{request}", offset, 1, "wrong"))
            self.take(msg.Finished(attempt, f"r-{request}", offset))

    @rule(
        age=ages,
        event=st.sampled_from(
            [msg.ConnectionReset, msg.ConnectionSilent, None, None, None]
        ),
    )
    def fault(self, age, event):
        if event is not None:
            self.take(event(self.pick(age)))

    @rule(wait=st.sampled_from(["short", "short", "short", "due", "pause"]))
    def tick(self, wait):
        due = self.run.attempts.next_tick() - self.run.clock.monotonic()
        after = {"short": 0.01, "due": max(0.0, due) + 0.01, "pause": 20.0}[wait]
        if after < 100.0:
            self.take(msg.Tick(), after)

    @rule(pieces=st.integers(1, 8))
    def caller_takes(self, pieces):
        pieces = min(pieces, self.waiting)
        self.waiting -= pieces
        self.take(msg.PiecesConsumed(pieces))

    @invariant()
    def text_is_a_prefix_and_work_is_bounded(self):
        assert TRUTH.startswith(self.text)
        assert len(self.engines) <= 6
        assert self.run.budget.taken == max(0, len(self.engines) - 1)
        # One flush of the reorder buffer can pass the hard bound of 2 x 3 pieces.
        assert self.waiting <= 6 + 3

    def teardown(self):
        if self.ended is None:
            self.take(msg.Tick(), after=2_000.0)
        assert self.ended is not None
        assert not self.holding


TestStreamWorld = StreamWorld.TestCase
TestStreamWorld.settings = profile(max_examples=150, stateful_step_count=50)
