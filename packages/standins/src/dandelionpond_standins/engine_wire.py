"""Define the engine stand-in's wire format and the helpers that write it."""

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


class Group(msgspec.Struct, frozen=True):
    """Say how many engines hold the prompt and which reservation holds this part."""

    parts: int = 1
    reservation: str = ""


class Generate(msgspec.Struct, frozen=True):
    """Hold the body of `POST /v1/generate`."""

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
    group: Group | None = None


class Body(msgspec.Struct, frozen=True):
    """Hold the body of cancel, reserve, release, export and import."""

    id: str
    owner: str = ""
    model: str = ""
    tokens: int = 0
    expires_in_s: float = 30.0
    prefix_hashes: tuple[int, ...] = ()
    block: ExportedBlock | None = None


class Renewal(msgspec.Struct, frozen=True):
    """Hold the body of renew."""

    ids: tuple[str, ...]
    owner: str
    expires_in_s: float


class Stream:
    """Track how much of one answer may be sent; the sender waits on `changed`."""

    __slots__ = ("available", "changed", "finished", "gone")

    def __init__(self, offset: int) -> None:
        self.available = offset
        self.finished = False
        self.gone = False
        self.changed = asyncio.Event()


class ResettableHttpProtocol(HttpToolsProtocol):
    """Put the transport into the scope, so that a fault can reset the connection."""

    def on_message_begin(self) -> None:
        """Start a request."""
        super().on_message_begin()
        self.scope["transport"] = self.transport  # type: ignore[typeddict-unknown-key]


def reset(scope: Scope) -> None:
    """Reset the TCP connection of a request."""
    transport = scope["transport"]
    raw = transport.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


def event(content: object) -> bytes:
    """Encode one server-sent event."""
    return b"data: " + msgspec.json.encode(content) + b"\n\n"


def answer(status: int, content: object) -> Response:
    """Return a JSON answer."""
    body = msgspec.json.encode(content)
    return Response(body, status, media_type="application/json")


def decode(body: bytes, kind: type[T]) -> T | Response:
    """Read a body, or return an answer with status 400."""
    if len(body) > MAX_BODY_BYTES:
        return answer(413, {"error": "body too large", "execution": "not_run"})
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        return answer(400, {"error": str(error), "execution": "not_run"})
