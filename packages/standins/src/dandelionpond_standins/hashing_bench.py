"""Compares hashing methods that choose an owner for a key, without any I/O.

The methods are rendezvous hashing as in `dandelionpond.hashing`, a Maglev table, a hash
ring with virtual nodes, and modulo hashing. A key is moved if a change of the names
gives it another owner. If one name of n is added or removed, about one key in n has to
move.
"""

import argparse
import sys
import time
from bisect import bisect
from collections import Counter
from random import Random

import xxhash

from dandelionpond import hashing

TABLE_SLOTS = 65_537
VIRTUAL_NODES = 100
MAX_PROBES = 8


class Rendezvous:
    """Rendezvous hashing, which scores every name for each key."""

    def __init__(self, names: list[str]) -> None:
        self.names = names

    def owner(self, key: str) -> str:
        """Return the owner of a key."""
        return hashing.owner(key, self.names) or ""

    def memory_bytes(self) -> int:
        """Return the memory in bytes, not counting the names."""
        return sys.getsizeof(self.names)


class Maglev:
    """Maglev hashing: a table of prime size, filled from one permutation per name.

    In each round of filling, a name of weight w takes w slots. If the name in the slot
    of a key is out of use, a lookup tries at most `MAX_PROBES` further slots.
    """

    def __init__(self, names: list[str], weights: dict[str, int] | None = None) -> None:
        self.names = names
        self.excluded: frozenset[str] = frozenset()
        sorted_names = sorted(names)
        cursors = []
        for name in sorted_names:
            digest = xxhash.xxh3_128_intdigest(name.encode())
            skip = (digest >> 64) % (TABLE_SLOTS - 1) + 1
            cursors.append([digest % TABLE_SLOTS, skip])
        slots_per_round = [(weights or {}).get(name, 1) for name in sorted_names]
        self.table = [-1] * TABLE_SLOTS
        table, filled = self.table, 0
        while filled < TABLE_SLOTS:
            for index, cursor in enumerate(cursors):
                for _ in range(slots_per_round[index]):
                    slot, skip = cursor
                    while table[slot] >= 0:
                        slot = (slot + skip) % TABLE_SLOTS
                    table[slot] = index
                    cursor[0] = slot
                    filled += 1
                    if filled == TABLE_SLOTS:
                        self.sorted_names = sorted_names
                        return

    def owner(self, key: str) -> str:
        """Return the owner of a key, or "" if no probed name is in use."""
        slot = xxhash.xxh3_64_intdigest(key.encode()) % TABLE_SLOTS
        name = self.sorted_names[self.table[slot]]
        if name not in self.excluded:
            return name
        for offset in range(1, MAX_PROBES + 1):
            name = self.sorted_names[self.table[(slot + offset) % TABLE_SLOTS]]
            if name not in self.excluded:
                return name
        return ""

    def memory_bytes(self) -> int:
        """Return the memory in bytes, not counting the names."""
        return sys.getsizeof(self.table) + sys.getsizeof(self.sorted_names)


class Ring:
    """Hash ring with `VIRTUAL_NODES` points for each name."""

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
        point_index = bisect(self.hashes, xxhash.xxh3_64_intdigest(key.encode()))
        return self.owners[point_index % len(self.owners)]

    def memory_bytes(self) -> int:
        """Return the memory in bytes, not counting the names."""
        list_bytes = sys.getsizeof(self.hashes) + sys.getsizeof(self.owners)
        # The hashes are int objects of up to 36 bytes each.
        return list_bytes + 36 * len(self.hashes)


class Modulo:
    """Modulo hashing: the hash of the key modulo the number of names."""

    def __init__(self, names: list[str]) -> None:
        self.names = sorted(names)

    def owner(self, key: str) -> str:
        """Return the owner of a key."""
        return self.names[xxhash.xxh3_64_intdigest(key.encode()) % len(self.names)]

    def memory_bytes(self) -> int:
        """Return the memory in bytes, not counting the names."""
        return sys.getsizeof(self.names)


