"""The prompts that engines keep after their requests, if their service says so."""

from collections.abc import Sequence

import msgspec

from dandelionpond.placement.engine_time import prefill_s
from dandelionpond.placement.placement import EngineCandidate, Prompt, PromptPlacement
from dandelionpond.prefixes.messages import PrefixSettings
from dandelionpond.prefixes.outcomes import PrefixCounters, count_choice
from dandelionpond.prefixes.parts import split_parts
from dandelionpond.prefixes.prediction import FirstTokenPrediction
from dandelionpond.prefixes.table import PrefixTable
from dandelionpond.published.messages import EngineCostModel


class KeptPrompts:
    """The table of cached prefixes of the engines of a users' platform.

    The only sources are this node's prompts and the jobs that all nodes tell of: these
    engines report neither their caches nor their memory.
    """

    __slots__ = ("_settings", "counters", "table")

    def __init__(self) -> None:
        self._settings = PrefixSettings()
        self.table = PrefixTable(self._settings)
        self.counters = PrefixCounters()

    def split(
        self, part_ids: tuple[str, ...], part_tokens: tuple[int, ...]
    ) -> tuple[int, ...]:
        """Return the blocks of a prompt, none if a part has no token count."""
        if len(part_ids) != len(part_tokens):
            return ()
        return split_parts(part_ids, part_tokens, self._settings.block_tokens)

    def add_cached_tokens(
        self, engines: Sequence[EngineCandidate], blocks: tuple[int, ...], now: float
    ) -> list[EngineCandidate]:
        """Return the engines with the tokens of a prompt that each should hold."""
        cached = self.table.cached_tokens(blocks, now)
        return [
            msgspec.structs.replace(engine, cached_tokens=cached[engine.instance])
            if engine.instance in cached
            else engine
            for engine in engines
        ]

    def count_choice(
        self,
        prompt: Prompt,
        engines: Sequence[EngineCandidate],
        placement: PromptPlacement,
        model: EngineCostModel,
    ) -> None:
        """Count what the cached prefixes did to a placement on one engine."""
        if placement.helpers or all(engine.cached_tokens <= 0 for engine in engines):
            return
        whole_s = prefill_s(model, prompt.tokens)
        predictions = {}
        for engine in engines:
            saved_s = min(whole_s, prefill_s(model, int(engine.cached_tokens)))
            predictions[engine.instance] = FirstTokenPrediction(
                engine.load.backlog_s, whole_s - saved_s, 0.0, 0.0, saved_s
            )
        chosen = next(item for item in engines if item.instance == placement.main)
        others = (
            predictions[engine.instance]
            for engine in engines
            if engine is not chosen and engine.load.requests < model.slots
        )
        count_choice(
            self.counters, predictions[chosen.instance], chosen.cached_tokens, others
        )

    def record_sent(
        self,
        request_id: str,
        placement: PromptPlacement,
        blocks: tuple[int, ...],
        idle_tokens: float,
        now: float,
    ) -> None:
        """Record a prompt; `idle_tokens` is the engine's memory that no job uses."""
        self.table.record_memory(placement.main, idle_tokens, now)
        if not placement.helpers:
            self.table.record_sent(request_id, placement.main, blocks, now)

    def read_counters(self) -> dict[str, int]:
        """Return the counters; there are none where no engine keeps prompts."""
        if not len(self.table) and not self.counters.hits:
            return {}
        counts: dict[str, int] = msgspec.to_builtins(self.counters)
        return counts | self.table.read_counters()

    def drop_engines(self, instances: set[str]) -> None:
        """Forget what engines held that are gone or have restarted."""
        for instance in instances:
            self.table.drop_engine(instance)
