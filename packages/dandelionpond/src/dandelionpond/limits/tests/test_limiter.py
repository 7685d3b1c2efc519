"""Test the limits of client accounts."""

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


def make_limiter(tokens=1_000.0, concurrency=4):
    limiter = AccountLimiter(LimitsSettings())
    limiter.set_shares(LIMITS, {"a": Share(tokens, concurrency)}, 0.0)
    return limiter


class TestAccountLimiter:
    def test_unknown_account_is_refused(self):
        """Guard against requests that are not charged to any account."""
        refused = make_limiter().admit("b", 1, 0.0)
        assert refused == Refused(ErrorKind.NOT_PERMITTED, None)

    def test_rate_and_retry_after(self):
        """Guard against a Retry-After that is too short for the same request."""
        limiter = make_limiter()
        assert limiter.admit("a", 5_000, 0.0) == Admitted("a", 5_000)
        refused = limiter.admit("a", 2_000, 0.0, "r")
        assert isinstance(refused, Refused)
        assert refused.kind is ErrorKind.RATE_LIMITED
        assert refused.retry_after_s == pytest.approx(2.0)
        assert refused.limit_input.request_id == "r"
        assert decide_limit(refused.limit_input) == refused.outcome
        assert isinstance(limiter.admit("a", 2_000, 2.0), Admitted)

    def test_prompt_over_the_burst_delays_the_next_request(self):
        """Guard against a long prompt that is never admitted or not fully charged."""
        limiter = make_limiter()
        assert isinstance(limiter.admit("a", 20_000, 0.0), Admitted)
        refused = limiter.admit("a", 1_000, 0.0)
        assert refused.retry_after_s == pytest.approx(16.0)

    def test_finish_frees_concurrency_and_unused_tokens(self):
        """Guard against requests that count as in flight after their end."""
        limiter = make_limiter(concurrency=1)
        admitted = limiter.admit("a", 3_000, 0.0)
        refused = limiter.admit("a", 1, 0.0)
        assert refused.kind is ErrorKind.CONCURRENCY_LIMITED
        limiter.finish(admitted, 1_000, 0.0)
        assert limiter.in_flight("a") == 0
        assert isinstance(limiter.admit("a", 4_000, 0.0), Admitted)

    def test_smaller_share_bounds_the_level(self):
        """Guard against a burst that exceeds a reduced share."""
        limiter = make_limiter()
        limiter.set_shares(LIMITS, {"a": Share(100.0, 4)}, 0.0)
        limiter.admit("a", 500, 0.0)
        assert limiter.admit("a", 500, 0.0).retry_after_s == pytest.approx(5.0)
        limiter.set_shares({}, {}, 0.0)
        assert isinstance(limiter.admit("a", 1, 0.0), Refused)

    @given(
        st.lists(st.tuples(st.floats(0.0, 3.0), st.floats(1.0, 20_000.0)), max_size=60)
    )
    def test_admitted_tokens_stay_within_the_stated_bound(self, requests):
        """Guard against more tokens than rate times time, one burst and one prompt."""
        limiter = make_limiter(concurrency=1_000)
        now = total = largest = 0.0
        for delay, tokens in requests:
            now += delay
            if isinstance(limiter.admit("a", tokens, now), Admitted):
                total += tokens
                largest = max(largest, tokens)
        assert total <= 1_000.0 * now + 5_000.0 + largest + 1.0
