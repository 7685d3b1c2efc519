"""Reserve memory for one prompt on a group of engines, all parts or none."""

from collections.abc import Mapping

import msgspec
from expression import Error, Ok, Result

from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.memory.leases import LeaseTable
from dandelionpond.memory.messages import (
    GroupAction,
    GroupFailed,
    GroupReady,
    PromptPart,
    Reserve,
)
from dandelionpond.memory.settings import MemorySettings


class GroupCounters(msgspec.Struct):
    """The counts of groups by outcome since the node started."""

    refused_full: int = 0
    ready: int = 0
    refused: int = 0
    timed_out: int = 0
    part_failed: int = 0


class _GroupState:
    __slots__ = ("deadline", "is_ready", "lead", "parts", "requested")

    def __init__(self, parts: tuple[PromptPart, ...], deadline: float) -> None:
        self.parts = parts
        self.deadline = deadline
        # The number of reservations requested so far; the last may be unanswered.
        self.requested = 0
        self.is_ready = False
        # The engine that runs the stream; the stream takes over its reservation.
        self.lead = ""


def split_prompt(
    prompt_tokens: int,
    max_tokens: int,
    free_tokens: Mapping[str, int],
    settings: MemorySettings,
) -> tuple[PromptPart, ...] | None:
    """Split a prompt into equal parts on the fewest engines with enough memory.

    Each part includes `max_tokens` for the whole answer, because any engine of the
    group may run the stream. Engines with the most free memory are used first, and at
    least `min_group_engines` of them. Returns None if there is not enough memory.
    """
    by_free_tokens = sorted(free_tokens, key=lambda name: (-free_tokens[name], name))
    for count in range(settings.min_group_engines, len(by_free_tokens) + 1):
        size = -(-prompt_tokens // count) + max_tokens
        if free_tokens[by_free_tokens[count - 1]] >= size:
            return tuple(
                PromptPart(name, size) for name in sorted(by_free_tokens[:count])
            )
    return None


class GroupReservations:
    """The groups of this node; every reservation is a lease in the lease table.

    Parts are reserved one at a time in engine-name order. A refused part ends the group
    at once, so no group waits for memory while it holds some, which rules out
    deadlocks. New groups are refused at `max_groups`. Times are in monotonic seconds.
    """

    __slots__ = ("_groups", "_leases", "_settings", "counters")

    def __init__(self, leases: LeaseTable, settings: MemorySettings) -> None:
        self._leases = leases
        self._settings = settings
        self._groups: dict[str, _GroupState] = {}
        self.counters = GroupCounters()

    def __len__(self) -> int:
        return len(self._groups)

    def configure(self, settings: MemorySettings) -> None:
        """Apply new settings from the next event on."""
        self._settings = settings

    def holding_id(self, group: str, engine: str) -> str:
        """Return the holding identifier of a part's reservation."""
        return f"{group}/{engine}"

    def start(
        self, group: str, parts: tuple[PromptPart, ...], now: float
    ) -> Result[list[GroupAction], Failure]:
        """Start to reserve the parts. Errors: `overloaded`, `internal`."""
        if len(self._groups) >= self._settings.max_groups:
            self.counters.refused_full += 1
            message = f"{len(self._groups)} prompts already use groups of engines"
            return Error(Failure(ErrorKind.OVERLOADED, message, 1.0))
        names = {part.engine for part in parts}
        if len(names) != len(parts) or len(parts) < self._settings.min_group_engines:
            return Error(
                Failure(ErrorKind.INTERNAL, "a group has too few distinct engines")
            )
        if group in self._groups:
            return Error(Failure(ErrorKind.INTERNAL, f"group {group} already exists"))
        ordered = tuple(sorted(parts, key=lambda part: part.engine))
        deadline = now + self._settings.group_timeout_s
        self._groups[group] = _GroupState(ordered, deadline)
        return Ok(self._reserve_next(group, now))

    def on_part_reserved(
        self, group: str, engine: str, now: float
    ) -> list[GroupAction]:
        """Handle the reservation of a part by its engine; late answers are ignored.

        A part that is reserved after its group ended needs no release here: the end of
        the group has already queued one.
        """
        state = self._groups.get(group)
        if state is None or not self._is_awaited(state, engine):
            return []
        if now >= state.deadline:
            return self._time_out(group, now)
        return self._reserve_next(group, now)

    def on_part_refused(
        self, group: str, engine: str, certain: bool, now: float
    ) -> list[GroupAction]:
        """Handle a refused part or a failed reservation call.

        `certain` is true if the engine itself stated that it reserved nothing.
        """
        state = self._groups.get(group)
        if state is None or not self._is_awaited(state, engine):
            return []
        self.counters.refused += 1
        if certain:
            self._leases.on_freed(engine, self.holding_id(group, engine))
        failure = Failure(
            ErrorKind.INSUFFICIENT_MEMORY,
            f"{engine} did not reserve memory",
            1.0,
        )
        return self._end(group, failure, now)

    def on_lease_lost(
        self, engine: str, holding_id: str, now: float
    ) -> list[GroupAction]:
        """Handle a lost lease; if it belonged to a group, end that group.

        The reservation on the lead engine is ignored: once the stream has taken it
        over, the engine no longer lists it, and the stream's own lease covers that
        part.
        """
        for group, state in self._groups.items():
            if self.holding_id(group, engine) == holding_id:
                if state.lead == engine:
                    return []
                return self.on_part_lost(group, engine, now)
        return []

    def begin_stream(self, group: str, lead: str) -> bool:
        """Set the lead engine just before the stream is sent to it.

        Returns false if the group has ended because a part was lost; the stream must
        not be sent then.
        """
        state = self._groups.get(group)
        if state is None:
            return False
        state.lead = lead
        return True

    def on_stream_started(self, group: str, lead: str) -> None:
        """Remove the lead's reservation, which its stream has taken over."""
        self._leases.on_freed(lead, self.holding_id(group, lead))

    def on_part_lost(self, group: str, engine: str, now: float) -> list[GroupAction]:
        """End a group because an engine lost its part, and release the other parts."""
        state = self._groups.get(group)
        if state is None or engine not in {part.engine for part in state.parts}:
            return []
        self.counters.part_failed += 1
        kind = ErrorKind.INSUFFICIENT_MEMORY
        if state.is_ready:
            kind = ErrorKind.UPSTREAM_FAILED
        return self._end(
            group, Failure(kind, f"{engine} lost its reserved memory"), now
        )

    def finish(self, group: str, now: float) -> None:
        """Release all parts after the answer is complete or the caller is gone."""
        state = self._groups.pop(group, None)
        if state is not None:
            self._release(group, state, now)

    def tick(self, now: float) -> list[GroupAction]:
        """End groups that were not ready within `group_timeout_s`."""
        timed_out = [
            group
            for group, state in self._groups.items()
            if not state.is_ready and now >= state.deadline
        ]
        return [action for group in timed_out for action in self._time_out(group, now)]

    def _is_awaited(self, state: _GroupState, engine: str) -> bool:
        return not state.is_ready and state.parts[state.requested - 1].engine == engine

    def _reserve_next(self, group: str, now: float) -> list[GroupAction]:
        state = self._groups[group]
        if state.requested == len(state.parts):
            state.is_ready = True
            self.counters.ready += 1
            return [GroupReady(group, state.parts)]
        part = state.parts[state.requested]
        holding = self.holding_id(group, part.engine)
        match self._leases.acquire(part.engine, holding, now):
            case Result(tag="error", error=failure):
                return self._end(group, failure, now)
        state.requested += 1
        ttl_s = self._settings.lease_ttl_s
        return [Reserve(group, part.engine, holding, part.tokens, ttl_s)]

    def _time_out(self, group: str, now: float) -> list[GroupAction]:
        self.counters.timed_out += 1
        message = f"not all parts reserved within {self._settings.group_timeout_s} s"
        failure = Failure(ErrorKind.INSUFFICIENT_MEMORY, message, 1.0)
        return self._end(group, failure, now)

    def _end(self, group: str, failure: Failure, now: float) -> list[GroupAction]:
        self._release(group, self._groups.pop(group), now)
        return [GroupFailed(group, failure)]

    def _release(self, group: str, state: _GroupState, now: float) -> None:
        # The last request may be unanswered and still have reserved memory, so it is
        # released as well.
        for part in state.parts[: state.requested]:
            holding = self.holding_id(group, part.engine)
            self._leases.release(part.engine, holding, now)
