"""Ask the operators' API of one or many nodes."""

import asyncio
import os
import ssl
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, TypeVar
from urllib.parse import urlsplit

import aiohttp
import msgspec
from cyclopts import Parameter, validators

from dandelionpond_ctl.exit_codes import USAGE
from dandelionpond_ctl.folder import CommandError
from dandelionpond_ctl.progress import Bar
from dandelionpond_ctl.user_settings import UserSettings, load_user_settings

OPERATOR_KEY_VARIABLE = "DANDELIONPOND_OPERATOR_KEY"

Answer = TypeVar("Answer")


@Parameter(name="*")
@dataclass(frozen=True)
class NodeOptions:
    """Choose the nodes and how they are asked; the user's settings fill the gaps.

    Parameters
    ----------
    node
        URL of a node's operators' address; repeat it for more nodes.
    nodes
        File with one URL on each line; lines that start with # are ignored.
    key_file
        File with the operators' bearer key, in place of DANDELIONPOND_OPERATOR_KEY.
    ca_file
        Certificates in PEM that the nodes are verified with, for https URLs.
    timeout_s
        Time limit for one request, in seconds.
    """

    node: Annotated[tuple[str, ...], Parameter(negative=())] = ()
    nodes: Path | None = None
    key_file: Path | None = None
    ca_file: Path | None = None
    timeout_s: Annotated[float | None, Parameter(validator=validators.Number(gt=0))] = (
        None
    )


DEFAULT_OPTIONS = NodeOptions()


class NodeError(Exception):
    """Say in one line why a node gave no answer.

    `refused` is true if nothing listens at the address.
    """

    def __init__(self, message: str, refused: bool = False) -> None:
        super().__init__(message)
        self.refused = refused


class Reply(msgspec.Struct, frozen=True):
    """Hold what one node answered, or the reason why it did not."""

    node: str
    value: Any = None
    error: str | None = None


