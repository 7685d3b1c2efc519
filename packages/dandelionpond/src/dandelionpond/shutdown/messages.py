"""Events and actions of the shutdown state machine."""

from enum import StrEnum

import msgspec


class Phase(StrEnum):
    """Phases of a graceful shutdown, in order."""

    SERVING = "serving"
    ANNOUNCED = "announced"
    DRAINING = "draining"
    STOPPED = "stopped"


class PendingWork(msgspec.Struct, frozen=True, tag="load"):
    """Numbers of unfinished streams, calls and unconfirmed memory releases."""

    streams: int = 0
    calls: int = 0
    pending_releases: int = 0

    @property
    def requests(self) -> int:
        """The number of requests in flight."""
        return self.streams + self.calls


class DrainRequested(msgspec.Struct, frozen=True, tag="terminate"):
    """The process received SIGTERM, or an operator asked it to drain."""


class RequestsInterrupted(msgspec.Struct, frozen=True, tag="interrupted"):
    """Requests were interrupted by the shutdown before their deadline."""

    requests: int


class Tick(msgspec.Struct, frozen=True, tag="tick"):
    """Periodic event with the work that is still pending."""

    pending: PendingWork


Event = DrainRequested | RequestsInterrupted | Tick


class AnnounceShutdown(msgspec.Struct, frozen=True, tag="announce"):
    """Request to announce the shutdown.

    Readiness probes fail, and peers and engines are told that the node is leaving.
    """


class StopAdmission(msgspec.Struct, frozen=True, tag="stop_admission"):
    """Request to refuse new requests with error `draining` and close the listener."""


class InterruptRequests(msgspec.Struct, frozen=True, tag="interrupt"):
    """Request to interrupt requests still in flight after `drain_timeout_s`."""

    requests: int


class HandOverReleases(msgspec.Struct, frozen=True, tag="hand_over"):
    """Request to leave unconfirmed releases to peers, which adopt them once expired."""

    releases: int


class Stop(msgspec.Struct, frozen=True, tag="stop"):
    """Request to exit the process with this exit code."""

    exit_code: int


Action = AnnounceShutdown | StopAdmission | InterruptRequests | HandOverReleases | Stop
