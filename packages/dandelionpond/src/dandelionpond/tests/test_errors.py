"""Test the closed list of error kinds."""

from dandelionpond.errors import ERROR_RESPONSES, ErrorKind, Execution


class TestAnswers:
    def test_every_kind_has_one_answer(self):
        """Guard against an error kind that reaches a caller without an answer."""
        assert set(ERROR_RESPONSES) == set(ErrorKind)

    def test_only_requests_that_did_not_run_may_be_repeated(self):
        """Guard against an answer that invites a second execution."""
        for answer in ERROR_RESPONSES.values():
            if answer.is_retryable:
                assert answer.execution is Execution.NOT_RUN
