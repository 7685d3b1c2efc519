"""Simulation of an engine of the users' platform, from its published cost model.

The engine works in passes. If requests are decoding, a pass takes `stride` token steps
and each of these requests gets one event at its end; otherwise it takes one step. Each
step also prefills up to `MAX_STEP_PREFILL_TOKENS` of the waiting parts, the newest part
first. The prefill time is added to the pass.
"""

import math
from collections import deque
from collections.abc import Callable

from dandelionpond.placement.engine_time import decode_pass_s
from dandelionpond.published.messages import EngineCostModel

# From the cost model that the sites publish.
MAX_STEP_PREFILL_TOKENS = 2_048


class PrefillPart:
    """A part of a prompt to prefill, which takes `prefill_s` seconds when alone.

    `on_done` is called when the part is prefilled.
    """

    __slots__ = ("on_done", "s_per_token", "tokens_left")

    def __init__(
        self, tokens: float, prefill_s: float, on_done: Callable[[], None]
    ) -> None:
        self.tokens_left = tokens
        self.s_per_token = prefill_s / tokens
        self.on_done = on_done


class DecodeStream:
    """A decoding request.

    `on_event` is called for each event, with True for the last one.
    """

    __slots__ = ("context_tokens", "events_left", "on_event")

    def __init__(
        self, events_left: int, context_tokens: int, on_event: Callable[[bool], None]
    ) -> None:
        self.events_left = events_left
        self.context_tokens = context_tokens
        self.on_event = on_event


class SimulatedEngine:
    """An engine that prefills parts and decodes streams.

    `call_later` calls a function after a delay in seconds of simulated time. Without
    `has_slot_limit`, any number of requests run at once.
    """

    __slots__ = (
        "_call_later",
        "_free_slots",
        "_is_in_pass",
        "_model",
        "_parts",
        "_queue",
        "_streams",
    )

    def __init__(
        self,
        model: EngineCostModel,
        call_later: Callable[[float, Callable[[], None]], None],
        has_slot_limit: bool = False,
    ) -> None:
        self._model = model
        self._call_later = call_later
        self._parts: list[PrefillPart] = []
        self._streams: list[DecodeStream] = []
        self._is_in_pass = False
        self._free_slots: float = model.slots if has_slot_limit else math.inf
        self._queue: deque[Callable[[], None]] = deque()

    def acquire_slot(self, on_admitted: Callable[[], None]) -> None:
        """Call `on_admitted` when a slot is free, in the order of requests."""
        if self._free_slots > 0:
            self._free_slots -= 1
            on_admitted()
        else:
            self._queue.append(on_admitted)

    def release_slot(self) -> None:
        """Give a slot to the next request in the queue, if any."""
        if self._queue:
            self._queue.popleft()()
        else:
            self._free_slots += 1

    def start_prefill(self, part: PrefillPart) -> None:
        """Add a part to prefill."""
        self._parts.append(part)
        self._start_pass()

    def start_decode(self, stream: DecodeStream) -> None:
        """Add a stream to decode."""
        self._streams.append(stream)
        self._start_pass()

    def _start_pass(self) -> None:
        if self._is_in_pass or not (self._parts or self._streams):
            return
        self._is_in_pass = True
        streams = list(self._streams)
        context_tokens = sum(stream.context_tokens for stream in streams)
        steps = self._model.stride if streams else 1
        pass_s = (
            decode_pass_s(self._model, len(streams), context_tokens)
            or self._model.step_s
        )
        unused_tokens = float(MAX_STEP_PREFILL_TOKENS * steps)
        prefilled = []
        for part in reversed(self._parts):
            tokens = min(unused_tokens, part.tokens_left)
            unused_tokens -= tokens
            pass_s += tokens * part.s_per_token
            prefilled.append((part, tokens))
            if unused_tokens <= 0:
                break
        self._call_later(pass_s, lambda: self._end_pass(streams, prefilled))

    def _end_pass(
        self, streams: list[DecodeStream], prefilled: list[tuple[PrefillPart, float]]
    ) -> None:
        self._is_in_pass = False
        for part, tokens in prefilled:
            part.tokens_left -= tokens
        finished = [part for part in self._parts if part.tokens_left <= 0]
        self._parts = [part for part in self._parts if part.tokens_left > 0]
        for stream in streams:
            stream.events_left -= 1
            if stream.events_left <= 0:
                self._streams.remove(stream)
        for stream in streams:
            stream.on_event(stream.events_left <= 0)
        for part in finished:
            part.on_done()
        self._start_pass()
