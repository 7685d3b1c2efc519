"""Order waiting prompts of the whole fleet, by the same rule on all nodes."""

import heapq
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import NamedTuple

from dandelionpond.admission.messages import (
    MS_PER_S,
    PromptClass,
    WaitingGroup,
    WaitingPrompt,
)

# Limit on the prompts that are counted for one group of a peer.
MAX_GROUP_COUNT = 256
# The least share of the slots that prompts of the lowest priority are expected to get.
MIN_SHARE_LEFT = 0.1
# Added to the priority of a prompt that has been placed before, so that it precedes
# the others of its priority.
PLACED_BEFORE = -0.5

# The groups of prompts that precede each other as a whole, by whether the account is
# far above its share, whether the class is not starved, and priority.
Tier = tuple[bool, bool, float]


class Entry(NamedTuple):
    """Waiting prompts of the fleet that have equal places in the order.

    Those of this node are one prompt each; `id` is None for `prompt_count` ones of a
    peer.
    """

    account: str
    prompt_class: PromptClass
    start_by: float
    engine_s: float
    is_blocked: bool
    id: str | None = None
    was_admitted: bool = False
    prompt_count: int = 1


class FleetView(NamedTuple):
    """The engine time that accounts use in the fleet, and what follows from it."""

    used: dict[str, float]
    far_above: frozenset[str]
    starved: frozenset[PromptClass]
    urgent_shares: Mapping[tuple[str, int], float]

    def share_left(self, prompt_class: PromptClass) -> float:
        """Return the share of slots that more urgent prompts to come leave a class."""
        if prompt_class in self.starved:
            return 1.0
        key = prompt_class.service, prompt_class.priority
        return max(MIN_SHARE_LEFT, 1.0 - self.urgent_shares.get(key, 0.0))


def own_entries(
    prompts: Iterable[WaitingPrompt], blocked: Collection[str]
) -> Iterator[Entry]:
    """Yield the prompts that wait at this node."""
    for prompt in prompts:
        yield Entry(
            prompt.account,
            prompt.prompt_class,
            prompt.start_by,
            prompt.engine_s,
            prompt.id in blocked,
            prompt.id,
            prompt.was_admitted,
        )


def group_entries(groups: Iterable[WaitingGroup], heard_at: float) -> Iterator[Entry]:
    """Yield the prompts that wait at a peer, as told at `heard_at`."""
    for group in groups:
        if group.count > 0:
            yield Entry(
                group.account,
                group.prompt_class,
                heard_at + group.start_by_ms / MS_PER_S,
                # `Positions` requires a use that does not decrease along the prompts.
                max(0, group.engine_ms) / MS_PER_S,
                group.is_blocked,
                prompt_count=min(group.count, MAX_GROUP_COUNT),
            )


def in_order(entries: Iterable[Entry], view: FleetView) -> Iterator[Entry]:
    """Yield waiting prompts one by one in the order in which they get slots.

    Accounts that use far more than their fair share come last, classes that are
    admitted far too rarely first. Then the order is by priority, by the engine time
    that an account has used, and by the latest start that is still in time.
    """
    used = dict(view.used)
    for _, accounts in sorted(group_by_tier(entries, view).items()):
        yield from _by_use(accounts, used)


def group_by_tier(
    entries: Iterable[Entry], view: FleetView
) -> dict[Tier, dict[str, list[Entry]]]:
    """Return waiting prompts by tier and account."""
    tiers: dict[Tier, dict[str, list[Entry]]] = {}
    for entry in entries:
        accounts = tiers.setdefault(_tier(entry, view), {})
        accounts.setdefault(entry.account, []).append(entry)
    return tiers


def start_by(entry: Entry) -> float:
    """Return the key by which the prompts of one account and tier are sorted."""
    return entry.start_by


def group_waiting(
    prompts: Iterable[WaitingPrompt], blocked: Collection[str], now: float
) -> list[WaitingGroup]:
    """Return the groups of waiting prompts, the one with the earliest start first."""
    groups: dict[tuple[str, PromptClass, bool], list[WaitingPrompt]] = {}
    for prompt in prompts:
        key = (prompt.account, prompt.prompt_class, prompt.id in blocked)
        groups.setdefault(key, []).append(prompt)
    return sorted(
        (
            WaitingGroup(
                *key,
                len(members),
                round(sum(p.engine_s for p in members) / len(members) * MS_PER_S),
                round((min(p.start_by for p in members) - now) * MS_PER_S),
            )
            for key, members in groups.items()
        ),
        key=_start_by,
    )


def _start_by(item: WaitingGroup) -> int:
    return item.start_by_ms


def _tier(entry: Entry, view: FleetView) -> Tier:
    is_far_above = entry.account in view.far_above
    is_starved = (
        bool(view.starved) and not is_far_above and entry.prompt_class in view.starved
    )
    shift = PLACED_BEFORE if entry.was_admitted else 0.0
    return is_far_above, not is_starved, entry.prompt_class.priority + shift


def _by_use(
    accounts: dict[str, list[Entry]], used: dict[str, float]
) -> Iterator[Entry]:
    """Yield the entries of one tier, each from the account with the least use so far.

    The time that an entry needs is added to `used`.
    """
    heap: list[tuple[float, float, str, int, int]] = []
    for account, entries in accounts.items():
        entries.sort(key=start_by)
        heap.append((used.get(account, 0.0), entries[0].start_by, account, 0, 0))
    heapq.heapify(heap)
    while heap:
        _, _, account, index, taken = heapq.heappop(heap)
        entries = accounts[account]
        entry = entries[index]
        yield entry
        if not entry.is_blocked:
            used[account] = used.get(account, 0.0) + entry.engine_s
        taken += 1
        if taken == entry.prompt_count:
            index, taken = index + 1, 0
        if index < len(entries):
            use = used.get(account, 0.0)
            heapq.heappush(heap, (use, entries[index].start_by, account, index, taken))
