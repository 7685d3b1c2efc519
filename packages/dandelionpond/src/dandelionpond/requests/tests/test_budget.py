"""Test the retry budgets."""

from hypothesis import given, strategies as st

from dandelionpond.requests.budget import RetryBudget, RetryBudgets
from dandelionpond.requests.settings import RequestsSettings


class TestRetryBudget:
    @given(st.lists(st.booleans(), max_size=300))
    def test_retries_stay_within_ratio_and_burst(self, are_requests):
        """Guard against a retry storm when all attempts fail."""
        budget = RetryBudget(RequestsSettings())
        for is_request in are_requests:
            if is_request:
                budget.add_request()
            else:
                budget.take()
            assert budget.taken <= 10 + 0.1 * sum(are_requests) + 1e-6

    def test_ten_requests_earn_one_retry(self):
        """Guard against a rounding error that withholds an earned retry."""
        budget = RetryBudget(RequestsSettings(retry_burst=1))
        assert budget.take() and not budget.take()
        for _ in range(10):
            budget.add_request()
        assert budget.take() and budget.refused == 1


class TestRetryBudgets:
    def test_table_is_bounded(self):
        """Guard against an unbounded table and a retry burst for each new name."""
        budgets = RetryBudgets(RequestsSettings(max_retry_budgets=1))
        assert budgets.get("a") is budgets.get("a")
        assert not budgets.get("b").take() and budgets.at_bound == 1
        budgets.retain(["b"])
        assert budgets.get("b").take()
