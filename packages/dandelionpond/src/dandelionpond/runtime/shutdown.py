"""Carry out a planned stop."""

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

TICK_S = 0.1


class ShutdownRunner:
    """Drive `DrainStateMachine` from the first signal to the end of the process.

    `load` counts the work in flight, `announce` tells peers, `stop_admission` refuses
    new requests, `interrupt` cuts off what is left and `stopped` ends the node.
    """

    def __init__(
        self,
        core: Core,
        load: Callable[[], PendingWork],
        announce: Callable[[], None],
        stop_admission: Callable[[], Awaitable[None]],
        interrupt: Callable[[], None],
        stopped: Callable[[int], None],
    ) -> None:
        self._core = core
        self._load = load
        self._announce = announce
        self._stop_admission = stop_admission
        self._interrupt = interrupt
        self._stopped = stopped
        self.drain = DrainStateMachine(core.settings.shutdown)
        core.on_settings.append(self._configure)

    def start_drain(self) -> None:
        """Start the stop; a repeated call changes nothing."""
        was_ready = self.drain.is_ready
        self._handle(DrainRequested())
        if was_ready:
            self._core.tasks.every(lambda: TICK_S, self._tick, "shutdown")

    def _configure(self, settings: Settings) -> None:
        self.drain.configure(settings.shutdown)

    async def _tick(self) -> None:
        self._handle(Tick(self._load()))

    def _handle(self, event: Event) -> None:
        for action in self.drain.handle_event(event, self._core.now()):
            self._perform(action)

    def _perform(self, action: Action) -> None:
        match action:
            case AnnounceShutdown():
                log.info("leaving announced")
                self._announce()
            case StopAdmission():
                log.info("draining")
                self._core.tasks.spawn(self._close(), "stop-admission")
            case InterruptRequests(requests):
                log.warning("requests interrupted", extra={"requests": requests})
                self._interrupt()
            case HandOverReleases(releases):
                log.warning("releases left to peers", extra={"releases": releases})
            case Stop(exit_code):
                log.info("stopped", extra={"exit_code": exit_code})
                self._stopped(exit_code)

    async def _close(self) -> None:
        await self._stop_admission()
