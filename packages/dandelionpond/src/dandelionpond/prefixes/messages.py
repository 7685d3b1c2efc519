"""Input of the table of cached prefixes."""

import msgspec


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of an engine's prefix cache; `seq` grows by one with each event."""

    engine: str
    seq: int
    added: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()
    cleared: bool = False


class PrefixSettings(msgspec.Struct, frozen=True):
    """The bounds of the table.

    `block_tokens` is the number of prompt tokens in a block, `max_blocks` the most
    blocks that are kept for all engines together. The certainty of a block halves in
    each `half_life_s` without news of it. Nothing is kept if `is_enabled` is false.
    """

    is_enabled: bool = True
    block_tokens: int = 256
    max_blocks: int = 100_000
    max_open_requests: int = 8_000
    half_life_s: float = 600.0
