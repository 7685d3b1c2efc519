"""Release what dead owners left behind on engines."""

from collections.abc import Collection, Iterable, Mapping

import msgspec

from dandelionpond import hashing
from dandelionpond.memory.messages import Holding, Release, Scan
from dandelionpond.memory.settings import MemorySettings


class AdoptionCounters(msgspec.Struct):
    """Count scans and their results since the start."""

    scans: int = 0
    discarded: int = 0
    adopted: int = 0
    adopted_from_live: int = 0
    held_by_live: int = 0
    confirmed: int = 0
    unconfirmed: int = 0


class Adoption:
    """Decide which engines this node scans and which of their holdings it releases.

    The adopter of an engine is the first by rendezvous hashing among the live nodes of
    the engine's failure domain. Two adopters at once, as with differing membership
    views, do no harm, because a release names the holding and its owner and can be
    repeated. An unconfirmed release is found again by the next scan.
    """

    __slots__ = (
        "_chosen",
        "_due",
        "_last_tick",
        "_mine",
        "_name",
        "_settings",
        "_valid_from",
        "counters",
    )

    def __init__(self, name: str, settings: MemorySettings) -> None:
        self._name = name
        self._settings = settings
        self._due: dict[str, float] = {}
        self._chosen: tuple[tuple[str, ...], frozenset[str]] = ((), frozenset())
        self._mine: list[str] = []
        self._last_tick: float | None = None
        self._valid_from = 0.0
        self.counters = AdoptionCounters()

    def configure(self, settings: MemorySettings) -> None:
        """Take new settings from the next event on."""
        self._settings = settings

    def tick(
        self,
        engines: Iterable[str],
        live_nodes: Collection[str],
        membership_at: float,
        now: float,
    ) -> list[Scan]:
        """Return the engines to list now.

        `engines` and `live_nodes` are those of this node's failure domain, and
        `membership_at` is when a peer was last heard, or, for a node that hears no
        peer, now once `gone_after_s` has passed since its start or pause. After a pause
        nothing is scanned before membership is newer than the pause.
        """
        last = self._last_tick
        # Before the first scan a node has to learn which owners live.
        if last is None or now - last > self._settings.clock_margin_s:
            self._valid_from = now
            self._due.clear()
        self._last_tick = now
        if membership_at <= self._valid_from:
            return []
        self._choose(tuple(engines), frozenset(live_nodes))
        self._due = {engine: self._due.get(engine, now) for engine in self._mine}
        scans = [Scan(engine) for engine, due in self._due.items() if due <= now]
        for scan in scans:
            self._due[scan.engine] = now + self._settings.scan_interval_s
        return scans

    def _choose(self, engines: tuple[str, ...], live: frozenset[str]) -> None:
        if (engines, live) == self._chosen:
            return
        self._chosen = (engines, live)
        self._mine = [
            engine
            for engine in engines
            if self._name in live
            and hashing.is_owner(f"adopt/{engine}", self._name, live)
        ]

    def on_scan_result(
        self,
        scan: Scan,
        holdings: list[Holding],
        live_owners: Mapping[str, str],
        asked_at: float,
        now: float,
    ) -> list[Release]:
        """Return releases for the complete list of an engine that was asked for.

        `live_owners` maps each node that membership does not count as gone to its
        owner text. A list that was asked for before the last pause, or that took longer
        than `clock_margin_s`, is discarded: an owner may have renewed since. An expired
        holding of an owner that is not among the live ones is adopted after
        `clock_margin_s`. One of a live owner is adopted `lease_ttl_s` later: the owner
        counts its lease from before the engine does, so it has given the holding up,
        and its release did not end it, as when the request arrived after the release.
        A living owner behind a partition keeps what it renews.
        """
        self.counters.scans += 1
        late = now - asked_at > self._settings.clock_margin_s
        if late or asked_at < self._valid_from or scan.engine not in self._due:
            self.counters.discarded += 1
            return []
        owners = set(live_owners.values())
        releases = []
        for holding in holdings:
            if holding.expires_in_s > -self._settings.clock_margin_s:
                continue
            if holding.owner in owners:
                margin_s = self._settings.clock_margin_s + self._settings.lease_ttl_s
                if holding.expires_in_s > -margin_s:
                    self.counters.held_by_live += 1
                    continue
                self.counters.adopted_from_live += 1
            releases.append(Release(scan.engine, holding.holding_id, holding.owner))
        self.counters.adopted += len(releases)
        return releases

    def on_release_result(self, confirmed: bool) -> None:
        """Count the answer to a release; a later scan finds an unconfirmed one."""
        if confirmed:
            self.counters.confirmed += 1
        else:
            self.counters.unconfirmed += 1
