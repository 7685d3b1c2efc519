"""Run the whole path once as separate processes and check every answer.

`make run` starts this module. The exit code is 0 if every answer is complete and the
caller's own, and if every non-idempotent call ran exactly once.
"""

import asyncio
import sys
from pathlib import Path

import cyclopts
import msgspec
from rich.console import Console
from rich.table import Table

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

LENGTHS = (1_000, 4_000, 20_000, 100_000, 300_000, 1_000_000)
PROMPTS_PER_LENGTH = 3
PAYMENTS = 6
REPOSITORY = Path(__file__).parents[4]

app = cyclopts.App(help="Run the whole path once and check every answer.")


class Payment(msgspec.Struct):
    """Hold one non-idempotent call, its repeat through another node and its count."""

    body: str
    first: CallResult
    repeat: CallResult
    executions: int = 0

    @property
    def is_right(self) -> bool:
        """Return whether it ran once and both tries say so."""
        return (
            self.executions == 1
            and self.first.status == 200
            and self.repeat.status == 200
            and self.repeat.body == self.first.body
        )


class Demo:
    """Send prompts and payments through the nodes of a running stack."""

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
        self._service = next(
            name
            for name, service in settings.services.items()
            if not service.idempotent and not service.deduplicates
        )
        accounts = sorted(
            settings.client_accounts.items(),
            key=lambda item: (-item[1].limits.tokens_per_s, item[0]),
        )
        self._readers = [
            name for name, account in accounts if _may_use(account.models, self._model)
        ]
        self._payer = next(
            name
            for name, account in accounts
            if _may_use(account.services, self._service)
        )

    async def prompts(self) -> list[PromptResult]:
        """Send prompts of all lengths at once, alternating between the nodes."""
        version = self._stack.settings.models[self._model].version
        jobs = []
        for number in range(PROMPTS_PER_LENGTH):
            for index, tokens in enumerate(LENGTHS):
                url = self._urls[(number + index) % len(self._urls)]
                prompt = Prompt(
                    model=self._model,
                    version=version,
                    text=make_text(tokens, f"{number}-{tokens}"),
                    max_tokens=24,
                    timeout_s=240,
                )
                key = f"demo-{self._readers[number % len(self._readers)]}"
                jobs.append(
                    send_prompt_with_retries(self._stack.session, url, key, prompt)
                )
        return await asyncio.gather(*jobs)

    async def payments(self) -> list[Payment]:
        """Run each payment through one node and repeat it through another."""
        jobs = [self._payment(number) for number in range(PAYMENTS)]
        payments = await asyncio.gather(*jobs)
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

    async def _payment(self, number: int) -> Payment:
        session, service = self._stack.session, self._service
        key = f"demo-{self._payer}"
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


def show_prompts(console: Console, results: list[PromptResult]) -> bool:
    """Print time to first token by prompt length; return whether all are complete."""
    table = Table(title="Time to first token by prompt length")
    for column in ("prompt tokens", "answers", "complete", "median s", "longest s"):
        table.add_column(column, justify="right")
    for tokens in LENGTHS:
        group = [result for result in results if result.prompt_tokens == tokens]
        complete = [r for r in group if r.verdict is Verdict.COMPLETE]
        times = sorted(result.ttft_s for result in complete)
        median = f"{times[len(times) // 2]:.3f}" if times else "-"
        longest = f"{times[-1]:.3f}" if times else "-"
        cells = (f"{tokens:,}", str(len(group)), str(len(complete)), median, longest)
        table.add_row(*cells)
    console.print(table)
    for result in results:
        if result.verdict is not Verdict.COMPLETE:
            console.print(
                f"{result.prompt_tokens} tokens: {result.verdict} "
                f"{result.status} {result.error} {result.request_id}"
            )
    return all(result.verdict is Verdict.COMPLETE for result in results)


def show_payments(console: Console, payments: list[Payment]) -> bool:
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
    return all(payment.is_right for payment in payments)


@app.default
async def main(
    *,
    settings: Path = REPOSITORY / "examples" / "mwambao",
    nodes_per_domain: int = 1,
    engine_speed: float = 4.0,
) -> int:
    """Start the stack, send the requests, print the tables and stop everything.

    Parameters
    ----------
    settings
        Folder of published settings.
    nodes_per_domain
        Number of nodes in each failure domain.
    engine_speed
        Seconds of model time for each real second.
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
            prompts, payments = await asyncio.gather(demo.prompts(), demo.payments())
    except StackError as error:
        print(f"demo: {error}", file=sys.stderr)
        return 1
    is_right = [show_prompts(console, prompts), show_payments(console, payments)]
    return 0 if all(is_right) else 1


if __name__ == "__main__":
    sys.exit(app())
