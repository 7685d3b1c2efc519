"""Simulates the membership protocol and measures its cost and how fast rumors spread.

No socket is opened. Messages are encoded with protobuf and delivered on a simulated
clock after 5 ms within a region and 40 ms between regions. Bytes are those of the
protobuf messages plus `--overhead` for each message, an estimate for the gRPC, HTTP/2
and TCP/IP headers, which the simulation does not produce.

In fleets of more than 400 nodes, each node starts with 160 random peers, because full
tables for 3,500 nodes do not fit into the memory of one test machine. One table of full
size is measured separately.
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

DOMAIN_COUNT, REGION_COUNT = 8, 4
DIGEST = "5f" * 32


class FleetSimulation:
    """Discrete-event simulation of one fleet; simulated times are in seconds."""

    def __init__(self, size: int, settings: MembershipSettings, seed: int) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.nodes: list[Membership] = []
        self.message_count = self.sent_bytes = self.largest_bytes = 0
        self.rumor_arrivals: dict[str, dict[int, float]] = {}
        self.crashed: set[int] = set()
        # Messages between nodes on different sides of a partition are lost.
        self.partition_side = [0] * size
        self._events: list[tuple[float, int, int, str, object, int]] = []
        self._sequence = 0
        self._next_tick_at = [0.0] * size
        self.vms = [
            Vm(
                f"vm-{i:05}",
                "node",
                f"10.{i >> 8}.{i & 255}.17:7400",
                self.failure_domain(i),
                "",
            )
            for i in range(size)
        ]
        for index, vm in enumerate(self.vms):
            identity = Identity(vm.name, 1_790_000_000_000 + index, self._draw_nonce())
            node = Membership(
                identity, vm.address, vm.failure_domain, settings, self.random, 0.0
            )
            peers = self.vms if size <= 400 else self.random.sample(self.vms, 160)
            node.platform_list_received(PlatformList(1, tuple(peers)), 0.0)
            node.settings_revision_changed(45_000, DIGEST, 0.0)
            # Start as a fleet that has been running for a while: without the rumors by
            # which new nodes announce themselves.
            node._queue = RumorQueue(settings.max_pending_rumors)
            node._local_node.heartbeat = 100 + index
            self.nodes.append(node)
            self._schedule(self.random.random(), index, "tick", None, 0)

    def failure_domain(self, index: int) -> str:
        """Return the failure domain of the node with the given index."""
        return f"region-{index % DOMAIN_COUNT % REGION_COUNT}-d{index % DOMAIN_COUNT}"

    def report_leaving(self, index: int, subject: str) -> None:
        """Make a node start a rumor that the upstream `subject` is leaving."""
        rumor = Rumor(subject, "upstream", "leaving", 0, 0, 1 << 16, "", "d", "vm")
        self.rumor_arrivals[subject] = {index: self.now}
        self.nodes[index].spread_rumor(rumor, self.now)
        self._schedule_tick(index)

    def run(self, until: float) -> None:
        """Process all events up to the simulated time `until`, in seconds."""
        while self._events and self._events[0][0] <= until:
            self.now, _, index, event_kind, data, peer = heapq.heappop(self._events)
            node = self.nodes[index]
            if index in self.crashed:
                continue
            if event_kind == "tick":
                if self._next_tick_at[index] != self.now:
                    continue
                for action in node.tick(self.now):
                    if isinstance(action, SendExchange):
                        self._send(
                            index, int(action.peer[3:]), "request", action.message
                        )
            elif event_kind == "failed":
                node.exchange_failed(self.vms[peer].name, self.now)
            else:
                message = pb.ExchangeMessage.FromString(data)
                exchange = message_from_proto(message).exchange
                actions = node.exchange_received(
                    exchange, self.now, is_reply=event_kind == "reply"
                )
                for action in actions:
                    if isinstance(action, UpstreamRumorReceived):
                        self._record_rumor(index, action.rumor)
                if event_kind == "request":
                    self._send(index, peer, "reply", node.reply_to(exchange))
            self._schedule_tick(index)
        self.now = until

    def _record_rumor(self, index: int, rumor: Rumor) -> None:
        arrivals = self.rumor_arrivals[rumor.subject]
        if index not in arrivals:
            arrivals[index] = self.now
            self.nodes[index].spread_rumor(rumor, self.now)

    def _schedule_tick(self, index: int) -> None:
        at = max(self.nodes[index].next_tick_at, self.now)
        if at != self._next_tick_at[index]:
            self._schedule(at, index, "tick", None, 0)

    def _send(self, sender: int, receiver: int, event_kind: str, exchange) -> None:
        data = message_to_proto(PeerMessage(exchange)).SerializeToString()
        self.message_count += 1
        self.sent_bytes += len(data)
        self.largest_bytes = max(self.largest_bytes, len(data))
        if (
            receiver in self.crashed
            or self.partition_side[sender] != self.partition_side[receiver]
        ):
            if event_kind == "request":
                self._schedule(self.now + 2.0, sender, "failed", None, receiver)
            return
        is_near = (
            sender % DOMAIN_COUNT % REGION_COUNT
            == receiver % DOMAIN_COUNT % REGION_COUNT
        )
        arrival_at = self.now + (0.005 if is_near else 0.040)
        self._schedule(arrival_at, receiver, event_kind, data, sender)

    def _schedule(
        self, at: float, index: int, event_kind: str, data, peer: int
    ) -> None:
        self._sequence += 1
        if event_kind == "tick":
            self._next_tick_at[index] = at
        heapq.heappush(
            self._events, (at, self._sequence, index, event_kind, data, peer)
        )

    def _draw_nonce(self) -> int:
        return self.random.getrandbits(64)


def measure(size: int, seconds: float, overhead: int, settings, seed: int) -> None:
    """Print the cost of a fleet and how fast a rumor spreads in it.

    The cost is measured for `seconds` of simulated time without changes, then for as
    long with the expected rate of changes. `overhead` is in bytes per message.
    """
    fleet = FleetSimulation(size, settings, seed)
    fleet.run(15.0)
    for label, churn_factor in (("at rest", 0.0), ("churn", 1.0)):
        fleet.message_count = fleet.sent_bytes = fleet.largest_bytes = 0
        start, cpu_s = fleet.now, time.process_time()
        revision, rumor_count = 45_000, 0
        while fleet.now < start + seconds:
            if churn_factor:
                # 45,000 settings changes a day are one in about 2 s for each node;
                # 3,550 VM changes a day with three rumors each are one rumor in 8 s.
                if int(fleet.now) % 2 == 0:
                    revision += 1
                    for index, node in enumerate(fleet.nodes):
                        node.settings_revision_changed(revision, DIGEST, fleet.now)
                        fleet._schedule_tick(index)
                if int(fleet.now) % 8 == 0:
                    rumor_count += 1
                    fleet.report_leaving(rumor_count % size, f"churn-{fleet.now}")
            fleet.run(fleet.now + 1.0)
        cpu_s = time.process_time() - cpu_s
        node_seconds = size * seconds
        messages_per_s = fleet.message_count / node_seconds
        bytes_per_s = fleet.sent_bytes / node_seconds
        print(
            f"{size:5} {label:8} messages sent/s {messages_per_s:5.2f}  "
            f"protobuf sent B/s {bytes_per_s:6.0f}  with overhead sent "
            f"{bytes_per_s + messages_per_s * overhead:6.0f} sent+received "
            f"{2 * (bytes_per_s + messages_per_s * overhead):6.0f}  largest "
            f"{fleet.largest_bytes} B  cpu {cpu_s / node_seconds * 1e6:6.0f} us/s",
            flush=True,
        )
    rumor_stats = []
    for trial in range(5):
        subject = f"change-{trial}"
        fleet.report_leaving(fleet.random.randrange(size), subject)
        start = fleet.now
        fleet.run(start + 6.0)
        delays = sorted(at - start for at in fleet.rumor_arrivals[subject].values())
        p99 = delays[int(len(delays) * 0.99) - 1]
        rumor_stats.append((len(delays), p99, delays[-1]))
    summary = ", ".join(
        f"{reached}/{size} p99 {p99:.2f} max {maximum:.2f}"
        for reached, p99, maximum in rumor_stats
    )
    print(f"{size:5} spread s: {summary}", flush=True)
    wrongly_not_live = sum(
        peer.state is not PeerState.LIVE for node in fleet.nodes for peer in node.peers
    )
    print(f"{size:5} entries wrongly not live: {wrongly_not_live}", flush=True)


def count_states(
    fleet: FleetSimulation, state: PeerState, subject: str | None = None
) -> int:
    """Return how many peer entries in the tables of running nodes have a state.

    With `subject`, only the entries for that node are counted.
    """
    return sum(
        peer.state is state and subject in (None, peer.name)
        for index, node in enumerate(fleet.nodes)
        if index not in fleet.crashed
        for peer in node.peers
    )


def measure_faults(size: int, settings: MembershipSettings, seed: int) -> None:
    """Print how a fleet detects a crash and recovers from a partition.

    The partition separates one failure domain, an eighth of the fleet, for 120 s.
    """
    fleet = FleetSimulation(size, settings, seed)
    fleet.run(30.0)
    fleet.crashed.add(3)
    name, start, first_suspicion_s = fleet.vms[3].name, fleet.now, None
    while count_states(fleet, PeerState.GONE, name) < size - 1:
        fleet.run(fleet.now + 0.5)
        suspect_entries = count_states(fleet, PeerState.SUSPECT, name)
        first_suspicion_s = first_suspicion_s or (
            fleet.now - start if suspect_entries else None
        )
        if fleet.now > start + 200.0:
            break
    print(
        f"{size:5} crash: first suspicion {first_suspicion_s} s, gone on all "
        f"{fleet.now - start:.1f} s, others wrongly not live: "
        f"{count_states(fleet, PeerState.SUSPECT)} suspect",
        flush=True,
    )
    for index in range(size):
        fleet.partition_side[index] = int(index % DOMAIN_COUNT == 0)
    fleet.sent_bytes, start = 0, fleet.now
    fleet.run(start + 120.0)
    bytes_per_s = fleet.sent_bytes / size / 120.0
    wrongly_not_live = sum(
        peer.state is not PeerState.LIVE
        for index, node in enumerate(fleet.nodes)
        if index not in fleet.crashed
        for peer in node.peers
        if fleet.partition_side[int(peer.name[3:])] == fleet.partition_side[index]
        and peer.name != name
    )
    gone_entries = count_states(fleet, PeerState.GONE)
    print(
        f"{size:5} partition of 120 s: protobuf sent {bytes_per_s:.0f} B/s, entries "
        f"of the own side wrongly not live {wrongly_not_live}, "
        f"gone entries {gone_entries}",
        flush=True,
    )
    fleet.partition_side = [0] * size
    start, fleet.sent_bytes = fleet.now, 0
    while fleet.now < start + 300.0:
        fleet.run(fleet.now + 1.0)
        entries_left = count_states(fleet, PeerState.GONE) - (size - 1)
        if entries_left + count_states(fleet, PeerState.SUSPECT) <= 0:
            break
    elapsed_s = fleet.now - start
    print(
        f"{size:5} healed: all live again after {elapsed_s:.0f} s, entries left "
        f"{entries_left}, protobuf sent {fleet.sent_bytes / size / elapsed_s:.0f} B/s",
        flush=True,
    )


def measure_table(size: int, settings: MembershipSettings) -> None:
    """Print the memory and the CPU time of a tick of a node that knows all nodes."""
    vms = tuple(
        Vm(
            f"vm-{i:05}",
            "node",
            f"10.0.{i >> 8}.{i & 255}:7400",
            f"d{i % DOMAIN_COUNT}",
            "",
        )
        for i in range(size)
    )
    tracemalloc.start()
    node = Membership(Identity("me", 1, 1), "a:1", "d0", settings, Random(1), 0.0)
    node.platform_list_received(PlatformList(1, vms), 0.0)
    table_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    start = time.process_time()
    for step in range(1, 501):
        node.tick(float(step))
    cpu_s = (time.process_time() - start) / 500
    print(
        f"{size:5} one full table: {table_bytes / 1e6:.2f} MB, "
        f"tick {cpu_s * 1e6:.0f} us"
    )


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
