"""Define what the callers' API needs from the node behind it."""

from collections.abc import AsyncIterator, Mapping
from typing import Protocol

import msgspec
from expression import Result

from dandelionpond.config.schema import Settings
from dandelionpond.errors import Failure
from dandelionpond.http.keys import KeyIndex


class PromptRequest(msgspec.Struct, frozen=True):
    """Carry one checked prompt.

    `deadline` is in monotonic seconds of the node's clock. `options` holds sampling
    parameters that are passed to the engine unchanged.
    """

    request_id: str
    account: str
    model: str
    prompt: str
    prompt_tokens: int
    prefix_hashes: tuple[int, ...]
    max_tokens: int
    deadline: float
    options: Mapping[str, float | int]


class Delta(msgspec.Struct, frozen=True):
    """Carry the next tokens of an answer; `text` may cover several tokens."""

    text: str
    tokens: int


class End(msgspec.Struct, frozen=True):
    """Mark the end of a complete answer; `tokens` is the total generated."""

    tokens: int


class CallRequest(msgspec.Struct, frozen=True):
    """Carry one checked call to a plain service; `deadline` as in `PromptRequest`."""

    request_id: str
    account: str
    service: str
    key: str | None
    body: bytes
    content_type: str
    deadline: float


class CallAnswer(msgspec.Struct, frozen=True):
    """Carry the answer of a plain service.

    `is_repeated` is true if the call ran for an earlier request with the same ticket.
    """

    status: int
    content_type: str
    body: bytes
    is_repeated: bool = False


class IssuedTicket(msgspec.Struct, frozen=True):
    """Carry a new ticket and its lifetime in seconds."""

    ticket: str
    expires_in_s: float


class Gateway(Protocol):
    """Serve checked requests."""

    @property
    def settings(self) -> Settings | None:
        """Return the settings in force, or None before the first ones arrive."""
        ...

    @property
    def keys(self) -> KeyIndex:
        """Return the index of bearer keys for the settings in force."""
        ...

    @property
    def is_accepting(self) -> bool:
        """Return whether new requests are accepted."""
        ...

    def now(self) -> float:
        """Return the node's monotonic time in seconds."""
        ...

    def arrived_at(self) -> float:
        """Return when a request that is read now can have arrived at the earliest.

        This is before `now` if the process was paused and read nothing.
        """
        ...

    def prompt(self, request: PromptRequest) -> AsyncIterator[Delta | End | Failure]:
        """Run a prompt; closing the iterator cancels it."""
        ...

    def issue_ticket(self, account: str, service: str) -> Result[IssuedTicket, Failure]:
        """Issue a ticket for one at-most-once call."""
        ...

    async def call(self, request: CallRequest) -> Result[CallAnswer, Failure]:
        """Run a call to a plain service."""
        ...

    def count_error(self, failure: Failure) -> None:
        """Count an answer with an error."""
        ...
