"""Command that runs stand-ins and nodes until SIGINT or SIGTERM."""

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
    """Start a stack, print its processes as one JSON object and wait for a signal.

    Parameters
    ----------
    settings
        Folder of published settings, such as `examples/mwambao`.
    nodes_per_domain
        Number of nodes in each failure domain.
    engine_speed
        Simulated seconds per second of real time.
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop_requested.set)
    options = StackOptions(
        settings=settings, nodes_per_domain=nodes_per_domain, engine_speed=engine_speed
    )
    try:
        async with Stack(options) as stack:
            print(json.dumps(stack.describe()), flush=True)
            await stop_requested.wait()
    except StackError as error:
        print(f"stack: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(app())
