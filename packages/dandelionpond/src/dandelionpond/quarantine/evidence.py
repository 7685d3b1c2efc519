"""Infer from crashes of engines which part of the prompts causes them."""

from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable, Iterator

import msgspec

from dandelionpond.quarantine.messages import ALL_ACCOUNTS

# Crashes, each later than the sending of the next one's prompt, after which a part that
# all of these prompts share is considered harmful.
MIN_CRASHES = 3
# Time in seconds after a crash in which the reports of all nodes arrive.
SETTLE_S = 0.15
# Time in seconds that answers to other prompts with a part have to show that the part
# is harmless, if it was so before.
CONFIRM_S = 2.0
# Time in seconds after a crash with prompts whose answers had begun, in which a crash
# without such prompts probably lacks the report of one.
INCOMPLETE_S = 10.0
# Reports of the same engine within this many seconds belong to one crash.
SAME_CRASH_S = 2.0
# Time in seconds for which crashes are remembered.
MEMORY_S = 600.0
MAX_CRASHES = 64
MAX_SUSPECTS = 12
MAX_WORKING_PARTS = 2_048


class Suspect(msgspec.Struct, frozen=True):
    """A prompt that an engine had when it crashed; see `CrashReport`."""

    account: int
    parts: tuple[int, ...]
    sent_at: float
    had_begun: bool


class Crash:
    """The crash of one engine, with the prompts that may have caused it."""

    __slots__ = ("_suspects", "at", "instance")

    def __init__(self, instance: str, at: float) -> None:
        self.instance = instance
        self.at = at
        self._suspects: list[Suspect] = []

    @property
    def suspects(self) -> list[Suspect]:
        """Return the prompts whose answers had begun, or all if there are none."""
        begun = [suspect for suspect in self._suspects if suspect.had_begun]
        return begun or self._suspects

    @property
    def has_begun(self) -> bool:
        """Return whether the answer to one of the prompts had begun."""
        return any(suspect.had_begun for suspect in self._suspects)

    def has_part(self, part: int) -> bool:
        """Return whether a prompt that may have caused the crash has a part."""
        return any(part in suspect.parts for suspect in self.suspects)

    def add(self, suspect: Suspect) -> bool:
        """Add a prompt; return whether it was new."""
        is_known = any(
            (known.account, known.parts, known.had_begun)
            == (suspect.account, suspect.parts, suspect.had_begun)
            for known in self._suspects
        )
        if is_known:
            return False
        if len(self._suspects) >= MAX_SUSPECTS and not self._drop_waiting(suspect):
            return False
        self._suspects.append(suspect)
        return True

    def _drop_waiting(self, suspect: Suspect) -> bool:
        """Make room for a prompt whose answer had begun, if another one's had not."""
        waiting = [known for known in self._suspects if not known.had_begun]
        if not suspect.had_begun or not waiting:
            return False
        self._suspects.remove(waiting[0])
        return True


class HarmfulPart(msgspec.Struct, frozen=True):
    """A part that explains crashes, the account that sent it, and the last crash."""

    part: int
    account: int
    crashed_at: float


class _Working(msgspec.Struct, frozen=True):
    """When the latest prompt with a part was sent that was answered without a crash.

    `is_own` is whether this node sent it.
    """

    sent_at: float
    is_own: bool


class _Candidate(msgspec.Struct):
    """A part with the crashes that it may have caused."""

    part: int
    position: int = 0
    accounts: set[int] = msgspec.field(default_factory=set)
    # Pairs of the time of a crash and of the sending of its prompt.
    times: list[tuple[float, float]] = msgspec.field(default_factory=list)

    @property
    def account(self) -> int:
        """Return the only account whose prompts had the part, or `ALL_ACCOUNTS`."""
        return next(iter(self.accounts)) if len(self.accounts) == 1 else ALL_ACCOUNTS

    @property
    def crashed_at(self) -> float:
        """Return the time of the last crash."""
        return max(at for at, _ in self.times)

    def count_sequential(self) -> int:
        """Count crashes whose prompt was sent after the previous counted crash.

        Engines that crash at the same time, for a cause of their own, count once.
        """
        count, last_at = 0, float("-inf")
        for at, sent_at in sorted(self.times):
            if sent_at >= last_at:
                count += 1
                last_at = at
        return count


