"""Notification of running prompts about the loss of their engine memory."""

from typing import Protocol

import msgspec

from dandelionpond.runtime.leases import LeaseRunner


class PromptMemoryCounters(msgspec.Struct):
    """Counts of the effects of lost engine memory on prompts.

    `not_sent` counts attempts whose lease or group was lost before the first byte was
    sent.
    """

    stream_lost: int = 0
    group_lost: int = 0
    placed_again: int = 0
    not_sent: int = 0


class MemoryLossListener(Protocol):
    """A prompt that is notified of the loss of its engine memory."""

    def lease_lost(self, attempt: int) -> None:
        """Handle the loss of the lease of an attempt's stream."""
        ...

    def group_part_lost(self) -> None:
        """Handle the loss of a part of the prompt's group."""
        ...


class LostMemoryNotifier:
    """A notifier that tells a running prompt when its lease or its group is lost."""

    __slots__ = ("_groups", "_streams", "counters")

    def __init__(self, leases: LeaseRunner) -> None:
        self._streams: dict[str, tuple[MemoryLossListener, int]] = {}
        self._groups: dict[str, MemoryLossListener] = {}
        self.counters = PromptMemoryCounters()
        leases.on_lease_lost = self._stream_lost
        leases.on_group_lost = self._group_lost

    def add_stream(
        self, holding_id: str, listener: MemoryLossListener, attempt: int
    ) -> None:
        """Register the attempt that uses a stream's lease."""
        self._streams[holding_id] = listener, attempt

    def remove_stream(self, holding_id: str) -> None:
        """Remove the registration of a stream."""
        self._streams.pop(holding_id, None)

    def add_group(self, group_id: str, listener: MemoryLossListener) -> None:
        """Register the prompt that uses a group of engines."""
        self._groups[group_id] = listener

    def remove_group(self, group_id: str) -> None:
        """Remove the registration of a group."""
        self._groups.pop(group_id, None)

    def _stream_lost(self, engine: str, holding_id: str) -> None:
        registration = self._streams.get(holding_id)
        if registration is not None:
            self.counters.stream_lost += 1
            listener, attempt = registration
            listener.lease_lost(attempt)

    def _group_lost(self, group_id: str) -> None:
        listener = self._groups.get(group_id)
        if listener is not None:
            self.counters.group_lost += 1
            listener.group_part_lost()
