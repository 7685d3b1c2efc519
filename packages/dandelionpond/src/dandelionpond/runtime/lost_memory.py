"""Tell running prompts that the engine memory they use was lost."""

from typing import Protocol

import msgspec

from dandelionpond.runtime.leases import LeaseRunner


class PromptMemoryCounters(msgspec.Struct):
    """Count what lost engine memory did to prompts.

    `not_sent` attempts had lost their lease before the first byte could leave.
    """

    stream_lost: int = 0
    group_lost: int = 0
    placed_again: int = 0
    not_sent: int = 0


class Holder(Protocol):
    """Use engine memory for one prompt."""

    def lost(self, attempt: int) -> None:
        """Learn that the lease of an attempt's stream was lost."""
        ...

    def group_lost(self) -> None:
        """Learn that a part of the prompt was lost."""
        ...


class LostMemory:
    """Find the prompt that a lost lease or group belongs to."""

    __slots__ = ("_groups", "_streams", "counters")

    def __init__(self, leases: LeaseRunner) -> None:
        self._streams: dict[str, tuple[Holder, int]] = {}
        self._groups: dict[str, Holder] = {}
        self.counters = PromptMemoryCounters()
        leases.on_lease_lost = self._stream_lost
        leases.on_group_lost = self._group_lost

    def add_stream(self, holding_id: str, holder: Holder, attempt: int) -> None:
        """Connect a stream with the attempt of a prompt."""
        self._streams[holding_id] = holder, attempt

    def remove_stream(self, holding_id: str) -> None:
        """Forget a stream."""
        self._streams.pop(holding_id, None)

    def add_group(self, group: str, holder: Holder) -> None:
        """Connect a group of engines with its prompt."""
        self._groups[group] = holder

    def remove_group(self, group: str) -> None:
        """Forget a group."""
        self._groups.pop(group, None)

    def _stream_lost(self, engine: str, holding_id: str) -> None:
        found = self._streams.get(holding_id)
        if found is not None:
            self.counters.stream_lost += 1
            holder, attempt = found
            holder.lost(attempt)

    def _group_lost(self, group: str) -> None:
        holder = self._groups.get(group)
        if holder is not None:
            self.counters.group_lost += 1
            holder.group_lost()
