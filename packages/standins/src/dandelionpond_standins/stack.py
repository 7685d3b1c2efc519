"""Run stand-ins and nodes by hand, until SIGINT or SIGTERM."""

import asyncio
import json
import signal
import sys
from pathlib import Path

import cyclopts

from dandelionpond_standins.launcher import Stack, StackError, StackOptions

app = cyclopts.App(help="Run a platform, upstreams and nodes on this machine.")


@app.default
async def main(
    *, settings: Path, nodes_per_domain: int = 1, engine_speed: float = 1.0
) -> int:
    """Print one JSON object with every process, then wait for a signal.

    Parameters
    ----------
    settings
        Folder of published settings, such as `examples/mwambao`.
    nodes_per_domain
        Number of nodes in each failure domain.
    engine_speed
        Seconds of model time for each real second.
    """
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, ended.set)
    options = StackOptions(
        settings=settings, nodes_per_domain=nodes_per_domain, engine_speed=engine_speed
    )
    try:
        async with Stack(options) as stack:
            print(json.dumps(stack.describe()), flush=True)
            await ended.wait()
    except StackError as error:
        print(f"stack: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(app())
