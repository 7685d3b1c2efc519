"""Counters of what cached prefixes did to the choices of engines."""

from collections.abc import Iterable

import msgspec

from dandelionpond.prefixes.prediction import FirstTokenPrediction


class PrefixCounters(msgspec.Struct):
    """Counts of choices of an engine.

    `hits` are prompts sent to an engine that holds a part of them, `saved_tokens` the
    tokens of these parts. `waits_accepted` are hits for which another engine would have
    begun earlier, `hits_refused` prompts for which the engine that holds most of them
    was not chosen because of the wait there or of the delay to others.
    """

    hits: int = 0
    saved_tokens: int = 0
    waits_accepted: int = 0
    hits_refused: int = 0


def count_choice(
    counters: PrefixCounters,
    chosen: FirstTokenPrediction,
    cached_tokens: float,
    others: Iterable[FirstTokenPrediction],
) -> None:
    """Count one choice; `others` are the engines that could have been chosen."""
    largest: FirstTokenPrediction | None = None
    shortest_wait_s = chosen.wait_s
    for other in others:
        shortest_wait_s = min(shortest_wait_s, other.wait_s)
        if largest is None or other.saved_s > largest.saved_s:
            largest = other
    if cached_tokens > 0.0:
        counters.hits += 1
        counters.saved_tokens += round(cached_tokens)
        counters.waits_accepted += shortest_wait_s < chosen.wait_s
    if largest is not None and largest.saved_s > chosen.saved_s:
        counters.hits_refused += largest.cost_s > chosen.cost_s
