"""Text that engine stand-ins generate, and hashes of prompts.

The text follows from the request, so that a client can check the answer it receives.
"""

import xxhash

# Rule of thumb for English text, used only if a request does not state its
# `prompt_tokens` or `prefix_hashes`.
BYTES_PER_TOKEN = 4

# Multiplier of Knuth's multiplicative hashing for 64 bits. It makes the texts of
# consecutive tokens differ.
_HASH_MULTIPLIER = 0x9E3779B97F4A7C15


def text_seed(model: str, version: str, prompt: str) -> int:
    """Return the seed that determines the text of the answer to a prompt."""
    return xxhash.xxh3_64_intdigest(f"{model}\x00{version}\x00{prompt}".encode())


def token_text(seed: int, index: int) -> str:
    """Return the text of the token at an index; it ends with a space."""
    return f"{(seed + index * _HASH_MULTIPLIER) >> 20 & 0xFFFFFF:06x} "


def expected_text(
    model: str, version: str, prompt: str, count: int, from_offset: int = 0
) -> str:
    """Return the text of tokens `from_offset` to `count - 1` of the answer.

    A prompt given only by its length is written as `#<prompt_tokens>`.
    """
    seed = text_seed(model, version, prompt)
    return "".join(token_text(seed, index) for index in range(from_offset, count))


def estimate_tokens(prompt: str) -> int:
    """Estimate the tokens of a prompt text, at least one."""
    return max(1, len(prompt.encode()) // BYTES_PER_TOKEN)


def block_hashes(model: str, prompt: str, block_tokens: int) -> tuple[int, ...]:
    """Return a hash for each full block of a prompt.

    Each hash covers the model and the prompt up to the end of the block.
    """
    block_bytes = block_tokens * BYTES_PER_TOKEN
    data = prompt.encode()
    prefix_digest = xxhash.xxh3_64(model.encode())
    hashes = []
    for start in range(0, len(data) - block_bytes + 1, block_bytes):
        prefix_digest.update(data[start : start + block_bytes])
        hashes.append(prefix_digest.intdigest())
    return tuple(hashes)
