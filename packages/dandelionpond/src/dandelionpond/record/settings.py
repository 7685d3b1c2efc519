"""Hold the record section of the published settings."""

import msgspec


class RecordSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bound the ring of decision records and the buffers of its readers."""

    ring_size: int = 4_096
    subscriber_buffer: int = 1_024
    max_subscribers: int = 8
