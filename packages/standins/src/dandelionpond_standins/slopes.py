"""Measures how the cost of each duty of a node grows, for the capacity page.

A duty is one of the node's tasks, such as membership or routing; its cost grows with
the number of peers, engines, accounts and so on. `make slopes` measures all duties.
Each slope is fitted to at least four points by least squares. Memory is what Python
allocates, as traced by tracemalloc; CPU time is that of this process.
"""

import json
import random
import sys
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import cyclopts
import msgspec
import numpy

from dandelionpond import __version__
from dandelionpond.config.schema import Service
from dandelionpond.config.state import SettingsState
from dandelionpond.decisions import ROUTE
from dandelionpond.identity import Identity
from dandelionpond.limits.limiter import AccountLimiter
from dandelionpond.limits.settings import AccountLimits, LimitsSettings
from dandelionpond.limits.shares import LimitShares
from dandelionpond.membership.messages import Exchange, PlatformList, Vm
from dandelionpond.membership.peers import Membership
from dandelionpond.membership.settings import MembershipSettings
from dandelionpond.memory.leases import LeaseTable
from dandelionpond.memory.settings import MemorySettings
from dandelionpond.record.recorder import Recorder
from dandelionpond.record.settings import RecordSettings
from dandelionpond.requests.messages import Outcome, RunWithTicket
from dandelionpond.requests.settings import RequestsSettings
from dandelionpond.requests.ticket_table import TicketTable
from dandelionpond.routing.load import EngineCapacity, LoadReport
from dandelionpond.routing.router import Router
from dandelionpond.routing.settings import RoutingSettings
from dandelionpond_standins.config_slopes import build_account_file, build_folder

US_PER_S = 1e6
ENTRIES_PER_FILE = 50
PREFIX_HASHES = tuple(range(16))

app = cyclopts.App(help="Measure how the cost of each duty grows.")


class Point(msgspec.Struct, frozen=True):
    """Cost at one size: the memory of the state and the CPU time of one operation."""

    size: int
    memory_bytes: int
    cpu_us: float


class Slope(msgspec.Struct, frozen=True):
    """Lines fitted to the points of a duty.

    `unit` is what a size counts and `operation` what one measured operation does.
    Memory grows by `memory_bytes_per_unit` with each unit of size. The CPU time of an
    operation is `cpu_us_fixed` plus `cpu_us_per_unit` for each unit, in microseconds.
    """

    duty: str
    unit: str
    operation: str
    points: list[Point]
    memory_bytes_per_unit: float
    cpu_us_per_unit: float
    cpu_us_fixed: float


def _fit_slope(duty: str, unit: str, operation: str, points: list[Point]) -> Slope:
    sizes = [point.size for point in points]
    memory = numpy.polyfit(sizes, [point.memory_bytes for point in points], 1)
    cpu = numpy.polyfit(sizes, [point.cpu_us for point in points], 1)
    return Slope(
        duty,
        unit,
        operation,
        points,
        round(float(memory[0]), 2),
        round(float(cpu[0]), 5),
        round(float(cpu[1]), 2),
    )


def _measure_point(
    size: int, build: Callable[[], Any], run_operations: Callable[[Any], int]
) -> Point:
    """Measure the memory of a state that `build` returns and the time of operations.

    `run_operations` performs operations on the state and returns their number.
    """
    tracemalloc.start()
    state = build()
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    start = time.process_time()
    operation_count = run_operations(state)
    elapsed_cpu_s = time.process_time() - start
    return Point(size, memory, round(elapsed_cpu_s / operation_count * US_PER_S, 3))


def measure_membership() -> Slope:
    """Measure one heartbeat interval of membership by the number of known peers."""
    settings = MembershipSettings()
    identity = Identity("node-0", 1, 1)

    def build(size: int) -> Membership:
        peer_table = Membership(
            identity, "127.0.0.1:1", "fd0", settings, random.Random(1), 0.0
        )
        vms = tuple(
            Vm(f"node-{i}", "node", f"127.0.0.1:{i}", f"fd{i % 8}", "live")
            for i in range(1, size + 1)
        )
        peer_table.platform_list_received(PlatformList(1, vms), 0.0)
        return peer_table

    def run_operations(peer_table: Membership) -> int:
        rounds = 200
        peer = Identity("node-1", 5, 5)
        for number in range(rounds):
            now = number * settings.heartbeat_interval_s
            peer_table.tick(now)
            message = Exchange(
                peer, "127.0.0.1:1", "fd1", "serving", number + 10, 1, "d"
            )
            peer_table.exchange_received(message, now)
            peer_table.reply_to(message)
        return rounds

    points = [
        _measure_point(size, lambda size=size: build(size), run_operations)  # type: ignore[misc]
        for size in (250, 500, 1_000, 2_000, 3_500)
    ]
    operation = "a tick, a received exchange and its reply"
    return _fit_slope("membership", "peer", operation, points)


