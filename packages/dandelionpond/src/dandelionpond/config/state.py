"""The settings in effect and the files that peers may fetch."""

import hashlib
from collections import deque
from collections.abc import Collection, Mapping

import msgspec
from expression import Error, Ok, Result

from dandelionpond.config.merge import MergedSettings, Merger, SettingsError

MAX_TOTAL_BYTES = 64_000_000
# Stored errors of a refused revision. Operators have no use for more, which would only
# lengthen the status.
MAX_STORED_ERRORS = 1_000
# Changes that peers can fetch as a delta. At 45,000 changes a day they cover two
# minutes; a peer that is further behind sends the hashes of its files.
MAX_RECENT_CHANGES = 64
# Larger previous contents are not stored. 64 changes thus take at most 2 MB of memory
# for each file that they affect.
MAX_PREVIOUS_CONTENT_BYTES = 32_768


class Accepted(msgspec.Struct, frozen=True, tag=True):
    """A revision was accepted and is now in effect."""

    revision: int
    digest: str


class Refused(msgspec.Struct, frozen=True, tag=True):
    """A revision was refused for these errors; the settings in effect stay."""

    revision: int
    errors: tuple[SettingsError, ...]


class Stale(msgspec.Struct, frozen=True, tag=True):
    """An offered revision is not newer than the one in effect."""

    revision: int
    active_revision: int


OfferResult = Accepted | Refused | Stale


class ManifestEntry(msgspec.Struct, frozen=True):
    """A file of the folder by name and hash, with its size in bytes."""

    name: str
    hash: str
    size: int


class FileContent(msgspec.Struct, frozen=True):
    """A file that a peer lacks.

    `previous_content` is the version that the peer has; it is empty if unknown.
    """

    name: str
    hash: str
    content: bytes
    previous_content: bytes = b""


class FolderDelta(msgspec.Struct, frozen=True):
    """The changes from one folder to another, both identified by their hash."""

    base_folder_hash: str
    folder_hash: str
    changed: tuple[FileContent, ...]
    removed: tuple[str, ...]


class _RecentChange(msgspec.Struct, frozen=True):
    base_folder_hash: str
    previous_contents: dict[str, bytes]


class RefusedRevision(msgspec.Struct, frozen=True):
    """The last refused revision; `at` is in monotonic seconds."""

    revision: int
    folder_hash: str
    errors: tuple[SettingsError, ...]
    at: float


class SettingsStateCounters(msgspec.Struct):
    """The counts of offers by result since the start of the process."""

    accepted: int = 0
    refused: int = 0
    stale: int = 0
    conflicts: int = 0
    too_large: int = 0


def content_hash(content: bytes) -> str:
    """Return the BLAKE2b-256 hash of a file's content in hexadecimal."""
    return hashlib.blake2b(content, digest_size=32).hexdigest()


