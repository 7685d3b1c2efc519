"""Request heads, response heads and outcomes of attempts to forward a request."""

from typing import Protocol

import msgspec

Headers = tuple[tuple[bytes, bytes], ...]


class RequestHead(msgspec.Struct, frozen=True):
    """The parsed headers of a request.

    `timeout_s` is how long the client waits. `prompt_tokens` and `max_output_tokens`
    are zero on routes without prompts. `last_event_id` is the id of the event after
    which the client resumes a stream, or None if it isn't a number. `part_ids` names
    the parts of the prompt in order; the last one belongs to the request or its session
    alone.
    """

    request_id: str
    timeout_s: float | None
    api_key: str | None
    prompt_tokens: int
    max_output_tokens: int
    last_event_id: int | None
    part_ids: tuple[str, ...] = ()


class Helper(msgspec.Struct, frozen=True):
    """An engine that processes a part of the prompt, and memory reserved on it."""

    address: str
    holding: str | None = None


class AttemptHead(msgspec.Struct, frozen=True):
    """What this node adds to the headers of a request that it forwards.

    `instance` names the intended upstream. If another one has its address by now, that
    one rejects the request. `resume_id` is the id of the last event that this node has
    forwarded in the same response; without one, the client's own header applies.
    """

    remaining_s: float
    instance: str
    account: str | None
    resume_id: int | None = None
    helpers: tuple[Helper, ...] = ()
    priority: int | None = None


class ResponseHead(msgspec.Struct, frozen=True):
    """The parsed status and headers of an upstream's response.

    `is_stamped` is whether the response has the header by which upstreams mark their
    own responses. `is_not_run` is the upstream's statement that it did not run the
    request and never will. `faulty_upstream` is the address or instance name of the
    upstream that caused the rejection. `is_encoded` is whether the body has a content
    encoding. `is_leaving` is the upstream's statement that it is about to stop.
    `pause_s` is the time in seconds for which an upstream that rejected the request
    wants no further ones from this node. `is_misdirected` is whether the request did
    not fit the upstream; then `responder` names the upstream, if it says so. `cold_s`
    is the time in seconds for which the upstream says that it is still cold.
    """

    status: int
    request_id: str | None
    is_stamped: bool
    is_not_run: bool
    is_encoded: bool
    faulty_upstream: str | None
    is_leaving: bool = False
    pause_s: float | None = None
    responder: str | None = None
    is_misdirected: bool = False
    cold_s: float | None = None


class HeaderTranslator(Protocol):
    """A translator of a platform's HTTP headers; implemented by an adapter.

    `event_fields` names the fields that the events of its streams may have beyond those
    of the standard.
    """

    event_fields: frozenset[bytes]

    def parse_request(self, headers: Headers) -> RequestHead:
        """Parse the headers of a client's request."""
        ...

    def parse_part_tokens(self, headers: Headers) -> tuple[int, ...]:
        """Parse the token counts of the parts that `RequestHead.part_ids` names."""
        ...

    def attempt_headers(
        self, headers: Headers, head: AttemptHead
    ) -> list[tuple[str, str]]:
        """Return the headers for an upstream: the client's and those of `head`."""
        ...

    def parse_response(self, status: int, headers: Headers) -> ResponseHead:
        """Parse the status and headers of an upstream's response."""
        ...

    def forwarded_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """Return the headers of a response that are forwarded to the client."""
        ...

    def refusal_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of an error response of this node."""
        ...


# Outcomes of one attempt.


class NotSent(msgspec.Struct, frozen=True, tag=True):
    """No byte of the request was sent.

    `is_unreachable` is whether opening the connection failed. Otherwise the attempt
    ended before that.
    """

    reason: str
    is_unreachable: bool = True


class Rejected(msgspec.Struct, frozen=True, tag=True):
    """The upstream stated that it did not run the request.

    `pause_s` is the time in seconds for which it wants no further ones.
    """

    status: int
    faulty_upstream: str | None = None
    pause_s: float | None = None


class BrokenResponse(msgspec.Struct, frozen=True, tag=True):
    """The response is missing, cut off or invalid; the request may have run.

    `is_own_limit` means that this node had no memory for it, no fault of the upstream,
    and `is_invalid` that what arrived is wrong. Otherwise the connection was lost.
    """

    reason: str
    is_own_limit: bool = False
    is_invalid: bool = False

    @property
    def is_lost_connection(self) -> bool:
        """Return whether the upstream may have ended the connection by a crash."""
        return not (self.is_own_limit or self.is_invalid)


class SilentUpstream(msgspec.Struct, frozen=True, tag=True):
    """The upstream did not send the expected data within `waited_s` seconds."""

    waited_s: float


class DeadlineExceeded(msgspec.Struct, frozen=True, tag=True):
    """The deadline passed while the upstream was sending its response.

    This is no failure of the upstream.
    """


class Errored(msgspec.Struct, frozen=True, tag=True):
    """The upstream sent a complete failure response."""

    status: int


Outcome = (
    NotSent | Rejected | BrokenResponse | SilentUpstream | DeadlineExceeded | Errored
)
