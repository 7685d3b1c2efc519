"""Repeat releases with backoff until each one is confirmed."""

import random

from dandelionpond.memory.messages import Release
from dandelionpond.memory.settings import MemorySettings


class _Pending:
    __slots__ = ("absent_again_at", "due", "owner", "tries")

    def __init__(self, owner: str, due: float) -> None:
        self.owner = owner
        self.due = due
        self.tries = 0
        # Set when the engine said that it holds nothing under the identifier; the same
        # statement at this time or later ends the release.
        self.absent_again_at: float | None = None


class EngineReleases:
    """Hold the releases that one engine has not confirmed.

    After a failed call only one release at a time probes the engine, so that a long
    unreachable engine costs one call for each `release_retry_max_s`. A confirmation
    ends that at once. Times are in monotonic seconds.
    """

    __slots__ = ("_blocked_until", "_failures", "_pending", "_random", "_settings")

    def __init__(self, settings: MemorySettings, random_source: random.Random) -> None:
        self._settings = settings
        self._random = random_source
        self._pending: dict[str, _Pending] = {}
        self._failures = 0
        self._blocked_until = 0.0

    def __len__(self) -> int:
        return len(self._pending)

    def __contains__(self, holding_id: str) -> bool:
        return holding_id in self._pending

    def add(self, holding_id: str, owner: str, now: float) -> None:
        """Release a holding from now on; a repeat changes nothing."""
        self._pending.setdefault(holding_id, _Pending(owner, now))

    def confirmed(self, holding_id: str, found: bool, now: float) -> bool:
        """Learn of a confirmation; true if the release is done.

        The request that a release follows may be delayed and arrive after it. So an
        engine that held nothing is asked once more after `lease_ttl_s`.
        """
        self._failures = 0
        self._blocked_until = 0.0
        pending = self._pending.get(holding_id)
        if pending is None:
            return False
        if not found:
            if pending.absent_again_at is None:
                pending.absent_again_at = now + self._settings.lease_ttl_s
                pending.tries = 0
                pending.due = pending.absent_again_at
            # A probe of a failing engine can come earlier and does not count.
            if now < pending.absent_again_at:
                return False
        del self._pending[holding_id]
        return True

    def failed(self, now: float) -> None:
        """Learn that the engine did not confirm a release."""
        self._failures += 1
        self._blocked_until = now + self._delay(self._failures)

    def due(self, engine: str, now: float) -> list[Release]:
        """Return the releases to send now; each has its own backoff."""
        if now < self._blocked_until or not self._pending:
            return []
        if self._failures:
            self._blocked_until = now + self._delay(self._failures)
            # The least tried one probes, so that one refused release never hides
            # behind another.
            name = min(self._pending, key=lambda each: self._pending[each].tries)
            return [self._send(engine, name, now)]
        return [
            self._send(engine, name, now)
            for name, pending in self._pending.items()
            if pending.due <= now
        ]

    def _send(self, engine: str, name: str, now: float) -> Release:
        pending = self._pending[name]
        pending.tries += 1
        pending.due = max(
            now + self._delay(pending.tries), pending.absent_again_at or 0.0
        )
        return Release(engine, name, pending.owner)

    def _delay(self, tries: int) -> float:
        longest = self._settings.release_retry_max_s
        # 2 ** 16 times the shortest delay is beyond any setting of the longest.
        delay = min(longest, self._settings.release_retry_s * 2.0 ** min(tries - 1, 16))
        return delay * self._random.uniform(0.5, 1.0)
