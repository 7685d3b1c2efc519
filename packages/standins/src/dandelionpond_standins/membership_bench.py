"""Measure the cost and the spreading time of membership in a pure loop.

No socket is opened. Messages are encoded with protobuf and delivered by a simulated
clock after 5 ms within a region and 40 ms between regions. Bytes are those of the
protobuf messages plus `--overhead` for each message, an allowance for gRPC, HTTP/2 and
TCP/IP headers that this loop does not measure.

Above 400 nodes each node starts with 160 random peers: full tables for 3,500 nodes do
not fit the memory of one test machine. One table of full size is measured apart.
"""

import argparse
import heapq
import time
import tracemalloc
from random import Random

import msgspec

from dandelionpond.identity import Identity
from dandelionpond.membership.messages import (
    PeerState,
    PlatformList,
    Rumor,
    SendExchange,
    UpstreamRumorReceived,
    Vm,
)
from dandelionpond.membership.peers import Membership
from dandelionpond.membership.rumors import RumorQueue
from dandelionpond.membership.settings import MembershipSettings
from dandelionpond.peer import peer_pb2 as pb
from dandelionpond.peer.messages import PeerMessage
from dandelionpond.peer.translate import message_from_proto, message_to_proto

DOMAINS, REGIONS = 8, 4
DIGEST = "5f" * 32


class Fleet:
    """Run the nodes of one fleet on a simulated clock in seconds."""

    def __init__(self, size: int, settings: MembershipSettings, seed: int) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.nodes: list[Membership] = []
        self.messages = self.bytes = self.largest = 0
        self.heard: dict[str, dict[int, float]] = {}
        self.dead: set[int] = set()
        # A partition: nodes on different sides lose each other's messages.
        self.side = [0] * size
        self._events: list[tuple[float, int, int, str, object, int]] = []
        self._sequence = 0
        self._wake = [0.0] * size
        self.vms = [
            Vm(
                f"vm-{i:05}",
                "node",
                f"10.{i >> 8}.{i & 255}.17:7400",
                self.domain(i),
                "",
            )
            for i in range(size)
        ]
        for index, vm in enumerate(self.vms):
            identity = Identity(vm.name, 1_790_000_000_000 + index, self._nonce())
            node = Membership(
                identity, vm.address, vm.failure_domain, settings, self.random, 0.0
            )
            known = self.vms if size <= 400 else self.random.sample(self.vms, 160)
            node.platform_list_received(PlatformList(1, tuple(known)), 0.0)
            node.settings_revision_changed(45_000, DIGEST, 0.0)
            # A fleet that has run for a while: nobody announces itself.
            node._queue = RumorQueue(settings.max_pending_rumors)
            node._local_node.heartbeat = 100 + index
            self.nodes.append(node)
            self._push(self.random.random(), index, "tick", None, 0)

    def domain(self, index: int) -> str:
        """Return the failure domain of a node."""
        return f"region-{index % DOMAINS % REGIONS}-d{index % DOMAINS}"

    def spread(self, index: int, subject: str) -> None:
        """Let one node report that an upstream is leaving."""
        rumor = Rumor(subject, "upstream", "leaving", 0, 0, 1 << 16, "", "d", "vm")
        self.heard[subject] = {index: self.now}
        self.nodes[index].spread_rumor(rumor, self.now)
        self._wake_up(index)

    def run(self, until: float) -> None:
        """Deliver events up to a time in seconds."""
        while self._events and self._events[0][0] <= until:
            self.now, _, index, kind, data, peer = heapq.heappop(self._events)
            node = self.nodes[index]
            if index in self.dead:
                continue
            if kind == "tick":
                if self._wake[index] != self.now:
                    continue
                for action in node.tick(self.now):
                    if isinstance(action, SendExchange):
                        self._deliver(
                            index, int(action.peer[3:]), "ask", action.message
                        )
            elif kind == "failed":
                node.exchange_failed(self.vms[peer].name, self.now)
            else:
                message = pb.ExchangeMessage.FromString(data)
                exchange = message_from_proto(message).exchange
                actions = node.exchange_received(
                    exchange, self.now, is_reply=kind == "reply"
                )
                for action in actions:
                    if isinstance(action, UpstreamRumorReceived):
                        self._take(index, action.rumor)
                if kind == "ask":
                    self._deliver(index, peer, "reply", node.reply_to(exchange))
            self._wake_up(index)
        self.now = until

    def _take(self, index: int, rumor: Rumor) -> None:
        times = self.heard[rumor.subject]
        if index not in times:
            times[index] = self.now
            self.nodes[index].spread_rumor(rumor, self.now)

    def _wake_up(self, index: int) -> None:
        at = max(self.nodes[index].next_tick_at, self.now)
        if at != self._wake[index]:
            self._push(at, index, "tick", None, 0)

    def _deliver(self, sender: int, receiver: int, kind: str, exchange) -> None:
        data = message_to_proto(PeerMessage(exchange)).SerializeToString()
        self.messages += 1
        self.bytes += len(data)
        self.largest = max(self.largest, len(data))
        if receiver in self.dead or self.side[sender] != self.side[receiver]:
            if kind == "ask":
                self._push(self.now + 2.0, sender, "failed", None, receiver)
            return
        is_near = sender % DOMAINS % REGIONS == receiver % DOMAINS % REGIONS
        at = self.now + (0.005 if is_near else 0.040)
        self._push(at, receiver, kind, data, sender)

    def _push(self, at: float, index: int, kind: str, data, peer: int) -> None:
        self._sequence += 1
        if kind == "tick":
            self._wake[index] = at
        heapq.heappush(self._events, (at, self._sequence, index, kind, data, peer))

    def _nonce(self) -> int:
        return self.random.getrandbits(64)


