"""Share fleet-wide limits between nodes without shared writes."""

import math

import msgspec

from dandelionpond.hashing import owner, score
from dandelionpond.limits.settings import AccountLimits, LimitsSettings

# The design's bound on peers; beyond it the oldest departed node is no longer counted.
_MAX_DEPARTED = 8_192


class Share(msgspec.Struct, frozen=True):
    """Hold a part of a limit: tokens per second and requests in flight."""

    tokens_per_s: float
    concurrency: int


class DemandReport(msgspec.Struct, frozen=True):
    """Report what a node could use of an account's limit."""

    account: str
    tokens_per_s: float
    concurrency: float


class Grant(msgspec.Struct, frozen=True):
    """Give a node a part of an account's limit for `ttl_s` seconds."""

    account: str
    tokens_per_s: float
    concurrency: int
    ttl_s: float


class SendDemand(msgspec.Struct, frozen=True, tag=True):
    """Ask for demand to be sent to the aggregator node `to`."""

    to: str
    reports: tuple[DemandReport, ...]


class _Held(msgspec.Struct, frozen=True):
    share: Share
    until: float


class _Demand(msgspec.Struct):
    rate: float = 0.0
    arrived: float = 0.0
    concurrency: float = 0.0
    sent_at: float = -math.inf


class _Pool:
    """Track what an aggregator gave away of one account's part."""

    __slots__ = ("demands", "granted")

    def __init__(self) -> None:
        self.demands: dict[str, tuple[DemandReport, float]] = {}
        self.granted: dict[str, list[_Held]] = {}


