"""Share the limits of client accounts between nodes without shared state."""

import heapq
import math

import msgspec

from dandelionpond.hashing import score
from dandelionpond.limits.grants import (
    AccountGrants,
    ExpiringShare,
    covers,
    max_min_share,
)
from dandelionpond.limits.messages import DemandReport, Grant, SendDemand, Share
from dandelionpond.limits.settings import AccountLimits, LimitsSettings

# Equal to the default of `max_peers` in the membership settings. Beyond it the oldest
# departed node is dropped.
_MAX_DEPARTED = 8_192


class _Demand(msgspec.Struct):
    """This node's demand on one account's limit; rates are in tokens per second."""

    rate: float = 0.0
    reported_rate: float = 0.0
    arrived_tokens: float = 0.0
    concurrency: float = 0.0
    reported_at: float = -math.inf


class LimitShares:
    """This node's shares and the grants that it makes as an aggregator.

    The failure domain's share of a limit is fixed. A node without a grant uses an equal
    part of it, the equal share. If a node's grant was smaller than that, the node keeps
    to it for one more `grant_ttl_s` after it expired, by when larger grants of the same
    aggregator have expired as well. The equal share grows only `grant_ttl_s` after
    nodes have left the membership view. An aggregator counts a grant for two periods of
    `grant_ttl_s`, counts the equal share for each node without a grant, and grants
    nothing in its first period as aggregator.

    With equal membership views, the sum of shares therefore stays within the domain's
    share. While the domain is partitioned into k sides, the sum is at most k times that
    share, and at most that share in the first `grant_ttl_s` of the partition. A node
    that joins adds at most an equal share until the next grants, and so does a node
    that the aggregator hears but cannot answer for two periods. A partition between
    failure domains adds nothing.
    """

    __slots__ = (
        "_account_grants",
        "_aggregated_since",
        "_aggregators",
        "_demands",
        "_departed",
        "_domain_fraction",
        "_grants",
        "_idle_next",
        "_idle_order",
        "_limits",
        "_members",
        "_node",
        "_ranks",
        "_reported_at",
        "_settings",
        "deferred_reports",
        "refused_demands",
    )

    def __init__(self, node: str, settings: LimitsSettings, now: float) -> None:
        self._node = node
        self._settings = settings
        self._domain_fraction = 1.0
        self._limits: dict[str, AccountLimits] = {}
        self._members: frozenset[str] = frozenset((node,))
        # Maps nodes that left the view to the time until which they are counted.
        self._departed: dict[str, float] = {}
        self._ranks: dict[str, int] = {}
        self._demands: dict[str, _Demand] = {}
        self._grants: dict[str, ExpiringShare] = {}
        self._account_grants: dict[str, AccountGrants] = {}
        self._aggregated_since: dict[str, float] = {}
        # Caches the aggregator of an account, with its rendezvous hash score.
        self._aggregators: dict[str, tuple[int, str]] = {}
        self._idle_order: list[str] = []
        self._idle_next = 0.0
        self._reported_at = now
        self.deferred_reports = 0
        self.refused_demands = 0

    def configure(
        self, limits: dict[str, AccountLimits], shares: dict[str, float], domain: str
    ) -> None:
        """Set the limits, the weights of the failure domains and this node's domain.

        A domain without a weight gets no share.
        """
        total = sum(shares.values())
        self._domain_fraction = shares.get(domain, 0.0) / total if total > 0 else 0.0
        self._limits = dict(limits)
        self._idle_order = list(limits)
        self._idle_next = 0.0
        for table in (
            self._demands,
            self._grants,
            self._account_grants,
            self._aggregated_since,
            self._aggregators,
        ):
            for name in [name for name in table if name not in limits]:
                del table[name]

    def set_members(self, names: tuple[str, ...], now: float) -> None:
        """Replace the live nodes of the failure domain; this node is always added."""
        members = frozenset({*names, self._node})
        removed = self._members - members
        for name in removed:
            self._departed[name] = now + self._settings.grant_ttl_s
        for name in members:
            self._departed.pop(name, None)
        while len(self._departed) > _MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]
        self._update_aggregators(removed, members - self._members)
        self._members = members
        self._ranks.clear()
        for account in list(self._aggregated_since):
            if self.aggregator(account) != self._node:
                del self._aggregated_since[account]
                self._account_grants.pop(account, None)

    def aggregator(self, account: str) -> str:
        """Return the node that collects demand for an account."""
        cached = self._aggregators.get(account)
        if cached is None:
            cached = max((score(account, name), name) for name in self._members)
            self._aggregators[account] = cached
        return cached[1]

    def _update_aggregators(
        self, removed: frozenset[str], added: frozenset[str]
    ) -> None:
        """Update the cached aggregators with one hash per account and new node.

        Ranking all nodes again took 200 us per account with 437 nodes.
        """
        for account, cached in list(self._aggregators.items()):
            if cached[1] in removed:
                del self._aggregators[account]
                continue
            best = max(((score(account, name), name) for name in added), default=cached)
            if best > cached:
                self._aggregators[account] = best

    def domain_share(self, account: str) -> Share:
        """Return the failure domain's fixed share of an account's limit."""
        limits = self._limits.get(account)
        if limits is None:
            return Share(0.0, 0)
        tokens = limits.tokens_per_s * self._domain_fraction
        return Share(
            tokens, math.floor(limits.concurrency * self._domain_fraction + 1e-9)
        )

    def record_demand(self, account: str, tokens: float, in_flight: int) -> None:
        """Record the demand of a request, whether admitted or refused."""
        if account not in self._limits:
            self.refused_demands += 1
            return
        demand = self._demands.setdefault(account, _Demand())
        demand.arrived_tokens += tokens
        demand.concurrency = max(demand.concurrency, in_flight + 1.0)

    def due_reports(self, now: float) -> list[SendDemand]:
        """Return the demand reports to send, once per `report_interval_s`.

        An account is reported when its demand has doubled, and twice per `grant_ttl_s`
        even without demand, because the aggregator reserves the equal share for a node
        that does not report. At most `max_reports_per_s` are sent, in order of demand
        relative to the share; the others are deferred and counted.
        """
        elapsed = now - self._reported_at
        if elapsed < self._settings.report_interval_s:
            return []
        self._reported_at = now
        due = self._due_accounts(elapsed, now)
        budget = max(1, int(self._settings.max_reports_per_s * elapsed))
        self.deferred_reports += max(0, len(due) - budget)
        accounts = [account for _, account in heapq.nlargest(budget, due)]
        accounts += self._next_idle_accounts(budget - len(accounts), elapsed)
        sends: dict[str, list[DemandReport]] = {}
        for account in accounts:
            demand = self._demands.get(account) or _Demand()
            demand.reported_at, demand.reported_rate = now, demand.rate
            report = DemandReport(account, demand.rate, demand.concurrency)
            demand.concurrency *= 0.5
            sends.setdefault(self.aggregator(account), []).append(report)
            if demand.rate < 1.0 and account in self._demands:
                del self._demands[account]
        return [SendDemand(to, tuple(reports)) for to, reports in sends.items()]

    def _due_accounts(self, elapsed: float, now: float) -> list[tuple[float, str]]:
        """Return the accounts to report with the ratio of demand to share."""
        due = []
        renewal_s = self._settings.grant_ttl_s / 2
        for account, demand in self._demands.items():
            # Half of the old value remains, so one second without demand does not cost
            # a node most of its share.
            demand.rate = 0.5 * demand.rate + 0.5 * demand.arrived_tokens / elapsed
            demand.arrived_tokens = 0.0
            has_doubled = demand.rate > 2.0 * demand.reported_rate + 1.0
            if has_doubled or now - demand.reported_at >= renewal_s:
                share = self.share(account, now)
                token_ratio = demand.rate / max(1e-9, share.tokens_per_s)
                concurrency_ratio = demand.concurrency / max(1e-9, share.concurrency)
                due.append((max(token_ratio, concurrency_ratio), account))
        return due

    def _next_idle_accounts(self, budget: int, elapsed: float) -> list[str]:
        """Return the next accounts without demand, each twice per `grant_ttl_s`."""
        count = len(self._idle_order)
        if budget <= 0 or not count:
            return []
        period_s = self._settings.grant_ttl_s / 2
        start = self._idle_next
        self._idle_next = start + min(float(budget), count * elapsed / period_s, count)
        next_accounts = [
            self._idle_order[index % count]
            for index in range(math.ceil(start), math.ceil(self._idle_next))
        ]
        self._idle_next %= count
        return [account for account in next_accounts if account not in self._demands]

    def answer_demand(
        self, sender: str, report: DemandReport, now: float
    ) -> Grant | None:
        """Answer a demand report as aggregator; None if this node must not grant."""
        account = report.account
        if (
            sender not in self._members
            or account not in self._limits
            or self.aggregator(account) != self._node
        ):
            self.refused_demands += 1
            return None
        # The period without grants starts at the first demand report, which arrives
        # after this node became aggregator.
        since = self._aggregated_since.setdefault(account, now)
        grants = self._account_grants.setdefault(account, AccountGrants())
        ttl = self._settings.grant_ttl_s
        for name in [name for name in grants.demands if name not in self._members]:
            del grants.demands[name]
        for name in [name for name in grants.granted if name not in self._members]:
            # A grant is counted until it has expired, even if its node has left.
            if self._all_expired(grants, name, now):
                del grants.granted[name]
        grants.demands[sender] = (report, now)
        if now - since < ttl:
            return None
        domain_share = self.domain_share(account)
        others = self._max_use_of_others(grants, account, sender, now)
        free_tokens = max(0.0, domain_share.tokens_per_s - others.tokens_per_s)
        free_slots = max(0, domain_share.concurrency - others.concurrency)
        fair = self._fair_share(grants, domain_share, sender, now)
        share = Share(
            min(free_tokens, fair.tokens_per_s), min(free_slots, fair.concurrency)
        )
        unexpired = [
            grant for grant in grants.granted.get(sender, []) if grant.until > now
        ]
        # Only the largest unexpired grant counts, so smaller ones that expire earlier
        # are dropped and the list stays short.
        unexpired = [grant for grant in unexpired if not covers(share, grant.share)]
        grants.granted[sender] = [*unexpired, ExpiringShare(share, now + 2 * ttl)]
        return Grant(account, share.tokens_per_s, share.concurrency, ttl)

    def accept_grant(self, sender: str, grant: Grant, asked_at: float) -> None:
        """Accept a grant; it expires `ttl_s` after `asked_at`, when demand was sent."""
        if grant.account not in self._limits:
            return
        if sender != self.aggregator(grant.account):
            return
        share = Share(grant.tokens_per_s, grant.concurrency)
        self._grants[grant.account] = ExpiringShare(share, asked_at + grant.ttl_s)

    def share(self, account: str, now: float) -> Share:
        """Return this node's current share of an account's limit."""
        equal = self._equal_share(account, self._node, now)
        granted = self._grants.get(account)
        if granted is None:
            return equal
        if now < granted.until:
            return granted.share
        if now < granted.until + self._settings.grant_ttl_s:
            return Share(
                min(granted.share.tokens_per_s, equal.tokens_per_s),
                min(granted.share.concurrency, equal.concurrency),
            )
        del self._grants[account]
        return equal

    def shares(self, now: float) -> dict[str, Share]:
        """Return this node's share of every account's limit."""
        return {account: self.share(account, now) for account in self._limits}

    def _counted_nodes(self, now: float) -> tuple[str, ...]:
        """Return the members and those that left within the last `grant_ttl_s`."""
        expired = [name for name, until in self._departed.items() if until <= now]
        for name in expired:
            del self._departed[name]
        if expired:
            self._ranks.clear()
        return (*self._members, *self._departed)

    def _equal_share(self, account: str, node: str, now: float) -> Share:
        domain_share = self.domain_share(account)
        nodes = self._counted_nodes(now)
        slots, remainder = divmod(domain_share.concurrency, len(nodes))
        if remainder:
            # The remainder goes to the nodes with the lowest ranks, one slot each.
            slots += self._rank(account, node, nodes) < remainder
        return Share(domain_share.tokens_per_s / len(nodes), slots)

    def _rank(self, account: str, node: str, nodes: tuple[str, ...]) -> int:
        key = f"{account}\x00{node}"
        rank = self._ranks.get(key)
        if rank is None:
            ranked = sorted(nodes, key=lambda name: (score(account, name), name))
            # An aggregator needs the ranks of all nodes, others only their own.
            kept = set(nodes) if account in self._account_grants else {node}
            for index, name in enumerate(ranked):
                if name in kept:
                    self._ranks[f"{account}\x00{name}"] = index
            # A node that is no longer counted ranks last and gets no extra slot.
            rank = self._ranks.setdefault(key, len(ranked))
        return rank

    def _all_expired(self, grants: AccountGrants, name: str, now: float) -> bool:
        return all(grant.until <= now for grant in grants.granted[name])

    def _max_use_of_others(
        self, grants: AccountGrants, account: str, sender: str, now: float
    ) -> Share:
        """Return the maximum that all nodes except the sender may be using.

        The equal shares of all nodes add up to the domain's share, so only nodes with
        grants are visited: a domain has about 437 nodes and few of them have a grant.
        """
        domain_share = self.domain_share(account)
        tokens, slots = domain_share.tokens_per_s, domain_share.concurrency
        nodes = {*self._members, *self._departed}
        for name in {*grants.granted, sender}:
            if name in nodes:
                equal = self._equal_share(account, name, now)
                tokens -= equal.tokens_per_s
                slots -= equal.concurrency
            if name != sender:
                used = self._max_use(grants, account, name, now)
                tokens += used.tokens_per_s
                slots += used.concurrency
        return Share(max(0.0, tokens), slots)

    def _max_use(
        self, grants: AccountGrants, account: str, name: str, now: float
    ) -> Share:
        """Return the maximum that a node may be using."""
        unexpired = [
            grant for grant in grants.granted.get(name, []) if grant.until > now
        ]
        ttl = self._settings.grant_ttl_s
        active = [grant.share for grant in unexpired if grant.until - ttl > now]
        if not unexpired:
            return self._equal_share(account, name, now)
        if not active:
            equal = self._equal_share(account, name, now)
            return Share(
                min(
                    equal.tokens_per_s,
                    max(grant.share.tokens_per_s for grant in unexpired),
                ),
                min(
                    equal.concurrency,
                    max(grant.share.concurrency for grant in unexpired),
                ),
            )
        return Share(
            max(share.tokens_per_s for share in active),
            max(share.concurrency for share in active),
        )

    def _fair_share(
        self, grants: AccountGrants, domain_share: Share, sender: str, now: float
    ) -> Share:
        """Return the max-min fair share of a node, including its part of the spare."""
        oldest_at = now - self._settings.grant_ttl_s
        count = len(self._members)
        floor = self._settings.floor_share / count
        tokens, slots = domain_share.tokens_per_s, float(domain_share.concurrency)
        rates: list[tuple[float, int]] = []
        concurrencies: list[tuple[float, int]] = []
        own = (0.0, 0.0)
        for name, (report, reported_at) in grants.demands.items():
            if reported_at < oldest_at:
                continue
            rate = max(report.tokens_per_s, tokens * floor)
            concurrency = max(report.concurrency, slots * floor)
            rates.append((rate, 1))
            concurrencies.append((concurrency, 1))
            if name == sender:
                own = (rate, concurrency)
        unreported = count - len(rates)
        if unreported > 0:
            # Nodes without a recent report are assumed to use their equal share.
            rates.append((tokens / count, unreported))
            concurrencies.append((slots / count, unreported))
        return Share(
            max_min_share(rates, tokens, own[0]),
            math.floor(max_min_share(concurrencies, slots, own[1]) + 1e-9),
        )
