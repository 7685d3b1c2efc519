"""Helpers for tests that run against a stack of processes."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

from dandelionpond_standins.client import Prompt, make_text
from dandelionpond_standins.example_settings import MODEL, VERSION, ExampleSettings
from dandelionpond_standins.launcher import Stack, StackOptions

T = TypeVar("T")

POLL_INTERVAL_S = 0.05


def run_stack(
    folder: Path,
    scenario: Callable[[Stack], Awaitable[T]],
    settings: ExampleSettings | None = None,
    **options: Any,
) -> T:
    """Start a stack, run a coroutine function on it and return its result.

    The stack has example settings unless others are given. Its published settings are
    written below `folder`, and `options` are those of `StackOptions`.
    """

    async def run() -> T:
        published = (settings or ExampleSettings()).write(folder / "settings")
        async with Stack(StackOptions(settings=published, **options)) as stack:
            return await scenario(stack)

    return asyncio.run(run())


def caller_urls(stack: Stack) -> list[str]:
    """Return the base URL for callers of each node, sorted by the nodes' names.

    `Stack.nodes` is in the order in which the nodes started, which varies between runs.
    """
    return [
        f"http://{stack.nodes[name].startup_info['caller_address']}"
        for name in sorted(stack.nodes)
    ]


def example_prompt(
    tokens: int, seed: str = "a", max_tokens: int = 16, timeout_s: float = 60.0
) -> Prompt:
    """Return a prompt of `tokens` tokens for the model of the example settings."""
    return Prompt(
        model=MODEL,
        version=VERSION,
        text=make_text(tokens, seed),
        max_tokens=max_tokens,
        timeout_s=timeout_s,
    )


async def count_executions(stack: Stack) -> dict[str, int]:
    """Return the number of executions of each call body, over all plain services."""
    counts: dict[str, int] = {}
    for child in stack.services.values():
        url = f"{child.url}/control/executions"
        async with stack.session.get(url) as response:
            service_counts = (await response.json())["by_body"]
        for body, count in service_counts.items():
            counts[body] = counts.get(body, 0) + count
    return counts


async def wait_until(
    condition: Callable[[], Awaitable[bool]], timeout_s: float = 60.0
) -> None:
    """Wait until a condition holds; raise `TimeoutError` after `timeout_s` seconds."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while not await condition():
        if loop.time() > deadline:
            raise TimeoutError(f"the condition did not hold within {timeout_s} s")
        await asyncio.sleep(POLL_INTERVAL_S)
