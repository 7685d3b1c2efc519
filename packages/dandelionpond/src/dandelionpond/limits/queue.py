"""Queue requests with weighted fair queueing between client accounts, in tokens.

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

_LENGTH_CLASSES = 3


class QueuedRequest(msgspec.Struct, frozen=True):
    """A request in the queue.

    `deadline` and `enqueued_at` are in monotonic seconds; `needed_s` is the time that
    an engine needs for the request.
    """

    request_id: str
    account: str
    tokens: float
    deadline: float
    needed_s: float
    enqueued_at: float


class ExpiredRequest(msgspec.Struct, frozen=True):
    """A queued request that can no longer meet its deadline."""

    request: QueuedRequest
    kind: ErrorKind


class _AccountQueue:
    """The queued requests of an account.

    `start` is the virtual time at which the service of its next request begins.
    """

    __slots__ = ("lanes", "size", "start", "weight")

    def __init__(self, weight: float, start: float) -> None:
        self.weight = weight
        self.start = start
        self.lanes: tuple[deque[QueuedRequest], ...] = tuple(
            deque() for _ in range(_LENGTH_CLASSES)
        )
        self.size = 0


class FairQueue:
    """The queue of a node's requests, shared fairly between accounts by weight.

    The account with the smallest virtual finish time is served first. Each account has
    one FIFO lane per length class. The head of a lane is ranked by its arrival time
    plus a delay that grows with its length and with `short_weight`, up to `ageing_s`.
    A long prompt thus precedes every shorter one that arrives more than `ageing_s`
    later. At `max_queue` or `max_queue_per_account` requests are refused and counted.
    """

    __slots__ = (
        "_accounts",
        "_policy",
        "_settings",
        "_size",
        "_tokens",
        "_virtual_time",
        "expired",
        "refused",
    )

    def __init__(self, settings: LimitsSettings, policy: RoutingSettings) -> None:
        self._settings = settings
        self._policy = policy
        self._accounts: dict[str, _AccountQueue] = {}
        self._size = 0
        self._tokens = 0.0
        self._virtual_time = 0.0
        self.refused = 0
        self.expired = 0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return self._size

    @property
    def tokens(self) -> float:
        """Return the tokens of all queued requests."""
        return self._tokens

    @property
    def virtual_time(self) -> float:
        """Return the virtual time, in tokens at a weight of one."""
        return self._virtual_time

    def configure(self, settings: LimitsSettings, policy: RoutingSettings) -> None:
        """Apply new settings from the next event on."""
        self._settings = settings
        self._policy = policy

    def waiting(self, account: str) -> int:
        """Return the number of queued requests of an account."""
        account_queue = self._accounts.get(account)
        return account_queue.size if account_queue else 0

    def tokens_before(
        self, account: str, weight: float, tokens: float, now: float
    ) -> float:
        """Return the tokens served before a new request if no other request arrives."""
        account_queue = self._accounts.get(account)
        rank = self._rank(tokens, now)
        own_tokens = sum(
            item.tokens
            for lane in (account_queue.lanes if account_queue else ())
            for item in lane
            if self._rank(item.tokens, item.enqueued_at) <= rank
        )
        start = (
            max(self._virtual_time, account_queue.start)
            if account_queue
            else self._virtual_time
        )
        finish = start + (own_tokens + tokens) / weight
        total = own_tokens
        for name, other in self._accounts.items():
            if name == account:
                continue
            queued = sum(item.tokens for lane in other.lanes for item in lane)
            total += min(queued, max(0.0, finish - other.start) * other.weight)
        return total

    def offer(self, item: QueuedRequest, weight: float, now: float) -> ErrorKind | None:
        """Add a request to the queue, or return the error kind of its refusal."""
        account_queue = self._accounts.get(item.account)
        if (
            self._size >= self._settings.max_queue
            or (account_queue.size if account_queue else 0)
            >= self._settings.max_queue_per_account
        ):
            self.refused += 1
            return ErrorKind.OVERLOADED
        if now + item.needed_s > item.deadline:
            self.refused += 1
            return ErrorKind.DEADLINE_UNREACHABLE
        if account_queue is None:
            account_queue = self._accounts[item.account] = _AccountQueue(
                weight, self._virtual_time
            )
        if account_queue.size == 0:
            account_queue.start = max(account_queue.start, self._virtual_time)
        account_queue.weight = weight
        account_queue.lanes[self._lane_index(item.tokens)].append(item)
        account_queue.size += 1
        self._size += 1
        self._tokens += item.tokens
        return None

    def pop(
        self, now: float, fits: Callable[[QueuedRequest], bool]
    ) -> QueuedRequest | None:
        """Remove and return the next request for which `fits` is true, or None.

        A head for which `fits` is false is skipped, so that a long prompt that waits
        for memory does not block short ones. At most `max_dispatch_tries` heads are
        tried.
        """
        order: list[tuple[float, str, int, int]] = []
        for name, account_queue in self._accounts.items():
            if account_queue.size == 0:
                continue
            ranked = sorted(
                (self._rank(lane[0].tokens, lane[0].enqueued_at), index)
                for index, lane in enumerate(account_queue.lanes)
                if lane
            )
            for position, (_, index) in enumerate(ranked):
                finish = (
                    account_queue.start
                    + account_queue.lanes[index][0].tokens / account_queue.weight
                )
                # Lanes of an account are tried in the order of their ranks.
                if position:
                    finish = max(finish, order[-1][0])
                order.append((finish, name, position, index))
        heapq.heapify(order)
        for _ in range(min(len(order), self._settings.max_dispatch_tries)):
            _, name, _, index = heapq.heappop(order)
            account_queue = self._accounts[name]
            item = account_queue.lanes[index][0]
            if not fits(item):
                continue
            account_queue.lanes[index].popleft()
            account_queue.start += item.tokens / account_queue.weight
            self._virtual_time = max(self._virtual_time, account_queue.start)
            self._remove_from_counts(name, item)
            return item
        return None

    def remove(self, request_id: str, account: str) -> bool:
        """Remove a request whose caller is gone; return whether it was queued."""
        account_queue = self._accounts.get(account)
        for lane in account_queue.lanes if account_queue else ():
            for item in lane:
                if item.request_id == request_id:
                    lane.remove(item)
                    self._remove_from_counts(account, item)
                    return True
        return False

    def expire(self, now: float) -> list[ExpiredRequest]:
        """Remove and return the requests that can no longer meet their deadline."""
        expired_requests: list[ExpiredRequest] = []
        for name in list(self._accounts):
            account_queue = self._accounts.get(name)
            if account_queue is None:
                continue
            for lane in account_queue.lanes:
                late = [item for item in lane if now + item.needed_s > item.deadline]
                for item in late:
                    lane.remove(item)
                    expired_requests.append(
                        ExpiredRequest(item, ErrorKind.DEADLINE_BEFORE_SEND)
                    )
            for expired in expired_requests:
                if expired.request.account == name:
                    self._remove_from_counts(name, expired.request)
        self.expired += len(expired_requests)
        return expired_requests

    def _lane_index(self, tokens: float) -> int:
        if tokens <= self._policy.short_prompt_tokens:
            return 0
        return 2 if tokens > self._policy.long_prompt_tokens else 1

    def _rank(self, tokens: float, enqueued_at: float) -> float:
        relative_length = min(1.0, tokens / self._policy.long_prompt_tokens)
        return (
            enqueued_at
            + self._policy.short_weight * self._settings.ageing_s * relative_length
        )

    def _remove_from_counts(self, account: str, item: QueuedRequest) -> None:
        account_queue = self._accounts[account]
        account_queue.size -= 1
        self._size -= 1
        self._tokens -= item.tokens
        # An idle account gains no credit, so its queue carries no information once the
        # virtual time has reached its start. Dropping it keeps the table bounded.
        if account_queue.size == 0:
            idle = [
                name
                for name, other in self._accounts.items()
                if other.size == 0 and other.start <= self._virtual_time
            ]
            for name in idle:
                del self._accounts[name]
