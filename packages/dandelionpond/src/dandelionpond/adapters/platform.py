"""HTTP client that reads and watches the platform service."""

import asyncio
from collections.abc import Mapping
from enum import StrEnum
from types import TracebackType
from typing import Annotated, Protocol, Self, TypeVar
from urllib.parse import quote

import aiohttp
import msgspec
from expression import Error, Ok, Result

from dandelionpond.adapters.http_session import AnswerLostError, create_session
from dandelionpond.membership.messages import Vm
from dandelionpond.membership.upstreams import MAX_LIST_REVISION

MAX_VALUE_BYTES = 1_000_000
# Twice the size of 20,000 file names or VMs of up to 200 bytes each.
MAX_LISTING_BYTES = 8_000_000
MAX_FOLDER_BYTES = 64_000_000
# Time allowed for the answer to a watch after the wait requested from the platform.
WATCH_MARGIN_S = 2.0
MAX_FOLDER_READ_ROUNDS = 4

T = TypeVar("T")

# Nodes tell each other the revision of the settings in 64 bits.
FolderRevision = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
ListRevision = Annotated[int, msgspec.Meta(ge=0, le=MAX_LIST_REVISION)]


class PlatformFault(StrEnum):
    """Kinds of failed calls to the platform that callers must handle."""

    UNREACHABLE = "unreachable"
    RESET = "reset"
    TIMEOUT = "timeout"
    TRUNCATED = "truncated"
    TOO_LARGE = "too_large"
    INVALID = "invalid"
    NOT_FOUND = "not_found"
    STATUS = "status"
    WRONG_REVISION = "wrong_revision"
    UNSTABLE = "unstable"


class PlatformError(msgspec.Struct, frozen=True):
    """Fault and one-line message for the log."""

    fault: PlatformFault
    message: str


class Listing(msgspec.Struct, frozen=True):
    """Revision of a folder and the revision of each file in it, by name."""

    revision: FolderRevision
    files: dict[str, int]


class Value(msgspec.Struct, frozen=True):
    """Content of a file and the revision that wrote it."""

    content: bytes
    revision: int


class WatchAnswer(msgspec.Struct, frozen=True):
    """Revision of the folder at the end of a watch."""

    revision: FolderRevision


class VmList(msgspec.Struct, frozen=True):
    """List of the platform's VMs, which lags behind the actual state."""

    revision: ListRevision
    vms: tuple[Vm, ...]


class Folder(msgspec.Struct, frozen=True):
    """Copy of a folder at one revision; file names are without the prefix."""

    revision: int
    values: dict[str, Value]

    @property
    def files(self) -> dict[str, bytes]:
        """Return the content of each file by name."""
        return {name: value.content for name, value in self.values.items()}


class PlatformClient(Protocol):
    """Client of the platform that returns expected faults as values."""

    async def list_files(self, prefix: str) -> Result[Listing, PlatformError]:
        """List the files under a prefix; names in the answer include the prefix."""
        ...

    async def read(self, name: str) -> Result[Value, PlatformError]:
        """Read one file of up to `MAX_VALUE_BYTES`."""
        ...

    async def watch(
        self, prefix: str, from_revision: int, wait_s: float
    ) -> Result[WatchAnswer, PlatformError]:
        """Wait up to `wait_s` seconds for a revision above `from_revision`."""
        ...

    async def list_vms(self) -> Result[VmList, PlatformError]:
        """List the live and leaving VMs."""
        ...


