"""What configured upstreams say of themselves in their answers to this node."""

import math
from collections.abc import Mapping
from typing import Literal, TypeVar

import msgspec

from dandelionpond.placement.answer_marks import (
    MAX_MARKS,
    RAMP_S,
    AnswerMarks,
    MarkCounters,
)

# Requests that one node sends to an upstream in the second after a pause, evenly spaced
# after the first ones. The settings state no slots of an upstream, so there is no
# number of requests at once that it is sure to take.
RAMP_REQUESTS = 20
FIRST_RAMP_REQUESTS = 2
# Part of its remaining time for which a request waits if all upstreams want no requests
# for a time. Beyond it, an early refusal leaves its caller more time for another try.
MAX_PAUSE_SHARE = 0.12
# Longest such wait in seconds. Without it, a caller with hours of time would keep its
# connection, and a node that stops, for minutes.
MAX_WAIT_S = 10.0
# Interval in seconds between two log lines about invalid times of one upstream.
_INVALID_TIME_LOG_S = 60.0
# Later ends of a pause that differ by less than this, in seconds, are not news.
_END_TOLERANCE_S = 0.5

T = TypeVar("T")

# Why an upstream must not get a request because of its own answers.
MarkExclusion = Literal["leaving", "paused", "ramping"]


class _Incarnation(msgspec.Struct, frozen=True):
    instance: str
    started_ms: int


class UpstreamMarks:
    """The marks of upstreams by name; times are monotonic seconds.

    Upstreams of the product's own interface do not tell when they started. Their marks
    belong to the URL in the settings, and `begin_incarnation` is to be called when the
    node learns that another process or VM has taken over the name. Each table has the
    bound of the marks.
    """

    __slots__ = (
        "_invalid_logged_at",
        "_marks",
        "_ramps",
        "_replaced_at",
        "_unknown_starts",
        "_urls",
        "invalid_times",
    )

    def __init__(self) -> None:
        self._marks = AnswerMarks()
        self._urls: Mapping[str, str] = {}
        # Names of upstreams whose restarts cannot be noticed.
        self._unknown_starts: dict[str, bool] = {}
        # The first request after a pause and the number of requests since, by name.
        self._ramps: dict[str, tuple[float, int]] = {}
        self._invalid_logged_at: dict[str, float] = {}
        # Times at which another process or VM took over a name.
        self._replaced_at: dict[str, float] = {}
        self.invalid_times = 0

    @property
    def counters(self) -> MarkCounters:
        """Return the numbers of marks."""
        return self._marks.counters

    @property
    def has_marks(self) -> bool:
        """Return whether any upstream has said anything of itself."""
        return len(self._marks) > 0

    def set_upstreams(self, urls: Mapping[str, str]) -> None:
        """Set the URLs of the configured upstreams by name."""
        self._urls = urls

    def record_leaving(self, name: str, now: float) -> bool:
        """Record that an upstream says that it leaves; return whether that is news."""
        return self._marks.record_leaving(self._incarnation(name), now)

    def record_pause(self, name: str, pause_s: float, now: float) -> float | None:
        """Record that an upstream wants no requests for a time.

        Return the end if that is news, else None.
        """
        earlier_end = self.paused_until(name)
        end = self._marks.record_pause(self._incarnation(name), pause_s, now)
        is_news = earlier_end <= now or end - earlier_end >= _END_TOLERANCE_S
        return end if is_news else None

    def record_invalid_time(self, name: str, now: float) -> bool:
        """Count an invalid time or uptime; return whether to log it."""
        self.invalid_times += 1
        is_due = now >= self._invalid_logged_at.get(name, now)
        if is_due:
            next_at = now + _INVALID_TIME_LOG_S
            self._set_bounded(self._invalid_logged_at, name, next_at)
        return is_due

    def record_request(self, name: str, now: float) -> None:
        """Record that a request was sent to an upstream."""
        if self._marks and self._marks.is_ramping(self._incarnation(name), now):
            started_at, count = self._ramp(name, now)
            self._set_bounded(self._ramps, name, (started_at, count + 1))

    def begin_incarnation(self, name: str, now: float) -> bool:
        """Record that an upstream was replaced; return whether it had a mark."""
        self._set_bounded(self._replaced_at, name, now)
        return self._marks.forget(self._incarnation(name))

    def was_replaced_since(self, name: str, sent_at: float) -> bool:
        """Return whether an upstream was replaced after a request was sent to it."""
        return sent_at <= self._replaced_at.get(name, -math.inf)

    def set_start_known(self, name: str, is_known: bool, now: float) -> None:
        """Record whether the restarts of an upstream can be noticed.

        A change keeps the mark: the upstream may leave out its uptime once.
        """
        was_known = name not in self._unknown_starts
        if is_known == was_known:
            return
        earlier = self._incarnation(name)
        if is_known:
            del self._unknown_starts[name]
        else:
            self._set_bounded(self._unknown_starts, name, True)
        self._marks.set_start(earlier, self._incarnation(name).started_ms, now)

    def is_leaving(self, name: str, now: float) -> bool:
        """Return whether an upstream has said that it leaves."""
        return self._marks.is_leaving(self._incarnation(name), now)

    def paused_until(self, name: str) -> float:
        """Return the end of an upstream's last pause, or 0 if it had none."""
        return self._marks.paused_until(self._incarnation(name))

    def exclusion(self, name: str, now: float) -> MarkExclusion | None:
        """Return why an upstream must not get a request now; None if it may get it."""
        if not self._marks:
            return None
        incarnation = self._incarnation(name)
        if self._marks.is_leaving(incarnation, now):
            return "leaving"
        if now < self._marks.paused_until(incarnation):
            return "paused"
        if self._marks.is_ramping(incarnation, now):
            started_at, count = self._ramp(name, now)
            share = (now - started_at) / RAMP_S
            if count >= FIRST_RAMP_REQUESTS + int(RAMP_REQUESTS * share):
                return "ramping"
        return None

    def wants_requests(self, name: str, now: float) -> bool:
        """Return whether a request that has been assigned to an upstream may be sent.

        The limit after a pause does not apply, since the request has counted for it.
        """
        return self.exclusion(name, now) in (None, "ramping")

    def pause_left_s(self, names: tuple[str, ...], now: float) -> float | None:
        """Return in how many seconds the first of some upstreams wants requests again.

        It is None if one of them is not paused, or if all of them are leaving.
        """
        if not self._marks:
            return None
        ends = [
            self.paused_until(name) for name in names if not self.is_leaving(name, now)
        ]
        first = min(ends, default=0.0)
        return first - now if first > now else None

    def _incarnation(self, name: str) -> _Incarnation:
        # The URL tells an upstream from another one that the settings give its name.
        url = self._urls.get(name, "")
        return _Incarnation(f"{name} {url}", int(name not in self._unknown_starts))

    def _ramp(self, name: str, now: float) -> tuple[float, int]:
        # A ramp goes on if another pause interrupts it. An upstream that asks for
        # milliseconds would else get the first requests of a ramp after each of them.
        started_at, count = self._ramps.get(name, (now, 0))
        return (started_at, count) if now - started_at < RAMP_S else (now, 0)

    def _set_bounded(self, table: dict[str, T], name: str, value: T) -> None:
        if name not in table and len(table) >= MAX_MARKS:
            del table[next(iter(table))]
            self.counters.at_bound += 1
        table[name] = value


def longest_wait_s(remaining_s: float) -> float:
    """Return how long a request with this time left waits for the end of a pause."""
    return min(MAX_WAIT_S, MAX_PAUSE_SHARE * remaining_s)
