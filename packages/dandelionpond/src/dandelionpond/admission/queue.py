"""Order the prompts that wait for capacity in the whole fleet, and refuse early.

`limits.queue.FairQueue` is not used here. It keeps the virtual time of one node, and
its requests go when that node has a turn. Here a freed slot goes to the first of all
nodes, and accounts are compared by the engine time that they use in the fleet.
"""

import copy
import itertools
import math
from collections import Counter
from collections.abc import Iterator, Mapping

import msgspec

from dandelionpond.admission.messages import (
    MS_PER_S,
    Admitted,
    PromptClass,
    RefusedForRoom,
    RoomNews,
    Wait,
    WaitingGroup,
    WaitingPrompt,
)
from dandelionpond.admission.order import (
    Entry,
    FleetView,
    group_entries,
    group_waiting,
    in_order,
    own_entries,
)
from dandelionpond.admission.positions import Positions
from dandelionpond.admission.releases import Capacity
from dandelionpond.admission.returns import ReturnTable
from dandelionpond.admission.shares import MAX_TOLD, FairShares, accounts_far_above

MAX_WAITING = 256
# Time in seconds after which what a peer has told is dropped.
NEWS_TTL_S = 1.0
# Time in seconds for which the use of accounts and the starved classes are not computed
# again. With 138 nodes it takes about a millisecond.
SHARES_TTL_S = 0.1
# Longest wait in seconds that a refusal states if nothing tells when slots are free,
# and the longest of one that ends after the deadline of the prompt.
MAX_RETRY_S = 30.0


class AccountCounts(msgspec.Struct):
    """What one account's prompts met at this node since capacity became short."""

    asked: int = 0
    admitted: int = 0
    refused_no_turn: int = 0
    refused_early_return: int = 0
    refused_in_queue: int = 0
    refused_no_upstream: int = 0


