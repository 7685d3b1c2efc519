"""Test reads of the store under its faults."""

import asyncio

import pytest
from platform_stubs import StubStore, routing_config

from dandelionpond_platform.store import PlatformStore

WORKER = {
    "Service": "s",
    "Address": "10.1.0.9:8080",
    "Zone": "a",
    "State": "ready",
    "Slots": 8,
}


def with_store(test):
    async def run():
        stub = StubStore()
        stub.put("op/config", routing_config(3))
        stub.put("servers/i-1", WORKER)
        await stub.start()
        store = PlatformStore(stub.address)
        try:
            await test(stub, store)
        finally:
            await store.close()
            await stub.stop()

    asyncio.run(run())


class TestRead:
    def test_first_read_has_both(self):
        """Guard against a node that starts with half of what it needs."""

        async def test(stub, store):
            snapshot = (await store.read(0, 0)).ok
            assert snapshot.document.version == 3
            assert [entry.instance for entry in snapshot.entries] == ["i-1"]
            assert snapshot.store_revision == stub.revision

        with_store(test)

    def test_unchanged_document_is_not_read_again(self):
        """Guard against the whole configuration in each read."""

        async def test(stub, store):
            first = (await store.read(0, 0)).ok
            stub.calls.clear()
            second = (await store.read(3, first.document_revision)).ok
            assert second.document is None
            assert second.document_revision == first.document_revision
            assert sorted(stub.calls) == ["kv-range", "kv-watch"]

        with_store(test)

    def test_change_is_heard(self):
        """Guard against a node that keeps the first configuration."""

        async def test(stub, store):
            since = (await store.read(0, 0)).ok.document_revision
            stub.put("op/config", routing_config(5))
            stub.put("op/config", routing_config(9))
            assert (await store.read(3, since)).ok.document.version == 9

        with_store(test)

    def test_documents_that_were_taken_are_not_sent_again(self):
        """Guard against reads that grow with each change until they time out."""

        async def test(stub, store):
            since = (await store.read(0, 0)).ok.document_revision
            for version in range(4, 12):
                stub.put("op/config", routing_config(version))
                stub.sent_events = 0
                snapshot = (await store.read(version - 1, since)).ok
                assert snapshot.document.version == version
                assert stub.sent_events == 1
                since = snapshot.document_revision

        with_store(test)

    def test_another_node_continues_where_the_reader_was(self):
        """Guard against a whole read by each node that takes over."""

        async def test(stub, store):
            since = (await store.read(0, 0)).ok.document_revision
            other = PlatformStore(stub.address)
            stub.calls.clear()
            assert (await other.read(3, since)).ok.document is None
            await other.close()
            assert sorted(stub.calls) == ["kv-range", "kv-watch"]

        with_store(test)

    def test_change_in_a_deaf_second_is_not_missed(self):
        """Guard against a watch that hears nothing while history is dropped."""

        async def test(stub, store):
            since = (await store.read(0, 0)).ok.document_revision
            stub.is_muted = True
            stub.put("op/config", routing_config(5))
            muted = (await store.read(3, since)).ok
            assert muted.document is None
            stub.is_muted = False
            stub.drop_history()
            whole = (await store.read(3, muted.document_revision)).ok
            assert whole.document.version == 5
            # The list that came with it and the next changes are heard from there.
            stub.put("op/config", routing_config(6))
            last = (await store.read(5, whole.document_revision)).ok
            assert last.document.version == 6

        with_store(test)

    def test_no_document_yet(self):
        """Guard against an error before the operator has written anything."""

        async def test(stub, store):
            stub.remove("op/config")
            assert (await store.read(0, 0)).ok.document is None

        with_store(test)

    def test_bad_document_leaves_the_list(self):
        """Guard against an unreadable document that hides the workers."""

        async def test(stub, store):
            stub.put("op/config", b"\x00not json")
            snapshot = (await store.read(0, 0)).ok
            assert snapshot.document is None
            assert len(snapshot.entries) == 1

        with_store(test)

    def test_bad_entry_leaves_the_others(self):
        """Guard against one unreadable entry that hides the workers."""

        async def test(stub, store):
            stub.put("servers/i-0", b"\xff\xfe")
            entries = (await store.read(0, 0)).ok.entries
            assert [entry.instance for entry in entries] == ["i-1"]

        with_store(test)

    @pytest.mark.parametrize("fault", [503, 429, 500, "garbage", "silent"])
    def test_failed_call_is_an_error(self, fault):
        """Guard against an empty list that is taken for the truth."""

        async def test(stub, store):
            stub.fault = fault
            assert (await store.read(0, 0)).is_error()
            stub.fault = None
            assert (await store.read(0, 0)).is_ok()

        with_store(test)
