"""Model of one engine with continuous batching, without I/O.

The caller sets the clock; all times are in seconds. The model advances in steps. Each
step generates one token for every decoding request and uses the rest of `chunk_tokens`
for prefill, in the order of priority (smaller first) and arrival. Consecutive equal
steps are computed at once.

Assumptions: prefill cost is linear in uncached tokens; a request is admitted when
memory for its whole prompt and answer is free, so running requests are never preempted;
the waiting queue is strict, so a large request at its head is not overtaken within its
priority; KV transfers take no time.
"""

import heapq
import random
from bisect import insort

from dandelionpond_standins.engine_load_history import LoadHistory
from dandelionpond_standins.engine_memory import (
    EngineMemory,
    HoldingState,
    RequestState,
)
from dandelionpond_standins.engine_types import (
    CacheEvent,
    EngineSpec,
    ExportedBlock,
    Holding,
    LoadReport,
    ModelEvent,
    ModelRequest,
    RequestEvicted,
    RequestFinished,
    SubmitRefused,
    Submitted,
    TokensGenerated,
    ideal_ttft,
)

__all__ = [
    "CacheEvent",
    "EngineModel",
    "EngineSpec",
    "ExportedBlock",
    "Holding",
    "LoadReport",
    "ModelEvent",
    "ModelRequest",
    "RequestEvicted",
    "RequestFinished",
    "SubmitRefused",
    "Submitted",
    "TokensGenerated",
    "ideal_ttft",
]


