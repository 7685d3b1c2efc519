"""Test the corrected load of engines."""

import pytest

from dandelionpond.routing.load import EngineCapacity, LoadReport, LoadTracker
from dandelionpond.routing.settings import RoutingSettings

TRAITS = EngineCapacity(400_000, 20_000.0, 2_000.0)


def book(**changes):
    made = LoadTracker(RoutingSettings(**changes))
    made.set_engines({"a": TRAITS, "b": TRAITS})
    return made


class TestLoadBook:
    def test_report_drains_and_own_sends_are_added(self):
        """Guard against piling up on an engine between two of its reports."""
        loads = book()
        loads.record_sent("old", "a", 4_000, 5_000, 1, 0.2, now=9.0)
        loads.record_report(LoadReport("a", 0.5, {1: 10_000.0}, 50_000), now=10.0)
        assert loads.queue_tokens("a", 1, 10.0) == pytest.approx(0.0)
        assert loads.queue_tokens("a", 1, 9.6) == pytest.approx(8_000.0)
        loads.record_sent("new", "a", 4_000, 5_000, 1, 0.2, now=10.0)
        assert loads.queue_tokens("a", 1, 10.0) == pytest.approx(4_000.0)
        assert loads.free_tokens("a", 10.0) == pytest.approx(345_000.0)
        loads.record_first_token("new", 10.3)
        assert loads.queue_tokens("a", 1, 10.3) == 0.0

    def test_send_at_the_time_of_a_report_is_counted(self):
        """Guard against a request that neither the report nor the node counts."""
        loads = book()
        loads.record_sent("r", "a", 4_000, 5_000, 1, 0.2, now=9.5)
        loads.record_report(LoadReport("a", 0.5, {}, 0), now=10.0)
        assert loads.queue_tokens("a", 1, 10.0) == pytest.approx(4_000.0)
        assert loads.free_tokens("a", 10.0) == pytest.approx(395_000.0)

    def test_less_urgent_work_does_not_delay(self):
        """Guard against avoiding an engine that only runs a long prompt."""
        loads = book()
        loads.record_report(
            LoadReport("a", 0.0, {1: 100.0, 9: 300_000.0}, 300_000), now=1.0
        )
        assert loads.queue_tokens("a", 1, 1.0) == pytest.approx(100.0)
        assert loads.queue_tokens("a", 9, 1.0) == pytest.approx(300_100.0)

    def test_older_report_is_ignored(self):
        """Guard against a late report that overwrites a newer one."""
        loads = book()
        loads.record_report(LoadReport("a", 0.1, {0: 50_000.0}, 0), now=5.0)
        loads.record_report(LoadReport("a", 2.0, {0: 0.0}, 0), now=5.0)
        loads.record_report(LoadReport("unknown", 0.0, {}, 0), now=5.0)
        assert loads.queue_tokens("a", 0, 5.0) > 0
        assert loads.ignored_reports == 2
        assert loads.report_age_s("a", 7.0) == pytest.approx(2.1)

    def test_finished_memory_is_free_before_the_next_report(self):
        """Guard against a refusal for memory that is known to be free."""
        loads = book()
        loads.record_sent("r", "a", 1_000, 300_000, 1, 1.0, now=1.0)
        loads.record_report(LoadReport("a", 0.0, {}, 300_000), now=2.0)
        loads.record_finished("r", 3.0)
        assert loads.free_tokens("a", 3.0) == pytest.approx(400_000.0)
        loads.record_report(LoadReport("a", 0.0, {}, 0), now=4.0)
        assert loads.free_tokens("a", 4.0) == pytest.approx(400_000.0)

    def test_streams_grow_memory_between_reports(self):
        """Guard against filling an engine whose streams are still growing."""
        loads = book()
        loads.record_report(LoadReport("a", 0.0, {}, 100_000, running=8), now=1.0)
        assert loads.free_tokens("a", 3.0) == pytest.approx(296_000.0)

    def test_learns_rate_and_correction_within_bounds(self):
        """Guard against estimates that stay wrong or run away."""
        loads = book()
        for index in range(100):
            loads.record_sent(
                f"x{index}", "a", 20_000, 20_000, 1, 1.0, now=10.0 * index
            )
            loads.record_first_token(f"x{index}", 10.0 * index + 2.0)
            loads.record_finished(f"x{index}", 10.0 * index + 2.0)
        assert loads.prefill_rate("a") == pytest.approx(10_000.0, rel=0.05)
        loads.record_sent("first", "b", 100_000, 100_000, 1, 5.0, now=0.0)
        for index in range(100):
            loads.record_sent(
                f"y{index}", "b", 4_000, 4_000, 1, 0.001, now=10.0 * index
            )
            loads.record_first_token(f"y{index}", 10.0 * index + 5.0)
        assert 3.99 < loads.correction("b") <= 4.0

    def test_sends_beyond_the_bound_are_counted(self):
        """Guard against a table that grows without limit."""
        loads = book(max_sends=1)
        for name in ("a", "b"):
            loads.record_sent(name, "a", 1, 1, 1, 1.0, now=1.0)
        assert loads.ignored_sends == 1
        loads.set_engines({"b": TRAITS})
        assert loads.engines == ("b",)
        loads.record_sent("c", "b", 1, 1, 1, 1.0, now=1.0)
        assert loads.ignored_sends == 1
