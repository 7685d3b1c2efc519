"""Test refusal by estimate and the windows toward engines."""

import pytest

from dandelionpond.errors import ErrorKind, Execution
from dandelionpond.limits.admission import (
    AdmissionController,
    EngineWindows,
    admission_failure,
    decide_admission,
)
from dandelionpond.limits.settings import LimitsSettings


class TestAdmission:
    @pytest.mark.parametrize(
        ("before", "needed", "remaining", "retry"),
        [
            (0.0, 1.0, 2.0, None),
            (10_000.0, 1.0, 2.0, None),
            (20_000.0, 1.0, 2.0, 2.0),
            (0.0, 3.0, 2.0, 1.0),
            (1e9, 1.0, 2.0, 60.0),
        ],
    )
    def test_refuses_what_cannot_finish(self, before, needed, remaining, retry):
        """Guard against work that misses its deadline and displaces other work."""
        admission = AdmissionController(LimitsSettings(), 10_000.0)
        made, outcome = admission.check(before, needed, remaining, "r")
        assert outcome.is_admitted == (retry is None)
        assert decide_admission(made) == outcome
        assert admission.refused == (retry is not None)
        if retry is not None:
            failure = admission_failure(made, outcome)
            assert failure.kind is ErrorKind.DEADLINE_UNREACHABLE
            assert failure.execution is Execution.NOT_RUN
            assert failure.retry_after_s == retry

    def test_learns_only_from_a_backlog(self):
        """Guard against a rate that falls because little is asked for."""
        admission = AdmissionController(LimitsSettings(), 10_000.0)
        for _ in range(100):
            admission.record_served(100.0, 1.0, backlogged=False)
        assert admission.rate_tokens_per_s == 10_000.0
        for _ in range(100):
            admission.record_served(5_000.0, 1.0, backlogged=True)
        assert admission.rate_tokens_per_s == pytest.approx(5_000.0, rel=0.02)


class TestEngineWindows:
    def test_closes_at_the_time_in_the_settings(self):
        """Guard against queues that form in engines, where no account is known."""
        windows = EngineWindows(LimitsSettings(engine_queue_s=0.25))
        assert windows.is_open(5_000.0, 20_000.0)
        assert not windows.is_open(5_001.0, 20_000.0)
        assert windows.held_back == 1

    def test_opens_further_with_waiting_time(self):
        """Guard against a request for which no engine is ever idle enough."""
        windows = EngineWindows(LimitsSettings(engine_queue_s=0.25))
        assert not windows.is_open(20_000.0, 20_000.0, 7.0)
        assert windows.is_open(20_000.0, 20_000.0, 8.0)
