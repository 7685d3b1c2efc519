"""Test from which peers and when a node fetches newer published state."""

import asyncio
from random import Random
from types import SimpleNamespace

import pytest
from expression import Ok

from dandelionpond.clock import SystemClock
from dandelionpond.entry import state_sync
from dandelionpond.entry.fleet import Fleet
from dandelionpond.entry.settings import EntrySettings
from dandelionpond.entry.state_sync import StateSync
from dandelionpond.forwarding.budget import BudgetSettings
from dandelionpond.mesh.messages import Heartbeat
from dandelionpond.published.messages import RoutingDocument, Snapshot

# Timeout in seconds for the fetches of one test; not a limit of the product.
FETCHES_TIMEOUT_S = 20.0
SETTINGS = EntrySettings(
    name="n1",
    failure_domain="a",
    front_address="127.0.0.1:1",
    ready_address="127.0.0.1:2",
    metrics_address="127.0.0.1:3",
    mesh_address="127.0.0.1:4",
    fetch_address="127.0.0.1:5",
    store_address="127.0.0.1:6",
    seeds=(),
    grace_s=8.0,
    budget=BudgetSettings(),
)


class FakeTasks:
    """A fake `Tasks` that starts tasks and records them."""

    def __init__(self):
        self.all = []

    def spawn(self, work, name):
        self.all.append(asyncio.create_task(work))


def heartbeat(node, domain, version):
    return Heartbeat(
        node,
        f"{node}:1",
        1,
        1,
        domain,
        False,
        version,
        version,
        version,
        0,
        fetch_address=node,
    )


@pytest.fixture
def run(monkeypatch):
    """Return a function that delivers heartbeats to a node.

    It returns the fetched addresses, the document versions at which the node notified
    its peers, and the final document version.
    """
    monkeypatch.setattr(state_sync, "REMOTE_FETCH_DELAY_S", 0.05)

    def deliver(*heartbeats):
        fetched = []

        async def fetch(address, node, version, settings):
            fetched.append(address)
            await asyncio.sleep(0.01)
            document = RoutingDocument(int(address[-1]), (), ())
            return Ok((Snapshot(int(address[-1]), (), document), 0.0))

        async def run_node():
            monkeypatch.setattr(state_sync, "fetch_snapshot", fetch)
            fleet = Fleet(SETTINGS, SystemClock(), Random(1))
            tasks = FakeTasks()
            node = StateSync(fleet, SimpleNamespace(), tasks)
            updates = []
            node.on_update = lambda: updates.append(fleet.published.version)
            for received in heartbeats:
                node.on_heartbeat(received)
            # The delay and the fetches may take arbitrarily long on a busy machine.
            async with asyncio.timeout(FETCHES_TIMEOUT_S):
                while node._remote_fetch is not None or node._is_fetching:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
            await asyncio.gather(*tasks.all)
            node.close()
            return fetched, updates, fleet.published.version

        return asyncio.run(run_node())

    return deliver


class TestOnHeartbeat:
    def test_own_domain_is_fetched_at_once(self, run):
        """A fetch within the own domain must not wait for one from another domain.

        When it has finished, the pending fetch from the other domain is not needed.
        """
        fetched, updates, version = run(
            heartbeat("far7", "b", 7), heartbeat("near7", "a", 7)
        )
        assert (fetched, updates, version) == (["near7"], [], 7)

    def test_other_domain_is_fetched_if_the_own_one_is_silent(self, run):
        """State must not become stale while the own reader cannot reach the platform.

        Then the node fetches it from another domain after a delay.
        """
        fetched, updates, version = run(
            heartbeat("far7", "b", 7), heartbeat("far8", "b", 8)
        )
        assert (fetched, updates, version) == (["far7"], [7], 7)

    def test_older_state_is_not_fetched(self, run):
        """A node must not fetch state that is older than its own."""
        fetched, _, version = run(
            heartbeat("near9", "a", 9), heartbeat("near3", "a", 3)
        )
        assert (fetched, version) == (["near9"], 9)
