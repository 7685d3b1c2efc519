"""Prompt length estimates and prefix hashes that need no tokenizer.

Only engines have tokenizers: in a node, one for each of 37 models would take more
memory than everything else. Engines report the exact count at the end of an answer.
"""

import xxhash

# Typical for English text.
BYTES_PER_TOKEN = 4
# Later blocks are not hashed; 1,024 blocks of 256 tokens cover 262,144 tokens.
MAX_HASHED_BLOCKS = 1_024


def estimate_tokens(prompt: bytes) -> int:
    """Return the estimated number of tokens of a UTF-8 prompt."""
    return max(1, -(-len(prompt) // BYTES_PER_TOKEN))


def prefix_hashes(model: str, prompt: bytes, block_tokens: int) -> tuple[int, ...]:
    """Return a chained 64-bit hash for each full block of a prompt.

    Each hash covers the model and the prompt up to the end of its block, so equal
    hashes mean equal prefixes on the same model. A block has `block_tokens` tokens.
    """
    block_bytes = block_tokens * BYTES_PER_TOKEN
    block_count = min(len(prompt) // block_bytes, MAX_HASHED_BLOCKS)
    hasher = xxhash.xxh3_64(model.encode())
    view = memoryview(prompt)
    hashes = []
    for block in range(block_count):
        hasher.update(view[block * block_bytes : (block + 1) * block_bytes])
        hashes.append(hasher.intdigest())
    return tuple(hashes)
