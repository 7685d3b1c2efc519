"""Keep the settings in force and the files that peers may fetch."""

import hashlib
from collections import deque
from collections.abc import Collection, Mapping

import msgspec
from expression import Error, Ok, Result

from dandelionpond.config.merge import MergedSettings, Merger, SettingsError

MAX_TOTAL_BYTES = 64_000_000
# One line for each error is enough for an operator; more would only fill the status.
MAX_KEPT_ERRORS = 1_000
# At 45,000 changes a day this covers two minutes; a peer further behind sends the
# hashes that it holds.
MAX_RECENT_CHANGES = 64
# Former contents beyond this size are not kept: 64 steps then hold at most 2 MB for
# each file that a step changes.
MAX_KEPT_BYTES = 32_768


class Accepted(msgspec.Struct, frozen=True, tag=True):
    """Say that a revision is now in force."""

    revision: int
    digest: str


class Refused(msgspec.Struct, frozen=True, tag=True):
    """Say that a revision is refused and why; the settings in force stay."""

    revision: int
    errors: tuple[SettingsError, ...]


class Stale(msgspec.Struct, frozen=True, tag=True):
    """Say that a revision is not newer than the one in force."""

    revision: int
    in_force: int


Verdict = Accepted | Refused | Stale


class ManifestEntry(msgspec.Struct, frozen=True):
    """Name one file of the folder in force with its hash and size in bytes."""

    name: str
    hash: str
    size: int


class FileContent(msgspec.Struct, frozen=True):
    """Carry one file that a peer lacks.

    `previous_content` is the version that the peer holds, or empty.
    """

    name: str
    hash: str
    content: bytes
    previous_content: bytes = b""


class FolderDelta(msgspec.Struct, frozen=True):
    """Carry the changes from one folder to another; both are named by folder hash."""

    base_folder_hash: str
    folder_hash: str
    changed: tuple[FileContent, ...]
    removed: tuple[str, ...]


class _RecentChange(msgspec.Struct, frozen=True):
    base_folder_hash: str
    previous_contents: dict[str, bytes]


class Refusal(msgspec.Struct, frozen=True):
    """Keep the last refused revision for the status; `at` is in monotonic seconds."""

    revision: int
    folder_hash: str
    errors: tuple[SettingsError, ...]
    at: float


class SettingsStateCounters(msgspec.Struct):
    """Count verdicts since the start."""

    accepted: int = 0
    refused: int = 0
    stale: int = 0
    conflicts: int = 0
    too_large: int = 0


def content_hash(content: bytes) -> str:
    """Return the BLAKE2b-256 hash of a file's bytes in hexadecimal."""
    return hashlib.blake2b(content, digest_size=32).hexdigest()


