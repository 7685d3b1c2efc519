"""Give the text of engine stand-ins, so that a caller can check its own answer."""

import xxhash

# A rule of thumb for English text; only a prompt without `prompt_tokens` uses it.
BYTES_PER_TOKEN = 4

# The multiplier of Knuth's multiplicative hashing for 64 bits, so that neighbouring
# tokens differ.
_STEP = 0x9E3779B97F4A7C15


def text_seed(model: str, version: str, prompt: str) -> int:
    """Return the number that determines the whole answer to a prompt."""
    return xxhash.xxh3_64_intdigest(f"{model}\x00{version}\x00{prompt}".encode())


def token_text(seed: int, index: int) -> str:
    """Return the text of one token; it ends with a space."""
    return f"{(seed + index * _STEP) >> 20 & 0xFFFFFF:06x} "


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
    """Return one hash for each full block; each covers the prompt up to its end."""
    size = block_tokens * BYTES_PER_TOKEN
    data = prompt.encode()
    running = xxhash.xxh3_64(model.encode())
    hashes = []
    for start in range(0, len(data) - size + 1, size):
        running.update(data[start : start + size])
        hashes.append(running.intdigest())
    return tuple(hashes)
