"""Track the engine time of client accounts and the share of prompts admitted.

Values decay exponentially, so they tell of about the last `MEMORY_S` seconds, those of
classes of the last `CLASS_MEMORY_S`.
"""

import copy
import math
from collections.abc import Iterable, Mapping
from typing import Generic, TypeVar

import msgspec

from dandelionpond.admission.messages import (
    MS_PER_S,
    AccountUse,
    ClassCounts,
    PromptClass,
    RoomNews,
)
from dandelionpond.limits.grants import max_min_share

# Time constant of the decay in seconds: several times the longest wait of a short
# prompt, and short enough that an account which ends a burst soon has its share again.
MEMORY_S = 10.0
# The same for the numbers of prompts by class, because long prompts are rare.
CLASS_MEMORY_S = 60.0
# An account above this many times its fair share comes after all others, also with more
# urgent prompts. Below it, the order within a priority keeps it near its share.
FAR_ABOVE_SHARE = 2.0
# A class that is admitted less than this many times as often as the rest of its service
# comes first. The requirement is half as often.
STARVED_RATIO = 0.6
# Number of prompts that a class must have had for its share to be meaningful.
MIN_CLASS_ASKED = 4.0
COUNT_SCALE = 10
# Limit on the accounts and classes that are tracked, and on those in a heartbeat.
MAX_TRACKED = 512
MAX_TOLD = 16

Key = TypeVar("Key")


class DecayingSums(Generic[Key]):
    """Sums by key that decay over time; the smallest is dropped at `MAX_TRACKED`."""

    __slots__ = ("_memory_s", "_sums", "at_bound")

    def __init__(self, memory_s: float) -> None:
        self._memory_s = memory_s
        self._sums: dict[Key, tuple[float, float]] = {}
        self.at_bound = 0

    def copy(self) -> "DecayingSums[Key]":
        """Return independent sums with the same values."""
        sums = copy.copy(self)
        sums._sums = dict(self._sums)
        return sums

    def add(self, key: Key, amount: float, now: float) -> None:
        """Add to a sum."""
        if key not in self._sums and len(self._sums) >= MAX_TRACKED:
            del self._sums[min(self._sums, key=lambda other: self.get(other, now))]
            self.at_bound += 1
        self._sums[key] = self.get(key, now) + amount, now

    def get(self, key: Key, now: float) -> float:
        """Return the current value of a sum."""
        value, at = self._sums.get(key, (0.0, now))
        return value * math.exp((at - now) / self._memory_s)

    def current(self, now: float) -> dict[Key, float]:
        """Return all sums with their current values."""
        return {key: self.get(key, now) for key in self._sums}


class _Counts(msgspec.Struct):
    """The numbers of prompts that asked and of those that were admitted."""

    asked: float = 0.0
    admitted: float = 0.0


