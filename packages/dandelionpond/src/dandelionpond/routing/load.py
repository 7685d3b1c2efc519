"""Keep the latest load report of each engine and correct it by own observations."""

import math

import msgspec

from dandelionpond.routing.settings import RoutingSettings

# One observation moves a learned value by a tenth, so one odd answer changes little.
_LEARNING_RATE = 0.1
# Work of other nodes that no report shows yet makes an engine look slow, never fast.
_SLOWER_RATE = 0.03
# A request sent this shortly before a report was made may have arrived after it. To
# count it twice until the next report costs less than to miss it.
_ARRIVAL_MARGIN_S = 0.02
_CORRECTION_RANGE = (0.5, 4.0)
_RATE_RANGE = (0.1, 4.0)

# Includes work of every priority in a queue estimate.
LOWEST_PRIORITY = 2**31


class LoadReport(msgspec.Struct, frozen=True):
    """Describe an engine's load as the engine reports it.

    `lag_s` is the report's age in seconds when it arrives. `queued_tokens` holds the
    uncached prefill that waits or runs, in tokens for each priority. `running` counts
    streams that generate; each grows the memory by one token a step.
    """

    engine: str
    lag_s: float
    queued_tokens: dict[int, float]
    kv_used_tokens: float
    running: int = 0


class EngineCapacity(msgspec.Struct, frozen=True):
    """State an engine's memory in tokens and its rates in tokens per second."""

    kv_capacity_tokens: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float


class _Send(msgspec.Struct):
    engine: str
    at: float
    uncached: float
    kv_tokens: float
    priority: int
    predicted_s: float
    alone: bool
    is_long: bool
    first_token_at: float | None = None


class _Engine:
    __slots__ = ("at", "correction", "released", "report", "scale", "sends", "traits")

    def __init__(self, traits: EngineCapacity) -> None:
        self.traits = traits
        self.report: LoadReport | None = None
        self.at = -math.inf
        self.correction = 1.0
        self.scale = 1.0
        self.sends: dict[str, _Send] = {}
        # Memory that own streams gave back after the report was made: (time, tokens).
        self.released: list[tuple[float, float]] = []

    def may_miss(self, send: _Send) -> bool:
        """Return whether the report may not show a request."""
        return send.at >= self.at - _ARRIVAL_MARGIN_S


