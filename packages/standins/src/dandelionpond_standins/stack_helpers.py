"""Run scenarios against a small stack of real processes."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

from dandelionpond_standins.client import Prompt, make_text
from dandelionpond_standins.example_settings import MODEL, VERSION, ExampleSettings
from dandelionpond_standins.launcher import Stack, StackOptions

T = TypeVar("T")

POLL_S = 0.05


def run_stack(
    folder: Path,
    scenario: Callable[[Stack], Awaitable[T]],
    sample: ExampleSettings | None = None,
    **options: Any,
) -> T:
    """Start a stack with sample settings, run a scenario and return its result."""

    async def run() -> T:
        settings = (sample or ExampleSettings()).write(folder / "settings")
        async with Stack(StackOptions(settings=settings, **options)) as stack:
            return await scenario(stack)

    return asyncio.run(run())


def caller_urls(stack: Stack) -> list[str]:
    """Return the callers' URL of each node, in the order of the nodes' names.

    The order of `Stack.nodes` is that of their starts, which differs between runs.
    """
    return [
        f"http://{stack.nodes[name].startup_info['caller_address']}"
        for name in sorted(stack.nodes)
    ]


def example_prompt(
    tokens: int, seed: str = "a", max_tokens: int = 16, timeout_s: float = 60.0
) -> Prompt:
    """Return a prompt for the sample's model."""
    return Prompt(
        model=MODEL,
        version=VERSION,
        text=make_text(tokens, seed),
        max_tokens=max_tokens,
        timeout_s=timeout_s,
    )


async def count_executions(stack: Stack) -> dict[str, int]:
    """Return how often the plain services together ran each body."""
    counts: dict[str, int] = {}
    for child in stack.services.values():
        url = f"{child.url}/control/executions"
        async with stack.session.get(url) as response:
            found = (await response.json())["by_body"]
        for body, count in found.items():
            counts[body] = counts.get(body, 0) + count
    return counts


async def wait_until(
    condition: Callable[[], Awaitable[bool]], timeout_s: float = 60.0
) -> None:
    """Wait until a condition holds; raise TimeoutError after `timeout_s` seconds."""
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout_s
    while not await condition():
        if loop.time() > end:
            raise TimeoutError(f"the condition did not hold within {timeout_s} s")
        await asyncio.sleep(POLL_S)
