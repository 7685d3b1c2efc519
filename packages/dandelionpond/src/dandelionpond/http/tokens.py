"""Estimate prompt lengths and hash prompt prefixes without a tokenizer.

Engines own the tokenizers; a node that held one for each of 37 models would spend more
memory on them than on everything else. Engines report the exact count at the end.
"""

import xxhash

# Typical English text has about 4 bytes a token.
BYTES_PER_TOKEN = 4
# Blocks past this count are not hashed; 1,024 blocks of 256 cover 262,144 tokens.
MAX_HASHED_BLOCKS = 1_024


def estimate_tokens(prompt: bytes) -> int:
    """Return the estimated number of tokens of a prompt in UTF-8."""
    return max(1, -(-len(prompt) // BYTES_PER_TOKEN))


def prefix_hashes(model: str, prompt: bytes, block_tokens: int) -> tuple[int, ...]:
    """Return a chained 64-bit hash for each whole block of a prompt.

    Each hash covers the prompt up to the end of its block and the model, so equal
    hashes mean equal prefixes on the same model. A block has `block_tokens` tokens.
    """
    size = block_tokens * BYTES_PER_TOKEN
    blocks = min(len(prompt) // size, MAX_HASHED_BLOCKS)
    state = xxhash.xxh3_64(model.encode())
    view = memoryview(prompt)
    hashes = []
    for index in range(blocks):
        state.update(view[index * size : (index + 1) * size])
        hashes.append(state.intdigest())
    return tuple(hashes)
