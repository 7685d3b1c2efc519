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
    """Fail readiness probes and tell peers and engines that the node is leaving."""


class StopAdmission(msgspec.Struct, frozen=True, tag="stop_admission"):
    """Refuse new requests with the error `draining` and close the listener."""


class InterruptRequests(msgspec.Struct, frozen=True, tag="interrupt"):
    """Interrupt the requests that are still in flight after `drain_timeout_s`."""

    requests: int


class HandOverReleases(msgspec.Struct, frozen=True, tag="hand_over"):
    """Leave unconfirmed releases to peers, which adopt them once they expire."""

    releases: int


class Stop(msgspec.Struct, frozen=True, tag="stop"):
    """Exit the process with this exit code."""

    exit_code: int


Action = AnnounceShutdown | StopAdmission | InterruptRequests | HandOverReleases | Stop
