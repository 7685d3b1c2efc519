"""Tests of the step that follows each outcome of an attempt."""

import pytest

from dandelionpond.errors import ERROR_RESPONSES, ErrorKind, Execution
from dandelionpond.forwarding.messages import (
    BrokenResponse,
    Errored,
    NotSent,
    Rejected,
    SilentUpstream,
)
from dandelionpond.forwarding.policy import (
    MAX_UNSENT,
    Disconnect,
    ForwardFailure,
    Progress,
    Refuse,
    Retry,
    next_step,
)

NOT_SENT, REJECTED = NotSent("refused"), Rejected(503)
BROKEN, SILENT, ERRORED = BrokenResponse("reset"), SilentUpstream(1.0), Errored(500)


class TestNextStep:
    @pytest.mark.parametrize(
        ("outcome", "may_repeat", "max_attempts", "expected"),
        [
            (NOT_SENT, False, 1, Retry(False)),
            (REJECTED, False, 2, Retry(True)),
            (REJECTED, False, 1, Refuse(ErrorKind.UPSTREAM_REFUSED)),
            (BROKEN, False, 2, Refuse(ErrorKind.UPSTREAM_FAILED)),
            (SILENT, False, 2, Refuse(ErrorKind.UPSTREAM_FAILED)),
            (ERRORED, False, 2, ForwardFailure()),
            (BROKEN, True, 2, Retry(True)),
            (SILENT, True, 2, Retry(True)),
            (ERRORED, True, 2, Retry(True)),
            (BROKEN, True, 1, Refuse(ErrorKind.UPSTREAM_FAILED)),
            (ERRORED, True, 1, ForwardFailure()),
        ],
    )
    def test_first_attempt(self, outcome, may_repeat, max_attempts, expected):
        """A request must not run twice unless that is permitted.

        It must be retried where that is safe, such as after a rejection.
        """
        assert (
            next_step(outcome, Progress(may_repeat, max_attempts), 1.0, True)
            == expected
        )

    @pytest.mark.parametrize("outcome", [REJECTED, BROKEN, SILENT, ERRORED])
    def test_no_retry_without_budget(self, outcome):
        """Retries must not multiply the load of a failing service."""
        step = next_step(outcome, Progress(True, 3), 1.0, False)
        assert not isinstance(step, Retry)

    def test_unsent_attempts_are_limited_but_need_no_budget(self):
        """A network partition must not use up the whole time of a request."""
        progress = Progress(False, 1)
        steps = [next_step(NOT_SENT, progress, 1.0, False) for _ in range(MAX_UNSENT)]
        assert steps[:-1] == [Retry(False)] * (MAX_UNSENT - 1)
        assert steps[-1] == Refuse(ErrorKind.NO_UPSTREAM)

    def test_started_response_is_disconnected(self):
        """A response that was cut off must not look complete to the client."""
        progress = Progress(True, 1, has_response_started=True)
        assert next_step(BROKEN, progress, 1.0, True) == Disconnect()

    @pytest.mark.parametrize("first", [BROKEN, SILENT, ERRORED])
    @pytest.mark.parametrize("last", [NOT_SENT, REJECTED])
    def test_refusal_after_a_possible_run_does_not_claim_not_run(self, first, last):
        """If an earlier attempt may have run, no status may claim the opposite.

        This happens when the last attempt is rejected or cannot be sent.
        """
        progress = Progress(True, 2)
        next_step(first, progress, 1.0, True)
        step = next_step(last, progress, 1.0, False)
        while isinstance(step, Retry):
            step = next_step(last, progress, 1.0, False)
        assert isinstance(step, Refuse)
        assert ERROR_RESPONSES[step.kind].execution is Execution.MAY_HAVE_RUN
        assert ERROR_RESPONSES[step.kind].status not in (408, 421, 429, 503)

    def test_no_retry_without_time(self):
        """No attempt is sent that could only finish after the client's deadline."""
        assert next_step(NOT_SENT, Progress(True, 2), 0.01, True) == Refuse(
            ErrorKind.DEADLINE_BEFORE_SEND
        )
        assert next_step(SILENT, Progress(True, 2), 0.01, True) == Refuse(
            ErrorKind.DEADLINE_AFTER_SEND
        )
