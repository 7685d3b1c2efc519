"""Remember which upstreams failed lately, seen from this node only."""

import msgspec

# Time in seconds for which an upstream is avoided after one failure; it doubles with
# each further failure up to the maximum.
AVOID_S = 1.0
MAX_AVOID_S = 8.0
# Weight of a new sample in the running mean of answer times and failures.
SAMPLE_WEIGHT = 0.2
# A failure domain counts as cut off if none of its nodes was heard for this many
# seconds while others were; nodes beat several times in this span.
DOMAIN_SILENCE_S = 1.6


class Failed(msgspec.Struct, frozen=True, tag=True):
    """State that an upstream did not answer as it should at a time in seconds.

    `is_unresponsive` says that no connection could be opened or that nothing came.
    """

    instance: str
    at: float
    is_unresponsive: bool = False


class Answered(msgspec.Struct, frozen=True, tag=True):
    """State that an upstream answered after `took_s` where `expected_s` was usual."""

    instance: str
    took_s: float
    expected_s: float


class _Record:
    __slots__ = (
        "avoid_until",
        "failure_rate",
        "failures",
        "is_unresponsive",
        "latency_ratio",
    )

    def __init__(self) -> None:
        self.failures = 0
        self.avoid_until = 0.0
        self.failure_rate = 0.0
        self.is_unresponsive = False
        self.latency_ratio = 1.0


class HealthTracker:
    """Own what this node saw of each upstream; times are monotonic seconds."""

    __slots__ = ("_records",)

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def record(self, event: Failed | Answered) -> None:
        """Take in the outcome of one attempt."""
        record = self._records.setdefault(event.instance, _Record())
        match event:
            case Failed(at=at, is_unresponsive=is_unresponsive):
                record.is_unresponsive = is_unresponsive
                record.failures = min(record.failures + 1, 8)
                pause = min(MAX_AVOID_S, AVOID_S * 2 ** (record.failures - 1))
                record.avoid_until = at + pause
                record.failure_rate += SAMPLE_WEIGHT * (1 - record.failure_rate)
            case Answered(took_s=took, expected_s=expected):
                record.failures = 0
                record.is_unresponsive = False
                record.avoid_until = 0.0
                record.failure_rate *= 1 - SAMPLE_WEIGHT
                ratio = min(8.0, max(0.25, took / max(expected, 1e-3)))
                record.latency_ratio += SAMPLE_WEIGHT * (ratio - record.latency_ratio)

    def is_avoided(self, instance: str, now: float) -> bool:
        """Return whether an upstream failed so lately that others go first."""
        record = self._records.get(instance)
        return record is not None and now < record.avoid_until

    def unresponsive(self, now: float) -> tuple[str, ...]:
        """Return the upstreams that are avoided because nothing comes from them."""
        return tuple(
            name
            for name, record in self._records.items()
            if record.is_unresponsive and now < record.avoid_until
        )

    def latency_ratio(self, instance: str) -> float:
        """Return how many times slower than expected an upstream answers; 1 if new."""
        record = self._records.get(instance)
        return record.latency_ratio if record else 1.0

    def failure_rate(self, instance: str) -> float:
        """Return the running share of failed attempts."""
        record = self._records.get(instance)
        return record.failure_rate if record else 0.0

    def retain(self, instances: frozenset[str]) -> None:
        """Forget upstreams that are gone."""
        for name in self._records.keys() - instances:
            del self._records[name]
