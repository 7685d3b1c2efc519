"""Tests of the estimated engine load."""

import pytest

from dandelionpond.routing.load import EngineCapacity, LoadReport, LoadTracker
from dandelionpond.routing.settings import RoutingSettings

CAPACITY = EngineCapacity(400_000, 20_000.0, 2_000.0)


def make_tracker(**changes):
    tracker = LoadTracker(RoutingSettings(**changes))
    tracker.set_engines({"a": CAPACITY, "b": CAPACITY})
    return tracker


class TestLoadTracker:
    def test_report_drains_and_own_sends_are_added(self):
        """Requests must not accumulate on an engine between two of its reports."""
        tracker = make_tracker()
        tracker.record_sent("old", "a", 4_000, 5_000, 1, 0.2, now=9.0)
        tracker.record_report(LoadReport("a", 0.5, {1: 10_000.0}, 50_000), now=10.0)
        assert tracker.queue_tokens("a", 1, 10.0) == pytest.approx(0.0)
        assert tracker.queue_tokens("a", 1, 9.6) == pytest.approx(8_000.0)
        tracker.record_sent("new", "a", 4_000, 5_000, 1, 0.2, now=10.0)
        assert tracker.queue_tokens("a", 1, 10.0) == pytest.approx(4_000.0)
        assert tracker.free_tokens("a", 10.0) == pytest.approx(345_000.0)
        tracker.record_first_token("new", 10.3)
        assert tracker.queue_tokens("a", 1, 10.3) == 0.0

    def test_send_at_the_time_of_a_report_is_counted(self):
        """A request sent as the report was made must be counted at least once."""
        tracker = make_tracker()
        tracker.record_sent("r", "a", 4_000, 5_000, 1, 0.2, now=9.5)
        tracker.record_report(LoadReport("a", 0.5, {}, 0), now=10.0)
        assert tracker.queue_tokens("a", 1, 10.0) == pytest.approx(4_000.0)
        assert tracker.free_tokens("a", 10.0) == pytest.approx(395_000.0)

    def test_less_urgent_work_does_not_delay(self):
        """An engine that only runs a long prompt must not be avoided."""
        tracker = make_tracker()
        tracker.record_report(
            LoadReport("a", 0.0, {1: 100.0, 9: 300_000.0}, 300_000), now=1.0
        )
        assert tracker.queue_tokens("a", 1, 1.0) == pytest.approx(100.0)
        assert tracker.queue_tokens("a", 9, 1.0) == pytest.approx(300_100.0)

    def test_older_report_is_ignored(self):
        """A late report must not replace a newer one."""
        tracker = make_tracker()
        tracker.record_report(LoadReport("a", 0.1, {0: 50_000.0}, 0), now=5.0)
        tracker.record_report(LoadReport("a", 2.0, {0: 0.0}, 0), now=5.0)
        tracker.record_report(LoadReport("unknown", 0.0, {}, 0), now=5.0)
        assert tracker.queue_tokens("a", 0, 5.0) > 0
        assert tracker.ignored_reports == 2
        assert tracker.report_age_s("a", 7.0) == pytest.approx(2.1)

    def test_finished_memory_is_free_before_the_next_report(self):
        """A request must not be refused for memory that is known to be free."""
        tracker = make_tracker()
        tracker.record_sent("r", "a", 1_000, 300_000, 1, 1.0, now=1.0)
        tracker.record_report(LoadReport("a", 0.0, {}, 300_000), now=2.0)
        tracker.record_finished("r", 3.0)
        assert tracker.free_tokens("a", 3.0) == pytest.approx(400_000.0)
        tracker.record_report(LoadReport("a", 0.0, {}, 0), now=4.0)
        assert tracker.free_tokens("a", 4.0) == pytest.approx(400_000.0)

    def test_streams_grow_memory_between_reports(self):
        """The growth of running streams must not be counted as free memory."""
        tracker = make_tracker()
        tracker.record_report(LoadReport("a", 0.0, {}, 100_000, running=8), now=1.0)
        assert tracker.free_tokens("a", 3.0) == pytest.approx(296_000.0)

    def test_learns_rate_and_correction_within_bounds(self):
        """Learned factors must follow the observations and stay within bounds."""
        tracker = make_tracker()
        for index in range(100):
            tracker.record_sent(
                f"x{index}", "a", 20_000, 20_000, 1, 1.0, now=10.0 * index
            )
            tracker.record_first_token(f"x{index}", 10.0 * index + 2.0)
            tracker.record_finished(f"x{index}", 10.0 * index + 2.0)
        assert tracker.prefill_rate("a") == pytest.approx(10_000.0, rel=0.05)
        tracker.record_sent("first", "b", 100_000, 100_000, 1, 5.0, now=0.0)
        for index in range(100):
            tracker.record_sent(
                f"y{index}", "b", 4_000, 4_000, 1, 0.001, now=10.0 * index
            )
            tracker.record_first_token(f"y{index}", 10.0 * index + 5.0)
        assert 3.99 < tracker.correction("b") <= 4.0

    def test_ignored_sends_are_counted(self):
        """The table of open requests must be bounded."""
        tracker = make_tracker(max_sends=1)
        for name in ("a", "b"):
            tracker.record_sent(name, "a", 1, 1, 1, 1.0, now=1.0)
        assert tracker.ignored_sends == 1
        tracker.set_engines({"b": CAPACITY})
        assert tracker.engines == ("b",)
        tracker.record_sent("c", "b", 1, 1, 1, 1.0, now=1.0)
        assert tracker.ignored_sends == 1
