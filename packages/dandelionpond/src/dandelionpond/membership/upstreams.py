"""Decide which upstreams may receive new work.

Messages about an upstream are ordered by the version of its registration. The upper
bits are the revision of the platform's list that last showed it return, and the lower
16 bits count the returns since then by the upstream's own answer. Rumors of a lower
version are ignored, so a late rumor cannot exclude an upstream that has returned.
"""

import math
from collections.abc import Mapping

from dandelionpond.membership.messages import (
    MAX_COUNTED_HEARTBEAT,
    PlatformList,
    Rumor,
    SpreadRumor,
    UpstreamAction,
    UpstreamChanged,
    UpstreamReplaced,
    UpstreamState,
)
from dandelionpond.membership.settings import MembershipSettings

_RETURNS_PER_REVISION = 1 << 16
# Largest revision of the platform's list whose versions peers take.
MAX_LIST_REVISION = MAX_COUNTED_HEARTBEAT // _RETURNS_PER_REVISION


class _Upstream:
    __slots__ = (
        "address",
        "announced_return",
        "domain",
        "is_gone",
        "is_leaving",
        "is_listed_leaving",
        "is_stop_confirmed",
        "is_unconfigured",
        "left_at",
        "reports",
        "state",
        "version",
    )

    def __init__(self, domain: str, version: int) -> None:
        self.domain = domain
        self.version = version
        self.is_leaving = False
        # The platform's list, on this node or on a peer, has it as leaving. The
        # upstream itself may not know that yet, so its own answer does not clear this.
        self.is_listed_leaving = False
        # Version of a return that a peer announced while this node still has the
        # upstream as leaving or gone, or 0.
        self.announced_return = 0
        self.is_gone = False
        # When this node learned that the upstream leaves or is gone.
        self.left_at = -math.inf
        self.is_unconfigured = False
        # Name of the reporter to (its failure domain, time of its report).
        self.reports: dict[str, tuple[str, float]] = {}
        self.state = UpstreamState.LIVE
        self.address = ""
        # Since it was last live, a platform list has shown it missing, leaving, gone or
        # at another address. Only then a list that shows it running proves its return.
        self.is_stop_confirmed = False

    @property
    def is_leaving_or_gone(self) -> bool:
        return self.is_leaving or self.is_gone


