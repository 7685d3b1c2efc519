"""Interface between the callers' API and the node that runs its requests."""

from collections.abc import AsyncIterator, Mapping
from typing import Protocol

import msgspec
from expression import Result

from dandelionpond.config.schema import Settings
from dandelionpond.errors import Failure
from dandelionpond.http.body_memory import CallMemory
from dandelionpond.http.keys import KeyIndex


class PromptRequest(msgspec.Struct, frozen=True):
    """Validated prompt request.

    `deadline` is in seconds of the node's monotonic clock. `options` contains sampling
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
    """Next part of an answer; `text` may contain several tokens."""

    text: str
    tokens: int


class End(msgspec.Struct, frozen=True):
    """End of a complete answer; `tokens` is the number of generated tokens."""

    tokens: int


class CallRequest(msgspec.Struct, frozen=True):
    """Validated call to a service; `deadline` is as in `PromptRequest`.

    `memory` counts the body, and the answer of a call that a node forwards.
    `is_forwarded` is true at the node that another one forwarded the call to.
    """

    request_id: str
    account: str
    service: str
    key: str | None
    body: bytes
    content_type: str
    deadline: float
    memory: CallMemory
    is_forwarded: bool = False


class CallAnswer(msgspec.Struct, frozen=True):
    """Response of a service.

    `is_repeated` is true if the call ran for an earlier request with the same ticket.
    """

    status: int
    content_type: str
    body: bytes
    is_repeated: bool = False


class IssuedTicket(msgspec.Struct, frozen=True):
    """New ticket and its lifetime in seconds."""

    ticket: str
    expires_in_s: float


class Gateway(Protocol):
    """Interface to the component that runs validated requests of callers."""

    @property
    def settings(self) -> Settings | None:
        """Return the current settings, or None before the first settings arrive."""
        ...

    @property
    def keys(self) -> KeyIndex:
        """Return the index of the bearer keys in the current settings."""
        ...

    @property
    def is_accepting(self) -> bool:
        """Return whether new requests are accepted."""
        ...

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        ...

    def arrived_at(self) -> float:
        """Return the earliest possible arrival time of a request that is read now.

        It is earlier than `now` if the process was paused and read no requests.
        """
        ...

    def prompt(self, request: PromptRequest) -> AsyncIterator[Delta | End | Failure]:
        """Run a prompt; closing the iterator cancels it."""
        ...

    def issue_ticket(self, account: str, service: str) -> Result[IssuedTicket, Failure]:
        """Issue a ticket for one at-most-once call."""
        ...

    async def call(self, request: CallRequest) -> Result[CallAnswer, Failure]:
        """Run a call to a service."""
        ...

    def count_error(self, failure: Failure) -> None:
        """Count an error response."""
        ...
