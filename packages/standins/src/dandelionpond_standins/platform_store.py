"""Files, revisions and VMs of the platform stand-in."""

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

_FILE_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")


class Mode(StrEnum):
    """How the platform answers: normally, with status 503, or not at all."""

    UP = "up"
    DOWN = "down"
    SILENT = "silent"


class Snapshot(msgspec.Struct, frozen=True):
    """The folder at one revision, with the content and revision of each file."""

    revision: int
    files: dict[str, tuple[bytes, int]]


class PlatformStore:
    """A folder on disk with revisions, and a list of VMs.

    Each change found in the folder is one new revision. The last `MAX_SNAPSHOTS`
    revisions are kept for `step_back`. A change of a VM is listed after `vm_lag_s`
    seconds.
    """

    def __init__(self, folder: Path, clock: Clock, prefix: str = "settings/") -> None:
        self.mode = Mode.UP
        self.vm_lag_s = 0.0
        self._folder = folder
        self._clock = clock
        self._prefix = prefix
        self._file_stamps: dict[str, tuple[int, int, int]] = {}
        self._snapshots: deque[Snapshot] = deque(
            [Snapshot(0, {})], maxlen=MAX_SNAPSHOTS
        )
        self._pinned_snapshot: Snapshot | None = None
        self._vm_changes: deque[tuple[float, int, Vm]] = deque(maxlen=MAX_VM_CHANGES)
        self._vms: dict[str, Vm] = {}
        self._vm_revision = 0
        self._listed_vm_revision = 0
        self._call_counts: Counter[str] = Counter()
        self._current_second = -1
        self._calls_in_second = 0
        self._max_per_second = 0
        self.scan()

    @property
    def newest_revision(self) -> int:
        """Return the revision of the folder at its last scan."""
        return self._snapshots[-1].revision

    @property
    def revision(self) -> int:
        """Return the revision that is served, which may be an older one."""
        return self._served_snapshot.revision

    @property
    def _served_snapshot(self) -> Snapshot:
        return self._pinned_snapshot or self._snapshots[-1]

    def scan(self) -> bool:
        """Scan the folder and return whether it has a new revision.

        Raise `OSError` if the folder cannot be listed.
        """
        stamps: dict[str, tuple[int, int, int]] = {}
        for entry in os.scandir(self._folder):
            if entry.name.startswith(".") or not entry.is_file():
                continue
            status = entry.stat()
            stamp = (status.st_mtime_ns, status.st_size, status.st_ino)
            stamps[entry.name] = stamp
        if stamps == self._file_stamps:
            return False
        previous = self._snapshots[-1]
        revision = previous.revision + 1
        files: dict[str, tuple[bytes, int]] = {}
        for name, stamp in stamps.items():
            key = self._prefix + name
            if self._file_stamps.get(name) == stamp and key in previous.files:
                files[key] = previous.files[key]
                continue
            try:
                content = (self._folder / name).read_bytes()
            except FileNotFoundError:
                continue
            if key in previous.files and previous.files[key][0] == content:
                files[key] = previous.files[key]
            else:
                files[key] = (content, revision)
        self._file_stamps = stamps
        if files == previous.files:
            return False
        self._snapshots.append(Snapshot(revision, files))
        return True

    def list_files(self, prefix: str) -> dict[str, object]:
        """Return the body of `/v1/list`."""
        snapshot = self._served_snapshot
        files = {
            name: revision
            for name, (_, revision) in sorted(snapshot.files.items())
            if name.startswith(prefix)
        }
        return {"revision": snapshot.revision, "files": files}

    def read(self, name: str) -> tuple[bytes, int] | None:
        """Return content and revision of a served file, or None if there is none."""
        return self._served_snapshot.files.get(name)

    def put(self, name: str, content: bytes) -> bool:
        """Write a file and scan the folder; return False if the name is not valid."""
        if not _FILE_NAME.fullmatch(name):
            return False
        # A rename is atomic, so a scan never reads a partly written file.
        partial = self._folder / f".{name}.partial"
        partial.write_bytes(content)
        partial.replace(self._folder / name)
        self.scan()
        return True

    def delete(self, name: str) -> bool:
        """Delete a file and scan the folder; return False if it does not exist."""
        if not _FILE_NAME.fullmatch(name) or not (self._folder / name).is_file():
            return False
        (self._folder / name).unlink()
        self.scan()
        return True

    def freeze(self, frozen: bool) -> None:
        """Keep serving the current revision, or serve the newest one again."""
        self._pinned_snapshot = self._served_snapshot if frozen else None

    def step_back(self, revision: int) -> bool:
        """Serve an older revision until `freeze(False)`; return False if not kept."""
        for snapshot in self._snapshots:
            if snapshot.revision == revision:
                self._pinned_snapshot = snapshot
                return True
        return False

    def renumber(self, revision: int) -> None:
        """Give the newest files another revision, which may be lower, and serve them.

        All earlier revisions are dropped.
        """
        files = {
            name: (content, min(file_revision, revision))
            for name, (content, file_revision) in self._snapshots[-1].files.items()
        }
        self._snapshots.clear()
        self._snapshots.append(Snapshot(revision, files))
        self._pinned_snapshot = None

    def set_vm(self, vm: Vm) -> None:
        """Change a VM in the list after `vm_lag_s` seconds; state `gone` removes it."""
        self._vm_revision += 1
        now = self._clock.monotonic()
        self._apply_due_vm_changes(now)
        if len(self._vm_changes) == MAX_VM_CHANGES:
            # At the limit the oldest change is listed early instead of being lost.
            self._apply_oldest_vm_change()
        self._vm_changes.append((now, self._vm_revision, vm))

    def vms(self) -> VmList:
        """Return the body of `/v1/vms`."""
        self._apply_due_vm_changes(self._clock.monotonic())
        return VmList(self._listed_vm_revision, tuple(self._vms.values()))

    def count_call(self, kind: str) -> None:
        """Count one call of a kind; a watch counts once, however long it waits."""
        second = int(self._clock.monotonic())
        if second != self._current_second:
            self._current_second, self._calls_in_second = second, 0
        self._calls_in_second += 1
        self._max_per_second = max(self._max_per_second, self._calls_in_second)
        self._call_counts[kind] += 1

    def counters(self) -> dict[str, object]:
        """Return the calls by kind, their total and the maximum in one second."""
        return {
            "calls": dict(self._call_counts),
            "total": self._call_counts.total(),
            "max_per_second": self._max_per_second,
        }

    def reset_counters(self) -> None:
        """Reset all counts of calls to zero."""
        self._call_counts.clear()
        self._current_second, self._calls_in_second, self._max_per_second = -1, 0, 0

    def _apply_due_vm_changes(self, now: float) -> None:
        while self._vm_changes and self._vm_changes[0][0] + self.vm_lag_s <= now:
            self._apply_oldest_vm_change()

    def _apply_oldest_vm_change(self) -> None:
        _, self._listed_vm_revision, vm = self._vm_changes.popleft()
        if vm.state == "gone":
            self._vms.pop(vm.name, None)
        else:
            self._vms[vm.name] = vm
