"""Share fleet-wide limits between nodes without shared writes."""

import heapq
import math

import msgspec

from dandelionpond.hashing import score
from dandelionpond.limits.messages import DemandReport, Grant, SendDemand, Share
from dandelionpond.limits.pool import Held, Pool, covers, max_min
from dandelionpond.limits.settings import AccountLimits, LimitsSettings

# The design's bound on peers; beyond it the oldest departed node is no longer counted.
_MAX_DEPARTED = 8_192


class _Demand(msgspec.Struct):
    rate: float = 0.0
    sent_rate: float = 0.0
    arrived: float = 0.0
    concurrency: float = 0.0
    sent_at: float = -math.inf


class LimitShares:
    """Own this node's shares and the grants it gives as an aggregator.

    The failure domain's part of a limit is fixed. Without a grant a node uses the equal
    share. A node whose grant was smaller keeps to it for one more `grant_ttl_s` after
    its end, until larger grants of the same aggregator have ended as well. The equal
    share grows only `grant_ttl_s` after nodes have left the view. An aggregator counts
    a grant until two periods after it was given, counts the equal share for each other
    node, and grants nothing in the first period after it took over.

    So with equal membership views the sum stays within the domain's part. During a
    partition of the domain into k sides the sum is at most k times the part, and in the
    first `grant_ttl_s` after the cut at most the part. A node that joins adds at most
    an equal share until the next grants, and so does one that the aggregator hears but
    cannot answer for two periods. Failure domains cut off from one another add nothing.
    """

    __slots__ = (
        "_aggregated_since",
        "_aggregators",
        "_demands",
        "_departed",
        "_grants",
        "_idle_next",
        "_idle_order",
        "_limits",
        "_members",
        "_node",
        "_part",
        "_pools",
        "_ranks",
        "_reported_at",
        "_settings",
        "deferred_reports",
        "refused_demands",
    )

    def __init__(self, node: str, settings: LimitsSettings, now: float) -> None:
        self._node = node
        self._settings = settings
        self._part = 1.0
        self._limits: dict[str, AccountLimits] = {}
        self._members: frozenset[str] = frozenset((node,))
        # Nodes that left the view, and the time until which they are counted.
        self._departed: dict[str, float] = {}
        self._ranks: dict[str, int] = {}
        self._demands: dict[str, _Demand] = {}
        self._grants: dict[str, Held] = {}
        self._pools: dict[str, Pool] = {}
        self._aggregated_since: dict[str, float] = {}
        # The aggregator of each account asked for, with its weight.
        self._aggregators: dict[str, tuple[int, str]] = {}
        self._idle_order: list[str] = []
        self._idle_next = 0.0
        self._reported_at = now
        self.deferred_reports = 0
        self.refused_demands = 0

    def configure(
        self, limits: dict[str, AccountLimits], shares: dict[str, float], domain: str
    ) -> None:
        """Set the limits and the domains' relative parts; unknown domains get none."""
        total = sum(shares.values())
        self._part = shares.get(domain, 0.0) / total if total > 0 else 0.0
        self._limits = dict(limits)
        self._idle_order = list(limits)
        self._idle_next = 0.0
        for table in (
            self._demands,
            self._grants,
            self._pools,
            self._aggregated_since,
            self._aggregators,
        ):
            for name in [name for name in table if name not in limits]:
                del table[name]

    def set_members(self, names: tuple[str, ...], now: float) -> None:
        """Replace the live nodes of the failure domain, this one included."""
        members = frozenset({*names, self._node})
        gone = self._members - members
        for name in gone:
            self._departed[name] = now + self._settings.grant_ttl_s
        for name in members:
            self._departed.pop(name, None)
        while len(self._departed) > _MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]
        self._move_aggregators(gone, members - self._members)
        self._members = members
        self._ranks.clear()
        for account in list(self._aggregated_since):
            if self.aggregator(account) != self._node:
                del self._aggregated_since[account]
                self._pools.pop(account, None)

    def aggregator(self, account: str) -> str:
        """Return the node that collects demand for an account."""
        known = self._aggregators.get(account)
        if known is None:
            known = max((score(account, name), name) for name in self._members)
            self._aggregators[account] = known
        return known[1]

    def _move_aggregators(self, gone: frozenset[str], new: frozenset[str]) -> None:
        """Correct what is known of aggregators, one hash for each account and node.

        To rank all nodes anew for each account took 200 us an account with 437 nodes.
        """
        for account, known in list(self._aggregators.items()):
            if known[1] in gone:
                del self._aggregators[account]
                continue
            best = max(((score(account, name), name) for name in new), default=known)
            if best > known:
                self._aggregators[account] = best

    def domain_share(self, account: str) -> Share:
        """Return the failure domain's fixed part of an account's limit."""
        limits = self._limits.get(account)
        if limits is None:
            return Share(0.0, 0)
        tokens = limits.tokens_per_s * self._part
        return Share(tokens, math.floor(limits.concurrency * self._part + 1e-9))

    def record_demand(self, account: str, tokens: float, in_flight: int) -> None:
        """Record demand, refused requests included."""
        if account not in self._limits:
            self.refused_demands += 1
            return
        demand = self._demands.setdefault(account, _Demand())
        demand.arrived += tokens
        demand.concurrency = max(demand.concurrency, in_flight + 1.0)

    def due_reports(self, now: float) -> list[SendDemand]:
        """Return the demand to send, once each `report_interval_s`.

        An account is reported when its demand has doubled and twice in each
        `grant_ttl_s`, without demand as well, because a node that does not report keeps
        its equal share, used or not. At most `max_reports_per_s` are sent, the demand
        that exceeds its share most first; the rest waits and is counted.
        """
        elapsed = now - self._reported_at
        if elapsed < self._settings.report_interval_s:
            return []
        self._reported_at = now
        due = self._rank_due_reports(elapsed, now)
        budget = max(1, int(self._settings.max_reports_per_s * elapsed))
        self.deferred_reports += max(0, len(due) - budget)
        chosen = [account for _, account in heapq.nlargest(budget, due)]
        chosen += self._idle_reports(budget - len(chosen), elapsed)
        sends: dict[str, list[DemandReport]] = {}
        for account in chosen:
            demand = self._demands.get(account) or _Demand()
            demand.sent_at, demand.sent_rate = now, demand.rate
            report = DemandReport(account, demand.rate, demand.concurrency)
            demand.concurrency *= 0.5
            sends.setdefault(self.aggregator(account), []).append(report)
            if demand.rate < 1.0 and account in self._demands:
                del self._demands[account]
        return [SendDemand(to, tuple(reports)) for to, reports in sends.items()]

    def _rank_due_reports(self, elapsed: float, now: float) -> list[tuple[float, str]]:
        """Return the accounts to report, each with its demand over its share."""
        due = []
        renewal_s = self._settings.grant_ttl_s / 2
        for account, demand in self._demands.items():
            # Half of the old value remains, so one quiet second keeps most of a share.
            demand.rate = 0.5 * demand.rate + 0.5 * demand.arrived / elapsed
            demand.arrived = 0.0
            has_doubled = demand.rate > 2.0 * demand.sent_rate + 1.0
            if has_doubled or now - demand.sent_at >= renewal_s:
                share = self.share(account, now)
                need = demand.rate / max(1e-9, share.tokens_per_s)
                slots = demand.concurrency / max(1e-9, share.concurrency)
                due.append((max(need, slots), account))
        return due

    def _idle_reports(self, budget: int, elapsed: float) -> list[str]:
        """Return accounts without demand in turn, each twice in `grant_ttl_s`."""
        count = len(self._idle_order)
        if budget <= 0 or not count:
            return []
        each_s = self._settings.grant_ttl_s / 2
        start = self._idle_next
        self._idle_next = start + min(float(budget), count * elapsed / each_s, count)
        found = [
            self._idle_order[index % count]
            for index in range(math.ceil(start), math.ceil(self._idle_next))
        ]
        self._idle_next %= count
        return [account for account in found if account not in self._demands]

    def answer_demand(
        self, sender: str, report: DemandReport, now: float
    ) -> Grant | None:
        """Answer a node's demand as aggregator; None if this node must not grant."""
        account = report.account
        if (
            sender not in self._members
            or account not in self._limits
            or self.aggregator(account) != self._node
        ):
            self.refused_demands += 1
            return None
        # The period before the first grant starts with the first demand, which comes
        # after this node took over.
        since = self._aggregated_since.setdefault(account, now)
        pool = self._pools.setdefault(account, Pool())
        ttl = self._settings.grant_ttl_s
        for name in [name for name in pool.demands if name not in self._members]:
            del pool.demands[name]
        for name in [name for name in pool.granted if name not in self._members]:
            # A granted part stays counted until the grant has ended.
            if self._has_ended(pool, name, now):
                del pool.granted[name]
        pool.demands[sender] = (report, now)
        if now - since < ttl:
            return None
        part = self.domain_share(account)
        counted = self._counted_others(pool, account, sender, now)
        free_tokens = max(0.0, part.tokens_per_s - counted.tokens_per_s)
        free_slots = max(0, part.concurrency - counted.concurrency)
        fair = self._fair(pool, part, sender, now)
        share = Share(
            min(free_tokens, fair.tokens_per_s), min(free_slots, fair.concurrency)
        )
        held = [one for one in pool.granted.get(sender, []) if one.until > now]
        # Only the largest of the running grants counts, so one entry for each size is
        # enough and the list stays short.
        held = [one for one in held if not covers(share, one.share)]
        pool.granted[sender] = [*held, Held(share, now + 2 * ttl)]
        return Grant(account, share.tokens_per_s, share.concurrency, ttl)

    def accept_grant(self, sender: str, grant: Grant, asked_at: float) -> None:
        """Accept a grant; its time runs from the question, not from the answer."""
        if grant.account not in self._limits:
            return
        if sender != self.aggregator(grant.account):
            return
        share = Share(grant.tokens_per_s, grant.concurrency)
        self._grants[grant.account] = Held(share, asked_at + grant.ttl_s)

    def share(self, account: str, now: float) -> Share:
        """Return this node's share of an account's limit at a time."""
        equal = self._equal(account, self._node, now)
        held = self._grants.get(account)
        if held is None:
            return equal
        if now < held.until:
            return held.share
        if now < held.until + self._settings.grant_ttl_s:
            return Share(
                min(held.share.tokens_per_s, equal.tokens_per_s),
                min(held.share.concurrency, equal.concurrency),
            )
        del self._grants[account]
        return equal

    def shares(self, now: float) -> dict[str, Share]:
        """Return this node's share of every account's limit."""
        return {account: self.share(account, now) for account in self._limits}

    def _basis(self, now: float) -> tuple[str, ...]:
        """Return the members and those that left within the last `grant_ttl_s`."""
        ended = [name for name, until in self._departed.items() if until <= now]
        for name in ended:
            del self._departed[name]
        if ended:
            self._ranks.clear()
        return (*self._members, *self._departed)

    def _equal(self, account: str, node: str, now: float) -> Share:
        part = self.domain_share(account)
        basis = self._basis(now)
        slots, rest = divmod(part.concurrency, len(basis))
        if rest:
            # Whole slots that do not divide evenly go to the nodes that rank first.
            slots += self._rank(account, node, basis) < rest
        return Share(part.tokens_per_s / len(basis), slots)

    def _rank(self, account: str, node: str, basis: tuple[str, ...]) -> int:
        key = f"{account}\x00{node}"
        rank = self._ranks.get(key)
        if rank is None:
            ranked = sorted(basis, key=lambda name: (score(account, name), name))
            # An aggregator asks for every node; others only for themselves.
            kept = set(basis) if account in self._pools else {node}
            for index, name in enumerate(ranked):
                if name in kept:
                    self._ranks[f"{account}\x00{name}"] = index
            # A node that is no longer counted has no claim to a spare slot.
            rank = self._ranks.setdefault(key, len(ranked))
        return rank

    def _has_ended(self, pool: Pool, name: str, now: float) -> bool:
        return all(one.until <= now for one in pool.granted[name])

    def _counted_others(
        self, pool: Pool, account: str, sender: str, now: float
    ) -> Share:
        """Return the most that all nodes but the sender may be using.

        The equal shares of all nodes add up to the part, so only the nodes with grants
        are visited: a domain has some 437 nodes and few of them have one.
        """
        part = self.domain_share(account)
        tokens, slots = part.tokens_per_s, part.concurrency
        basis = {*self._members, *self._departed}
        for name in {*pool.granted, sender}:
            if name in basis:
                equal = self._equal(account, name, now)
                tokens -= equal.tokens_per_s
                slots -= equal.concurrency
            if name != sender:
                counted = self._counted(pool, account, name, now)
                tokens += counted.tokens_per_s
                slots += counted.concurrency
        return Share(max(0.0, tokens), slots)

    def _counted(self, pool: Pool, account: str, name: str, now: float) -> Share:
        """Return the most that a node may be using."""
        held = [one for one in pool.granted.get(name, []) if one.until > now]
        ttl = self._settings.grant_ttl_s
        running = [one.share for one in held if one.until - ttl > now]
        if not held:
            return self._equal(account, name, now)
        if not running:
            equal = self._equal(account, name, now)
            return Share(
                min(equal.tokens_per_s, max(one.share.tokens_per_s for one in held)),
                min(equal.concurrency, max(one.share.concurrency for one in held)),
            )
        return Share(
            max(one.tokens_per_s for one in running),
            max(one.concurrency for one in running),
        )

    def _fair(self, pool: Pool, part: Share, sender: str, now: float) -> Share:
        """Return the max-min fair part for a node, and its part of what is left."""
        fresh = now - self._settings.grant_ttl_s
        count = len(self._members)
        floor = self._settings.floor_share / count
        tokens, slots = part.tokens_per_s, float(part.concurrency)
        rates: list[tuple[float, int]] = []
        wanted: list[tuple[float, int]] = []
        own = (0.0, 0.0)
        for name, (report, at) in pool.demands.items():
            if at < fresh:
                continue
            rate = max(report.tokens_per_s, tokens * floor)
            slot = max(report.concurrency, slots * floor)
            rates.append((rate, 1))
            wanted.append((slot, 1))
            if name == sender:
                own = (rate, slot)
        silent = count - len(rates)
        if silent > 0:
            # A node that has not reported is taken to use its equal share.
            rates.append((tokens / count, silent))
            wanted.append((slots / count, silent))
        return Share(
            max_min(rates, tokens, own[0]),
            math.floor(max_min(wanted, slots, own[1]) + 1e-9),
        )
