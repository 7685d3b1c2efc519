"""Define the events and actions of a planned stop."""

from enum import StrEnum

import msgspec


class Phase(StrEnum):
    """List the phases of a planned stop, in order."""

    SERVING = "serving"
    ANNOUNCED = "announced"
    DRAINING = "draining"
    STOPPED = "stopped"


class PendingWork(msgspec.Struct, frozen=True, tag="load"):
    """Count what is unfinished: streams, calls and releases not yet confirmed."""

    streams: int = 0
    calls: int = 0
    pending_releases: int = 0

    @property
    def requests(self) -> int:
        """Return the number of requests in flight."""
        return self.streams + self.calls


class DrainRequested(msgspec.Struct, frozen=True, tag="terminate"):
    """Report a SIGTERM or a request of an operator to drain."""


class RequestsInterrupted(msgspec.Struct, frozen=True, tag="interrupted"):
    """Report requests that the stop cut off before their deadline."""

    requests: int


class Tick(msgspec.Struct, frozen=True, tag="tick"):
    """Report the present load."""

    pending: PendingWork


Event = DrainRequested | RequestsInterrupted | Tick


class AnnounceShutdown(msgspec.Struct, frozen=True, tag="announce"):
    """Answer readiness probes with no, and tell peers and engines."""


class StopAdmission(msgspec.Struct, frozen=True, tag="stop_admission"):
    """Refuse new requests with `draining` and close the listener."""


class InterruptRequests(msgspec.Struct, frozen=True, tag="interrupt"):
    """Cut off the requests that are left at `drain_timeout_s`."""

    requests: int


class HandOverReleases(msgspec.Struct, frozen=True, tag="hand_over"):
    """Leave unconfirmed releases to adoption by peers after their expiry."""

    releases: int


class Stop(msgspec.Struct, frozen=True, tag="stop"):
    """End the process with this exit code."""

    exit_code: int


Action = AnnounceShutdown | StopAdmission | InterruptRequests | HandOverReleases | Stop
