"""Generate open-loop load against nodes, or against engines for comparison.

Arrivals do not wait for answers, so that a slow server does not slow its own load down
and hide the waiting time.
"""

import asyncio
import json
import random
import sys
import time
from collections import Counter
from typing import Annotated

import aiohttp
import cyclopts
import msgspec
from hdrh.histogram import HdrHistogram

from dandelionpond.adapters.engine import HttpEngineClient
from dandelionpond.adapters.engine_api import EngineRequest, Piece, StreamFailure
from dandelionpond.adapters.engine_session import EngineSessions
from dandelionpond_standins.client import (
    Prompt,
    PromptResult,
    Verdict,
    make_text,
    send_prompt,
)

# Histograms count microseconds up to an hour with three significant digits.
HIGHEST_US = 3_600_000_000
DIGITS = 3
LONG_SHARE = 0.02
LONG_TOKENS = (100_000, 1_000_000)
SHORT_TOKENS = (1_000, 100_000)

app = cyclopts.App(help="Generate open-loop load and report it as JSON.")


class LoadPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a load; `prompt_tokens` 0 means lengths over a factor of a thousand.

    `rate` is in requests per second. With `direct`, `urls` are engines.
    """

    urls: tuple[str, ...]
    key: str = ""
    model: str
    version: str
    rate: float
    duration_s: float
    prompt_tokens: int = 1_000
    max_tokens: int = 64
    timeout_s: float = 60.0
    seed: int = 1
    direct: bool = False


class LoadReport(msgspec.Struct):
    """Hold the result; times are in milliseconds by percentile."""

    requests: int
    verdicts: dict[str, int]
    errors: dict[str, int]
    tokens: int
    duration_s: float
    ttft_ms: dict[str, float]
    gap_ms: dict[str, float]
    late_ms: dict[str, float]


def histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, HIGHEST_US, DIGITS)


def percentiles(values: HdrHistogram) -> dict[str, float]:
    """Return chosen percentiles in milliseconds."""
    return {
        f"p{share:g}": values.get_value_at_percentile(share) / 1000
        for share in (50, 95, 99)
    }


def draw_tokens(source: random.Random) -> int:
    """Draw a prompt length; one in fifty is over 100,000 tokens."""
    low, high = LONG_TOKENS if source.random() < LONG_SHARE else SHORT_TOKENS
    return int(low * (high / low) ** source.random())


class LoadRun:
    """Run one plan."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._ttft = histogram()
        self._gaps = histogram()
        self._late = histogram()
        self._sessions: EngineSessions | None = None

    async def run(self) -> LoadReport:
        """Send all requests, wait for their ends and return the report."""
        plan = self._plan
        connector = aiohttp.TCPConnector(limit=0)
        self._sessions = EngineSessions()
        start = time.monotonic()
        jobs: list[asyncio.Task[PromptResult]] = []
        async with aiohttp.ClientSession(connector=connector) as session:
            due = start
            number = 0
            while due - start < plan.duration_s:
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                self._record(self._late, time.monotonic() - due)
                jobs.append(asyncio.create_task(self._send(session, number)))
                number += 1
                due += self._random.expovariate(plan.rate)
            results = await asyncio.gather(*jobs)
        await self._sessions.close()
        return self._report(results, time.monotonic() - start)

    def _report(self, results: list[PromptResult], elapsed_s: float) -> LoadReport:
        complete = [r for r in results if r.verdict is Verdict.COMPLETE]
        return LoadReport(
            len(results),
            dict(Counter(result.verdict.value for result in results)),
            dict(Counter(result.error for result in results if result.error)),
            len(complete) * self._plan.max_tokens,
            elapsed_s,
            percentiles(self._ttft),
            percentiles(self._gaps),
            percentiles(self._late),
        )

    async def _send(self, session: aiohttp.ClientSession, number: int) -> PromptResult:
        plan = self._plan
        tokens = plan.prompt_tokens or draw_tokens(self._random)
        prompt = Prompt(
            model=plan.model,
            version=plan.version,
            text=make_text(tokens, f"{plan.seed}-{number}"),
            max_tokens=plan.max_tokens,
            timeout_s=plan.timeout_s,
        )
        url = plan.urls[number % len(plan.urls)]
        if plan.direct:
            result = await self._send_direct(url, prompt, number)
        else:
            result = await send_prompt(session, url, plan.key, prompt, self._gap)
        if result.verdict is Verdict.COMPLETE:
            self._record(self._ttft, result.ttft_s)
        return result

    async def _send_direct(self, url: str, prompt: Prompt, number: int) -> PromptResult:
        """Send a prompt to an engine without a node in between."""
        assert self._sessions is not None
        client = HttpEngineClient(self._sessions, url)
        request = EngineRequest(
            f"load-{self._plan.seed}-{number}",
            "load",
            prompt.model,
            prompt.max_tokens,
            version=prompt.version,
            prompt=prompt.text,
        )
        result = PromptResult(Verdict.COMPLETE, prompt.tokens)
        start = last = time.monotonic()
        async for batch in client.stream(request, prompt.timeout_s, prompt.timeout_s):
            for event in batch:
                now = time.monotonic()
                match event:
                    case Piece():
                        if not result.ttft_s:
                            result.ttft_s = now - start
                        else:
                            self._gap(now - last)
                        last = now
                    case StreamFailure(reason):
                        result.verdict, result.error = Verdict.FAILED, reason
        return result

    def _gap(self, seconds: float) -> None:
        self._record(self._gaps, seconds)

    def _record(self, values: HdrHistogram, seconds: float) -> None:
        values.record_value(max(1, int(seconds * 1_000_000)))


@app.default
async def main(
    *,
    url: Annotated[list[str], cyclopts.Parameter(negative="")],
    model: str,
    version: str,
    key: str = "",
    rate: float = 10.0,
    duration_s: float = 10.0,
    prompt_tokens: int = 1_000,
    max_tokens: int = 64,
    timeout_s: float = 60.0,
    seed: int = 1,
    direct: bool = False,
) -> int:
    """Send load and print the report as one JSON line.

    Parameters
    ----------
    url
        Base URL of a node, or of an engine with --direct; repeatable.
    rate
        Requests per second.
    prompt_tokens
        Length of each prompt; 0 draws lengths over a factor of a thousand.
    """
    plan = LoadPlan(
        urls=tuple(url),
        key=key,
        model=model,
        version=version,
        rate=rate,
        duration_s=duration_s,
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        timeout_s=timeout_s,
        seed=seed,
        direct=direct,
    )
    report = await LoadRun(plan).run()
    print(json.dumps(msgspec.to_builtins(report)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(app())
