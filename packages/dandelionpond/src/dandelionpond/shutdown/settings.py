"""Hold the shutdown section of the published settings."""

import msgspec


class ShutdownSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Set the phases of a planned stop; times in seconds."""

    balancer_delay_s: float = 5.0
    drain_timeout_s: float = 6 * 3600.0
