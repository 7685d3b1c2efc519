"""Engine load, from the latest load reports and this node's own requests."""

import math

import msgspec

from dandelionpond.routing.settings import RoutingSettings

# Weight of one observation in a learned factor. It is small, so that an outlier changes
# the factor little.
_LEARNING_RATE = 0.1
# Weight of an observation that lowers the prefill rate. Requests of other nodes that no
# report shows yet make an engine appear slower than it is, but never faster.
_RATE_DECREASE_LEARNING_RATE = 0.03
# A request sent less than this before the report was made may have reached the engine
# after it. Counting a request twice until the next report costs less than missing it.
_ARRIVAL_MARGIN_S = 0.02
# Expected savings below this, in seconds, cannot be told from the time of a step.
_MIN_SAVING_S = 0.02
_CORRECTION_RANGE = (0.5, 4.0)
_RATE_FACTOR_RANGE = (0.1, 4.0)

# Priority that makes a queue estimate include all work.
LOWEST_PRIORITY = 2**31


class LoadReport(msgspec.Struct, frozen=True):
    """The load that an engine reports.

    `lag_s` is the age of the report on arrival, in seconds. `queued_tokens` is the
    uncached prefill that waits or runs, in tokens by priority. `running` is the number
    of streams that generate; each takes one more token of memory per step.
    """

    engine: str
    lag_s: float
    queued_tokens: dict[int, float]
    kv_used_tokens: float
    running: int = 0


class EngineCapacity(msgspec.Struct, frozen=True):
    """The memory of an engine in tokens and its rates in tokens per second."""

    kv_capacity_tokens: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float


class _SentRequest(msgspec.Struct):
    engine: str
    sent_at: float
    uncached_tokens: float
    kv_tokens: float
    priority: int
    predicted_s: float
    was_engine_idle: bool
    is_long: bool
    saved_s: float = 0.0
    first_token_at: float | None = None


class _EngineState:
    __slots__ = (
        "capacity",
        "correction",
        "rate_factor",
        "released_since_report",
        "report",
        "reported_at",
        "sent_requests",
    )

    def __init__(self, capacity: EngineCapacity) -> None:
        self.capacity = capacity
        self.report: LoadReport | None = None
        self.reported_at = -math.inf
        self.correction = 1.0
        self.rate_factor = 1.0
        self.sent_requests: dict[str, _SentRequest] = {}
        # Memory freed by this node's requests since the report, as (time, tokens).
        self.released_since_report: list[tuple[float, float]] = []

    def may_omit(self, sent: _SentRequest) -> bool:
        """Return whether the latest report may not include a request."""
        return sent.sent_at >= self.reported_at - _ARRIVAL_MARGIN_S


