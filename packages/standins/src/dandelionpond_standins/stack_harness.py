"""Keep one stack running for several cases, because a start takes seconds."""

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

# Short leases and a fast view of peers, so that an adoption takes seconds.
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
    """Run coroutines against one stack; relays work only while one runs."""

    def __init__(self, folder: Path, sample: ExampleSettings, **options: Any) -> None:
        settings = sample.write(folder / "settings")
        self._runner = asyncio.Runner()
        self.stack = Stack(StackOptions(settings=settings, **options))

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
        """Stop every process."""
        self._runner.run(self.stack.close())
        self._runner.close()

    def run(self, scenario: Callable[["StackHarness"], Awaitable[T]]) -> T:
        """Run one case."""

        async def call() -> T:
            return await scenario(self)

        return self._runner.run(call())

    def url(self, node: str) -> str:
        """Return the callers' URL of a node."""
        return f"http://{self.stack.nodes[node].startup_info['caller_address']}"

    async def holdings(self, engine: str) -> list[dict[str, Any]]:
        """Return what an engine lists; a dead engine lists nothing."""
        url = f"{self.stack.engines[engine].url}/v1/holdings"
        try:
            async with self.stack.session.get(url) as response:
                found: list[dict[str, Any]] = (await response.json())["holdings"]
                return found
        except aiohttp.ClientError:
            return []

    async def all_holdings(self) -> list[dict[str, Any]]:
        """Return the holdings of all engines, each with the engine's name."""
        return [
            held | {"engine": engine}
            for engine in self.stack.engines
            for held in await self.holdings(engine)
        ]

    async def counters(self, node: str) -> dict[str, dict[str, int]]:
        """Return the counters of a node's slices."""
        found: dict[str, dict[str, int]] = (
            await self.stack.call_operator_api(node, "/v1/dump")
        )["counters"]
        return found

    async def engine_counters(self, engine: str) -> dict[str, Any]:
        """Return what an engine counted, with its latest orders."""
        url = f"{self.stack.engines[engine].url}/control/counters"
        async with self.stack.session.get(url) as response:
            found: dict[str, Any] = await response.json()
            return found

    async def unreleased(self) -> dict[str, Any]:
        """Return what engines and nodes still hold; empty when all is given back."""
        found: dict[str, Any] = {}
        for engine in self.stack.engines:
            listed = await self.holdings(engine)
            used = (await self.engine_counters(engine))["kv_tokens_used"]
            if listed or used:
                found[engine] = (used, listed)
        for node in self.stack.nodes:
            memory = (await self.stack.call_operator_api(node, "/v1/dump"))["memory"]
            if any(memory.values()):
                found[node] = memory
        return found

    async def wait_until_released(self, timeout_s: float = 30.0) -> None:
        """Wait until all is given back; raise AssertionError with what remains."""

        async def is_quiet() -> bool:
            return not await self.unreleased()

        try:
            await wait_until(is_quiet, timeout_s)
        except TimeoutError:
            raise AssertionError(await self.unreleased()) from None

    async def slow_engines(self, factor: float) -> None:
        """Make each step of all engines `factor` times as long."""
        for child in self.stack.engines.values():
            await self.stack.control(child, "slow_factor", factor)

    async def restart_engine(self, name: str) -> None:
        """Start an engine again on its old port; its memory is empty."""
        old = self.stack.engines[name]
        old.process.kill()
        await old.process.wait()
        upstream = self.stack.settings.upstreams[name]
        assert isinstance(upstream, EngineUpstream)
        port = int(old.address.rpartition(":")[2])
        await self.stack.start_engine(name, upstream, port)

    async def restart_node(self, name: str) -> None:
        """Kill a node, if it still runs, and start it again."""
        old = self.stack.nodes[name]
        if old.process.returncode is None:
            old.process.kill()
            await old.process.wait()
        await self.stack.start_node(name)
