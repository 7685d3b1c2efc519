"""Define the memory section of the published settings."""

import msgspec


class MemorySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings of leases on engine memory; times are in seconds."""

    lease_ttl_s: float = 30.0
    renew_after_s: float = 10.0
    release_retry_s: float = 0.5
    release_retry_max_s: float = 10.0
    clock_margin_s: float = 2.0
    scan_interval_s: float = 10.0
    max_leases: int = 20_000
    group_timeout_s: float = 5.0
    max_groups: int = 4
    min_group_engines: int = 3
