"""Rank names for a key by rendezvous (highest random weight) hashing.

See Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
Equal scores are ordered by name.
"""

import heapq
from collections.abc import Iterable

import xxhash


def score(key: str, name: str) -> int:
    """Return the 64-bit score of a name for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{name}".encode())


def top_ranked(key: str, names: Iterable[str], count: int) -> list[str]:
    """Return up to `count` names with the highest scores for a key, best first."""
    return heapq.nlargest(count, names, key=lambda name: (score(key, name), name))


def owner(key: str, names: Iterable[str]) -> str | None:
    """Return the name with the highest score for a key, or None without names."""
    return max(names, key=lambda name: (score(key, name), name), default=None)


def is_owner(key: str, name: str, names: Iterable[str]) -> bool:
    """Return whether `name`, one of `names`, has the highest score for a key.

    This stops at the first higher score, after about ln(n) of n names on average,
    whereas `owner` always computes the scores of all names.
    """
    own_rank = (score(key, name), name)
    return all((score(key, other), other) <= own_rank for other in names)
