"""State machine that moves a node through the phases of a graceful shutdown."""

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
    """State machine of a node's shutdown phases that returns actions for each event.

    Requests in flight are allowed to finish until `drain_timeout_s` has passed. Times
    are seconds of a clock that keeps running while the system is suspended, so a phase
    whose time runs out during a process pause ends at the first tick after the pause.
    That first tick never interrupts requests: they first get the chance to finish or to
    fail by their own deadlines.
    """

    __slots__ = (
        "_announced_at",
        "_idle_since",
        "_interrupted_at",
        "_interrupted_requests",
        "_last_tick_at",
        "_phase",
        "_settings",
        "repeated_signals",
    )

    def __init__(self, settings: ShutdownSettings) -> None:
        self._settings = settings
        self._phase = Phase.SERVING
        self._announced_at = 0.0
        self._idle_since: float | None = None
        self._last_tick_at: float | None = None
        self._interrupted_requests = 0
        self._interrupted_at: float | None = None
        self.repeated_signals = 0

    @property
    def phase(self) -> Phase:
        """The current phase."""
        return self._phase

    @property
    def is_ready(self) -> bool:
        """Whether readiness probes succeed."""
        return self._phase is Phase.SERVING

    @property
    def is_admitting(self) -> bool:
        """Whether new requests are admitted.

        This is still the case after the announcement, because the load balancer sends
        requests until it has noticed that the node is no longer ready.
        """
        return self._phase in (Phase.SERVING, Phase.ANNOUNCED)

    @property
    def exit_code(self) -> int:
        """The exit code: 0 if no request was interrupted so far, otherwise 3."""
        return 3 if self._interrupted_requests else 0

    def configure(self, settings: ShutdownSettings) -> None:
        """Replace the settings; they apply from the next event on."""
        self._settings = settings

    def handle_event(self, event: Event, now: float) -> list[Action]:
        """Process an event and return the actions to perform, in order."""
        match event:
            case DrainRequested():
                return self._start_drain(now)
            case RequestsInterrupted(requests):
                self._interrupted_requests += requests
                return []
            case Tick(pending):
                return self._tick(pending, now)

    def _start_drain(self, now: float) -> list[Action]:
        if self._phase is not Phase.SERVING:
            # Process supervisors may repeat SIGTERM; that must not shorten the drain.
            self.repeated_signals += 1
            return []
        self._phase = Phase.ANNOUNCED
        self._announced_at = self._last_tick_at = now
        return [AnnounceShutdown()]

    def _tick(self, pending: PendingWork, now: float) -> list[Action]:
        settings = self._settings
        last_tick_at = self._last_tick_at
        self._last_tick_at = now
        was_paused = last_tick_at is not None and now - last_tick_at > settings.pause_s
        actions: list[Action] = []
        elapsed_s = now - self._announced_at
        if self._phase is Phase.ANNOUNCED and elapsed_s >= settings.balancer_delay_s:
            self._phase = Phase.DRAINING
            actions.append(StopAdmission())
            # Requests may have been admitted since `pending` was counted, so the node
            # can't stop before the next tick has counted them.
            return actions
        if self._phase is not Phase.DRAINING:
            return actions
        if pending.requests and not self._has_waited_for_interrupted(now):
            self._idle_since = None
            is_timed_out = (
                elapsed_s - settings.balancer_delay_s >= settings.drain_timeout_s
            )
            if is_timed_out and not was_paused and self._interrupted_at is None:
                self._interrupted_at = now
                self._interrupted_requests += pending.requests
                actions.append(InterruptRequests(pending.requests))
            return actions
        if self._idle_since is None:
            # The grace period of a platform leaves no time for two waits in a row.
            self._idle_since = (
                now if self._interrupted_at is None else self._interrupted_at
            )
        idle_s = now - self._idle_since
        if pending.pending_releases:
            if was_paused or idle_s < settings.release_timeout_s:
                return actions
            actions.append(HandOverReleases(pending.pending_releases))
        self._phase = Phase.STOPPED
        actions.append(Stop(self.exit_code))
        return actions

    def _has_waited_for_interrupted(self, now: float) -> bool:
        """Return whether the process no longer waits for requests it interrupted.

        A client that sends no rest of its body, or reads no response, keeps its request
        unfinished until the process is killed.
        """
        interrupted_at = self._interrupted_at
        if interrupted_at is None:
            return False
        return now - interrupted_at >= self._settings.interrupt_timeout_s
