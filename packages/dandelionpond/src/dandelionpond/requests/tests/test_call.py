"""Test the decisions of a plain call."""

import pytest

from dandelionpond.clock import ManualClock
from dandelionpond.config.schema import Service
from dandelionpond.errors import ErrorKind, Execution
from dandelionpond.requests import messages as msg
from dandelionpond.requests.budget import RetryBudget
from dandelionpond.requests.call import Call
from dandelionpond.requests.settings import RequestsSettings

PAY = Service(timeout_s=5.0)
STOCK = Service(idempotent=True, timeout_s=5.0)
TRUSTED = Service(states_not_run=True)
OUTCOME = msg.Outcome(200, b"ok")


class Run:
    def __init__(self, rule=PAY, workers=("w1", "w2"), burst=10, send_until=None):
        self.rule = rule
        self.clock = ManualClock(100.0)
        settings = RequestsSettings(retry_burst=burst)
        self.budget = RetryBudget(settings)
        self.call = Call(
            "r", workers, rule, settings, self.budget, 120.0, send_until=send_until
        )

    def handle(self, event, after=0.0):
        self.clock.advance(after)
        return self.call.handle(event, self.rule, self.clock.monotonic())

    def start(self, sent=True):
        [send] = self.handle(msg.Started())
        if sent:
            assert self.call.may_send(send.attempt, self.clock.monotonic())
        return send


class TestCall:
    def test_answer_ends_the_call(self):
        """Guard against a second end of one call."""
        run = Run()
        run.start()
        assert run.handle(msg.Answered(1, "r-1", OUTCOME)) == [msg.AnswerCall(OUTCOME)]
        assert run.handle(msg.ConnectionReset(1)) == [] and run.call.late_events == 1

    @pytest.mark.parametrize(
        "event,rule,kind",
        [
            (msg.ConnectionReset(1), PAY, ErrorKind.UPSTREAM_FAILED),
            (msg.InvalidAnswer(1), PAY, ErrorKind.UPSTREAM_INVALID),
            (msg.AnswerTooLarge(1), STOCK, ErrorKind.ANSWER_TOO_LARGE),
            (msg.Answered(1, "other", OUTCOME), PAY, ErrorKind.UPSTREAM_INVALID),
            (msg.Answered(1, "r-1", OUTCOME, True), PAY, ErrorKind.UPSTREAM_FAILED),
        ],
    )
    def test_doubt_is_not_retried(self, event, rule, kind):
        """Guard against a second execution after a byte may have left."""
        run = Run(rule)
        run.start()
        [end] = run.handle(event)
        assert isinstance(end, msg.FailCall) and end.failure.kind is kind

    @pytest.mark.parametrize(
        "event,rule,sent",
        [
            (msg.ConnectFailed(1), PAY, False),
            (msg.ConnectionReset(1), PAY, False),
            (msg.Answered(1, "r-1", OUTCOME, True), TRUSTED, True),
            (msg.ConnectionReset(1), STOCK, True),
        ],
    )
    def test_safe_failure_goes_to_another_worker(self, event, rule, sent):
        """Guard against a caller that sees a failure which a retry would hide."""
        run = Run(rule)
        assert run.start(sent).worker == "w1"
        [send] = run.handle(event)
        assert isinstance(send, msg.SendCall)
        assert (send.worker, send.request_id) == ("w2", "r-2")
        assert send.new_connection is not rule.idempotent

    @pytest.mark.parametrize("now_rule", [PAY, None])
    def test_changed_rule_stops_retries(self, now_rule):
        """Guard against a repeat after a service ceased to be idempotent."""
        run = Run(STOCK)
        run.start()
        run.rule = now_rule
        [end] = run.handle(msg.ConnectionReset(1))
        assert end.failure.execution is Execution.MAY_HAVE_RUN

    def test_rule_that_became_idempotent_later_permits_no_retry(self):
        """Guard against a repeat of a call that was admitted as non-idempotent."""
        run = Run(PAY)
        run.start()
        run.rule = STOCK
        assert isinstance(run.handle(msg.ConnectionReset(1))[0], msg.FailCall)

    def test_doubt_outlives_a_harmless_last_attempt(self):
        """Guard against `not_run` when only the last of two attempts did not run."""
        run = Run(STOCK, burst=1)
        run.start()
        run.handle(msg.ConnectionReset(1))
        [end] = run.handle(msg.ConnectFailed(2))
        assert end.failure.kind is ErrorKind.UPSTREAM_FAILED

    def test_attempts_are_bounded(self):
        """Guard against retries without end."""
        run = Run()
        run.start(sent=False)
        run.handle(msg.ConnectFailed(1))
        run.handle(msg.ConnectFailed(2))
        [end] = run.handle(msg.ConnectFailed(3))
        assert end.failure.kind is ErrorKind.UPSTREAM_UNREACHABLE
        assert run.budget.taken == 2

    def test_deadline_tells_whether_a_byte_left(self):
        """Guard against one deadline answer for both cases."""
        for sent, kind in (
            (False, ErrorKind.DEADLINE_BEFORE_SEND),
            (True, ErrorKind.DEADLINE_AFTER_SEND),
        ):
            run = Run()
            run.start(sent)
            cancel, end = run.handle(msg.Tick(), after=20.0)
            assert cancel == msg.CancelCall(1) and end.failure.kind is kind

    def test_silent_worker_times_out(self):
        """Guard against one silent worker that takes the whole deadline."""
        run = Run(STOCK)
        run.start()
        assert run.call.next_tick() == 105.0
        cancel, send = run.handle(msg.Tick(), after=5.0)
        assert cancel == msg.CancelCall(1) and send.worker == "w2"

    def test_pause_forbids_the_send(self):
        """Guard against a send that was decided before a pause."""
        run = Run(send_until=102.0)
        run.start(sent=False)
        assert not run.call.may_send(1, 102.0)
        run.clock.advance(2.0)
        [end] = run.handle(msg.ConnectFailed(1))
        assert end.failure.execution is Execution.NOT_RUN
        late = Run(send_until=102.0)
        [end] = late.handle(msg.Started(), after=3.0)
        assert end.failure.kind is ErrorKind.DEADLINE_BEFORE_SEND

    def test_abandoned_attempt_may_not_send(self):
        """Guard against two attempts that send after one was taken for unsent."""
        run = Run()
        run.start(sent=False)
        run.handle(msg.Tick(), after=5.0)
        assert not run.call.may_send(1, 105.0) and run.call.may_send(2, 105.0)

    def test_caller_gone_cancels(self):
        """Guard against an upstream call that nobody waits for."""
        run = Run()
        run.start()
        cancel, end = run.handle(msg.CallerGone())
        assert cancel == msg.CancelCall(1)
        assert end.failure.kind is ErrorKind.CALLER_GONE

    def test_late_event_of_an_earlier_attempt(self):
        """Guard against a late reset that ends the attempt after it."""
        run = Run()
        run.start(sent=False)
        run.handle(msg.ConnectFailed(1))
        assert run.handle(msg.ConnectionReset(1)) == [] and run.call.result is None

    def test_no_worker(self):
        """Guard against an exception when all workers left."""
        [end] = Run(workers=()).handle(msg.Started())
        assert end.failure.kind is ErrorKind.NO_UPSTREAM