class FairShares:
    """The use of all accounts in the fleet and the admission of all classes.

    Own values are measured; those of peers come from their heartbeats.
    """

    __slots__ = ("_admitted", "_asked", "_peers", "_used")

    def __init__(self) -> None:
        self._used: DecayingSums[str] = DecayingSums(MEMORY_S)
        self._asked: DecayingSums[PromptClass] = DecayingSums(CLASS_MEMORY_S)
        self._admitted: DecayingSums[PromptClass] = DecayingSums(CLASS_MEMORY_S)
        self._peers: dict[str, RoomNews] = {}

    @property
    def at_bound(self) -> int:
        """Return how many sums were dropped at the bound."""
        sums = (self._used, self._asked, self._admitted)
        return sum(table.at_bound for table in sums)

    def copy(self) -> "FairShares":
        """Return independent shares with the same values."""
        shares = copy.copy(self)
        shares._used = self._used.copy()
        shares._asked = self._asked.copy()
        shares._admitted = self._admitted.copy()
        shares._peers = dict(self._peers)
        return shares

    def record_use(self, account: str, engine_s: float, now: float) -> None:
        """Charge engine time to an account."""
        self._used.add(account, engine_s, now)

    def record_asked(self, prompt_class: PromptClass, now: float) -> None:
        """Count a prompt that was admitted or refused for the first time."""
        self._asked.add(prompt_class, 1.0, now)

    def record_admitted(self, prompt_class: PromptClass, now: float) -> None:
        """Count an admitted prompt."""
        self._admitted.add(prompt_class, 1.0, now)

    def set_peer(self, node: str, news: RoomNews | None) -> None:
        """Replace what a peer has told; None drops it."""
        if news is None:
            self._peers.pop(node, None)
        else:
            self._peers[node] = news

    def used(self, now: float) -> dict[str, float]:
        """Return the engine time of each account in the whole fleet, in seconds."""
        used = self._used.current(now)
        for news in self._peers.values():
            for use in news.used:
                used[use.account] = (
                    used.get(use.account, 0.0) + use.engine_ms / MS_PER_S
                )
        return used

    def starved_classes(self, now: float) -> frozenset[PromptClass]:
        """Return the classes that are admitted far less often than the rest."""
        counts = self._class_counts(now)
        totals: dict[str, _Counts] = {}
        for prompt_class, count in counts.items():
            total = totals.setdefault(prompt_class.service, _Counts())
            total.asked += count.asked
            total.admitted += count.admitted
        return frozenset(
            prompt_class
            for prompt_class, count in counts.items()
            if count.asked >= MIN_CLASS_ASKED
            and _is_starved(count, totals[prompt_class.service])
        )

    def urgent_shares(self, now: float) -> dict[tuple[str, int], float]:
        """Return which share of admissions is more urgent, by service and priority."""
        admitted: dict[tuple[str, int], float] = {}
        totals: dict[str, float] = {}
        for prompt_class, count in self._class_counts(now).items():
            key = prompt_class.service, prompt_class.priority
            admitted[key] = admitted.get(key, 0.0) + count.admitted
            totals[key[0]] = totals.get(key[0], 0.0) + count.admitted
        shares, more_urgent = {}, dict.fromkeys(totals, 0.0)
        for key in sorted(admitted):
            service = key[0]
            if totals[service] > 0:
                shares[key] = more_urgent[service] / totals[service]
            more_urgent[service] += admitted[key]
        return shares

    def told_use(self, now: float) -> tuple[AccountUse, ...]:
        """Return the largest uses through this node, to be told to peers."""
        largest = sorted(self._used.current(now).items(), key=lambda item: -item[1])
        told = (
            AccountUse(account, round(engine_s * MS_PER_S))
            for account, engine_s in largest[:MAX_TOLD]
        )
        return tuple(use for use in told if use.engine_ms > 0)

    def told_classes(self, now: float) -> tuple[ClassCounts, ...]:
        """Return the counts of the classes with most prompts at this node."""
        largest = sorted(self._asked.current(now).items(), key=lambda item: -item[1])
        told = (
            ClassCounts(
                prompt_class,
                round(asked * COUNT_SCALE),
                round(self._admitted.get(prompt_class, now) * COUNT_SCALE),
            )
            for prompt_class, asked in largest[:MAX_TOLD]
        )
        return tuple(counts for counts in told if counts.asked > 0)

    def _class_counts(self, now: float) -> dict[PromptClass, _Counts]:
        """Return the counts of all classes in the whole fleet."""
        counts: dict[PromptClass, _Counts] = {}
        for prompt_class, asked in self._asked.current(now).items():
            counts[prompt_class] = _Counts(asked, self._admitted.get(prompt_class, now))
        for news in self._peers.values():
            for told in news.classes:
                count = counts.setdefault(told.prompt_class, _Counts())
                count.asked += told.asked / COUNT_SCALE
                count.admitted += told.admitted / COUNT_SCALE
        return counts


def accounts_far_above(
    used: Mapping[str, float], waiting: Iterable[tuple[str, float]]
) -> frozenset[str]:
    """Return the accounts that use far more engine time than their fair share.

    `waiting` has the account and the engine time of each waiting prompt. The fair share
    is max-min fair with equal weights: what small accounts leave is for the others.
    """
    demands = dict(used)
    for account, engine_s in waiting:
        demands[account] = demands.get(account, 0.0) + engine_s
    if len(demands) < 2:
        return frozenset()
    entries = [(demand, 1) for demand in demands.values()]
    share = max_min_share(entries, sum(used.values()), math.inf)
    return frozenset(
        account for account, value in used.items() if value > FAR_ABOVE_SHARE * share
    )


def _is_starved(count: _Counts, total: _Counts) -> bool:
    asked, admitted = total.asked - count.asked, total.admitted - count.admitted
    if asked < MIN_CLASS_ASKED:
        return False
    return count.admitted / count.asked < STARVED_RATIO * admitted / asked
