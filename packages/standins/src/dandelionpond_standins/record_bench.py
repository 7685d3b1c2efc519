"""Measure what one decision record costs, in processor time."""

import time

import msgspec

from dandelionpond.record.recorder import Recorder
from dandelionpond.record.registry import Registry
from dandelionpond.record.settings import RecordSettings


class _Ask(msgspec.Struct, frozen=True):
    names: tuple[str, ...]
    loads: tuple[float, ...]


class _Choice(msgspec.Struct, frozen=True):
    name: str


def main() -> None:
    """Print the cost of recording with and without readers, and of reading."""
    decision = Registry().register("routing", "choose", _Ask, _Choice, lambda ask: ask)
    recorder = Recorder(RecordSettings(), "0")
    ask = _Ask(tuple(f"engine-{i}" for i in range(32)), (0.5,) * 32)
    choice = _Choice("engine-1")
    count = 200_000
    for readers in (0, 8):
        for _ in range(readers):
            recorder.subscribe()
        start = time.process_time()
        for _ in range(count):
            recorder.record(decision, ask, choice, 1.0, "5f" * 32)
        spent = (time.process_time() - start) / count * 1e6
        print(f"recorded with {readers} readers: {spent:.2f} us each")
    start = time.process_time()
    lines = recorder.lines()
    spent = (time.process_time() - start) / len(lines) * 1e6
    print(f"read: {spent:.1f} us each, {len(lines[0])} B a line")


if __name__ == "__main__":
    main()
