"""Test what failed calls say of a worker."""

import pytest

from dandelionpond.errors import ErrorKind
from dandelionpond.runtime.suspicion import FAILURES_TO_SUSPECT, WorkerSuspicion


class Heard:
    """Note what gossip is told."""

    def __init__(self):
        self.suspected, self.trusted = [], []

    def raise_suspicion(self, name):
        self.suspected.append(name)

    def withdraw_suspicion(self, name):
        self.trusted.append(name)


@pytest.fixture
def gossip():
    return Heard()


@pytest.fixture
def suspicion(gossip):
    return WorkerSuspicion(None, gossip)


class TestFailures:
    def test_no_connection_counts_at_once(self, suspicion, gossip):
        """Guard against calls that each try a dead worker first."""
        suspicion.record_failure("w", ErrorKind.UPSTREAM_UNREACHABLE, False)
        assert gossip.suspected == ["w"]

    @pytest.mark.parametrize(
        "kind", [ErrorKind.UPSTREAM_FAILED, ErrorKind.DEADLINE_AFTER_SEND]
    )
    def test_late_answers_count_in_a_row(self, suspicion, gossip, kind):
        """Guard against a worker taken out by one slow call, and against none."""
        for _ in range(FAILURES_TO_SUSPECT - 1):
            suspicion.record_failure("w", kind, False)
        suspicion.record_answer("w")
        for _ in range(FAILURES_TO_SUSPECT - 1):
            suspicion.record_failure("w", kind, False)
        assert gossip.suspected == []
        suspicion.record_failure("w", kind, False)
        assert gossip.suspected == ["w"]

    @pytest.mark.parametrize(
        "kind", [ErrorKind.DEADLINE_AFTER_SEND, ErrorKind.DEADLINE_BEFORE_SEND]
    )
    def test_deadline_of_the_caller_proves_nothing(self, suspicion, gossip, kind):
        """Guard against impatient callers that take out a worker."""
        for _ in range(5):
            suspicion.record_failure("w", kind, True)
        assert gossip.suspected == []

    def test_refusal_is_an_answer(self, suspicion, gossip):
        """Guard against suspicion of a worker that answers."""
        suspicion.record_failure("w", ErrorKind.UPSTREAM_REFUSED, False)
        assert gossip.trusted == ["w"]