def measure_settings_change() -> Slope:
    """Measure a change of one file by the number of client accounts in the folder."""

    def build(size: int) -> tuple[SettingsState, dict[str, bytes], int]:
        files = build_folder(size, size, ENTRIES_PER_FILE)
        settings_state = SettingsState()
        settings_state.offer(1, files, 0.0)
        return settings_state, files, size

    def run_operations(state: tuple[SettingsState, dict[str, bytes], int]) -> int:
        settings_state, files, size = state
        changes = 20
        for change in range(changes):
            content = build_account_file(0, size, ENTRIES_PER_FILE, 2.0 + change)
            files = {**files, "20-accounts-00000.json": content}
            settings_state.offer(2 + change, files, 0.0)
        return changes

    points = [
        _measure_point(size, lambda size=size: build(size), run_operations)  # type: ignore[misc]
        for size in (1_000, 2_500, 5_000, 9_500)
    ]
    unit = "client account with one upstream"
    return _fit_slope("settings", unit, "a change of one file of 50", points)


def measure_limits() -> Slope:
    """Measure a second of reports by the number of client accounts.

    A tenth of the accounts has demand on this node.
    """
    settings = LimitsSettings()
    account = AccountLimits()
    members = tuple(f"node-{i}" for i in range(437))

    def build(size: int) -> tuple[AccountLimiter, LimitShares, list[str]]:
        names = [f"account-{i}" for i in range(size)]
        shares = LimitShares("node-0", settings, 0.0)
        shares.configure(dict.fromkeys(names, account), {"fd0": 1.0}, "fd0")
        shares.set_members(members, 0.0)
        limiter = AccountLimiter(settings)
        for name in names[: size // 10]:
            limiter.set_share(name, account, shares.share(name, 0.0), 0.0)
            shares.record_demand(name, 1_000.0, 0)
        return limiter, shares, names

    def run_operations(state: tuple[AccountLimiter, LimitShares, list[str]]) -> int:
        _, shares, names = state
        seconds = 20
        for second in range(1, seconds + 1):
            for name in names[: len(names) // 10]:
                shares.record_demand(name, 1_000.0, 0)
            shares.due_reports(float(second))
        return seconds

    points = [
        _measure_point(size, lambda size=size: build(size), run_operations)  # type: ignore[misc]
        for size in (1_000, 2_500, 5_000, 9_500)
    ]
    operation = "a second of reports, a tenth of the accounts with demand"
    return _fit_slope("limits", "client account", operation, points)


def measure_admission() -> Slope:
    """Measure one admission and its share by the number of accounts in use."""
    settings = LimitsSettings()
    account = AccountLimits()

    def build(size: int) -> tuple[AccountLimiter, LimitShares, list[str]]:
        names = [f"account-{i}" for i in range(size)]
        shares = LimitShares("node-0", settings, 0.0)
        shares.configure(dict.fromkeys(names, account), {"fd0": 1.0}, "fd0")
        shares.set_members(tuple(f"node-{i}" for i in range(437)), 0.0)
        limiter = AccountLimiter(settings)
        for name in names:
            limiter.set_share(name, account, shares.share(name, 0.0), 0.0)
        return limiter, shares, names

    def run_operations(state: tuple[AccountLimiter, LimitShares, list[str]]) -> int:
        limiter, shares, names = state
        calls = 5_000
        for call in range(calls):
            name = names[call % len(names)]
            limiter.set_share(name, account, shares.share(name, 0.0), 0.0)
            limiter.admit(name, 10.0, 0.0)
        return calls

    points = [
        _measure_point(size, lambda size=size: build(size), run_operations)  # type: ignore[misc]
        for size in (1_000, 2_500, 5_000, 9_500)
    ]
    return _fit_slope("admission", "client account in use", "one admission", points)


def measure_routing() -> Slope:
    """Measure the routing of one request by the number of engines in reach."""
    routing_settings = RoutingSettings()

    def build(size: int) -> Router:
        router = Router(routing_settings, random.Random(1), lambda *_: True)
        capacity = EngineCapacity(400_000, 20_000.0, 2_000.0)
        router.set_engines({f"engine-{i}": capacity for i in range(size)})
        for i in range(size):
            report = LoadReport(f"engine-{i}", 0.5, {1: 100.0 * i, 4: 500.0}, 1_000.0)
            router.record_load_report(report, 1.0)
        return router

    def run_operations(router: Router) -> int:
        choices = 500
        for number in range(choices):
            request = router.build_request(f"r{number}", 2_000, 200, 30.0)
            choice, route_input = router.route(request, PREFIX_HASHES, 1.0)
            assert choice.engine is not None
            router.record_sent(
                route_input, choice.engine, choice.ttft_s, PREFIX_HASHES, 1.0
            )
            router.record_first_token(f"r{number}", choice.engine, 1.1)
            router.record_finished(f"r{number}", 1.2)
        return choices

    points = [
        _measure_point(size, lambda size=size: build(size), run_operations)  # type: ignore[misc]
        for size in (4, 8, 16, 24, 32)
    ]
    return _fit_slope(
        "routing", "engine in reach", "one request from choice to end", points
    )


def measure_tickets() -> Slope:
    """Measure one call with a ticket by the number of used tickets in the table."""
    settings = RequestsSettings(max_tickets=200_000)
    service_settings = Service()
    outcome = Outcome(200, b"x" * 256)

    def use_ticket(table: TicketTable, number: int) -> None:
        body = number.to_bytes(32, "big")
        key = table.issue("acme", "pay", 0.0)
        match table.classify(key, "acme", "pay", service_settings, body, 0.0):
            case RunWithTicket(ticket):
                run = table.begin(ticket, body, 0.0)
                table.finish(ticket, run.ok, outcome, 0.0)

    def build(size: int) -> TicketTable:
        identity = Identity("node-0", 1, 1)
        table = TicketTable(
            identity, "127.0.0.1:1", b"s" * 32, settings, random.Random(1)
        )
        for number in range(size):
            use_ticket(table, number)
        return table

    def run_operations(table: TicketTable) -> int:
        calls = 2_000
        for number in range(calls):
            use_ticket(table, 1_000_000 + number)
        return calls

    points = [
        _measure_point(size, lambda size=size: build(size), run_operations)  # type: ignore[misc]
        for size in (1_000, 5_000, 20_000, 50_000)
    ]
    return _fit_slope(
        "tickets", "used ticket", "issue, classify, begin and finish", points
    )


def measure_records() -> Slope:
    """Measure one decision record with 32 candidates by the size of the ring."""
    routing_settings = RoutingSettings()
    router = Router(routing_settings, random.Random(1), lambda *_: True)
    capacity = EngineCapacity(400_000, 20_000.0, 2_000.0)
    router.set_engines({f"engine-{i}": capacity for i in range(32)})
    for i in range(32):
        router.record_load_report(
            LoadReport(f"engine-{i}", 0.5, {1: 100.0 * i}, 1_000.0), 1.0
        )

    def record_choice(recorder: Recorder, number: int) -> None:
        request = router.build_request(f"r{number}", 2_000, 200, 30.0)
        choice, route_input = router.route(request, (), 1.0)
        recorder.record(ROUTE, route_input, choice, 1.0, "digest")

    def build(size: int) -> Recorder:
        recorder = Recorder(RecordSettings(ring_size=size), __version__)
        for number in range(size):
            record_choice(recorder, number)
        return recorder

    def run_operations(recorder: Recorder) -> int:
        request = router.build_request("r", 2_000, 200, 30.0)
        choice, route_input = router.route(request, (), 1.0)
        calls = 20_000
        for _ in range(calls):
            recorder.record(ROUTE, route_input, choice, 1.0, "digest")
        return calls

    points = [
        _measure_point(size, lambda size=size: build(size), run_operations)  # type: ignore[misc]
        for size in (256, 512, 1_024, 2_048)
    ]
    return _fit_slope("record", "record with 32 candidates", "one record", points)


def measure_leases() -> Slope:
    """Measure a second of ticks by the number of streams in flight on 32 engines."""
    settings = MemorySettings()

    def build(size: int) -> LeaseTable:
        table = LeaseTable("node/1", settings, random.Random(1))
        for number in range(size):
            table.acquire(f"engine-{number % 32}", f"r{number}", 0.0)
        return table

    def run_operations(table: LeaseTable) -> int:
        seconds = 25
        for tick in range(seconds * 5):
            table.tick(tick / 5)
        return seconds

    points = [
        _measure_point(size, lambda size=size: build(size), run_operations)  # type: ignore[misc]
        for size in (250, 500, 1_000, 2_000)
    ]
    return _fit_slope("leases", "stream in flight", "a second of ticks", points)


MEASUREMENTS: dict[str, Callable[[], Slope]] = {
    "membership": measure_membership,
    "settings": measure_settings_change,
    "limits": measure_limits,
    "admission": measure_admission,
    "routing": measure_routing,
    "tickets": measure_tickets,
    "record": measure_records,
    "leases": measure_leases,
}


@app.default
def main(*, only: list[str] | None = None) -> int:
    """Measure duties and print the slope of each as one JSON line.

    Parameters
    ----------
    only
        Names of the duties to measure; all by default.
    """
    for name in only or list(MEASUREMENTS):
        if name not in MEASUREMENTS:
            print(f"slopes: unknown duty {name!r}", file=sys.stderr)
            return 2
        print(json.dumps(msgspec.to_builtins(MEASUREMENTS[name]())), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(app())