class SettingsState:
    """The settings in effect; their revision never decreases."""

    __slots__ = (
        "_content_by_hash",
        "_files",
        "_folder_hash",
        "_hashes",
        "_last_refusal",
        "_merged",
        "_merger",
        "_recent_changes",
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
        self._content_by_hash: dict[str, bytes] = {}
        self._folder_hash = ""
        self._last_refusal: RefusedRevision | None = None
        self._recent_changes: deque[_RecentChange] = deque(maxlen=MAX_RECENT_CHANGES)

    @property
    def revision(self) -> int:
        """Return the revision in effect, or 0 before the first."""
        return self._revision

    @property
    def merged(self) -> MergedSettings | None:
        """Return the settings in effect, or None before the first."""
        return self._merged

    @property
    def digest(self) -> str:
        """Return the digest of the settings in effect, or an empty string."""
        return self._merged.digest if self._merged else ""

    @property
    def folder_hash(self) -> str:
        """Return the hash of all names and contents, or an empty string."""
        return self._folder_hash

    @property
    def total_bytes(self) -> int:
        """Return the total size of the files in effect, in bytes."""
        return sum(map(len, self._files.values()))

    @property
    def last_refusal(self) -> RefusedRevision | None:
        """Return the last refused revision, or None."""
        return self._last_refusal

    def offer(
        self, revision: int, files: Mapping[str, bytes], now: float
    ) -> OfferResult:
        """Put a newer valid revision into effect, or return why it was not accepted."""
        if revision < self._revision or revision < 1:
            self.counters.stale += 1
            return Stale(revision, self._revision)
        total = sum(map(len, files.values()))
        if total > MAX_TOTAL_BYTES:
            self.counters.too_large += 1
            reason = f"the folder has {total} bytes, more than {MAX_TOTAL_BYTES}"
            return self._refuse(revision, "", [SettingsError("", "", reason)], now)
        hashes = self._file_hashes(files)
        folder_hash = _folder_hash(hashes)
        if revision == self._revision:
            if folder_hash == self._folder_hash:
                self.counters.stale += 1
                return Stale(revision, self._revision)
            return self._refuse_conflict(revision)
        refusal = self._last_refusal
        if refusal is not None and refusal.revision == revision and refusal.folder_hash:
            if refusal.folder_hash == folder_hash:
                self.counters.refused += 1
                return Refused(revision, refusal.errors)
            return self._refuse_conflict(revision)
        match self._merger.merge(files):
            case Result(tag="ok", ok=merged):
                self._merged = merged
            case Result(error=errors):
                return self._refuse(revision, folder_hash, errors, now)
        if self._revision:
            previous_contents = {
                name: self._previous_content(name)
                for name in self._hashes.keys() | hashes.keys()
                if self._hashes.get(name) != hashes.get(name)
            }
            self._recent_changes.append(
                _RecentChange(self._folder_hash, previous_contents)
            )
        self._revision = revision
        self._files, self._hashes, self._folder_hash = dict(files), hashes, folder_hash
        self._content_by_hash = {
            hashes[name]: content for name, content in files.items()
        }
        self.counters.accepted += 1
        return Accepted(revision, self.digest)

    def files(self) -> dict[str, bytes]:
        """Return the content of each file in effect by name."""
        return dict(self._files)

    def manifest(self) -> tuple[ManifestEntry, ...]:
        """Return the files of the revision in effect, sorted by name."""
        return tuple(
            ManifestEntry(name, self._hashes[name], len(self._files[name]))
            for name in sorted(self._files)
        )

    def held_hashes(self) -> tuple[str, ...]:
        """Return the hashes of the files in effect, for a fetch request to a peer."""
        return tuple(sorted(self._content_by_hash))

    def missing_files(self, held_hashes: Collection[str]) -> list[FileContent]:
        """Return the files in effect whose hash is not among those of a peer."""
        peer_hashes = frozenset(held_hashes)
        return [
            FileContent(name, self._hashes[name], self._files[name])
            for name in sorted(self._files)
            if self._hashes[name] not in peer_hashes
        ]

    def assemble_folder(
        self, manifest: Collection[ManifestEntry], received: Collection[FileContent]
    ) -> Result[dict[str, bytes], str]:
        """Build a folder by a peer's manifest from received files and those in effect.

        An error names the file whose content is missing or does not match its hash.
        """
        contents = {item.hash: item.content for item in received}
        files: dict[str, bytes] = {}
        total = 0
        for entry in manifest:
            content = self._content_by_hash.get(entry.hash)
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
        """Return the changes since a recent folder, or None if that folder is unknown.

        In a folder of many files, a delta is far smaller than the manifest and the
        hashes that a full request needs.
        """
        previous_contents: dict[str, bytes] = {}
        if base_folder_hash != self._folder_hash:
            for change in reversed(self._recent_changes):
                previous_contents |= change.previous_contents
                if change.base_folder_hash == base_folder_hash:
                    break
            else:
                return None
        changed = tuple(
            FileContent(
                name, self._hashes[name], self._files[name], previous_contents[name]
            )
            for name in sorted(previous_contents)
            if name in self._files
        )
        removed = tuple(sorted(previous_contents.keys() - self._files.keys()))
        return FolderDelta(base_folder_hash, self._folder_hash, changed, removed)

    def apply_delta(self, delta: FolderDelta) -> Result[dict[str, bytes], str]:
        """Build a folder from the files in effect and a peer's changes.

        After an error, the files must be fetched by their hashes instead.
        """
        if delta.base_folder_hash != self._folder_hash:
            return Error("the delta is based on another folder")
        files = {n: c for n, c in self._files.items() if n not in delta.removed}
        files |= {item.name: item.content for item in delta.changed}
        if sum(map(len, files.values())) > MAX_TOTAL_BYTES:
            return Error(f"the folder has more than {MAX_TOTAL_BYTES} bytes")
        if _folder_hash(self._file_hashes(files)) != delta.folder_hash:
            return Error("the resulting folder does not match its hash")
        return Ok(files)

    def content_of_hash(self, hash: str) -> bytes | None:
        """Return the content of the file with a hash, or None if there is none."""
        return self._content_by_hash.get(hash)

    def _previous_content(self, name: str) -> bytes:
        content = self._files.get(name, b"")
        return content if len(content) <= MAX_PREVIOUS_CONTENT_BYTES else b""

    def _file_hashes(self, files: Mapping[str, bytes]) -> dict[str, str]:
        return {
            name: self._hashes[name]
            if self._files.get(name) == files[name]
            else content_hash(files[name])
            for name in files
        }

    def _refuse_conflict(self, revision: int) -> Refused:
        # The first content received for a revision counts, so `last_refusal` stays.
        self.counters.conflicts += 1
        self.counters.refused += 1
        reason = f"revision {revision} was already offered with different bytes"
        return Refused(revision, (SettingsError("", "", reason),))

    def _refuse(
        self, revision: int, folder_hash: str, errors: list[SettingsError], now: float
    ) -> Refused:
        self.counters.refused += 1
        self._last_refusal = RefusedRevision(
            revision, folder_hash, tuple(errors[:MAX_STORED_ERRORS]), now
        )
        return Refused(revision, tuple(errors))


def _folder_hash(hashes: Mapping[str, str]) -> str:
    text = "".join(f"{name}\0{hashes[name]}\0" for name in sorted(hashes))
    return content_hash(text.encode("utf-8", "surrogatepass"))
