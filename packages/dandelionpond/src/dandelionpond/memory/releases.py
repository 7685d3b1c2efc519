"""Repeat releases with backoff until the engine confirms them."""

import random

from dandelionpond.memory.messages import Release
from dandelionpond.memory.settings import MemorySettings


class _PendingRelease:
    __slots__ = ("due_at", "owner", "recheck_at", "tries")

    def __init__(self, owner: str, due_at: float) -> None:
        self.owner = owner
        self.due_at = due_at
        self.tries = 0
        # Set once the engine has answered that it has no such holding. The same answer
        # at this time or later confirms the release.
        self.recheck_at: float | None = None


class EngineReleases:
    """The releases that one engine has not confirmed yet.

    After a failed call only one release at a time is sent, as a probe, so that an
    engine that stays unreachable costs one call per `release_retry_max_s`. The first
    confirmation ends this. Times are in monotonic seconds.
    """

    __slots__ = ("_blocked_until", "_failures", "_pending", "_random", "_settings")

    def __init__(self, settings: MemorySettings, random_source: random.Random) -> None:
        self._settings = settings
        self._random = random_source
        self._pending: dict[str, _PendingRelease] = {}
        self._failures = 0
        self._blocked_until = 0.0

    def __len__(self) -> int:
        return len(self._pending)

    def __contains__(self, holding_id: str) -> bool:
        return holding_id in self._pending

    def add(self, holding_id: str, owner: str, now: float) -> None:
        """Add a release that is due at once; adding it again changes nothing."""
        self._pending.setdefault(holding_id, _PendingRelease(owner, now))

    def confirm(self, holding_id: str, was_held: bool, now: float) -> bool:
        """Handle a confirmed release; return whether the release is complete.

        The request that created a holding may be delayed and arrive after its release.
        An engine that had no such holding is therefore asked again after `lease_ttl_s`.
        """
        self._failures = 0
        self._blocked_until = 0.0
        pending = self._pending.get(holding_id)
        if pending is None:
            return False
        if not was_held:
            if pending.recheck_at is None:
                pending.recheck_at = now + self._settings.lease_ttl_s
                pending.tries = 0
                pending.due_at = pending.recheck_at
            # A probe of a failing engine may come earlier; its answer does not count.
            if now < pending.recheck_at:
                return False
        del self._pending[holding_id]
        return True

    def record_failure(self, now: float) -> None:
        """Record that the engine did not confirm a release."""
        self._failures += 1
        self._blocked_until = now + self._backoff_s(self._failures)

    def due(self, engine: str, now: float) -> list[Release]:
        """Return the releases that are due; each has its own backoff."""
        if now < self._blocked_until or not self._pending:
            return []
        if self._failures:
            self._blocked_until = now + self._backoff_s(self._failures)
            # The probe is the release with the fewest tries, so that one that the
            # engine refuses does not keep the others from being tried.
            holding_id = min(self._pending, key=lambda key: self._pending[key].tries)
            return [self._mark_sent(engine, holding_id, now)]
        return [
            self._mark_sent(engine, holding_id, now)
            for holding_id, pending in self._pending.items()
            if pending.due_at <= now
        ]

    def _mark_sent(self, engine: str, holding_id: str, now: float) -> Release:
        pending = self._pending[holding_id]
        pending.tries += 1
        pending.due_at = max(
            now + self._backoff_s(pending.tries), pending.recheck_at or 0.0
        )
        return Release(engine, holding_id, pending.owner)

    def _backoff_s(self, tries: int) -> float:
        max_delay_s = self._settings.release_retry_max_s
        # The exponent is limited so that the power cannot overflow. 2 ** 16 times the
        # shortest delay exceeds any practical `release_retry_max_s`.
        delay_s = min(
            max_delay_s, self._settings.release_retry_s * 2.0 ** min(tries - 1, 16)
        )
        return delay_s * self._random.uniform(0.5, 1.0)
