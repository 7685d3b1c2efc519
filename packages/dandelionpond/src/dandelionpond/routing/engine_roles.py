"""Reservation of engines by prompt length, and priorities of prompts on engines."""

import math

from dandelionpond.hashing import score
from dandelionpond.routing.choice import Role, length_class
from dandelionpond.routing.settings import RoutingSettings

# Priorities sent to engines; the smaller number is served first.
URGENT_PRIORITY = 0
_SHORT_PRIORITY = 1

# Time constant of the demand average. A node gets few prompts per second, so with a
# shorter average the nodes would reserve different numbers of engines.
_DEMAND_TIME_CONSTANT_S = 120.0
# The number of reserved engines changes only if the desired number differs by more.
_HYSTERESIS_ENGINES = 0.6


def engine_priority(
    prompt_tokens: int,
    remaining_s: float,
    idle_engine_s: float,
    policy: RoutingSettings,
) -> int:
    """Return the engine priority of a request.

    Short prompts come first. Longer prompts follow in levels that grow apart with
    `short_weight`: at 0 all share one level, from 0.5 on each doubling of the length is
    one level. A request whose remaining time is less than three times what an idle
    engine needs gets the most urgent priority at any length, so that short prompts
    cannot delay it past its deadline.
    """
    if remaining_s < 3.0 * idle_engine_s:
        return URGENT_PRIORITY
    if prompt_tokens <= policy.short_prompt_tokens:
        return _SHORT_PRIORITY
    steps = math.log2(prompt_tokens / policy.short_prompt_tokens)
    scale = min(1.0, 2.0 * policy.short_weight)
    return _SHORT_PRIORITY + 1 + round(steps * scale)


class _ReservedCount:
    """A number of reserved engines that follows demand with hysteresis."""

    __slots__ = ("count", "differs_since")

    def __init__(self) -> None:
        self.count = 0
        self.differs_since: float | None = None

    def update(
        self, desired_count: float, bound: int, hold_s: float, now: float
    ) -> None:
        """Change the count after `desired_count` has differed from it for `hold_s`."""
        if (
            abs(desired_count - self.count) <= _HYSTERESIS_ENGINES
            and self.count <= bound
        ):
            self.differs_since = None
            return
        if self.differs_since is None:
            self.differs_since = now
        if now - self.differs_since >= hold_s:
            self.count = min(bound, math.ceil(desired_count - 0.2))
            self.differs_since = None


class RoleAssigner:
    """The choice of engines that are reserved for short prompts and for long ones.

    Engines are ranked by a hash of their names. Those at one end are reserved for long
    prompts, those at the other end for short ones. Nodes that see different demand
    therefore reserve nested sets of engines.
    """

    __slots__ = (
        "_decayed_at",
        "_demand",
        "_observed_since",
        "_policy",
        "_reserved_long",
        "_reserved_short",
    )

    def __init__(self, policy: RoutingSettings) -> None:
        self._policy = policy
        self._demand = {"short": 0.0, "mid": 0.0, "long": 0.0}
        self._decayed_at = -math.inf
        self._observed_since = math.inf
        self._reserved_long = _ReservedCount()
        self._reserved_short = _ReservedCount()

    @property
    def reserved_long(self) -> int:
        """Return the number of engines reserved for long prompts."""
        return self._reserved_long.count

    @property
    def reserved_short(self) -> int:
        """Return the number of engines reserved for short prompts."""
        return self._reserved_short.count

    def configure(self, policy: RoutingSettings) -> None:
        """Apply new settings to the events that follow."""
        self._policy = policy

    def record_demand(
        self, prompt_tokens: int, uncached_tokens: float, now: float
    ) -> None:
        """Record the uncached tokens of a prompt as demand at this node."""
        self._decay(now)
        self._demand[length_class(prompt_tokens, self._policy)] += uncached_tokens

    def tick(
        self, engines: int, nodes: int, prefill_tokens_per_s: float, now: float
    ) -> None:
        """Update the numbers of reserved engines from the average demand.

        Each of the `nodes` that share the engines is assumed to have the same demand as
        this node. The total is divided by the prefill rate of one engine.
        """
        self._decay(now)
        period = min(_DEMAND_TIME_CONSTANT_S, now - self._observed_since)
        if period <= 0.0 or engines <= 0:
            return
        policy = self._policy
        bound = int(policy.max_reserved_share * engines)
        engines_per_token = nodes / (period * prefill_tokens_per_s)
        desired_count = policy.reserve_short * self._demand["short"] * engines_per_token
        self._reserved_short.update(
            min(bound, desired_count), bound, policy.role_hold_s, now
        )
        bound = max(0, bound - self._reserved_short.count)
        desired_count = policy.reserve_long * self._demand["long"] * engines_per_token
        self._reserved_long.update(
            min(bound, desired_count), bound, policy.role_hold_s, now
        )

    def assign_roles(self, engines: tuple[str, ...]) -> dict[str, Role]:
        """Return the role of each engine."""
        ranked = sorted(engines, key=lambda name: (score("long", name), name))
        first_short = len(ranked) - self._reserved_short.count
        roles: dict[str, Role] = {}
        for index, name in enumerate(ranked):
            if index < self._reserved_long.count:
                roles[name] = "long"
            else:
                roles[name] = "short" if index >= first_short else "general"
        return roles

    def long_prompt_memory_tokens(self, capacity_tokens: int, role: Role) -> float:
        """Return the memory of an engine that long prompts may use, in tokens."""
        if role == "long":
            return float(capacity_tokens)
        return capacity_tokens * self._policy.long_memory_share

    def _decay(self, now: float) -> None:
        if self._decayed_at > -math.inf:
            factor = math.exp(
                -max(0.0, now - self._decayed_at) / _DEMAND_TIME_CONSTANT_S
            )
            for name in self._demand:
                self._demand[name] *= factor
        self._observed_since = min(self._observed_since, now)
        self._decayed_at = now
