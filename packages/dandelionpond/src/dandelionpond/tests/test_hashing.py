"""Test rendezvous hashing."""

from dandelionpond import hashing


class TestRendezvous:
    def test_top_is_stable_when_an_unrelated_name_leaves(self):
        """Guard against a hash call that fails or moves keys between names left."""
        names = [f"node-{index}" for index in range(20)]
        best = hashing.top("key", names, 3)
        assert hashing.owner("key", names) == best[0]
        rest = [name for name in names if name in best or name == "node-7"]
        assert hashing.top("key", rest, 3)[0] == best[0]
        assert hashing.owner("key", []) is None
