"""Queue requests by weighted fair queueing between client accounts, in tokens.

Source: Golestani, "A self-clocked fair queueing scheme for broadband applications",
1994.
"""

import heapq
from collections import deque
from collections.abc import Callable

import msgspec

from dandelionpond.errors import ErrorKind
from dandelionpond.limits.settings import LimitsSettings
from dandelionpond.routing.settings import RoutingSettings

_CLASSES = 3


class QueuedRequest(msgspec.Struct, frozen=True):
    """Describe a request that waits.

    `deadline` and `enqueued_at` are monotonic seconds; `needed_s` is the time an
    engine needs for the request.
    """

    request_id: str
    account: str
    tokens: float
    deadline: float
    needed_s: float
    enqueued_at: float


class ExpiredRequest(msgspec.Struct, frozen=True):
    """Name a waiting request that can no longer make its deadline."""

    request: QueuedRequest
    kind: ErrorKind


class _Account:
    __slots__ = ("lanes", "size", "start", "weight")

    def __init__(self, weight: float, start: float) -> None:
        self.weight = weight
        self.start = start
        self.lanes: tuple[deque[QueuedRequest], ...] = tuple(
            deque() for _ in range(_CLASSES)
        )
        self.size = 0


class FairQueue:
    """Own the waiting requests of one node.

    Between accounts the smallest virtual finish time is served first. Within an account
    each length class has a lane; a lane's head is ranked by its arrival plus a delay
    that grows with its length and with `short_weight` up to `ageing_s`, so a long
    prompt precedes every shorter one that arrives more than `ageing_s` later. At
    `max_queue` or `max_queue_per_account` a request is refused and counted.
    """

    __slots__ = (
        "_accounts",
        "_policy",
        "_settings",
        "_size",
        "_tokens",
        "_virtual",
        "expired",
        "refused",
    )

    def __init__(self, settings: LimitsSettings, policy: RoutingSettings) -> None:
        self._settings = settings
        self._policy = policy
        self._accounts: dict[str, _Account] = {}
        self._size = 0
        self._tokens = 0.0
        self._virtual = 0.0
        self.refused = 0
        self.expired = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._size

    @property
    def tokens(self) -> float:
        """Return the tokens of all waiting requests."""
        return self._tokens

    @property
    def virtual_time(self) -> float:
        """Return the virtual time in tokens for a weight of one."""
        return self._virtual

    def configure(self, settings: LimitsSettings, policy: RoutingSettings) -> None:
        """Take new settings from the next event on."""
        self._settings = settings
        self._policy = policy

    def waiting(self, account: str) -> int:
        """Return the number of waiting requests of an account."""
        entry = self._accounts.get(account)
        return entry.size if entry else 0

    def tokens_before(
        self, account: str, weight: float, tokens: float, now: float
    ) -> float:
        """Return the tokens served before a new request if nothing else arrives."""
        entry = self._accounts.get(account)
        rank = self._rank(tokens, now)
        own = sum(
            item.tokens
            for lane in (entry.lanes if entry else ())
            for item in lane
            if self._rank(item.tokens, item.enqueued_at) <= rank
        )
        start = max(self._virtual, entry.start) if entry else self._virtual
        finish = start + (own + tokens) / weight
        total = own
        for name, other in self._accounts.items():
            if name == account:
                continue
            waiting = sum(item.tokens for lane in other.lanes for item in lane)
            total += min(waiting, max(0.0, finish - other.start) * other.weight)
        return total

    def offer(self, item: QueuedRequest, weight: float, now: float) -> ErrorKind | None:
        """Take a request, or return the kind of its refusal."""
        entry = self._accounts.get(item.account)
        if (
            self._size >= self._settings.max_queue
            or (entry.size if entry else 0) >= self._settings.max_queue_per_account
        ):
            self.refused += 1
            return ErrorKind.OVERLOADED
        if now + item.needed_s > item.deadline:
            self.refused += 1
            return ErrorKind.DEADLINE_UNREACHABLE
        if entry is None:
            entry = self._accounts[item.account] = _Account(weight, self._virtual)
        if entry.size == 0:
            entry.start = max(entry.start, self._virtual)
        entry.weight = weight
        entry.lanes[self._lane(item.tokens)].append(item)
        entry.size += 1
        self._size += 1
        self._tokens += item.tokens
        return None

    def pop(
        self, now: float, fits: Callable[[QueuedRequest], bool]
    ) -> QueuedRequest | None:
        """Return the next request for which `fits` holds, or None.

        A head that does not fit is passed over in this call, so a long prompt that
        waits for memory does not block short ones. At most `max_dispatch_tries` heads
        are tried.
        """
        order: list[tuple[float, str, int, int]] = []
        for name, entry in self._accounts.items():
            if entry.size == 0:
                continue
            ranked = sorted(
                (self._rank(lane[0].tokens, lane[0].enqueued_at), index)
                for index, lane in enumerate(entry.lanes)
                if lane
            )
            for place, (_, index) in enumerate(ranked):
                finish = entry.start + entry.lanes[index][0].tokens / entry.weight
                # A later lane of an account is tried only after its earlier ones.
                if place:
                    finish = max(finish, order[-1][0])
                order.append((finish, name, place, index))
        heapq.heapify(order)
        for _ in range(min(len(order), self._settings.max_dispatch_tries)):
            _, name, _, index = heapq.heappop(order)
            entry = self._accounts[name]
            item = entry.lanes[index][0]
            if not fits(item):
                continue
            entry.lanes[index].popleft()
            entry.start += item.tokens / entry.weight
            self._virtual = max(self._virtual, entry.start)
            self._drop(name, item)
            return item
        return None

    def remove(self, request_id: str, account: str) -> bool:
        """Remove a request whose caller is gone; say whether it waited."""
        entry = self._accounts.get(account)
        for lane in entry.lanes if entry else ():
            for item in lane:
                if item.request_id == request_id:
                    lane.remove(item)
                    self._drop(account, item)
                    return True
        return False

    def expire(self, now: float) -> list[ExpiredRequest]:
        """Remove and return the requests that can no longer make their deadline."""
        out: list[ExpiredRequest] = []
        for name in list(self._accounts):
            entry = self._accounts.get(name)
            if entry is None:
                continue
            for lane in entry.lanes:
                late = [item for item in lane if now + item.needed_s > item.deadline]
                for item in late:
                    lane.remove(item)
                    out.append(ExpiredRequest(item, ErrorKind.DEADLINE_BEFORE_SEND))
            for expired in out:
                if expired.request.account == name:
                    self._drop(name, expired.request)
        self.expired += len(out)
        return out

    def _lane(self, tokens: float) -> int:
        if tokens <= self._policy.short_prompt_tokens:
            return 0
        return 2 if tokens > self._policy.long_prompt_tokens else 1

    def _rank(self, tokens: float, enqueued_at: float) -> float:
        length = min(1.0, tokens / self._policy.long_prompt_tokens)
        return (
            enqueued_at + self._policy.short_weight * self._settings.ageing_s * length
        )

    def _drop(self, account: str, item: QueuedRequest) -> None:
        entry = self._accounts[account]
        entry.size -= 1
        self._size -= 1
        self._tokens -= item.tokens
        # An idle account has no claim from the past: once the virtual time has caught
        # up its entry carries no information, and the table stays bounded.
        if entry.size == 0:
            idle = [
                name
                for name, other in self._accounts.items()
                if other.size == 0 and other.start <= self._virtual
            ]
            for name in idle:
                del self._accounts[name]
