"""Queue rumors and limit the rate of immediate relays."""

from random import Random

from dandelionpond.membership.messages import Rumor
from dandelionpond.membership.settings import MembershipSettings


def queue_key(rumor: Rumor) -> tuple[str, str, str]:
    """Return the key under which a newer rumor replaces an older one.

    Suspicions of an upstream and their withdrawals have one key for each reporter;
    all other rumors have one for each subject.
    """
    is_report = rumor.subject_kind == "upstream" and rumor.state in ("suspect", "live")
    return rumor.subject_kind, rumor.subject, rumor.origin if is_report else ""


class RumorQueue:
    """A queue of the rumors that still have relays left; the newest are sent first.

    At `max_entries` the rumor with the fewest relays left is dropped and counted: it
    has already been sent most often.
    """

    __slots__ = ("_entries", "_max_entries", "dropped")

    def __init__(self, max_entries: int) -> None:
        self._max_entries = max_entries
        self._entries: dict[tuple[str, str, str], tuple[Rumor, int]] = {}
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, rumor: Rumor, relays: int) -> None:
        """Queue a rumor for a number of relays; it replaces one of the same key."""
        key = queue_key(rumor)
        if key not in self._entries and len(self._entries) >= self._max_entries:
            dropped = min(self._entries, key=lambda entry: self._entries[entry][1])
            del self._entries[dropped]
            self.dropped += 1
        self._entries[key] = (rumor, relays)

    def take(self, count: int) -> list[Rumor]:
        """Return up to `count` rumors with the most relays left; each uses one up."""
        if len(self._entries) <= count:
            chosen = list(self._entries)
        else:
            entries = self._entries
            chosen = sorted(entries, key=lambda key: -entries[key][1])[:count]
        taken = []
        for key in chosen:
            rumor, relays_left = self._entries[key]
            taken.append(rumor)
            if relays_left <= 1:
                del self._entries[key]
            else:
                self._entries[key] = (rumor, relays_left - 1)
        return taken


class RelayLimiter:
    """A token bucket that limits the messages sent before the next heartbeat.

    Each heartbeat interval adds one token, up to `relay_burst`. Without a token, the
    next heartbeat carries the rumors, which bounds the cost while many states change.
    """

    __slots__ = (
        "_random",
        "_refilled_at",
        "_settings",
        "_tokens",
        "deferred",
        "due_at",
    )

    def __init__(
        self, settings: MembershipSettings, random: Random, now: float
    ) -> None:
        self._settings = settings
        self._random = random
        self._tokens = float(settings.relay_burst)
        self._refilled_at = now
        self.due_at: float | None = None
        self.deferred = 0

    def schedule(self, now: float) -> None:
        """Set `due_at` within `relay_spacing_s`, unless no token is left."""
        if self.due_at is not None:
            return
        settings = self._settings
        new_tokens = (now - self._refilled_at) / settings.heartbeat_interval_s
        self._tokens = min(settings.relay_burst, self._tokens + new_tokens)
        self._refilled_at = now
        if self._tokens < 1.0:
            self.deferred += 1
            return
        self._tokens -= 1.0
        self.due_at = now + settings.relay_spacing_s * self._random.random()
