"""Test when a node tells peers of itself."""

from random import Random

from dandelionpond.clock import SystemClock
from dandelionpond.entry.fleet import Fleet
from dandelionpond.entry.mesh import Mesh
from dandelionpond.entry.settings import EntrySettings
from dandelionpond.forwarding.budget import BudgetSettings
from dandelionpond.mesh.messages import Beat, decode, encode

SETTINGS = EntrySettings(
    name="n1",
    failure_domain="a",
    front_address="127.0.0.1:1",
    ready_address="127.0.0.1:2",
    metrics_address="127.0.0.1:3",
    mesh_address="127.0.0.1:4",
    fetch_address="127.0.0.1:5",
    store_address="127.0.0.1:6",
    seeds=("10.0.0.1:7",),
    grace_s=8.0,
    budget=BudgetSettings(),
)


class Transport:
    """Keep the datagrams that are sent, by address."""

    def __init__(self):
        self.sent = []

    def is_closing(self):
        return False

    def sendto(self, data, address):
        self.sent.append((f"{address[0]}:{address[1]}", decode(data)))


def mesh_with_transport():
    mesh = Mesh(Fleet(SETTINGS, SystemClock(), Random(1)), lambda beat: None)
    transport = Transport()
    mesh.connection_made(transport)
    return mesh, transport


def beat(address, **fields):
    return encode(Beat("n9", address, 1, 1, "a", False, 0, 0, 0, -1, **fields))


class TestWantedAnswer:
    def test_answer_names_the_sender(self):
        """Guard against a node that starts and hears of nobody."""
        mesh, transport = mesh_with_transport()
        mesh.datagram_received(beat("10.0.0.1:7", wants_answer=True), ("10.0.0.1", 7))
        assert [(to, one.node) for to, one in transport.sent] == [("10.0.0.1:7", "n1")]


class TestNodesThatStartTogether:
    def test_address_learned_from_a_seed_is_told_at_once(self):
        """Guard against nodes that start together and all take the same engine."""
        mesh, transport = mesh_with_transport()
        data = beat("10.0.0.1:7", peers=("10.0.0.2:7", "10.0.0.3:7"))
        mesh.datagram_received(data, ("10.0.0.1", 7))
        told = {to for to, _ in transport.sent}
        assert {"10.0.0.2:7", "10.0.0.3:7"} <= told
