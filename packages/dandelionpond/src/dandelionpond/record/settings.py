"""Hold the record section of the published settings."""

import msgspec


class RecordSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bound the ring of decision records and the buffers of its readers.

    A record with 32 candidates takes 9.7 KB, so 1,024 take 10 of the 32 MB for control.
    """

    ring_size: int = 1_024
    subscriber_buffer: int = 1_024
    max_subscribers: int = 8
