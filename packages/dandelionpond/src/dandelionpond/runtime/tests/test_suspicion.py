"""Test which failed calls raise a suspicion of a worker."""

import pytest

from dandelionpond.errors import ErrorKind
from dandelionpond.runtime.suspicion import FAILURES_TO_SUSPECT, WorkerSuspicion


class FakeGossip:
    """A record of the suspicions that are raised and withdrawn."""

    def __init__(self):
        self.raised, self.withdrawn = [], []

    def raise_suspicion(self, name):
        self.raised.append(name)

    def withdraw_suspicion(self, name):
        self.withdrawn.append(name)


@pytest.fixture
def gossip():
    return FakeGossip()


@pytest.fixture
def suspicion(gossip):
    return WorkerSuspicion(None, gossip)


class TestFailures:
    def test_failed_connection_raises_suspicion_immediately(self, suspicion, gossip):
        """Calls must not keep trying an unreachable worker first."""
        suspicion.record_failure("w", ErrorKind.UPSTREAM_UNREACHABLE, False)
        assert gossip.raised == ["w"]

    @pytest.mark.parametrize(
        "kind", [ErrorKind.UPSTREAM_FAILED, ErrorKind.DEADLINE_AFTER_SEND]
    )
    def test_consecutive_failures_raise_suspicion(self, suspicion, gossip, kind):
        """Consecutive failures must raise a suspicion, a single slow call must not."""
        for _ in range(FAILURES_TO_SUSPECT - 1):
            suspicion.record_failure("w", kind, False)
        suspicion.record_answer("w")
        for _ in range(FAILURES_TO_SUSPECT - 1):
            suspicion.record_failure("w", kind, False)
        assert gossip.raised == []
        suspicion.record_failure("w", kind, False)
        assert gossip.raised == ["w"]

    @pytest.mark.parametrize(
        "kind", [ErrorKind.DEADLINE_AFTER_SEND, ErrorKind.DEADLINE_BEFORE_SEND]
    )
    def test_caller_deadline_raises_no_suspicion(self, suspicion, gossip, kind):
        """Short deadlines of callers must not raise a suspicion of a worker."""
        for _ in range(5):
            suspicion.record_failure("w", kind, True)
        assert gossip.raised == []

    def test_refusal_withdraws_suspicion(self, suspicion, gossip):
        """A worker that answers with a refusal must not be suspected."""
        suspicion.record_failure("w", ErrorKind.UPSTREAM_REFUSED, False)
        assert gossip.withdrawn == ["w"]
