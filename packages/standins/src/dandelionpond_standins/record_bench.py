"""Measures the CPU time of recording a decision and of reading one record."""

import time

import msgspec

from dandelionpond.record.recorder import Recorder
from dandelionpond.record.registry import Registry
from dandelionpond.record.settings import RecordSettings


class _Input(msgspec.Struct, frozen=True):
    names: tuple[str, ...]
    loads: tuple[float, ...]


class _Output(msgspec.Struct, frozen=True):
    name: str


def main() -> None:
    """Print the CPU time of recording with 0 and 8 subscribers, and of reading."""
    decision = Registry().register(
        "routing", "choose", _Input, _Output, lambda value: value
    )
    recorder = Recorder(RecordSettings(), "0")
    decision_input = _Input(tuple(f"engine-{i}" for i in range(32)), (0.5,) * 32)
    output = _Output("engine-1")
    count = 200_000
    for readers in (0, 8):
        for _ in range(readers):
            recorder.subscribe()
        start = time.process_time()
        for _ in range(count):
            recorder.record(decision, decision_input, output, 1.0, "5f" * 32)
        cpu_us = (time.process_time() - start) / count * 1e6
        print(f"recorded with {readers} readers: {cpu_us:.2f} us each")
    start = time.process_time()
    lines = recorder.lines()
    cpu_us = (time.process_time() - start) / len(lines) * 1e6
    print(f"read: {cpu_us:.1f} us each, {len(lines[0])} B a line")


if __name__ == "__main__":
    main()
