"""Tests that the retries of all nodes stay within the shared budget."""

from random import Random

from dandelionpond.forwarding.budget import BudgetSettings, RetryBudgetShare

SETTINGS = BudgetSettings(ratio=0.2, window_s=10.0, slack=219.0)


class TestRetryBudgetShare:
    def test_no_window_exceeds_the_budget(self):
        """The retries of all nodes together must not exceed the budget.

        Each node only limits its own share.
        """
        random = Random(5)
        nodes = 15
        shares = [RetryBudgetShare(SETTINGS, nodes, 0.0) for _ in range(nodes)]
        retried_at, requested_at = [], []
        now = 0.0
        while now < 60.0:
            now += random.expovariate(40.0)
            share = random.choice(shares)
            share.add_request(now)
            requested_at.append(now)
            # Every request fails and is retried as often as the budget permits.
            while share.take(now):
                retried_at.append(now)
        for start in range(0, 50):
            retries = sum(start <= at < start + 10 for at in retried_at)
            requests = sum(start <= at < start + 10 for at in requested_at)
            assert retries <= SETTINGS.ratio * requests + SETTINGS.slack

    def test_refusals_are_counted(self):
        """A retry that the budget refuses must show up in the counters."""
        share = RetryBudgetShare(BudgetSettings(0.0, 10.0, 0.0), 1, 0.0)
        assert share.take(0.0)
        assert not share.take(0.0)
        assert (share.taken, share.refused) == (1, 1)

    def test_more_nodes_have_smaller_shares(self):
        """A node's share must shrink as the number of nodes grows."""
        few_nodes, many_nodes = (
            RetryBudgetShare(SETTINGS, 4, 0.0),
            RetryBudgetShare(SETTINGS, 100, 0.0),
        )

        def spend_all(share):
            return sum(1 for _ in range(1000) if share.take(0.0))

        assert spend_all(few_nodes) > 5 * spend_all(many_nodes)