class CrashEvidence:
    """The crashes and the harmless parts that one node knows of.

    Times are this node's monotonic seconds. If parts `are_prefixes`, crashes that
    a part in quarantine explains are evidence against shorter prefixes as well.
    """

    __slots__ = ("_are_prefixes", "_crashes", "_working", "changed_at", "counters")

    def __init__(self, are_prefixes: bool = False) -> None:
        self._are_prefixes = are_prefixes
        self._crashes: list[Crash] = []
        # Time of the latest crash of which a new report was recorded.
        self.changed_at = float("-inf")
        self._working: OrderedDict[int, _Working] = OrderedDict()
        self.counters = {"crashes": 0, "crashes_at_bound": 0, "suspects": 0}

    @property
    def crashes(self) -> tuple[Crash, ...]:
        """Return the remembered crashes, oldest first."""
        return tuple(self._crashes)

    def add_crash(self, instance: str, at: float, suspect: Suspect) -> bool:
        """Record a prompt that an engine had when it crashed; return whether new."""
        crash = next(
            (
                crash
                for crash in reversed(self._crashes)
                if crash.instance == instance and abs(crash.at - at) <= SAME_CRASH_S
            ),
            None,
        )
        if crash is None:
            if len(self._crashes) >= MAX_CRASHES:
                self.counters["crashes_at_bound"] += 1
                del self._crashes[0]
            crash = Crash(instance, at)
            self._crashes.append(crash)
            self.counters["crashes"] += 1
        is_new = crash.add(suspect)
        self.counters["suspects"] += is_new
        if is_new:
            self.changed_at = max(self.changed_at, at)
        return is_new

    def add_working(
        self, parts: Iterable[int], sent_at: float, is_own: bool = True
    ) -> None:
        """Record that a prompt with these parts was answered without a crash."""
        for part in parts:
            known = self._working.get(part)
            if known is None or known.sent_at < sent_at:
                self._working[part] = _Working(sent_at, is_own)
            self._working.move_to_end(part)
        while len(self._working) > MAX_WORKING_PARTS:
            self._working.popitem(last=False)

    def working_since(self, since: float) -> dict[int, float]:
        """Return what this node knows of the parts under suspicion since a time.

        The values are the times at which it sent the latest prompt with a part that was
        answered without a crash.
        """
        suspected = {
            part
            for crash in self._crashes
            if crash.at >= since
            for suspect in crash.suspects
            for part in suspect.parts
        }
        return {
            part: working.sent_at
            for part in suspected
            if (working := self._working.get(part)) is not None and working.is_own
        }

    def forget(self, now: float) -> None:
        """Remove old crashes."""
        self._crashes = [crash for crash in self._crashes if now - crash.at <= MEMORY_S]

    def find_harmful(
        self,
        now: float,
        is_covered: Callable[[Suspect], bool],
        is_quarantined: Callable[[int], bool],
    ) -> list[HarmfulPart]:
        """Return the fewest parts that explain the crashes, with enough evidence.

        Crashes with a prompt that `is_covered` are explained already. One further crash
        is enough for a part that `is_quarantined` for another client account.
        """
        settled = list(self._settled(now))
        crashes = [
            crash for crash in settled if not any(map(is_covered, crash.suspects))
        ]
        harmful: list[HarmfulPart] = []
        while True:
            known = settled if self._are_prefixes and crashes else crashes
            candidates = [
                candidate
                for candidate in self._candidates(known, is_quarantined)
                if known is crashes or _has_part(crashes, candidate.part)
                if self._is_harmful(candidate, now, is_quarantined(candidate.part))
            ]
            if not candidates:
                return harmful
            best = max(candidates, key=self._rank)
            is_extended = is_quarantined(best.part)
            account = ALL_ACCOUNTS if is_extended else best.account
            harmful.append(HarmfulPart(best.part, account, best.crashed_at))
            crashes = [crash for crash in crashes if not crash.has_part(best.part)]

    def _settled(self, now: float) -> Iterator[Crash]:
        """Yield the crashes whose reports have arrived.

        Nodes that have just started do not hear each other yet. Where engines crash
        under prompts whose answers had begun, a crash that is known only from prompts
        that waited gets more time, else the first part of sound prompts is blamed.
        """
        begun_at = max(
            (crash.at for crash in self._crashes if crash.has_begun),
            default=float("-inf"),
        )
        for crash in self._crashes:
            is_incomplete = not crash.has_begun and now - begun_at <= INCOMPLETE_S
            if now - crash.at >= (CONFIRM_S if is_incomplete else SETTLE_S):
                yield crash

    def _rank(self, candidate: _Candidate) -> tuple[bool, int, int, int]:
        """Return how likely a part is the cause, compared with other candidates.

        Other prompts may share the first parts, so later ones are more specific. The
        last prefixes belong to one prompt alone, whose attempts may be all crashes, so
        a prefix that further prompts have is more likely.
        """
        is_unknown = candidate.part not in self._working
        crashes = len(candidate.times)
        if self._are_prefixes:
            return is_unknown, crashes, candidate.position, candidate.part
        return is_unknown, candidate.position, crashes, candidate.part

    def _candidates(
        self, crashes: Iterable[Crash], is_quarantined: Callable[[int], bool]
    ) -> list[_Candidate]:
        """Return the parts that are in enough of the crashes and did not work since."""
        counts: Counter[int] = Counter()
        for crash in crashes:
            counts.update({part for item in crash.suspects for part in item.parts})
        frequent = {
            part
            for part, count in counts.items()
            if count >= MIN_CRASHES or is_quarantined(part)
        }
        if not frequent:
            return []
        candidates: dict[int, _Candidate] = {}
        for crash in crashes:
            for suspect in crash.suspects:
                for position, part in enumerate(suspect.parts):
                    if part not in frequent:
                        continue
                    working = self._working.get(part)
                    if working is not None and crash.at <= working.sent_at:
                        continue
                    candidate = candidates.setdefault(part, _Candidate(part))
                    candidate.position = max(candidate.position, position)
                    candidate.accounts.add(suspect.account)
                    candidate.times.append((crash.at, suspect.sent_at))
        return list(candidates.values())

    def _is_harmful(
        self, candidate: _Candidate, now: float, is_quarantined: bool
    ) -> bool:
        first_at = min(at for at, _ in candidate.times)
        if candidate.part in self._working and now - first_at < CONFIRM_S:
            return False
        return is_quarantined or candidate.count_sequential() >= MIN_CRASHES


def _has_part(crashes: Iterable[Crash], part: int) -> bool:
    return any(crash.has_part(part) for crash in crashes)
