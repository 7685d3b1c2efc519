"""Hold the record section of the published settings."""

import msgspec


class RecordSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bound the ring of decision records."""

    ring_size: int = 4_096
