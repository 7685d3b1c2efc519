"""Keep long prompts from delaying short ones, and bring each to its turn."""

import math

from dandelionpond.hashing import score
from dandelionpond.routing.choice import Role, length_class
from dandelionpond.routing.settings import RoutingSettings

# Priorities sent to engines; a smaller one is served earlier.
URGENT_PRIORITY = 0
_SHORT_PRIORITY = 1

# Time constant of the demand average in seconds. A node sees few prompts each second,
# so a shorter average would give each node another number of reserved engines.
_DEMAND_S = 120.0
# The asked number must differ by more than this from the number in force.
_HYSTERESIS = 0.6


def priority(
    prompt_tokens: int,
    remaining_s: float,
    ideal_s: float,
    policy: RoutingSettings,
) -> int:
    """Return the engine priority of a request.

    Short prompts come first, then longer ones in steps that grow with `short_weight`:
    a level for each factor of two from 0.5 on, one level for all at 0. When the time
    left falls below three times the time an idle engine needs, the request gets the
    most urgent priority whatever its length, so that short prompts cannot hold it
    back past its deadline.
    """
    if remaining_s < 3.0 * ideal_s:
        return URGENT_PRIORITY
    if prompt_tokens <= policy.short_prompt_tokens:
        return _SHORT_PRIORITY
    steps = math.log2(prompt_tokens / policy.short_prompt_tokens)
    scale = min(1.0, 2.0 * policy.short_weight)
    return _SHORT_PRIORITY + 1 + round(steps * scale)


class _Reservation:
    """Move one number of reserved engines, with hysteresis."""

    __slots__ = ("asked_since", "count")

    def __init__(self) -> None:
        self.count = 0
        self.asked_since: float | None = None

    def move(self, asked: float, bound: int, hold_s: float, now: float) -> None:
        """Follow `asked` after it has differed from the count for `hold_s`."""
        if abs(asked - self.count) <= _HYSTERESIS and self.count <= bound:
            self.asked_since = None
            return
        if self.asked_since is None:
            self.asked_since = now
        if now - self.asked_since >= hold_s:
            self.count = min(bound, math.ceil(asked - 0.2))
            self.asked_since = None


class Separation:
    """Decide how many engines are reserved for short prompts and for long ones.

    Engines are ranked by a hash of their names, so nodes that see different demand
    still reserve nested sets: from one end for long prompts, from the other for short.
    """

    __slots__ = ("_at", "_demand", "_long", "_policy", "_short", "_started")

    def __init__(self, policy: RoutingSettings) -> None:
        self._policy = policy
        self._demand = {"short": 0.0, "mid": 0.0, "long": 0.0}
        self._at = -math.inf
        self._started = math.inf
        self._long = _Reservation()
        self._short = _Reservation()

    @property
    def reserved_long(self) -> int:
        """Return the number of engines reserved for long prompts."""
        return self._long.count

    @property
    def reserved_short(self) -> int:
        """Return the number of engines reserved for short prompts."""
        return self._short.count

    def configure(self, policy: RoutingSettings) -> None:
        """Take new settings from the next event on."""
        self._policy = policy

    def arrived(self, prompt_tokens: int, uncached_tokens: float, now: float) -> None:
        """Record demand at this node in uncached tokens."""
        self._decay(now)
        self._demand[length_class(prompt_tokens, self._policy)] += uncached_tokens

    def tick(
        self, engines: int, nodes: int, prefill_tokens_per_s: float, now: float
    ) -> None:
        """Move the numbers of reserved engines after lasting demand.

        The demand of the `nodes` that share the engines is taken to equal this node's.
        It is compared with the prefill rate of one engine.
        """
        self._decay(now)
        period = min(_DEMAND_S, now - self._started)
        if period <= 0.0 or engines <= 0:
            return
        policy = self._policy
        bound = int(policy.max_reserved_share * engines)
        per_token = nodes / (period * prefill_tokens_per_s)
        asked = policy.reserve_short * self._demand["short"] * per_token
        self._short.move(min(bound, asked), bound, policy.role_hold_s, now)
        bound = max(0, bound - self._short.count)
        asked = policy.reserve_long * self._demand["long"] * per_token
        self._long.move(min(bound, asked), bound, policy.role_hold_s, now)

    def roles(self, engines: tuple[str, ...]) -> dict[str, Role]:
        """Return the role of each engine."""
        ranked = sorted(engines, key=lambda name: (score("long", name), name))
        first_short = len(ranked) - self._short.count
        roles: dict[str, Role] = {}
        for index, name in enumerate(ranked):
            if index < self._long.count:
                roles[name] = "long"
            else:
                roles[name] = "short" if index >= first_short else "general"
        return roles

    def long_memory_tokens(self, capacity_tokens: int, role: Role) -> float:
        """Return the memory of an engine that long prompts may fill, in tokens."""
        if role == "long":
            return float(capacity_tokens)
        return capacity_tokens * self._policy.long_memory_share

    def _decay(self, now: float) -> None:
        if self._at > -math.inf:
            factor = math.exp(-max(0.0, now - self._at) / _DEMAND_S)
            for name in self._demand:
                self._demand[name] *= factor
        self._started = min(self._started, now)
        self._at = now
