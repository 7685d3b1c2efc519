"""Test how long an upstream is avoided after failures."""

from dandelionpond.placement.health import (
    AVOID_S,
    MAX_AVOID_S,
    Answered,
    Failed,
    HealthTracker,
)


class TestHealthTracker:
    def test_upstream_is_avoided_after_a_failure(self):
        """Guard against new requests to an upstream that just reset a connection."""
        tracker = HealthTracker()
        tracker.record(Failed("a", 10.0))
        assert tracker.is_avoided("a", 10.0 + AVOID_S / 2)
        assert not tracker.is_avoided("a", 10.0 + AVOID_S + 0.1)
        assert not tracker.is_avoided("b", 10.0)

    def test_avoidance_grows_with_failures_up_to_a_maximum(self):
        """Guard against an upstream that is never retried."""
        tracker = HealthTracker()
        for _ in range(30):
            tracker.record(Failed("a", 0.0))
        assert tracker.is_avoided("a", MAX_AVOID_S - 0.1)
        assert not tracker.is_avoided("a", MAX_AVOID_S + 0.1)

    def test_answer_ends_avoidance(self):
        """Guard against an upstream that is still avoided after it has answered."""
        tracker = HealthTracker()
        tracker.record(Failed("a", 0.0))
        tracker.record(Answered("a", 0.1, 0.1))
        assert not tracker.is_avoided("a", 0.1)

    def test_latency_ratio_follows_answer_times(self):
        """Guard against a slow upstream that is rated like a fast one."""
        tracker = HealthTracker()
        for _ in range(30):
            tracker.record(Answered("a", 0.4, 0.1))
        assert 3.5 < tracker.latency_ratio("a") < 4.1
        assert tracker.latency_ratio("new") == 1.0

    def test_removed_upstreams_are_dropped(self):
        """Guard against a table that grows with each restart of an upstream."""
        tracker = HealthTracker()
        tracker.record(Failed("a", 0.0))
        tracker.retain(frozenset())
        assert not tracker.is_avoided("a", 0.1)