class RoomQueue:
    """The prompts that wait at one node, in the order of the whole fleet.

    All nodes apply the order of `in_order` to their own prompts and to those that peers
    tell of.
    """

    __slots__ = (
        "_blocked",
        "_capacities",
        "_heard_at",
        "_heard_short_at",
        "_news",
        "_peer_entries",
        "_refused",
        "_returns",
        "_shares",
        "_view",
        "_view_at",
        "_waiting",
        "accounts",
        "counters",
        "node_count",
    )

    def __init__(self, node: str) -> None:
        self._waiting: dict[str, WaitingPrompt] = {}
        # Prompts that had their turn and found no engine with enough free memory.
        self._blocked: set[str] = set()
        self._returns = ReturnTable(node)
        self._shares = FairShares()
        self._capacities: dict[str, Capacity] = {}
        # What peers told, by node, and when.
        self._news: dict[str, RoomNews] = {}
        self._heard_at: dict[str, float] = {}
        # The prompts that peers told of, built when they are needed first.
        self._peer_entries: dict[str, tuple[Entry, ...]] = {}
        self._heard_short_at = -math.inf
        self._view = FleetView({}, frozenset(), frozenset(), {})
        self._view_at = -math.inf
        self._refused: dict[str, RefusedForRoom] = {}
        self.node_count = 1
        self.accounts: dict[str, AccountCounts] = {}
        self.counters = {
            "admitted": 0,
            "waited": 0,
            "refused_no_turn": 0,
            "refused_early_return": 0,
            "refused_in_queue": 0,
            "refused_no_upstream": 0,
            "left": 0,
            "queue_at_bound": 0,
            "news_at_bound": 0,
        }

    def __len__(self) -> int:
        """Return the number of prompts that wait here."""
        return len(self._waiting)

    @property
    def remembered(self) -> int:
        """Return the number of remembered refusals."""
        return len(self._returns)

    def read_counters(self) -> dict[str, int]:
        """Return the counters, with those of the bounds of the tables."""
        return {
            **self.counters,
            "returns_at_bound": self._returns.at_bound,
            "sums_at_bound": self._shares.at_bound,
        }

    def is_short(self, now: float) -> bool:
        """Return whether prompts wait, or wait for their return, here or at a peer."""
        return self._is_short_here(now) or now - self._heard_short_at < NEWS_TTL_S

    def services(self) -> frozenset[str]:
        """Return the services for which prompts wait here."""
        return frozenset(
            prompt.prompt_class.service for prompt in self._waiting.values()
        )

    def waiting_ids(self, service: str) -> tuple[str, ...]:
        """Return the prompts of a service that wait here."""
        return tuple(
            prompt.id
            for prompt in self._waiting.values()
            if prompt.prompt_class.service == service
        )

    def set_capacity(self, service: str, capacity: Capacity) -> None:
        """Set the predicted capacity of a service."""
        self._capacities[service] = capacity

    def record_placed(
        self, account: str, prompt_class: PromptClass, engine_s: float, now: float
    ) -> None:
        """Count a prompt that was placed at once while capacity was not short."""
        self._shares.record_use(account, engine_s, now)
        self._shares.record_asked(prompt_class, now)
        self._shares.record_admitted(prompt_class, now)

    def enter(
        self, prompt: WaitingPrompt, now: float
    ) -> Admitted | Wait | RefusedForRoom:
        """Decide on a prompt that asks for capacity; add it unless it is refused."""
        self._expire(now)
        counts = self._count(prompt.account)
        counts.asked += 1
        known = None if prompt.was_admitted else self._returns.find(prompt.key)
        if known is not None:
            if known.is_early(now):
                counts.refused_early_return += 1
                self.counters["refused_early_return"] += 1
                return RefusedForRoom(known.due_at - now)
            prompt = msgspec.structs.replace(prompt, arrived_at=known.arrived_at)
        self._waiting[prompt.id] = prompt
        capacity = self._capacity(prompt)
        service = prompt.prompt_class.service
        positions = self._positions(service, now)
        ahead = positions.count_ahead(prompt.id)
        share = self._current_view(now).share_left(prompt.prompt_class)
        wait_s = capacity.wait_s(ahead) / share
        returns = self._returns_before(prompt, now, now + wait_s)
        wait_s = capacity.wait_s(ahead + returns) / share
        if not prompt.was_admitted and not _is_in_time(prompt, now + wait_s):
            counts.refused_no_turn += 1
            return self._refuse(prompt, wait_s, "refused_no_turn", now)
        if len(self._waiting) > MAX_WAITING:
            self.counters["queue_at_bound"] += 1
            longest = self._longest_service()
            if longest != service:
                positions = self._positions(longest, now)
            last = positions.last()
            if last == prompt.id:
                counts.refused_in_queue += 1
                return self._refuse(prompt, wait_s, "refused_in_queue", now)
            ahead_of_last = positions.count_ahead(last)
            self._refuse_waiting(self._waiting[last], ahead_of_last, now)
        if ahead < capacity.free:
            return Admitted()
        self.counters["waited"] += 1
        return Wait(wait_s)

    def preview(
        self, prompt: WaitingPrompt, capacity: Capacity, node_count: int, now: float
    ) -> Admitted | Wait | RefusedForRoom:
        """Return what `enter` would decide on a prompt, without any effect."""
        queue = copy.copy(self)
        queue._waiting = dict(self._waiting)
        queue._blocked = set(self._blocked)
        queue._returns = self._returns.copy()
        queue._shares = self._shares.copy()
        queue._capacities = {
            **self._capacities,
            prompt.prompt_class.service: capacity,
        }
        queue._news = dict(self._news)
        queue._heard_at = dict(self._heard_at)
        queue._peer_entries = dict(self._peer_entries)
        queue._view = self._view._replace(used=dict(self._view.used))
        queue._refused = {}
        queue.node_count = node_count
        queue.accounts = {}
        queue.counters = dict(self.counters)
        return queue.enter(prompt, now)

    def next(self, now: float, free: Mapping[str, int]) -> tuple[str, ...]:
        """Return the prompts of this node that may try now, by free slots per service.

        Prompts that had their turn without success try again whenever a slot is free.
        Long prompts don't pass a long one that waits for memory, short ones do.
        """
        self._expire(now)
        ids: list[str] = []
        for service in sorted(self.services()):
            left, is_memory_awaited = free.get(service, 0), False
            if left <= 0:
                continue
            for entry in self._order(service, now):
                if left <= 0:
                    break
                if entry.is_blocked:
                    is_memory_awaited |= entry.prompt_class.is_long
                elif entry.prompt_class.is_long and is_memory_awaited:
                    continue
                else:
                    left -= 1
                if entry.id is not None:
                    ids.append(entry.id)
        return tuple(ids)

    def admit(self, id: str, now: float) -> None:
        """Record that a prompt was placed."""
        prompt = self._waiting.pop(id)
        self._blocked.discard(id)
        self.counters["admitted"] += 1
        self._count(prompt.account).admitted += 1
        if prompt.was_admitted:
            # Its engine time was charged when it was placed first.
            return
        if self._returns.find(prompt.key) is None:
            self._record_asked(prompt, now)
        self._returns.forget(prompt.key)
        self._shares.record_use(prompt.account, prompt.engine_s, now)
        self._shares.record_admitted(prompt.prompt_class, now)
        # Until the view is computed again, it is too old for the next slot otherwise.
        used = self._view.used
        used[prompt.account] = used.get(prompt.account, 0.0) + prompt.engine_s

    def mark_blocked(self, id: str) -> None:
        """Record that a prompt had its turn, but no engine had enough free memory."""
        if id in self._waiting:
            self._blocked.add(id)

    def leave(self, id: str) -> None:
        """Remove a prompt whose caller has left; no effect if it does not wait."""
        self._refused.pop(id, None)
        if self._waiting.pop(id, None) is not None:
            self._blocked.discard(id)
            self.counters["left"] += 1

    def refuse_unservable(self, id: str) -> None:
        """Remove a prompt for which no upstream is left; no effect if it is gone.

        It gets no turn, because nothing tells when there will be an upstream again.
        """
        prompt = self._waiting.pop(id, None)
        if prompt is not None:
            self._blocked.discard(id)
            self._count(prompt.account).refused_no_upstream += 1
            self.counters["refused_no_upstream"] += 1

    def take_refused(self, now: float) -> tuple[tuple[str, RefusedForRoom], ...]:
        """Return and remove the waiting prompts that are refused by now.

        These are the last in order at the bound, and prompts whose time is past.
        """
        late: dict[str, list[WaitingPrompt]] = {}
        for prompt in self._waiting.values():
            limit = prompt.deadline_at if prompt.was_admitted else prompt.give_up_at
            if now + prompt.first_event_s > limit:
                late.setdefault(prompt.prompt_class.service, []).append(prompt)
        for service, prompts in late.items():
            # Once for all of them: a crowd that came together gives up together.
            positions = self._positions(service, now)
            ahead = positions.count_ahead_of_each(prompt.id for prompt in prompts)
            for prompt in prompts:
                self._refuse_waiting(prompt, ahead[prompt.id], now)
        refused = tuple(self._refused.items())
        self._refused.clear()
        return refused

    def take_refusal(self, id: str) -> RefusedForRoom | None:
        """Return and remove the refusal of one prompt; None if it still waits."""
        return self._refused.pop(id, None)

    def receive(self, node: str, news: RoomNews | None, now: float) -> None:
        """Store what a peer tells; None if it tells nothing."""
        if news is None:
            if node in self._news:
                self._drop_peer(node)
            return
        self._news[node] = news
        self._peer_entries.pop(node, None)
        self._heard_at[node] = now
        self._shares.set_peer(node, news)
        self._returns.receive(news.returns, now)
        if news.is_short:
            self._heard_short_at = now

    def news(self, now: float) -> RoomNews | None:
        """Return what peers need to know; None while capacity is not short."""
        if not self.is_short(now):
            return None
        return RoomNews(
            self._told_groups(now),
            self._shares.told_use(now),
            self._shares.told_classes(now),
            self._returns.told(now),
            self._is_short_here(now),
        )

    def waiting_by_account(self) -> dict[str, int]:
        """Return the number of prompts that wait here by account."""
        counts: dict[str, int] = {}
        for prompt in self._waiting.values():
            counts[prompt.account] = counts.get(prompt.account, 0) + 1
        return counts

    def used(self, now: float) -> dict[str, float]:
        """Return the engine time of each account in the fleet, in seconds."""
        return self._shares.used(now)

    def clear_accounts(self) -> None:
        """Start the counts by account again."""
        self.accounts.clear()

    def _is_short_here(self, now: float) -> bool:
        return bool(self._waiting) or self._returns.has_early(now)

    def _capacity(self, prompt: WaitingPrompt) -> Capacity:
        return self._capacities.get(prompt.prompt_class.service, Capacity())

    def _count(self, account: str) -> AccountCounts:
        return self.accounts.setdefault(account, AccountCounts())

    def _record_asked(self, prompt: WaitingPrompt, now: float) -> None:
        if prompt.account not in self._current_view(now).far_above:
            self._shares.record_asked(prompt.prompt_class, now)

    def _refuse_waiting(self, prompt: WaitingPrompt, ahead: int, now: float) -> None:
        wait_s = self._capacity(prompt).wait_s(ahead)
        self._count(prompt.account).refused_in_queue += 1
        refused = self._refuse(prompt, wait_s, "refused_in_queue", now)
        self._refused[prompt.id] = refused

    def _refuse(
        self, prompt: WaitingPrompt, wait_s: float, reason: str, now: float
    ) -> RefusedForRoom:
        del self._waiting[prompt.id]
        self._blocked.discard(prompt.id)
        self.counters[reason] += 1
        if prompt.was_admitted:
            # It may have run, so its caller is not told to come back.
            return RefusedForRoom(min(wait_s, MAX_RETRY_S))
        if self._returns.find(prompt.key) is None:
            self._record_asked(prompt, now)
        service = prompt.prompt_class.service
        rate = self._capacity(prompt).rate_per_s
        turn_s = self.node_count / rate if rate > 0 else MAX_RETRY_S
        accounts = self._returns.accounts(service, now) | {prompt.account}
        due_at = self._returns.refuse(
            prompt,
            now + min(wait_s, MAX_RETRY_S),
            turn_s,
            turn_s * len(accounts),
            max(prompt.deadline_at, now + MAX_RETRY_S),
        )
        return RefusedForRoom(due_at - now)

    def _returns_before(self, prompt: WaitingPrompt, now: float, until: float) -> int:
        """Return how many refused prompts come back before and precede this one."""
        used = self._current_view(now).used
        own = used.get(prompt.account, 0.0)
        prompt_class = prompt.prompt_class
        return sum(
            entry.key != prompt.key
            and entry.prompt_class.priority <= prompt_class.priority
            and (entry.account == prompt.account or used.get(entry.account, 0.0) < own)
            for entry in self._returns.expected(prompt_class.service, now, until)
            if entry.arrived_at <= prompt.arrived_at
        )

    def _longest_service(self) -> str:
        """Return the service with most prompts waiting here.

        A service must not be refused for the queue of another one.
        """
        counts = Counter(
            prompt.prompt_class.service for prompt in self._waiting.values()
        )
        return max(counts, key=lambda name: (counts[name], name))

    def _current_view(self, now: float) -> FleetView:
        if now - self._view_at >= SHARES_TTL_S:
            used = self._shares.used(now)
            waiting = [
                (prompt.account, prompt.engine_s) for prompt in self._waiting.values()
            ]
            waiting += [
                (group.account, group.count * group.engine_ms / MS_PER_S)
                for news in self._news.values()
                for group in news.waiting
            ]
            far_above = accounts_far_above(used, waiting)
            self._view = FleetView(
                used,
                far_above,
                self._shares.starved_classes(now),
                self._shares.urgent_shares(now),
            )
            self._view_at = now
        return self._view

    def _order(self, service: str, now: float) -> Iterator[Entry]:
        """Yield the waiting prompts of the whole fleet in their order."""
        return in_order(self._entries(service), self._current_view(now))

    def _positions(self, service: str, now: float) -> Positions:
        """Return the positions of this node's prompts of a service."""
        return Positions(self._entries(service), self._current_view(now))

    def _entries(self, service: str) -> Iterator[Entry]:
        """Yield the waiting prompts of a service in the whole fleet."""
        entries = own_entries(self._waiting.values(), self._blocked)
        for node, news in self._news.items():
            if node not in self._peer_entries:
                heard_at = self._heard_at[node]
                self._peer_entries[node] = tuple(group_entries(news.waiting, heard_at))
        peers = (self._peer_entries[node] for node in self._news)
        for entry in itertools.chain(entries, *peers):
            if entry.prompt_class.service == service:
                yield entry

    def _told_groups(self, now: float) -> tuple[WaitingGroup, ...]:
        groups = group_waiting(self._waiting.values(), self._blocked, now)
        self.counters["news_at_bound"] += len(groups) > MAX_TOLD
        return tuple(groups[:MAX_TOLD])

    def _expire(self, now: float) -> None:
        self._returns.expire(now)
        for node, heard_at in list(self._heard_at.items()):
            if now - heard_at >= NEWS_TTL_S:
                self._drop_peer(node)

    def _drop_peer(self, node: str) -> None:
        del self._news[node]
        self._peer_entries.pop(node, None)
        del self._heard_at[node]
        self._shares.set_peer(node, None)


def _is_in_time(prompt: WaitingPrompt, start_at: float) -> bool:
    return start_at + prompt.first_event_s <= prompt.give_up_at