class ShareBook:
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
        "_demands",
        "_departed",
        "_grants",
        "_limits",
        "_members",
        "_node",
        "_part",
        "_pools",
        "_ranks",
        "_reported_at",
        "_settings",
        "refused_demands",
    )

    def __init__(self, node: str, settings: LimitsSettings, now: float) -> None:
        self._node = node
        self._settings = settings
        self._part = 1.0
        self._limits: dict[str, AccountLimits] = {}
        self._members: tuple[str, ...] = (node,)
        # Nodes that left the view, and the time until which they are counted.
        self._departed: dict[str, float] = {}
        self._ranks: dict[str, int] = {}
        self._demands: dict[str, _Demand] = {}
        self._grants: dict[str, _Held] = {}
        self._pools: dict[str, _Pool] = {}
        self._aggregated_since: dict[str, float] = {}
        self._reported_at = now
        self.refused_demands = 0

    def configure(
        self, limits: dict[str, AccountLimits], shares: dict[str, float], domain: str
    ) -> None:
        """Set the limits and the domains' relative parts; unknown domains get none."""
        total = sum(shares.values())
        self._part = shares.get(domain, 0.0) / total if total > 0 else 0.0
        self._limits = dict(limits)
        for table in (self._demands, self._grants, self._pools, self._aggregated_since):
            for name in [name for name in table if name not in limits]:
                del table[name]

    def set_members(self, names: tuple[str, ...], now: float) -> None:
        """Replace the live nodes of the failure domain, this one included."""
        members = tuple(sorted({*names, self._node}))
        for name in self._members:
            if name not in members:
                self._departed[name] = now + self._settings.grant_ttl_s
        for name in members:
            self._departed.pop(name, None)
        while len(self._departed) > _MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]
        self._members = members
        self._ranks.clear()
        for account in self._limits:
            if self.aggregator(account) != self._node:
                self._aggregated_since.pop(account, None)
                self._pools.pop(account, None)
            else:
                self._aggregated_since.setdefault(account, now)

    def aggregator(self, account: str) -> str:
        """Return the node that collects demand for an account."""
        return owner(account, self._members) or self._node

    def part(self, account: str) -> Share:
        """Return the failure domain's fixed part of an account's limit."""
        limits = self._limits.get(account)
        if limits is None:
            return Share(0.0, 0)
        tokens = limits.tokens_per_s * self._part
        return Share(tokens, math.floor(limits.concurrency * self._part + 1e-9))

    def arrived(self, account: str, tokens: float, in_flight: int) -> None:
        """Record demand, refused requests included."""
        if account not in self._limits:
            self.refused_demands += 1
            return
        demand = self._demands.setdefault(account, _Demand())
        demand.arrived += tokens
        demand.concurrency = max(demand.concurrency, in_flight + 1.0)

    def reports(self, now: float) -> list[SendDemand]:
        """Return the demand to send, once each `report_interval_s`.

        An account without demand is reported twice in each `grant_ttl_s`, because a
        node that does not report keeps its equal share, used or not.
        """
        elapsed = now - self._reported_at
        if elapsed < self._settings.report_interval_s:
            return []
        self._reported_at = now
        sends: dict[str, list[DemandReport]] = {}
        for account in self._limits:
            demand = self._demands.setdefault(account, _Demand())
            # Half of the old value remains, so one quiet second keeps most of a share.
            demand.rate = 0.5 * demand.rate + 0.5 * demand.arrived / elapsed
            demand.arrived = 0.0
            idle_s = now - demand.sent_at
            if demand.rate < 1.0 and idle_s < self._settings.grant_ttl_s / 2:
                continue
            demand.sent_at = now
            report = DemandReport(account, demand.rate, demand.concurrency)
            demand.concurrency *= 0.5
            sends.setdefault(self.aggregator(account), []).append(report)
        return [SendDemand(to, tuple(reports)) for to, reports in sends.items()]

    def demanded(self, sender: str, report: DemandReport, now: float) -> Grant | None:
        """Answer a node's demand as aggregator; None if this node must not grant."""
        account = report.account
        since = self._aggregated_since.get(account)
        if sender not in self._members or since is None or account not in self._limits:
            self.refused_demands += 1
            return None
        pool = self._pools.setdefault(account, _Pool())
        ttl = self._settings.grant_ttl_s
        for table in (pool.demands, pool.granted):
            for name in [name for name in table if name not in self._members]:
                # A granted part stays counted until the grant has ended.
                if table is pool.demands or self._has_ended(pool, name, now):
                    del table[name]
        pool.demands[sender] = (report, now)
        if now - since < ttl:
            return None
        part = self.part(account)
        counted = [
            self._counted(pool, account, name, now)
            for name in {*self._basis(now), *pool.granted} - {sender}
        ]
        free_tokens = max(0.0, part.tokens_per_s - sum(c.tokens_per_s for c in counted))
        free_slots = max(0, part.concurrency - sum(c.concurrency for c in counted))
        fair = self._fair(pool, part, sender, now)
        share = Share(
            min(free_tokens, fair.tokens_per_s), min(free_slots, fair.concurrency)
        )
        held = [one for one in pool.granted.get(sender, []) if one.until > now]
        # Only the largest of the running grants counts, so one entry for each size is
        # enough and the list stays short.
        held = [one for one in held if not _covers(share, one.share)]
        pool.granted[sender] = [*held, _Held(share, now + 2 * ttl)]
        return Grant(account, share.tokens_per_s, share.concurrency, ttl)

    def granted(self, sender: str, grant: Grant, asked_at: float) -> None:
        """Accept a grant; its time runs from the question, not from the answer."""
        if grant.account not in self._limits:
            return
        if sender != self.aggregator(grant.account):
            return
        share = Share(grant.tokens_per_s, grant.concurrency)
        self._grants[grant.account] = _Held(share, asked_at + grant.ttl_s)

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
        part = self.part(account)
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

    def _has_ended(self, pool: _Pool, name: str, now: float) -> bool:
        return all(one.until <= now for one in pool.granted[name])

    def _counted(self, pool: _Pool, account: str, name: str, now: float) -> Share:
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

    def _fair(self, pool: _Pool, part: Share, sender: str, now: float) -> Share:
        """Return the max-min fair part for a node, and its part of what is left."""
        fresh = now - self._settings.grant_ttl_s
        count = len(self._members)
        floor = self._settings.floor_share / count
        rates: dict[str, float] = {}
        slots: dict[str, float] = {}
        for name in self._members:
            report, at = pool.demands.get(name, (None, -math.inf))
            known = report is not None and at >= fresh
            rate = (
                report.tokens_per_s if report and known else part.tokens_per_s / count
            )
            slot = report.concurrency if report and known else part.concurrency / count
            rates[name] = max(rate, part.tokens_per_s * floor)
            slots[name] = max(slot, part.concurrency * floor)
        tokens = _max_min(rates, part.tokens_per_s, sender)
        return Share(
            tokens, math.floor(_max_min(slots, part.concurrency, sender) + 1e-9)
        )


def _covers(larger: Share, smaller: Share) -> bool:
    return (
        larger.tokens_per_s >= smaller.tokens_per_s
        and larger.concurrency >= smaller.concurrency
    )


def _max_min(demands: dict[str, float], total: float, name: str) -> float:
    """Return the max-min fair part of a total; what is left is shared evenly."""
    left = total
    ordered = sorted(demands.items(), key=lambda item: (item[1], item[0]))
    parts: dict[str, float] = {}
    for index, (key, demand) in enumerate(ordered):
        parts[key] = min(demand, left / (len(ordered) - index))
        left -= parts[key]
    return parts[name] + max(0.0, left) / len(ordered)
