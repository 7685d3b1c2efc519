"""Compare ways to choose an owner for a key, in a pure loop.

Compared are rendezvous hashing as in `dandelionpond.hashing`, a Maglev table, a ring
with virtual nodes, and modulo. "Moved" is the share of keys with another owner after a
change; the share that must move is one key in n.
"""

import argparse
import sys
import time
from bisect import bisect
from collections import Counter
from random import Random

import xxhash

from dandelionpond import hashing

SLOTS = 65_537
VIRTUAL_NODES = 100
PROBES = 8


class Rendezvous:
    """Rank all names for each key."""

    def __init__(self, names: list[str]) -> None:
        self.names = names

    def owner(self, key: str) -> str:
        """Return the owner of a key."""
        return hashing.owner(key, self.names) or ""

    def memory(self) -> int:
        """Return the bytes held beyond the names."""
        return sys.getsizeof(self.names)


class Maglev:
    """Fill a table of prime size from one permutation for each name.

    A name of weight w takes w turns for each turn of a name of weight 1. A look-up goes
    on to at most `PROBES` further slots past names that are out of use.
    """

    def __init__(self, names: list[str], weights: dict[str, int] | None = None) -> None:
        self.names = names
        self.out: frozenset[str] = frozenset()
        order = sorted(names)
        steps = []
        for name in order:
            digest = xxhash.xxh3_128_intdigest(name.encode())
            skip = (digest >> 64) % (SLOTS - 1) + 1
            steps.append([digest % SLOTS, skip])
        turns = [(weights or {}).get(name, 1) for name in order]
        self.table = [-1] * SLOTS
        table, filled = self.table, 0
        while filled < SLOTS:
            for index, step in enumerate(steps):
                for _ in range(turns[index]):
                    slot, skip = step
                    while table[slot] >= 0:
                        slot = (slot + skip) % SLOTS
                    table[slot] = index
                    step[0] = slot
                    filled += 1
                    if filled == SLOTS:
                        self.order = order
                        return

    def owner(self, key: str) -> str:
        """Return the owner of a key, or "" if the window holds none in use."""
        slot = xxhash.xxh3_64_intdigest(key.encode()) % SLOTS
        name = self.order[self.table[slot]]
        if name not in self.out:
            return name
        for offset in range(1, PROBES + 1):
            name = self.order[self.table[(slot + offset) % SLOTS]]
            if name not in self.out:
                return name
        return ""

    def memory(self) -> int:
        """Return the bytes held beyond the names."""
        return sys.getsizeof(self.table) + sys.getsizeof(self.order)


class Ring:
    """Place each name at `VIRTUAL_NODES` points of a ring."""

    def __init__(self, names: list[str]) -> None:
        points = sorted(
            (xxhash.xxh3_64_intdigest(f"{name}\x00{index}".encode()), name)
            for name in names
            for index in range(VIRTUAL_NODES)
        )
        self.hashes = [point for point, _ in points]
        self.owners = [name for _, name in points]

    def owner(self, key: str) -> str:
        """Return the owner of a key."""
        place = bisect(self.hashes, xxhash.xxh3_64_intdigest(key.encode()))
        return self.owners[place % len(self.owners)]

    def memory(self) -> int:
        """Return the bytes held beyond the names."""
        lists = sys.getsizeof(self.hashes) + sys.getsizeof(self.owners)
        return lists + 36 * len(self.hashes)


class Modulo:
    """Take the hash modulo the number of names."""

    def __init__(self, names: list[str]) -> None:
        self.names = sorted(names)

    def owner(self, key: str) -> str:
        """Return the owner of a key."""
        return self.names[xxhash.xxh3_64_intdigest(key.encode()) % len(self.names)]

    def memory(self) -> int:
        """Return the bytes held beyond the names."""
        return sys.getsizeof(self.names)


def owners(method: type, names: list[str], keys: list[str]) -> list[str]:
    """Return the owner of each key."""
    built = method(names)
    return [built.owner(key) for key in keys]


def moved(left: list[str], right: list[str]) -> float:
    """Return the share of keys with different owners."""
    return sum(a != b for a, b in zip(left, right, strict=True)) / len(left)


def compare(size: int, count: int, random: Random) -> None:
    """Print the figures of each method for one number of names."""
    names = [f"vm-{index:05}" for index in range(size)]
    keys = [f"key-{index}" for index in range(count)]
    chance = Counter(random.choice(names) for _ in keys)
    print(
        f"\n{size} names, {count} keys: 1/n = {1 / size:.5f}, max/mean of a random "
        f"choice {max(chance.values()) * size / count:.2f}"
    )
    fewer = names[: size // 2] + names[size // 2 + 1 :]
    more = [*names, "vm-new"]
    # Three entries of 20 or more are not known to the other node, and three others are.
    other = [*names[3:], "vm-x", "vm-y", "vm-z"]
    for method in (Rendezvous, Maglev, Ring, Modulo):
        start = time.process_time()
        built = method(names)
        build = time.process_time() - start
        start = time.process_time()
        before = [built.owner(key) for key in keys]
        look_up = (time.process_time() - start) / count
        loads = Counter(before)
        removed, added, differ = (
            moved(before, owners(method, changed, keys))
            for changed in (fewer, more, other)
        )
        print(
            f"{method.__name__:10} removed {removed:.5f} added {added:.5f} "
            f"lists differ {differ:.5f} max/mean "
            f"{max(loads.values()) * size / count:.2f} build {build * 1e3:.2f} ms "
            f"look-up {look_up * 1e6:.2f} us memory {built.memory() / 1e3:.0f} KB",
            flush=True,
        )
    start = time.process_time()
    for key in keys[:200]:
        hashing.top_ranked(key, names, 16)
    top = (time.process_time() - start) / 200
    changed = sum(
        len(
            set(hashing.top_ranked(k, names, 16))
            - set(hashing.top_ranked(k, fewer, 16))
        )
        for k in keys[:200]
    )
    print(
        f"rendezvous top 16: {top * 1e6:.0f} us, a removal changes {changed / 200:.3f} "
        f"of 16 (16/n = {16 / size:.3f})"
    )
    table = Maglev(names)
    for share in (0.1, 0.5):
        table.out = frozenset(random.sample(names, int(size * share)))
        found = Counter(table.owner(key) for key in keys)
        missing = found.pop("", 0)
        mean = (count - missing) / (size - len(table.out))
        print(
            f"maglev with {share:.0%} out of use: {missing / count:.5f} not found in "
            f"{PROBES} probes, max/mean {max(found.values()) / mean:.2f}"
        )
    heavy = names[0]
    weighted = Maglev(names, {heavy: 3})
    share = weighted.table.count(weighted.order.index(heavy)) / SLOTS
    print(f"maglev weight 3: share {share:.5f}, exact {3 / (size + 2):.5f}")


def main() -> None:
    """Run the comparison for each number of names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[20, 200, 3500])
    parser.add_argument("--keys", type=int, default=20_000)
    options = parser.parse_args()
    for size in options.sizes:
        compare(size, options.keys if size <= 400 else options.keys // 4, Random(1))


if __name__ == "__main__":
    main()
