"""Test the detection of process pauses."""

from dandelionpond.requests.pause_detector import (
    PAUSE_THRESHOLD_S,
    SETTLE_S,
    TICK_S,
    PauseDetector,
)


def tick_until(detector, start, end):
    """Call `tick` at its usual interval."""
    now = start
    while now <= end:
        detector.tick(now)
        now += TICK_S


class TestPauseDetector:
    def test_running_process_has_no_pause(self):
        """Guard against shortened deadlines without a pause."""
        detector = PauseDetector(0.0)
        tick_until(detector, 0.0, 5.0)
        assert detector.arrived_at(5.05) == 5.05
        assert detector.counters.pauses == 0
        assert detector.counters.aged_messages == 0

    def test_message_is_read_before_the_late_tick(self):
        """Guard against a time limit that counts from the read instead of the arrival.

        After a pause the event loop can read a socket before the timer calls `tick`.
        """
        detector = PauseDetector(0.0)
        assert detector.arrived_at(10.0) == 0.0

    def test_message_is_read_after_the_late_tick(self):
        """Guard against a time limit that counts from the read instead of the arrival.

        A thread can pass on a message from before the pause after `tick` has run.
        """
        detector = PauseDetector(0.0)
        detector.tick(10.0)
        tick_until(detector, 10.0, 10.0 + SETTLE_S / 2)
        assert detector.arrived_at(10.0 + SETTLE_S / 2) <= 0.0 + 1e-9
        tick_until(detector, 10.0 + SETTLE_S / 2, 10.0 + 2 * SETTLE_S)
        assert detector.arrived_at(10.0 + 2 * SETTLE_S) == 10.0 + 2 * SETTLE_S
        assert detector.counters.pauses == 1

    def test_two_pauses_add_up(self):
        """Guard against a second pause that hides the first one."""
        detector = PauseDetector(0.0)
        detector.tick(10.0)
        detector.tick(10.0 + 2 * PAUSE_THRESHOLD_S)
        assert detector.arrived_at(10.0 + 2 * PAUSE_THRESHOLD_S) <= 1e-9
