"""Test what follows each outcome of an attempt, as a table."""

import pytest

from dandelionpond.errors import ERROR_RESPONSES, ErrorKind, Execution
from dandelionpond.forwarding.messages import (
    Broken,
    Errored,
    NotSent,
    Rejected,
    Silent,
)
from dandelionpond.forwarding.policy import (
    MAX_UNSENT,
    BreakOff,
    Deliver,
    Progress,
    Refuse,
    TryAgain,
    after,
)

NOT_SENT, REJECTED = NotSent("refused"), Rejected(503)
BROKEN, SILENT, ERRORED = Broken("reset"), Silent(1.0), Errored(500)


class TestAfter:
    @pytest.mark.parametrize(
        ("outcome", "may_repeat", "attempts", "expected"),
        [
            (NOT_SENT, False, 1, TryAgain(False)),
            (REJECTED, False, 2, TryAgain(True)),
            (REJECTED, False, 1, Refuse(ErrorKind.UPSTREAM_REFUSED)),
            (BROKEN, False, 2, Refuse(ErrorKind.UPSTREAM_FAILED)),
            (SILENT, False, 2, Refuse(ErrorKind.UPSTREAM_FAILED)),
            (ERRORED, False, 2, Deliver()),
            (BROKEN, True, 2, TryAgain(True)),
            (SILENT, True, 2, TryAgain(True)),
            (ERRORED, True, 2, TryAgain(True)),
            (BROKEN, True, 1, Refuse(ErrorKind.UPSTREAM_FAILED)),
            (ERRORED, True, 1, Deliver()),
        ],
    )
    def test_first_attempt(self, outcome, may_repeat, attempts, expected):
        """Guard against a second run, and against giving up where a try is safe."""
        assert after(outcome, Progress(may_repeat, attempts), 1.0, True) == expected

    @pytest.mark.parametrize("outcome", [REJECTED, BROKEN, SILENT, ERRORED])
    def test_no_further_send_without_budget(self, outcome):
        """Guard against retries that multiply when a service fails."""
        step = after(outcome, Progress(True, 3), 1.0, False)
        assert not isinstance(step, TryAgain)

    def test_unsent_attempts_are_free_but_bounded(self):
        """Guard against a cut that keeps a request busy for all its time."""
        progress = Progress(False, 1)
        steps = [after(NOT_SENT, progress, 1.0, False) for _ in range(MAX_UNSENT)]
        assert steps[:-1] == [TryAgain(False)] * (MAX_UNSENT - 1)
        assert steps[-1] == Refuse(ErrorKind.NO_UPSTREAM)

    def test_begun_stream_is_broken_off(self):
        """Guard against an answer that looks complete after a break."""
        progress = Progress(True, 1, has_response_started=True)
        assert after(BROKEN, progress, 1.0, True) == BreakOff()

    @pytest.mark.parametrize("first", [BROKEN, SILENT, ERRORED])
    @pytest.mark.parametrize("last", [NOT_SENT, REJECTED])
    def test_no_refusal_promises_not_run_after_a_run(self, first, last):
        """Guard against a 503 for a request that an earlier attempt ran."""
        progress = Progress(True, 2)
        after(first, progress, 1.0, True)
        step = after(last, progress, 1.0, False)
        while isinstance(step, TryAgain):
            step = after(last, progress, 1.0, False)
        assert isinstance(step, Refuse)
        assert ERROR_RESPONSES[step.kind].execution is Execution.MAY_HAVE_RUN
        assert ERROR_RESPONSES[step.kind].status not in (408, 421, 429, 503)

    def test_no_time_left(self):
        """Guard against a send that can only end after the client has gone."""
        assert after(NOT_SENT, Progress(True, 2), 0.01, True) == Refuse(
            ErrorKind.DEADLINE_BEFORE_SEND
        )
        assert after(SILENT, Progress(True, 2), 0.01, True) == Refuse(
            ErrorKind.DEADLINE_AFTER_SEND
        )