def measure(size: int, seconds: float, overhead: int, settings, seed: int) -> None:
    """Print the cost of one fleet at rest, with daily churn and during a change."""
    fleet = Fleet(size, settings, seed)
    fleet.run(15.0)
    for label, per_day in (("at rest", 0.0), ("churn", 1.0)):
        fleet.messages = fleet.bytes = fleet.largest = 0
        start, cpu = fleet.now, time.process_time()
        revision, churn = 45_000, 0
        while fleet.now < start + seconds:
            if per_day:
                # 45,000 settings changes a day reach each node about every 2 s; 3,550
                # VM changes a day with three rumors each are one rumor in 8 s.
                if int(fleet.now) % 2 == 0:
                    revision += 1
                    for index, node in enumerate(fleet.nodes):
                        node.settings_revision_changed(revision, DIGEST, fleet.now)
                        fleet._wake_up(index)
                if int(fleet.now) % 8 == 0:
                    churn += 1
                    fleet.spread(churn % size, f"churn-{fleet.now}")
            fleet.run(fleet.now + 1.0)
        cpu = time.process_time() - cpu
        node_seconds = size * seconds
        sent = fleet.messages / node_seconds
        raw = fleet.bytes / node_seconds
        print(
            f"{size:5} {label:8} messages sent/s {sent:5.2f}  protobuf sent B/s "
            f"{raw:6.0f}  with overhead sent {raw + sent * overhead:6.0f} "
            f"sent+received {2 * (raw + sent * overhead):6.0f}  largest "
            f"{fleet.largest} B  cpu {cpu / node_seconds * 1e6:6.0f} us/s",
            flush=True,
        )
    times = []
    for trial in range(5):
        subject = f"change-{trial}"
        fleet.spread(fleet.random.randrange(size), subject)
        start = fleet.now
        fleet.run(start + 6.0)
        heard = sorted(at - start for at in fleet.heard[subject].values())
        p99 = heard[int(len(heard) * 0.99) - 1]
        times.append((len(heard), p99, heard[-1]))
    known = ", ".join(f"{n}/{size} p99 {p:.2f} max {m:.2f}" for n, p, m in times)
    print(f"{size:5} spread s: {known}", flush=True)
    wrong = sum(
        peer.state is not PeerState.LIVE for node in fleet.nodes for peer in node.peers
    )
    print(f"{size:5} entries wrongly not live: {wrong}", flush=True)


