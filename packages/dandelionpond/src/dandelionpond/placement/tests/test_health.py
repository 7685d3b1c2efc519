"""Test how long an upstream that failed is avoided."""

from dandelionpond.placement.health import (
    AVOID_S,
    MAX_AVOID_S,
    Answered,
    Failed,
    HealthTracker,
)


class TestHealthBook:
    def test_failure_is_avoided_for_a_while(self):
        """Guard against work for an upstream that has just reset a connection."""
        book = HealthTracker()
        book.record(Failed("a", 10.0))
        assert book.is_avoided("a", 10.0 + AVOID_S / 2)
        assert not book.is_avoided("a", 10.0 + AVOID_S + 0.1)
        assert not book.is_avoided("b", 10.0)

    def test_repeated_failures_are_avoided_longer_up_to_a_bound(self):
        """Guard against an upstream that is never tried again."""
        book = HealthTracker()
        for _ in range(30):
            book.record(Failed("a", 0.0))
        assert book.is_avoided("a", MAX_AVOID_S - 0.1)
        assert not book.is_avoided("a", MAX_AVOID_S + 0.1)

    def test_answer_ends_it(self):
        """Guard against an upstream that stays out after it has answered."""
        book = HealthTracker()
        book.record(Failed("a", 0.0))
        book.record(Answered("a", 0.1, 0.1))
        assert not book.is_avoided("a", 0.1)

    def test_slowness_follows_the_answers(self):
        """Guard against a slow upstream that looks like any other."""
        book = HealthTracker()
        for _ in range(30):
            book.record(Answered("a", 0.4, 0.1))
        assert 3.5 < book.latency_ratio("a") < 4.1
        assert book.latency_ratio("new") == 1.0

    def test_gone_upstreams_are_forgotten(self):
        """Guard against a table that grows with each restart of an upstream."""
        book = HealthTracker()
        book.record(Failed("a", 0.0))
        book.retain(frozenset())
        assert not book.is_avoided("a", 0.1)
