"""Runner of a graceful shutdown."""

import logging
from collections.abc import Awaitable, Callable

from dandelionpond.config.schema import Settings
from dandelionpond.runtime.core import Core
from dandelionpond.shutdown.drain import DrainStateMachine
from dandelionpond.shutdown.messages import (
    Action,
    AnnounceShutdown,
    DrainRequested,
    Event,
    HandOverReleases,
    InterruptRequests,
    PendingWork,
    Stop,
    StopAdmission,
    Tick,
)

log = logging.getLogger("dandelionpond.shutdown")

TICK_INTERVAL_S = 0.1


class ShutdownRunner:
    """The runner of a `DrainStateMachine` until the process can exit.

    `announce` informs the peers, `stop_admission` refuses new requests,
    `interrupt_requests` cancels those still running at the drain timeout, and
    `on_stopped` receives the exit code.
    """

    def __init__(
        self,
        core: Core,
        count_pending_work: Callable[[], PendingWork],
        announce: Callable[[], None],
        stop_admission: Callable[[], Awaitable[None]],
        interrupt_requests: Callable[[], None],
        on_stopped: Callable[[int], None],
    ) -> None:
        self._core = core
        self._count_pending_work = count_pending_work
        self._announce = announce
        self._stop_admission = stop_admission
        self._interrupt_requests = interrupt_requests
        self._on_stopped = on_stopped
        self.drain = DrainStateMachine(core.settings.shutdown)
        core.settings_listeners.append(self._configure)

    def start_drain(self) -> None:
        """Start the shutdown; repeated calls have no effect."""
        was_ready = self.drain.is_ready
        self._handle(DrainRequested())
        if was_ready:
            self._core.tasks.every(lambda: TICK_INTERVAL_S, self._tick, "shutdown")

    def _configure(self, settings: Settings) -> None:
        self.drain.configure(settings.shutdown)

    async def _tick(self) -> None:
        self._handle(Tick(self._count_pending_work()))

    def _handle(self, event: Event) -> None:
        for action in self.drain.handle_event(event, self._core.now()):
            self._perform(action)

    def _perform(self, action: Action) -> None:
        match action:
            case AnnounceShutdown():
                log.info("shutdown announced to peers")
                self._announce()
            case StopAdmission():
                log.info("draining")
                self._core.tasks.spawn(self._call_stop_admission(), "stop-admission")
            case InterruptRequests(requests):
                log.warning("requests interrupted", extra={"requests": requests})
                self._interrupt_requests()
            case HandOverReleases(releases):
                log.warning(
                    "pending releases handed over to peers",
                    extra={"releases": releases},
                )
            case Stop(exit_code):
                log.info("stopped", extra={"exit_code": exit_code})
                self._on_stopped(exit_code)

    async def _call_stop_admission(self) -> None:
        await self._stop_admission()
