"""Harness that runs several test cases on one stack, because a start takes seconds."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import TracebackType
from typing import Any, Self, TypeVar

import aiohttp

from dandelionpond.config.schema import EngineUpstream
from dandelionpond_standins.example_settings import ExampleSettings
from dandelionpond_standins.launcher import Stack, StackOptions
from dandelionpond_standins.stack_helpers import wait_until

T = TypeVar("T")

# Short leases and frequent heartbeats, so that an adoption takes only seconds.
FAST_SETTINGS: dict[str, Any] = {
    "memory": {
        "lease_ttl_s": 2.0,
        "renew_after_s": 0.5,
        "scan_interval_s": 1.0,
        "clock_margin_s": 0.5,
        "release_retry_s": 0.2,
        "release_retry_max_s": 1.0,
        "group_timeout_s": 3.0,
    },
    "membership": {
        "heartbeat_interval_s": 0.3,
        "suspect_after_s": 1.2,
        "gone_after_s": 2.5,
    },
    "orders": {"interval_s": 0.3, "repeat_after_s": 1.0, "order_validity_s": 1.0},
}


class StackHarness:
    """A stack with an event loop of its own on which test cases run.

    The relays of the stack forward bytes only while a case runs.
    """

    def __init__(self, folder: Path, settings: ExampleSettings, **options: Any) -> None:
        published = settings.write(folder / "settings")
        self._runner = asyncio.Runner()
        self.stack = Stack(StackOptions(settings=published, **options))

    def __enter__(self) -> Self:
        """Start the stack."""
        self._runner.run(self.stack.__aenter__())
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the stack and close the event loop."""
        self._runner.run(self.stack.close())
        self._runner.close()

    def run(self, scenario: Callable[["StackHarness"], Awaitable[T]]) -> T:
        """Run one test case on the harness and return its result."""

        async def call() -> T:
            return await scenario(self)

        return self._runner.run(call())

    def url(self, node: str) -> str:
        """Return the base URL of a node for callers."""
        return f"http://{self.stack.nodes[node].startup_info['caller_address']}"

    async def holdings(self, engine: str) -> list[dict[str, Any]]:
        """Return the holdings that an engine lists; none if it cannot be reached."""
        url = f"{self.stack.engines[engine].url}/v1/holdings"
        try:
            async with self.stack.session.get(url) as response:
                holdings: list[dict[str, Any]] = (await response.json())["holdings"]
                return holdings
        except aiohttp.ClientError:
            return []

    async def all_holdings(self) -> list[dict[str, Any]]:
        """Return the holdings of all engines, each with the engine's name."""
        return [
            holding | {"engine": engine}
            for engine in self.stack.engines
            for holding in await self.holdings(engine)
        ]

    async def counters(self, node: str) -> dict[str, dict[str, int]]:
        """Return the counters of a node, by component and name."""
        counters: dict[str, dict[str, int]] = (
            await self.stack.call_operator_api(node, "/v1/dump")
        )["counters"]
        return counters

    async def engine_counters(self, engine: str) -> dict[str, Any]:
        """Return the counters of an engine and its latest orders."""
        url = f"{self.stack.engines[engine].url}/control/counters"
        async with self.stack.session.get(url) as response:
            counters: dict[str, Any] = await response.json()
            return counters

    async def unreleased(self) -> dict[str, Any]:
        """Return the memory not yet released, by engine or node; empty if none is."""
        unreleased: dict[str, Any] = {}
        for engine in self.stack.engines:
            holdings = await self.holdings(engine)
            used_tokens = (await self.engine_counters(engine))["kv_tokens_used"]
            if holdings or used_tokens:
                unreleased[engine] = (used_tokens, holdings)
        for node in self.stack.nodes:
            memory = (await self.stack.call_operator_api(node, "/v1/dump"))["memory"]
            if any(memory.values()):
                unreleased[node] = memory
        return unreleased

    async def wait_until_released(self, timeout_s: float = 30.0) -> None:
        """Wait until engines and nodes have released all memory.

        Raise `AssertionError` with the rest after `timeout_s` seconds.
        """

        async def is_released() -> bool:
            return not await self.unreleased()

        try:
            await wait_until(is_released, timeout_s)
        except TimeoutError:
            raise AssertionError(await self.unreleased()) from None

    async def slow_engines(self, factor: float) -> None:
        """Make each step of all engines take `factor` times as long."""
        for child in self.stack.engines.values():
            await self.stack.control(child, "slow_factor", factor)

    async def restart_engine(self, name: str) -> None:
        """Kill an engine and start it again on its port, with empty memory.

        An engine that has exited by itself is only started.
        """
        previous = self.stack.engines[name]
        if previous.process.returncode is None:
            previous.process.kill()
        await previous.process.wait()
        upstream = self.stack.settings.upstreams[name]
        assert isinstance(upstream, EngineUpstream)
        port = int(previous.address.rpartition(":")[2])
        await self.stack.start_engine(name, upstream, port)

    async def restart_node(self, name: str) -> None:
        """Kill a node if it is still running, and start it again."""
        previous = self.stack.nodes[name]
        if previous.process.returncode is None:
            previous.process.kill()
            await previous.process.wait()
        await self.stack.start_node(name)
