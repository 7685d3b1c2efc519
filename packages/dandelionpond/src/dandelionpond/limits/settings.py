"""Define the limits section and the limits of a client account."""

import msgspec


class AccountLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The limits of one client account across all nodes.

    `tokens_per_s` counts prompt and generated tokens; `burst_tokens` is the bucket's
    size; `concurrency` counts requests in flight.
    """

    tokens_per_s: float = 100_000.0
    burst_tokens: float = 2_000_000.0
    concurrency: int = 1_000


class LimitsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings of limit sharing and request queues; times are in seconds.

    `engine_queue_s` bounds the prefill that a node lets wait in an engine; the rest
    waits in the node. `max_dispatch_tries` bounds the queue heads tried at once.
    `ageing_s` is the waiting time after which a long prompt precedes every short one
    of its client account that arrived later. `max_reports_per_s` bounds the reports of
    demand; at about 30 bytes each, 40 of them take a quarter of the 5 KB/s for control.
    """

    grant_ttl_s: float = 10.0
    report_interval_s: float = 1.0
    max_reports_per_s: float = 40.0
    floor_share: float = 0.1
    max_queue: int = 2_000
    max_queue_per_account: int = 500
    engine_queue_s: float = 0.25
    max_dispatch_tries: int = 16
    ageing_s: float = 20.0
    max_retry_after_s: float = 60.0
