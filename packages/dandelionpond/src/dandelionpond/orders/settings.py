"""Orders section of the published settings."""

import msgspec


class OrdersSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Intervals and rate limits of orders to engines; times in seconds."""

    interval_s: float = 1.0
    repeat_after_s: float = 5.0
    order_validity_s: float = 3.0
    weight_store_loads_per_s: float = 0.5
    weight_store_burst: int = 2
