"""A node's limits on requests to cold upstreams, with their log lines.

Without `EntrySettings.cold_bound` every upstream may be sent to, and nothing is kept.
"""

import logging
from collections.abc import Iterable, Mapping
from itertools import islice

import msgspec

from dandelionpond.clock import Clock
from dandelionpond.entry.settings import EntrySettings
from dandelionpond.mesh.peers import HeartbeatPeerTable
from dandelionpond.placement.cold import SECOND_S, ColdTracker, ColdUpstream
from dandelionpond.placement.gateways import DomainPeers
from dandelionpond.placement.jobs import JobTracker
from dandelionpond.placement.send_limits import NodeGroup
from dandelionpond.published.messages import UpstreamEntry
from dandelionpond.published.state import PublishedState

log = logging.getLogger("dandelionpond.cold")

# Cost of placing a prompt on a cold engine, in the unit of `Prompt.value`: a short
# prompt uses the others as long as they meet its target, so that the few requests that
# a cold engine may get are those with more time.
SHORT_PROMPT_COST = 0.5
LONG_PROMPT_COST = 0.05
# Largest number of upstreams that a log line names.
MAX_LOGGED_UPSTREAMS = 8


class ColdLimits:
    """The limits of one node; all times are those of its clock."""

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        published: PublishedState,
        jobs: JobTracker,
        peers: HeartbeatPeerTable,
    ) -> None:
        self._clock = clock
        self._published = published
        self._jobs = jobs
        self._peers = peers
        self._domain = settings.failure_domain
        # Changes since the last tick, by their text and upstream.
        self._changes: dict[str, dict[str, ColdUpstream]] = {}
        self.tracker: ColdTracker | None = None
        bound = settings.cold_bound
        if bound is not None:
            self.tracker = ColdTracker(
                settings.name,
                settings.failure_domain,
                bound.overage,
                bound.slack,
                clock.monotonic(),
            )
            self.tracker.on_change = self._record_change

    def forget_gone(self, now: float) -> None:
        """Forget upstreams that are gone; call it before the next list is applied."""
        if self.tracker is not None:
            entries = self._published.entries(now)
            self.tracker.retain(frozenset(entry.instance for entry in entries), now)

    def take_list(self, read_at: float, now: float) -> None:
        """Take over the published list, which was read at `read_at`."""
        if self.tracker is None:
            return
        # Requests may be sent from the first list on, which may precede the first tick.
        self._update_group(self.tracker, now)
        table = self._published.table
        cold_starts = {
            service.name: service.cold_start
            for service in (table.document.services if table is not None else ())
            if service.cold_start is not None
        }
        evacuated = frozenset(
            evacuation.failure_domain for evacuation in self._published.evacuations
        )
        self.tracker.update_entries(
            self._published.entries(now), cold_starts, evacuated, read_at, now
        )

    def record_head(self, instance: str, cold_s: float | None, now: float) -> None:
        """Record the remaining cold time that a response states, if any."""
        if self.tracker is not None and cold_s:
            self.tracker.record_head(instance, cold_s, now)

    def suspect(self, instances: Iterable[str], now: float) -> None:
        """Record upstreams that may have crashed; they may come back cold."""
        if self.tracker is not None:
            for instance in instances:
                self.tracker.suspect(instance, now)

    def may_send(self, instance: str, now: float) -> bool:
        """Return whether this node may send a request to an upstream now."""
        if self.tracker is None:
            return True
        return self.tracker.may_send(instance, now, self._peer_starts(instance, now))

    def claim(self, instances: Iterable[str]) -> bool:
        """Record a send to all these upstreams, unless one of them may not get it."""
        if self.tracker is None:
            return True
        now = self._clock.monotonic()
        names = frozenset(instances)
        if not all(
            self.tracker.may_send(name, now, self._peer_starts(name, now))
            for name in names
        ):
            self.tracker.counters.refused_at_send += 1
            return False
        for name in names:
            self.tracker.record_send(name, now)
        return True

    def spread(self, entries: list[UpstreamEntry], now: float) -> list[UpstreamEntry]:
        """Return the entries without those that have just got many requests."""
        if self.tracker is None:
            return entries
        return list(
            self.tracker.choose_from(
                entries, now, lambda name: self._peer_starts(name, now)
            )
        )

    def is_cold(self, instance: str, now: float) -> bool:
        """Return whether an upstream is known to be cold."""
        return self.tracker is not None and self.tracker.is_cold(instance, now)

    def count_left_out(self, has_cold: bool, has_limited: bool) -> None:
        """Count a placement that had to leave out upstreams."""
        if self.tracker is not None:
            self.tracker.counters.kept_away += has_cold
            self.tracker.counters.limited += has_limited

    def turn_in_s(self, instance: str, now: float) -> float:
        """Return the time in seconds before which an upstream gets nothing from here.

        It may take longer.
        """
        return 0.0 if self.tracker is None else self.tracker.turn_in_s(instance, now)

    def prompt_cost(self, instance: str, is_long: bool, now: float) -> float:
        """Return the cost of placing a prompt on an upstream because it is cold."""
        if self.tracker is None or not self.tracker.is_cold(instance, now):
            return 0.0
        return LONG_PROMPT_COST if is_long else SHORT_PROMPT_COST

    def tick(self, now: float) -> None:
        """Update the peers that share the rate; log the changes since the last tick."""
        if self.tracker is not None:
            live, known = self._peers.domain_nodes(self._domain, now)
            self.tracker.set_peers(DomainPeers(live, known))
            self._update_group(self.tracker, now)
            self.tracker.tick(now)
            self._log_changes(now)

    def read_counters(self) -> Mapping[str, int]:
        """Return the counters for the metrics endpoint, none without a bound."""
        if self.tracker is None:
            return {}
        counters = msgspec.structs.asdict(self.tracker.counters)
        ended_starts = self._jobs.ended_starts
        if ended_starts is not None:
            counters["starts_dropped"] = ended_starts.dropped
        return counters

    def _update_group(self, tracker: ColdTracker, now: float) -> None:
        live_count, known_count = self._peers.node_counts(now)
        tracker.set_group(NodeGroup(live_count + 1, known_count + 1))

    def _peer_starts(self, instance: str, now: float) -> int:
        return self._jobs.peer_starts(instance, now - SECOND_S)

    def _record_change(self, change: str, upstream: ColdUpstream) -> None:
        self._changes.setdefault(change, {})[upstream.instance] = upstream

    def _log_changes(self, now: float) -> None:
        """Write one line for each kind of change, because many come with one list."""
        for change, upstreams in self._changes.items():
            log.info(
                change,
                extra={
                    "count": len(upstreams),
                    "upstreams": {
                        upstream.instance: _log_fields(upstream, now)
                        for upstream in islice(upstreams.values(), MAX_LOGGED_UPSTREAMS)
                    },
                },
            )
        self._changes.clear()


def _log_fields(upstream: ColdUpstream, now: float) -> dict[str, object]:
    return {
        "reason": upstream.reason,
        "left_s": round(max(0.0, upstream.until - now), 3),
        "is_gateway": upstream.is_gateway,
        "requests_per_s": upstream.requests_per_s,
        "limit_per_s": upstream.limit,
        "sent": upstream.sent,
    }
