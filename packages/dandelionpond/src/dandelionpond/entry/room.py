"""Let prompts wait for capacity, and wake those whose turn it is."""

import asyncio
import copy
import logging
from collections.abc import Callable, Iterable
from typing import TypeVar

import msgspec
import xxhash

from dandelionpond.admission.messages import (
    Admitted,
    PromptClass,
    RefusedForRoom,
    Wait,
    WaitingPrompt,
    size_class,
)
from dandelionpond.admission.releases import (
    DurationRatio,
    engine_seconds,
    token_step_s,
)
from dandelionpond.entry.attempts import (
    EXCLUDED_RETRY_AFTER_S,
    RETRY_AFTER_S,
    priority_of,
)
from dandelionpond.entry.client_requests import IncomingRequest
from dandelionpond.entry.fleet import Fleet
from dandelionpond.entry.hopeless import WaitingRequests
from dandelionpond.placement.engine_time import prefill_s
from dandelionpond.placement.placement import (
    FIRST_EVENT_TIMEOUT_FACTOR,
    LONG_PREFILL_S,
    PART_COUNTS,
    USABLE_MEMORY_SHARE,
    client_timeout_s,
)
from dandelionpond.published.messages import EngineCostModel

log = logging.getLogger("dandelionpond.admission")

# Longest time in seconds between two checks for free slots while prompts wait, and the
# shortest: one change of the work of a peer is followed by others.
CHECK_INTERVAL_S = 0.02
MIN_CHECK_INTERVAL_S = 0.01
# Time in seconds after which releases of slots are predicted again for the prompts that
# wait already.
PREDICTION_TTL_S = 0.1
# Shortest time in seconds between two heartbeats that are sent because the waiting
# prompts changed; other heartbeats carry them as well.
NEWS_INTERVAL_S = 0.02
# Longest time in seconds that prompts wait if all engines of a service want no requests
# for some time.
MAX_AWAITED_PAUSE_S = 1.0
# Interval in seconds of the log lines with the state of the accounts, and the limit on
# the accounts in one line.
ACCOUNTS_LOG_INTERVAL_S = 5.0
MAX_LOGGED_ACCOUNTS = 16
# Number of parts in which a long prompt is expected to be read. Placement decides it
# only when there is room.
EXPECTED_PARTS = 4
# Largest share of the patience of its caller that a prefill is expected to take.
MAX_PREFILL_SHARE = 0.5

Placed = TypeVar("Placed")


