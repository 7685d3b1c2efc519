"""Track recent failures and latency of upstreams, as observed by this node."""

import msgspec

# Time in seconds for which an upstream is avoided after a failure. It doubles with each
# consecutive failure, up to the maximum.
AVOID_S = 1.0
MAX_AVOID_S = 8.0
# Weight of a new sample in the moving averages of latency ratio and failure rate.
SAMPLE_WEIGHT = 0.2
# A failure domain is considered unreachable if none of its nodes sent a heartbeat for
# this many seconds while nodes of other domains did. Nodes send several in this time.
DOMAIN_SILENCE_S = 1.6


class Failed(msgspec.Struct, frozen=True, tag=True):
    """A failed attempt at an upstream; `at` is in monotonic seconds.

    `is_unresponsive` means that no connection could be opened, or that an engine sent
    nothing for longer than its load explains. None is a failure that does not tell; an
    earlier mark then stays until it expires.
    """

    instance: str
    at: float
    is_unresponsive: bool | None = False


class Answered(msgspec.Struct, frozen=True, tag=True):
    """An answer of an upstream, with its actual and expected time."""

    instance: str
    took_s: float
    expected_s: float


class _UpstreamHealth:
    __slots__ = (
        "avoid_until",
        "consecutive_failures",
        "failure_rate",
        "is_unresponsive",
        "latency_ratio",
    )

    def __init__(self) -> None:
        self.consecutive_failures = 0
        self.avoid_until = 0.0
        self.failure_rate = 0.0
        self.is_unresponsive = False
        self.latency_ratio = 1.0


class HealthTracker:
    """The health of each upstream; times are monotonic seconds."""

    __slots__ = ("_by_instance",)

    def __init__(self) -> None:
        self._by_instance: dict[str, _UpstreamHealth] = {}

    def record(self, event: Failed | Answered) -> None:
        """Record the outcome of one attempt."""
        health = self._by_instance.setdefault(event.instance, _UpstreamHealth())
        match event:
            case Failed(at=at, is_unresponsive=is_unresponsive):
                if is_unresponsive is not None:
                    health.is_unresponsive = is_unresponsive
                elif at >= health.avoid_until:
                    health.is_unresponsive = False
                health.consecutive_failures = min(health.consecutive_failures + 1, 8)
                avoid_s = min(
                    MAX_AVOID_S, AVOID_S * 2 ** (health.consecutive_failures - 1)
                )
                health.avoid_until = at + avoid_s
                health.failure_rate += SAMPLE_WEIGHT * (1 - health.failure_rate)
            case Answered(took_s=took, expected_s=expected):
                health.consecutive_failures = 0
                health.is_unresponsive = False
                health.avoid_until = 0.0
                health.failure_rate *= 1 - SAMPLE_WEIGHT
                ratio = min(8.0, max(0.25, took / max(expected, 1e-3)))
                health.latency_ratio += SAMPLE_WEIGHT * (ratio - health.latency_ratio)

    def is_avoided(self, instance: str, now: float) -> bool:
        """Return whether an upstream failed recently and others should be preferred."""
        health = self._by_instance.get(instance)
        return health is not None and now < health.avoid_until

    def is_unresponsive(self, instance: str, now: float) -> bool:
        """Return whether an upstream is avoided because it is unresponsive."""
        health = self._by_instance.get(instance)
        return (
            health is not None and health.is_unresponsive and now < health.avoid_until
        )

    def unresponsive(self, now: float) -> tuple[str, ...]:
        """Return the upstreams that are avoided because they are unresponsive."""
        return tuple(
            name for name in self._by_instance if self.is_unresponsive(name, now)
        )

    def latency_ratio(self, instance: str) -> float:
        """Return the average ratio of actual to expected answer time; 1 if unknown."""
        health = self._by_instance.get(instance)
        return health.latency_ratio if health else 1.0

    def failure_rate(self, instance: str) -> float:
        """Return the moving average of the share of failed attempts; 0 if unknown."""
        health = self._by_instance.get(instance)
        return health.failure_rate if health else 0.0

    def retain(self, instances: frozenset[str]) -> None:
        """Remove the upstreams that are not in `instances`."""
        for name in self._by_instance.keys() - instances:
            del self._by_instance[name]
