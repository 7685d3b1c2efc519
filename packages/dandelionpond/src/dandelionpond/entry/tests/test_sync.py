"""Test from whom and when a node learns the published state."""

import asyncio
from random import Random
from types import SimpleNamespace

import pytest
from expression import Ok

from dandelionpond.clock import SystemClock
from dandelionpond.entry import sync
from dandelionpond.entry.fleet import Fleet
from dandelionpond.entry.settings import EntrySettings
from dandelionpond.entry.sync import Sync
from dandelionpond.forwarding.budget import BudgetSettings
from dandelionpond.mesh.messages import Beat
from dandelionpond.published.messages import RoutingDocument, Snapshot

# Time in seconds in which the scenario must end at all; no bound of the product.
PATIENCE_S = 20.0
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


class Tasks:
    """Start tasks and keep them."""

    def __init__(self):
        self.all = []

    def spawn(self, work, name):
        self.all.append(asyncio.create_task(work))


def beat(node, domain, version):
    return Beat(
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
    """Return a function that tells a node of beats and returns whom it asked."""
    monkeypatch.setattr(sync, "FAR_DELAY_S", 0.05)

    def play(*beats):
        asked = []

        async def fetch(address, node, version, settings):
            asked.append(address)
            await asyncio.sleep(0.01)
            document = RoutingDocument(int(address[-1]), (), ())
            return Ok((Snapshot(int(address[-1]), (), document), 0.0))

        async def scenario():
            monkeypatch.setattr(sync, "fetch_snapshot", fetch)
            fleet = Fleet(SETTINGS, SystemClock(), Random(1))
            tasks = Tasks()
            node = Sync(fleet, SimpleNamespace(), tasks)
            news = []
            node.on_news = lambda: news.append(fleet.keeper.version)
            for one in beats:
                node.heard(one)
            # A busy machine may take any time for the wait and the fetches.
            async with asyncio.timeout(PATIENCE_S):
                while node._far is not None or node._is_fetching:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
            await asyncio.gather(*tasks.all)
            node.close()
            return asked, news, fleet.keeper.version

        return asyncio.run(scenario())

    return play


class TestHeard:
    def test_own_domain_is_asked_at_once(self, run):
        """Guard against a wait for another domain that delays the own one's news."""
        asked, news, version = run(beat("far7", "b", 7), beat("near7", "a", 7))
        assert (asked, news, version) == (["near7"], [], 7)

    def test_another_domain_is_asked_if_the_own_one_is_silent(self, run):
        """Guard against a domain whose reader has lost the platform."""
        asked, news, version = run(beat("far7", "b", 7), beat("far8", "b", 8))
        assert (asked, news, version) == (["far7"], [7], 7)

    def test_older_news_are_left(self, run):
        """Guard against fetches of what the node has."""
        asked, _, version = run(beat("near9", "a", 9), beat("near3", "a", 3))
        assert (asked, version) == (["near9"], 9)
