"""Settings of the calls between nodes."""

import logging
import time
from collections.abc import Iterable

import msgspec

from dandelionpond.http.connection_limits import LogLimiter
from dandelionpond.requests.settings import RequestsSettings

log = logging.getLogger("dandelionpond.peer")

SERVICE_NAME = "dandelionpond.peer.Peer"
# Room in bytes for the other fields of a forwarded call and of its reply: ticket, names
# and a content type, each within one head of the HTTP interface, or an error message.
CALL_FIELDS_BYTES = 64 * 1024
# Most bytes of a call that comes without its length, from a node of an earlier version.
UNANNOUNCED_CALL_BYTES = 4 * 1024 * 1024


# Metadata of a forwarded call and of its reply: the length of the body in bytes, so
# that its memory is reserved before it is read.
BODY_BYTES_KEY = "dandelionpond-body-bytes"
MAX_LENGTH_DIGITS = 18


def max_request_bytes(requests: RequestsSettings) -> int:
    """Return the size limit of a forwarded call."""
    return requests.max_body_bytes + CALL_FIELDS_BYTES


def max_reply_bytes(requests: RequestsSettings) -> int:
    """Return the size limit of the reply to a forwarded call."""
    return requests.max_answer_bytes + CALL_FIELDS_BYTES


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Timeouts in seconds and size limits in bytes of calls between nodes.

    A settings reply carries at most 64 MB of files, the limit for one revision.
    `max_call_bytes` is the limit of the gRPC library for each request, which is fixed
    when a server starts; the published limits of bodies apply below it.
    """

    exchange_timeout_s: float = 2.0
    fetch_timeout_s: float = 30.0
    max_channels: int = 64
    max_exchange_bytes: int = 64 * 1024
    max_fetch_request_bytes: int = 4 * 1024 * 1024
    max_call_bytes: int = max_request_bytes(RequestsSettings())
    max_fetch_bytes: int = 72 * 1024 * 1024
    max_concurrent_calls: int = 256
    max_connections: int = 512
    handshake_timeout_s: float = 5.0


def read_body_bytes(metadata: Iterable[tuple[str, str | bytes]]) -> int | None:
    """Return the announced length of a body, or None without one.

    Raise `ValueError` if the value is not a length.
    """
    for key, value in metadata:
        if key == BODY_BYTES_KEY:
            if len(value) > MAX_LENGTH_DIGITS or not value.isdigit():
                raise ValueError("length of a body is invalid")
            return int(value)
    return None


def log_ignored_length(limiter: LogLimiter, address: str, error: ValueError) -> None:
    """Log that an announced length counts as absent, once a minute for an address."""
    suppressed = limiter.admit(address, str(error), time.monotonic())
    if suppressed is not None:
        log.warning(
            "length of a forwarded body ignored",
            extra={"from": address, "reason": str(error), "suppressed": suppressed},
        )


def channel_options(settings: PeerSettings) -> list[tuple[str, int]]:
    """Return the options of gRPC channels and servers.

    gRPC's own retries are disabled because only the caller of `PeerClient` knows
    whether a call may be repeated. Proxy settings in the environment are ignored.
    """
    return [
        ("grpc.enable_retries", 0),
        ("grpc.enable_http_proxy", 0),
        ("grpc.max_receive_message_length", settings.max_fetch_bytes),
        ("grpc.max_send_message_length", settings.max_fetch_bytes),
        ("grpc.use_local_subchannel_pool", 1),
        ("grpc.so_reuseport", 0),
        ("grpc.max_connection_idle_ms", 300_000),
    ]


def server_options(
    settings: PeerSettings, max_request_bytes: int
) -> list[tuple[str, int]]:
    """Return the options of gRPC servers.

    Replies may be much longer than requests. A client that does not finish its
    handshake is closed, so that it does not keep a descriptor.
    """
    limits = {
        "grpc.max_receive_message_length": max_request_bytes,
        "grpc.max_concurrent_streams": settings.max_concurrent_calls,
        "grpc.max_allowed_incoming_connections": settings.max_connections,
        "grpc.server_handshake_timeout_ms": int(settings.handshake_timeout_s * 1000),
    }
    return list((dict(channel_options(settings)) | limits).items())
