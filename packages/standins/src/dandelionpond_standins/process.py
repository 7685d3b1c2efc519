"""Hold the processes and ports of a stack."""

import asyncio
import contextlib
import random
import signal
import socket
from typing import Any

HOST = "127.0.0.1"
# Below the range from which the operating system takes ports for outgoing connections,
# so that no connection takes a port between its choice and its use.
PORTS = range(15_000, 32_000)
STOP_TIMEOUT_S = 30.0


class Child:
    """Hold one process and what its first line of output said."""

    def __init__(
        self, process: asyncio.subprocess.Process, line: dict[str, Any], domain: str
    ) -> None:
        self.process = process
        self.startup_info = line
        self.failure_domain = domain

    @property
    def name(self) -> str:
        """Return the process's name."""
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
        """Send a signal unless the process has ended."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def stop(self, number: signal.Signals = signal.SIGTERM) -> int:
        """End the process and return its exit code; SIGKILL follows after a while."""
        self.send_signal(number)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await self.process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            return await self.process.wait()


def free_port(source: random.Random | None = None) -> int:
    """Return a port that is free now."""
    chooser = source or random.SystemRandom()
    while True:
        port = chooser.choice(PORTS)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port


def reserve_port() -> socket.socket:
    """Return a socket that keeps a free port from other stacks until it is closed.

    It does not listen and permits reuse, so a node, which permits reuse too, can bind
    the port, again after a restart, while `free_port` of another process cannot.
    """
    while True:
        port = free_port()
        held = socket.socket()
        try:
            held.bind((HOST, port))
        except OSError:
            held.close()
            continue
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return held
