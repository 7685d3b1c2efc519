"""Convert between protobuf messages and the typed messages of the slices.

A message that breaks a bound or has a wrong value raises `ValueError`; the edge turns
it into a failure and counts it.
"""

import zlib
from math import isfinite

from dandelionpond.adapters.platform import MAX_VALUE_BYTES
from dandelionpond.config.state import MAX_TOTAL_BYTES
from dandelionpond.errors import ErrorKind
from dandelionpond.identity import Identity
from dandelionpond.membership.messages import Exchange, Rumor
from dandelionpond.peer import peer_pb2 as pb
from dandelionpond.peer.messages import (
    DEFAULT_CONTENT_TYPE,
    CallOutcome,
    Demand,
    FetchedFile,
    FetchReply,
    FetchRequest,
    ForwardedCall,
    Grant,
    PeerMessage,
)

MAX_NAME = 128
MAX_ENTRIES = 16_384


def _identity_to(identity: Identity) -> pb.NodeId:
    return pb.NodeId(
        name=identity.name, started_ms=identity.started_ms, nonce=identity.nonce
    )


def _identity_from(message: pb.NodeId) -> Identity:
    if not message.name or len(message.name) > MAX_NAME:
        raise ValueError("sender name is empty or too long")
    return Identity(message.name, message.started_ms, message.nonce)


def _number(value: float) -> float:
    if not isfinite(value) or value < 0:
        raise ValueError("number is negative or not finite")
    return value


def message_to(message: PeerMessage) -> pb.ExchangeMessage:
    """Return the protobuf form of an exchange."""
    exchange = message.exchange
    return pb.ExchangeMessage(
        sender=_identity_to(exchange.sender),
        peer_address=exchange.peer_address,
        failure_domain=exchange.failure_domain,
        state=exchange.state,
        heartbeat=exchange.heartbeat,
        settings_revision=exchange.settings_revision,
        settings_digest=exchange.settings_digest,
        rumors=[
            pb.Rumor(
                subject=rumor.subject,
                subject_kind=rumor.subject_kind,
                state=rumor.state,
                started_ms=rumor.started_ms,
                nonce=rumor.nonce,
                heartbeat=rumor.heartbeat,
                peer_address=rumor.peer_address,
                failure_domain=rumor.failure_domain,
                origin=rumor.origin,
            )
            for rumor in exchange.rumors
        ],
        demands=[
            pb.Demand(
                account=demand.account,
                tokens_per_s=demand.tokens_per_s,
                concurrency=demand.concurrency,
            )
            for demand in message.demands
        ],
        grants=[
            pb.Grant(
                account=grant.account,
                tokens_per_s=grant.tokens_per_s,
                concurrency=grant.concurrency,
                ttl_s=grant.ttl_s,
            )
            for grant in message.grants
        ],
    )


def _rumor_from(rumor: pb.Rumor) -> Rumor:
    kind = rumor.subject_kind
    if kind not in ("node", "upstream"):
        raise ValueError("rumor has an unknown subject kind")
    if not rumor.subject or len(rumor.subject) > MAX_NAME:
        raise ValueError("rumor subject is empty or too long")
    return Rumor(
        rumor.subject,
        "node" if kind == "node" else "upstream",
        rumor.state,
        rumor.started_ms,
        rumor.nonce,
        rumor.heartbeat,
        rumor.peer_address,
        rumor.failure_domain,
        rumor.origin,
    )


def message_from(message: pb.ExchangeMessage) -> PeerMessage:
    """Return the typed form of an exchange; raise `ValueError` if it is invalid."""
    if message.state not in ("serving", "leaving"):
        raise ValueError("sender has an unknown state")
    exchange = Exchange(
        _identity_from(message.sender),
        message.peer_address,
        message.failure_domain,
        "serving" if message.state == "serving" else "leaving",
        message.heartbeat,
        message.settings_revision,
        message.settings_digest,
        tuple(_rumor_from(rumor) for rumor in message.rumors),
    )
    demands = tuple(
        Demand(item.account, _number(item.tokens_per_s), _number(item.concurrency))
        for item in message.demands
    )
    grants = tuple(
        Grant(
            item.account,
            _number(item.tokens_per_s),
            _number(item.concurrency),
            _number(item.ttl_s),
        )
        for item in message.grants
    )
    return PeerMessage(exchange, demands, grants)


def fetch_request_to(request: FetchRequest) -> pb.FetchRequest:
    """Return the protobuf form of a settings request."""
    return pb.FetchRequest(
        sender=_identity_to(request.sender),
        held_hashes=request.held_hashes,
        base_folder_hash=request.base_folder_hash,
    )