def count_states(fleet: Fleet, state: PeerState, subject: str | None = None) -> int:
    """Return how many entries of running nodes have a state."""
    return sum(
        peer.state is state and subject in (None, peer.name)
        for index, node in enumerate(fleet.nodes)
        if index not in fleet.dead
        for peer in node.peers
    )


def measure_faults(size: int, settings: MembershipSettings, seed: int) -> None:
    """Print what a crash and a partition of an eighth of the fleet lead to."""
    fleet = Fleet(size, settings, seed)
    fleet.run(30.0)
    fleet.dead.add(3)
    name, start, first = fleet.vms[3].name, fleet.now, None
    while count_states(fleet, PeerState.GONE, name) < size - 1:
        fleet.run(fleet.now + 0.5)
        suspects = count_states(fleet, PeerState.SUSPECT, name)
        first = first or (fleet.now - start if suspects else None)
        if fleet.now > start + 200.0:
            break
    print(
        f"{size:5} crash: first suspicion {first} s, gone on all "
        f"{fleet.now - start:.1f} s, others wrongly not live: "
        f"{count_states(fleet, PeerState.SUSPECT)} suspect",
        flush=True,
    )
    for index in range(size):
        fleet.side[index] = int(index % DOMAINS == 0)
    fleet.bytes, start = 0, fleet.now
    fleet.run(start + 120.0)
    sent = fleet.bytes / size / 120.0
    kept = sum(
        peer.state is not PeerState.LIVE
        for index, node in enumerate(fleet.nodes)
        if index not in fleet.dead
        for peer in node.peers
        if fleet.side[int(peer.name[3:])] == fleet.side[index] and peer.name != name
    )
    gone = count_states(fleet, PeerState.GONE)
    print(
        f"{size:5} partition of 120 s: protobuf sent {sent:.0f} B/s, entries of the "
        f"own side wrongly not live {kept}, gone entries {gone}",
        flush=True,
    )
    fleet.side = [0] * size
    start, fleet.bytes = fleet.now, 0
    while fleet.now < start + 300.0:
        fleet.run(fleet.now + 1.0)
        away = count_states(fleet, PeerState.GONE) - (size - 1)
        if away + count_states(fleet, PeerState.SUSPECT) <= 0:
            break
    span = fleet.now - start
    print(
        f"{size:5} healed: all live again after {span:.0f} s, entries left {away}, "
        f"protobuf sent {fleet.bytes / size / span:.0f} B/s",
        flush=True,
    )


def measure_table(size: int, settings: MembershipSettings) -> None:
    """Print memory and tick time of one node that knows the whole fleet."""
    vms = tuple(
        Vm(f"vm-{i:05}", "node", f"10.0.{i >> 8}.{i & 255}:7400", f"d{i % DOMAINS}", "")
        for i in range(size)
    )
    tracemalloc.start()
    node = Membership(Identity("me", 1, 1), "a:1", "d0", settings, Random(1), 0.0)
    node.platform_list_received(PlatformList(1, vms), 0.0)
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    start = time.process_time()
    for step in range(1, 501):
        node.tick(float(step))
    spent = (time.process_time() - start) / 500
    print(f"{size:5} one full table: {held / 1e6:.2f} MB, tick {spent * 1e6:.0f} us")


def main() -> None:
    """Run the measurement for each fleet size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[20, 200, 1000, 3500])
    parser.add_argument("--seconds", type=float, default=16.0)
    parser.add_argument("--overhead", type=int, default=150)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--fanout", type=int, default=MembershipSettings().fanout)
    parser.add_argument("--faults", action="store_true")
    options = parser.parse_args()
    settings = msgspec.structs.replace(MembershipSettings(), fanout=options.fanout)
    if options.faults:
        for size in options.sizes:
            measure_faults(size, settings, options.seed)
        return
    for size in options.sizes:
        measure_table(size, settings)
        measure(size, options.seconds, options.overhead, settings, options.seed)


if __name__ == "__main__":
    main()
