"""Test the judgement of how long a message waited."""

from dandelionpond.requests.pause_detector import (
    PAUSE_THRESHOLD_S,
    SETTLE_S,
    TICK_S,
    PauseDetector,
)


def ticked(pauses, start, end):
    """Tick at the usual interval."""
    now = start
    while now <= end:
        pauses.tick(now)
        now += TICK_S


class TestPauseDetector:
    def test_running_process_reads_at_once(self):
        """Guard against deadlines that are cut short without a pause."""
        pauses = PauseDetector(0.0)
        ticked(pauses, 0.0, 5.0)
        assert pauses.arrived_at(5.05) == 5.05
        assert pauses.counters.pauses == 0
        assert pauses.counters.aged_messages == 0

    def test_message_is_read_before_the_late_tick(self):
        """Guard against a socket that is read before the timer fires."""
        pauses = PauseDetector(0.0)
        assert pauses.arrived_at(10.0) == 0.0

    def test_message_is_read_after_the_late_tick(self):
        """Guard against a thread that hands the message over a little later."""
        pauses = PauseDetector(0.0)
        pauses.tick(10.0)
        ticked(pauses, 10.0, 10.0 + SETTLE_S / 2)
        assert pauses.arrived_at(10.0 + SETTLE_S / 2) <= 0.0 + 1e-9
        ticked(pauses, 10.0 + SETTLE_S / 2, 10.0 + 2 * SETTLE_S)
        assert pauses.arrived_at(10.0 + 2 * SETTLE_S) == 10.0 + 2 * SETTLE_S
        assert pauses.counters.pauses == 1

    def test_two_pauses_add_up(self):
        """Guard against a second pause that hides the first one."""
        pauses = PauseDetector(0.0)
        pauses.tick(10.0)
        pauses.tick(10.0 + 2 * PAUSE_THRESHOLD_S)
        assert pauses.arrived_at(10.0 + 2 * PAUSE_THRESHOLD_S) <= 1e-9