class Nodes:
    """Send requests to a list of nodes, at most `max_parallel` at once."""

    def __init__(
        self,
        urls: tuple[str, ...],
        session: aiohttp.ClientSession,
        timeout_s: float,
        max_parallel: int,
    ) -> None:
        self._urls = urls
        self._session = session
        self._timeout_s = timeout_s
        self._max_parallel = max_parallel

    @property
    def urls(self) -> tuple[str, ...]:
        """Return the URLs in the order given."""
        return self._urls

    def only(self, urls: tuple[str, ...]) -> "Nodes":
        """Return a part of the nodes with the same session."""
        return Nodes(urls, self._session, self._timeout_s, self._max_parallel)

    async def get(self, url: str, path: str, type: type[Answer]) -> Answer:
        """Return a node's answer as a value of `type`; raises `NodeError`."""
        return await self._json("GET", url, path, type)

    async def post(self, url: str, path: str, type: type[Answer]) -> Answer:
        """Send an empty POST and return the answer; raises `NodeError`."""
        return await self._json("POST", url, path, type)

    async def stream(
        self, url: str, path: str, *, may_pause: bool
    ) -> AsyncIterator[bytes]:
        """Yield the lines of an answer without a time limit for the whole of it.

        `may_pause` permits silence between two lines. Raises `NodeError`, also for a
        last line without its end.
        """
        read_s = None if may_pause else self._timeout_s
        limit = aiohttp.ClientTimeout(
            total=None, sock_connect=self._timeout_s, sock_read=read_s
        )
        rest = b""
        try:
            async with self._open("GET", url, path, limit) as response:
                async for chunk in response.content.iter_any():
                    *lines, rest = (rest + chunk).split(b"\n")
                    for line in lines:
                        yield line
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise _node_error(error) from error
        if rest:
            raise NodeError("the last line is cut short")

    async def each(
        self,
        ask: Callable[[str], Coroutine[Any, Any, Any]],
        text: str,
        *,
        shows_bar: bool = True,
    ) -> AsyncIterator[Reply]:
        """Ask every node and yield the replies as they arrive."""
        gate = asyncio.Semaphore(self._max_parallel)

        async def one(url: str) -> Reply:
            async with gate:
                try:
                    return Reply(url, await ask(url))
                except NodeError as error:
                    return Reply(url, error=str(error))

        tasks = [asyncio.create_task(one(url)) for url in self._urls]
        with Bar(text, len(tasks), enabled=shows_bar) as bar:
            try:
                for done in asyncio.as_completed(tasks):
                    reply = await done
                    bar.advance()
                    yield reply
            finally:
                for task in tasks:
                    task.cancel()

    async def all(
        self, ask: Callable[[str], Coroutine[Any, Any, Any]], text: str
    ) -> list[Reply]:
        """Ask every node and return the replies in the order of the URLs."""
        replies = {reply.node: reply async for reply in self.each(ask, text)}
        return [replies[url] for url in self._urls]

    async def _json(
        self, method: str, url: str, path: str, type: type[Answer]
    ) -> Answer:
        limit = aiohttp.ClientTimeout(total=self._timeout_s)
        try:
            async with self._open(method, url, path, limit) as response:
                return msgspec.json.decode(await response.read(), type=type)
        except (msgspec.MsgspecError, RecursionError) as error:
            text = f"not the answer of an operators' address: {error}"
            raise NodeError(text) from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise _node_error(error) from error

    @asynccontextmanager
    async def _open(
        self, method: str, url: str, path: str, limit: aiohttp.ClientTimeout
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        # A redirect would carry the bearer key elsewhere.
        async with self._session.request(
            method, url + path, timeout=limit, allow_redirects=False
        ) as response:
            if response.status == 401:
                raise NodeError("the operators' key is not accepted")
            if not response.ok or response.status >= 300:
                raise NodeError(f"HTTP status {response.status} for {path}")
            yield response


@asynccontextmanager
async def connect(
    options: NodeOptions, *, use_settings: bool = True
) -> AsyncIterator[Nodes]:
    """Open a session for the nodes of a command.

    Without `use_settings` only nodes named on the command line count. Raises
    `CommandError` without nodes or a key.
    """
    settings = load_user_settings()
    urls = _urls(options, settings if use_settings else None)
    if not urls:
        raise CommandError("no nodes: give --node URL or --nodes FILE", USAGE)
    headers = {"Authorization": f"Bearer {_key(options, settings)}"}
    connector = aiohttp.TCPConnector(limit=0, ssl=_tls(options, settings))
    timeout_s = options.timeout_s or settings.timeout_s
    async with aiohttp.ClientSession(headers=headers, connector=connector) as session:
        yield Nodes(urls, session, timeout_s, settings.max_parallel)


def run(work: Coroutine[Any, Any, Answer]) -> Answer:
    """Run the asynchronous part of a command."""
    return asyncio.run(work)


def _urls(options: NodeOptions, settings: UserSettings | None) -> tuple[str, ...]:
    given = list(options.node)
    if options.nodes is not None:
        given += _lines(options.nodes)
    if not given and settings is not None:
        given = list(settings.nodes)
        if settings.nodes_file is not None:
            given += _lines(Path(settings.nodes_file).expanduser())
    # The same node twice would be counted twice.
    return tuple(dict.fromkeys(_url(text) for text in given))


def _url(text: str) -> str:
    url = (text if "://" in text else f"http://{text}").rstrip("/")
    try:
        parts = urlsplit(url)
        good = parts.scheme in ("http", "https") and parts.hostname and parts.port != 0
    except ValueError:
        good = False
    if not good or parts.path or parts.query or parts.username:
        raise CommandError(f"{text!r} is not a node URL such as http://IP:PORT", USAGE)
    return url


def _lines(path: Path) -> list[str]:
    lines = (line.strip() for line in _read(path).splitlines())
    return [line for line in lines if line and not line.startswith("#")]


def _key(options: NodeOptions, settings: UserSettings) -> str:
    path = options.key_file
    if path is None and OPERATOR_KEY_VARIABLE not in os.environ and settings.key_file:
        path = Path(settings.key_file).expanduser()
    key = (
        os.environ.get(OPERATOR_KEY_VARIABLE, "") if path is None else _read(path)
    ).strip()
    if not key:
        raise CommandError(
            f"no operators' key: set {OPERATOR_KEY_VARIABLE} or --key-file", USAGE
        )
    if not key.isascii() or not key.isprintable() or " " in key:
        raise CommandError("the operators' key has a character that is not sent", USAGE)
    return key


def _tls(options: NodeOptions, settings: UserSettings) -> ssl.SSLContext | bool:
    path = options.ca_file or settings.ca_file
    if path is None:
        return True
    try:
        return ssl.create_default_context(cafile=Path(path).expanduser())
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror or error}", USAGE) from error


def _read(path: Path) -> str:
    try:
        return path.read_text()
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}", USAGE) from error
    except UnicodeDecodeError as error:
        raise CommandError(f"{path}: not a text file", USAGE) from error


def _node_error(error: Exception) -> NodeError:
    if isinstance(error, TimeoutError):
        return NodeError("no answer in time")
    if isinstance(error, aiohttp.ClientConnectorError):
        refused = isinstance(error.os_error, ConnectionRefusedError)
        return NodeError(f"cannot connect: {error.strerror or error}", refused)
    return NodeError(
        f"connection failed: {' '.join(str(error).split()) or repr(error)}"
    )
