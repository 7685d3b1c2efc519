"""Placement of one prompt, with the memory reservation for a group of engines."""

import asyncio

from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.routing.messages import (
    DispatchRequest,
    PlaceOnEngine,
    PlaceOnGroup,
    RefusePrompt,
)
from dandelionpond.runtime.core import Core
from dandelionpond.runtime.engines import Engines

# Mean delay in seconds before another group reservation is tried. Load reports lag by
# about as much.
GROUP_RETRY_S = 0.5


class PromptPlacement:
    """The placement of a prompt, held until `release`; it can be acquired again."""

    __slots__ = (
        "_core",
        "_engines",
        "_group_tries",
        "_is_stream_started",
        "_leading_engine",
        "_request_id",
        "group_id",
        "placement_count",
        "target",
    )

    def __init__(self, core: Core, engines: Engines) -> None:
        self._core = core
        self._engines = engines
        self._request_id = ""
        self._group_tries = 0
        self._leading_engine = ""
        self._is_stream_started = False
        self.placement_count = 0
        # The current group; empty if the prompt is on a single engine or not placed.
        self.group_id = ""
        self.target: PlaceOnEngine | PlaceOnGroup | None = None

    async def acquire(
        self, request: DispatchRequest
    ) -> PlaceOnEngine | PlaceOnGroup | RefusePrompt:
        """Place a prompt, and reserve memory on all engines if it needs a group.

        Load reports lag, so an engine may have less free memory than reported. The
        placement is then tried again until the deadline of the prompt.
        """
        self._request_id = request.request_id
        while True:
            placed = await self._engines.place(request)
            if isinstance(placed, RefusePrompt):
                return placed
            if isinstance(placed, PlaceOnEngine):
                break
            # Each try has its own ID, since releases of an earlier one may be pending.
            self._group_tries += 1
            group_id = f"{request.request_id}~{self._group_tries}"
            failure: Failure | None = None
            try:
                failure = await self._engines.reserve_group(
                    group_id, placed, request.deadline
                )
            except TimeoutError:
                message = "no group of engines reserved the memory before the deadline"
                failure = Failure(ErrorKind.DEADLINE_BEFORE_SEND, message)
            except BaseException:
                self._engines.finish(request.request_id, 0, 0.0)
                raise
            if failure is None:
                self.group_id, self._is_stream_started = group_id, False
                self._leading_engine = ""
                break
            self._engines.finish(request.request_id, 0, 0.0)
            if failure.kind is not ErrorKind.INSUFFICIENT_MEMORY:
                return RefusePrompt(request.request_id, failure)
            await asyncio.sleep(GROUP_RETRY_S * (0.5 + self._core.random.random()))
        self.placement_count += 1
        self.target = placed
        return placed

    def may_start_stream(self, leading_engine: str) -> bool:
        """Return whether the request to the leading engine may be sent now."""
        self._leading_engine = leading_engine
        return not self.group_id or self._engines.begin_group_stream(
            self.group_id, leading_engine
        )

    def token_received(self) -> None:
        """Record that the stream has taken over the leading engine's reservation.

        The first token shows this; later calls have no effect.
        """
        if self.group_id and not self._is_stream_started:
            self._is_stream_started = True
            self._engines.on_group_stream_started(self.group_id, self._leading_engine)

    def release(self, tokens: int, decode_s: float) -> None:
        """Release the group, if there is one, and end the placement."""
        if self.group_id:
            self._engines.finish_group(self.group_id)
            self.group_id = ""
        self.target = None
        self._engines.finish(self._request_id, tokens, decode_s)
