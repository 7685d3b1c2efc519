"""Keep leases on engine memory: renew what is used, release until confirmed."""

import random
from collections.abc import Iterable

import msgspec
from expression import Error, Ok, Result

from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.memory.messages import Holding, LeaseAction, LeaseLost, Renew
from dandelionpond.memory.releases import EngineReleases
from dandelionpond.memory.settings import MemorySettings

# One renewal names at most this many holdings, about 10 KB.
RENEW_BATCH = 256


class LeaseCounters(msgspec.Struct):
    """Count the events of a lease book since the start."""

    refused_full: int = 0
    confirmed: int = 0
    lost: int = 0
    forgotten: int = 0
    reconciled: int = 0


class _EngineLeases:
    __slots__ = ("next_renewal", "releases", "valid_until")

    def __init__(self, releases: EngineReleases, next_renewal: float) -> None:
        # The time until which a holding certainly belongs to this node: the time of
        # asking plus the time to live, so that it ends before the engine's own expiry.
        self.valid_until: dict[str, float] = {}
        self.releases = releases
        self.next_renewal = next_renewal


class LeaseTable:
    """Own every lease of this incarnation; times are in monotonic seconds.

    A lease is entered before its request is sent and leaves the book only when the
    engine has said that the memory is free. The bound `max_leases` covers leases and
    pending releases; at the bound `acquire` refuses, nothing is dropped.
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
        """Return the owner that engines list for these leases."""
        return self._owner

    @property
    def pending_releases(self) -> int:
        """Return the number of releases that are not confirmed."""
        return sum(len(each.releases) for each in self._engines.values())

    def configure(self, settings: MemorySettings) -> None:
        """Take new settings from the next event on."""
        self._settings = settings

    def acquire(
        self, engine: str, holding_id: str, now: float
    ) -> Result[None, Failure]:
        """Enter a lease for a request that is about to ask for `lease_ttl_s`.

        Errors: `overloaded` at the bound, `internal` if the identifier is in use.
        """
        if self._count >= self._settings.max_leases:
            self.counters.refused_full += 1
            message = f"{self._count} leases on engine memory"
            return Error(Failure(ErrorKind.OVERLOADED, message, 1.0))
        book = self._book(engine, now)
        if holding_id in book.valid_until or holding_id in book.releases:
            return Error(Failure(ErrorKind.INTERNAL, f"lease {holding_id} exists"))
        book.valid_until[holding_id] = now + self._settings.lease_ttl_s
        self._count += 1
        return Ok(None)

    def owns(self, engine: str, holding_id: str, now: float) -> bool:
        """Return whether the holding certainly still belongs to this node."""
        book = self._engines.get(engine)
        return book is not None and now < book.valid_until.get(holding_id, -1.0)

    def on_renewed(
        self,
        action: Renew,
        unknown: Iterable[str],
        asked_at: float,
        now: float,
    ) -> list[LeaseLost]:
        """Learn the answer to a renewal that was sent at `asked_at`.

        Holdings that the engine does not know, and those that ran out before the
        answer came, are lost and released.
        """
        book = self._engines.get(action.engine)
        if book is None:
            return []
        missing = set(unknown)
        lost = []
        for name in action.holding_ids:
            old = book.valid_until.get(name)
            if old is None:
                continue
            if name in missing or now >= old:
                lost.append(self._lose(action.engine, book, name, now))
            else:
                book.valid_until[name] = max(old, asked_at + action.ttl_s)
        return lost

    def on_freed(self, engine: str, holding_id: str) -> None:
        """Learn that the engine itself freed a holding, as at the end of a stream."""
        book = self._engines.get(engine)
        if book is not None and book.valid_until.pop(holding_id, None) is not None:
            self._count -= 1
            self._tidy(engine, book)

    def release(self, engine: str, holding_id: str, now: float) -> None:
        """Give a holding up; the release is repeated until it is confirmed."""
        book = self._engines.get(engine)
        if book is not None and book.valid_until.pop(holding_id, None) is not None:
            book.releases.add(holding_id, self._owner, now)

    def on_released(
        self, engine: str, holding_id: str, found: bool, now: float
    ) -> None:
        """Learn that the engine confirmed a release; `found` is what it said."""
        book = self._engines.get(engine)
        if book is not None and book.releases.confirmed(holding_id, found, now):
            self.counters.confirmed += 1
            self._count -= 1
            self._tidy(engine, book)

    def on_release_failed(self, engine: str, now: float) -> None:
        """Learn that a release got no confirmation."""
        book = self._engines.get(engine)
        if book is not None:
            book.releases.failed(now)

    def reconcile(self, engine: str, holdings: Iterable[Holding], now: float) -> int:
        """Enter releases for own holdings that this book does not know.

        They come from a request that arrived at the engine long after its release. Only
        expired ones count, because a lease is entered before its request is sent.
        The bound does not apply here: the holdings exist already. Returns their number.
        """
        found = 0
        for holding in holdings:
            if holding.owner != self._owner or holding.expires_in_s > 0:
                continue
            book = self._book(engine, now)
            name = holding.holding_id
            if name not in book.valid_until and name not in book.releases:
                book.releases.add(name, self._owner, now)
                self._count += 1
                found += 1
            self._tidy(engine, book)
        self.counters.reconciled += found
        return found

    def drop_engine(self, engine: str) -> list[LeaseLost]:
        """Drop everything on an engine that the settings no longer list."""
        book = self._engines.pop(engine, None)
        if book is None:
            return []
        dropped = len(book.valid_until) + len(book.releases)
        self._count -= dropped
        self.counters.forgotten += dropped
        return [LeaseLost(engine, name) for name in book.valid_until]

    def tick(self, now: float) -> list[LeaseAction]:
        """Return due renewals and releases, and leases that ran out.

        After a pause of this process the leases that ran out are lost and never
        renewed, because another node may have adopted them.
        """
        actions: list[LeaseAction] = []
        for engine, book in self._engines.items():
            if now >= book.next_renewal:
                actions += self._renew(engine, book, now)
            actions += book.releases.due(engine, now)
        return actions

    def _renew(self, engine: str, book: _EngineLeases, now: float) -> list[LeaseAction]:
        book.next_renewal = now + self._settings.renew_after_s
        over = [name for name, until in book.valid_until.items() if now >= until]
        actions: list[LeaseAction] = [
            self._lose(engine, book, name, now) for name in over
        ]
        names = tuple(book.valid_until)
        for start in range(0, len(names), RENEW_BATCH):
            batch = names[start : start + RENEW_BATCH]
            actions.append(Renew(engine, batch, self._settings.lease_ttl_s))
        return actions

    def _lose(
        self, engine: str, book: _EngineLeases, name: str, now: float
    ) -> LeaseLost:
        del book.valid_until[name]
        # Releasing is harmless if another node has done it, and needed if not.
        book.releases.add(name, self._owner, now)
        self.counters.lost += 1
        return LeaseLost(engine, name)

    def _book(self, engine: str, now: float) -> _EngineLeases:
        book = self._engines.get(engine)
        if book is None:
            releases = EngineReleases(self._settings, self._random)
            # A random first interval spreads the renewals to different engines.
            wait = self._settings.renew_after_s * self._random.uniform(0.5, 1.0)
            book = self._engines[engine] = _EngineLeases(releases, now + wait)
        return book

    def _tidy(self, engine: str, book: _EngineLeases) -> None:
        if not book.valid_until and not book.releases:
            del self._engines[engine]
