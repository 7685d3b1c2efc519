"""Open-loop load generator for nodes, or for engines as a comparison.

Requests are sent on schedule without waiting for earlier responses. Otherwise a slow
server would reduce its own load, and the report would miss the waiting time.
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

# Histograms record microseconds up to one hour with three significant digits.
MAX_RECORDED_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
LONG_PROMPT_SHARE = 0.02
LONG_PROMPT_TOKENS_RANGE = (100_000, 1_000_000)
SHORT_PROMPT_TOKENS_RANGE = (1_000, 100_000)

app = cyclopts.App(help="Generate open-loop load and report it as JSON.")


class LoadPlan(msgspec.Struct, frozen=True, kw_only=True):
    """The parameters of a load; `rate` is in requests per second.

    With `prompt_tokens` 0, prompt lengths are drawn from 1,000 to 1,000,000 tokens.
    With `direct`, `urls` are those of engines instead of nodes.
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
    """The result of a load.

    `ttft_ms`, `gap_ms` and `late_ms` map percentiles to milliseconds: of the time to
    first token, of the pause between two events and of the delay of sends behind their
    schedule. `tokens` are those of complete responses.
    """

    requests: int
    verdicts: dict[str, int]
    errors: dict[str, int]
    tokens: int
    duration_s: float
    ttft_ms: dict[str, float]
    gap_ms: dict[str, float]
    late_ms: dict[str, float]


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)


def percentiles(histogram: HdrHistogram) -> dict[str, float]:
    """Return the 50th, 95th and 99th percentiles in milliseconds."""
    return {
        f"p{percent:g}": histogram.get_value_at_percentile(percent) / 1000
        for percent in (50, 95, 99)
    }


def draw_prompt_tokens(rng: random.Random) -> int:
    """Return a random prompt length; one in fifty is over 100,000 tokens."""
    low, high = (
        LONG_PROMPT_TOKENS_RANGE
        if rng.random() < LONG_PROMPT_SHARE
        else SHORT_PROMPT_TOKENS_RANGE
    )
    return int(low * (high / low) ** rng.random())


class LoadRun:
    """One run of a `LoadPlan`."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._ttfts = new_histogram()
        self._gaps = new_histogram()
        self._send_delays = new_histogram()
        self._sessions: EngineSessions | None = None

    async def run(self) -> LoadReport:
        """Send all requests, wait until they have ended and return the report."""
        plan = self._plan
        connector = aiohttp.TCPConnector(limit=0)
        self._sessions = EngineSessions()
        started_at = time.monotonic()
        tasks: list[asyncio.Task[PromptResult]] = []
        async with aiohttp.ClientSession(connector=connector) as session:
            due_at = started_at
            number = 0
            while due_at - started_at < plan.duration_s:
                await asyncio.sleep(max(0.0, due_at - time.monotonic()))
                self._record(self._send_delays, time.monotonic() - due_at)
                tasks.append(asyncio.create_task(self._send(session, number)))
                number += 1
                due_at += self._rng.expovariate(plan.rate)
            results = await asyncio.gather(*tasks)
        await self._sessions.close()
        return self._report(results, time.monotonic() - started_at)

    def _report(self, results: list[PromptResult], elapsed_s: float) -> LoadReport:
        complete = [r for r in results if r.verdict is Verdict.COMPLETE]
        return LoadReport(
            len(results),
            dict(Counter(result.verdict.value for result in results)),
            dict(Counter(result.error for result in results if result.error)),
            len(complete) * self._plan.max_tokens,
            elapsed_s,
            percentiles(self._ttfts),
            percentiles(self._gaps),
            percentiles(self._send_delays),
        )

    async def _send(self, session: aiohttp.ClientSession, number: int) -> PromptResult:
        plan = self._plan
        tokens = plan.prompt_tokens or draw_prompt_tokens(self._rng)
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
            result = await send_prompt(session, url, plan.key, prompt, self._record_gap)
        if result.verdict is Verdict.COMPLETE:
            self._record(self._ttfts, result.ttft_s)
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
        started_at = previous_at = time.monotonic()
        async for batch in client.stream(request, prompt.timeout_s, prompt.timeout_s):
            for event in batch:
                now = time.monotonic()
                match event:
                    case Piece():
                        if not result.ttft_s:
                            result.ttft_s = now - started_at
                        else:
                            self._record_gap(now - previous_at)
                        previous_at = now
                    case StreamFailure(reason):
                        result.verdict, result.error = Verdict.FAILED, reason
        return result

    def _record_gap(self, seconds: float) -> None:
        self._record(self._gaps, seconds)

    def _record(self, histogram: HdrHistogram, seconds: float) -> None:
        histogram.record_value(max(1, int(seconds * 1_000_000)))


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
        Length of each prompt; 0 draws lengths from 1,000 to 1,000,000 tokens.
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
