"""Wire format of the engine stand-in and the functions that read and write it."""

import asyncio
import socket
import struct
from typing import TypeVar

import msgspec
from starlette.responses import Response
from starlette.types import Scope
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from dandelionpond_standins.engine_model import ExportedBlock

MAX_BODY_BYTES = 16 * 1024 * 1024
T = TypeVar("T")


class GroupPart(msgspec.Struct, frozen=True):
    """One engine's part of a prompt whose memory is split over `parts` engines.

    `reservation` is the identifier of the reserved memory for this part.
    """

    parts: int = 1
    reservation: str = ""


class GenerateRequest(msgspec.Struct, frozen=True):
    """Body of `POST /v1/generate`."""

    request_id: str
    owner: str
    model: str
    version: str = ""
    priority: int = 0
    prompt: str = ""
    prompt_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()
    max_tokens: int = 16
    from_offset: int = 0
    expires_in_s: float = 30.0
    retain_s: float = 0.0
    group: GroupPart | None = None


class HoldingRequest(msgspec.Struct, frozen=True):
    """Body of the cancel, reserve, release, export and import requests."""

    id: str
    owner: str = ""
    model: str = ""
    tokens: int = 0
    expires_in_s: float = 30.0
    prefix_hashes: tuple[int, ...] = ()
    block: ExportedBlock | None = None


class RenewRequest(msgspec.Struct, frozen=True):
    """Body of `POST /v1/renew`."""

    ids: tuple[str, ...]
    owner: str
    expires_in_s: float


class StreamState:
    """State of one answer that the server updates and the sender reads.

    Tokens before the offset `available_until` may be sent. `finished` means that the
    model generated all tokens, `aborted` that the request was cancelled or evicted, so
    that no end event follows. `changed` is set after each update.
    """

    __slots__ = ("aborted", "available_until", "changed", "finished")

    def __init__(self, offset: int) -> None:
        self.available_until = offset
        self.finished = False
        self.aborted = False
        self.changed = asyncio.Event()


class ResettableHttpProtocol(HttpToolsProtocol):
    """HTTP protocol that adds its transport to the scope.

    A fault needs the transport to reset the connection.
    """

    def on_message_begin(self) -> None:
        """Add the transport to the scope of a new request."""
        super().on_message_begin()
        self.scope["transport"] = self.transport  # type: ignore[typeddict-unknown-key]


def reset_connection(scope: Scope) -> None:
    """Reset the TCP connection of a request, so that the client sees ECONNRESET."""
    transport = scope["transport"]
    raw_socket = transport.get_extra_info("socket")
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


def encode_event(content: object) -> bytes:
    """Encode one server-sent event."""
    return b"data: " + msgspec.json.encode(content) + b"\n\n"


def json_response(status: int, content: object) -> Response:
    """Return a response with a JSON body."""
    body = msgspec.json.encode(content)
    return Response(body, status, media_type="application/json")


def decode_body(body: bytes, kind: type[T]) -> T | Response:
    """Decode a JSON body; return a response with status 400 or 413 on failure."""
    if len(body) > MAX_BODY_BYTES:
        return json_response(413, {"error": "body too large", "execution": "not_run"})
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        return json_response(400, {"error": str(error), "execution": "not_run"})
