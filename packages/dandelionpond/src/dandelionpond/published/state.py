"""The newest routing document and list of upstreams; older ones are refused."""

import math

import msgspec
import xxhash

from dandelionpond.published.messages import (
    Evacuation,
    Snapshot,
    UpstreamEntry,
    UpstreamState,
)
from dandelionpond.published.readers import ReadTiming
from dandelionpond.published.table import RouteTable

# Time in seconds for which entries that expired during an outage stay in use after the
# platform is back. The platform's documentation gives upstreams about two seconds to
# register again.
HOLD_AFTER_OUTAGE_S = 2.2
# A hold ends this many seconds before departures have to be in effect again, because
# requests are on their way then.
HOLD_END_MARGIN_S = 0.1


class PublishedStateCounters(msgspec.Struct):
    """The counts of accepted, outdated and held parts of snapshots."""

    documents: int = 0
    old_documents: int = 0
    lists: int = 0
    old_lists: int = 0
    held_entries: int = 0


class PublishedState:
    """The newest document and entries; times are in seconds.

    An entry that disappears during an outage of the platform stays in use for
    `HOLD_AFTER_OUTAGE_S` after the first read that succeeds again, unless its upstream
    was leaving or its address belongs to another entry. The hold ends before
    `ReadTiming.return_limit_s` after the last read that failed, since a node cannot
    tell an outage from being cut off itself: then the missing entries have left.
    """

    __slots__ = (
        "_digest",
        "_document_revision",
        "_entries",
        "_evacuated_domains",
        "_evacuations",
        "_failed_read_at",
        "_held_entries",
        "_hold_until",
        "_is_old_trusted",
        "_is_trusted",
        "_list_read_at",
        "_list_revision",
        "_own_failed_read_at",
        "_read_number",
        "_table",
        "_timing",
        "counters",
    )

    def __init__(self, timing: ReadTiming) -> None:
        self._timing = timing
        self._table: RouteTable | None = None
        self._entries: dict[str, UpstreamEntry] = {}
        self._evacuations: tuple[Evacuation, ...] = ()
        self._evacuated_domains: frozenset[str] = frozenset()
        self._held_entries: dict[str, UpstreamEntry] = {}
        self._hold_until = -math.inf
        # Start of the last failed read of any node, and of this one.
        self._failed_read_at = -math.inf
        self._own_failed_read_at = -math.inf
        self._is_trusted = False
        self._is_old_trusted = False
        self._list_revision = 0
        self._read_number = 0
        self._document_revision = 0
        self._list_read_at: float | None = None
        self._digest = 0
        self.counters = PublishedStateCounters()

    @property
    def table(self) -> RouteTable | None:
        """Return the routes in effect, or None before the first document."""
        return self._table

    @property
    def version(self) -> int:
        """Return the version of the document in effect, or 0 before the first."""
        return self._table.document.version if self._table else 0

    @property
    def evacuations(self) -> tuple[Evacuation, ...]:
        """Return the evacuations in effect, by failure domain."""
        return self._evacuations

    @property
    def evacuated_domains(self) -> frozenset[str]:
        """Return the failure domains whose upstreams must get nothing."""
        return self._evacuated_domains

    @property
    def list_revision(self) -> int:
        """Return the store revision of the newest list, or 0 before the first."""
        return self._list_revision

    @property
    def read_number(self) -> int:
        """Return the number of the read that the list's age counts from.

        Nodes number their reads together: each read is one above the highest known.
        """
        return self._read_number

    @property
    def document_revision(self) -> int:
        """Return a store revision at which no newer document existed; 0 if unknown.

        The next read of the store requests only the changes since this revision.
        """
        return self._document_revision

    @property
    def digest(self) -> int:
        """Return a digest of version and entries for comparison with a peer's."""
        return self._digest

    @property
    def is_complete(self) -> bool:
        """Return whether both a document and a list are known and may be used.

        A node that starts does not use old state of a peer before it has tried to read
        the store: the peer may be cut off, and a key or an upstream withdrawn since.
        """
        return (
            self._table is not None
            and self._list_read_at is not None
            and (self._is_trusted or self._is_old_trusted)
        )

    @property
    def is_old_trusted(self) -> bool:
        """Return whether old state may be used, because the store cannot be read."""
        return self._is_old_trusted

    def trust_old_state(self) -> None:
        """Permit the use of old state, because the store cannot be read."""
        self._is_old_trusted = True

    def list_age_s(self, now: float) -> float | None:
        """Return the age of the newest list in seconds, or None before the first."""
        return (
            None if self._list_read_at is None else max(0.0, now - self._list_read_at)
        )

    def snapshot(self) -> Snapshot:
        """Return the current state in the form that peers fetch."""
        document = self._table.document if self._table else None
        return Snapshot(
            self._list_revision,
            tuple(self._entries.values()),
            document,
            self._document_revision,
            self._evacuations,
        )

    def update(
        self,
        snapshot: Snapshot,
        read_at: float,
        now: float,
        hold_until: float | None = None,
    ) -> bool:
        """Apply the newer parts of a snapshot; return whether anything changed.

        `read_at` is the time at which the snapshot was read from the platform. For a
        peer's snapshot, `hold_until` is the time until which that peer holds expired
        entries. It has followed the reads, so this node draws no conclusion from the
        age of its own list.
        """
        before = self._digest
        self._is_trusted |= now - read_at <= self._timing.outage_age_s
        self._update_document(snapshot)
        if snapshot.store_revision < self._list_revision:
            self.counters.old_lists += 1
        else:
            self._update_entries(snapshot, read_at, now, hold_until)
        self._digest = self._compute_digest()
        return self._digest != before

    def record_failed_read(self, started_at: float) -> None:
        """Note the start of a read of this node that failed."""
        self._own_failed_read_at = started_at
        self.record_failed_peer_read(started_at)

    def record_failed_peer_read(self, started_at: float) -> None:
        """Note the start of a failed read that the node which made it tells of."""
        self._failed_read_at = max(self._failed_read_at, started_at)

    def failed_read_age_s(self, now: float) -> float:
        """Return the time since this node's last failed read began, or infinity."""
        return now - self._own_failed_read_at

    def hold_left_s(self, now: float) -> float:
        """Return for how long expired entries are held; 0 if none are."""
        return max(0.0, self._hold_until - now)

    def held_instances(self, now: float) -> tuple[str, ...]:
        """Return the upstreams whose expired entries are held."""
        return tuple(self._held_entries) if self.hold_left_s(now) else ()

    def record_read(self) -> None:
        """Count a read of the platform by this node."""
        self._read_number += 1

    def confirm_list(
        self,
        revision: int,
        digest: int,
        read_at: float,
        now: float,
        read_number: int,
    ) -> bool:
        """Renew the list if it was read with the same content in a later read.

        Returns False if the content differs and has to be fetched. Of several messages
        about one read only the first counts: peers that pass it on take it for more
        recent by the delay of each message.
        """
        if digest != self._digest or self._list_read_at is None:
            return False
        self._list_revision = max(self._list_revision, revision)
        if read_number <= self._read_number:
            return True
        self._read_number = read_number
        self._list_read_at = max(self._list_read_at, read_at)
        self._is_trusted |= now - read_at <= self._timing.outage_age_s
        return True

    def entries(self, now: float) -> tuple[UpstreamEntry, ...]:
        """Return the entries of all upstreams in use, held ones included."""
        if self._held_entries and now >= self._hold_until:
            self._held_entries.clear()
        if not self._held_entries:
            return tuple(self._entries.values())
        return (*self._entries.values(), *self._held_entries.values())

    def _update_document(self, snapshot: Snapshot) -> None:
        document = snapshot.document
        if document is not None and document.version < self.version:
            self.counters.old_documents += 1
            return
        if document is not None and document.version > self.version:
            self._table = RouteTable(document)
            self.counters.documents += 1
        revision = max(self._document_revision, snapshot.document_revision)
        self._document_revision = revision

    def _update_entries(
        self,
        snapshot: Snapshot,
        read_at: float,
        now: float,
        hold_until: float | None,
    ) -> None:
        current = {entry.instance: entry for entry in snapshot.entries}
        if now >= self._hold_until:
            # A hold in effect is not extended, else flapping entries could renew it.
            self._hold_until = (
                self._hold_end(read_at) if hold_until is None else hold_until
            )
        if now < self._hold_until:
            for name, entry in self._entries.items():
                if name not in current and entry.state is UpstreamState.READY:
                    self._held_entries[name] = entry
                    self.counters.held_entries += 1
        addresses = {entry.address for entry in current.values()}
        for name, entry in list(self._held_entries.items()):
            if name in current or entry.address in addresses:
                del self._held_entries[name]
        self._entries = current
        self._update_evacuations(snapshot)
        self._list_revision = snapshot.store_revision
        self._list_read_at = max(self._list_read_at or read_at, read_at)
        self.counters.lists += 1

    def _update_evacuations(self, snapshot: Snapshot) -> None:
        """Replace the evacuations, except those that are newer than the snapshot.

        The store's two lists are read by separate calls, and the snapshot is as new as
        the older one. It may lack an evacuation that was made after its revision.
        """
        current = {item.failure_domain: item for item in snapshot.evacuations}
        for item in self._evacuations:
            if item.revision > snapshot.store_revision:
                current.setdefault(item.failure_domain, item)
        self._evacuations = tuple(current[name] for name in sorted(current))
        self._evacuated_domains = frozenset(current)

    def _hold_end(self, read_at: float) -> float:
        """Return until when entries missing from a list that this node read are held.

        That is only the case if reads failed since the list before, for so long that
        entries may have expired.
        """
        last = self._list_read_at
        if last is None or self._failed_read_at <= last:
            return -math.inf
        if read_at - last <= self._timing.outage_age_s:
            return -math.inf
        return min(
            read_at + HOLD_AFTER_OUTAGE_S,
            self._failed_read_at + self._timing.return_limit_s - HOLD_END_MARGIN_S,
        )

    def _compute_digest(self) -> int:
        content: tuple[object, ...] = (
            self.version,
            sorted(self._entries.values(), key=_instance),
        )
        if self._evacuations:
            content = (*content, self._evacuations)
        return xxhash.xxh64_intdigest(msgspec.msgpack.encode(content))


def _instance(entry: UpstreamEntry) -> str:
    return entry.instance
