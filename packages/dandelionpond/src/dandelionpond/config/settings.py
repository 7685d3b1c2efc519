"""Define the distribution section of the published settings."""

from typing import Annotated

import msgspec

Seconds = Annotated[float, msgspec.Meta(gt=0)]


class DistributionSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The choice of nodes that read the platform and how often; times are in seconds.

    One reader of the fleet reads a new revision at once; the others leave it
    `read_stagger_s` to reach them through peers before they read it themselves.
    `fetch_fanout` is the maximum number of peers that a node asks at the same time. A
    gap longer than `pause_after_s` between two events counts as a pause of the process.
    """

    readers_per_domain: Annotated[int, msgspec.Meta(gt=0)] = 2
    watch_wait_s: Seconds = 20.0
    retry_min_s: Seconds = 0.5
    retry_max_s: Seconds = 20.0
    peer_grace_s: Annotated[float, msgspec.Meta(ge=0)] = 2.0
    fetch_fanout: Annotated[int, msgspec.Meta(gt=0)] = 3
    fetch_timeout_s: Seconds = 1.0
    platform_timeout_s: Seconds = 5.0
    read_stagger_s: Annotated[float, msgspec.Meta(ge=0)] = 1.0
    pause_after_s: Seconds = 3.0