class EngineModel:
    """A simulated engine; the same seed and calls give the same events.

    `slow_factor` multiplies the duration of each step. `fail_fast` refuses all requests
    with the reason `failing`. If `reports_progress` is false, only the first token and
    the end of a request are reported.
    """

    __slots__ = (
        "_clock",
        "_current_step",
        "_decode_ends",
        "_decoding",
        "_finished_steps",
        "_last_run_until",
        "_load_history",
        "_memory",
        "_pending_events",
        "_prefilling",
        "_queued_by_priority",
        "_queued_tokens",
        "_requests",
        "_submitted_count",
        "_waiting",
        "_waiting_count",
        "fail_fast",
        "reports_progress",
        "slow_factor",
        "spec",
    )

    def __init__(self, spec: EngineSpec, seed: int) -> None:
        self.spec = spec
        self.slow_factor = 1.0
        self.fail_fast = False
        self.reports_progress = True
        self._memory = EngineMemory(spec, random.Random(seed))
        # End of the last finished step, or the time of the last call if idle.
        self._clock = 0.0
        self._submitted_count = 0
        self._finished_steps = 0
        self._queued_tokens = 0
        self._last_run_until = 0.0
        self._queued_by_priority: dict[int, int] = {}
        self._waiting_count = 0
        self._requests: dict[str, RequestState] = {}
        self._waiting: list[RequestState] = []
        self._prefilling: list[RequestState] = []
        self._decoding: dict[str, RequestState] = {}
        # Heap of requests by the number of the step that generates their last token.
        self._decode_ends: list[tuple[int, RequestState]] = []
        # End time and prefill portions of the step in progress.
        self._current_step: tuple[float, list[tuple[RequestState, int]]] | None = None
        self._pending_events: list[ModelEvent] = []
        self._load_history = LoadHistory(spec.report_lag_s)

    @property
    def kv_tokens_used(self) -> int:
        """Return the tokens of memory in use, without idle cache blocks."""
        return self._memory.used_tokens

    def owner(self, holding_id: str) -> str | None:
        """Return the owner of a holding, or None if it does not exist."""
        holding = self._memory.holdings.get(holding_id)
        return None if holding is None else holding.owner

    def cached_tokens(self, prefix_hashes: tuple[int, ...]) -> int:
        """Return the leading tokens of a prompt that are in the prefix cache."""
        return self._memory.cache.match(prefix_hashes) * self.spec.block_tokens

    def submit(self, request: ModelRequest, now: float) -> Submitted | SubmitRefused:
        """Queue a request, or refuse it without side effects.

        The reservation that the request names is released first, so that the request
        can use its memory.
        """
        self._advance_to(now)
        request_id = request.request_id
        if self.fail_fast:
            return SubmitRefused(request_id, "failing")
        if request_id in self._requests or request_id in self._memory.holdings:
            return SubmitRefused(request_id, "duplicate")
        if self._needed_tokens(request) > self.spec.kv_capacity_tokens:
            return SubmitRefused(request_id, "too_large")
        if self._waiting_count >= self.spec.max_waiting:
            return SubmitRefused(request_id, "queue_full")
        had_reservation = self.release(request.reservation, now)
        self._submitted_count += 1
        state = RequestState(request, (request.priority, self._submitted_count))
        state.holding = HoldingState(
            "stream", request.owner, 0, now + request.expires_in_s, request.model
        )
        self._requests[request_id] = state
        self._memory.holdings[request_id] = state.holding
        self._add_queued(state, state.prefill_remaining)
        self._waiting_count += 1
        # A request with a reservation starts before waiting ones, because they could
        # take the memory that was reserved for it.
        if (
            not had_reservation
            or not self._has_slot()
            or not self._start_prefill(state)
        ):
            heapq.heappush(self._waiting, state)
        self._admit()
        cached = self.cached_tokens(request.prefix_hashes)
        return Submitted(request_id, min(cached, request.prompt_tokens))

    def cancel(self, request_id: str, now: float) -> bool:
        """Stop a request and free the memory held under its identifier.

        Return false if there is neither.
        """
        self._advance_to(now)
        was_running = self._stop(request_id)
        return self._memory.free(request_id) or was_running

    def abandon(self, request_id: str, now: float) -> bool:
        """Stop a request but keep its memory, as after a lost connection.

        Return false if the request is not waiting or running.
        """
        self._advance_to(now)
        return self._stop(request_id)

    def advance(self, until: float) -> list[ModelEvent]:
        """Advance to the time `until` and return the events since the last call."""
        self._advance_to(until)
        if self.reports_progress:
            for state in self._decoding.values():
                self._report_tokens(state, self._clock)
        events, self._pending_events = self._pending_events, []
        return events

    def next_event_at(self) -> float | None:
        """Return a time at or before the next first token or end of a request.

        Return None if the engine is idle. Advancing to the returned time always makes
        progress.
        """
        if self._pending_events:
            return self._clock
        if self._current_step is None:
            self._admit()
            if not self._decoding and not self._prefilling:
                return None
            portions, duration = self._plan_step()
            end = self._clock + duration
        else:
            end, portions = self._current_step
            duration = self._plan_step()[1]
        equal_steps = self._steps_to_next_end() - 2
        if portions:
            state, portion = portions[0]
            if len(portions) > 1 or portion >= state.prefill_remaining:
                return end
            equal_steps = min(equal_steps, state.prefill_remaining // portion - 2)
        return end + max(0, equal_steps) * duration

    def holdings(self, now: float) -> list[Holding]:
        """Return all holdings with the seconds until they expire."""
        self._advance_to(now)
        return self._memory.list_holdings(now)

    def load(self, now: float) -> LoadReport:
        """Return the newest load report that is at least `report_lag_s` old."""
        self._advance_to(now)
        if self.spec.report_lag_s <= 0:
            return self._measure_load(now)
        return self._load_history.latest(now)

    def cache_events(self, from_seq: int, now: float) -> list[CacheEvent]:
        """Return cache events with `seq >= from_seq`.

        Events are at least `event_lag_s` old; a share of `event_gap_ratio` is missing.
        """
        self._advance_to(now)
        return self._memory.cache.events(from_seq, now - self.spec.event_lag_s)

    def reserve(
        self, reservation_id: str, owner: str, tokens: int, ttl_s: float, now: float
    ) -> bool:
        """Reserve memory; return false if there is too little.

        A repeated call by the same owner only renews the holding. For an identifier of
        another owner the result is false.
        """
        self._advance_to(now)
        return self._memory.reserve(reservation_id, owner, tokens, ttl_s, now)

    def release(self, holding_id: str, now: float) -> bool:
        """Free a holding; return false if it does not exist."""
        return self.cancel(holding_id, now)

    def renew(self, holding_id: str, ttl_s: float, now: float) -> bool:
        """Set a holding to expire `ttl_s` from now; return false if it is unknown."""
        self._advance_to(now)
        holding = self._memory.holdings.get(holding_id)
        if holding is None:
            return False
        holding.expires_at = now + ttl_s
        return True

    def export(
        self,
        export_id: str,
        owner: str,
        model: str,
        prefix_hashes: tuple[int, ...],
        ttl_s: float,
        now: float,
    ) -> ExportedBlock | None:
        """Pin the cached leading blocks of a prompt for a transfer.

        Return None if none is cached or the identifier is in use.
        """
        self._advance_to(now)
        return self._memory.export(export_id, owner, model, prefix_hashes, ttl_s, now)

    def import_(
        self, import_id: str, owner: str, block: ExportedBlock, ttl_s: float, now: float
    ) -> bool:
        """Store exported blocks and pin them until they are released.

        Return false if there is too little memory or another owner uses the identifier.
        """
        self._advance_to(now)
        return self._memory.import_(import_id, owner, block, ttl_s, now)

    def _add_queued(self, state: RequestState, tokens: int) -> None:
        """Add to the queued prefill in total and for the priority of the request."""
        self._queued_tokens += tokens
        priority = state.request.priority
        queued_tokens = self._queued_by_priority.get(priority, 0) + tokens
        if queued_tokens > 0:
            self._queued_by_priority[priority] = queued_tokens
        else:
            self._queued_by_priority.pop(priority, None)

    def _needed_tokens(self, request: ModelRequest) -> int:
        return (request.local_tokens or request.prompt_tokens) + request.max_tokens

    def _admit(self) -> None:
        """Start waiting requests in their order until one has to wait."""
        while self._waiting:
            state = self._waiting[0]
            if state.is_stopped:
                heapq.heappop(self._waiting)
                continue
            if not self._has_slot() or not self._start_prefill(state):
                return
            heapq.heappop(self._waiting)

    def _has_slot(self) -> bool:
        return len(self._prefilling) + len(self._decoding) < self.spec.max_running

    def _start_prefill(self, state: RequestState) -> bool:
        """Start the prefill of a request; return false without enough memory."""
        holding, request = state.holding, state.request
        assert holding is not None
        block_tokens = self.spec.block_tokens
        # The last token of a prompt is always computed, because it gives the first
        # token of the answer.
        usable_blocks = (state.prefill_remaining - 1) // block_tokens
        cached = self._memory.allocate(
            holding,
            request.prefix_hashes[:usable_blocks],
            self._needed_tokens(request),
            self._clock,
        )
        if cached < 0:
            return False
        state.cached_tokens = cached
        state.prefill_remaining -= cached
        self._add_queued(state, -cached)
        self._waiting_count -= 1
        insort(self._prefilling, state)
        return True

    def _plan_step(self) -> tuple[list[tuple[RequestState, int]], float]:
        """Return the prefill portions of the next step and its duration."""
        spec = self.spec
        decodes = len(self._decoding)
        budget = max(1, spec.chunk_tokens - decodes)
        portions = []
        prefill = 0
        for state in self._prefilling:
            portion = min(state.prefill_remaining, budget - prefill)
            portions.append((state, portion))
            prefill += portion
            if prefill >= budget:
                break
        duration = (
            spec.step_base_s
            + spec.step_sequence_s * decodes
            + prefill / spec.prefill_tokens_per_s
        )
        return portions, duration * self.slow_factor

    def _steps_to_next_end(self) -> int:
        """Return the steps until an answer ends, or 2**60 if none is decoding."""
        while self._decode_ends and self._decode_ends[0][1].is_stopped:
            heapq.heappop(self._decode_ends)
        return (
            self._decode_ends[0][0] - self._finished_steps
            if self._decode_ends
            else 1 << 60
        )

    def _advance_to(self, until: float) -> None:
        # The load has not changed since the end of the last call.
        self._load_history.record(self._measure_load, self._last_run_until, until)
        while True:
            if self._current_step is not None:
                if self._current_step[0] > until:
                    break
                self._finish_step()
                continue
            self._admit()
            if not self._decoding and not self._prefilling:
                self._clock = max(self._clock, until)
                break
            portions, duration = self._plan_step()
            if self._clock + duration > until or not self._run_equal_steps(
                portions, duration, until
            ):
                self._current_step = (self._clock + duration, portions)
        self._load_history.record(self._measure_load, until, until)
        self._last_run_until = until
        if self.spec.self_expire:
            self._evict_expired(until)

    def _run_equal_steps(
        self, portions: list[tuple[RequestState, int]], duration: float, until: float
    ) -> bool:
        """Run equal steps at once, up to the one before something changes.

        Return false and do nothing if there are fewer than two such steps.
        """
        steps = min(
            int((until - self._clock) / duration), self._steps_to_next_end() - 1
        )
        if portions:
            state, portion = portions[0]
            if len(portions) > 1 or portion == state.prefill_remaining:
                return False
            steps = min(steps, (state.prefill_remaining - 1) // portion)
        if steps < 2:
            return False
        if portions:
            state.prefill_remaining -= steps * portion
            self._add_queued(state, -steps * portion)
        self._finished_steps += steps
        self._clock += steps * duration
        return True

    def _finish_step(self) -> None:
        assert self._current_step is not None
        self._clock, portions = self._current_step
        self._current_step = None
        self._finished_steps += 1
        for state, portion in portions:
            if state.is_stopped:
                continue
            state.prefill_remaining -= portion
            self._add_queued(state, -portion)
            if state.prefill_remaining == 0:
                self._prefilling.remove(state)
                self._begin_decode(state)
        while self._steps_to_next_end() <= 0:
            state = heapq.heappop(self._decode_ends)[1]
            self._report_tokens(state, self._clock)
            self._finish(state)

    def _begin_decode(self, state: RequestState) -> None:
        holding, request = state.holding, state.request
        assert holding is not None
        self._memory.move_to_cache(holding, request.prefix_hashes, self._clock)
        tokens = request.max_tokens - request.from_offset
        if tokens <= 0:
            self._decoding[request.request_id] = state
            self._finish(state)
            return
        state.first_decode_step = self._finished_steps
        self._decoding[request.request_id] = state
        heapq.heappush(self._decode_ends, (self._finished_steps + tokens - 1, state))
        self._report_tokens(state, self._clock)

    def _report_tokens(self, state: RequestState, at: float) -> None:
        count = (
            self._finished_steps - state.first_decode_step + 1 - state.reported_tokens
        )
        if count > 0:
            request = state.request
            offset = request.from_offset + state.reported_tokens
            state.reported_tokens += count
            self._pending_events.append(
                TokensGenerated(
                    request.request_id, offset, count, at, state.cached_tokens
                )
            )

    def _finish(self, state: RequestState) -> None:
        request_id = state.request.request_id
        holding = state.holding
        assert holding is not None
        self._stop(request_id)
        if state.request.retain_s > 0:
            holding.kind = "retained"
            holding.expires_at = self._clock + state.request.retain_s
        else:
            self._memory.free(request_id)
        self._pending_events.append(RequestFinished(request_id, self._clock))

    def _stop(self, request_id: str) -> bool:
        state = self._requests.pop(request_id, None)
        if state is None:
            return False
        state.is_stopped = True
        if self._decoding.pop(request_id, None) is None:
            self._add_queued(state, -state.prefill_remaining)
            if state in self._prefilling:
                self._prefilling.remove(state)
            else:
                self._waiting_count -= 1
        return True

    def _evict_expired(self, now: float) -> None:
        for holding_id in [
            holding_id
            for holding_id, holding in self._memory.holdings.items()
            if holding.expires_at <= now
        ]:
            if self._stop(holding_id):
                self._pending_events.append(RequestEvicted(holding_id, now))
            self._memory.free(holding_id)

    def _measure_load(self, at: float) -> LoadReport:
        return LoadReport(
            at,
            max(0, self._queued_tokens),
            len(self._prefilling) + len(self._decoding),
            self._waiting_count,
            self.kv_tokens_used,
            dict(self._queued_by_priority),
        )
