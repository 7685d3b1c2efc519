"""Blocks of a prompt whose parts are named by identifiers."""

import xxhash

# Later blocks are left out, as for prompts that are hashed by their text.
MAX_BLOCKS = 1_024


def split_parts(
    part_ids: tuple[str, ...], part_tokens: tuple[int, ...], block_tokens: int
) -> tuple[int, ...]:
    """Return a chained 64-bit hash for each full block of a prompt.

    Equal hashes mean equal beginnings. Parts with fewer tokens than a block share one
    with their successors; a block ends where the prompt has that many tokens.
    """
    blocks: list[int] = []
    hasher = xxhash.xxh3_64()
    total = 0
    for part_id, tokens in zip(part_ids, part_tokens, strict=True):
        hasher.update(f"{part_id}:{tokens};".encode())
        total += tokens
        while (len(blocks) + 1) * block_tokens <= total:
            if len(blocks) == MAX_BLOCKS:
                return tuple(blocks)
            block = hasher.copy()
            block.update(len(blocks).to_bytes(8, "little"))
            blocks.append(block.intdigest())
    return tuple(blocks)
