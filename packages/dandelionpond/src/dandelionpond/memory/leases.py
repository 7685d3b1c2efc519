"""Track leases on engine memory, renew them and repeat releases until confirmed."""

import random
from collections.abc import Iterable

import msgspec
from expression import Error, Ok, Result

from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.memory.messages import Holding, LeaseAction, LeaseLost, Renew
from dandelionpond.memory.releases import EngineReleases
from dandelionpond.memory.settings import MemorySettings

# Maximum number of holdings in one renewal; 256 of them take about 10 KB.
RENEW_BATCH = 256


class LeaseCounters(msgspec.Struct):
    """The counts of the events of a lease table since the node started."""

    refused_full: int = 0
    confirmed: int = 0
    lost: int = 0
    forgotten: int = 0
    reconciled: int = 0


class _EngineLeases:
    __slots__ = ("next_renewal", "releases", "valid_until")

    def __init__(self, releases: EngineReleases, next_renewal: float) -> None:
        # Maps holding identifiers to the time until which the lease is valid. It counts
        # from when the request was sent, so it ends before the engine's own expiry.
        self.valid_until: dict[str, float] = {}
        self.releases = releases
        self.next_renewal = next_renewal


class LeaseTable:
    """All leases of this incarnation; times are in monotonic seconds.

    A lease is added before its request is sent and is removed only once the engine has
    reported that the memory is free. The limit `max_leases` covers leases and pending
    releases; at the limit `acquire` refuses new leases and nothing is dropped.
    """

    __slots__ = (
        "_count",
        "_engines",
        "_owner",
        "_random",
        "_settings",
        "counters",
    )

    def __init__(
        self, owner: str, settings: MemorySettings, random_source: random.Random
    ) -> None:
        self._owner = owner
        self._settings = settings
        self._random = random_source
        self._engines: dict[str, _EngineLeases] = {}
        self._count = 0
        self.counters = LeaseCounters()

    def __len__(self) -> int:
        return self._count

    @property
    def owner(self) -> str:
        """Return the owner text that engines list for these leases."""
        return self._owner

    @property
    def pending_releases(self) -> int:
        """Return the number of unconfirmed releases."""
        return sum(len(leases.releases) for leases in self._engines.values())

    def configure(self, settings: MemorySettings) -> None:
        """Apply new settings from the next event on."""
        self._settings = settings

    def acquire(
        self, engine: str, holding_id: str, now: float
    ) -> Result[None, Failure]:
        """Add a lease of `lease_ttl_s` for a request that is about to be sent.

        Errors: `overloaded` at the limit, `internal` if the identifier is in use.
        """
        if self._count >= self._settings.max_leases:
            self.counters.refused_full += 1
            message = f"{self._count} leases on engine memory already exist"
            return Error(Failure(ErrorKind.OVERLOADED, message, 1.0))
        leases = self._get_or_add(engine, now)
        if holding_id in leases.valid_until or holding_id in leases.releases:
            return Error(
                Failure(ErrorKind.INTERNAL, f"lease {holding_id} already exists")
            )
        leases.valid_until[holding_id] = now + self._settings.lease_ttl_s
        self._count += 1
        return Ok(None)

    def owns(self, engine: str, holding_id: str, now: float) -> bool:
        """Return whether this node's lease on the holding is still valid."""
        leases = self._engines.get(engine)
        return leases is not None and now < leases.valid_until.get(holding_id, -1.0)

    def on_renewed(
        self,
        action: Renew,
        unknown: Iterable[str],
        asked_at: float,
        now: float,
    ) -> list[LeaseLost]:
        """Apply the answer to a renewal that was sent at `asked_at`.

        Holdings that are `unknown` to the engine, or that expired before the answer
        arrived, are returned as lost and released.
        """
        leases = self._engines.get(action.engine)
        if leases is None:
            return []
        unknown_ids = set(unknown)
        lost = []
        for holding_id in action.holding_ids:
            valid_until = leases.valid_until.get(holding_id)
            if valid_until is None:
                continue
            if holding_id in unknown_ids or now >= valid_until:
                lost.append(self._mark_lost(action.engine, leases, holding_id, now))
            else:
                leases.valid_until[holding_id] = max(
                    valid_until, asked_at + action.ttl_s
                )
        return lost

    def on_freed(self, engine: str, holding_id: str) -> None:
        """Remove a holding that the engine itself freed, as at the end of a stream."""
        leases = self._engines.get(engine)
        if leases is not None and leases.valid_until.pop(holding_id, None) is not None:
            self._count -= 1
            self._remove_if_empty(engine, leases)

    def release(self, engine: str, holding_id: str, now: float) -> None:
        """Release a holding; the release is repeated until the engine confirms it."""
        leases = self._engines.get(engine)
        if leases is not None and leases.valid_until.pop(holding_id, None) is not None:
            leases.releases.add(holding_id, self._owner, now)

    def on_released(
        self, engine: str, holding_id: str, was_held: bool, now: float
    ) -> None:
        """Handle a confirmed release; `was_held` is false if the engine had none."""
        leases = self._engines.get(engine)
        if leases is not None and leases.releases.confirm(holding_id, was_held, now):
            self.counters.confirmed += 1
            self._count -= 1
            self._remove_if_empty(engine, leases)

    def on_release_failed(self, engine: str, now: float) -> None:
        """Handle a release that the engine did not confirm."""
        leases = self._engines.get(engine)
        if leases is not None:
            leases.releases.record_failure(now)

    def reconcile(self, engine: str, holdings: Iterable[Holding], now: float) -> int:
        """Release expired holdings of this node that are missing from the table.

        Such a holding stems from a request that reached the engine long after its own
        release. Holdings that have not expired are left alone, because a lease is added
        before its request is sent. The limit does not apply, as the holdings already
        exist. Returns the number of releases added.
        """
        added = 0
        for holding in holdings:
            if holding.owner != self._owner or holding.expires_in_s > 0:
                continue
            leases = self._get_or_add(engine, now)
            holding_id = holding.holding_id
            if (
                holding_id not in leases.valid_until
                and holding_id not in leases.releases
            ):
                leases.releases.add(holding_id, self._owner, now)
                self._count += 1
                added += 1
            self._remove_if_empty(engine, leases)
        self.counters.reconciled += added
        return added

    def drop_engine(self, engine: str) -> list[LeaseLost]:
        """Drop everything about an engine that the settings no longer list."""
        leases = self._engines.pop(engine, None)
        if leases is None:
            return []
        dropped = len(leases.valid_until) + len(leases.releases)
        self._count -= dropped
        self.counters.forgotten += dropped
        return [LeaseLost(engine, holding_id) for holding_id in leases.valid_until]

    def tick(self, now: float) -> list[LeaseAction]:
        """Return due renewals, due releases and expired leases.

        Leases that expired, as during a pause of this process, are lost and never
        renewed, because another node may have released their memory.
        """
        actions: list[LeaseAction] = []
        for engine, leases in self._engines.items():
            if now >= leases.next_renewal:
                actions += self._renew(engine, leases, now)
            actions += leases.releases.due(engine, now)
        return actions

    def _renew(
        self, engine: str, leases: _EngineLeases, now: float
    ) -> list[LeaseAction]:
        leases.next_renewal = now + self._settings.renew_after_s
        expired = [
            holding_id
            for holding_id, until in leases.valid_until.items()
            if now >= until
        ]
        actions: list[LeaseAction] = [
            self._mark_lost(engine, leases, holding_id, now) for holding_id in expired
        ]
        holding_ids = tuple(leases.valid_until)
        for start in range(0, len(holding_ids), RENEW_BATCH):
            batch = holding_ids[start : start + RENEW_BATCH]
            actions.append(Renew(engine, batch, self._settings.lease_ttl_s))
        return actions

    def _mark_lost(
        self, engine: str, leases: _EngineLeases, holding_id: str, now: float
    ) -> LeaseLost:
        del leases.valid_until[holding_id]
        # Safe if another node has already released the holding, and needed otherwise.
        leases.releases.add(holding_id, self._owner, now)
        self.counters.lost += 1
        return LeaseLost(engine, holding_id)

    def _get_or_add(self, engine: str, now: float) -> _EngineLeases:
        leases = self._engines.get(engine)
        if leases is None:
            releases = EngineReleases(self._settings, self._random)
            # A random first interval spreads the renewals of different engines.
            delay_s = self._settings.renew_after_s * self._random.uniform(0.5, 1.0)
            leases = self._engines[engine] = _EngineLeases(releases, now + delay_s)
        return leases

    def _remove_if_empty(self, engine: str, leases: _EngineLeases) -> None:
        if not leases.valid_until and not leases.releases:
            del self._engines[engine]
