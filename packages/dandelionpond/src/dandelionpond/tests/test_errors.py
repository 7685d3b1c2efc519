"""Test the table of error kinds and their HTTP responses."""

from dandelionpond.errors import ERROR_RESPONSES, ErrorKind, Execution


class TestErrorResponses:
    def test_every_kind_has_one_response(self):
        """Guard against an error kind without an HTTP response."""
        assert set(ERROR_RESPONSES) == set(ErrorKind)

    def test_only_requests_that_did_not_run_are_retryable(self):
        """Guard against a response that tells callers to retry what may have run."""
        for response in ERROR_RESPONSES.values():
            if response.is_retryable:
                assert response.execution is Execution.NOT_RUN
