"""Tests of token estimates and prefix hashes."""

from dandelionpond.http.tokens import estimate_tokens, prefix_hashes


class TestPrefixHashes:
    def test_hash_depends_on_all_earlier_blocks_and_on_the_model(self):
        """Guard against equal hashes for equal blocks after different prefixes."""
        first = prefix_hashes("m", b"aaaabbbbcc", 1)
        second = prefix_hashes("m", b"zzzzbbbb", 1)
        assert len(first) == 2
        assert first[1] != second[1]
        assert prefix_hashes("m", b"aaaabbbb", 1) == first
        assert prefix_hashes("other", b"aaaabbbb", 1)[1] != first[1]

    def test_block_size_is_configurable(self):
        """Guard against blocks that do not have `block_tokens` tokens."""
        small_blocks = prefix_hashes("m", b"x" * 64, 2)
        assert len(small_blocks) == 8
        assert prefix_hashes("m", b"x" * 64, 4) == small_blocks[1::2]


class TestEstimateTokens:
    def test_partial_token_is_rounded_up(self):
        """Guard against a short prompt that counts as 0 tokens."""
        assert [estimate_tokens(b"x" * n) for n in (0, 1, 4, 5)] == [1, 1, 1, 2]
