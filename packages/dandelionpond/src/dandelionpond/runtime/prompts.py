"""Runner of prompts, from admission to the release of engine memory."""

from collections.abc import AsyncIterator

from dandelionpond.errors import Execution, Failure
from dandelionpond.http.gateway import Delta, End, PromptRequest
from dandelionpond.requests.attempts import PromptAttempts
from dandelionpond.requests.budget import RetryBudgets
from dandelionpond.requests.pause_detector import PAUSE_THRESHOLD_S
from dandelionpond.requests.reassembly import PieceCounters
from dandelionpond.runtime.accounts import Accounts
from dandelionpond.runtime.core import Core
from dandelionpond.runtime.crashing_prompts import CrashingPrompts
from dandelionpond.runtime.engines import Engines
from dandelionpond.runtime.lost_memory import LostMemoryNotifier
from dandelionpond.runtime.prompt_run import AnswerEvent, PromptCounters, PromptRun

# A prompt counts as late if it ends more than this many seconds after its deadline. A
# busy event loop alone causes less delay than this.
LATE_THRESHOLD_S = PAUSE_THRESHOLD_S


class PromptRunner:
    """The runner of prompts on the engines in reach."""

    def __init__(
        self,
        core: Core,
        accounts: Accounts,
        engines: Engines,
        crashing_prompts: CrashingPrompts,
    ) -> None:
        self.core = core
        self.accounts = accounts
        self.engines = engines
        self.crashing_prompts = crashing_prompts
        self.budgets = RetryBudgets(core.settings.requests)
        self.in_flight = 0
        self.counters = PromptCounters()
        self.piece_counters = PieceCounters()
        self.lost_memory = LostMemoryNotifier(engines.leases)
        self._runs: set[PromptRun] = set()
        core.settings_listeners.append(
            lambda settings: self.budgets.configure(settings.requests)
        )

    async def run(self, request: PromptRequest) -> AsyncIterator[AnswerEvent]:
        """Yield the answer of a prompt; closing the iterator cancels the prompt."""
        core, accounts = self.core, self.accounts
        usage = accounts.usage_of(request.account)
        usage.requests += 1
        admitted = accounts.admit(
            request.account,
            request.prompt_tokens + request.max_tokens,
            request.request_id,
        )
        if admitted.is_error():
            self._count_outcome("refused")
            yield admitted.error
            return
        run = PromptRun(
            core,
            self.engines,
            self.budgets,
            self.counters,
            self.lost_memory,
            self.crashing_prompts,
            request,
        )
        self._runs.add(run)
        self.in_flight += 1
        core.metrics.in_flight.labels("prompt").set(self.in_flight)
        outcome = "cancelled"
        try:
            failure = await run.place()
            if failure is not None:
                outcome = self._outcome_of(request, failure)
                yield failure
                return
            async for event in run.stream_answer():
                if not isinstance(event, Delta):
                    outcome = self._outcome_of(request, event)
                yield event
        finally:
            run.close()
            self._runs.discard(run)
            if run.attempts is not None:
                self._add_counters(run.attempts)
            self.counters.ended_late += core.now() > request.deadline + LATE_THRESHOLD_S
            self.in_flight -= 1
            core.metrics.in_flight.labels("prompt").set(self.in_flight)
            self._count_outcome(outcome)
            prompt_tokens = request.prompt_tokens if run.was_sent else 0
            accounts.finish(admitted.ok, prompt_tokens + run.generated_tokens)
            usage.prompt_tokens += prompt_tokens
            usage.generated_tokens += run.generated_tokens
            core.metrics.tokens.labels("prompt").inc(prompt_tokens)
            core.metrics.tokens.labels("generated").inc(run.generated_tokens)

    def _outcome_of(self, request: PromptRequest, event: End | Failure) -> str:
        """Return the outcome label for the metrics and count a failure."""
        if isinstance(event, End):
            return "complete"
        self.accounts.count_refusal(request.account, event)
        return "refused" if event.execution is Execution.NOT_RUN else "failed"

    def interrupt_all(self) -> None:
        """Interrupt all running prompts; their callers get a failure."""
        for run in list(self._runs):
            run.interrupt()

    def _add_counters(self, attempts: PromptAttempts) -> None:
        self.counters.add(attempts)
        for name in PieceCounters.__struct_fields__:
            total = getattr(self.piece_counters, name) + getattr(
                attempts.counters, name
            )
            setattr(self.piece_counters, name, total)

    def _count_outcome(self, outcome: str) -> None:
        self.core.metrics.requests.labels("prompt", outcome).inc()
