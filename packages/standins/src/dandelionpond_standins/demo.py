"""Demonstration: send prompts and calls to a stack of processes and check the answers.

`make run` starts this module. The exit code is 0 if every prompt got its complete and
correct answer and every non-idempotent call ran exactly once.
"""

import asyncio
import sys
from pathlib import Path

import cyclopts
import msgspec
from rich.console import Console
from rich.table import Table

from dandelionpond.config.schema import EngineUpstream
from dandelionpond_standins.client import (
    CallResult,
    Prompt,
    PromptResult,
    Verdict,
    get_ticket,
    make_text,
    send_call,
    send_prompt_with_retries,
)
from dandelionpond_standins.launcher import Stack, StackError, StackOptions

PROMPT_LENGTHS_TOKENS = (1_000, 4_000, 20_000, 100_000, 300_000, 1_000_000)
PROMPTS_PER_LENGTH = 3
PAYMENT_COUNT = 6
# Time in seconds for which an engine and a service want no requests after a rejection.
REJECTION_S = 1.0
REPOSITORY = Path(__file__).parents[4]

app = cyclopts.App(
    help="Send prompts and calls to a stack of processes and check the answers."
)


class Payment(msgspec.Struct):
    """Non-idempotent call, its repetition through another node and its executions."""

    body: str
    first: CallResult
    repeat: CallResult
    executions: int = 0

    @property
    def is_correct(self) -> bool:
        """Return whether the call ran once and both tries got the same answer."""
        return (
            self.executions == 1
            and self.first.status == 200
            and self.repeat.status == 200
            and self.repeat.body == self.first.body
        )


class Demo:
    """Sends prompts and payments through the nodes of a running stack."""

    def __init__(self, stack: Stack) -> None:
        self._stack = stack
        self._urls = [
            f"http://{child.startup_info['caller_address']}"
            for child in stack.nodes.values()
        ]
        settings = stack.settings
        self._model = max(
            settings.models, key=lambda name: settings.models[name].max_prompt_tokens
        )
        # A service whose rejections are trusted comes first, because a rejected call
        # of another one may not be sent again.
        self._service = min(
            (
                name
                for name, service in settings.services.items()
                if not service.idempotent and not service.deduplicates
            ),
            key=lambda name: not settings.services[name].states_not_run,
        )
        self._rejecting_engine = min(
            name
            for name, upstream in settings.upstreams.items()
            if isinstance(upstream, EngineUpstream) and self._model in upstream.models
        )
        accounts = sorted(
            settings.client_accounts.items(),
            key=lambda item: (-item[1].limits.tokens_per_s, item[0]),
        )
        self._model_accounts = [
            name for name, account in accounts if _may_use(account.models, self._model)
        ]
        self._payment_account = next(
            name
            for name, account in accounts
            if _may_use(account.services, self._service)
        )

    async def set_marks(self) -> None:
        """Let an engine and a service reject with a time, and another service leave."""
        stack = self._stack
        engine = stack.engines[self._rejecting_engine]
        await stack.control(engine, "reject_s", REJECTION_S)
        faults = ["says_leaving"]
        if stack.settings.services[self._service].states_not_run:
            faults.append("rejected")
        workers = [stack.services[name] for name in sorted(stack.services)]
        for worker, fault in zip(workers[1:], faults, strict=False):
            content = {"fault": fault, "calls": 1, "seconds": REJECTION_S}
            await stack.control(worker, "faults", content)

    async def end_rejections(self) -> None:
        """Let the engine accept prompts again after the time that it named."""
        await asyncio.sleep(REJECTION_S)
        engine = self._stack.engines[self._rejecting_engine]
        await self._stack.control(engine, "reject_s", 0.0)

    async def count_marks(self) -> dict[str, int]:
        """Return how often nodes learned that an upstream paused or left."""
        counts: dict[str, int] = {}
        for node in self._stack.nodes:
            dump = await self._stack.call_operator_api(node, "/v1/dump")
            for event, count in dump["counters"]["marks"].items():
                counts[event] = counts.get(event, 0) + count
        return counts

    async def send_prompts(self) -> list[PromptResult]:
        """Send prompts of all lengths concurrently, distributed over the nodes."""
        version = self._stack.settings.models[self._model].version
        tasks = []
        for number in range(PROMPTS_PER_LENGTH):
            for index, tokens in enumerate(PROMPT_LENGTHS_TOKENS):
                url = self._urls[(number + index) % len(self._urls)]
                prompt = Prompt(
                    model=self._model,
                    version=version,
                    text=make_text(tokens, f"{number}-{tokens}"),
                    max_tokens=24,
                    timeout_s=240,
                )
                key = f"demo-{self._model_accounts[number % len(self._model_accounts)]}"
                tasks.append(
                    send_prompt_with_retries(self._stack.session, url, key, prompt)
                )
        return await asyncio.gather(*tasks)

    async def send_payments(self) -> list[Payment]:
        """Send each payment through one node and again through another."""
        tasks = [self._send_payment(number) for number in range(PAYMENT_COUNT)]
        payments = await asyncio.gather(*tasks)
        counts: dict[str, int] = {}
        for child in self._stack.services.values():
            url = f"{child.url}/control/executions"
            async with self._stack.session.get(url) as response:
                by_body = (await response.json())["by_body"]
            for body, count in by_body.items():
                counts[body] = counts.get(body, 0) + count
        for payment in payments:
            payment.executions = counts.get(payment.body, 0)
        return payments

    async def _send_payment(self, number: int) -> Payment:
        session, service = self._stack.session, self._service
        key = f"demo-{self._payment_account}"
        first_url = self._urls[number % len(self._urls)]
        second_url = self._urls[(number + 1) % len(self._urls)]
        body = f'{{"payment":{number}}}'
        ticket = await get_ticket(session, first_url, key, service)
        results = [
            await send_call(session, url, key, service, body.encode(), ticket)
            for url in (first_url, second_url)
        ]
        return Payment(body, results[0], results[1])


