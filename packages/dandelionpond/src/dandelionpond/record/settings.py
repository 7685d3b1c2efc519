"""Settings of decision recording."""

import msgspec


class RecordSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Sizes of the ring of decision records and of its subscribers' buffers.

    A record with 32 candidates takes 9.7 KB, so 1,024 records take 10 MB of the 32 MB
    that are available for control.
    """

    ring_size: int = 1_024
    subscriber_buffer: int = 1_024
    max_subscribers: int = 8
