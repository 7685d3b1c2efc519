"""Find positions in the order of waiting prompts without a pass over all of them.

Within a tier, an account's next prompt is compared by the use of the account before it,
by its latest start and by the account's name. Neither use nor latest start decreases
along the prompts of one account. So the order of a tier is that of these keys, and a
prompt is preceded by those of each account whose keys are lower.

The use is added up prompt by prompt, as in `in_order`: a product would be rounded
differently and could decide otherwise between accounts that used the same.
"""

from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Iterable
from itertools import accumulate, repeat

from dandelionpond.admission.order import (
    Entry,
    FleetView,
    Tier,
    group_by_tier,
    start_by,
)

# Use of the account before a prompt, its latest start, and the account.
_Key = tuple[float, float, str]


class _AccountEntries:
    """The prompts of one account and tier in their order.

    `keys` are those of the first prompt of each entry, `ahead` the numbers of prompts
    before each entry without those that are blocked.
    """

    __slots__ = ("_use_lists", "ahead", "end_use", "entries", "keys", "total")

    def __init__(self, account: str, entries: list[Entry], use: float) -> None:
        entries.sort(key=start_by)
        self.entries = entries
        self.keys: list[_Key] = []
        self.ahead: list[int] = []
        self.total = 0
        for entry in entries:
            self.keys.append((use, entry.start_by, account))
            self.ahead.append(self.total)
            if not entry.is_blocked:
                use = deque(_uses(use, entry), maxlen=1)[0]
                self.total += entry.prompt_count
        self.end_use = use
        # The use before each prompt of an entry, by the index of the entry. Lists are
        # built when they are needed first, which is once for many prompts.
        self._use_lists: dict[int, list[float]] = {}

    def count_lower(self, key: _Key) -> int:
        """Return how many prompts have a lower key; those that are blocked are not."""
        index = bisect_left(self.keys, key) - 1
        if index < 0:
            return 0
        entry, (use, _, account) = self.entries[index], self.keys[index]
        if entry.is_blocked:
            return self.ahead[index]
        uses = self._use_lists.get(index)
        if uses is None:
            uses = self._use_lists[index] = list(_uses(use, entry))
            uses.pop()
        is_first = (entry.start_by, account) < key[1:]
        bisect = bisect_right if is_first else bisect_left
        return self.ahead[index] + bisect(uses, key[0])


class Positions:
    """The positions of this node's prompts in the order of the whole fleet.

    The prompts of one group of a peer are handled together, so the work is bounded by
    the number of groups; only their use is added up one by one, in compiled code.
    """

    __slots__ = ("_own", "_tiers")

    def __init__(self, entries: Iterable[Entry], view: FleetView) -> None:
        self._tiers: dict[Tier, dict[str, _AccountEntries]] = {}
        # The tier, account and index of each prompt of this node.
        self._own: dict[str, tuple[Tier, str, int]] = {}
        used = dict(view.used)
        for tier, accounts in sorted(group_by_tier(entries, view).items()):
            in_tier = self._tiers[tier] = {}
            for account, account_entries in accounts.items():
                ordered = _AccountEntries(
                    account, account_entries, used.get(account, 0.0)
                )
                in_tier[account] = ordered
                used[account] = ordered.end_use
                for index, entry in enumerate(ordered.entries):
                    if entry.id is not None:
                        self._own[entry.id] = tier, account, index

    def count_ahead(self, id: str) -> int:
        """Return how many prompts precede one, without those that are blocked."""
        own_tier, own_account, index = self._own[id]
        own = self._tiers[own_tier][own_account]
        ahead = own.ahead[index]
        for tier, accounts in self._tiers.items():
            if tier < own_tier:
                ahead += sum(entries.total for entries in accounts.values())
        for account, entries in self._tiers[own_tier].items():
            if account != own_account:
                ahead += entries.count_lower(own.keys[index])
        return ahead

    def count_ahead_of_each(self, ids: Iterable[str]) -> dict[str, int]:
        """Return the result of `count_ahead` for each of these prompts.

        They do not count for each other.
        """
        counts: dict[str, int] = {}
        counted = 0
        for id in sorted(ids, key=self._place):
            counts[id] = self.count_ahead(id) - counted
            tier, account, index = self._own[id]
            counted += not self._tiers[tier][account].entries[index].is_blocked
        return counts

    def last(self) -> str:
        """Return the last prompt of this node."""
        return max(self._own, key=self._place)

    def _place(self, id: str) -> tuple[Tier, _Key, int]:
        """Return the key by which the prompts of this node are in order."""
        tier, account, index = self._own[id]
        return tier, self._tiers[tier][account].keys[index], index


def _uses(use: float, entry: Entry) -> Iterable[float]:
    """Return the use before each prompt of an entry, and that after the last one."""
    return accumulate(repeat(entry.engine_s, entry.prompt_count), initial=use)
