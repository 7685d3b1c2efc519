"""Test rendezvous hashing."""

from dandelionpond import hashing


class TestRanking:
    def test_owner_is_ranked_first_and_only_its_keys_move(self):
        """Guard against a hash function that rejects text, and against needless moves.

        When a name is removed, its keys must move to the name that was ranked second.
        """
        names = [f"n{index}" for index in range(20)]
        for key in map(str, range(200)):
            first, second = hashing.top_ranked(key, names, 2)
            assert hashing.owner(key, names) == first
            remaining = [name for name in names if name != first]
            assert hashing.owner(key, remaining) == second
        assert hashing.owner("key", []) is None
