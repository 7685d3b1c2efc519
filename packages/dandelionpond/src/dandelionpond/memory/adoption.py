"""Release engine memory whose owner has died or has given it up."""

from collections.abc import Collection, Iterable, Mapping

import msgspec

from dandelionpond import hashing
from dandelionpond.memory.messages import Holding, Release, Scan
from dandelionpond.memory.settings import MemorySettings


class AdoptionCounters(msgspec.Struct):
    """The counts of scans and their results since the node started."""

    scans: int = 0
    discarded: int = 0
    adopted: int = 0
    adopted_from_live: int = 0
    held_by_live: int = 0
    confirmed: int = 0
    unconfirmed: int = 0


class Adoption:
    """This node's choice of engines to scan and of orphaned holdings to release.

    Rendezvous hashing among the live nodes of an engine's failure domain assigns each
    engine to one node, its adopter. Nodes with differing membership views may both
    adopt from one engine; this is safe because a release names the holding and its
    owner and is idempotent. The next scan finds a holding whose release was not
    confirmed.
    """

    __slots__ = (
        "_assigned",
        "_assigned_for",
        "_last_tick_at",
        "_next_scan_at",
        "_node",
        "_resumed_at",
        "_settings",
        "counters",
    )

    def __init__(self, node: str, settings: MemorySettings) -> None:
        self._node = node
        self._settings = settings
        self._next_scan_at: dict[str, float] = {}
        self._assigned_for: tuple[tuple[str, ...], frozenset[str]] = ((), frozenset())
        self._assigned: list[str] = []
        self._last_tick_at: float | None = None
        self._resumed_at = 0.0
        self.counters = AdoptionCounters()

    def configure(self, settings: MemorySettings) -> None:
        """Apply new settings from the next event on."""
        self._settings = settings

    def tick(
        self,
        engines: Iterable[str],
        live_nodes: Collection[str],
        membership_at: float,
        now: float,
    ) -> list[Scan]:
        """Return the scans that are due.

        `engines` and `live_nodes` are those of this node's failure domain.
        `membership_at` is when a message from a peer last arrived. A node that hears
        no peer passes `now` once `gone_after_s` has passed since it started or resumed.
        After a pause of the process, scans wait until membership is newer than the
        pause.
        """
        last = self._last_tick_at
        # The first tick counts as a pause: the node does not know yet which owners
        # are live.
        if last is None or now - last > self._settings.clock_margin_s:
            self._resumed_at = now
            self._next_scan_at.clear()
        self._last_tick_at = now
        if membership_at <= self._resumed_at:
            return []
        self._assign(tuple(engines), frozenset(live_nodes))
        self._next_scan_at = {
            engine: self._next_scan_at.get(engine, now) for engine in self._assigned
        }
        scans = [
            Scan(engine) for engine, due in self._next_scan_at.items() if due <= now
        ]
        for scan in scans:
            self._next_scan_at[scan.engine] = now + self._settings.scan_interval_s
        return scans

    def _assign(self, engines: tuple[str, ...], live: frozenset[str]) -> None:
        if (engines, live) == self._assigned_for:
            return
        self._assigned_for = (engines, live)
        self._assigned = [
            engine
            for engine in engines
            if self._node in live
            and hashing.is_owner(f"adopt/{engine}", self._node, live)
        ]

    def on_scan_result(
        self,
        scan: Scan,
        holdings: list[Holding],
        live_owners: Mapping[str, str],
        asked_at: float,
        now: float,
    ) -> list[Release]:
        """Return the releases of orphaned holdings in an engine's complete list.

        `live_owners` maps each node that membership does not consider gone to its owner
        text. A list that was requested before the last pause, or that took longer than
        `clock_margin_s` to arrive, is discarded because an owner may have renewed
        since. A holding whose owner is not live is released `clock_margin_s` after it
        expired. A holding of a live owner is released `lease_ttl_s` later still: the
        owner counts its lease from an earlier time than the engine, so it has given up
        the holding, and its own release had no effect, for example because the request
        arrived after it. A live owner behind a partition keeps what it renews.
        """
        self.counters.scans += 1
        is_outdated = now - asked_at > self._settings.clock_margin_s
        if (
            is_outdated
            or asked_at < self._resumed_at
            or scan.engine not in self._next_scan_at
        ):
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
        """Count the result of a release; the next scan finds an unconfirmed one."""
        if confirmed:
            self.counters.confirmed += 1
        else:
            self.counters.unconfirmed += 1
