"""Reserve memory on several engines for one prompt, all parts or none."""

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
    """Count groups by their outcome since the start."""

    refused_full: int = 0
    ready: int = 0
    refused: int = 0
    timed_out: int = 0
    part_failed: int = 0


class _Group:
    __slots__ = ("asked", "deadline", "lead", "parts", "ready")

    def __init__(self, parts: tuple[PromptPart, ...], deadline: float) -> None:
        self.parts = parts
        self.deadline = deadline
        # The number of parts that were asked for; the last of them may be unanswered.
        self.asked = 0
        self.ready = False
        # The engine whose reservation a stream takes over.
        self.lead = ""


def split_prompt(
    prompt_tokens: int,
    max_tokens: int,
    free_tokens: Mapping[str, int],
    settings: MemorySettings,
) -> tuple[PromptPart, ...] | None:
    """Split a prompt into equal parts on the fewest engines with enough memory.

    Each part has room for the whole answer of `max_tokens`, because any of the engines
    may lead. At least `min_group_engines` are used, and the engines with most free
    memory first. None means that the memory is not there.
    """
    by_room = sorted(free_tokens, key=lambda name: (-free_tokens[name], name))
    for count in range(settings.min_group_engines, len(by_room) + 1):
        size = -(-prompt_tokens // count) + max_tokens
        if free_tokens[by_room[count - 1]] >= size:
            return tuple(PromptPart(name, size) for name in sorted(by_room[:count]))
    return None


class GroupReservations:
    """Own the groups of this node; every reservation is a lease in the lease book.

    Parts are reserved one after the other in engine-name order. A refused part ends the
    group at once, so a group never waits for memory while it holds some. Times are in
    monotonic seconds. At `max_groups` a new group is refused.
    """

    __slots__ = ("_groups", "_leases", "_settings", "counters")

    def __init__(self, leases: LeaseTable, settings: MemorySettings) -> None:
        self._leases = leases
        self._settings = settings
        self._groups: dict[str, _Group] = {}
        self.counters = GroupCounters()

    def __len__(self) -> int:
        return len(self._groups)

    def configure(self, settings: MemorySettings) -> None:
        """Take new settings from the next event on."""
        self._settings = settings

    def holding_id(self, group: str, engine: str) -> str:
        """Return the identifier of a part's reservation."""
        return f"{group}/{engine}"

    def start(
        self, group: str, parts: tuple[PromptPart, ...], now: float
    ) -> Result[list[GroupAction], Failure]:
        """Begin to reserve the parts. Errors: `overloaded`, `internal`."""
        if len(self._groups) >= self._settings.max_groups:
            self.counters.refused_full += 1
            message = f"{len(self._groups)} prompts on several engines"
            return Error(Failure(ErrorKind.OVERLOADED, message, 1.0))
        names = {part.engine for part in parts}
        if len(names) != len(parts) or len(parts) < self._settings.min_group_engines:
            return Error(Failure(ErrorKind.INTERNAL, "a group needs distinct engines"))
        if group in self._groups:
            return Error(Failure(ErrorKind.INTERNAL, f"group {group} exists"))
        ordered = tuple(sorted(parts, key=lambda part: part.engine))
        deadline = now + self._settings.group_timeout_s
        self._groups[group] = _Group(ordered, deadline)
        return Ok(self._next(group, now))

    def on_part_reserved(
        self, group: str, engine: str, now: float
    ) -> list[GroupAction]:
        """Learn that an engine reserved a part; late answers change nothing.

        The release of a late part has already been entered with its group's end.
        """
        state = self._groups.get(group)
        if state is None or not self._is_asked(state, engine):
            return []
        if now >= state.deadline:
            return self._time_out(group, now)
        return self._next(group, now)

    def on_part_refused(
        self, group: str, engine: str, certain: bool, now: float
    ) -> list[GroupAction]:
        """Learn that an engine refused a part or that the call failed.

        `certain` says that the engine itself stated that it reserved nothing.
        """
        state = self._groups.get(group)
        if state is None or not self._is_asked(state, engine):
            return []
        self.counters.refused += 1
        if certain:
            self._leases.on_freed(engine, self.holding_id(group, engine))
        failure = Failure(
            ErrorKind.INSUFFICIENT_MEMORY, f"{engine} did not reserve memory", 1.0
        )
        return self._end(group, failure, now)

    def on_lease_lost(
        self, engine: str, holding_id: str, now: float
    ) -> list[GroupAction]:
        """Learn that a lease was lost; if it was a part, the rest is released.

        A reservation that a stream takes over is unknown to its engine from then on;
        the lease of the stream itself stands for that part.
        """
        for group, state in self._groups.items():
            if self.holding_id(group, engine) == holding_id:
                if state.lead == engine:
                    return []
                return self.on_part_lost(group, engine, now)
        return []

    def begin_stream(self, group: str, lead: str) -> bool:
        """Learn that a stream which takes over a reservation is about to be sent.

        False means that a part was lost and that nothing may be sent.
        """
        state = self._groups.get(group)
        if state is None:
            return False
        state.lead = lead
        return True

    def on_stream_started(self, group: str, lead: str) -> None:
        """Learn that a stream on the leading engine took over its reservation."""
        self._leases.on_freed(lead, self.holding_id(group, lead))

    def on_part_lost(self, group: str, engine: str, now: float) -> list[GroupAction]:
        """Learn that an engine lost its part; the rest is released."""
        state = self._groups.get(group)
        if state is None or engine not in {part.engine for part in state.parts}:
            return []
        self.counters.part_failed += 1
        kind = ErrorKind.INSUFFICIENT_MEMORY
        if state.ready:
            kind = ErrorKind.UPSTREAM_FAILED
        return self._end(group, Failure(kind, f"{engine} lost its part"), now)

    def finish(self, group: str, now: float) -> None:
        """Release all parts after the answer or after the caller has gone."""
        state = self._groups.pop(group, None)
        if state is not None:
            self._release(group, state, now)

    def tick(self, now: float) -> list[GroupAction]:
        """End the groups that are not ready after `group_timeout_s`."""
        late = [
            group
            for group, state in self._groups.items()
            if not state.ready and now >= state.deadline
        ]
        return [action for group in late for action in self._time_out(group, now)]

    def _is_asked(self, state: _Group, engine: str) -> bool:
        return not state.ready and state.parts[state.asked - 1].engine == engine

    def _next(self, group: str, now: float) -> list[GroupAction]:
        state = self._groups[group]
        if state.asked == len(state.parts):
            state.ready = True
            self.counters.ready += 1
            return [GroupReady(group, state.parts)]
        part = state.parts[state.asked]
        holding = self.holding_id(group, part.engine)
        match self._leases.acquire(part.engine, holding, now):
            case Result(tag="error", error=failure):
                return self._end(group, failure, now)
        state.asked += 1
        ttl_s = self._settings.lease_ttl_s
        return [Reserve(group, part.engine, holding, part.tokens, ttl_s)]

    def _time_out(self, group: str, now: float) -> list[GroupAction]:
        self.counters.timed_out += 1
        message = f"no reservation within {self._settings.group_timeout_s} s"
        failure = Failure(ErrorKind.INSUFFICIENT_MEMORY, message, 1.0)
        return self._end(group, failure, now)

    def _end(self, group: str, failure: Failure, now: float) -> list[GroupAction]:
        self._release(group, self._groups.pop(group), now)
        return [GroupFailed(group, failure)]

    def _release(self, group: str, state: _Group, now: float) -> None:
        # An unanswered request may have reserved memory, so it is released as well.
        for part in state.parts[: state.asked]:
            holding = self.holding_id(group, part.engine)
            self._leases.release(part.engine, holding, now)
