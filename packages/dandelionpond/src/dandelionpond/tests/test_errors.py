"""Test the closed list of error kinds."""

from dandelionpond.errors import ANSWERS, ErrorKind, Execution


class TestAnswers:
    def test_every_kind_has_one_answer(self):
        """Guard against an error kind that reaches a caller without an answer."""
        assert set(ANSWERS) == set(ErrorKind)

    def test_only_requests_that_did_not_run_may_be_repeated(self):
        """Guard against an answer that invites a second execution."""
        for answer in ANSWERS.values():
            if answer.may_repeat:
                assert answer.execution is Execution.NOT_RUN
