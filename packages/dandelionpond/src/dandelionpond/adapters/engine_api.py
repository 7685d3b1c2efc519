"""Interface of an engine client, independent of the wire format."""

from collections.abc import AsyncIterator, Callable
from typing import Literal, Protocol

import msgspec
from expression import Result

from dandelionpond.errors import Failure
from dandelionpond.memory.messages import Holding
from dandelionpond.orders.messages import EngineChange, EngineReport, FencingToken


class GroupPart(msgspec.Struct, frozen=True):
    """Part of a group: `parts` engines share the prompt's memory.

    `reservation` identifies the memory that this engine reserved for its part.
    """

    parts: int
    reservation: str


class EngineRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Request for the tokens `from_offset` to `max_tokens - 1` of an answer.

    Requests with a smaller `priority` are served first. If `prompt_tokens` is above
    zero, it overrides the engine's own count. If `retain_s` is above zero, the engine
    keeps the memory of the finished answer reserved for that many seconds.
    """

    request_id: str
    owner: str
    model: str
    max_tokens: int
    version: str = ""
    priority: int = 0
    prompt: str = ""
    prompt_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()
    from_offset: int = 0
    expires_in_s: float = 30.0
    retain_s: float = 0.0
    group: GroupPart | None = None


class Piece(msgspec.Struct, frozen=True):
    """Consecutive part of an answer: `tokens` tokens that start at `offset`.

    All fields are as received from the engine and unchecked; a faulty engine may send
    the `request_id` of another request.
    """

    request_id: str
    offset: int
    tokens: int
    text: str


class StreamEnd(msgspec.Struct, frozen=True):
    """End marker of an answer; `tokens` is the total, counted from offset 0."""

    request_id: str
    tokens: int


StreamFailureReason = Literal[
    "connect_failed",
    "not_sent",
    "refused",
    "unknown_model",
    "leaving",
    "paused",
    "failed",
    "reset",
    "silent",
    "truncated",
    "invalid",
    "too_large",
    "deadline",
]


class StreamFailure(msgspec.Struct, frozen=True):
    """End of a stream without an end marker.

    `sent` is true if any byte of the request may have been sent. The reason `paused`
    means that the engine rejected the request and wants none for a time.
    """

    reason: StreamFailureReason
    failure: Failure
    sent: bool


StreamEvent = Piece | StreamEnd | StreamFailure


class EngineLoad(msgspec.Struct, frozen=True):
    """Load of an engine, measured `age_s` seconds before its response.

    `queued_by_priority` is the queued prefill per priority, in tokens; it is empty if
    the engine does not report it. `models` maps each model that was ready at the time
    of the response to its version; None means that the engine does not report models.
    `uptime_s` is the time since the engine's start, or None if it does not report it.
    """

    age_s: float
    queued_prefill_tokens: int
    running_requests: int
    waiting_requests: int
    kv_tokens_used: int
    kv_capacity_tokens: int
    leaving: bool = False
    queued_by_priority: dict[int, int] = {}
    models: dict[str, str] | None = None
    uptime_s: float | None = None


class CacheEvent(msgspec.Struct, frozen=True):
    """Prefix blocks that an engine added to its cache or removed from it.

    A gap in the sequence of `seq` means that events were lost, so the reader's copy of
    the cache contents is incomplete.
    """

    seq: int
    action: Literal["stored", "removed"]
    hashes: tuple[int, ...]


class KvBlock(msgspec.Struct, frozen=True):
    """Exported part of the KV cache that another engine can import."""

    export_id: str
    model: str
    tokens: int
    prefix_hashes: tuple[int, ...]


class EngineClient(Protocol):
    """Client of one engine. Every call ends within its `timeout_s` seconds.

    The execution state of a failure is `not_run` only if no byte of the request can
    have been sent or the engine states that it did not run the request.
    """

    def stream(
        self,
        request: EngineRequest,
        timeout_s: float,
        silence_s: float,
        new_connection: bool = False,
        on_sending: Callable[[], bool | None] | None = None,
    ) -> AsyncIterator[list[StreamEvent]]:
        """Yield an answer in batches; the last event is a StreamEnd or StreamFailure.

        `on_sending` is called directly before the first byte can be sent, with no other
        task in between. If it returns False, nothing is sent and the reason is
        `not_sent`. `silence_s` limits the time without received data. Closing the
        iterator closes the connection, but the engine keeps its memory reserved until
        `cancel` is confirmed.
        """
        ...

    async def cancel(
        self, holding_id: str, owner: str, timeout_s: float
    ) -> Result[bool, Failure]:
        """Release a stream or another holding.

        Ok means that the engine confirmed the release; the value is False if it had no
        such holding.
        """
        ...

    async def list_holdings(self, timeout_s: float) -> Result[list[Holding], Failure]:
        """List all holdings of the engine; a partial list is an error."""
        ...

    async def renew(
        self, holding_ids: tuple[str, ...], owner: str, ttl_s: float, timeout_s: float
    ) -> Result[frozenset[str], Failure]:
        """Renew holdings; return the identifiers that the engine does not hold."""
        ...

    async def reserve(
        self, holding_id: str, owner: str, tokens: int, ttl_s: float, timeout_s: float
    ) -> Result[bool, Failure]:
        """Reserve memory for `tokens` tokens; False if the engine has too little."""
        ...

    async def release(
        self, holding_id: str, owner: str, timeout_s: float
    ) -> Result[bool, Failure]:
        """Release a reservation, an export or an import, as `cancel` does."""
        ...

    async def export_kv(
        self,
        holding_id: str,
        owner: str,
        model: str,
        prefix_hashes: tuple[int, ...],
        ttl_s: float,
        timeout_s: float,
    ) -> Result[KvBlock | None, Failure]:
        """Pin the cached leading blocks for a transfer; None if none is cached."""
        ...

    async def import_kv(
        self,
        holding_id: str,
        owner: str,
        block: KvBlock,
        ttl_s: float,
        timeout_s: float,
    ) -> Result[bool, Failure]:
        """Import exported blocks; False if the engine has too little memory."""
        ...

    async def fetch_cache_events(
        self, from_seq: int, timeout_s: float
    ) -> Result[list[CacheEvent], Failure]:
        """Return cache events with `seq >= from_seq`; they may be late or have gaps."""
        ...

    async def fetch_load(self, timeout_s: float) -> Result[EngineLoad, Failure]:
        """Return the engine's load report, which lags behind by `age_s`."""
        ...

    async def send_order(
        self,
        token: FencingToken,
        change: EngineChange,
        timeout_s: float,
        on_sending: Callable[[], bool | None] | None = None,
    ) -> Result[FencingToken, Failure]:
        """Send an order and return the highest token that the engine has seen.

        `on_sending` works as in `stream`. Errors: `upstream_refused` for a stale token.
        """
        ...

    async def fetch_report(self, timeout_s: float) -> Result[EngineReport, Failure]:
        """Return the engine's models, adapters, role and fencing token."""
        ...