class WaitingRoom:
    """The prompts of this node that wait for capacity.

    `RoomQueue` decides; this class keeps the callers' tasks and the timers.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._futures: dict[str, asyncio.Future[RefusedForRoom | None]] = {}
        self._requests = WaitingRequests(fleet)
        self._models: dict[str, EngineCostModel] = {}
        self._durations = DurationRatio()
        self._predicted_at: dict[str, float] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._checked_at = 0.0
        self._news_at = 0.0
        self._was_short = False
        self._accounts_logged_at = 0.0
        self.on_news: Callable[[], None] = _no_op

    def build_prompt(
        self, request: IncomingRequest, model: EngineCostModel, was_admitted: bool
    ) -> WaitingPrompt:
        """Return what the queue needs to know of a request."""
        route, head = request.route, request.head
        patience_s = max(
            client_timeout_s(route.gap_target_s),
            FIRST_EVENT_TIMEOUT_FACTOR * route.target_s,
        )
        first_event_s = prefill_s(model, head.prompt_tokens)
        if first_event_s > LONG_PREFILL_S:
            first_event_s = max(LONG_PREFILL_S, first_event_s / EXPECTED_PARTS)
            # The estimate is too rough to refuse a prompt while slots are free.
            first_event_s = min(first_event_s, MAX_PREFILL_SHARE * patience_s)
        return WaitingPrompt(
            request.local_id,
            _prompt_key(request),
            request.account.name if request.account else "",
            _prompt_class(request),
            engine_seconds(model, head.prompt_tokens, head.max_output_tokens),
            first_event_s,
            request.arrived_at,
            min(request.arrived_at + patience_s, request.deadline_at),
            patience_s,
            request.deadline_at,
            was_admitted,
        )

    def record_placed(self, request: IncomingRequest, model: EngineCostModel) -> None:
        """Count a prompt that was placed at once while capacity was not short."""
        head = request.head
        self._fleet.room.record_placed(
            request.account.name if request.account else "",
            _prompt_class(request),
            engine_seconds(model, head.prompt_tokens, head.max_output_tokens),
            self._fleet.now(),
        )

    def record_complete(
        self, request: IncomingRequest, main: str, part_prefill_s: float, took_s: float
    ) -> None:
        """Compare how long a complete answer took with its prediction."""
        model = self._models.get(request.service)
        if model is None:
            # Capacity has not been short yet, so nothing is predicted.
            return
        jobs = self._fleet.jobs.main_jobs(main, self._fleet.now())
        output_tokens = request.head.max_output_tokens
        step_s = token_step_s(jobs, model)
        self._durations.record(took_s, part_prefill_s + output_tokens * step_s)

    def may_fit(self, request: IncomingRequest, model: EngineCostModel) -> bool:
        """Return whether a prompt fits into the memory of all engines together.

        One that can't be placed at all must not hold up other long prompts.
        """
        head = request.head
        candidates = self._fleet.candidates(request.service, frozenset())
        engines = len(candidates.preferred) + len(candidates.avoided)
        memory_tokens = model.memory_tokens * USABLE_MEMORY_SHARE
        usable_tokens = memory_tokens * min(engines, PART_COUNTS[-1])
        return head.prompt_tokens + head.max_output_tokens <= usable_tokens

    def preview(
        self, request: IncomingRequest, model: EngineCostModel, fleet: Fleet
    ) -> Admitted | Wait | RefusedForRoom | None:
        """Return what the queue would decide on a new prompt, without any effect.

        `fleet` is a copy from `Fleet.copy_for_preview`. Return None for a prompt that
        takes no part in the order.
        """
        room = copy.copy(self)
        room._fleet = fleet
        if not room.may_fit(request, model):
            return None
        capacity = fleet.predict_capacity(request.service, model, self._durations.ratio)
        prompt = room.build_prompt(request, model, was_admitted=False)
        now = fleet.now()
        return fleet.room.preview(prompt, capacity, _node_count(fleet), now)

    async def wait(
        self,
        prompt: WaitingPrompt,
        request: IncomingRequest,
        tried: frozenset[str],
        model: EngineCostModel,
        try_place: Callable[[], Placed | None],
    ) -> Placed | RefusedForRoom:
        """Return the result of `try_place` once it is the prompt's turn and it fits.

        The prompt is refused if its request has no upstream left but those in `tried`.
        If the task is cancelled because the caller has left, the prompt loses its place
        at once.
        """
        queue, service = self._fleet.room, prompt.prompt_class.service
        self._models[service] = model
        self._predict(service)
        verdict = queue.enter(prompt, self._fleet.now())
        self._notify()
        if isinstance(verdict, RefusedForRoom):
            return verdict
        may_try = isinstance(verdict, Admitted)
        self._requests.add(prompt.id, request, tried)
        loop = asyncio.get_running_loop()
        try:
            while True:
                if may_try:
                    placed = try_place()
                    if placed is not None:
                        queue.admit(prompt.id, self._fleet.now())
                        return placed
                    queue.mark_blocked(prompt.id)
                future: asyncio.Future[RefusedForRoom | None] = loop.create_future()
                self._futures[prompt.id] = future
                self._schedule_check(CHECK_INTERVAL_S)
                refused = await future
                if refused is None:
                    # Since the prompt was woken, one that precedes it may have come to
                    # the full queue.
                    refused = queue.take_refusal(prompt.id)
                if refused is not None:
                    return refused
                may_try = True
        finally:
            self._futures.pop(prompt.id, None)
            self._requests.remove(prompt.id)
            queue.leave(prompt.id)
            self._notify()

    def on_change(self) -> None:
        """Check soon for free slots, because work of this node or a peer changed."""
        if self._futures:
            self._schedule_check(MIN_CHECK_INTERVAL_S)

    def tick(self) -> None:
        """Log changes between short and sufficient capacity and the accounts' state."""
        queue, now = self._fleet.room, self._fleet.now()
        is_short = queue.is_short(now)
        if is_short != self._was_short:
            self._was_short = is_short
            self._accounts_logged_at = now
            log.info(
                "capacity is short" if is_short else "capacity is sufficient again",
                extra={
                    "waiting": len(queue),
                    "waiting_by_account": dict(
                        list(queue.waiting_by_account().items())[:MAX_LOGGED_ACCOUNTS]
                    ),
                    "refused_and_due": queue.remembered,
                },
            )
            if not is_short:
                self._log_accounts(now)
                queue.clear_accounts()
        elif is_short and now - self._accounts_logged_at >= ACCOUNTS_LOG_INTERVAL_S:
            self._accounts_logged_at = now
            self._log_accounts(now)

    def _log_accounts(self, now: float) -> None:
        """Log what the accounts asked for and got here, the busiest first."""
        queue = self._fleet.room
        used, waiting = queue.used(now), queue.waiting_by_account()
        total_s = sum(used.values()) or 1.0
        busiest = sorted(queue.accounts.items(), key=lambda item: -item[1].asked)
        log.info(
            "accounts while capacity is short",
            extra={
                "accounts": {
                    name: {
                        **msgspec.structs.asdict(counts),
                        "waiting": waiting.get(name, 0),
                        "share_used": round(used.get(name, 0.0) / total_s, 3),
                    }
                    for name, counts in busiest[:MAX_LOGGED_ACCOUNTS]
                },
                "left_out": max(0, len(busiest) - MAX_LOGGED_ACCOUNTS),
            },
        )

    def _notify(self) -> None:
        """Tell peers of changed waiting prompts, at most each `NEWS_INTERVAL_S`."""
        now = self._fleet.now()
        if now - self._news_at >= NEWS_INTERVAL_S:
            self._news_at = now
            self.on_news()

    def _schedule_check(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        due_at = max(loop.time() + delay_s, self._checked_at + MIN_CHECK_INTERVAL_S)
        if self._timer is not None:
            if self._timer.when() <= due_at:
                return
            self._timer.cancel()
        self._timer = loop.call_at(due_at, self._check)

    def _check(self) -> None:
        """Wake the prompts that may try now and those that are refused."""
        self._timer = None
        loop = asyncio.get_running_loop()
        self._checked_at = loop.time()
        queue, now = self._fleet.room, self._fleet.now()
        free: dict[str, int] = {}
        for service in queue.services():
            if not self._fleet.candidates(service, frozenset()).best:
                if self._fleet.turn_in_s(service) is not None:
                    continue
                pause_s = self._fleet.pause_left_s(service)
                if pause_s is None or pause_s > MAX_AWAITED_PAUSE_S:
                    ids = queue.waiting_ids(service)
                    self._refuse_unservable(ids, pause_s or RETRY_AFTER_S)
                continue
            if now - self._predicted_at.get(service, now) >= PREDICTION_TTL_S:
                self._predict(service)
            free[service] = self._fleet.free_slots(service, self._models[service])
        hopeless = self._requests.find_hopeless()
        self._refuse_unservable(hopeless, EXCLUDED_RETRY_AFTER_S)
        for id, refused in queue.take_refused(now):
            self._wake(id, refused)
        for id in queue.next(now, free):
            self._wake(id, None)
        if self._futures:
            self._schedule_check(CHECK_INTERVAL_S)

    def _refuse_unservable(self, ids: Iterable[str], retry_after_s: float) -> None:
        """Refuse prompts for which no upstream is left."""
        for id in ids:
            self._fleet.room.refuse_unservable(id)
            self._wake(id, RefusedForRoom(retry_after_s))

    def _wake(self, id: str, refused: RefusedForRoom | None) -> None:
        future = self._futures.get(id)
        if future is not None and not future.done():
            future.set_result(refused)

    def _predict(self, service: str) -> None:
        fleet = self._fleet
        self._predicted_at[service] = fleet.now()
        capacity = fleet.predict_capacity(
            service, self._models[service], self._durations.ratio
        )
        fleet.room.node_count = _node_count(fleet)
        fleet.room.set_capacity(service, capacity)


def _node_count(fleet: Fleet) -> int:
    return len(fleet.peers.live_peers(fleet.now())) + 1


def _no_op() -> None:
    """Do nothing; the default of `on_news`."""


def _prompt_class(request: IncomingRequest) -> PromptClass:
    size = size_class(request.head.prompt_tokens)
    return PromptClass(request.service, priority_of(request) or 0, size)


def _prompt_key(request: IncomingRequest) -> int:
    """Return a key that is the same for all attempts of a caller's prompt.

    The body counts as well, because a caller may name only the parts that its prompts
    share.
    """
    head = request.head
    account = request.account.name if request.account else ""
    digest = xxhash.xxh3_64(account.encode())
    digest.update(f"\x00{head.prompt_tokens},{head.max_output_tokens}".encode())
    digest.update("\x00".join(head.part_ids).encode())
    digest.update(request.body)
    return digest.intdigest()
