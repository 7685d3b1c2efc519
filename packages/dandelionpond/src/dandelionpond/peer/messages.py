"""Typed messages of the calls between nodes."""

import msgspec

from dandelionpond.errors import ErrorKind
from dandelionpond.identity import Identity
from dandelionpond.membership.messages import Exchange

# Nodes of an earlier version do not send the content type of a forwarded body.
DEFAULT_CONTENT_TYPE = "application/json"


class Demand(msgspec.Struct, frozen=True, tag="demand"):
    """Demand of one node for a client account: tokens per second and concurrency."""

    account: str
    tokens_per_s: float
    concurrency: float


class Grant(msgspec.Struct, frozen=True, tag="grant"):
    """Share of a client account's limit, valid for `ttl_s` seconds."""

    account: str
    tokens_per_s: float
    concurrency: float
    ttl_s: float


class PeerMessage(msgspec.Struct, frozen=True, tag="peer_message"):
    """Request or reply of an `Exchange` call: membership, demands and grants.

    `quarantine` are news of prompts that crash engines; see `quarantine.wire`.
    """

    exchange: Exchange
    demands: tuple[Demand, ...] = ()
    grants: tuple[Grant, ...] = ()
    quarantine: bytes = b""


class FetchRequest(msgspec.Struct, frozen=True, tag="fetch_request"):
    """Request for the published settings files.

    `held_hashes` are the BLAKE2b-256 hashes, in hexadecimal, of the files that the
    sender already holds. With `base_folder_hash`, only the changes since that folder
    are requested.
    """

    sender: Identity
    held_hashes: tuple[str, ...] = ()
    base_folder_hash: str = ""


class FetchedFile(msgspec.Struct, frozen=True):
    """One published file; `content` is None if the requester holds a file of that hash.

    If `dictionary` is set, it is the hash of a file that the receiver holds, and the
    content is in zlib format, compressed with the last 32 KB of that file as the
    dictionary.
    """

    name: str
    hash: str
    content: bytes | None
    dictionary: str = ""


class FetchReply(msgspec.Struct, frozen=True, tag="fetch_reply"):
    """Revision in effect and its files; revision 0 means no settings.

    If `base_folder_hash` is set, `files` holds only the files that changed since that
    folder, and `folder_hash` is the hash of the resulting folder. `is_base_unknown`
    tells the requester to ask again with the hashes of the files it holds.
    """

    revision: int
    files: tuple[FetchedFile, ...] = ()
    base_folder_hash: str = ""
    folder_hash: str = ""
    removed: tuple[str, ...] = ()
    is_base_unknown: bool = False


class ForwardedCall(msgspec.Struct, frozen=True, tag="forwarded_call"):
    """Call sent to the node that issued its ticket.

    `remaining_s` is the time in seconds until its deadline.
    """

    sender: Identity
    ticket: str
    account: str
    service: str
    body_hash: str
    body: bytes
    remaining_s: float
    request_id: str
    content_type: str = DEFAULT_CONTENT_TYPE


class CallOutcome(msgspec.Struct, frozen=True, tag="call_outcome"):
    """Outcome of a forwarded call; `error` is None if the service returned a response.

    `retry_after_s` is None if the error names no retry time.
    """

    status: int
    content_type: str
    body: bytes
    error: ErrorKind | None = None
    error_message: str = ""
    is_repeated: bool = False
    retry_after_s: float | None = None
