"""Run prompts: admit, place, stream, resume and release."""

from collections.abc import AsyncIterator

from dandelionpond.errors import Execution, Failure
from dandelionpond.http.gateway import Delta, End, PromptRequest
from dandelionpond.requests.attempts import PromptAttempts
from dandelionpond.requests.budget import RetryBudgets
from dandelionpond.requests.pause_detector import PAUSE_THRESHOLD_S
from dandelionpond.requests.reassembly import PieceCounters
from dandelionpond.runtime.accounts import Accounts
from dandelionpond.runtime.core import Core
from dandelionpond.runtime.engines import Engines
from dandelionpond.runtime.lost_memory import LostMemory
from dandelionpond.runtime.prompt_run import Answer, PromptCounters, PromptRun

# A request that ends later than this after its deadline, in seconds, was late. A loop
# that is only busy is less late.
LATE_S = PAUSE_THRESHOLD_S


class PromptRunner:
    """Serve prompts with the engines in reach."""

    def __init__(self, core: Core, accounts: Accounts, engines: Engines) -> None:
        self.core = core
        self.accounts = accounts
        self.engines = engines
        self.budgets = RetryBudgets(core.settings.requests)
        self.in_flight = 0
        self.counters = PromptCounters()
        self.piece_counters = PieceCounters()
        self.lost_memory = LostMemory(engines.leases)
        self._runs: set[PromptRun] = set()
        core.on_settings.append(
            lambda settings: self.budgets.configure(settings.requests)
        )

    async def run(self, request: PromptRequest) -> AsyncIterator[Answer]:
        """Yield the answer of a prompt; closing the iterator cancels it."""
        core, accounts = self.core, self.accounts
        usage = accounts.of(request.account)
        usage.requests += 1
        admitted = accounts.admit(
            request.account,
            request.prompt_tokens + request.max_tokens,
            request.request_id,
        )
        if admitted.is_error():
            self._count("refused")
            yield admitted.error
            return
        run = PromptRun(
            core, self.engines, self.budgets, self.counters, self.lost_memory, request
        )
        self._runs.add(run)
        self.in_flight += 1
        core.metrics.in_flight.labels("prompt").set(self.in_flight)
        outcome = "cancelled"
        try:
            failure = await run.start()
            if failure is not None:
                outcome = self._ended(request, failure)
                yield failure
                return
            async for event in run.answer():
                if not isinstance(event, Delta):
                    outcome = self._ended(request, event)
                yield event
        finally:
            run.close()
            self._runs.discard(run)
            if run.attempts is not None:
                self._count_attempts(run.attempts)
            self.counters.ended_late += core.now() > request.deadline + LATE_S
            self.in_flight -= 1
            core.metrics.in_flight.labels("prompt").set(self.in_flight)
            self._count(outcome)
            used = request.prompt_tokens if run.was_sent else 0
            accounts.finished(admitted.ok, used + run.generated)
            usage.prompt_tokens += used
            usage.generated_tokens += run.generated
            core.metrics.tokens.labels("prompt").inc(used)
            core.metrics.tokens.labels("generated").inc(run.generated)

    def _ended(self, request: PromptRequest, event: End | Failure) -> str:
        """Return the outcome for the metrics and count a refusal."""
        if isinstance(event, End):
            return "complete"
        self.accounts.count_refusal(request.account, event)
        return "refused" if event.execution is Execution.NOT_RUN else "failed"

    def interrupt_all(self) -> None:
        """Interrupt every prompt; callers get a failure."""
        for run in list(self._runs):
            run.interrupt()

    def _count_attempts(self, attempts: PromptAttempts) -> None:
        self.counters.add(attempts)
        for name in PieceCounters.__struct_fields__:
            total = getattr(self.piece_counters, name) + getattr(
                attempts.counters, name
            )
            setattr(self.piece_counters, name, total)

    def _count(self, outcome: str) -> None:
        self.core.metrics.requests.labels("prompt", outcome).inc()
