"""Combine what nodes measured of the speed of upstreams.

In a large fleet each node sees few responses of one upstream. Nodes therefore tell each
other the ratio of measured to expected times where it is unusual.
"""

import math
from collections.abc import Iterable, Mapping

import msgspec

# Ratios that are told to peers are outside of these.
USUAL_RATIO_MIN = 0.8
USUAL_RATIO_MAX = 1.5
# Ratios of single measurements are limited to these, as in `HealthTracker`.
MIN_RATIO, MAX_RATIO = 0.25, 8.0
# Number of upstreams in a heartbeat; each takes about 30 bytes.
MAX_SPEEDS = 8
# Fewer samples say nothing: a single prompt may have met others.
MIN_SAMPLES = 2
# More samples than this count as this many, because the ratio is a moving average.
MAX_SAMPLES = 10
# Time in seconds in which the weight of a measurement decreases to 0.
FADE_S = 10.0
# Least weight of this node's own ratio, in samples. It damps what a single peer says.
OWN_WEIGHT = 1.0


class Speed(msgspec.Struct, frozen=True):
    """The ratio of measured to expected times of one incarnation of an upstream.

    `samples` is how many measurements it is based on, `age_s` the time since the last
    one.
    """

    instance: str
    started_ms: int
    ratio: float
    samples: int
    age_s: float


class SpeedCounters(msgspec.Struct):
    """The numbers of ratios taken over from peers, and of those ignored."""

    received: int = 0
    outdated: int = 0
    invalid: int = 0


class _Measurement:
    __slots__ = ("measured_at", "ratio", "samples")

    def __init__(self, ratio: float, samples: int, measured_at: float) -> None:
        self.ratio = ratio
        self.samples = samples
        self.measured_at = measured_at

    def weight(self, now: float) -> float:
        fresh_share = max(0.0, 1.0 - max(0.0, now - self.measured_at) / FADE_S)
        return min(self.samples, MAX_SAMPLES) * fresh_share


class SpeedTable:
    """The measured ratios of this node and of its peers, in monotonic seconds."""

    __slots__ = ("_by_instance", "_instances_of_peer", "_own", "_starts", "counters")

    def __init__(self) -> None:
        self._starts: dict[str, int] = {}
        self._own: dict[str, _Measurement] = {}
        self._by_instance: dict[str, dict[str, _Measurement]] = {}
        self._instances_of_peer: dict[str, tuple[str, ...]] = {}
        self.counters = SpeedCounters()

    def set_starts(self, starts: Mapping[str, int]) -> None:
        """Set the start times of all upstreams by instance.

        What was measured of upstreams that are gone or have restarted is dropped.
        """
        for name, started_ms in self._starts.items():
            if starts.get(name) != started_ms:
                self._own.pop(name, None)
                self._by_instance.pop(name, None)
        self._starts = dict(starts)

    def record(self, instance: str, ratio: float, now: float) -> None:
        """Record this node's average ratio after another measurement."""
        own = self._own.get(instance)
        samples = 0 if own is None or own.weight(now) == 0 else own.samples
        self._own[instance] = _Measurement(ratio, min(samples + 1, MAX_SAMPLES), now)

    def news(self, now: float) -> tuple[Speed, ...]:
        """Return the unusual ratios that this node measured, for its peers."""
        unusual = [
            (abs(math.log(own.ratio)), name, own)
            for name, own in self._own.items()
            if not USUAL_RATIO_MIN <= own.ratio <= USUAL_RATIO_MAX
            and own.samples >= MIN_SAMPLES
            and own.weight(now) > 0
            and name in self._starts
        ]
        unusual.sort(key=_by_distance, reverse=True)
        return tuple(
            Speed(
                name, self._starts[name], own.ratio, own.samples, now - own.measured_at
            )
            for _, name, own in unusual[:MAX_SPEEDS]
        )

    def receive(self, peer: str, speeds: Iterable[Speed], now: float) -> None:
        """Take over what a peer tells, in place of what it told before."""
        for name in self._instances_of_peer.pop(peer, ()):
            by_peer = self._by_instance.get(name)
            if by_peer is not None:
                by_peer.pop(peer, None)
                if not by_peer:
                    del self._by_instance[name]
        names = []
        for speed in tuple(speeds)[:MAX_SPEEDS]:
            if not _is_valid(speed):
                self.counters.invalid += 1
            elif self._starts.get(speed.instance) != speed.started_ms:
                self.counters.outdated += 1
            else:
                self.counters.received += 1
                ratio = min(MAX_RATIO, max(MIN_RATIO, speed.ratio))
                names.append(speed.instance)
                self._by_instance.setdefault(speed.instance, {})[peer] = _Measurement(
                    ratio, speed.samples, now - speed.age_s
                )
        if names:
            self._instances_of_peer[peer] = tuple(names)

    def ratio(self, instance: str, own_ratio: float, now: float) -> float:
        """Return the mean ratio of an upstream, weighted by samples and age.

        `own_ratio` is this node's average; it is the result if no peer tells anything.
        """
        by_peer = self._by_instance.get(instance)
        if not by_peer:
            return own_ratio
        own = self._own.get(instance)
        weight = max(OWN_WEIGHT, 0.0 if own is None else own.weight(now))
        total = weight * own_ratio
        for measurement in by_peer.values():
            peer_weight = measurement.weight(now)
            weight += peer_weight
            total += peer_weight * measurement.ratio
        return total / weight

    def tick(self, now: float) -> None:
        """Drop what peers that fell silent told too long ago."""
        for peer, names in list(self._instances_of_peer.items()):
            if not any(
                by_peer[peer].weight(now) > 0
                for name in names
                if peer in (by_peer := self._by_instance.get(name, {}))
            ):
                self.receive(peer, (), now)


def _is_valid(speed: Speed) -> bool:
    return (
        math.isfinite(speed.ratio)
        and speed.ratio > 0
        and speed.samples >= MIN_SAMPLES
        and 0 <= speed.age_s <= FADE_S
    )


def _by_distance(item: tuple[float, str, _Measurement]) -> tuple[float, str]:
    return item[:2]
