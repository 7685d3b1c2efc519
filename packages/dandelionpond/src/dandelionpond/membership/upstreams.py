"""Decide which upstreams may receive new work.

The version of a registration orders the messages about an upstream: its upper bits are
the platform list's revision in which it was last seen to return, and its lower 16 bits
count the returns by its own answer since. A rumor of a lower version is ignored, so a
late rumor cannot take out an upstream that has returned.
"""

from collections.abc import Mapping

from dandelionpond.membership.messages import (
    PlatformList,
    Rumor,
    SpreadRumor,
    UpstreamAction,
    UpstreamChanged,
    UpstreamState,
)
from dandelionpond.membership.settings import MembershipSettings

_RETURNS = 1 << 16


class _Upstream:
    __slots__ = (
        "address",
        "domain",
        "heard_return",
        "is_gone",
        "is_leaving",
        "is_listed",
        "is_removed",
        "reports",
        "state",
        "version",
        "was_away",
    )

    def __init__(self, domain: str, version: int) -> None:
        self.domain = domain
        self.version = version
        self.is_leaving = False
        # The platform's list, here or on a peer, says that it is leaving. The upstream
        # itself may not know that yet, so its own answer does not end this.
        self.is_listed = False
        # Version of a return that a peer announced while it was away here, or 0.
        self.heard_return = 0
        self.is_gone = False
        self.is_removed = False
        # Reporter to (failure domain of the reporter, time of the report).
        self.reports: dict[str, tuple[str, float]] = {}
        self.state = UpstreamState.LIVE
        self.address = ""
        # A list has shown the upstream absent or leaving since it was last live.
        self.was_away = False

    @property
    def is_away(self) -> bool:
        return self.is_leaving or self.is_gone


