"""Define what the node needs from an engine, independent of any wire format."""

from collections.abc import AsyncIterator, Callable
from typing import Literal, Protocol

import msgspec
from expression import Result

from dandelionpond.errors import Failure
from dandelionpond.memory.messages import Holding
from dandelionpond.orders.messages import EngineChange, EngineReport, FencingToken


class GroupPart(msgspec.Struct, frozen=True):
    """Say that `parts` engines hold the prompt, this part under `reservation`."""

    parts: int
    reservation: str


class EngineRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Ask an engine for the tokens `from_offset` to `max_tokens - 1` of an answer.

    A smaller `priority` is served first. `prompt_tokens` replaces the engine's own
    count if it is above zero. The memory of the finished answer stays held for
    `retain_s` seconds if that is above zero.
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
    """Carry `tokens` tokens of text that start at `offset`, as the engine named them.

    `request_id` comes from the wire and may be another request's.
    """

    request_id: str
    offset: int
    tokens: int
    text: str


class StreamEnd(msgspec.Struct, frozen=True):
    """Report the end marker; `tokens` is the total from offset 0."""

    request_id: str
    tokens: int


StreamFailureReason = Literal[
    "connect_failed",
    "not_sent",
    "refused",
    "unknown_model",
    "leaving",
    "failed",
    "reset",
    "silent",
    "truncated",
    "invalid",
    "too_large",
    "deadline",
]


class StreamFailure(msgspec.Struct, frozen=True):
    """Report that a stream ended without an end marker.

    `sent` says whether a byte of the request can have left this node.
    """

    reason: StreamFailureReason
    failure: Failure
    sent: bool


StreamEvent = Piece | StreamEnd | StreamFailure


class EngineLoad(msgspec.Struct, frozen=True):
    """Report an engine's load as it was `age_s` seconds before the answer.

    `queued_by_priority` splits the queued prefill, in tokens; an engine that does not
    report it leaves it empty. `models` maps each model that is ready at the time of the
    answer to its version; None means that the engine does not report it.
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


class CacheEvent(msgspec.Struct, frozen=True):
    """Report prefix blocks that an engine stored or removed.

    A missing `seq` means that the reader's view of this engine has a gap.
    """

    seq: int
    action: Literal["stored", "removed"]
    hashes: tuple[int, ...]


class KvBlock(msgspec.Struct, frozen=True):
    """Identify exported KV cache that another engine can import."""

    export_id: str
    model: str
    tokens: int
    prefix_hashes: tuple[int, ...]


class EngineClient(Protocol):
    """Talk to one engine. Every call ends within its `timeout_s` seconds.

    A failed call is `not_run` only if no byte of it can have left.
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

        `on_sending` is called in the loop step before the first byte can leave; if it
        returns False, nothing is sent and the reason is `not_sent`. `silence_s` bounds
        the time without any byte. Closing the iterator closes the connection; memory
        stays held until `cancel` is confirmed.
        """
        ...

    async def cancel(
        self, holding_id: str, owner: str, timeout_s: float
    ) -> Result[bool, Failure]:
        """Free a stream or other holding; Ok means freed, true if it was held."""
        ...

    async def list_holdings(self, timeout_s: float) -> Result[list[Holding], Failure]:
        """List everything that the engine holds; a partial list is an error."""
        ...

    async def renew(
        self, holding_ids: tuple[str, ...], owner: str, ttl_s: float, timeout_s: float
    ) -> Result[frozenset[str], Failure]:
        """Move expiries and return the identifiers that the engine does not hold."""
        ...

    async def reserve(
        self, holding_id: str, owner: str, tokens: int, ttl_s: float, timeout_s: float
    ) -> Result[bool, Failure]:
        """Reserve memory in tokens; false if there is not enough."""
        ...

    async def release(
        self, holding_id: str, owner: str, timeout_s: float
    ) -> Result[bool, Failure]:
        """Free a reservation, an export or an import, as `cancel` does."""
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
        """Hold the cached leading blocks for a transfer; None if none is cached."""
        ...

    async def import_kv(
        self,
        holding_id: str,
        owner: str,
        block: KvBlock,
        ttl_s: float,
        timeout_s: float,
    ) -> Result[bool, Failure]:
        """Store exported blocks; false if there is not enough memory."""
        ...

    async def fetch_cache_events(
        self, from_seq: int, timeout_s: float
    ) -> Result[list[CacheEvent], Failure]:
        """Return cache events with `seq >= from_seq`, late and with gaps."""
        ...

    async def fetch_load(self, timeout_s: float) -> Result[EngineLoad, Failure]:
        """Return the engine's lagging load report."""
        ...

    async def send_order(
        self,
        token: FencingToken,
        change: EngineChange,
        timeout_s: float,
        on_sending: Callable[[], bool | None] | None = None,
    ) -> Result[FencingToken, Failure]:
        """Send an order and return the greatest token that the engine has seen.

        `on_sending` works as in `stream`. Errors: `upstream_refused` for a stale token.
        """
        ...

    async def fetch_report(self, timeout_s: float) -> Result[EngineReport, Failure]:
        """Return models, adapters and role of the engine."""
        ...
