"""Define requests, answers and outcomes of attempts on published routes."""

from typing import Protocol

import msgspec

Headers = tuple[tuple[bytes, bytes], ...]


class RequestHead(msgspec.Struct, frozen=True):
    """Hold what the headers of a request say.

    `timeout_s` is how long the client waits. `prompt_tokens` and `max_output_tokens`
    are zero on routes without prompts. `last_event_id` is the id of the event after
    which the client resumes a stream.
    """

    request_id: str
    timeout_s: float | None
    api_key: str | None
    prompt_tokens: int
    max_output_tokens: int
    last_event_id: int | None


class Helper(msgspec.Struct, frozen=True):
    """Name an engine that helps to read, and memory that is reserved there."""

    address: str
    holding: str | None = None


class AttemptHead(msgspec.Struct, frozen=True):
    """Hold what this node tells an upstream with a request.

    `instance` is the upstream that is meant: any other one that has its address by now
    refuses.
    """

    remaining_s: float
    instance: str
    account: str | None
    last_event_id: int | None = None
    helpers: tuple[Helper, ...] = ()
    priority: int | None = None


class ResponseHead(msgspec.Struct, frozen=True):
    """Hold what the headers of an upstream's answer say.

    `is_stamped` is whether the response has the upstream's stamp. `is_not_run` is the
    upstream's statement that it did not run the request and never will.
    `faulty_upstream` is the address of the upstream that caused the rejection.
    `is_encoded` is whether the body has a content encoding.
    """

    status: int
    request_id: str | None
    is_stamped: bool
    is_not_run: bool
    is_encoded: bool
    faulty_upstream: str | None


class Dialect(Protocol):
    """Translate headers of callers and upstreams; implemented by an adapter."""

    def parse_request(self, headers: Headers) -> RequestHead:
        """Return what the headers of a request say."""
        ...

    def attempt_headers(
        self, headers: Headers, head: AttemptHead
    ) -> list[tuple[str, str]]:
        """Return the headers of an attempt: the client's, and this node's own."""
        ...

    def parse_response(self, status: int, headers: Headers) -> ResponseHead:
        """Return what the headers of an answer say."""
        ...

    def forwarded_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """Return the headers of an answer that the client receives."""
        ...

    def refusal_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of an answer of this node's own."""
        ...


# Outcomes of one attempt.


class NotSent(msgspec.Struct, frozen=True, tag=True):
    """No byte of the request was written.

    `is_unreachable` says that the connection could not be opened; otherwise the reason
    lies before it.
    """

    reason: str
    is_unreachable: bool = True


class Rejected(msgspec.Struct, frozen=True, tag=True):
    """The upstream states that it did not run the request."""

    status: int
    faulty_upstream: str | None = None


class Broken(msgspec.Struct, frozen=True, tag=True):
    """The answer is missing, cut off or invalid; the request may have run."""

    reason: str


class Silent(msgspec.Struct, frozen=True, tag=True):
    """Nothing came for longer than the upstream should need."""

    waited_s: float


class Errored(msgspec.Struct, frozen=True, tag=True):
    """The upstream answered completely with a failure of its own."""

    status: int


Outcome = NotSent | Rejected | Broken | Silent | Errored
