"""Test the phases of a planned stop."""

from dandelionpond.shutdown.drain import DrainStateMachine
from dandelionpond.shutdown.messages import (
    AnnounceShutdown,
    DrainRequested,
    HandOverReleases,
    InterruptRequests,
    PendingWork,
    Phase,
    RequestsInterrupted,
    Stop,
    StopAdmission,
    Tick,
)
from dandelionpond.shutdown.settings import ShutdownSettings

SETTINGS = ShutdownSettings(drain_timeout_s=100.0)
BUSY = Tick(PendingWork(streams=1, calls=1))
IDLE = Tick(PendingWork())


def draining():
    drain = DrainStateMachine(SETTINGS)
    assert drain.handle_event(DrainRequested(), 0.0) == [AnnounceShutdown()]
    drain.handle_event(BUSY, 4.0)
    assert drain.handle_event(BUSY, 5.0) == [StopAdmission()]
    return drain


class TestDrain:
    def test_requests_are_admitted_until_the_balancer_has_noticed(self):
        """Guard against requests refused while the balancer still sends them."""
        drain = DrainStateMachine(SETTINGS)
        drain.handle_event(DrainRequested(), 0.0)
        assert drain.handle_event(IDLE, 4.9) == []
        assert drain.is_admitting
        assert not drain.is_ready
        assert drain.handle_event(IDLE, 5.0) == [StopAdmission()]
        assert not drain.is_admitting

    def test_requests_finish_and_exit_code_is_zero(self):
        """Guard against a planned stop that interrupts a request."""
        drain = draining()
        for now in range(6, 90):
            assert drain.handle_event(BUSY, float(now)) == []
        assert drain.handle_event(IDLE, 90.0) == [Stop(0)]
        assert drain.handle_event(IDLE, 91.0) == []

    def test_second_signal_cuts_nothing_off(self):
        """Guard against a repeated signal that shortens the drain."""
        drain = draining()
        assert drain.handle_event(DrainRequested(), 6.0) == []
        assert drain.handle_event(BUSY, 7.0) == []
        assert drain.phase is Phase.DRAINING
        assert drain.repeated_signals == 1

    def test_interrupted_requests_give_exit_code_3(self):
        """Guard against an interruption that goes unnoticed."""
        drain = draining()
        for now in range(6, 105):
            assert drain.handle_event(BUSY, float(now)) == []
        assert drain.handle_event(BUSY, 105.0) == [InterruptRequests(2)]
        assert drain.handle_event(BUSY, 106.0) == []
        assert drain.handle_event(IDLE, 107.0) == [Stop(3)]
        other = draining()
        other.handle_event(RequestsInterrupted(1), 6.0)
        assert other.handle_event(IDLE, 7.0) == [Stop(3)]

    def test_pause_ends_phases_but_interrupts_nothing_at_once(self):
        """Guard against streams cut off for the time that the process slept."""
        drain = DrainStateMachine(SETTINGS)
        drain.handle_event(DrainRequested(), 0.0)
        assert drain.handle_event(BUSY, 900.0) == [StopAdmission()]
        other = draining()
        assert other.handle_event(BUSY, 900.0) == []
        assert other.handle_event(IDLE, 901.0) == [Stop(0)]

    def test_unconfirmed_releases_are_handed_over(self):
        """Guard against leaked memory and against a stop that never ends."""
        drain = draining()
        parked = Tick(PendingWork(pending_releases=4))
        for now in range(6, 16):
            assert drain.handle_event(parked, float(now)) == []
        assert drain.handle_event(parked, 16.0) == [HandOverReleases(4), Stop(0)]

    def test_releases_get_a_try_after_a_pause(self):
        """Guard against releases given up for the time that the process slept."""
        drain = draining()
        parked = Tick(PendingWork(pending_releases=4))
        drain.handle_event(parked, 6.0)
        assert drain.handle_event(parked, 600.0) == []
        assert drain.handle_event(IDLE, 601.0) == [Stop(0)]
