"""Apply the limits of client accounts and count what each one used."""

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
    """Count what one client account used on this node since its start."""

    requests: int = 0
    calls: int = 0
    prompt_tokens: int = 0
    generated_tokens: int = 0
    refused: dict[str, int] = {}


class Accounts:
    """Drive `AccountLimiter` and `LimitShares`."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self.limiter = AccountLimiter(core.settings.limits)
        self.shares = LimitShares(core.local.name, core.settings.limits, core.now())
        self.usage: dict[str, Usage] = {}
        core.on_settings.append(self._configure)

    def admit(
        self, account: str, tokens: int, request_id: str
    ) -> Result[Admitted, Failure]:
        """Admit a request or say why it is refused."""
        now = self._core.now()
        self.shares.record_demand(account, tokens, self.limiter.in_flight(account))
        limits = self._core.settings.client_accounts[account].limits
        # The share is worked out at use: working out all of them on each change would
        # cost seconds with thousands of client accounts.
        share = self.shares.share(account, now)
        self.limiter.set_share(account, limits, share, now)
        match self.limiter.admit(account, float(tokens), now, request_id):
            case Admitted() as admitted:
                return Ok(admitted)
            case Refused(kind, retry_after_s, made) as refused:
                if made is not None:
                    self._core.record(LIMIT, made, refused.outcome)
                message = f"client account {account!r} is over its limit on this node"
                failure = Failure(kind, message, retry_after_s)
                self.count_refusal(account, failure)
                return Error(failure)

    def admit_call(self, account: str, request_id: str) -> Result[Admitted, Failure]:
        """Admit a plain call, which counts for concurrency but has no tokens."""
        return self.admit(account, 0, request_id)

    def finished(self, admitted: Admitted, used_tokens: int) -> None:
        """Record the end of a request."""
        self.limiter.finish(admitted, float(used_tokens), self._core.now())

    def of(self, account: str) -> Usage:
        """Return the counters of a client account that is in the settings."""
        return self.usage.setdefault(account, Usage())

    def count_refusal(self, account: str, failure: Failure) -> None:
        """Count a refusal by its kind."""
        refused = self.of(account).refused
        refused[failure.kind] = refused.get(failure.kind, 0) + 1

    def set_members(self, names: tuple[str, ...]) -> None:
        """Take the live nodes of the failure domain."""
        self.shares.set_members(names, self._core.now())

    def due_demands(self) -> list[SendDemand]:
        """Return the demand to report now; demand for this node is answered here."""
        now = self._core.now()
        others = []
        for demand in self.shares.due_reports(now):
            if demand.to != self._core.local.name:
                others.append(demand)
                continue
            for grant in self.answer_demands(demand.to, list(demand.reports)):
                self.accept_grant(demand.to, grant, now)
        return others

    def answer_demands(self, sender: str, reports: list[DemandReport]) -> list[Grant]:
        """Answer the demand of a node as aggregator."""
        now = self._core.now()
        answers = [self.shares.answer_demand(sender, report, now) for report in reports]
        return [grant for grant in answers if grant is not None]

    def accept_grant(self, sender: str, grant: Grant, asked_at: float) -> None:
        """Take a grant."""
        self.shares.accept_grant(sender, grant, asked_at)

    def _configure(self, settings: Settings) -> None:
        limits = {
            name: account.limits for name, account in settings.client_accounts.items()
        }
        parts = {
            name: domain.limit_share
            for name, domain in settings.failure_domains.items()
        }
        self.limiter.configure(settings.limits)
        self.shares.configure(limits, parts, self._core.local.failure_domain)
        for name in [name for name in self.usage if name not in limits]:
            del self.usage[name]
        self.limiter.retain(limits)
