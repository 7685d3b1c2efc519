"""Decide the phases of a planned stop."""

from dandelionpond.shutdown.messages import (
    Action,
    AnnounceShutdown,
    DrainRequested,
    Event,
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


class DrainStateMachine:
    """Move from serving to stopped without cutting off a request.

    Times are seconds of a clock that counts suspend, so a phase that ends during a
    pause ends at the first tick after it. The first tick after a pause never
    interrupts: it lets requests finish or fail by their own deadlines first.
    """

    __slots__ = (
        "_announced_at",
        "_idle_since",
        "_interrupted",
        "_is_interrupting",
        "_last_tick",
        "_phase",
        "_settings",
        "repeated_signals",
    )

    def __init__(self, settings: ShutdownSettings) -> None:
        self._settings = settings
        self._phase = Phase.SERVING
        self._announced_at = 0.0
        self._idle_since: float | None = None
        self._last_tick: float | None = None
        self._interrupted = 0
        self._is_interrupting = False
        self.repeated_signals = 0

    @property
    def phase(self) -> Phase:
        """Return the present phase."""
        return self._phase

    @property
    def is_ready(self) -> bool:
        """Say whether readiness probes get yes."""
        return self._phase is Phase.SERVING

    @property
    def is_admitting(self) -> bool:
        """Say whether new requests are admitted; the balancer still sends some."""
        return self._phase in (Phase.SERVING, Phase.ANNOUNCED)

    @property
    def exit_code(self) -> int:
        """Return 0 if no request was interrupted so far, and 3 otherwise."""
        return 3 if self._interrupted else 0

    def configure(self, settings: ShutdownSettings) -> None:
        """Take new settings from the next event on."""
        self._settings = settings

    def handle_event(self, event: Event, now: float) -> list[Action]:
        """Take in an event and return what is to be done, in order."""
        match event:
            case DrainRequested():
                return self._terminate(now)
            case RequestsInterrupted(requests):
                self._interrupted += requests
                return []
            case Tick(pending):
                return self._tick(pending, now)

    def _terminate(self, now: float) -> list[Action]:
        if self._phase is not Phase.SERVING:
            # Supervisors repeat the signal; it must not shorten the drain.
            self.repeated_signals += 1
            return []
        self._phase = Phase.ANNOUNCED
        self._announced_at = self._last_tick = now
        return [AnnounceShutdown()]

    def _tick(self, pending: PendingWork, now: float) -> list[Action]:
        settings = self._settings
        last = self._last_tick
        self._last_tick = now
        is_resumed = last is not None and now - last > settings.pause_s
        actions: list[Action] = []
        elapsed = now - self._announced_at
        if self._phase is Phase.ANNOUNCED and elapsed >= settings.balancer_delay_s:
            self._phase = Phase.DRAINING
            actions.append(StopAdmission())
            # Requests admitted since this load was counted must be seen first.
            return actions
        if self._phase is not Phase.DRAINING:
            return actions
        if pending.requests:
            self._idle_since = None
            is_over = elapsed - settings.balancer_delay_s >= settings.drain_timeout_s
            if is_over and not is_resumed and not self._is_interrupting:
                self._is_interrupting = True
                self._interrupted += pending.requests
                actions.append(InterruptRequests(pending.requests))
            return actions
        if self._idle_since is None:
            self._idle_since = now
        waited = now - self._idle_since
        if pending.pending_releases:
            if is_resumed or waited < settings.release_timeout_s:
                return actions
            actions.append(HandOverReleases(pending.pending_releases))
        self._phase = Phase.STOPPED
        actions.append(Stop(self.exit_code))
        return actions