class HttpPlatformClient:
    """`PlatformClient` over HTTP; use it as an asynchronous context manager.

    `timeout_s` limits each call from connect to the last byte, in seconds. Each call
    opens a new connection, because an idle connection may be lost without notice; the
    cost is low, since few nodes read from the platform and make few calls.
    """

    __slots__ = ("_base_url", "_session", "_timeout_s")

    def __init__(self, base_url: str, timeout_s: float = 2.0) -> None:
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        """Return the client; the session opens with the first call."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the session."""
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def list_files(self, prefix: str) -> Result[Listing, PlatformError]:
        """List the files under a prefix; names in the answer include the prefix."""
        query = {"prefix": prefix}
        return await self._decode("/v1/list", query, Listing, self._timeout_s)

    async def read(self, name: str) -> Result[Value, PlatformError]:
        """Read one file of up to `MAX_VALUE_BYTES`."""
        path = f"/v1/keys/{quote(name)}"
        match await self._get(path, {}, MAX_VALUE_BYTES, self._timeout_s):
            case Result(tag="ok", ok=(content, header)):
                if header is None or not header.isascii() or not header.isdigit():
                    return _failure(PlatformFault.INVALID, "X-Revision is not a number")
                if len(header) > 18:
                    return _failure(PlatformFault.INVALID, "X-Revision is out of range")
                return Ok(Value(content, int(header)))
            case Result(error=error):
                return Error(error)

    async def watch(
        self, prefix: str, from_revision: int, wait_s: float
    ) -> Result[WatchAnswer, PlatformError]:
        """Wait up to `wait_s` seconds for a revision above `from_revision`."""
        query = {"prefix": prefix, "from": str(from_revision), "wait_s": str(wait_s)}
        timeout_s = wait_s + min(WATCH_MARGIN_S, self._timeout_s)
        return await self._decode("/v1/watch", query, WatchAnswer, timeout_s)

    async def list_vms(self) -> Result[VmList, PlatformError]:
        """List the live and leaving VMs."""
        return await self._decode("/v1/vms", {}, VmList, self._timeout_s)

    async def _decode(
        self, path: str, query: dict[str, str], kind: type[T], timeout_s: float
    ) -> Result[T, PlatformError]:
        match await self._get(path, query, MAX_LISTING_BYTES, timeout_s):
            case Result(tag="ok", ok=(content, _)):
                try:
                    return Ok(msgspec.json.decode(content, type=kind))
                except (msgspec.MsgspecError, RecursionError, ValueError) as error:
                    return _failure(PlatformFault.INVALID, f"{path}: {error}")
            case Result(error=error):
                return Error(error)

    async def _get(
        self, path: str, query: dict[str, str], max_bytes: int, timeout_s: float
    ) -> Result[tuple[bytes, str | None], PlatformError]:
        if self._session is None:
            self._session = create_session(
                aiohttp.TCPConnector(force_close=True, limit=16),
                # Disabled so that the size limit applies to the received bytes.
                auto_decompress=False,
                headers={"Accept-Encoding": "identity"},
                timeout=aiohttp.ClientTimeout(total=None),
            )
        url = self._base_url + path
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._session.get(url, params=query, allow_redirects=False) as response,
            ):
                if response.status == 404:
                    return _failure(PlatformFault.NOT_FOUND, path)
                if response.status != 200:
                    text = f"{path}: HTTP status {response.status}"
                    return _failure(PlatformFault.STATUS, text)
                content = bytearray()
                async for chunk in response.content.iter_any():
                    content += chunk
                    if len(content) > max_bytes:
                        text = f"{path}: more than {max_bytes} bytes"
                        return _failure(PlatformFault.TOO_LARGE, text)
                return Ok((bytes(content), response.headers.get("X-Revision")))
        except TimeoutError:
            return _failure(
                PlatformFault.TIMEOUT, f"{path}: no answer in {timeout_s} s"
            )
        except aiohttp.ClientConnectorError as error:
            return _failure(PlatformFault.UNREACHABLE, f"{path}: {error}")
        except aiohttp.ClientPayloadError as error:
            return _failure(PlatformFault.TRUNCATED, f"{path}: {error}")
        except (AnswerLostError, OSError) as error:
            return _failure(PlatformFault.RESET, f"{path}: {error}")
        except (aiohttp.ClientError, ValueError) as error:
            return _failure(PlatformFault.INVALID, f"{path}: {error}")


async def read_folder(
    client: PlatformClient,
    prefix: str,
    known: Folder,
    max_rounds: int = MAX_FOLDER_READ_ROUNDS,
) -> Result[Folder, PlatformError]:
    """Read all files of a folder at one revision, in at most `max_rounds` rounds.

    Both the listing and each file state the revision that wrote the file. If all files
    match the revisions in the listing, they form a consistent copy, and no second
    listing is needed. `known` is an earlier copy of the folder, by name without the
    prefix; files that have not changed since its revision are not read again. Files
    read in one round are kept for the next.
    """
    values = dict(known.values)
    listed = await client.list_files(prefix)
    for _ in range(max_rounds):
        if listed.is_error():
            return Error(listed.error)
        listing = listed.ok
        listed_revisions: dict[str, int] = {}
        for key, revision in listing.files.items():
            if not key.startswith(prefix) or revision > listing.revision:
                text = f"{key} at revision {revision} in a list at {listing.revision}"
                return _failure(PlatformFault.INVALID, text)
            listed_revisions[key.removeprefix(prefix)] = revision
        known_revision = known.revision if known.revision <= listing.revision else 0
        values = {
            name: _confirm(value, listed_revisions[name], known_revision)
            for name, value in values.items()
            if name in listed_revisions
        }
        error = await _read_changed(client, prefix, listed_revisions, values)
        if error is not None:
            return Error(error)
        # Differs if a file was deleted or changed between the listing and the read.
        if listed_revisions == {name: value.revision for name, value in values.items()}:
            return Ok(Folder(listing.revision, values))
        previous, listed = listing, await client.list_files(prefix)
        if listed.is_ok() and listed.ok.revision < previous.revision:
            text = f"revision {listed.ok.revision} after {previous.revision}"
            return _failure(PlatformFault.WRONG_REVISION, text)
    return _failure(
        PlatformFault.UNSTABLE, f"{prefix} changed in each of {max_rounds} reads"
    )


def _confirm(value: Value, listed_revision: int, known_revision: int) -> Value:
    """Return a value with its listed revision if the file has not changed since.

    A copy from a peer states only the folder's revision for all its files.
    """
    if listed_revision <= known_revision:
        return Value(value.content, listed_revision)
    return value


async def _read_changed(
    client: PlatformClient,
    prefix: str,
    listed_revisions: Mapping[str, int],
    values: dict[str, Value],
) -> PlatformError | None:
    total = sum(len(value.content) for value in values.values())
    for name, revision in listed_revisions.items():
        previous = values.get(name)
        if previous is not None and previous.revision == revision:
            continue
        match await client.read(prefix + name):
            case Result(tag="ok", ok=value):
                if value.revision < revision:
                    text = f"{name} at {value.revision}, listed at {revision}"
                    return PlatformError(PlatformFault.WRONG_REVISION, text)
                total += len(value.content) - (len(previous.content) if previous else 0)
                if total > MAX_FOLDER_BYTES:
                    text = f"more than {MAX_FOLDER_BYTES} bytes in all"
                    return PlatformError(PlatformFault.TOO_LARGE, text)
                values[name] = value
            case Result(error=error):
                if error.fault is not PlatformFault.NOT_FOUND:
                    return error
                values.pop(name, None)
    return None


def _failure(fault: PlatformFault, message: str) -> Result[T, PlatformError]:
    return Error(PlatformError(fault, message))