class UpstreamView:
    """Track the state of each upstream as one node sees it; times are in seconds.

    At `max_upstreams` entries those that the settings no longer name are removed;
    without any, the new upstream is refused. Reports of one upstream are bounded by 64
    reporters. Counters are in `counts`.
    """

    __slots__ = (
        "_by_domain",
        "_domain",
        "_name",
        "_out",
        "_platform_revision",
        "_refresh_at",
        "_reported",
        "_settings",
        "_upstreams",
        "_with_reports",
        "counts",
    )

    _max_reports = 64

    def __init__(
        self, name: str, failure_domain: str, settings: MembershipSettings
    ) -> None:
        self._name = name
        self._domain = failure_domain
        self._settings = settings
        self._upstreams: dict[str, _Upstream] = {}
        self._by_domain: dict[str, int] = {}
        self._out: dict[str, set[str]] = {}
        self._reported: set[str] = set()
        self._with_reports: set[str] = set()
        self._refresh_at: dict[str, float] = {}
        self._platform_revision = -1
        self.counts = {
            "share_bound": 0,
            "table_full": 0,
            "reports_full": 0,
            "stale_lists": 0,
            "old_rumors": 0,
            "listed_leaving": 0,
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
        """Take new settings from the next event on."""
        self._settings = settings

    def set_upstreams(self, upstreams: Mapping[str, str]) -> list[UpstreamAction]:
        """Take in the published settings: the failure domain of each upstream.

        An upstream that the settings no longer name is gone.
        """
        actions: list[UpstreamAction] = []
        for name, domain in upstreams.items():
            entry = self._upstreams.get(name)
            if entry is None:
                self._add(name, domain, 0, actions)
                continue
            if entry.is_removed:
                entry.is_removed = False
                self._decide(name, entry, actions)
            if entry.domain != domain:
                self._by_domain[entry.domain] -= 1
                self._out.get(entry.domain, set()).discard(name)
                entry.domain = domain
                self._by_domain[domain] = self._by_domain.get(domain, 0) + 1
        for name in [name for name in self._upstreams if name not in upstreams]:
            entry = self._upstreams[name]
            entry.is_removed = True
            self._decide(name, entry, actions)
        return actions

    def platform_list_received(
        self, vms: PlatformList, now: float
    ) -> list[UpstreamAction]:
        """Take in the platform's list; entries with the role `node` are ignored.

        An upstream returns from leaving or gone only with a newer revision that follows
        one without it or with it leaving, or that lists another address. The list lags,
        so a newer one that has always shown the upstream running proves nothing.
        """
        actions: list[UpstreamAction] = []
        if vms.revision <= self._platform_revision:
            self.counts["stale_lists"] += vms.revision < self._platform_revision
            return actions
        self._platform_revision = vms.revision
        listed = {vm.name for vm in vms.vms}
        for name, held in self._upstreams.items():
            held.was_away |= held.is_away and name not in listed
        for vm in vms.vms:
            entry = self._upstreams.get(vm.name)
            if entry is None:
                continue
            version = vms.revision * _RETURNS
            is_moved = bool(entry.address) and vm.address != entry.address
            entry.address = vm.address
            entry.was_away |= entry.is_away and is_moved
            if vm.state == "leaving":
                if not entry.is_leaving or not entry.is_listed:
                    entry.is_listed = True
                    self._leave(vm.name, entry, actions)
                entry.was_away = True
            elif vm.state == "gone":
                entry.is_gone = entry.was_away = True
                self._decide(vm.name, entry, actions)
            elif entry.is_away and entry.was_away and version > entry.version:
                self._return(vm.name, entry, version, actions)
        return actions

    def upstream_answered(
        self, upstream: str, is_leaving: bool, now: float
    ) -> list[UpstreamAction]:
        """Take in an upstream's own answer to a request sent after the last change.

        It ends what the upstream itself said, but not what the platform's list says:
        an upstream may learn later than the list that it is to stop.
        """
        entry = self._upstreams.get(upstream)
        actions: list[UpstreamAction] = []
        if entry is None:
            return actions
        if is_leaving:
            if not entry.is_leaving:
                self._leave(upstream, entry, actions)
            return actions
        if entry.is_listed:
            self.counts["listed_leaving"] += 1
            return actions
        if entry.is_away:
            version = max(entry.version + 1, entry.heard_return)
            self._return(upstream, entry, version, actions)
        if upstream in self._reported:
            actions += self.withdraw_suspicion(upstream, now)
        return actions

    def raise_suspicion(self, upstream: str, now: float) -> list[UpstreamAction]:
        """Raise or renew this node's own suspicion and report it to the others."""
        entry = self._upstreams.get(upstream)
        actions: list[UpstreamAction] = []
        if entry is None:
            return actions
        entry.reports[self._name] = (self._domain, now)
        self._with_reports.add(upstream)
        self._decide(upstream, entry, actions)
        if upstream not in self._reported or now >= self._refresh_at[upstream]:
            self._reported.add(upstream)
            self._refresh_at[upstream] = now + self._settings.suspicion_ttl_s / 3
            actions.append(self._report(upstream, "suspect", entry))
        return actions

    def withdraw_suspicion(self, upstream: str, now: float) -> list[UpstreamAction]:
        """Withdraw this node's own suspicion."""
        entry = self._upstreams.get(upstream)
        actions: list[UpstreamAction] = []
        if entry is None or upstream not in self._reported:
            return actions
        self._withdraw(upstream, entry)
        self._decide(upstream, entry, actions)
        actions.append(self._report(upstream, "live", entry))
        return actions

    def rumor_received(self, rumor: Rumor, now: float) -> list[UpstreamAction]:
        """Take in a rumor of a peer and pass on what is new."""
        entry = self._upstreams.get(rumor.subject)
        actions: list[UpstreamAction] = []
        if entry is None or rumor.origin == self._name:
            return actions
        if rumor.heartbeat < entry.version:
            self.counts["old_rumors"] += 1
            return actions
        if rumor.heartbeat > entry.version and not entry.is_away:
            # Another node saw the latest return first; equal versions let its later
            # rumors and those of this node replace each other.
            entry.version = rumor.heartbeat
            if rumor.state == "live":
                actions.append(SpreadRumor(rumor))
        if (
            rumor.state == "live"
            and max(entry.version, entry.heard_return) < rumor.heartbeat
        ):
            # Not a return here yet, but its own answer counts again.
            entry.heard_return = rumor.heartbeat
            entry.is_listed = False
            actions.append(SpreadRumor(rumor))
        held = entry.reports.get(rumor.origin)
        match rumor.state:
            case "leaving" | "listed":
                is_news = rumor.state == "listed" and not entry.is_listed
                if not entry.is_leaving or is_news or rumor.heartbeat > entry.version:
                    entry.version = rumor.heartbeat
                    entry.is_leaving = True
                    entry.is_listed |= rumor.state == "listed"
                    actions.append(SpreadRumor(rumor))
            case "suspect":
                # A relayed copy within a third of the time to live is a duplicate.
                renewal = self._settings.suspicion_ttl_s / 3
                if held is not None and now - held[1] < renewal:
                    return actions
                if held is None and len(entry.reports) >= self._max_reports:
                    self.counts["reports_full"] += 1
                    return actions
                entry.reports[rumor.origin] = (rumor.failure_domain, now)
                self._with_reports.add(rumor.subject)
                actions.append(SpreadRumor(rumor))
            case "live":
                if held is None:
                    return actions
                del entry.reports[rumor.origin]
                actions.append(SpreadRumor(rumor))
        self._decide(rumor.subject, entry, actions)
        return actions

    def tick(self, now: float) -> list[UpstreamAction]:
        """Drop reports that were not renewed within `suspicion_ttl_s`."""
        actions: list[UpstreamAction] = []
        for name in list(self._with_reports):
            entry = self._upstreams.get(name)
            if entry is None or not entry.reports:
                self._with_reports.discard(name)
                continue
            for reporter, (_, at) in list(entry.reports.items()):
                if now - at >= self._settings.suspicion_ttl_s:
                    del entry.reports[reporter]
                    if reporter == self._name:
                        self._withdraw(name, entry)
            self._decide(name, entry, actions)
        return actions

    def _add(
        self, name: str, domain: str, version: int, actions: list[UpstreamAction]
    ) -> None:
        if len(self._upstreams) >= self._settings.max_upstreams:
            gone = [key for key, entry in self._upstreams.items() if entry.is_removed]
            for key in gone:
                self._by_domain[self._upstreams.pop(key).domain] -= 1
            if not gone:
                self.counts["table_full"] += 1
                return
        self._upstreams[name] = _Upstream(domain, version)
        self._by_domain[domain] = self._by_domain.get(domain, 0) + 1
        actions.append(UpstreamChanged(name, UpstreamState.LIVE))

    def _leave(
        self, name: str, entry: _Upstream, actions: list[UpstreamAction]
    ) -> None:
        entry.is_leaving = True
        self._decide(name, entry, actions)
        state = "listed" if entry.is_listed else "leaving"
        actions.append(self._report(name, state, entry))

    def _return(
        self, name: str, entry: _Upstream, version: int, actions: list[UpstreamAction]
    ) -> None:
        entry.version = version
        entry.is_leaving = entry.is_gone = entry.was_away = False
        entry.is_listed = False
        entry.heard_return = 0
        entry.reports.clear()
        self._withdraw(name, entry)
        self._decide(name, entry, actions)
        actions.append(self._report(name, "live", entry))

    def _withdraw(self, name: str, entry: _Upstream) -> None:
        entry.reports.pop(self._name, None)
        self._reported.discard(name)
        self._refresh_at.pop(name, None)

    def _report(self, name: str, state: str, entry: _Upstream) -> SpreadRumor:
        return SpreadRumor(
            Rumor(
                name,
                "upstream",
                state,
                heartbeat=entry.version,
                failure_domain=self._domain,
                origin=self._name,
            )
        )

    def _decide(
        self, name: str, entry: _Upstream, actions: list[UpstreamAction]
    ) -> None:
        out = self._out.setdefault(entry.domain, set())
        if entry.is_gone or entry.is_removed:
            state = UpstreamState.GONE
        elif entry.is_leaving:
            state = UpstreamState.LEAVING
        elif self._votes(entry) >= self._settings.suspicion_quorum:
            state = UpstreamState.EJECTED
        elif self._name in entry.reports:
            state = UpstreamState.SUSPECT
        else:
            state = UpstreamState.LIVE
        if state not in (UpstreamState.EJECTED, UpstreamState.SUSPECT):
            out.discard(name)
        elif name not in out:
            total = self._by_domain.get(entry.domain, 0)
            allowed = max(1, int(total * self._settings.max_suspected_share))
            if len(out) >= allowed:
                self.counts["share_bound"] += 1
                state = UpstreamState.LIVE
            else:
                out.add(name)
        if state is not entry.state:
            entry.state = state
            actions.append(UpstreamChanged(name, state))

    def _votes(self, entry: _Upstream) -> int:
        # Nodes behind one bad link report together, so another domain has one vote.
        near = sum(domain == entry.domain for domain, _ in entry.reports.values())
        far = {domain for domain, _ in entry.reports.values() if domain != entry.domain}
        return near + len(far)
