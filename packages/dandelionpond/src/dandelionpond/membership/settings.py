"""Hold the membership section of the published settings."""

import msgspec


class MembershipSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Set the pace of heartbeats and the rules of suspicion; times are in seconds.

    `relays` is how many messages of one node carry the same rumor: a push epidemic
    misses about exp(-relays) of the nodes. Exchanges go to a view of `view_size` peers,
    of which one is replaced every `view_rotation` heartbeats and `foreign_share` are of
    other failure domains. Immediate relays are at most one for each heartbeat on
    average, with a burst of `relay_burst`. `pause_intervals` is the number of
    heartbeat intervals without a tick after which the node treats itself as paused.
    """

    heartbeat_interval_s: float = 1.0
    fanout: int = 2
    max_rumors: int = 32
    suspect_after_s: float = 5.0
    gone_after_s: float = 30.0
    suspicion_quorum: int = 3
    max_peers: int = 8192
    max_upstreams: int = 16384
    relays: int = 12
    relay_spacing_s: float = 0.1
    relay_burst: int = 10
    foreign_share: float = 0.25
    pause_intervals: float = 3.0
    forget_after_s: float = 3600.0
    max_pending_rumors: int = 1024
    suspicion_ttl_s: float = 15.0
    max_suspected_share: float = 0.34
    view_size: int = 16
    view_rotation: int = 10
