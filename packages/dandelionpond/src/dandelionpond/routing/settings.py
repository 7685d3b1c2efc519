"""The routing section of the published settings."""

import msgspec

from dandelionpond.prefixes.messages import PrefixSettings


class RoutingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The policy for choosing an engine.

    `short_weight` from 0 to 1 weighs the slowdown of short prompts (1) against the time
    to first token over all lengths (0). Token counts are in tokens, times in seconds.
    `near_equal_share` and `near_equal_s` bound by how much the cost of a candidate may
    exceed the lowest cost in the sample for it to be drawn. `prefix_affinity` is
    whether prompts prefer engines that hold a part of them in their prefix cache.
    `max_prefix_blocks` bounds the table of these parts; the certainty of an entry
    halves in each `prefix_half_life_s` without news of it. `long_memory_share` is the
    largest part of an unreserved engine's memory that long prompts may use.
    `role_hold_s` is how long the demand must call for another number of reserved
    engines before the number changes. `reserve_short` and `reserve_long` are the
    engines reserved for each engine's worth of demand. `step_tokens` is the most
    prefill that an engine puts into one step. `impact_weight` weighs the delay that a
    prompt causes to less urgent ones against its own time to first token. `home_weight`
    is how much more often a node draws its home engines than others with a nearly equal
    estimate. Each engine in reach is asked for its load every `load_interval_s`, or
    less often so that a node asks at most `load_polls_per_s` times a second in all.
    """

    short_weight: float = 0.5
    short_prompt_tokens: int = 4_000
    long_prompt_tokens: int = 100_000
    engines_in_reach: int = 32
    choices: int = 8
    near_equal_share: float = 0.2
    near_equal_s: float = 0.02
    max_ejected_share: float = 0.3
    ejection_s: float = 10.0
    slow_start_s: float = 10.0
    report_stale_s: float = 5.0
    load_interval_s: float = 0.5
    load_polls_per_s: float = 16.0
    prefix_affinity: bool = True
    prefix_block_tokens: int = 256
    prefix_half_life_s: float = 600.0
    max_prefix_blocks: int = 100_000
    long_memory_share: float = 0.8
    max_reserved_share: float = 0.5
    role_hold_s: float = 20.0
    reserve_short: float = 3.0
    reserve_long: float = 0.0
    max_sends: int = 8_000
    step_tokens: int = 2_048
    impact_weight: float = 3.0
    home_weight: float = 8.0

    @property
    def prefixes(self) -> PrefixSettings:
        """Return the settings of the table of cached prefixes."""
        return PrefixSettings(
            self.prefix_affinity,
            self.prefix_block_tokens,
            self.max_prefix_blocks,
            self.max_sends,
            max(1.0, self.prefix_half_life_s),
        )