def _may_use(permitted: tuple[str, ...], name: str) -> bool:
    return "*" in permitted or name in permitted


def print_prompts(console: Console, results: list[PromptResult]) -> bool:
    """Print time to first token by prompt length; return whether all are complete."""
    table = Table(title="Time to first token by prompt length")
    for column in ("prompt tokens", "answers", "complete", "median s", "longest s"):
        table.add_column(column, justify="right")
    for tokens in PROMPT_LENGTHS_TOKENS:
        matching = [result for result in results if result.prompt_tokens == tokens]
        complete = [r for r in matching if r.verdict is Verdict.COMPLETE]
        times = sorted(result.ttft_s for result in complete)
        median = f"{times[len(times) // 2]:.3f}" if times else "-"
        longest = f"{times[-1]:.3f}" if times else "-"
        cells = (f"{tokens:,}", str(len(matching)), str(len(complete)), median, longest)
        table.add_row(*cells)
    console.print(table)
    for result in results:
        if result.verdict is not Verdict.COMPLETE:
            console.print(
                f"{result.prompt_tokens} tokens: {result.verdict} "
                f"{result.status} {result.error} {result.request_id}"
            )
    return all(result.verdict is Verdict.COMPLETE for result in results)


def print_payments(console: Console, payments: list[Payment]) -> bool:
    """Print the outcome of each payment; return whether each ran exactly once."""
    table = Table(title="Non-idempotent calls, each repeated through another node")
    for column in ("call", "first try", "repeat", "same answer", "executions"):
        table.add_column(column)
    for payment in payments:
        table.add_row(
            payment.body,
            f"{payment.first.status} {payment.first.execution} {payment.first.error}",
            f"{payment.repeat.status} {payment.repeat.execution} "
            f"{payment.repeat.error}",
            "yes" if payment.first.body == payment.repeat.body else "no",
            str(payment.executions),
        )
    console.print(table)
    return all(payment.is_correct for payment in payments)


@app.default
async def main(
    *,
    settings: Path = REPOSITORY / "examples" / "mwambao",
    nodes_per_domain: int = 1,
    engine_speed: float = 4.0,
) -> int:
    """Start a stack, send the requests, print the results and stop the stack.

    Parameters
    ----------
    settings
        Folder of published settings.
    nodes_per_domain
        Number of nodes in each failure domain.
    engine_speed
        Simulated seconds per second of real time.
    """
    console = Console(width=100)
    options = StackOptions(
        settings=settings, nodes_per_domain=nodes_per_domain, engine_speed=engine_speed
    )
    try:
        async with Stack(options) as stack:
            demo = Demo(stack)
            console.print(
                f"{len(stack.children)} processes: 1 platform, "
                f"{len(stack.engines)} engines, {len(stack.services)} plain services, "
                f"{len(stack.nodes)} nodes in "
                f"{len(stack.settings.failure_domains)} failure domains"
            )
            await demo.set_marks()
            prompts, payments, _ = await asyncio.gather(
                demo.send_prompts(), demo.send_payments(), demo.end_rejections()
            )
            marks = await demo.count_marks()
    except StackError as error:
        print(f"demo: {error}", file=sys.stderr)
        return 1
    checks = [print_prompts(console, prompts), print_payments(console, payments)]
    console.print(f"upstreams that paused or left, counted by each node: {marks}")
    return 0 if all(checks) else 1


if __name__ == "__main__":
    sys.exit(app())
