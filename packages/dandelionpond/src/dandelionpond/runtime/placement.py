"""Place one prompt and hold the memory of its group of engines."""

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

# Wait before a prompt asks for the memory of several engines again; load reports lag by
# about as much.
GROUP_RETRY_S = 0.5


class Placement:
    """Own the place of a prompt until `leave`; a prompt can be placed again."""

    __slots__ = (
        "_core",
        "_engines",
        "_is_started",
        "_lead",
        "_request_id",
        "_tries",
        "count",
        "group",
        "place",
    )

    def __init__(self, core: Core, engines: Engines) -> None:
        self._core = core
        self._engines = engines
        self._request_id = ""
        self._tries = 0
        self._lead = ""
        self._is_started = False
        # The number of placements, and the name of the group in force.
        self.count = 0
        self.group = ""
        self.place: PlaceOnEngine | PlaceOnGroup | None = None

    async def take(
        self, work: DispatchRequest
    ) -> PlaceOnEngine | PlaceOnGroup | RefusePrompt:
        """Place a prompt; one for a group also gets the memory of all its engines.

        Load reports lag, so an engine may have less memory than it seemed. The prompt
        then waits again, until its deadline.
        """
        self._request_id = work.request_id
        while True:
            placed = await self._engines.place(work)
            if isinstance(placed, RefusePrompt):
                return placed
            if isinstance(placed, PlaceOnEngine):
                break
            # Releases of an earlier try can be pending under its name.
            self._tries += 1
            group = f"{work.request_id}~{self._tries}"
            failure: Failure | None = None
            try:
                failure = await self._engines.reserve_group(
                    group, placed, work.deadline
                )
            except TimeoutError:
                message = "no engines had the memory in time"
                failure = Failure(ErrorKind.DEADLINE_BEFORE_SEND, message)
            except BaseException:
                self._engines.finish(work.request_id, 0, 0.0)
                raise
            if failure is None:
                self.group, self._is_started = group, False
                self._lead = ""
                break
            self._engines.finish(work.request_id, 0, 0.0)
            if failure.kind is not ErrorKind.INSUFFICIENT_MEMORY:
                return RefusePrompt(work.request_id, failure)
            await asyncio.sleep(GROUP_RETRY_S * (0.5 + self._core.random.random()))
        self.count += 1
        self.place = placed
        return placed

    def starting(self, lead: str) -> bool:
        """Return whether the stream on the leading engine may be sent now."""
        self._lead = lead
        return not self.group or self._engines.begin_group_stream(self.group, lead)

    def started(self) -> None:
        """Learn that a token came, so that the lead's reservation is taken over."""
        if self.group and not self._is_started:
            self._is_started = True
            self._engines.on_group_stream_started(self.group, self._lead)

    def leave(self, tokens: int, decode_s: float) -> None:
        """Release a group and record the end of the placement."""
        if self.group:
            self._engines.finish_group(self.group)
            self.group = ""
        self.place = None
        self._engines.finish(self._request_id, tokens, decode_s)
