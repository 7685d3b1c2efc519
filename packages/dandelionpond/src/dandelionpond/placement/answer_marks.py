"""Track what upstreams say about themselves in their answers to this node."""

from typing import Protocol

import msgspec

# Longest pause in seconds that an upstream may ask for. Its restart ends a pause early.
MAX_PAUSE_S = 3_600.0
# Time in seconds after a pause in which an upstream gets no more requests at once than
# it has slots, so that requests that waited for its end do not fill it again.
RAMP_S = 1.0
# Time in seconds after which a leaving upstream that does not report its start time may
# be a new one of the same name.
UNKNOWN_START_TTL_S = 60.0
MAX_MARKS = 4_096


class Incarnation(Protocol):
    """One incarnation of an upstream.

    `started_ms` is compared for equality only; 0 means that it is not known.
    """

    @property
    def instance(self) -> str:
        """Return the name, which the next incarnation takes over."""
        ...

    @property
    def started_ms(self) -> int:
        """Return the start time, or another number that the next one does not have."""
        ...


class MarkCounters(msgspec.Struct):
    """The numbers of upstreams that began to leave or a pause, and of dropped marks."""

    leaving: int = 0
    paused: int = 0
    at_bound: int = 0


class _Mark:
    __slots__ = ("is_leaving", "marked_at", "paused_until", "started_ms")

    def __init__(self, started_ms: int) -> None:
        self.started_ms = started_ms
        self.is_leaving = False
        self.marked_at = 0.0
        self.paused_until = 0.0


class AnswerMarks:
    """The marks of upstreams by instance; times are monotonic seconds.

    A mark belongs to one incarnation of an upstream. The platform's list does not
    change it: an upstream knows of its departure before the list does. If `MAX_MARKS`
    is reached, the oldest mark is dropped.
    """

    __slots__ = ("_marks", "counters")

    def __init__(self) -> None:
        self._marks: dict[str, _Mark] = {}
        self.counters = MarkCounters()

    def __len__(self) -> int:
        """Return the number of marks, including those of earlier incarnations."""
        return len(self._marks)

    def record_leaving(self, entry: Incarnation, now: float) -> bool:
        """Record that an upstream says that it leaves; return whether that is news."""
        mark = self._get_or_add(entry)
        is_news = not self.is_leaving(entry, now)
        mark.is_leaving = True
        mark.marked_at = now
        self.counters.leaving += is_news
        return is_news

    def record_pause(self, entry: Incarnation, pause_s: float, now: float) -> float:
        """Record that an upstream wants no requests for a time; return its end."""
        mark = self._get_or_add(entry)
        self.counters.paused += mark.paused_until <= now
        end = now + min(pause_s, MAX_PAUSE_S)
        mark.paused_until = max(mark.paused_until, end)
        return mark.paused_until

    def is_leaving(self, entry: Incarnation, now: float) -> bool:
        """Return whether an upstream has said that it leaves."""
        mark = self._find(entry)
        if mark is None or not mark.is_leaving:
            return False
        return entry.started_ms != 0 or now - mark.marked_at < UNKNOWN_START_TTL_S

    def paused_until(self, entry: Incarnation) -> float:
        """Return the end of an upstream's last pause, or 0 if it had none."""
        mark = self._find(entry)
        return 0.0 if mark is None else mark.paused_until

    def is_ramping(self, entry: Incarnation, now: float) -> bool:
        """Return whether a pause of an upstream has ended within `RAMP_S`."""
        return 0.0 <= now - self.paused_until(entry) < RAMP_S

    def set_start(self, entry: Incarnation, started_ms: int, now: float) -> None:
        """Keep the mark of an upstream under another start time.

        If that is not known, a departure ends `UNKNOWN_START_TTL_S` from now.
        """
        mark = self._find(entry)
        if mark is not None:
            mark.started_ms = started_ms
            mark.marked_at = now

    def forget(self, entry: Incarnation) -> bool:
        """Drop the mark of an upstream; return whether it had one."""
        return self._marks.pop(entry.instance, None) is not None

    def _find(self, entry: Incarnation) -> _Mark | None:
        # Older lists are refused, so an entry with another start time is a newer one.
        # Start times are not ordered, because the wall clock may step back.
        mark = self._marks.get(entry.instance)
        return mark if mark and mark.started_ms == entry.started_ms else None

    def _get_or_add(self, entry: Incarnation) -> _Mark:
        mark = self._find(entry)
        if mark is None:
            mark = _Mark(entry.started_ms)
            self._marks.pop(entry.instance, None)
            if len(self._marks) >= MAX_MARKS:
                del self._marks[next(iter(self._marks))]
                self.counters.at_bound += 1
            self._marks[entry.instance] = mark
        return mark
