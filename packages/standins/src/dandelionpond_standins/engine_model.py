"""Model one continuously batching engine without I/O, on a clock that the caller sets.

The model advances in steps. Each step gives one token to every decoding request and the
rest of `chunk_tokens` to prefill, in the order of priority (smaller first) and arrival.
Stretches of equal steps are skipped in one go. Assumptions: prefill cost is linear in
uncached tokens; a request is admitted when memory for its whole prompt and answer is
free, so running requests are never preempted; the waiting queue is strict, so a large
request at its head is not overtaken within its priority; KV transfers take no time.
"""

import heapq
import random
from bisect import insort

from dandelionpond_standins.engine_load_history import LoadHistory
from dandelionpond_standins.engine_memory import EngineMemory, Held, Run
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
    """Simulate one engine; the same seed and calls give the same events."""

    __slots__ = (
        "_at",
        "_by_id",
        "_count",
        "_decoding",
        "_ends",
        "_levels",
        "_loads",
        "_memory",
        "_pending",
        "_prefilling",
        "_queued",
        "_ran",
        "_step",
        "_steps",
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
        # If false, only the first token and the end of a request are reported.
        self.reports_progress = True
        self._memory = EngineMemory(spec, random.Random(seed))
        self._at = 0.0
        self._count = 0
        self._steps = 0
        self._queued = 0
        self._ran = 0.0
        self._levels: dict[int, int] = {}
        self._waiting_count = 0
        self._by_id: dict[str, Run] = {}
        self._waiting: list[Run] = []
        self._prefilling: list[Run] = []
        self._decoding: dict[str, Run] = {}
        self._ends: list[tuple[int, Run]] = []
        self._step: tuple[float, list[tuple[Run, int]]] | None = None
        self._pending: list[ModelEvent] = []
        self._loads = LoadHistory(spec.report_lag_s)

    @property
    def kv_tokens_used(self) -> int:
        """Return the tokens of memory in use, without evictable cache."""
        return self._memory.used

    def owner(self, holding_id: str) -> str | None:
        """Return the owner of a holding, or None if nothing is held."""
        held = self._memory.held.get(holding_id)
        return None if held is None else held.owner

    def cached_tokens(self, prefix_hashes: tuple[int, ...]) -> int:
        """Return the leading tokens of a prompt that are in the prefix cache."""
        return self._memory.cache.match(prefix_hashes) * self.spec.block_tokens

    def submit(self, request: ModelRequest, now: float) -> Submitted | SubmitRefused:
        """Queue a request or refuse it without side effects."""
        self._run(now)
        name = request.request_id
        if self.fail_fast:
            return SubmitRefused(name, "failing")
        if name in self._by_id or name in self._memory.held:
            return SubmitRefused(name, "duplicate")
        if self._size(request) > self.spec.kv_capacity_tokens:
            return SubmitRefused(name, "too_large")
        if self._waiting_count >= self.spec.max_waiting:
            return SubmitRefused(name, "queue_full")
        takes_over = self.release(request.reservation, now)
        self._count += 1
        run = Run(request, (request.priority, self._count))
        run.held = Held(
            "stream", request.owner, 0, now + request.expires_in_s, request.model
        )
        self._by_id[name] = run
        self._memory.held[name] = run.held
        self._tally(run, run.left)
        self._waiting_count += 1
        # The memory of a reservation goes to its request and to none that waits.
        if not takes_over or not self._has_slot() or not self._start(run):
            heapq.heappush(self._waiting, run)
        self._admit()
        cached = self.cached_tokens(request.prefix_hashes)
        return Submitted(name, min(cached, request.prompt_tokens))

    def cancel(self, request_id: str, now: float) -> bool:
        """Free everything held under an identifier; say whether there was anything."""
        self._run(now)
        found = self._stop(request_id)
        return self._memory.free(request_id) or found

    def abandon(self, request_id: str, now: float) -> bool:
        """Stop generating but keep the memory, as after a lost connection."""
        self._run(now)
        return self._stop(request_id)

    def advance(self, until: float) -> list[ModelEvent]:
        """Run to a time and return the events since the last call, in order."""
        self._run(until)
        if self.reports_progress:
            for run in self._decoding.values():
                self._report(run, self._at)
        events, self._pending = self._pending, []
        return events

    def next_event_at(self) -> float | None:
        """Return a time at or before the next first token or end, None when idle.

        Advancing to the returned time always makes progress.
        """
        if self._pending:
            return self._at
        if self._step is None:
            self._admit()
            if not self._decoding and not self._prefilling:
                return None
            portions, duration = self._plan()
            end = self._at + duration
        else:
            end, portions = self._step
            duration = self._plan()[1]
        more = self._ends_in() - 2
        if portions:
            run, portion = portions[0]
            if len(portions) > 1 or portion >= run.left:
                return end
            more = min(more, run.left // portion - 2)
        return end + max(0, more) * duration

    def holdings(self, now: float) -> list[Holding]:
        """List everything held, with the remaining time on this engine's clock."""
        self._run(now)
        return self._memory.listing(now)

    def load(self, now: float) -> LoadReport:
        """Return the newest load report that is at least `report_lag_s` old."""
        self._run(now)
        if self.spec.report_lag_s <= 0:
            return self._sample(now)
        return self._loads.latest(now)

    def cache_events(self, from_seq: int, now: float) -> list[CacheEvent]:
        """Return cache events from a sequence number on, late and with gaps."""
        self._run(now)
        return self._memory.cache.events(from_seq, now - self.spec.event_lag_s)

    def reserve(
        self, reservation_id: str, owner: str, tokens: int, ttl_s: float, now: float
    ) -> bool:
        """Reserve memory; a repeat by the same owner only renews."""
        self._run(now)
        return self._memory.reserve(reservation_id, owner, tokens, ttl_s, now)

    def release(self, holding_id: str, now: float) -> bool:
        """Free a holding; false if nothing is held under the identifier."""
        return self.cancel(holding_id, now)

    def renew(self, holding_id: str, ttl_s: float, now: float) -> bool:
        """Move the expiry of a holding to `ttl_s` from now; false if unknown."""
        self._run(now)
        held = self._memory.held.get(holding_id)
        if held is None:
            return False
        held.expires = now + ttl_s
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
        """Pin the cached leading blocks for a transfer; None if none is cached."""
        self._run(now)
        return self._memory.export(export_id, owner, model, prefix_hashes, ttl_s, now)

    def import_(
        self, import_id: str, owner: str, block: ExportedBlock, ttl_s: float, now: float
    ) -> bool:
        """Store exported blocks, pinned until released; false without memory."""
        self._run(now)
        return self._memory.import_(import_id, owner, block, ttl_s, now)

    def _tally(self, run: Run, tokens: int) -> None:
        """Add to the prefill that is left, in total and for the run's priority."""
        self._queued += tokens
        level = run.request.priority
        left = self._levels.get(level, 0) + tokens
        if left > 0:
            self._levels[level] = left
        else:
            self._levels.pop(level, None)

    def _size(self, request: ModelRequest) -> int:
        return (request.local_tokens or request.prompt_tokens) + request.max_tokens

    def _admit(self) -> None:
        while self._waiting:
            run = self._waiting[0]
            if run.done:
                heapq.heappop(self._waiting)
                continue
            if not self._has_slot() or not self._start(run):
                return
            heapq.heappop(self._waiting)

    def _has_slot(self) -> bool:
        return len(self._prefilling) + len(self._decoding) < self.spec.max_running

    def _start(self, run: Run) -> bool:
        held, request = run.held, run.request
        assert held is not None
        size = self.spec.block_tokens
        # The last token of a prompt is always computed, because it gives the first
        # token of the answer.
        usable = (run.left - 1) // size
        cached = self._memory.take(
            held, request.prefix_hashes[:usable], self._size(request), self._at
        )
        if cached < 0:
            return False
        run.left -= cached
        self._tally(run, -cached)
        self._waiting_count -= 1
        insort(self._prefilling, run)
        return True

    def _plan(self) -> tuple[list[tuple[Run, int]], float]:
        """Return the prefill portions of the next step and its duration."""
        spec = self.spec
        decodes = len(self._decoding)
        budget = max(1, spec.chunk_tokens - decodes)
        portions = []
        prefill = 0
        for run in self._prefilling:
            portion = min(run.left, budget - prefill)
            portions.append((run, portion))
            prefill += portion
            if prefill >= budget:
                break
        duration = (
            spec.step_base_s
            + spec.step_sequence_s * decodes
            + prefill / spec.prefill_tokens_per_s
        )
        return portions, duration * self.slow_factor

    def _ends_in(self) -> int:
        while self._ends and self._ends[0][1].done:
            heapq.heappop(self._ends)
        return self._ends[0][0] - self._steps if self._ends else 1 << 60

    def _run(self, until: float) -> None:
        # The state that the last call left behind has lasted until now.
        self._loads.record(self._sample, self._ran, until)
        while True:
            if self._step is not None:
                if self._step[0] > until:
                    break
                self._end_step()
                continue
            self._admit()
            if not self._decoding and not self._prefilling:
                self._at = max(self._at, until)
                break
            portions, duration = self._plan()
            if self._at + duration > until or not self._skip(portions, duration, until):
                self._step = (self._at + duration, portions)
        self._loads.record(self._sample, until, until)
        self._ran = until
        if self.spec.self_expire:
            self._expire(until)

    def _skip(
        self, portions: list[tuple[Run, int]], duration: float, until: float
    ) -> bool:
        """Run many equal steps at once, up to the one in which something changes."""
        steps = min(int((until - self._at) / duration), self._ends_in() - 1)
        if portions:
            run, portion = portions[0]
            if len(portions) > 1 or portion == run.left:
                return False
            steps = min(steps, (run.left - 1) // portion)
        if steps < 2:
            return False
        if portions:
            run.left -= steps * portion
            self._tally(run, -steps * portion)
        self._steps += steps
        self._at += steps * duration
        return True

    def _end_step(self) -> None:
        assert self._step is not None
        self._at, portions = self._step
        self._step = None
        self._steps += 1
        for run, portion in portions:
            if run.done:
                continue
            run.left -= portion
            self._tally(run, -portion)
            if run.left == 0:
                self._prefilling.remove(run)
                self._begin_decode(run)
        while self._ends_in() <= 0:
            run = heapq.heappop(self._ends)[1]
            self._report(run, self._at)
            self._finish(run)

    def _begin_decode(self, run: Run) -> None:
        held, request = run.held, run.request
        assert held is not None
        self._memory.share(held, request.prefix_hashes, self._at)
        tokens = request.max_tokens - request.from_offset
        if tokens <= 0:
            self._decoding[request.request_id] = run
            self._finish(run)
            return
        run.first_step = self._steps
        self._decoding[request.request_id] = run
        heapq.heappush(self._ends, (self._steps + tokens - 1, run))
        self._report(run, self._at)

    def _report(self, run: Run, at: float) -> None:
        count = self._steps - run.first_step + 1 - run.reported
        if count > 0:
            request = run.request
            offset = request.from_offset + run.reported
            run.reported += count
            self._pending.append(TokensGenerated(request.request_id, offset, count, at))

    def _finish(self, run: Run) -> None:
        name = run.request.request_id
        held = run.held
        assert held is not None
        self._stop(name)
        if run.request.retain_s > 0:
            held.kind = "retained"
            held.expires = self._at + run.request.retain_s
        else:
            self._memory.free(name)
        self._pending.append(RequestFinished(name, self._at))

    def _stop(self, request_id: str) -> bool:
        run = self._by_id.pop(request_id, None)
        if run is None:
            return False
        run.done = True
        if self._decoding.pop(request_id, None) is None:
            self._tally(run, -run.left)
            if run in self._prefilling:
                self._prefilling.remove(run)
            else:
                self._waiting_count -= 1
        return True

    def _expire(self, now: float) -> None:
        for name in [n for n, held in self._memory.held.items() if held.expires <= now]:
            if self._stop(name):
                self._pending.append(RequestEvicted(name, now))
            self._memory.free(name)

    def _sample(self, at: float) -> LoadReport:
        return LoadReport(
            at,
            max(0, self._queued),
            len(self._prefilling) + len(self._decoding),
            self._waiting_count,
            self.kv_tokens_used,
            dict(self._levels),
        )
