"""Define the typed messages of the calls between nodes."""

import msgspec

from dandelionpond.errors import ErrorKind
from dandelionpond.identity import Identity
from dandelionpond.membership.messages import Exchange

# A node of an earlier version does not say the type of a forwarded body.
DEFAULT_CONTENT_TYPE = "application/json"


class Demand(msgspec.Struct, frozen=True, tag="demand"):
    """Report the demand of a node for one client account, in tokens per second."""

    account: str
    tokens_per_s: float
    concurrency: float


class Grant(msgspec.Struct, frozen=True, tag="grant"):
    """Carry a share of a limit that is valid for `ttl_s` seconds."""

    account: str
    tokens_per_s: float
    concurrency: float
    ttl_s: float


class PeerMessage(msgspec.Struct, frozen=True, tag="peer_message"):
    """Carry one `Exchange` call or its reply: membership, demand and grants."""

    exchange: Exchange
    demands: tuple[Demand, ...] = ()
    grants: tuple[Grant, ...] = ()


class FetchRequest(msgspec.Struct, frozen=True, tag="fetch_request"):
    """Ask for the published files; `held_hashes` are BLAKE2b-256 in hexadecimal.

    With `base_folder_hash` it asks only for the changes since that folder.
    """

    sender: Identity
    held_hashes: tuple[str, ...] = ()
    base_folder_hash: str = ""


class FetchedFile(msgspec.Struct, frozen=True):
    """Carry one published file; `content` is None if the requester holds the hash.

    With `dictionary` the content is in zlib format, made with the last 32 KB of the
    file of that hash as its dictionary; the receiver holds that file.
    """

    name: str
    hash: str
    content: bytes | None
    dictionary: str = ""


class FetchReply(msgspec.Struct, frozen=True, tag="fetch_reply"):
    """Carry the revision in force and its files; revision 0 means no settings.

    With `base_folder_hash` the files are those that changed since that folder, and
    `folder_hash` names the result. `is_base_unknown` asks for the hashes held.
    """

    revision: int
    files: tuple[FetchedFile, ...] = ()
    base_folder_hash: str = ""
    folder_hash: str = ""
    removed: tuple[str, ...] = ()
    is_base_unknown: bool = False


class ForwardedCall(msgspec.Struct, frozen=True, tag="forwarded_call"):
    """Carry a ticketed call to its issuer; `remaining_s` is left of its deadline."""

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
    """Carry the outcome of a forwarded call; `error` is None if it has an answer.

    `retry_after_s` is in seconds and None if the error says no time.
    """

    status: int
    content_type: str
    body: bytes
    error: ErrorKind | None = None
    error_message: str = ""
    is_repeated: bool = False
    retry_after_s: float | None = None
