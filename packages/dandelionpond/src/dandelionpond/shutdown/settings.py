"""Hold the shutdown section of the published settings."""

import msgspec


class ShutdownSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Set the phases of a planned stop; times in seconds.

    `release_timeout_s` bounds the wait for confirmed releases after the last request.
    `pause_s` is the time without a tick after which the process counts as paused.
    """

    balancer_delay_s: float = 5.0
    drain_timeout_s: float = 6 * 3600.0
    release_timeout_s: float = 10.0
    pause_s: float = 5.0
