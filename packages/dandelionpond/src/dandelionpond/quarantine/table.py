"""The parts of prompts that are in quarantine on one node."""

import msgspec

from dandelionpond.quarantine.messages import (
    ALL_ACCOUNTS,
    MS_PER_S,
    PromptKey,
    QuarantineEntry,
)

# Time in seconds from a crash to the next trial of a part. It doubles with each trial
# that crashes an engine, up to the maximum.
TRIAL_AFTER_S = 30.0
MAX_TRIAL_AFTER_S = 600.0
# Time in seconds for which a trial may run before another one is permitted.
MAX_TRIAL_S = 30.0
# Time in seconds without a change after which a part is forgotten.
FORGET_AFTER_S = 1_200.0
MAX_PARTS_IN_QUARANTINE = 64
MAX_PACKED_ENTRIES = 32


class Quarantine(msgspec.Struct):
    """The state of one part; times are monotonic seconds."""

    part: int
    account: int
    sequence: int
    is_released: bool
    failed_trials: int
    crashed_at: float
    changed_at: float
    trial_started_at: float = float("-inf")
    trial_request: str = ""

    @property
    def trial_due_at(self) -> float:
        """Return when a prompt with the part may be tried again."""
        factor = 2.0 ** min(self.failed_trials, 8)
        return self.crashed_at + min(MAX_TRIAL_AFTER_S, TRIAL_AFTER_S * factor)

    def applies_to(self, key: PromptKey) -> bool:
        """Return whether a prompt contains the part and its account is refused."""
        return (
            not self.is_released
            and self.part in key.parts
            and self.account in (ALL_ACCOUNTS, key.account)
        )


class QuarantineTable:
    """The parts in quarantine; nodes merge their tables entry by entry."""

    __slots__ = ("_entries", "counters")

    def __init__(self) -> None:
        self._entries: dict[int, Quarantine] = {}
        self.counters = {
            "quarantined": 0,
            "extended": 0,
            "released": 0,
            "adopted": 0,
            "at_bound": 0,
        }

    def __len__(self) -> int:
        return sum(not entry.is_released for entry in self._entries.values())

    @property
    def entries(self) -> tuple[Quarantine, ...]:
        """Return all entries, released ones included."""
        return tuple(self._entries.values())

    def get(self, part: int) -> Quarantine | None:
        """Return the entry of a part that is in quarantine."""
        entry = self._entries.get(part)
        return None if entry is None or entry.is_released else entry

    def find(self, key: PromptKey) -> Quarantine | None:
        """Return the entry because of which a prompt is refused, if there is one.

        If there are several, it is the one that is tried last.
        """
        found = [
            entry
            for part in key.parts
            if (entry := self._entries.get(part)) is not None and entry.applies_to(key)
        ]
        return max(found, key=lambda entry: entry.trial_due_at, default=None)

    def quarantine(
        self, part: int, account: int, crashed_at: float, now: float
    ) -> Quarantine:
        """Put a part in quarantine, or extend it to the prompts of all accounts."""
        entry = self._entries.get(part)
        if entry is None:
            self._make_room()
            entry = Quarantine(part, account, 1, False, 0, crashed_at, now)
            self._entries[part] = entry
            self.counters["quarantined"] += 1
            return entry
        if entry.is_released:
            entry.account = account
            entry.is_released = False
            self.counters["quarantined"] += 1
        elif entry.account != account:
            entry.account = ALL_ACCOUNTS
            self.counters["extended"] += 1
        entry.sequence += 1
        entry.crashed_at = max(entry.crashed_at, crashed_at)
        entry.changed_at = now
        return entry

    def release(self, entry: Quarantine, now: float) -> None:
        """Allow prompts with a part again."""
        entry.is_released = True
        entry.sequence += 1
        entry.changed_at = now
        self.counters["released"] += 1

    def fail_trial(self, entry: Quarantine, crashed_at: float, now: float) -> None:
        """Record that a trial crashed an engine."""
        entry.failed_trials += 1
        entry.sequence += 1
        entry.crashed_at = crashed_at
        entry.changed_at = now
        entry.trial_request = ""
        entry.trial_started_at = float("-inf")

    def merge(self, received: QuarantineEntry, now: float) -> bool:
        """Apply an entry of a peer; return whether it changed anything."""
        entry = self._entries.get(received.part)
        if entry is not None and received.sequence == entry.sequence:
            return _merge_same_sequence(entry, received, now)
        if entry is not None and received.sequence < entry.sequence:
            return False
        if entry is None:
            self._make_room()
        self._entries[received.part] = Quarantine(
            received.part,
            received.account,
            received.sequence,
            received.is_released,
            received.failed_trials,
            now - received.crash_age_ms / MS_PER_S,
            now,
        )
        self.counters["adopted"] += 1
        return True

    def forget(self, now: float) -> None:
        """Remove entries that have not changed for a long time."""
        self._entries = {
            part: entry
            for part, entry in self._entries.items()
            if now - max(entry.changed_at, entry.trial_started_at) <= FORGET_AFTER_S
        }

    def pack(self, now: float) -> tuple[QuarantineEntry, ...]:
        """Convert the entries to the form that is sent to peers."""
        newest = sorted(self._entries.values(), key=lambda entry: -entry.changed_at)
        return tuple(
            QuarantineEntry(
                entry.part,
                entry.account,
                entry.sequence,
                entry.is_released,
                entry.failed_trials,
                round((now - entry.crashed_at) * MS_PER_S),
            )
            for entry in newest[:MAX_PACKED_ENTRIES]
        )

    def _make_room(self) -> None:
        """Remove the entry that matters least if the table is full."""
        if len(self._entries) < MAX_PARTS_IN_QUARANTINE:
            return
        self.counters["at_bound"] += 1
        oldest = min(
            self._entries.values(),
            key=lambda entry: (not entry.is_released, entry.crashed_at),
        )
        del self._entries[oldest.part]


def _merge_same_sequence(
    entry: Quarantine, received: QuarantineEntry, now: float
) -> bool:
    """Merge two changes that nodes made at the same time: the stricter one is valid."""
    changed = False
    if entry.is_released and not received.is_released:
        entry.is_released = False
        entry.account = received.account
        changed = True
    elif not received.is_released and entry.account != received.account:
        changed = entry.account != ALL_ACCOUNTS
        entry.account = ALL_ACCOUNTS
    if received.failed_trials > entry.failed_trials:
        entry.failed_trials = received.failed_trials
        entry.crashed_at = now - received.crash_age_ms / MS_PER_S
        changed = True
    return changed
