"""Send requests to the operators' API of one or more nodes."""

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
from dandelionpond_ctl.progress import ProgressBar
from dandelionpond_ctl.user_settings import UserSettings, load_user_settings

# An error answer that is longer is not read for its message.
MAX_ERROR_BYTES = 65_536
OPERATOR_KEY_VARIABLE = "DANDELIONPOND_OPERATOR_KEY"

AnswerT = TypeVar("AnswerT")


@Parameter(name="*")
@dataclass(frozen=True)
class NodeOptions:
    """The nodes and how they are asked; the user's settings fill the gaps.

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
    """An error whose message says in one line why a request to a node failed.

    `refused` is true if the connection was refused, as nothing listens there.
    """

    def __init__(self, message: str, refused: bool = False) -> None:
        super().__init__(message)
        self.refused = refused


class NodeReply(msgspec.Struct, frozen=True):
    """The answer of one node, or the error of the request to it."""

    node: str
    value: Any = None
    error: str | None = None


class Nodes:
    """A client for a list of nodes, with at most `max_parallel` requests at once."""

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

    def subset(self, urls: tuple[str, ...]) -> "Nodes":
        """Return a client for some of the nodes that shares the session."""
        return Nodes(urls, self._session, self._timeout_s, self._max_parallel)

    async def get(self, url: str, path: str, answer_type: type[AnswerT]) -> AnswerT:
        """Send a GET and decode the answer as `answer_type`; raises `NodeError`."""
        return await self._request_json("GET", url, path, answer_type)

    async def post(
        self, url: str, path: str, answer_type: type[AnswerT], body: bytes = b""
    ) -> AnswerT:
        """Send a POST and decode the answer; raises `NodeError`."""
        return await self._request_json("POST", url, path, answer_type, body)

    async def stream(
        self, url: str, path: str, *, may_pause: bool
    ) -> AsyncIterator[bytes]:
        """Yield the lines of an answer, without a time limit for the whole answer.

        With `may_pause`, there is no time limit between two reads either. Raises
        `NodeError`, also if the last line has no line break.
        """
        read_timeout_s = None if may_pause else self._timeout_s
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=self._timeout_s, sock_read=read_timeout_s
        )
        partial_line = b""
        try:
            async with self._open_response("GET", url, path, timeout) as response:
                async for chunk in response.content.iter_any():
                    *lines, partial_line = (partial_line + chunk).split(b"\n")
                    for line in lines:
                        yield line
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise _node_error(error) from error
        if partial_line:
            raise NodeError("the last line is cut short")

    async def ask_each(
        self,
        ask: Callable[[str], Coroutine[Any, Any, Any]],
        description: str,
        *,
        show_bar: bool = True,
    ) -> AsyncIterator[NodeReply]:
        """Call `ask` for every node and yield the replies as they arrive."""
        semaphore = asyncio.Semaphore(self._max_parallel)

        async def ask_node(url: str) -> NodeReply:
            async with semaphore:
                try:
                    return NodeReply(url, await ask(url))
                except NodeError as error:
                    return NodeReply(url, error=str(error))

        tasks = [asyncio.create_task(ask_node(url)) for url in self._urls]
        with ProgressBar(description, len(tasks), enabled=show_bar) as bar:
            try:
                for done in asyncio.as_completed(tasks):
                    reply = await done
                    bar.advance()
                    yield reply
            finally:
                for task in tasks:
                    task.cancel()

    async def ask_all(
        self, ask: Callable[[str], Coroutine[Any, Any, Any]], description: str
    ) -> list[NodeReply]:
        """Call `ask` for every node and return the replies in the order of the URLs."""
        replies = {reply.node: reply async for reply in self.ask_each(ask, description)}
        return [replies[url] for url in self._urls]

    async def _request_json(
        self,
        method: str,
        url: str,
        path: str,
        answer_type: type[AnswerT],
        body: bytes = b"",
    ) -> AnswerT:
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        try:
            async with self._open_response(
                method, url, path, timeout, body
            ) as response:
                return msgspec.json.decode(await response.read(), type=answer_type)
        except (msgspec.MsgspecError, RecursionError) as error:
            message = f"not the answer of an operators' address: {error}"
            raise NodeError(message) from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise _node_error(error) from error

    @asynccontextmanager
    async def _open_response(
        self,
        method: str,
        url: str,
        path: str,
        timeout: aiohttp.ClientTimeout,
        body: bytes = b"",
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        # Following a redirect could send the bearer key to another host.
        async with self._session.request(
            method,
            url + path,
            timeout=timeout,
            allow_redirects=False,
            data=body or None,
        ) as response:
            if response.status == 401:
                raise NodeError("the operators' key is not accepted")
            if not response.ok or response.status >= 300:
                message = f"HTTP status {response.status} for {path}"
                reason = await _read_reason(response) if body else None
                raise NodeError(f"{message}: {reason}" if reason else message)
            yield response


@asynccontextmanager
async def connect(
    options: NodeOptions, *, use_settings: bool = True, needs_key: bool = True
) -> AsyncIterator[Nodes]:
    """Open a session for the nodes of a command.

    Without `use_settings` only nodes named on the command line are used. Without
    `needs_key` the operators' key is not sent. Raises `CommandError` if there are no
    nodes or no key.
    """
    settings = load_user_settings()
    urls = _collect_urls(options, settings if use_settings else None)
    if not urls:
        raise CommandError("no nodes: give --node URL or --nodes FILE", USAGE)
    headers = {}
    if needs_key:
        headers["Authorization"] = f"Bearer {_load_key(options, settings)}"
    connector = aiohttp.TCPConnector(limit=0, ssl=_tls_context(options, settings))
    timeout_s = options.timeout_s or settings.timeout_s
    async with aiohttp.ClientSession(headers=headers, connector=connector) as session:
        yield Nodes(urls, session, timeout_s, settings.max_parallel)


def run_async(coroutine: Coroutine[Any, Any, AnswerT]) -> AnswerT:
    """Run a coroutine in a new event loop and return its result."""
    return asyncio.run(coroutine)


def _collect_urls(
    options: NodeOptions, settings: UserSettings | None
) -> tuple[str, ...]:
    urls = list(options.node)
    if options.nodes is not None:
        urls += _read_url_file(options.nodes)
    if not urls and settings is not None:
        urls = list(settings.nodes)
        if settings.nodes_file is not None:
            urls += _read_url_file(Path(settings.nodes_file).expanduser())
    # Duplicates are dropped, so that no node is counted twice.
    return tuple(dict.fromkeys(_parse_url(text) for text in urls))


def _parse_url(text: str) -> str:
    url = (text if "://" in text else f"http://{text}").rstrip("/")
    try:
        parts = urlsplit(url)
        is_valid = (
            parts.scheme in ("http", "https") and parts.hostname and parts.port != 0
        )
    except ValueError:
        is_valid = False
    if not is_valid or parts.path or parts.query or parts.username:
        raise CommandError(f"{text!r} is not a node URL such as http://IP:PORT", USAGE)
    return url


def _read_url_file(path: Path) -> list[str]:
    lines = (line.strip() for line in _read_text(path).splitlines())
    return [line for line in lines if line and not line.startswith("#")]


def _load_key(options: NodeOptions, settings: UserSettings) -> str:
    path = options.key_file
    if path is None and OPERATOR_KEY_VARIABLE not in os.environ and settings.key_file:
        path = Path(settings.key_file).expanduser()
    key = (
        os.environ.get(OPERATOR_KEY_VARIABLE, "") if path is None else _read_text(path)
    ).strip()
    if not key:
        raise CommandError(
            f"no operators' key: set {OPERATOR_KEY_VARIABLE} or --key-file", USAGE
        )
    if not key.isascii() or not key.isprintable() or " " in key:
        raise CommandError("the operators' key has a character that is not sent", USAGE)
    return key


def _tls_context(options: NodeOptions, settings: UserSettings) -> ssl.SSLContext | bool:
    path = options.ca_file or settings.ca_file
    if path is None:
        return True
    try:
        return ssl.create_default_context(cafile=Path(path).expanduser())
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror or error}", USAGE) from error


def _read_text(path: Path) -> str:
    try:
        return path.read_text()
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}", USAGE) from error
    except UnicodeDecodeError as error:
        raise CommandError(f"{path}: not a text file", USAGE) from error


class _ErrorText(msgspec.Struct, frozen=True):
    message: str


class _ErrorBody(msgspec.Struct, frozen=True):
    error: _ErrorText


async def _read_reason(response: aiohttp.ClientResponse) -> str | None:
    """Return the message of an error answer in one line, or None if it has none."""
    data = await response.content.read(MAX_ERROR_BYTES)
    try:
        message = msgspec.json.decode(data, type=_ErrorBody).error.message
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    return " ".join(message.split())


def _node_error(error: Exception) -> NodeError:
    if isinstance(error, TimeoutError):
        return NodeError("no answer in time")
    if isinstance(error, aiohttp.ClientConnectorError):
        refused = isinstance(error.os_error, ConnectionRefusedError)
        return NodeError(f"cannot connect: {error.strerror or error}", refused)
    return NodeError(
        f"connection failed: {' '.join(str(error).split()) or repr(error)}"
    )
