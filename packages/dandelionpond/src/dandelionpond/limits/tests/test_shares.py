"""Test how nodes share the limits of client accounts."""

from hypothesis import given, strategies as st

from dandelionpond.limits.messages import DemandReport, Grant, Share
from dandelionpond.limits.settings import AccountLimits, LimitsSettings
from dandelionpond.limits.shares import LimitShares

SETTINGS = LimitsSettings()
LIMITS = {"a": AccountLimits(tokens_per_s=10_000.0, concurrency=20)}
PART_TOKENS, PART_SLOTS = 5_000.0, 10
STEP_S = 0.5


class Domain:
    """A simulation of the nodes of one failure domain; messages may be lost."""

    def __init__(self, count):
        names = [f"n{i}" for i in range(count)]
        self.now = 0.0
        self.nodes = {name: LimitShares(name, SETTINGS, 0.0) for name in names}
        self.side = dict.fromkeys(names, 0)
        for shares in self.nodes.values():
            shares.configure(LIMITS, {"d": 1.0, "e": 1.0}, "d")
            shares.set_members(tuple(names), 0.0)

    def split(self, sides):
        """Drop messages between the sides; `settle` updates the membership views."""
        self.side = dict(zip(self.nodes, sides, strict=False))

    def settle(self):
        for name, shares in self.nodes.items():
            members = [n for n in self.nodes if self.side[n] == self.side[name]]
            shares.set_members(tuple(members), self.now)

    def step(self, demands, lost=()):
        """Let each node report its demand once and receive the answer."""
        self.now += STEP_S
        for name, tokens in zip(self.nodes, demands, strict=False):
            shares = self.nodes[name]
            if tokens:
                shares.record_demand("a", tokens * STEP_S, int(tokens / 500))
            for send in shares.due_reports(self.now):
                if self.side[send.to] != self.side[name] or name in lost:
                    continue
                for report in send.reports:
                    other = self.nodes[send.to]
                    grant = other.answer_demand(name, report, self.now)
                    if grant:
                        shares.accept_grant(send.to, grant, self.now)

    def total(self, names=None):
        shares = [self.nodes[n].share("a", self.now) for n in names or self.nodes]
        return sum(s.tokens_per_s for s in shares), sum(s.concurrency for s in shares)


demand_lists = st.lists(st.sampled_from([0.0, 100.0, 2_000.0, 9_000.0]), min_size=6)


class TestLimitShares:
    def test_equal_share_without_grants_uses_every_slot(self):
        """Guard against concurrency slots lost to rounding."""
        domain = Domain(4)
        assert domain.total() == (PART_TOKENS, PART_SLOTS)

    def test_grants_follow_demand(self):
        """Guard against refusals by a busy node while other shares are unused."""
        domain = Domain(4)
        for _ in range(160):
            domain.step([4_000.0, 0.0, 0.0, 0.0])
        share = domain.nodes["n0"].share("a", domain.now)
        assert share.tokens_per_s > 0.75 * PART_TOKENS
        assert share.concurrency >= 7

    def test_grant_expires_without_its_aggregator(self):
        """Guard against a large grant that no aggregator counts any more."""
        domain = Domain(4)
        for _ in range(160):
            domain.step([4_000.0, 0.0, 0.0, 0.0])
        domain.now += 2 * SETTINGS.grant_ttl_s
        share = domain.nodes["n0"].share("a", domain.now)
        assert share.tokens_per_s == PART_TOKENS / 4

    def test_new_aggregator_waits_and_unknown_node_gets_no_grant(self):
        """Guard against grants on top of those of the previous aggregator."""
        domain = Domain(4)
        name = domain.nodes["n0"].aggregator("a")
        shares = domain.nodes[name]
        report = DemandReport("a", 1.0, 1.0)
        assert shares.answer_demand("n1", report, 1.0) is None
        assert shares.answer_demand("unknown", report, 100.0) is None
        assert isinstance(shares.answer_demand("n1", report, 100.0), Grant)
        other = next(n for n in domain.nodes if n != name)
        assert domain.nodes[other].answer_demand("n1", report, 100.0) is None

    def test_unknown_account_and_domain_have_no_share(self):
        """Guard against requests admitted by a domain that is not in the settings."""
        shares = LimitShares("n", SETTINGS, 0.0)
        shares.configure(LIMITS, {"d": 1.0}, "other")
        assert shares.share("a", 0.0) == Share(0.0, 0)
        assert shares.share("unknown", 0.0) == Share(0.0, 0)

    @given(
        st.integers(1, 6),
        st.lists(st.tuples(demand_lists, st.sets(st.sampled_from("123"))), max_size=30),
        st.integers(1, 4),
    )
    def test_sum_stays_within_the_domain_share(self, count, rounds, repeat):
        """Guard against an account that exceeds the failure domain's share."""
        domain = Domain(count)
        for demands, lost in rounds:
            # Six steps of 0.5 s each, so a sequence of rounds spans several periods.
            for _ in range(6 * repeat):
                domain.step(demands, {f"n{i}" for i in lost})
                tokens, slots = domain.total()
                assert tokens <= PART_TOKENS + 1e-6
                assert slots <= PART_SLOTS

    @given(
        st.lists(demand_lists, min_size=2, max_size=10),
        st.lists(st.integers(0, 2), min_size=6, max_size=6),
        st.integers(0, 80),
    )
    def test_sum_when_partitioned(self, rounds, sides, delay):
        """Guard against more than one part for each side of a partition."""
        domain = Domain(6)
        for demands in rounds:
            for _ in range(8):
                domain.step(demands)
        domain.split(sides)
        for _ in range(delay):
            domain.step(rounds[0])
        domain.settle()
        settled = domain.now
        for demands in rounds * 3:
            for _ in range(8):
                domain.step(demands)
                tokens, slots = domain.total()
                count = len(set(sides))
                if domain.now < settled + SETTINGS.grant_ttl_s:
                    count = 1
                assert tokens <= count * PART_TOKENS + 1e-6
                assert slots <= count * PART_SLOTS