class UpstreamView:
    """The state of each upstream as one node sees it; times are in seconds.

    At `max_upstreams` entries, those that the settings no longer contain are removed;
    if there are none, the new upstream is refused. Suspicions of one upstream are kept
    from at most 64 reporters. Refusals are counted in `counts`.
    """

    __slots__ = (
        "_count_by_domain",
        "_failure_domain",
        "_name",
        "_own_suspicions",
        "_platform_revision",
        "_renew_at",
        "_reported_upstreams",
        "_settings",
        "_suspected_by_domain",
        "_upstreams",
        "counts",
    )

    _max_reporters = 64

    def __init__(
        self, name: str, failure_domain: str, settings: MembershipSettings
    ) -> None:
        self._name = name
        self._failure_domain = failure_domain
        self._settings = settings
        self._upstreams: dict[str, _Upstream] = {}
        self._count_by_domain: dict[str, int] = {}
        self._suspected_by_domain: dict[str, set[str]] = {}
        self._own_suspicions: set[str] = set()
        self._reported_upstreams: set[str] = set()
        self._renew_at: dict[str, float] = {}
        self._platform_revision = -1
        self.counts = {
            "share_bound": 0,
            "table_full": 0,
            "reports_full": 0,
            "stale_lists": 0,
            "old_rumors": 0,
            "listed_leaving": 0,
            "early_answers": 0,
            "invalid_versions": 0,
        }

    def state_of(self, upstream: str) -> UpstreamState | None:
        """Return the state of an upstream, or None if it is unknown."""
        entry = self._upstreams.get(upstream)
        return entry.state if entry else None

    def live_upstreams(self, domain: str | None = None) -> list[str]:
        """Return the live upstreams of one failure domain or of all."""
        return [
            name
            for name, entry in self._upstreams.items()
            if entry.state is UpstreamState.LIVE and domain in (None, entry.domain)
        ]

    def configure(self, settings: MembershipSettings) -> None:
        """Apply new settings from the next event on."""
        self._settings = settings

    def set_upstreams(self, upstreams: Mapping[str, str]) -> list[UpstreamAction]:
        """Replace the configured upstreams, given as name to failure domain.

        An upstream that is no longer configured becomes gone.
        """
        actions: list[UpstreamAction] = []
        for name, domain in upstreams.items():
            entry = self._upstreams.get(name)
            if entry is None:
                self._add_upstream(name, domain, 0, actions)
                continue
            if entry.is_unconfigured:
                entry.is_unconfigured = False
                self._update_state(name, entry, actions)
            if entry.domain != domain:
                self._count_by_domain[entry.domain] -= 1
                self._suspected_by_domain.get(entry.domain, set()).discard(name)
                entry.domain = domain
                self._count_by_domain[domain] = self._count_by_domain.get(domain, 0) + 1
        for name in [name for name in self._upstreams if name not in upstreams]:
            entry = self._upstreams[name]
            entry.is_unconfigured = True
            self._update_state(name, entry, actions)
        return actions

    def platform_list_received(
        self, vms: PlatformList, now: float
    ) -> list[UpstreamAction]:
        """Process the platform's list of VMs; the VMs of nodes are ignored.

        An upstream returns from leaving or gone only by a newer list that either
        follows one in which it was missing, leaving or gone, or has a new address for
        it. The list lags, so a newer one is no proof if it has always shown the
        upstream running.
        """
        actions: list[UpstreamAction] = []
        if vms.revision <= self._platform_revision:
            self.counts["stale_lists"] += vms.revision < self._platform_revision
            return actions
        self._platform_revision = vms.revision
        listed_names = {vm.name for vm in vms.vms}
        for name, upstream in self._upstreams.items():
            upstream.is_stop_confirmed |= (
                upstream.is_leaving_or_gone and name not in listed_names
            )
        for vm in vms.vms:
            entry = self._upstreams.get(vm.name)
            if entry is None:
                continue
            version = vms.revision * _RETURNS_PER_REVISION
            has_new_address = bool(entry.address) and vm.address != entry.address
            entry.address = vm.address
            entry.is_stop_confirmed |= entry.is_leaving_or_gone and has_new_address
            if has_new_address:
                actions.append(UpstreamReplaced(vm.name))
            if vm.state == "leaving":
                if not entry.is_leaving or not entry.is_listed_leaving:
                    entry.is_listed_leaving = True
                    self._mark_leaving(vm.name, entry, now, actions)
                entry.is_stop_confirmed = True
            elif vm.state == "gone":
                if not entry.is_gone:
                    entry.left_at = now
                entry.is_gone = entry.is_stop_confirmed = True
                self._update_state(vm.name, entry, actions)
            elif (
                entry.is_leaving_or_gone
                and entry.is_stop_confirmed
                and version > entry.version
            ):
                if not has_new_address:
                    actions.append(UpstreamReplaced(vm.name))
                self._mark_returned(vm.name, entry, version, actions)
        return actions

    def upstream_answered(
        self,
        upstream: str,
        is_leaving: bool,
        now: float,
        sent_at: float = math.inf,
    ) -> list[UpstreamAction]:
        """Process the state that an upstream gave in its own answer.

        It overrides what the upstream said before, but not the platform's list, which
        may report a planned stop before the upstream knows of it. An answer to a
        request that was sent before the node learned of a departure does not end it.
        """
        entry = self._upstreams.get(upstream)
        actions: list[UpstreamAction] = []
        if entry is None:
            return actions
        if is_leaving:
            if not entry.is_leaving:
                self._mark_leaving(upstream, entry, now, actions)
            return actions
        if entry.is_listed_leaving:
            self.counts["listed_leaving"] += 1
            return actions
        if entry.is_leaving_or_gone and sent_at <= entry.left_at:
            self.counts["early_answers"] += 1
        elif entry.is_leaving_or_gone:
            version = max(entry.version + 1, entry.announced_return)
            self._mark_returned(upstream, entry, version, actions)
        if upstream in self._own_suspicions:
            actions += self.withdraw_suspicion(upstream, now)
        return actions

    def raise_suspicion(self, upstream: str, now: float) -> list[UpstreamAction]:
        """Raise or renew this node's own suspicion and report it to peers."""
        entry = self._upstreams.get(upstream)
        actions: list[UpstreamAction] = []
        if entry is None:
            return actions
        entry.reports[self._name] = (self._failure_domain, now)
        self._reported_upstreams.add(upstream)
        self._update_state(upstream, entry, actions)
        if upstream not in self._own_suspicions or now >= self._renew_at[upstream]:
            self._own_suspicions.add(upstream)
            self._renew_at[upstream] = now + self._settings.suspicion_ttl_s / 3
            actions.append(self._spread_state(upstream, "suspect", entry))
        return actions

    def withdraw_suspicion(self, upstream: str, now: float) -> list[UpstreamAction]:
        """Withdraw this node's own suspicion and report that to peers."""
        entry = self._upstreams.get(upstream)
        actions: list[UpstreamAction] = []
        if entry is None or upstream not in self._own_suspicions:
            return actions
        self._clear_own_suspicion(upstream, entry)
        self._update_state(upstream, entry, actions)
        actions.append(self._spread_state(upstream, "live", entry))
        return actions

    def rumor_received(self, rumor: Rumor, now: float) -> list[UpstreamAction]:
        """Process a rumor from a peer and relay it if it is new."""
        entry = self._upstreams.get(rumor.subject)
        actions: list[UpstreamAction] = []
        if entry is None or rumor.origin == self._name:
            return actions
        if rumor.heartbeat > MAX_COUNTED_HEARTBEAT:
            self.counts["invalid_versions"] += 1
            return actions
        if rumor.heartbeat < entry.version:
            self.counts["old_rumors"] += 1
            return actions
        if rumor.heartbeat > entry.version and not entry.is_leaving_or_gone:
            # Another node saw the latest return first. With the same version, later
            # rumors of either node replace those of the other.
            entry.version = rumor.heartbeat
            if rumor.state == "live":
                actions.append(SpreadRumor(rumor))
        if (
            rumor.state == "live"
            and max(entry.version, entry.announced_return) < rumor.heartbeat
        ):
            # It stays leaving or gone on this node, but its own answer can end that.
            entry.announced_return = rumor.heartbeat
            entry.is_listed_leaving = False
            actions.append(SpreadRumor(rumor))
        previous = entry.reports.get(rumor.origin)
        match rumor.state:
            case "leaving" | "listed":
                is_newly_listed = (
                    rumor.state == "listed" and not entry.is_listed_leaving
                )
                if (
                    not entry.is_leaving
                    or is_newly_listed
                    or rumor.heartbeat > entry.version
                ):
                    entry.version = rumor.heartbeat
                    entry.is_leaving = True
                    entry.left_at = now
                    entry.is_listed_leaving |= rumor.state == "listed"
                    actions.append(SpreadRumor(rumor))
            case "suspect":
                # Reporters renew after a third of the time to live, so a copy that
                # arrives earlier is a duplicate.
                renewal_s = self._settings.suspicion_ttl_s / 3
                if previous is not None and now - previous[1] < renewal_s:
                    return actions
                if previous is None and len(entry.reports) >= self._max_reporters:
                    self.counts["reports_full"] += 1
                    return actions
                entry.reports[rumor.origin] = (rumor.failure_domain, now)
                self._reported_upstreams.add(rumor.subject)
                actions.append(SpreadRumor(rumor))
            case "live":
                if previous is None:
                    return actions
                del entry.reports[rumor.origin]
                actions.append(SpreadRumor(rumor))
        self._update_state(rumor.subject, entry, actions)
        return actions

    def tick(self, now: float) -> list[UpstreamAction]:
        """Drop reports that were not renewed within `suspicion_ttl_s`."""
        actions: list[UpstreamAction] = []
        for name in list(self._reported_upstreams):
            entry = self._upstreams.get(name)
            if entry is None or not entry.reports:
                self._reported_upstreams.discard(name)
                continue
            for reporter, (_, at) in list(entry.reports.items()):
                if now - at >= self._settings.suspicion_ttl_s:
                    del entry.reports[reporter]
                    if reporter == self._name:
                        self._clear_own_suspicion(name, entry)
            self._update_state(name, entry, actions)
        return actions

    def _add_upstream(
        self, name: str, domain: str, version: int, actions: list[UpstreamAction]
    ) -> None:
        if len(self._upstreams) >= self._settings.max_upstreams:
            unconfigured = [
                key for key, entry in self._upstreams.items() if entry.is_unconfigured
            ]
            for key in unconfigured:
                self._count_by_domain[self._upstreams.pop(key).domain] -= 1
            if not unconfigured:
                self.counts["table_full"] += 1
                return
        self._upstreams[name] = _Upstream(domain, version)
        self._count_by_domain[domain] = self._count_by_domain.get(domain, 0) + 1
        actions.append(UpstreamChanged(name, UpstreamState.LIVE))

    def _mark_leaving(
        self, name: str, entry: _Upstream, now: float, actions: list[UpstreamAction]
    ) -> None:
        entry.is_leaving = True
        entry.left_at = now
        self._update_state(name, entry, actions)
        state = "listed" if entry.is_listed_leaving else "leaving"
        actions.append(self._spread_state(name, state, entry))

    def _mark_returned(
        self, name: str, entry: _Upstream, version: int, actions: list[UpstreamAction]
    ) -> None:
        entry.version = version
        entry.is_leaving = entry.is_gone = entry.is_stop_confirmed = False
        entry.is_listed_leaving = False
        entry.announced_return = 0
        entry.reports.clear()
        self._clear_own_suspicion(name, entry)
        self._update_state(name, entry, actions)
        actions.append(self._spread_state(name, "live", entry))

    def _clear_own_suspicion(self, name: str, entry: _Upstream) -> None:
        entry.reports.pop(self._name, None)
        self._own_suspicions.discard(name)
        self._renew_at.pop(name, None)

    def _spread_state(self, name: str, state: str, entry: _Upstream) -> SpreadRumor:
        return SpreadRumor(
            Rumor(
                name,
                "upstream",
                state,
                heartbeat=entry.version,
                failure_domain=self._failure_domain,
                origin=self._name,
            )
        )

    def _update_state(
        self, name: str, entry: _Upstream, actions: list[UpstreamAction]
    ) -> None:
        suspected = self._suspected_by_domain.setdefault(entry.domain, set())
        if entry.is_gone or entry.is_unconfigured:
            state = UpstreamState.GONE
        elif entry.is_leaving:
            state = UpstreamState.LEAVING
        elif self._count_votes(entry) >= self._settings.suspicion_quorum:
            state = UpstreamState.EJECTED
        elif self._name in entry.reports:
            state = UpstreamState.SUSPECT
        else:
            state = UpstreamState.LIVE
        if state not in (UpstreamState.EJECTED, UpstreamState.SUSPECT):
            suspected.discard(name)
        elif name not in suspected:
            total = self._count_by_domain.get(entry.domain, 0)
            allowed = max(1, int(total * self._settings.max_suspected_share))
            if len(suspected) >= allowed:
                self.counts["share_bound"] += 1
                state = UpstreamState.LIVE
            else:
                suspected.add(name)
        if state is not entry.state:
            entry.state = state
            actions.append(UpstreamChanged(name, state))

    def _count_votes(self, entry: _Upstream) -> int:
        # Nodes behind the same bad link report together, so all reporters of another
        # failure domain have one vote.
        local_votes = sum(
            domain == entry.domain for domain, _ in entry.reports.values()
        )
        foreign_domains = {
            domain for domain, _ in entry.reports.values() if domain != entry.domain
        }
        return local_votes + len(foreign_domains)