def find_owners(method: type, names: list[str], keys: list[str]) -> list[str]:
    """Return the owner of each key by one of the hashing classes."""
    assignment = method(names)
    return [assignment.owner(key) for key in keys]


def moved_share(before: list[str], after: list[str]) -> float:
    """Return the share of keys whose owner changed, from 0 to 1."""
    return sum(a != b for a, b in zip(before, after, strict=True)) / len(before)


def compare(name_count: int, key_count: int, random: Random) -> None:
    """Print moved keys, balance, time and memory of each method.

    The balance is given as the largest number of keys of a name over the mean, next to
    that of random owners. `random` draws those owners and the names out of use.
    """
    names = [f"vm-{index:05}" for index in range(name_count)]
    keys = [f"key-{index}" for index in range(key_count)]
    random_loads = Counter(random.choice(names) for _ in keys)
    print(
        f"\n{name_count} names, {key_count} keys: 1/n = {1 / name_count:.5f}, max/mean "
        f"of a random choice {max(random_loads.values()) * name_count / key_count:.2f}"
    )
    one_removed = names[: name_count // 2] + names[name_count // 2 + 1 :]
    one_added = [*names, "vm-new"]
    # The list of another node: it lacks three of the 20 or more names and has three
    # others in their place.
    three_replaced = [*names[3:], "vm-x", "vm-y", "vm-z"]
    for method in (Rendezvous, Maglev, Ring, Modulo):
        start = time.process_time()
        assignment = method(names)
        build_s = time.process_time() - start
        start = time.process_time()
        owners_before = [assignment.owner(key) for key in keys]
        lookup_s = (time.process_time() - start) / key_count
        loads = Counter(owners_before)
        removed, added, replaced = (
            moved_share(owners_before, find_owners(method, changed, keys))
            for changed in (one_removed, one_added, three_replaced)
        )
        print(
            f"{method.__name__:10} removed {removed:.5f} added {added:.5f} "
            f"lists differ {replaced:.5f} max/mean "
            f"{max(loads.values()) * name_count / key_count:.2f} "
            f"build {build_s * 1e3:.2f} ms look-up {lookup_s * 1e6:.2f} us "
            f"memory {assignment.memory_bytes() / 1e3:.0f} KB",
            flush=True,
        )
    start = time.process_time()
    for key in keys[:200]:
        hashing.top_ranked(key, names, 16)
    top_ranked_s = (time.process_time() - start) / 200
    changed_names = sum(
        len(
            set(hashing.top_ranked(key, names, 16))
            - set(hashing.top_ranked(key, one_removed, 16))
        )
        for key in keys[:200]
    )
    print(
        f"rendezvous top 16: {top_ranked_s * 1e6:.0f} us, a removal changes "
        f"{changed_names / 200:.3f} of 16 (16/n = {16 / name_count:.3f})"
    )
    table = Maglev(names)
    for share in (0.1, 0.5):
        table.excluded = frozenset(random.sample(names, int(name_count * share)))
        loads = Counter(table.owner(key) for key in keys)
        unresolved = loads.pop("", 0)
        mean = (key_count - unresolved) / (name_count - len(table.excluded))
        print(
            f"maglev with {share:.0%} out of use: {unresolved / key_count:.5f} not "
            f"found in {MAX_PROBES} probes, max/mean {max(loads.values()) / mean:.2f}"
        )
    heavy_name = names[0]
    weighted_table = Maglev(names, {heavy_name: 3})
    share = (
        weighted_table.table.count(weighted_table.sorted_names.index(heavy_name))
        / TABLE_SLOTS
    )
    print(f"maglev weight 3: share {share:.5f}, exact {3 / (name_count + 2):.5f}")


def main() -> None:
    """Run the comparison for each number of names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[20, 200, 3500])
    parser.add_argument("--keys", type=int, default=20_000)
    options = parser.parse_args()
    for name_count in options.sizes:
        compare(
            name_count,
            options.keys if name_count <= 400 else options.keys // 4,
            Random(1),
        )


if __name__ == "__main__":
    main()
