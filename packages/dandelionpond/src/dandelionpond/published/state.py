"""Keep the newest document and list of upstreams; neither goes back."""

import msgspec
import xxhash

from dandelionpond.published.messages import (
    Snapshot,
    UpstreamEntry,
    UpstreamState,
)
from dandelionpond.published.table import RouteTable

# A list older than this, in seconds, was not refreshed because the platform was away:
# readers refresh it several times in this span.
OUTAGE_S = 2.5
# Time in seconds after the platform's return for which entries that lapsed meanwhile
# stay in use; the platform's page gives about two seconds for their return.
RETURN_S = 2.2


class PublishedStateCounters(msgspec.Struct):
    """Count the outcomes of offers."""

    documents: int = 0
    old_documents: int = 0
    lists: int = 0
    old_lists: int = 0
    held_entries: int = 0


class PublishedState:
    """Own the document and the entries in force; times are in seconds.

    An entry that disappears during an outage of the platform is held for `RETURN_S`
    after its return, unless it was leaving.
    """

    __slots__ = (
        "_digest",
        "_document_revision",
        "_entries",
        "_fresh_at",
        "_held",
        "_held_until",
        "_revision",
        "_table",
        "counters",
    )

    def __init__(self) -> None:
        self._table: RouteTable | None = None
        self._entries: dict[str, UpstreamEntry] = {}
        self._held: dict[str, UpstreamEntry] = {}
        self._held_until = 0.0
        self._revision = 0
        self._document_revision = 0
        self._fresh_at: float | None = None
        self._digest = 0
        self.counters = PublishedStateCounters()

    @property
    def table(self) -> RouteTable | None:
        """Return the routes in force, or None before the first document."""
        return self._table

    @property
    def version(self) -> int:
        """Return the version of the document in force, 0 before the first."""
        return self._table.document.version if self._table else 0

    @property
    def revision(self) -> int:
        """Return the platform's revision at the newest list, 0 before the first."""
        return self._revision

    @property
    def document_revision(self) -> int:
        """Return a revision at which the platform held no newer document; 0 if unknown.

        Whoever reads the platform next asks for the changes since, not for the whole.
        """
        return self._document_revision

    @property
    def digest(self) -> int:
        """Return a digest of version and entries, to compare with a peer's."""
        return self._digest

    @property
    def is_complete(self) -> bool:
        """Return whether both a document and a list are known."""
        return self._table is not None and self._fresh_at is not None

    def list_age_s(self, now: float) -> float | None:
        """Return the age of the newest list in seconds, or None before the first."""
        return None if self._fresh_at is None else max(0.0, now - self._fresh_at)

    def snapshot(self) -> Snapshot:
        """Return what a peer needs to catch up."""
        document = self._table.document if self._table else None
        return Snapshot(
            self._revision,
            tuple(self._entries.values()),
            document,
            self._document_revision,
        )

    def update(self, snapshot: Snapshot, read_at: float, now: float) -> bool:
        """Take what is newer in a snapshot; return whether anything changed.

        `read_at` is the time at which the platform was read.
        """
        before = self._digest
        self._offer_document(snapshot)
        if snapshot.store_revision < self._revision:
            self.counters.old_lists += 1
        else:
            self._offer_entries(snapshot, read_at, now)
        self._digest = self._compute_digest()
        return self._digest != before

    def confirm(self, revision: int, digest: int, read_at: float) -> bool:
        """Learn that a peer's newer list equals the one in force.

        Returns False if the content differs and must be fetched.
        """
        if digest != self._digest or self._fresh_at is None:
            return False
        self._revision = max(self._revision, revision)
        self._fresh_at = max(self._fresh_at, read_at)
        return True

    def entries(self, now: float) -> tuple[UpstreamEntry, ...]:
        """Return the upstreams that take new work or finish what they have."""
        if self._held and now >= self._held_until:
            self._held.clear()
        if not self._held:
            return tuple(self._entries.values())
        return (*self._entries.values(), *self._held.values())

    def _offer_document(self, snapshot: Snapshot) -> None:
        document = snapshot.document
        if document is not None and document.version < self.version:
            self.counters.old_documents += 1
            return
        if document is not None and document.version > self.version:
            self._table = RouteTable(document)
            self.counters.documents += 1
        revision = max(self._document_revision, snapshot.document_revision)
        self._document_revision = revision

    def _offer_entries(self, snapshot: Snapshot, read_at: float, now: float) -> None:
        fresh = {entry.instance: entry for entry in snapshot.entries}
        was_away = self._fresh_at is not None and read_at - self._fresh_at > OUTAGE_S
        if was_away:
            self._held_until = now + RETURN_S
        if was_away or now < self._held_until:
            for name, entry in self._entries.items():
                if name not in fresh and entry.state is UpstreamState.READY:
                    self._held[name] = entry
                    self.counters.held_entries += 1
        for name in fresh:
            self._held.pop(name, None)
        self._entries = fresh
        self._revision = snapshot.store_revision
        self._fresh_at = max(self._fresh_at or read_at, read_at)
        self.counters.lists += 1

    def _compute_digest(self) -> int:
        content = (self.version, sorted(self._entries.values(), key=_instance))
        return xxhash.xxh64_intdigest(msgspec.msgpack.encode(content))


def _instance(entry: UpstreamEntry) -> str:
    return entry.instance
