"""Track evacuated failure domains and decide when to report what still runs there."""

from collections.abc import Collection, Iterable, Mapping

import msgspec

from dandelionpond.published.messages import Evacuation

# Shortest time in seconds between two reports of one failure domain, apart from the
# first one and the one that nothing runs there any more: many streams end one by one.
REPORT_INTERVAL_S = 5.0


class EvacuationChanges(msgspec.Struct, frozen=True):
    """The evacuations that began and ended, with their revisions, by failure domain."""

    began: dict[str, int]
    ended: dict[str, int]


class EvacuationReport(msgspec.Struct, frozen=True):
    """What this node still runs in an evacuated failure domain.

    `age_s` is the time since this node learned of the evacuation.
    """

    failure_domain: str
    revision: int
    age_s: float
    requests: tuple[str, ...]


def evacuation_changes(
    before: Iterable[Evacuation], after: Iterable[Evacuation]
) -> EvacuationChanges:
    """Compare two lists; an evacuation that was made again counts as begun."""
    old = {evacuation.failure_domain: evacuation.revision for evacuation in before}
    new = {evacuation.failure_domain: evacuation.revision for evacuation in after}
    return EvacuationChanges(
        {name: new[name] for name in new if old.get(name) != new[name]},
        {name: old[name] for name in old if name not in new},
    )


class _Domain:
    __slots__ = ("began_at", "reported", "reported_at", "revision")

    def __init__(self, now: float) -> None:
        self.began_at = now
        self.revision = 0
        self.reported: tuple[str, ...] | None = None
        self.reported_at = 0.0


class EvacuationMonitor:
    """The evacuated failure domains, with what was last reported of them."""

    __slots__ = ("_domains",)

    def __init__(self) -> None:
        self._domains: dict[str, _Domain] = {}

    def update(self, evacuations: Iterable[Evacuation], now: float) -> list[str]:
        """Follow the list of evacuations; return the domains that are new in it."""
        listed = {item.failure_domain: item.revision for item in evacuations}
        for name in self._domains.keys() - listed.keys():
            del self._domains[name]
        new = sorted(listed.keys() - self._domains.keys())
        for name in new:
            self._domains[name] = _Domain(now)
        for name, revision in listed.items():
            self._domains[name].revision = revision
        return new

    def age_s(self, failure_domain: str, now: float) -> float:
        """Return for how long a domain has been evacuated; 0 if that is new."""
        domain = self._domains.get(failure_domain)
        return 0.0 if domain is None else now - domain.began_at

    def reports(
        self, requests: Mapping[str, Collection[str]], now: float
    ) -> list[EvacuationReport]:
        """Return the reports that are due; `requests` run in each failure domain."""
        reports = []
        for name, domain in self._domains.items():
            running = tuple(sorted(requests.get(name, ())))
            if running == domain.reported:
                continue
            is_recent = now - domain.reported_at < REPORT_INTERVAL_S
            if domain.reported is not None and running and is_recent:
                continue
            domain.reported, domain.reported_at = running, now
            age_s = now - domain.began_at
            reports.append(EvacuationReport(name, domain.revision, age_s, running))
        return reports
