"""Keep the files, revisions and VMs of the platform stand-in."""

import os
import re
from collections import Counter, deque
from enum import StrEnum
from pathlib import Path

import msgspec

from dandelionpond.adapters.platform import VmList
from dandelionpond.clock import Clock
from dandelionpond.membership.messages import Vm

MAX_SNAPSHOTS = 64
MAX_VM_CHANGES = 100_000

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")


class Mode(StrEnum):
    """Say how the platform answers."""

    UP = "up"
    DOWN = "down"
    SILENT = "silent"


class Snapshot(msgspec.Struct, frozen=True):
    """Hold the folder at one revision: content and revision of each file."""

    revision: int
    files: dict[str, tuple[bytes, int]]


class PlatformStore:
    """Serve a folder on disk; each change of it is one new revision.

    The last `MAX_SNAPSHOTS` revisions are kept for `step_back`. `vm_lag_s` is the age
    in seconds that a change of a VM needs before it is listed.
    """

    def __init__(self, folder: Path, clock: Clock, prefix: str = "settings/") -> None:
        self.mode = Mode.UP
        self.vm_lag_s = 0.0
        self._folder = folder
        self._clock = clock
        self._prefix = prefix
        self._stamps: dict[str, tuple[int, int, int]] = {}
        self._history: deque[Snapshot] = deque([Snapshot(0, {})], maxlen=MAX_SNAPSHOTS)
        self._served: Snapshot | None = None
        self._vm_changes: deque[tuple[float, int, Vm]] = deque(maxlen=MAX_VM_CHANGES)
        self._vms: dict[str, Vm] = {}
        self._vm_revision = 0
        self._vm_listed = 0
        self._calls: Counter[str] = Counter()
        self._second = -1
        self._in_second = 0
        self._max_per_second = 0
        self.scan()

    @property
    def newest_revision(self) -> int:
        """Return the revision of the folder on disk."""
        return self._history[-1].revision

    @property
    def revision(self) -> int:
        """Return the revision that readers see."""
        return self._view.revision

    @property
    def _view(self) -> Snapshot:
        return self._served or self._history[-1]

    def scan(self) -> bool:
        """Look at the folder and return whether it has a new revision.

        Raises `OSError` if the folder cannot be listed.
        """
        stamps: dict[str, tuple[int, int, int]] = {}
        for entry in os.scandir(self._folder):
            if entry.name.startswith(".") or not entry.is_file():
                continue
            found = entry.stat()
            stamp = (found.st_mtime_ns, found.st_size, found.st_ino)
            stamps[entry.name] = stamp
        if stamps == self._stamps:
            return False
        old = self._history[-1]
        revision = old.revision + 1
        files: dict[str, tuple[bytes, int]] = {}
        for name, stamp in stamps.items():
            key = self._prefix + name
            if self._stamps.get(name) == stamp and key in old.files:
                files[key] = old.files[key]
                continue
            try:
                content = (self._folder / name).read_bytes()
            except FileNotFoundError:
                continue
            if key in old.files and old.files[key][0] == content:
                files[key] = old.files[key]
            else:
                files[key] = (content, revision)
        self._stamps = stamps
        if files == old.files:
            return False
        self._history.append(Snapshot(revision, files))
        return True

    def list_files(self, prefix: str) -> dict[str, object]:
        """Return the body of `/v1/list`."""
        view = self._view
        files = {
            name: revision
            for name, (_, revision) in sorted(view.files.items())
            if name.startswith(prefix)
        }
        return {"revision": view.revision, "files": files}

    def read(self, name: str) -> tuple[bytes, int] | None:
        """Return content and revision of a file, or None."""
        return self._view.files.get(name)

    def put(self, name: str, content: bytes) -> bool:
        """Write a file and take the new revision; False if the name is not valid."""
        if not _NAME.fullmatch(name):
            return False
        # A rename is atomic, so a scan never sees half a file.
        partial = self._folder / f".{name}.partial"
        partial.write_bytes(content)
        partial.replace(self._folder / name)
        self.scan()
        return True

    def delete(self, name: str) -> bool:
        """Delete a file and take the new revision; False if there is no such file."""
        if not _NAME.fullmatch(name) or not (self._folder / name).is_file():
            return False
        (self._folder / name).unlink()
        self.scan()
        return True

    def freeze(self, frozen: bool) -> None:
        """Serve the present revision from now on, or the newest one again."""
        self._served = self._view if frozen else None

    def step_back(self, revision: int) -> bool:
        """Serve an older revision until `freeze(False)`; False if it is not kept."""
        for snapshot in self._history:
            if snapshot.revision == revision:
                self._served = snapshot
                return True
        return False

    def renumber(self, revision: int) -> None:
        """Restart with the same files under another, maybe lower, revision number."""
        files = {
            name: (content, min(written, revision))
            for name, (content, written) in self._history[-1].files.items()
        }
        self._history.clear()
        self._history.append(Snapshot(revision, files))
        self._served = None

    def set_vm(self, vm: Vm) -> None:
        """Change a VM; the list shows it after the lag, and state `gone` removes it."""
        self._vm_revision += 1
        at = self._clock.monotonic()
        self._apply_vms(at)
        if len(self._vm_changes) == MAX_VM_CHANGES:
            # At the bound the oldest change is listed early rather than lost.
            self._apply_first()
        self._vm_changes.append((at, self._vm_revision, vm))

    def vms(self) -> VmList:
        """Return the body of `/v1/vms`."""
        self._apply_vms(self._clock.monotonic())
        return VmList(self._vm_listed, tuple(self._vms.values()))

    def count(self, kind: str) -> None:
        """Count one call; a waiting watch counts once."""
        second = int(self._clock.monotonic())
        if second != self._second:
            self._second, self._in_second = second, 0
        self._in_second += 1
        self._max_per_second = max(self._max_per_second, self._in_second)
        self._calls[kind] += 1

    def counters(self) -> dict[str, object]:
        """Return all calls by kind and the most calls in one second."""
        return {
            "calls": dict(self._calls),
            "total": self._calls.total(),
            "max_per_second": self._max_per_second,
        }

    def reset_counters(self) -> None:
        """Start counting again from zero."""
        self._calls.clear()
        self._second, self._in_second, self._max_per_second = -1, 0, 0

    def _apply_vms(self, now: float) -> None:
        while self._vm_changes and self._vm_changes[0][0] + self.vm_lag_s <= now:
            self._apply_first()

    def _apply_first(self) -> None:
        _, self._vm_listed, vm = self._vm_changes.popleft()
        if vm.state == "gone":
            self._vms.pop(vm.name, None)
        else:
            self._vms[vm.name] = vm
