"""Hold the routing section of the published settings."""

import msgspec


class RoutingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Set the policy for choosing an engine.

    `short_weight` from 0 to 1 weighs the slowdown of short prompts (1) against time to
    first token over all lengths (0). Token counts are in tokens, times in seconds.
    """

    short_weight: float = 0.5
    short_prompt_tokens: int = 4_000
    long_prompt_tokens: int = 100_000
    engines_in_reach: int = 32
    choices: int = 8
    max_ejected_share: float = 0.3
    ejection_s: float = 10.0
    slow_start_s: float = 10.0
    report_stale_s: float = 5.0
