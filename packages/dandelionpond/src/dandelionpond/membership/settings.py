"""Hold the membership section of the published settings."""

import msgspec


class MembershipSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Set the pace of heartbeats and the rules of suspicion; times are in seconds."""

    heartbeat_interval_s: float = 1.0
    fanout: int = 3
    max_rumors: int = 32
    suspect_after_s: float = 5.0
    gone_after_s: float = 30.0
    suspicion_quorum: int = 3
    max_peers: int = 8192
    max_upstreams: int = 16384
