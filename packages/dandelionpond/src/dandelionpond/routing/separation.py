"""Keep long prompts from delaying short ones, and bring each to its turn."""

import math

from dandelionpond.hashing import score
from dandelionpond.routing.choice import Role, length_class
from dandelionpond.routing.settings import RoutingSettings

# Priorities sent to engines; a smaller one is served earlier.
URGENT_PRIORITY = 0
_SHORT_PRIORITY = 1

# Time constant of the demand average in seconds. Long prompts arrive seldom, so a
# shorter average would see their demand vanish between two arrivals.
_DEMAND_S = 60.0
# The asked number must differ by more than this from the number in force.
_HYSTERESIS = 0.6


def priority(
    prompt_tokens: int,
    remaining_s: float,
    ideal_s: float,
    policy: RoutingSettings,
) -> int:
    """Return the engine priority of a request.

    Shorter prompts come first, in steps of a factor of two. The step grows with
    `short_weight`: at 0 all lengths share a level. When the time left falls below
    three times the time an idle engine needs, the request gets the most urgent
    priority whatever its length, so that a stream of short prompts cannot hold it
    back past its deadline.
    """
    if remaining_s < 3.0 * ideal_s:
        return URGENT_PRIORITY
    if prompt_tokens <= policy.short_prompt_tokens:
        return _SHORT_PRIORITY
    steps = math.log2(prompt_tokens / policy.short_prompt_tokens)
    scale = min(1.0, 2.0 * policy.short_weight)
    return _SHORT_PRIORITY + 1 + round(steps * scale)


class Separation:
    """Decide how many engines are reserved for long prompts.

    Engines are ranked by a hash of their names, so nodes that see different demand
    still reserve nested sets.
    """

    __slots__ = ("_asked_since", "_at", "_long", "_policy", "_reserved", "_total")

    def __init__(self, policy: RoutingSettings) -> None:
        self._policy = policy
        self._long = 0.0
        self._total = 0.0
        self._at = -math.inf
        self._reserved = 0
        self._asked_since: float | None = None

    @property
    def reserved(self) -> int:
        """Return the number of engines reserved for long prompts."""
        return self._reserved

    def configure(self, policy: RoutingSettings) -> None:
        """Take new settings from the next event on."""
        self._policy = policy

    def arrived(self, prompt_tokens: int, uncached_tokens: float, now: float) -> None:
        """Record demand in uncached tokens."""
        self._decay(now)
        self._total += uncached_tokens
        if length_class(prompt_tokens, self._policy) == "long":
            self._long += uncached_tokens

    def tick(self, engines: int, now: float) -> None:
        """Move the number of reserved engines after demand asked for `role_hold_s`."""
        self._decay(now)
        asked = self._asked(engines)
        bound = int(self._policy.max_reserved_share * engines)
        if abs(asked - self._reserved) <= _HYSTERESIS and self._reserved <= bound:
            self._asked_since = None
            return
        if self._asked_since is None:
            self._asked_since = now
        if now - self._asked_since >= self._policy.role_hold_s:
            self._reserved = min(bound, round(asked))
            self._asked_since = None

    def roles(self, engines: tuple[str, ...]) -> dict[str, Role]:
        """Return the role of each engine."""
        ranked = sorted(engines, key=lambda name: (score("long", name), name))
        return {
            name: "long" if index < self._reserved else "general"
            for index, name in enumerate(ranked)
        }

    def long_memory_tokens(self, capacity_tokens: int, role: Role) -> float:
        """Return the memory of an engine that long prompts may fill, in tokens."""
        if role == "long":
            return float(capacity_tokens)
        return capacity_tokens * self._policy.long_memory_share

    def _asked(self, engines: int) -> float:
        if self._total <= 0.0 or self._policy.short_weight <= 0.0:
            return 0.0
        share = self._long / self._total
        return min(
            self._policy.max_reserved_share * engines,
            share * engines * self._policy.short_weight,
        )

    def _decay(self, now: float) -> None:
        if self._at > -math.inf:
            factor = math.exp(-max(0.0, now - self._at) / _DEMAND_S)
            self._long *= factor
            self._total *= factor
        self._at = now
