"""Measure what a node adds to a request: processor time and delay.

The same load goes to engine stand-ins directly and through one node, in turn. Clients
run in processes of their own, so that only the node's processor time is counted.
"""

import asyncio
import json
import statistics
import sys
import tempfile
from pathlib import Path

import cyclopts
import msgspec

from dandelionpond_standins.example_settings import KEY, MODEL, VERSION, ExampleSettings
from dandelionpond_standins.launcher import Stack, StackOptions
from dandelionpond_standins.load import LoadReport

ENGINES = 4
CLIENTS = 2
# A node's part of the target: 210,000 requests/s and 44 M tokens/s over 3,500 nodes.
TARGET_REQUESTS_PER_S = 60.0
TARGET_TOKENS_PER_S = 12_600.0
TOKENS_PER_REQUEST = int(TARGET_TOKENS_PER_S / TARGET_REQUESTS_PER_S)

app = cyclopts.App(help="Measure the cost of a node's data path.")


class Sampled(msgspec.Struct):
    """Hold one run; `cpu_s` is the node's processor time in seconds."""

    reports: list[LoadReport]
    cpu_s: float

    @property
    def requests(self) -> int:
        """Return the complete requests."""
        return sum(report.verdicts.get("complete", 0) for report in self.reports)

    @property
    def tokens(self) -> int:
        """Return the generated tokens."""
        return sum(report.tokens for report in self.reports)

    def median(self, table: str, percentile: str) -> float:
        """Return the median over the clients of a percentile in milliseconds."""
        values = [getattr(report, table)[percentile] for report in self.reports]
        return statistics.median(values)


async def _load(
    urls: list[str], rate: float, duration_s: float, tokens: int, direct: bool
) -> list[LoadReport]:
    async def client(number: int) -> LoadReport:
        arguments = [
            "-m",
            "dandelionpond_standins.load",
            *(f"--url={url}" for url in urls),
            f"--key={KEY}",
            f"--model={MODEL}",
            f"--version={VERSION}",
            f"--rate={rate / CLIENTS}",
            f"--duration-s={duration_s}",
            f"--max-tokens={tokens}",
            f"--seed={number}",
            *(["--direct"] if direct else []),
        ]
        process = await asyncio.create_subprocess_exec(
            sys.executable, *arguments, stdout=asyncio.subprocess.PIPE
        )
        output, _ = await process.communicate()
        return msgspec.json.decode(output, type=LoadReport)

    return list(await asyncio.gather(*(client(number) for number in range(CLIENTS))))


async def _cpu_s(stack: Stack, node: str) -> float:
    dump = await stack.call_operator_api(node, "/v1/dump")
    return float(dump["process"]["cpu_s"])


async def measure(
    stack: Stack, rate: float, duration_s: float, tokens: int
) -> tuple[Sampled, Sampled]:
    """Run the same load directly and through the node."""
    [node] = stack.nodes
    engines = [child.url for child in stack.engines.values()]
    direct = await _load(engines, rate, duration_s, tokens, direct=True)
    before = await _cpu_s(stack, node)
    url = f"http://{stack.nodes[node].startup_info['caller_address']}"
    through = await _load([url], rate, duration_s, tokens, direct=False)
    cpu = await _cpu_s(stack, node) - before
    return Sampled(direct, 0.0), Sampled(through, cpu)


async def _idle_share(stack: Stack, seconds: float) -> float:
    [node] = stack.nodes
    before = await _cpu_s(stack, node)
    await asyncio.sleep(seconds)
    return (await _cpu_s(stack, node) - before) / seconds


@app.default
async def main(
    *,
    rate: float = 30.0,
    duration_s: float = 8.0,
    repeats: int = 3,
    tokens: int = TOKENS_PER_REQUEST,
) -> int:
    """Print one JSON line with the cost of a request and of a token.

    Parameters
    ----------
    rate
        Requests per second.
    duration_s
        Seconds of each run.
    repeats
        Number of runs; medians and ranges are printed.
    tokens
        Generated tokens of each request.
    """
    sample = ExampleSettings(
        failure_domains=1,
        engines_per_domain=ENGINES,
        kv_capacity_tokens=2_000_000,
        prefill_tokens_per_s=1_000_000.0,
        sections={"limits": {"engine_queue_s": 1.0}},
    )
    with tempfile.TemporaryDirectory() as folder:
        settings = sample.write(Path(folder) / "settings")
        async with Stack(StackOptions(settings=settings)) as stack:
            await asyncio.sleep(2.0)
            idle = await _idle_share(stack, 4.0)
            runs = [
                await measure(stack, rate, duration_s, tokens) for _ in range(repeats)
            ]
    shares = [
        (through.cpu_s - idle * duration_s) / max(1, through.tokens) * 1e6
        for _, through in runs
    ]
    added = {
        f"{table}_{share}": [
            round(through.median(table, share) - direct.median(table, share), 3)
            for direct, through in runs
        ]
        for table in ("ttft_ms", "gap_ms")
        for share in ("p50", "p99")
    }
    cost_us = statistics.median(shares)
    result = {
        "requests": [through.requests for _, through in runs],
        "tokens": [through.tokens for _, through in runs],
        "idle_core_share": round(idle, 4),
        "cpu_us_per_token_with_its_part_of_the_request": [round(x, 1) for x in shares],
        "tokens_per_s_of_one_core": round(1e6 / cost_us),
        "target_tokens_per_s": TARGET_TOKENS_PER_S,
        "headroom": round(1e6 / cost_us / TARGET_TOKENS_PER_S, 2),
        "added_ms": added,
    }
    print(json.dumps(result), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(app())
