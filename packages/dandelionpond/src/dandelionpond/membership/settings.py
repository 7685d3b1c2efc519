"""Define the membership section of the published settings."""

import msgspec


class MembershipSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings of heartbeats, rumors and failure detection; times are in seconds.

    `relays` is how many messages of one node carry the same rumor: push gossip misses
    about exp(-relays) of the nodes. Exchanges go to a view of `view_size` peers: every
    `view_rotation` heartbeats one of them is replaced, and the share `foreign_share` is
    in other failure domains. Relays before the next heartbeat are limited to one for
    each heartbeat on average, with bursts of `relay_burst`. After `pause_intervals`
    heartbeat intervals without a tick the node treats itself as paused.
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
