"""Measure how the cost of each duty grows, for the capacity page.

`make slopes` runs all of them. Each slope has at least four points and is fitted by
least squares. Memory is what Python allocates; processor time is of this process.
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

MICRO = 1e6
PER_FILE = 50
SHARED_HASHES = tuple(range(16))

app = cyclopts.App(help="Measure how the cost of each duty grows.")


class Point(msgspec.Struct, frozen=True):
    """Hold one measured size."""

    size: int
    memory_bytes: int
    cpu_us: float


class Slope(msgspec.Struct, frozen=True):
    """Hold a fitted line: `memory_bytes` and `cpu_us` for each unit of size.

    `cpu_us` of a point is the processor time of one operation named by `operation`.
    """

    duty: str
    unit: str
    operation: str
    points: list[Point]
    memory_bytes_per_unit: float
    cpu_us_per_unit: float
    cpu_us_fixed: float


def _fit(duty: str, unit: str, operation: str, points: list[Point]) -> Slope:
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


def _point(size: int, build: Callable[[], Any], operate: Callable[[Any], int]) -> Point:
    """Build a state of a size, then time `operate`, which returns its repeats."""
    tracemalloc.start()
    state = build()
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    start = time.process_time()
    repeats = operate(state)
    spent = time.process_time() - start
    return Point(size, memory, round(spent / repeats * MICRO, 3))


def membership() -> Slope:
    """Measure the view of peers: one heartbeat interval against the peers known."""
    settings = MembershipSettings()
    own = Identity("node-0", 1, 1)

    def build(size: int) -> Membership:
        view = Membership(own, "127.0.0.1:1", "fd0", settings, random.Random(1), 0.0)
        vms = tuple(
            Vm(f"node-{i}", "node", f"127.0.0.1:{i}", f"fd{i % 8}", "live")
            for i in range(1, size + 1)
        )
        view.platform_list_received(PlatformList(1, vms), 0.0)
        return view

    def operate(view: Membership) -> int:
        rounds = 200
        peer = Identity("node-1", 5, 5)
        for number in range(rounds):
            now = number * settings.heartbeat_interval_s
            view.tick(now)
            message = Exchange(
                peer, "127.0.0.1:1", "fd1", "serving", number + 10, 1, "d"
            )
            view.exchange_received(message, now)
            view.reply_to(message)
        return rounds

    points = [
        _point(size, lambda size=size: build(size), operate)  # type: ignore[misc]
        for size in (250, 500, 1_000, 2_000, 3_500)
    ]
    operation = "a tick, a received exchange and its reply"
    return _fit("membership", "peer", operation, points)


def settings_change() -> Slope:
    """Measure a change of one file against the client accounts in the folder."""

    def build(size: int) -> tuple[SettingsState, dict[str, bytes], int]:
        files = build_folder(size, size, PER_FILE)
        settings_state = SettingsState()
        settings_state.offer(1, files, 0.0)
        return settings_state, files, size

    def operate(state: tuple[SettingsState, dict[str, bytes], int]) -> int:
        settings_state, files, size = state
        changes = 20
        for change in range(changes):
            content = build_account_file(0, size, PER_FILE, 2.0 + change)
            files = {**files, "20-accounts-00000.json": content}
            settings_state.offer(2 + change, files, 0.0)
        return changes

    points = [
        _point(size, lambda size=size: build(size), operate)  # type: ignore[misc]
        for size in (1_000, 2_500, 5_000, 9_500)
    ]
    unit = "client account with one upstream"
    return _fit("settings", unit, "a change of one file of 50", points)


def limits() -> Slope:
    """Measure limits against the client accounts with demand on this node."""
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

    def operate(state: tuple[AccountLimiter, LimitShares, list[str]]) -> int:
        _, shares, names = state
        seconds = 20
        for second in range(1, seconds + 1):
            for name in names[: len(names) // 10]:
                shares.record_demand(name, 1_000.0, 0)
            shares.due_reports(float(second))
        return seconds

    points = [
        _point(size, lambda size=size: build(size), operate)  # type: ignore[misc]
        for size in (1_000, 2_500, 5_000, 9_500)
    ]
    operation = "a second of reports, a tenth of the accounts with demand"
    return _fit("limits", "client account", operation, points)


def admission() -> Slope:
    """Measure one admission against the accounts in use, with its share."""
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

    def operate(state: tuple[AccountLimiter, LimitShares, list[str]]) -> int:
        limiter, shares, names = state
        calls = 5_000
        for call in range(calls):
            name = names[call % len(names)]
            limiter.set_share(name, account, shares.share(name, 0.0), 0.0)
            limiter.admit(name, 10.0, 0.0)
        return calls

    points = [
        _point(size, lambda size=size: build(size), operate)  # type: ignore[misc]
        for size in (1_000, 2_500, 5_000, 9_500)
    ]
    return _fit("admission", "client account in use", "one admission", points)


def routing() -> Slope:
    """Measure one choice against the engines in reach."""
    policy = RoutingSettings()

    def build(size: int) -> Router:
        router = Router(policy, random.Random(1), lambda *_: True)
        traits = EngineCapacity(400_000, 20_000.0, 2_000.0)
        router.set_engines({f"engine-{i}": traits for i in range(size)})
        for i in range(size):
            report = LoadReport(f"engine-{i}", 0.5, {1: 100.0 * i, 4: 500.0}, 1_000.0)
            router.record_load_report(report, 1.0)
        return router

    def operate(router: Router) -> int:
        choices = 500
        for number in range(choices):
            request = router.build_request(f"r{number}", 2_000, 200, 30.0)
            choice, made = router.route(request, SHARED_HASHES, 1.0)
            assert choice.engine is not None
            router.record_sent(made, choice.engine, choice.ttft_s, SHARED_HASHES, 1.0)
            router.record_first_token(f"r{number}", choice.engine, 1.1)
            router.record_finished(f"r{number}", 1.2)
        return choices

    points = [
        _point(size, lambda size=size: build(size), operate)  # type: ignore[misc]
        for size in (4, 8, 16, 24, 32)
    ]
    return _fit("routing", "engine in reach", "one request from choice to end", points)


def tickets() -> Slope:
    """Measure the ticket table against the used tickets that it keeps."""
    settings = RequestsSettings(max_tickets=200_000)
    rule = Service()
    outcome = Outcome(200, b"x" * 256)

    def use(table: TicketTable, number: int) -> None:
        body = number.to_bytes(32, "big")
        text = table.issue("acme", "pay", 0.0)
        match table.classify(text, "acme", "pay", rule, body, 0.0):
            case RunWithTicket(ticket):
                run = table.begin(ticket, body, 0.0)
                table.finish(ticket, run.ok, outcome, 0.0)

    def build(size: int) -> TicketTable:
        own = Identity("node-0", 1, 1)
        table = TicketTable(own, "127.0.0.1:1", b"s" * 32, settings, random.Random(1))
        for number in range(size):
            use(table, number)
        return table

    def operate(table: TicketTable) -> int:
        calls = 2_000
        for number in range(calls):
            use(table, 1_000_000 + number)
        return calls

    points = [
        _point(size, lambda size=size: build(size), operate)  # type: ignore[misc]
        for size in (1_000, 5_000, 20_000, 50_000)
    ]
    return _fit("tickets", "used ticket", "issue, classify, begin and finish", points)


def records() -> Slope:
    """Measure the ring of decision records; each has 32 candidates."""
    policy = RoutingSettings()
    router = Router(policy, random.Random(1), lambda *_: True)
    traits = EngineCapacity(400_000, 20_000.0, 2_000.0)
    router.set_engines({f"engine-{i}": traits for i in range(32)})
    for i in range(32):
        router.record_load_report(
            LoadReport(f"engine-{i}", 0.5, {1: 100.0 * i}, 1_000.0), 1.0
        )

    def record(recorder: Recorder, number: int) -> None:
        request = router.build_request(f"r{number}", 2_000, 200, 30.0)
        choice, made = router.route(request, (), 1.0)
        recorder.record(ROUTE, made, choice, 1.0, "digest")

    def build(size: int) -> Recorder:
        recorder = Recorder(RecordSettings(ring_size=size), __version__)
        for number in range(size):
            record(recorder, number)
        return recorder

    def operate(recorder: Recorder) -> int:
        request = router.build_request("r", 2_000, 200, 30.0)
        choice, made = router.route(request, (), 1.0)
        calls = 20_000
        for _ in range(calls):
            recorder.record(ROUTE, made, choice, 1.0, "digest")
        return calls

    points = [
        _point(size, lambda size=size: build(size), operate)  # type: ignore[misc]
        for size in (256, 512, 1_024, 2_048)
    ]
    return _fit("record", "record with 32 candidates", "one record", points)


def leases() -> Slope:
    """Measure the lease table against the streams in flight, over 32 engines."""
    settings = MemorySettings()

    def build(size: int) -> LeaseTable:
        table = LeaseTable("node/1", settings, random.Random(1))
        for number in range(size):
            table.acquire(f"engine-{number % 32}", f"r{number}", 0.0)
        return table

    def operate(table: LeaseTable) -> int:
        seconds = 25
        for tick in range(seconds * 5):
            table.tick(tick / 5)
        return seconds

    points = [
        _point(size, lambda size=size: build(size), operate)  # type: ignore[misc]
        for size in (250, 500, 1_000, 2_000)
    ]
    return _fit("leases", "stream in flight", "a second of ticks", points)


MEASURES: dict[str, Callable[[], Slope]] = {
    "membership": membership,
    "settings": settings_change,
    "limits": limits,
    "admission": admission,
    "routing": routing,
    "tickets": tickets,
    "record": records,
    "leases": leases,
}


@app.default
def main(*, only: list[str] | None = None) -> int:
    """Measure the slopes and print each as one JSON line.

    Parameters
    ----------
    only
        Names of duties; all without it.
    """
    for name in only or list(MEASURES):
        if name not in MEASURES:
            print(f"slopes: unknown duty {name!r}", file=sys.stderr)
            return 2
        print(json.dumps(msgspec.to_builtins(MEASURES[name]())), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(app())
