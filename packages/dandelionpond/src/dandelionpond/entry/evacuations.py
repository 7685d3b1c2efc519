"""Log the evacuated failure domains and what this node still runs there."""

import logging
from typing import Any

from dandelionpond.entry.fleet import Fleet
from dandelionpond.placement.evacuations import EvacuationMonitor, EvacuationReport

log = logging.getLogger("dandelionpond.fleet")

# Largest number of requests that a log line names.
MAX_LOGGED_REQUESTS = 20


class EvacuationReporter:
    """A writer of log lines about evacuated failure domains."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._monitor = EvacuationMonitor()
        self._seen: object = ()

    def domain_count(self) -> int:
        """Return the number of evacuated failure domains."""
        return len(self._fleet.published.evacuated_domains)

    def request_count(self) -> int:
        """Return the number of requests of this node in evacuated failure domains."""
        return len({name for names in self._requests().values() for name in names})

    def describe(self) -> list[EvacuationReport]:
        """Return each evacuated failure domain with what this node still runs there."""
        now, requests = self._fleet.now(), self._requests()
        return [
            EvacuationReport(
                item.failure_domain,
                item.revision,
                self._monitor.age_s(item.failure_domain, now),
                tuple(sorted(requests.get(item.failure_domain, ()))),
            )
            for item in self._fleet.published.evacuations
        ]

    def tick(self) -> None:
        """Log unknown failure domains, and what runs in each one if that changed."""
        fleet = self._fleet
        evacuations = fleet.published.evacuations
        if not evacuations and not self._seen:
            return
        now = fleet.now()
        self._seen = evacuations
        for domain in self._monitor.update(evacuations, now):
            if domain not in fleet.known_domains():
                log.warning(
                    "evacuated failure domain is unknown",
                    extra={"failure_domain": domain[:80]},
                )
        for report in self._monitor.reports(self._requests(), now):
            fields: dict[str, Any] = {
                "failure_domain": report.failure_domain[:80],
                "revision": report.revision,
                "evacuated_s": round(report.age_s, 3),
                "running": len(report.requests),
                "requests": report.requests[:MAX_LOGGED_REQUESTS],
            }
            log.info("requests in an evacuated failure domain", extra=fields)

    def _requests(self) -> dict[str, list[str]]:
        """Return this node's requests by evacuated failure domain."""
        fleet = self._fleet
        domains = fleet.published.evacuated_domains
        if not domains:
            return {}
        instances: dict[str, set[str]] = {}
        for entry in fleet.published.entries(fleet.now()):
            if entry.failure_domain in domains:
                instances.setdefault(entry.failure_domain, set()).add(entry.instance)
        return {
            domain: fleet.jobs.requests_at(names) for domain, names in instances.items()
        }
