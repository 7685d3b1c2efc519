"""Define the command line of the node."""

import asyncio
import sys
from pathlib import Path
from typing import NoReturn

from cyclopts import App

from dandelionpond import __version__
from dandelionpond.config.local import LocalSettings, decode_local_settings
from dandelionpond.http.keys import hash_key

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

app = App(
    name="dandelionpond",
    help="Serve language-model prompts and at-most-once calls.",
    version=__version__,
)


def _load_settings(path: Path) -> LocalSettings:
    try:
        data = path.read_bytes()
    except OSError as error:
        _exit_with_error(f"{path}: {error.strerror}")
    decoded = decode_local_settings(data)
    if decoded.is_error():
        _exit_with_error(f"{path}: {decoded.error}")
    return decoded.ok


def _exit_with_error(message: str) -> NoReturn:
    print(f"dandelionpond: {message}", file=sys.stderr)
    sys.exit(EXIT_FAILED)


@app.command
def run(settings: Path) -> int:
    """Run a node until SIGTERM or SIGINT, then drain it.

    Parameters
    ----------
    settings
        The node's local settings file, in JSON.

    The exit code is 0 if no request was interrupted and 3 otherwise.
    """
    # Imported lazily, so that the other commands start quickly.
    from dandelionpond.node import serve

    local = _load_settings(settings)
    try:
        return asyncio.run(serve(local))
    except OSError as error:
        _exit_with_error(f"cannot listen: {error.strerror or error}")


@app.command
def check(settings: Path) -> int:
    """Check a node's local settings file without starting the node.

    Parameters
    ----------
    settings
        The node's local settings file, in JSON.
    """
    local = _load_settings(settings)
    print(f"{settings}: node {local.name!r} in failure domain {local.failure_domain!r}")
    return EXIT_OK


@app.command(name="hash-key")
def hash_key_command() -> int:
    """Read a bearer key from standard input and print the hash for the settings.

    The key is not an argument, because arguments are visible to other processes.
    """
    key = sys.stdin.readline().strip()
    if not key:
        _exit_with_error("no key on standard input")
    print(hash_key(key))
    return EXIT_OK


def main() -> None:
    """Run the command line; a usage error exits with `EXIT_USAGE`."""
    try:
        code = app(exit_on_error=False, print_error=False)
    except Exception as error:
        if not type(error).__module__.startswith("cyclopts"):
            raise
        print(f"dandelionpond: {' '.join(str(error).split())}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    sys.exit(code or EXIT_OK)