class SettingsState:
    """Own the revision in force; it never moves backwards."""

    __slots__ = (
        "_contents",
        "_files",
        "_folder_hash",
        "_hashes",
        "_merged",
        "_merger",
        "_recent_changes",
        "_refusal",
        "_revision",
        "counters",
    )

    def __init__(self) -> None:
        self.counters = SettingsStateCounters()
        self._merger = Merger()
        self._merged: MergedSettings | None = None
        self._revision = 0
        self._files: dict[str, bytes] = {}
        self._hashes: dict[str, str] = {}
        self._contents: dict[str, bytes] = {}
        self._folder_hash = ""
        self._refusal: Refusal | None = None
        self._recent_changes: deque[_RecentChange] = deque(maxlen=MAX_RECENT_CHANGES)

    @property
    def revision(self) -> int:
        """Return the revision in force, or 0 if there is none."""
        return self._revision

    @property
    def merged(self) -> MergedSettings | None:
        """Return the settings in force, or None if there are none."""
        return self._merged

    @property
    def digest(self) -> str:
        """Return the digest of the settings in force, or an empty string."""
        return self._merged.digest if self._merged else ""

    @property
    def folder_hash(self) -> str:
        """Return the hash over names and contents in force, or an empty string."""
        return self._folder_hash

    @property
    def total_bytes(self) -> int:
        """Return the size of all files in force, in bytes."""
        return sum(map(len, self._files.values()))

    @property
    def last_refusal(self) -> Refusal | None:
        """Return the last refused revision, or None."""
        return self._refusal

    def offer(self, revision: int, files: Mapping[str, bytes], now: float) -> Verdict:
        """Take a newer valid revision into force, or say why it is not taken."""
        if revision < self._revision or revision < 1:
            self.counters.stale += 1
            return Stale(revision, self._revision)
        total = sum(map(len, files.values()))
        if total > MAX_TOTAL_BYTES:
            self.counters.too_large += 1
            reason = f"the folder has {total} bytes, more than {MAX_TOTAL_BYTES}"
            return self._refuse(revision, "", [SettingsError("", "", reason)], now)
        hashes = self._hash_files(files)
        folder_hash = _folder_hash(hashes)
        if revision == self._revision:
            if folder_hash == self._folder_hash:
                self.counters.stale += 1
                return Stale(revision, self._revision)
            return self._conflict(revision)
        refusal = self._refusal
        if refusal is not None and refusal.revision == revision and refusal.folder_hash:
            if refusal.folder_hash == folder_hash:
                self.counters.refused += 1
                return Refused(revision, refusal.errors)
            return self._conflict(revision)
        match self._merger.merge(files):
            case Result(tag="ok", ok=merged):
                self._merged = merged
            case Result(error=errors):
                return self._refuse(revision, folder_hash, errors, now)
        if self._revision:
            former = {
                name: self._former(name)
                for name in self._hashes.keys() | hashes.keys()
                if self._hashes.get(name) != hashes.get(name)
            }
            self._recent_changes.append(_RecentChange(self._folder_hash, former))
        self._revision = revision
        self._files, self._hashes, self._folder_hash = dict(files), hashes, folder_hash
        self._contents = {hashes[name]: content for name, content in files.items()}
        self.counters.accepted += 1
        return Accepted(revision, self.digest)

    def manifest(self) -> tuple[ManifestEntry, ...]:
        """Return the files of the revision in force by name."""
        return tuple(
            ManifestEntry(name, self._hashes[name], len(self._files[name]))
            for name in sorted(self._files)
        )

    def held_hashes(self) -> tuple[str, ...]:
        """Return the hashes of the files held, to send with a fetch request."""
        return tuple(sorted(self._contents))

    def missing_files(self, held_hashes: Collection[str]) -> list[FileContent]:
        """Return the files in force whose hash the asking peer does not hold."""
        held = frozenset(held_hashes)
        return [
            FileContent(name, self._hashes[name], self._files[name])
            for name in sorted(self._files)
            if self._hashes[name] not in held
        ]

    def assemble_folder(
        self, manifest: Collection[ManifestEntry], received: Collection[FileContent]
    ) -> Result[dict[str, bytes], str]:
        """Build a folder from a peer's manifest, its files and the files held.

        An error names the file whose content is missing or does not match its hash.
        """
        contents = {item.hash: item.content for item in received}
        files: dict[str, bytes] = {}
        total = 0
        for entry in manifest:
            content = self._contents.get(entry.hash)
            if content is None:
                content = contents.get(entry.hash)
                if content is None:
                    return Error(f"{entry.name}: content is missing")
                if content_hash(content) != entry.hash:
                    return Error(f"{entry.name}: content does not match its hash")
            total += len(content)
            if total > MAX_TOTAL_BYTES:
                return Error(f"the folder has more than {MAX_TOTAL_BYTES} bytes")
            files[entry.name] = content
        return Ok(files)

    def delta_since(self, base_folder_hash: str) -> FolderDelta | None:
        """Return the changes from a recent folder, or None if it is not known.

        With many files it is far smaller than a manifest and the hashes held.
        """
        former: dict[str, bytes] = {}
        if base_folder_hash != self._folder_hash:
            for change in reversed(self._recent_changes):
                former |= change.previous_contents
                if change.base_folder_hash == base_folder_hash:
                    break
            else:
                return None
        changed = tuple(
            FileContent(name, self._hashes[name], self._files[name], former[name])
            for name in sorted(former)
            if name in self._files
        )
        removed = tuple(sorted(former.keys() - self._files.keys()))
        return FolderDelta(base_folder_hash, self._folder_hash, changed, removed)

    def apply_delta(self, delta: FolderDelta) -> Result[dict[str, bytes], str]:
        """Build a folder from the files in force and a peer's changes.

        An error says that the changes do not fit; fetch by hash in that case.
        """
        if delta.base_folder_hash != self._folder_hash:
            return Error("the changes start from another folder")
        files = {n: c for n, c in self._files.items() if n not in delta.removed}
        files |= {item.name: item.content for item in delta.changed}
        if sum(map(len, files.values())) > MAX_TOTAL_BYTES:
            return Error(f"the folder has more than {MAX_TOTAL_BYTES} bytes")
        if _folder_hash(self._hash_files(files)) != delta.folder_hash:
            return Error("the changes do not give the folder that they name")
        return Ok(files)

    def content_of_hash(self, hash: str) -> bytes | None:
        """Return the content of a file in force by its hash, or None."""
        return self._contents.get(hash)

    def _former(self, name: str) -> bytes:
        content = self._files.get(name, b"")
        return content if len(content) <= MAX_KEPT_BYTES else b""

    def _hash_files(self, files: Mapping[str, bytes]) -> dict[str, str]:
        return {
            name: self._hashes[name]
            if self._files.get(name) == files[name]
            else content_hash(files[name])
            for name in files
        }

    def _conflict(self, revision: int) -> Refused:
        # The first bytes seen for a revision are kept, so the refusal on record stays.
        self.counters.conflicts += 1
        self.counters.refused += 1
        reason = f"revision {revision} was already offered with different bytes"
        return Refused(revision, (SettingsError("", "", reason),))

    def _refuse(
        self, revision: int, folder_hash: str, errors: list[SettingsError], now: float
    ) -> Refused:
        self.counters.refused += 1
        self._refusal = Refusal(
            revision, folder_hash, tuple(errors[:MAX_KEPT_ERRORS]), now
        )
        return Refused(revision, tuple(errors))


def _folder_hash(hashes: Mapping[str, str]) -> str:
    text = "".join(f"{name}\0{hashes[name]}\0" for name in sorted(hashes))
    return content_hash(text.encode("utf-8", "surrogatepass"))
