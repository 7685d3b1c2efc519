"""Count what the prompts of client accounts met at one node, since it started."""

import msgspec

from dandelionpond.errors import ERROR_RESPONSES, ErrorKind

MAX_ACCOUNTS = 512
# Statuses with which a node refuses a request that was not run.
REFUSAL_STATUSES = frozenset((408, 421, 429, 503))


class AccountTotals(msgspec.Struct):
    """The prompts that an account has sent, and what became of them.

    A prompt is admitted when it is placed first; it may still be refused if its engine
    rejects it and no other one is left. `refused` is by kind of error.
    """

    asked: int = 0
    admitted: int = 0
    refused: dict[str, int] = msgspec.field(default_factory=dict)


class AccountTotalsTable:
    """The totals by account; further ones share `others` at `MAX_ACCOUNTS`."""

    __slots__ = ("_totals", "at_bound", "others")

    def __init__(self) -> None:
        self._totals: dict[str, AccountTotals] = {}
        self.others = AccountTotals()
        # The number of prompts that were counted in `others`.
        self.at_bound = 0

    def busiest(self) -> list[tuple[str, AccountTotals]]:
        """Return the accounts with their totals, the one that asked most first."""
        return sorted(self._totals.items(), key=lambda item: -item[1].asked)

    def record_asked(self, account: str) -> None:
        """Count a prompt that an account has sent."""
        if account not in self._totals and len(self._totals) >= MAX_ACCOUNTS:
            self.at_bound += 1
            self.others.asked += 1
            return
        self._totals.setdefault(account, AccountTotals()).asked += 1

    def record_admitted(self, account: str) -> None:
        """Count a prompt that was placed for the first time."""
        self._totals.get(account, self.others).admitted += 1

    def record_refused(self, account: str, kind: ErrorKind) -> None:
        """Count a prompt that ended with an error of this node, if it is a refusal."""
        if ERROR_RESPONSES[kind].status in REFUSAL_STATUSES:
            refused = self._totals.get(account, self.others).refused
            refused[kind] = refused.get(kind, 0) + 1
