"""Child processes and TCP ports of a stack."""

import asyncio
import contextlib
import random
import signal
import socket
from typing import Any

HOST = "127.0.0.1"
# Below the ephemeral port range of the operating system, so that no outgoing connection
# takes a port between its choice and its use.
PORT_RANGE = range(15_000, 32_000)
STOP_TIMEOUT_S = 30.0


class Child:
    """A running process and the JSON object that it printed at its start."""

    def __init__(
        self,
        process: asyncio.subprocess.Process,
        startup_info: dict[str, Any],
        failure_domain: str,
    ) -> None:
        self.process = process
        self.startup_info = startup_info
        self.failure_domain = failure_domain

    @property
    def name(self) -> str:
        """Return the name of the process."""
        return str(self.startup_info["name"])

    @property
    def address(self) -> str:
        """Return the main `IP:port` of the process."""
        return str(self.startup_info["address"])

    @property
    def url(self) -> str:
        """Return the main address as a URL."""
        return f"http://{self.address}"

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal unless the process has exited."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def stop(self, number: signal.Signals = signal.SIGTERM) -> int:
        """Send a signal, wait for the process to exit and return its exit code.

        A process that still runs after `STOP_TIMEOUT_S` seconds is killed.
        """
        self.send_signal(number)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await self.process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            return await self.process.wait()


def free_port(random_source: random.Random | None = None) -> int:
    """Return a port that no socket is bound to at the moment."""
    rng = random_source or random.SystemRandom()
    while True:
        port = rng.choice(PORT_RANGE)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port


def reserve_port() -> socket.socket:
    """Return a socket that reserves a free port from other stacks until it is closed.

    The socket does not listen and has SO_REUSEADDR set, so that a node, which sets it
    too, can bind the port, also after a restart. `free_port` in another process cannot.
    """
    while True:
        port = free_port()
        reserved = socket.socket()
        try:
            reserved.bind((HOST, port))
        except OSError:
            reserved.close()
            continue
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return reserved
