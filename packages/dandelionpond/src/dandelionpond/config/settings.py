"""Hold the distribution section of the published settings."""

import msgspec


class DistributionSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Set who reads the platform and how often; times in seconds."""

    readers_per_domain: int = 2
    watch_wait_s: float = 20.0
    retry_min_s: float = 0.5
    retry_max_s: float = 20.0
    peer_grace_s: float = 2.0
    fetch_fanout: int = 3
