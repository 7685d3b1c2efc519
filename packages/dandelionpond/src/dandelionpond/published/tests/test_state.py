"""Test that the document and the list of upstreams never go back."""

import msgspec

from dandelionpond.published.messages import (
    RoutingDocument,
    Snapshot,
    UpstreamEntry,
    UpstreamState,
)
from dandelionpond.published.state import OUTAGE_S, RETURN_S, PublishedState

READY, LEAVING = UpstreamState.READY, UpstreamState.LEAVING


def entry(name, state=READY):
    return UpstreamEntry(name, "s", "10.0.0.1:80", "a", 8, state)


def snapshot(revision, *entries, version=None):
    document = None if version is None else RoutingDocument(version, (), ())
    return Snapshot(revision, entries, document)


def names(keeper, now):
    return [one.instance for one in keeper.entries(now)]


class TestDocument:
    def test_newer_version_is_taken_and_older_refused(self):
        """Guard against a node that reverts to an older configuration."""
        keeper = PublishedState()
        for version in (3, 7, 5):
            keeper.update(snapshot(1, version=version), 0.0, 0.0)
        assert keeper.version == 7
        assert keeper.counters.old_documents == 1

    def test_revision_of_the_document_follows_its_source(self):
        """Guard against changes that a reader skips after a peer's document."""
        keeper = PublishedState()
        three, five = (RoutingDocument(version, (), ()) for version in (3, 5))
        keeper.update(Snapshot(10, (), five, 10), 0.0, 0.0)
        keeper.update(Snapshot(20, (), three, 20), 0.0, 0.0)
        assert keeper.document_revision == 10
        keeper.update(Snapshot(30, (), None, 25), 0.0, 0.0)
        keeper.update(Snapshot(31, (), five, 0), 0.0, 0.0)
        assert keeper.document_revision == 25
        assert keeper.snapshot().document_revision == 25

    def test_needs_both_parts(self):
        """Guard against a node that serves without a list of upstreams."""
        keeper = PublishedState()
        assert not keeper.is_complete
        keeper.update(snapshot(1, version=1), 0.0, 0.0)
        assert keeper.is_complete


class TestEntries:
    def test_older_list_is_refused(self):
        """Guard against a late peer that brings a leaving upstream back."""
        keeper = PublishedState()
        keeper.update(snapshot(9, entry("a", LEAVING)), 0.0, 0.0)
        assert not keeper.update(snapshot(8, entry("a", READY)), 0.1, 0.1)
        assert keeper.entries(0.2)[0].state is LEAVING

    def test_missing_entry_is_gone_at_once(self):
        """Guard against work for an upstream that left without a notice."""
        keeper = PublishedState()
        keeper.update(snapshot(1, entry("a"), entry("b")), 0.0, 0.0)
        keeper.update(snapshot(2, entry("b")), 0.6, 0.6)
        assert names(keeper, 0.6) == ["b"]

    def test_entry_that_lapsed_in_an_outage_is_held(self):
        """Guard against losing every upstream when the platform returns."""
        keeper = PublishedState()
        keeper.update(snapshot(1, entry("a"), entry("b", LEAVING)), 0.0, 0.0)
        back = OUTAGE_S + 1.0
        keeper.update(snapshot(2), back, back)
        assert names(keeper, back) == ["a"]
        assert names(keeper, back + RETURN_S - 0.1) == ["a"]
        assert names(keeper, back + RETURN_S + 0.1) == []

    def test_held_entry_that_returns_is_fresh(self):
        """Guard against a held entry that hides the upstream's own newer one."""
        keeper = PublishedState()
        keeper.update(snapshot(1, entry("a")), 0.0, 0.0)
        back = OUTAGE_S + 1.0
        keeper.update(snapshot(2), back, back)
        keeper.update(snapshot(3, entry("a", LEAVING)), back + 0.6, back + 0.6)
        assert [one.state for one in keeper.entries(back + 0.7)] == [LEAVING]

    def test_entry_that_lapses_after_the_return_is_held_as_well(self):
        """Guard against entries that go one read after the platform is back."""
        keeper = PublishedState()
        keeper.update(snapshot(1, entry("a")), 0.0, 0.0)
        back = OUTAGE_S + 1.0
        keeper.update(snapshot(2, entry("a")), back, back)
        keeper.update(snapshot(3), back + 0.6, back + 0.6)
        assert names(keeper, back + 0.7) == ["a"]


class TestConfirm:
    def test_equal_content_only_renews(self):
        """Guard against a fetch for each heartbeat of an upstream."""
        keeper = PublishedState()
        keeper.update(snapshot(1, entry("a"), version=1), 0.0, 0.0)
        assert keeper.confirm(5, keeper.digest, 3.0)
        assert keeper.revision == 5
        assert keeper.list_age_s(4.0) == 1.0

    def test_other_content_is_fetched(self):
        """Guard against a node that takes a changed list for its own."""
        keeper, peer = PublishedState(), PublishedState()
        keeper.update(snapshot(1, entry("a"), version=1), 0.0, 0.0)
        peer.update(snapshot(2, entry("a", LEAVING), version=1), 0.0, 0.0)
        assert not keeper.confirm(2, peer.digest, 0.1)
        keeper.update(peer.snapshot(), 0.1, 0.2)
        assert keeper.digest == peer.digest

    def test_digest_does_not_depend_on_order(self):
        """Guard against endless fetches between nodes that read in another order."""
        one, two = PublishedState(), PublishedState()
        one.update(snapshot(1, entry("a"), entry("b"), version=1), 0.0, 0.0)
        two.update(snapshot(1, entry("b"), entry("a"), version=1), 0.0, 0.0)
        assert one.digest == two.digest

    def test_snapshot_survives_the_wire(self):
        """Guard against types that a peer cannot decode."""
        keeper = PublishedState()
        keeper.update(snapshot(1, entry("a"), version=4), 0.0, 0.0)
        data = msgspec.msgpack.encode(keeper.snapshot())
        assert msgspec.msgpack.decode(data, type=Snapshot) == keeper.snapshot()
