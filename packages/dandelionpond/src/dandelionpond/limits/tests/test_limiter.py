"""Test admission by client account."""

import pytest
from hypothesis import given, strategies as st

from dandelionpond.errors import ErrorKind
from dandelionpond.limits.limiter import (
    AccountLimiter,
    Admitted,
    Refused,
    decide_limit,
)
from dandelionpond.limits.messages import Share
from dandelionpond.limits.settings import AccountLimits, LimitsSettings

LIMITS = {"a": AccountLimits(tokens_per_s=1_000.0, burst_tokens=5_000.0, concurrency=4)}


def limiter(tokens=1_000.0, concurrency=4):
    made = AccountLimiter(LimitsSettings())
    made.set_shares(LIMITS, {"a": Share(tokens, concurrency)}, 0.0)
    return made


class TestAccountLimiter:
    def test_unknown_account_is_refused(self):
        """Guard against work that no account pays for."""
        refused = limiter().admit("b", 1, 0.0)
        assert refused == Refused(ErrorKind.NOT_PERMITTED, None)

    def test_rate_and_time_to_come_back(self):
        """Guard against a Retry-After at which the same request is refused again."""
        limits = limiter()
        assert limits.admit("a", 5_000, 0.0) == Admitted("a", 5_000)
        refused = limits.admit("a", 2_000, 0.0, "r")
        assert isinstance(refused, Refused)
        assert refused.kind is ErrorKind.RATE_LIMITED
        assert refused.retry_after_s == pytest.approx(2.0)
        assert refused.limit_input.request_id == "r"
        assert decide_limit(refused.limit_input) == refused.outcome
        assert isinstance(limits.admit("a", 2_000, 2.0), Admitted)

    def test_prompt_over_the_burst_leaves_a_debt(self):
        """Guard against a long prompt that can never be admitted or is free."""
        limits = limiter()
        assert isinstance(limits.admit("a", 20_000, 0.0), Admitted)
        refused = limits.admit("a", 1_000, 0.0)
        assert refused.retry_after_s == pytest.approx(16.0)

    def test_concurrency_and_correction_at_the_end(self):
        """Guard against requests that keep their place after their end."""
        limits = limiter(concurrency=1)
        admitted = limits.admit("a", 3_000, 0.0)
        refused = limits.admit("a", 1, 0.0)
        assert refused.kind is ErrorKind.CONCURRENCY_LIMITED
        limits.finish(admitted, 1_000, 0.0)
        assert limits.in_flight("a") == 0
        assert isinstance(limits.admit("a", 4_000, 0.0), Admitted)

    def test_smaller_share_bounds_the_level(self):
        """Guard against a burst kept from a larger share."""
        limits = limiter()
        limits.set_shares(LIMITS, {"a": Share(100.0, 4)}, 0.0)
        limits.admit("a", 500, 0.0)
        assert limits.admit("a", 500, 0.0).retry_after_s == pytest.approx(5.0)
        limits.set_shares({}, {}, 0.0)
        assert isinstance(limits.admit("a", 1, 0.0), Refused)

    @given(
        st.lists(st.tuples(st.floats(0.0, 3.0), st.floats(1.0, 20_000.0)), max_size=60)
    )
    def test_admitted_tokens_stay_within_the_stated_bound(self, requests):
        """Guard against more than rate times time, one burst and one prompt."""
        limits = limiter(concurrency=1_000)
        now = total = largest = 0.0
        for pause, tokens in requests:
            now += pause
            if isinstance(limits.admit("a", tokens, now), Admitted):
                total += tokens
                largest = max(largest, tokens)
        assert total <= 1_000.0 * now + 5_000.0 + largest + 1.0
