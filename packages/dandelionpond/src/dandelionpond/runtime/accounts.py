"""Limits and usage counts of client accounts."""

import msgspec
from expression import Error, Ok, Result

from dandelionpond.config.schema import Settings
from dandelionpond.decisions import LIMIT
from dandelionpond.errors import Failure
from dandelionpond.limits.limiter import AccountLimiter, Admitted, Refused
from dandelionpond.limits.messages import DemandReport, Grant, SendDemand
from dandelionpond.limits.shares import LimitShares
from dandelionpond.runtime.core import Core


class Usage(msgspec.Struct):
    """The usage of one client account on this node since the process started."""

    requests: int = 0
    calls: int = 0
    prompt_tokens: int = 0
    generated_tokens: int = 0
    refused: dict[str, int] = {}


class Accounts:
    """The limits of client accounts, enforced with this node's shares of them."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self.limiter = AccountLimiter(core.settings.limits)
        self.shares = LimitShares(core.local.name, core.settings.limits, core.now())
        self.usage: dict[str, Usage] = {}
        core.settings_listeners.append(self._configure)

    def admit(
        self, account: str, tokens: int, request_id: str
    ) -> Result[Admitted, Failure]:
        """Admit a request or return why it is refused."""
        now = self._core.now()
        self.shares.record_demand(account, tokens, self.limiter.in_flight(account))
        limits = self._core.settings.client_accounts[account].limits
        # Compute the share on use: recomputing all of them on each change would take
        # seconds with thousands of client accounts.
        share = self.shares.share(account, now)
        self.limiter.set_share(account, limits, share, now)
        match self.limiter.admit(account, float(tokens), now, request_id):
            case Admitted() as admitted:
                return Ok(admitted)
            case Refused(kind, retry_after_s, limit_input) as refusal:
                if limit_input is not None:
                    self._core.record(LIMIT, limit_input, refusal.outcome)
                message = f"client account {account!r} is over its limit on this node"
                failure = Failure(kind, message, retry_after_s)
                self.count_refusal(account, failure)
                return Error(failure)

    def admit_call(self, account: str, request_id: str) -> Result[Admitted, Failure]:
        """Admit a plain call, which counts towards concurrency but uses no tokens."""
        return self.admit(account, 0, request_id)

    def finish(self, admitted: Admitted, used_tokens: int) -> None:
        """Record the end of a request."""
        self.limiter.finish(admitted, float(used_tokens), self._core.now())

    def usage_of(self, account: str) -> Usage:
        """Return the usage of a client account, which must be in the settings."""
        return self.usage.setdefault(account, Usage())

    def count_refusal(self, account: str, failure: Failure) -> None:
        """Count a refusal by its kind."""
        refused = self.usage_of(account).refused
        refused[failure.kind] = refused.get(failure.kind, 0) + 1

    def set_members(self, names: tuple[str, ...]) -> None:
        """Set the peers of this failure domain that share its limits with this node."""
        self.shares.set_members(names, self._core.now())

    def due_demands(self) -> list[SendDemand]:
        """Return the demand reports due now for other nodes.

        Reports whose aggregator is this node are answered directly.
        """
        now = self._core.now()
        remote_demands = []
        for demand in self.shares.due_reports(now):
            if demand.to != self._core.local.name:
                remote_demands.append(demand)
                continue
            for grant in self.answer_demands(demand.to, list(demand.reports)):
                self.accept_grant(demand.to, grant, now)
        return remote_demands

    def answer_demands(self, sender: str, reports: list[DemandReport]) -> list[Grant]:
        """Return the grants for the demand of a node, as its aggregator."""
        now = self._core.now()
        answers = [self.shares.answer_demand(sender, report, now) for report in reports]
        return [grant for grant in answers if grant is not None]

    def accept_grant(self, sender: str, grant: Grant, asked_at: float) -> None:
        """Apply a grant of an aggregator to this node's share."""
        self.shares.accept_grant(sender, grant, asked_at)

    def _configure(self, settings: Settings) -> None:
        limits = {
            name: account.limits for name, account in settings.client_accounts.items()
        }
        domain_shares = {
            name: domain.limit_share
            for name, domain in settings.failure_domains.items()
        }
        self.limiter.configure(settings.limits)
        self.shares.configure(limits, domain_shares, self._core.local.failure_domain)
        for name in [name for name in self.usage if name not in limits]:
            del self.usage[name]
        self.limiter.retain(limits)
