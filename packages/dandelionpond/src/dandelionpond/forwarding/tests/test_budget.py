"""Test that repeated sends of all nodes stay within the shared budget."""

from random import Random

from dandelionpond.forwarding.budget import BudgetSettings, RetryBudgetShare

SETTINGS = BudgetSettings(ratio=0.2, window_s=10.0, slack=219.0)


class TestRetryShare:
    def test_no_window_is_over_the_budget(self):
        """Guard against a fleet whose nodes each keep a budget and all together not."""
        random = Random(5)
        nodes = 15
        shares = [RetryBudgetShare(SETTINGS, nodes, 0.0) for _ in range(nodes)]
        sent, asked = [], []
        now = 0.0
        while now < 60.0:
            now += random.expovariate(40.0)
            share = random.choice(shares)
            share.earn(now)
            asked.append(now)
            # Every request fails and is repeated as often as the budget permits.
            while share.take(now):
                sent.append(now)
        for start in range(0, 50):
            repeats = sum(start <= at < start + 10 for at in sent)
            requests = sum(start <= at < start + 10 for at in asked)
            assert repeats <= SETTINGS.ratio * requests + SETTINGS.slack

    def test_refusals_are_counted(self):
        """Guard against a silent bound."""
        share = RetryBudgetShare(BudgetSettings(0.0, 10.0, 0.0), 1, 0.0)
        assert share.take(0.0)
        assert not share.take(0.0)
        assert (share.taken, share.refused) == (1, 1)

    def test_more_nodes_have_smaller_shares(self):
        """Guard against shares that stay large when a fleet grows."""
        small, large = (
            RetryBudgetShare(SETTINGS, 4, 0.0),
            RetryBudgetShare(SETTINGS, 100, 0.0),
        )

        def spend(share):
            return sum(1 for _ in range(1000) if share.take(0.0))

        assert spend(small) > 5 * spend(large)
