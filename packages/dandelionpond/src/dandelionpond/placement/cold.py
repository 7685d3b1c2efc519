"""Decide which upstreams are cold and whether this node may send to them.

An upstream that has just started bears few requests a second. The bound holds for the
sum over all nodes, which may not hear each other, so it is divided without messages:
while an upstream is cold, only some nodes of its failure domain send to it (gateways),
each at a bounded rate. Before the news that it is cold, `SendLimits` holds.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable, Mapping

import msgspec

from dandelionpond.placement.gateways import DomainPeers, GatewayTable, spacing_s
from dandelionpond.placement.send_limits import (
    SETTLE_S,
    NodeGroup,
    SendLimits,
    Sends,
    group_share,
)
from dandelionpond.published.messages import ColdStart, UpstreamEntry, UpstreamState

# Time in seconds for which an upstream counts as cold after it accepted no connection
# or crashed: a new incarnation may run before the list names it. An entry is at most
# 1.2 s old when it is read, and the list is read about each 1.2 s.
SUSPICION_S = 3.0
# Largest age in seconds of an entry when it is read. Until then, it may be older than
# what is known from a response.
ENTRY_AGE_S = 1.5
SECOND_S = 1.0
# Most requests of this node in a second to one upstream that are counted. A bound above
# it counts as this number, since no node sends an upstream more.
MAX_RECORDED_SENDS = 4_096
# Time in seconds by which the end of a cold time has to move to be reported again.
# Each response states a slightly different one.
REPORTED_STEP_S = 1.0


class ColdUpstream(msgspec.Struct, frozen=True):
    """What is known of an upstream that is cold, for logs.

    `until` is in monotonic seconds, `requests_per_s` the rate that it bears from all
    nodes, `limit` the hard bound in a second and `sent` what this node has sent since
    it became cold.
    """

    instance: str
    reason: str
    until: float
    is_gateway: bool
    requests_per_s: float
    limit: float
    sent: int


class ColdCounters(msgspec.Struct):
    """The counts of upstreams that became cold, and of requests to them."""

    became_cold: int = 0
    sent: int = 0
    kept_away: int = 0
    limited: int = 0
    refused_at_send: int = 0
    spread: int = 0
    suspicions_ignored: int = 0


class _Upstream:
    __slots__ = (
        "cold_until",
        "evacuation_until",
        "failure_domain",
        "instance",
        "is_cold",
        "is_ready",
        "last_send_at",
        "news_at",
        "reason",
        "reported_until",
        "sends",
        "sent_cold",
        "service",
        "started_ms",
        "suspect_until",
        "unconfirmed_until",
    )

    def __init__(self, entry: UpstreamEntry) -> None:
        self.instance = entry.instance
        self.service = entry.service
        self.failure_domain = entry.failure_domain
        self.started_ms = entry.started_ms
        self.is_ready = entry.state is UpstreamState.READY
        self.cold_until = self.suspect_until = -math.inf
        # Until then nothing shows that it is warm, nor that it is cold.
        self.unconfirmed_until = -math.inf
        # End of the cold time after an evacuation, which an entry does not shorten: it
        # may have been written during the evacuation.
        self.evacuation_until = -math.inf
        # Time of the newest statement that made `cold_until` later.
        self.news_at = -math.inf
        self.reason = ""
        self.is_cold = False
        self.reported_until = -math.inf
        self.sends: deque[float] = deque(maxlen=MAX_RECORDED_SENDS)
        self.last_send_at = -math.inf
        self.sent_cold = 0

    @property
    def until(self) -> float:
        return max(self.cold_until, self.suspect_until, self.evacuation_until)


class ColdTracker:
    """The upstreams of one node and until when they are cold.

    Times are monotonic seconds; `overage` and `slack` define the hard bound of requests
    in any second: the rate of the service times `overage`, plus `slack`.
    """

    __slots__ = (
        "_cold_starts",
        "_evacuated",
        "_gateways",
        "_has_list",
        "_limits",
        "_overage",
        "_slack",
        "_upstreams",
        "counters",
        "on_change",
    )

    def __init__(
        self,
        node: str,
        failure_domain: str,
        overage: float,
        slack: float,
        started_at: float,
    ) -> None:
        self._overage = overage
        self._slack = slack
        self._upstreams: dict[str, _Upstream] = {}
        self._cold_starts: Mapping[str, ColdStart] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._has_list = False
        self._gateways = GatewayTable(node, failure_domain, started_at)
        self._limits = SendLimits()
        self.counters = ColdCounters()
        self.on_change: Callable[[str, ColdUpstream], None] = _no_op

    @property
    def cold_count(self) -> int:
        """Return the number of upstreams that were cold at the last tick."""
        return sum(upstream.is_cold for upstream in self._upstreams.values())

    def retain(self, instances: frozenset[str], now: float) -> None:
        """Forget the upstreams that are not in `instances`.

        One that comes back later counts as new, and thus as cold.
        """
        for name in self._upstreams.keys() - instances:
            self._limits.record_change(self._upstreams.pop(name).service, now)

    def update_entries(
        self,
        entries: Iterable[UpstreamEntry],
        cold_starts: Mapping[str, ColdStart],
        evacuated: frozenset[str],
        read_at: float,
        now: float,
    ) -> None:
        """Take over a list that was read at `read_at`.

        `cold_starts` holds the cold start of services by name, `evacuated` the failure
        domains under evacuation. All entries of the first list were there before this
        node, so they are cold only if they say so. An entry that does not say that it
        is warm may be of an upstream that has just started or whose evacuation has
        just ended.
        """
        self._cold_starts = cold_starts
        self._limits.retain(frozenset(cold_starts))
        ended = self._evacuated - evacuated
        self._evacuated = evacuated
        entries = tuple(entries)
        self.retain(frozenset(entry.instance for entry in entries), now)
        for entry in entries:
            upstream = self._upstreams.get(entry.instance)
            is_new = upstream is None or upstream.started_ms != entry.started_ms
            if upstream is None:
                upstream = self._upstreams[entry.instance] = _Upstream(entry)
            elif is_new:
                # Former sends still count. The news answer the suspicion.
                upstream.started_ms = entry.started_ms
                upstream.suspect_until = -math.inf
            upstream.service = entry.service
            upstream.failure_domain = entry.failure_domain
            upstream.is_ready = entry.state is UpstreamState.READY
            duration_s = self._duration_s(entry.service)
            if not self._has_list and entry.cold_remaining_s is None:
                upstream.unconfirmed_until = now + max(duration_s, SETTLE_S)
            if is_new or entry.failure_domain in ended or self._is_out(upstream, now):
                self._limits.record_change(entry.service, now)
            if entry.cold_remaining_s is not None:
                self._take_entry(upstream, entry.cold_remaining_s, read_at, now)
            elif is_new and self._has_list:
                self._extend(upstream, read_at + duration_s, "new start", read_at, now)
            if entry.failure_domain in ended:
                upstream.evacuation_until = now + duration_s
                self._note_cold(upstream, "evacuation ended", now)
        self._has_list = True

    def record_head(self, instance: str, cold_s: float, now: float) -> None:
        """Record that a response states a remaining cold time.

        A response never makes the time shorter, because it may have waited in this
        node's buffers while the upstream restarted.
        """
        upstream = self._upstreams.get(instance)
        if upstream is not None:
            self._extend(upstream, now + cold_s, "response", now, now)

    def suspect(self, instance: str, now: float) -> None:
        """Record that an upstream crashed or accepted no connection.

        It is ignored if half of the service's upstreams are suspect: the cause is
        likely not in them, and nothing could be sent any more.
        """
        upstream = self._upstreams.get(instance)
        if upstream is None or upstream.service not in self._cold_starts:
            return
        self._limits.record_change(upstream.service, now)
        others = [
            other
            for other in self._upstreams.values()
            if other.service == upstream.service and other is not upstream
        ]
        suspects = sum(now < other.suspect_until for other in others)
        if 2 * (suspects + 1) > len(others) + 1:
            self.counters.suspicions_ignored += 1
            return
        upstream.suspect_until = now + SUSPICION_S
        self._note_cold(upstream, "may have restarted", now)

    def set_peers(self, peers: DomainPeers) -> None:
        """Set the nodes that this node shares its failure domain with."""
        self._gateways.set_peers(peers)

    def set_group(self, group: NodeGroup) -> None:
        """Set how many nodes of the fleet this node hears and knows."""
        self._limits.group = group

    def is_cold(self, instance: str, now: float) -> bool:
        """Return whether an upstream is cold."""
        upstream = self._upstreams.get(instance)
        return upstream is not None and now < upstream.until

    def may_send(self, instance: str, now: float, peer_starts: int = 0) -> bool:
        """Return whether this node may send a request to an upstream now.

        `peer_starts` is the number of requests that peers are known to have sent it in
        the last second. An upstream that is in no list gets nothing.
        """
        upstream = self._upstreams.get(instance)
        if upstream is None:
            return False
        if now >= upstream.until:
            return self._is_within_limits(upstream, now, peer_starts)
        rate = self._rate(upstream.service)
        return (
            self._is_gateway(upstream, now)
            and now - upstream.last_send_at > spacing_s(rate)
            and not self.is_busy(instance, now, peer_starts)
        )

    def is_busy(self, instance: str, now: float, peer_starts: int) -> bool:
        """Return whether an upstream has got its share of the bound in the last second.

        It is the share of a group of nodes that hear each other. If the upstream were
        cold without anybody knowing, the sum over all groups would still be in the
        bound.
        """
        upstream = self._upstreams.get(instance)
        if upstream is None or upstream.service not in self._cold_starts:
            return False
        known = _count_sends(upstream, now) + peer_starts
        return known >= group_share(self._send_bound(upstream))

    def choose_from(
        self,
        entries: Iterable[UpstreamEntry],
        now: float,
        peer_starts: Callable[[str], int],
    ) -> tuple[UpstreamEntry, ...]:
        """Return the entries without the busy ones, or all if all are busy.

        An upstream that restarted unnoticed has no outstanding work and looks better
        than others to every node. If all of a service are busy, the load is even, and
        none of them is an exception; `may_send` still bounds each.
        """
        entries = tuple(entries)
        idle = tuple(
            entry
            for entry in entries
            if not self.is_busy(entry.instance, now, peer_starts(entry.instance))
        )
        if not idle or len(idle) == len(entries):
            return entries
        self.counters.spread += 1
        return idle

    def turn_in_s(self, instance: str, now: float) -> float:
        """Return the time in seconds before which `may_send` certainly stays False.

        It is 0 if this node's own requests permit one now, and while the upstream is
        cold, which an entry may end at any time.
        """
        upstream = self._upstreams.get(instance)
        if (
            upstream is None
            or upstream.service not in self._cold_starts
            or now < upstream.until
        ):
            return 0.0
        is_confirmed = now >= upstream.unconfirmed_until
        limit = self._limits.own_limit(
            upstream.service, self._send_bound(upstream), is_confirmed, now
        )
        count = _count_sends(upstream, now)
        if count < limit:
            return 0.0
        turn_at = upstream.sends[count - limit] + SECOND_S
        for until in (
            upstream.unconfirmed_until,
            self._limits.unsettled_until(upstream.service),
        ):
            # The limit may be higher then.
            if until > now:
                turn_at = min(turn_at, until)
        return turn_at - now

    def record_send(self, instance: str, now: float) -> None:
        """Record that this node sends an upstream a request or a part of a prompt."""
        upstream = self._upstreams.get(instance)
        if upstream is None:
            return
        upstream.sends.append(now)
        upstream.last_send_at = now
        if now < upstream.until:
            upstream.sent_cold += 1
            self.counters.sent += 1

    def tick(self, now: float) -> None:
        """Report the upstreams that are no longer cold."""
        for upstream in self._upstreams.values():
            if self._is_out(upstream, now):
                self._limits.record_change(upstream.service, now)
            if upstream.is_cold and now >= upstream.until:
                self.on_change("upstream is no longer cold", self._view(upstream, now))
                upstream.is_cold = False
                upstream.sent_cold = 0

    def cold_upstreams(self, now: float) -> tuple[ColdUpstream, ...]:
        """Return the upstreams that are cold, by name."""
        return tuple(
            self._view(upstream, now)
            for _, upstream in sorted(self._upstreams.items())
            if now < upstream.until
        )

    def _take_entry(
        self, upstream: _Upstream, remaining_s: float, read_at: float, now: float
    ) -> None:
        """Take over what an entry states.

        It makes the time shorter only if it was written after the last other statement.
        """
        until = read_at + remaining_s
        if remaining_s > 0 and until > upstream.cold_until:
            self._extend(upstream, until, "entry", read_at, now)
        elif read_at - ENTRY_AGE_S > upstream.news_at:
            upstream.cold_until = until if remaining_s > 0 else -math.inf

    def _extend(
        self, upstream: _Upstream, until: float, reason: str, news_at: float, now: float
    ) -> None:
        if until <= upstream.cold_until:
            return
        upstream.cold_until = until
        upstream.news_at = max(upstream.news_at, news_at)
        self._note_cold(upstream, reason, now)

    def _note_cold(self, upstream: _Upstream, reason: str, now: float) -> None:
        if now >= upstream.until:
            return
        if not upstream.is_cold:
            self.counters.became_cold += 1
        elif upstream.until < upstream.reported_until + REPORTED_STEP_S:
            return
        upstream.is_cold = True
        upstream.reason = reason
        upstream.reported_until = upstream.until
        self.on_change("upstream is cold", self._view(upstream, now))

    def _is_within_limits(
        self, upstream: _Upstream, now: float, peer_starts: int
    ) -> bool:
        if upstream.service not in self._cold_starts:
            return True
        return self._limits.may_send(
            upstream.service,
            self._send_bound(upstream),
            Sends(_count_sends(upstream, now), peer_starts),
            now >= upstream.unconfirmed_until,
            now,
        )

    def _is_out(self, upstream: _Upstream, now: float) -> bool:
        """Return whether an upstream is not in full use: others get its load."""
        return (
            now < upstream.until
            or not upstream.is_ready
            or upstream.failure_domain in self._evacuated
        )

    def _send_bound(self, upstream: _Upstream) -> float:
        return min(self._limit(upstream.service), MAX_RECORDED_SENDS)

    def _view(self, upstream: _Upstream, now: float) -> ColdUpstream:
        return ColdUpstream(
            upstream.instance,
            upstream.reason,
            upstream.until,
            self._is_gateway(upstream, now),
            self._rate(upstream.service),
            self._limit(upstream.service),
            upstream.sent_cold,
        )

    def _is_gateway(self, upstream: _Upstream, now: float) -> bool:
        rate = self._rate(upstream.service)
        domain = upstream.failure_domain
        return self._gateways.is_gateway(upstream.instance, domain, rate, now)

    def _rate(self, service: str) -> float:
        cold_start = self._cold_starts.get(service)
        return 0.0 if cold_start is None else cold_start.requests_per_s

    def _duration_s(self, service: str) -> float:
        cold_start = self._cold_starts.get(service)
        return 0.0 if cold_start is None else cold_start.duration_s

    def _limit(self, service: str) -> float:
        return self._rate(service) * self._overage + self._slack


def _count_sends(upstream: _Upstream, now: float) -> int:
    """Return the number of requests that this node sent in the last second."""
    sends = upstream.sends
    while sends and sends[0] < now - SECOND_S:
        sends.popleft()
    return len(sends)


def _no_op(_change: str, _upstream: ColdUpstream) -> None:
    """Do nothing; the default of `on_change`."""