class LoadTracker:
    """Own the load of each engine in reach, as this node can know it.

    A report does not show what was sent after it was made; what this node sent is
    added and what it saw finish is subtracted. Bounds: engines in reach, and
    `max_sends` open sends; beyond them an entry is ignored and counted.
    """

    __slots__ = ("_engines", "_policy", "_sends", "ignored_reports", "ignored_sends")

    def __init__(self, policy: RoutingSettings) -> None:
        self._policy = policy
        self._engines: dict[str, _Engine] = {}
        self._sends: dict[str, _Send] = {}
        self.ignored_reports = 0
        self.ignored_sends = 0

    @property
    def engines(self) -> tuple[str, ...]:
        """Return the engines in reach."""
        return tuple(self._engines)

    def configure(self, policy: RoutingSettings) -> None:
        """Take new settings from the next event on."""
        self._policy = policy

    def set_engines(self, traits: dict[str, EngineCapacity]) -> None:
        """Replace the engines in reach; what is known of the others is dropped."""
        for name in [name for name in self._engines if name not in traits]:
            for request_id in self._engines.pop(name).sends:
                del self._sends[request_id]
        for name, value in traits.items():
            if name in self._engines:
                self._engines[name].traits = value
            elif len(self._engines) < self._policy.engines_in_reach:
                self._engines[name] = _Engine(value)

    def record_report(self, report: LoadReport, now: float) -> None:
        """Accept a report unless the engine is out of reach or a newer one is held."""
        engine = self._engines.get(report.engine)
        made_at = now - report.lag_s
        if engine is None or made_at < engine.at:
            self.ignored_reports += 1
            return
        engine.report = report
        engine.at = made_at
        engine.released = [pair for pair in engine.released if pair[0] > made_at]

    def record_sent(
        self,
        request_id: str,
        engine_name: str,
        uncached_tokens: float,
        kv_tokens: float,
        priority: int,
        predicted_s: float,
        now: float,
    ) -> None:
        """Record a request that this node sent."""
        engine = self._engines.get(engine_name)
        if engine is None or len(self._sends) >= self._policy.max_sends:
            self.ignored_sends += 1
            return
        alone = self.queue_tokens(engine_name, LOWEST_PRIORITY, now) <= 0.0
        send = _Send(
            engine_name,
            now,
            uncached_tokens,
            kv_tokens,
            priority,
            predicted_s,
            alone,
            kv_tokens > self._policy.long_prompt_tokens,
        )
        self._sends[request_id] = send
        engine.sends[request_id] = send

    def record_first_token(self, request_id: str, now: float) -> float | None:
        """Record the first token; return observed over predicted time, if known.

        A request that met an idle engine teaches the prefill rate; any other one
        teaches the correction of the estimate.
        """
        send = self._sends.get(request_id)
        if send is None or send.first_token_at is not None:
            return None
        send.first_token_at = now
        observed = max(1e-4, now - send.at)
        engine = self._engines[send.engine]
        ratio = observed / max(1e-4, send.predicted_s)
        # Part of a step delays a short prompt by more than its own prefill; a factor
        # learned from that would be far too large for a long prompt.
        if send.uncached < self._policy.short_prompt_tokens:
            return ratio
        if send.alone:
            rate = send.uncached / observed / engine.traits.prefill_tokens_per_s
            engine.scale = _learn(engine.scale, rate, _RATE_RANGE, _SLOWER_RATE)
        else:
            engine.correction = _learn(
                engine.correction, engine.correction * ratio, _CORRECTION_RANGE
            )
        return ratio

    def was_idle(self, request_id: str) -> bool:
        """Return whether the engine seemed idle when the request was sent."""
        send = self._sends.get(request_id)
        return send is not None and send.alone

    def record_finished(self, request_id: str, now: float) -> None:
        """Record the end of a request; its memory counts as free from now on."""
        send = self._sends.pop(request_id, None)
        if send is None:
            return
        engine = self._engines[send.engine]
        del engine.sends[request_id]
        if not engine.may_miss(send):
            engine.released.append((now, send.kv_tokens))

    def report_age_s(self, engine_name: str, now: float) -> float:
        """Return the age of the latest report in seconds, infinity without one."""
        return now - self._engines[engine_name].at

    def prefill_rate(self, engine_name: str) -> float:
        """Return the learned prefill rate in tokens per second."""
        engine = self._engines[engine_name]
        return engine.traits.prefill_tokens_per_s * engine.scale

    def correction(self, engine_name: str) -> float:
        """Return the learned factor on estimates."""
        return self._engines[engine_name].correction

    def outstanding_tokens(self, engine_name: str) -> float:
        """Return uncached tokens sent by this node whose first token is not seen."""
        return sum(
            send.uncached
            for send in self._engines[engine_name].sends.values()
            if send.first_token_at is None
        )

    def queue_tokens(self, engine_name: str, priority: int, now: float) -> float:
        """Return the uncached prefill served before a new request, in tokens."""
        return self.queue_split(engine_name, priority, now)[0]

    def queue_split(
        self, engine_name: str, priority: int, now: float
    ) -> tuple[float, float]:
        """Return the prefill served before a new request and after it, in tokens.

        Work with the same or a smaller priority number comes first. The reported
        part drains with the prefill rate, the most urgent work first; own sends that
        the report cannot show are added until their first token.
        """
        engine = self._engines[engine_name]
        before = after = 0.0
        if engine.report is not None:
            for level, tokens in engine.report.queued_tokens.items():
                if level <= priority:
                    before += tokens
                else:
                    after += tokens
            drained = self.prefill_rate(engine_name) * max(0.0, now - engine.at)
            after = max(0.0, after - max(0.0, drained - before))
            before = max(0.0, before - drained)
        for send in engine.sends.values():
            if engine.may_miss(send) and send.first_token_at is None:
                if send.priority <= priority:
                    before += send.uncached
                else:
                    after += send.uncached
        return before, after

    def traits(self, engine_name: str) -> EngineCapacity:
        """Return the memory and the rates that the settings state."""
        return self._engines[engine_name].traits

    def free_tokens(self, engine_name: str, now: float) -> float:
        """Return the engine memory that is free by estimate, in tokens.

        Open sends count in full, with the tokens they will generate. Streams of other
        nodes grow with the decode rate since the report.
        """
        engine = self._engines[engine_name]
        used = 0.0
        if engine.report is not None:
            age = max(0.0, now - engine.at)
            growth = (
                engine.traits.decode_tokens_per_s * age if engine.report.running else 0
            )
            used = engine.report.kv_used_tokens + growth
        used += sum(
            send.kv_tokens for send in engine.sends.values() if engine.may_miss(send)
        )
        used -= sum(tokens for _, tokens in engine.released)
        return engine.traits.kv_capacity_tokens - max(0.0, used)

    def long_tokens(self, engine_name: str) -> float:
        """Return the memory that this node's own long prompts hold, in tokens."""
        sends = self._engines[engine_name].sends.values()
        return sum(send.kv_tokens for send in sends if send.is_long)


def _learn(
    old: float,
    seen: float,
    bounds: tuple[float, float],
    down: float = _LEARNING_RATE,
) -> float:
    """Move a learned factor toward an observation, on a logarithmic scale."""
    low, high = bounds
    seen = min(high, max(low, seen))
    factor = _LEARNING_RATE if seen > old else down
    step = factor * (math.log(seen) - math.log(old))
    return min(high, max(low, math.exp(math.log(old) + step)))