class LoadTracker:
    """A tracker that estimates the load of each engine in reach.

    A report does not include what happened after it was made, so the requests that this
    node sent since then are added to it and those that finished are subtracted. At most
    `engines_in_reach` engines and `max_sends` open requests are tracked; further ones
    are ignored. Ignored reports and requests are counted.
    """

    __slots__ = (
        "_engines",
        "_policy",
        "_sent_requests",
        "ignored_reports",
        "ignored_sends",
    )

    def __init__(self, policy: RoutingSettings) -> None:
        self._policy = policy
        self._engines: dict[str, _EngineState] = {}
        self._sent_requests: dict[str, _SentRequest] = {}
        self.ignored_reports = 0
        self.ignored_sends = 0

    @property
    def engines(self) -> tuple[str, ...]:
        """Return the engines in reach."""
        return tuple(self._engines)

    def configure(self, policy: RoutingSettings) -> None:
        """Apply new settings to the events that follow."""
        self._policy = policy

    def set_engines(self, capacities: dict[str, EngineCapacity]) -> None:
        """Replace the engines in reach and drop the state of all others."""
        for name in [name for name in self._engines if name not in capacities]:
            for request_id in self._engines.pop(name).sent_requests:
                del self._sent_requests[request_id]
        for name, value in capacities.items():
            if name in self._engines:
                self._engines[name].capacity = value
            elif len(self._engines) < self._policy.engines_in_reach:
                self._engines[name] = _EngineState(value)

    def record_report(self, report: LoadReport, now: float) -> None:
        """Record a report unless its engine is out of reach or a newer one is known."""
        engine = self._engines.get(report.engine)
        made_at = now - report.lag_s
        if engine is None or made_at < engine.reported_at:
            self.ignored_reports += 1
            return
        engine.report = report
        engine.reported_at = made_at
        engine.released_since_report = [
            pair for pair in engine.released_since_report if pair[0] > made_at
        ]

    def record_sent(
        self,
        request_id: str,
        engine_name: str,
        uncached_tokens: float,
        kv_tokens: float,
        priority: int,
        predicted_s: float,
        now: float,
        saved_s: float = 0.0,
    ) -> None:
        """Record a request that this node sent.

        `saved_s` is the time that the engine is expected to save because it holds a
        part of the prompt; `predicted_s` is the time to first token with this saving.
        """
        engine = self._engines.get(engine_name)
        if engine is None or len(self._sent_requests) >= self._policy.max_sends:
            self.ignored_sends += 1
            return
        was_engine_idle = self.queue_tokens(engine_name, LOWEST_PRIORITY, now) <= 0.0
        sent = _SentRequest(
            engine_name,
            now,
            uncached_tokens,
            kv_tokens,
            priority,
            predicted_s,
            was_engine_idle,
            kv_tokens > self._policy.long_prompt_tokens,
            saved_s,
        )
        self._sent_requests[request_id] = sent
        engine.sent_requests[request_id] = sent

    def record_first_token(self, request_id: str, now: float) -> float | None:
        """Record a first token and return the ratio of observed to predicted time.

        The ratio is None for an unknown request or a repeated call. A request that was
        sent to an idle engine updates the learned prefill rate, any other request the
        learned correction of the estimate.
        """
        sent = self._sent_requests.get(request_id)
        if sent is None or sent.first_token_at is not None:
            return None
        sent.first_token_at = now
        observed = max(1e-4, now - sent.sent_at)
        engine = self._engines[sent.engine]
        predicted_s = max(1e-4, sent.predicted_s)
        uncached_tokens = sent.uncached_tokens
        if sent.saved_s > 0.0 and observed > predicted_s:
            # The time that a wrong belief about the cache explains says nothing about
            # the speed of the engine.
            full_s = predicted_s + sent.saved_s
            if observed <= full_s:
                return 1.0
            uncached_tokens *= full_s / predicted_s
            predicted_s = full_s
        ratio = observed / predicted_s
        # Sharing an engine step can delay a short prompt by more than its own prefill
        # takes. A factor learned from that would be far too large for a long prompt.
        if sent.uncached_tokens < self._policy.short_prompt_tokens:
            return ratio
        if sent.was_engine_idle:
            rate = uncached_tokens / observed / engine.capacity.prefill_tokens_per_s
            engine.rate_factor = _update_factor(
                engine.rate_factor,
                rate,
                _RATE_FACTOR_RANGE,
                _RATE_DECREASE_LEARNING_RATE,
            )
        else:
            engine.correction = _update_factor(
                engine.correction, engine.correction * ratio, _CORRECTION_RANGE
            )
        return ratio

    def saving_share(self, request_id: str, now: float) -> float | None:
        """Return the share of an expected saving that the engine gave until now.

        The share is None for an unknown request, after its first token, without an
        expected saving, and if the engine did not appear idle: work of others would
        look like a missing saving.
        """
        sent = self._sent_requests.get(request_id)
        if sent is None or sent.first_token_at is not None:
            return None
        if sent.saved_s < _MIN_SAVING_S or not sent.was_engine_idle:
            return None
        full_s = sent.predicted_s + sent.saved_s
        return (full_s - (now - sent.sent_at)) / sent.saved_s

    def was_engine_idle(self, request_id: str) -> bool:
        """Return whether the engine appeared idle when the request was sent."""
        sent = self._sent_requests.get(request_id)
        return sent is not None and sent.was_engine_idle

    def record_finished(self, request_id: str, now: float) -> None:
        """Record the end of a request, which frees its memory."""
        sent = self._sent_requests.pop(request_id, None)
        if sent is None:
            return
        engine = self._engines[sent.engine]
        del engine.sent_requests[request_id]
        if not engine.may_omit(sent):
            engine.released_since_report.append((now, sent.kv_tokens))

    def report_age_s(self, engine_name: str, now: float) -> float:
        """Return the age of the latest report in seconds, or infinity without one."""
        return now - self._engines[engine_name].reported_at

    def prefill_rate(self, engine_name: str) -> float:
        """Return the learned prefill rate in tokens per second."""
        engine = self._engines[engine_name]
        return engine.capacity.prefill_tokens_per_s * engine.rate_factor

    def correction(self, engine_name: str) -> float:
        """Return the learned correction factor of time estimates."""
        return self._engines[engine_name].correction

    def outstanding_tokens(self, engine_name: str) -> float:
        """Return the uncached tokens of this node's requests without a first token."""
        return sum(
            sent.uncached_tokens
            for sent in self._engines[engine_name].sent_requests.values()
            if sent.first_token_at is None
        )

    def queue_tokens(self, engine_name: str, priority: int, now: float) -> float:
        """Return the uncached prefill served before a new request, in tokens."""
        return self.split_queue_tokens(engine_name, priority, now)[0]

    def split_queue_tokens(
        self, engine_name: str, priority: int, now: float
    ) -> tuple[float, float]:
        """Return the prefill served before and after a new request, in tokens.

        Work with the same or a smaller priority number is served before it. The
        reported work shrinks at the prefill rate since the report, the most urgent
        first. This node's requests that the report may omit are added until their first
        token.
        """
        engine = self._engines[engine_name]
        before = after = 0.0
        if engine.report is not None:
            for level, tokens in engine.report.queued_tokens.items():
                if level <= priority:
                    before += tokens
                else:
                    after += tokens
            drained = self.prefill_rate(engine_name) * max(
                0.0, now - engine.reported_at
            )
            after = max(0.0, after - max(0.0, drained - before))
            before = max(0.0, before - drained)
        for sent in engine.sent_requests.values():
            if engine.may_omit(sent) and sent.first_token_at is None:
                if sent.priority <= priority:
                    before += sent.uncached_tokens
                else:
                    after += sent.uncached_tokens
        return before, after

    def capacity(self, engine_name: str) -> EngineCapacity:
        """Return the memory and the rates of an engine from the settings."""
        return self._engines[engine_name].capacity

    def free_tokens(self, engine_name: str, now: float) -> float:
        """Return the estimated free memory of an engine, in tokens.

        Requests that the report may omit count with all tokens they will generate. The
        reported memory grows at the decode rate since the report if streams run.
        """
        engine = self._engines[engine_name]
        used = 0.0
        if engine.report is not None:
            age = max(0.0, now - engine.reported_at)
            growth = (
                engine.capacity.decode_tokens_per_s * age
                if engine.report.running
                else 0
            )
            used = engine.report.kv_used_tokens + growth
        used += sum(
            sent.kv_tokens
            for sent in engine.sent_requests.values()
            if engine.may_omit(sent)
        )
        used -= sum(tokens for _, tokens in engine.released_since_report)
        return engine.capacity.kv_capacity_tokens - max(0.0, used)

    def own_long_prompt_tokens(self, engine_name: str) -> float:
        """Return the engine memory that this node's long prompts hold, in tokens."""
        sends = self._engines[engine_name].sent_requests.values()
        return sum(sent.kv_tokens for sent in sends if sent.is_long)


def _update_factor(
    current: float,
    observed: float,
    bounds: tuple[float, float],
    decrease_rate: float = _LEARNING_RATE,
) -> float:
    """Return a learned factor moved toward an observation, on a logarithmic scale."""
    low, high = bounds
    observed = min(high, max(low, observed))
    learning_rate = _LEARNING_RATE if observed > current else decrease_rate
    step = learning_rate * (math.log(observed) - math.log(current))
    return min(high, max(low, math.exp(math.log(current) + step)))
