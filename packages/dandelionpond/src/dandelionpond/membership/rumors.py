"""Queue rumors for a bounded number of relays."""

from random import Random

from dandelionpond.membership.messages import Rumor
from dandelionpond.membership.settings import MembershipSettings


def key_of(rumor: Rumor) -> tuple[str, str, str]:
    """Return what a newer rumor replaces: one subject, or one report of a suspicion."""
    is_report = rumor.subject_kind == "upstream" and rumor.state in ("suspect", "live")
    return rumor.subject_kind, rumor.subject, rumor.origin if is_report else ""


class RumorQueue:
    """Hold the rumors that still have relays left, the freshest first.

    At `bound` entries the one with the fewest relays left is dropped and counted: it
    has already been sent most often.
    """

    __slots__ = ("_bound", "_entries", "dropped")

    def __init__(self, bound: int) -> None:
        self._bound = bound
        self._entries: dict[tuple[str, str, str], tuple[Rumor, int]] = {}
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, rumor: Rumor, relays: int) -> None:
        """Queue a rumor for a number of relays; it replaces an older one."""
        key = key_of(rumor)
        if key not in self._entries and len(self._entries) >= self._bound:
            victim = min(self._entries, key=lambda entry: self._entries[entry][1])
            del self._entries[victim]
            self.dropped += 1
        self._entries[key] = (rumor, relays)

    def take(self, count: int) -> list[Rumor]:
        """Return up to `count` rumors with most relays left and use up one relay."""
        if len(self._entries) <= count:
            chosen = list(self._entries)
        else:
            entries = self._entries
            chosen = sorted(entries, key=lambda key: -entries[key][1])[:count]
        taken = []
        for key in chosen:
            rumor, left = self._entries[key]
            taken.append(rumor)
            if left <= 1:
                del self._entries[key]
            else:
                self._entries[key] = (rumor, left - 1)
        return taken


class RelayPace:
    """Decide when news is sent before the next heartbeat.

    Each heartbeat interval earns one relay, up to `relay_burst`. Without one left the
    next heartbeat carries the news, which bounds the cost while much changes at once.
    """

    __slots__ = ("_budget", "_earned_at", "_random", "_settings", "deferred", "due_at")

    def __init__(
        self, settings: MembershipSettings, random: Random, now: float
    ) -> None:
        self._settings = settings
        self._random = random
        self._budget = float(settings.relay_burst)
        self._earned_at = now
        self.due_at: float | None = None
        self.deferred = 0

    def ask(self, now: float) -> None:
        """Set `due_at` within `relay_spacing_s`, unless the budget is used up."""
        if self.due_at is not None:
            return
        settings = self._settings
        earned = (now - self._earned_at) / settings.heartbeat_interval_s
        self._budget = min(settings.relay_burst, self._budget + earned)
        self._earned_at = now
        if self._budget < 1.0:
            self.deferred += 1
            return
        self._budget -= 1.0
        self.due_at = now + settings.relay_spacing_s * self._random.random()
