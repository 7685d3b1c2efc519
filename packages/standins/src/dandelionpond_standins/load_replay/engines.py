"""Model an engine of the users' platform by its published passes.

A pass with writing requests takes `stride` token steps and gives each of them one
event; without one it takes a single step. Each step reads up to `CHUNK_TOKENS` of the
parts that wait, the newest first, and the time for reading is added to the pass.
"""

from collections.abc import Callable

from dandelionpond.placement.engine_time import decode_pass_s
from dandelionpond.published.messages import EngineCostModel

# Tokens that one step reads at most, from the published model of the sites.
CHUNK_TOKENS = 2_048


class PrefillPart:
    """Hold a part of a prompt that an engine reads; `done` is called at its end."""

    __slots__ = ("done", "left", "token_s")

    def __init__(self, tokens: float, read_s: float, done: Callable[[], None]) -> None:
        self.left = tokens
        self.token_s = read_s / tokens
        self.done = done


class DecodeStream:
    """Hold a writing request; `event` is called for each event, the last with True."""

    __slots__ = ("context_tokens", "event", "events_left")

    def __init__(
        self, events: int, context_tokens: int, event: Callable[[bool], None]
    ) -> None:
        self.events_left = events
        self.context_tokens = context_tokens
        self.event = event


class SimulatedEngine:
    """Work off parts and streams; times are in seconds of the replay."""

    __slots__ = ("_at", "_is_running", "_model", "_parts", "_streams", "busy_s")

    def __init__(
        self, model: EngineCostModel, at: Callable[[float, Callable[[], None]], None]
    ) -> None:
        self._model = model
        self._at = at
        self._parts: list[PrefillPart] = []
        self._streams: list[DecodeStream] = []
        self._is_running = False
        self.busy_s = 0.0

    def start_prefill(self, part: PrefillPart) -> None:
        """Begin to read a part."""
        self._parts.append(part)
        self._run()

    def start_decode(self, stream: DecodeStream) -> None:
        """Begin to write an answer."""
        self._streams.append(stream)
        self._run()

    def _run(self) -> None:
        if self._is_running or not (self._parts or self._streams):
            return
        self._is_running = True
        streams = list(self._streams)
        context = sum(one.context_tokens for one in streams)
        steps = self._model.stride if streams else 1
        took = decode_pass_s(self._model, len(streams), context) or self._model.step_s
        room = float(CHUNK_TOKENS * steps)
        progress = []
        for part in reversed(self._parts):
            tokens = min(room, part.left)
            room -= tokens
            took += tokens * part.token_s
            progress.append((part, tokens))
            if room <= 0:
                break
        self.busy_s += took
        self._at(took, lambda: self._end(streams, progress))

    def _end(
        self, streams: list[DecodeStream], progress: list[tuple[PrefillPart, float]]
    ) -> None:
        self._is_running = False
        for part, tokens in progress:
            part.left -= tokens
        finished = [part for part in self._parts if part.left <= 0]
        self._parts = [part for part in self._parts if part.left > 0]
        for stream in streams:
            stream.events_left -= 1
            if stream.events_left <= 0:
                self._streams.remove(stream)
        for stream in streams:
            stream.event(stream.events_left <= 0)
        for part in finished:
            part.done()
        self._run()
