"""Describe what a node knows of accounts, cold upstreams and evacuations.

The description is bounded and contains neither keys nor prompt text.
"""

import msgspec

from dandelionpond.admission.account_totals import AccountTotalsTable
from dandelionpond.entry.evacuations import EvacuationReporter
from dandelionpond.entry.fleet import Fleet

# Limits on what one dump holds. With them it has less than 256 KiB.
MAX_ACCOUNTS = 64
MAX_COLD = 128
MAX_EVACUATIONS = 64
MAX_REQUESTS = 20
MAX_NAME_LENGTH = 80


class AccountDump(msgspec.Struct, frozen=True):
    """What one account's prompts met at this node.

    `share_used` is the account's part of the fleet's engine time in about the last
    10 s. `while_short` has the counts since capacity became short, None if it is not.
    """

    account: str
    asked: int
    admitted: int
    waiting: int
    refused: dict[str, int]
    share_used: float
    while_short: dict[str, int] | None


class ColdDump(msgspec.Struct, frozen=True):
    """A cold upstream: the rate that it bears, its hard bound, what this node sent."""

    upstream: str
    reason: str
    left_s: float
    is_gateway: bool
    requests_per_s: float
    limit_per_s: float
    sent: int


class EvacuationDump(msgspec.Struct, frozen=True):
    """An evacuated failure domain and this node's requests that still run there."""

    failure_domain: str
    revision: int
    evacuated_s: float
    running: int
    requests: tuple[str, ...]


class NodeDump(msgspec.Struct, frozen=True):
    """The dump of one node; `left_out` has what was omitted at a limit, by table.

    `other_accounts` are the counts of accounts beyond those that are tracked.
    """

    node: str
    version: int
    store_revision: int
    list_age_s: float | None
    is_capacity_short: bool
    waiting: int
    refused_and_due: int
    accounts: list[AccountDump]
    other_accounts: dict[str, object]
    cold_upstreams: list[ColdDump]
    evacuations: list[EvacuationDump]
    left_out: dict[str, int]


def describe_node(
    fleet: Fleet, totals: AccountTotalsTable, reporter: EvacuationReporter
) -> NodeDump:
    """Return the dump of a node; it changes nothing that later decisions use."""
    now = fleet.now()
    room, published = fleet.room, fleet.published
    age_s = published.list_age_s(now)
    busiest = totals.busiest()
    tracker = fleet.cold.tracker
    cold = () if tracker is None else tracker.cold_upstreams(now)
    evacuations = reporter.describe()
    return NodeDump(
        fleet.settings.name,
        published.version,
        published.list_revision,
        None if age_s is None else round(age_s, 3),
        room.is_short(now),
        len(room),
        room.remembered,
        _describe_accounts(fleet, totals, now),
        msgspec.structs.asdict(totals.others),
        [
            ColdDump(
                upstream.instance[:MAX_NAME_LENGTH],
                upstream.reason,
                round(max(0.0, upstream.until - now), 3),
                upstream.is_gateway,
                upstream.requests_per_s,
                upstream.limit,
                upstream.sent,
            )
            for upstream in cold[:MAX_COLD]
        ],
        [
            EvacuationDump(
                report.failure_domain[:MAX_NAME_LENGTH],
                report.revision,
                round(report.age_s, 3),
                len(report.requests),
                tuple(
                    name[:MAX_NAME_LENGTH] for name in report.requests[:MAX_REQUESTS]
                ),
            )
            for report in evacuations[:MAX_EVACUATIONS]
        ],
        {
            "accounts": max(0, len(busiest) - MAX_ACCOUNTS),
            "cold_upstreams": max(0, len(cold) - MAX_COLD),
            "evacuations": max(0, len(evacuations) - MAX_EVACUATIONS),
        },
    )


def _describe_accounts(
    fleet: Fleet, totals: AccountTotalsTable, now: float
) -> list[AccountDump]:
    room = fleet.room
    used, waiting = room.used(now), room.waiting_by_account()
    total_s = sum(used.values()) or 1.0
    accounts = []
    for name, counts in totals.busiest()[:MAX_ACCOUNTS]:
        in_room = room.accounts.get(name)
        accounts.append(
            AccountDump(
                name[:MAX_NAME_LENGTH],
                counts.asked,
                counts.admitted,
                waiting.get(name, 0),
                counts.refused,
                round(used.get(name, 0.0) / total_s, 3),
                None if in_room is None else msgspec.structs.asdict(in_room),
            )
        )
    return accounts
