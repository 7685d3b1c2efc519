"""Test the ranking of names for a key."""

from dandelionpond import hashing


class TestRanking:
    def test_owner_is_first_of_top_and_only_its_keys_move(self):
        """Guard against a hash function that refuses text, and against churn."""
        names = [f"n{index}" for index in range(20)]
        for key in map(str, range(200)):
            best, second = hashing.top_ranked(key, names, 2)
            assert hashing.owner(key, names) == best
            fewer = [name for name in names if name != best]
            assert hashing.owner(key, fewer) == second
        assert hashing.owner("key", []) is None