def fetch_request_from(message: pb.FetchRequest) -> FetchRequest:
    """Return the typed form of a settings request."""
    if len(message.held_hashes) > MAX_ENTRIES:
        raise ValueError("request holds too many hashes")
    return FetchRequest(
        _identity_from(message.sender),
        tuple(message.held_hashes),
        message.base_folder_hash,
    )


def _file_to(file: FetchedFile) -> pb.File:
    content = file.content or b""
    if file.dictionary:
        return pb.File(
            name=file.name,
            hash=file.hash,
            content=content,
            included=True,
            dictionary=file.dictionary,
        )
    # Settings are JSON text and most of what a change costs; level 1 takes a file of
    # 9.3 KB to 2.5 KB in about 25 us.
    deflated = deflate(content)
    is_smaller = len(deflated) < len(content)
    return pb.File(
        name=file.name,
        hash=file.hash,
        content=deflated if is_smaller else content,
        included=file.content is not None,
        deflated=is_smaller,
    )


def deflate(content: bytes, dictionary: bytes = b"") -> bytes:
    """Return content in zlib format; a dictionary of 32 KB at most is used whole."""
    deflater = zlib.compressobj(1 if not dictionary else 9, zdict=dictionary)
    return deflater.compress(content) + deflater.flush()


def inflate(content: bytes, dictionary: bytes = b"") -> bytes:
    """Return the content that was deflated; raise `ValueError` if it is damaged.

    More than `MAX_VALUE_BYTES`, the bound of one value, is refused.
    """
    inflater = zlib.decompressobj(zdict=dictionary)
    try:
        found = inflater.decompress(content, MAX_VALUE_BYTES)
    except zlib.error as error:
        raise ValueError(f"damaged file content: {error}") from None
    if not inflater.eof:
        raise ValueError("file content is cut off or too large")
    return found


def fetch_reply_to(reply: FetchReply) -> pb.FetchReply:
    """Return the protobuf form of a settings reply."""
    return pb.FetchReply(
        revision=reply.revision,
        files=[_file_to(file) for file in reply.files],
        base_folder_hash=reply.base_folder_hash,
        folder_hash=reply.folder_hash,
        removed=reply.removed,
        base_unknown=reply.is_base_unknown,
    )


def fetch_reply_from(message: pb.FetchReply) -> FetchReply:
    """Return the typed form; raise `ValueError` if files are too large or damaged."""
    files = []
    total = 0
    for file in message.files:
        if file.dictionary and not file.included:
            raise ValueError("file with a dictionary has no content")
        content = file.content if file.included else None
        if content is not None and file.deflated:
            content = inflate(content)
        total += len(content or b"")
        if total > MAX_TOTAL_BYTES:
            raise ValueError("reply holds more bytes than a folder may have")
        files.append(FetchedFile(file.name, file.hash, content, file.dictionary))
    return FetchReply(
        message.revision,
        tuple(files),
        message.base_folder_hash,
        message.folder_hash,
        tuple(message.removed),
        message.base_unknown,
    )


def call_to(call: ForwardedCall) -> pb.CallRequest:
    """Return the protobuf form of a forwarded call."""
    return pb.CallRequest(
        sender=_identity_to(call.sender),
        ticket=call.ticket,
        account=call.account,
        service=call.service,
        body_hash=call.body_hash,
        body=call.body,
        remaining_s=call.remaining_s,
        request_id=call.request_id,
        content_type=call.content_type,
    )


def call_from(message: pb.CallRequest) -> ForwardedCall:
    """Return the typed form of a forwarded call."""
    return ForwardedCall(
        _identity_from(message.sender),
        message.ticket,
        message.account,
        message.service,
        message.body_hash,
        message.body,
        _number(message.remaining_s),
        message.request_id,
        message.content_type or DEFAULT_CONTENT_TYPE,
    )


def outcome_to(outcome: CallOutcome) -> pb.CallReply:
    """Return the protobuf form of the outcome of a call."""
    return pb.CallReply(
        status=outcome.status,
        content_type=outcome.content_type,
        body=outcome.body,
        error_kind=outcome.error.value if outcome.error else "",
        error_message=outcome.error_message,
        repeated_outcome=outcome.is_repeated,
        retry_after_s=outcome.retry_after_s or 0.0,
    )


def outcome_from(message: pb.CallReply) -> CallOutcome:
    """Return the typed form of an outcome; an empty reply is invalid."""
    if not message.error_kind and not 100 <= message.status <= 599:
        raise ValueError("reply has neither a status nor an error")
    return CallOutcome(
        message.status,
        message.content_type,
        message.body,
        ErrorKind(message.error_kind) if message.error_kind else None,
        message.error_message,
        message.repeated_outcome,
        _number(message.retry_after_s) or None,
    )
