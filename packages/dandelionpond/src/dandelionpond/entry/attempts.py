"""Attempts to forward a request, shared by plain calls and prompts."""

import asyncio
import logging
from collections.abc import Iterable

import msgspec

from dandelionpond.admission.account_totals import AccountTotalsTable
from dandelionpond.entry.client_requests import IncomingRequest, Reply
from dandelionpond.entry.delivery import StreamDelivery
from dandelionpond.entry.fleet import Fleet
from dandelionpond.entry.hopeless import is_hopeless
from dandelionpond.entry.stream_buffers import StreamBufferLimits
from dandelionpond.entry.upstream_client import (
    UpstreamClient,
    UpstreamError,
    UpstreamResponse,
)
from dandelionpond.errors import ERROR_RESPONSES, ErrorKind
from dandelionpond.forwarding.messages import (
    AttemptHead,
    BrokenResponse,
    DeadlineExceeded,
    Errored,
    HeaderTranslator,
    Helper,
    NotSent,
    Outcome,
    Rejected,
    ResponseHead,
    SilentUpstream,
)
from dandelionpond.forwarding.policy import (
    Disconnect,
    ForwardFailure,
    Progress,
    Refuse,
    Retry,
    next_step,
)
from dandelionpond.http.body_memory import BodyLimits
from dandelionpond.http.connection_limits import BufferLimit
from dandelionpond.metrics import Metrics
from dandelionpond.published.messages import UpstreamEntry

log = logging.getLogger("dandelionpond.requests")

# Largest response of a plain service that is buffered, in bytes.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Limit on the bytes of all responses that are being buffered. The smallest VMs have
# about 100 MB beside the process itself.
MAX_BUFFERED_BYTES = 32 * 1024 * 1024
# Default delay in seconds after which a refused client may retry. The list of upstreams
# is refreshed about once in this time.
RETRY_AFTER_S = 0.5
# The same for a request whose upstreams are all excluded by operators. The list, which
# ends an evacuation, is read about once in this time.
EXCLUDED_RETRY_AFTER_S = 1.0
# The reason that log lines state for its refusal.
ALL_EXCLUDED = "all upstreams are evacuated or outside of the allowed regions"


class FailureResponse(msgspec.Struct, frozen=True):
    """A failure response of an upstream, to be forwarded unchanged."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class AttemptLog:
    """The attempts of a request, collected for its log line."""

    __slots__ = ("attempts", "predicted_s", "retry_after_s", "waited_s")

    def __init__(self) -> None:
        self.attempts: list[dict[str, object]] = []
        self.predicted_s = 0.0
        # Time that the prompt waited for capacity, and the time until its turn that it
        # was refused with.
        self.waited_s = 0.0
        self.retry_after_s: float | None = None

    def add_attempt(self, **inputs: object) -> dict[str, object]:
        """Add an attempt with the inputs of its placement and return its entry.

        Its outcome is "interrupted" until the caller replaces it.
        """
        attempt = {**inputs, "outcome": "interrupted by the client or by shutdown"}
        self.attempts.append(attempt)
        return attempt


class AttemptResult(msgspec.Struct):
    """The result of one attempt.

    `outcome` is None if the response was forwarded completely. `failure` is the
    response to forward if the outcome is `Errored`. `is_displaced` is whether nothing
    was sent because an upstream was evacuated; the request is placed again.
    """

    outcome: Outcome | None
    failure: FailureResponse | None = None
    is_displaced: bool = False


class Forwarder:
    """A sender of attempts that handles their failures and logs each request's end.

    Plain calls and prompts share one instance. `stream_buffers` is None if nothing is
    buffered for clients that read slowly.
    """

    def __init__(
        self,
        fleet: Fleet,
        client: UpstreamClient,
        header_translator: HeaderTranslator,
        metrics: Metrics,
    ) -> None:
        self.fleet = fleet
        self.client = client
        self.header_translator = header_translator
        self.metrics = metrics
        self.response_buffer = BufferLimit(MAX_BUFFERED_BYTES)
        self.body_limits = BodyLimits(fleet.settings.memory_bytes)
        self.stream_buffers: StreamBufferLimits | None = None
        if fleet.settings.buffers_streams:
            self.stream_buffers = StreamBufferLimits(fleet.settings.memory_bytes)
        self.counters: dict[str, int] = {}
        self.accounts = AccountTotalsTable()

    def count(self, event: str) -> None:
        """Increment the counter of an event.

        The set of event names must be fixed, since each one becomes a metric label.
        """
        self.counters[event] = self.counters.get(event, 0) + 1

    def create_delivery(
        self, request: IncomingRequest, reply: Reply
    ) -> StreamDelivery | None:
        """Return the delivery of a stream; None if nothing is buffered for it."""
        if self.stream_buffers is None or reply.connection is None:
            return None
        return StreamDelivery(
            reply,
            reply.connection,
            self.stream_buffers,
            request.head.request_id,
            request.deadline_at,
            self.fleet.now,
        )

    async def send(
        self,
        request: IncomingRequest,
        upstream: UpstreamEntry,
        timeout_s: float,
        resume_id: int | None = None,
        helpers: tuple[Helper, ...] = (),
    ) -> UpstreamResponse | Outcome:
        """Send a request and return the response once its headers are read."""
        remaining = request.deadline_at - self.fleet.now()
        account = request.account.name if request.account else None
        head = AttemptHead(
            remaining,
            upstream.instance,
            account,
            resume_id,
            helpers,
            priority_of(request),
        )
        headers = self.header_translator.attempt_headers(request.headers, head)
        started_at = self.fleet.now()
        try:
            async with asyncio.timeout(max(0.001, timeout_s)):
                return await self.client.send_request(
                    upstream.address,
                    request.method,
                    request.target,
                    headers,
                    request.body,
                )
        except UpstreamError as error:
            return error.outcome
        except TimeoutError:
            return SilentUpstream(self.fleet.now() - started_at)

    def check_head(
        self,
        request: IncomingRequest,
        upstream: UpstreamEntry,
        response: UpstreamResponse,
    ) -> ResponseHead | Outcome:
        """Return the parsed response head, or an outcome if it is already a failure.

        What the head says of the upstream itself is recorded.
        """
        head = self.header_translator.parse_response(response.status, response.headers)
        self.fleet.record_head(upstream, head)
        if head.request_id is not None and head.request_id != request.head.request_id:
            return BrokenResponse("response to another request", is_invalid=True)
        if head.is_not_run:
            return Rejected(head.status, head.faulty_upstream, head.pause_s)
        if head.is_encoded:
            return BrokenResponse(
                "response body has a content encoding", is_invalid=True
            )
        if head.status < 300 and not head.is_stamped:
            return BrokenResponse(
                "successful response without a stamp", is_invalid=True
            )
        return head

    async def read_failure(
        self, request: IncomingRequest, response: UpstreamResponse, head: ResponseHead
    ) -> AttemptResult:
        """Read the body of an upstream's failure response."""
        remaining = request.deadline_at - self.fleet.now()
        try:
            async with asyncio.timeout(max(0.001, remaining)):
                body = await self.read_body(response)
        except UpstreamError as error:
            return AttemptResult(error.outcome)
        except TimeoutError:
            return AttemptResult(SilentUpstream(remaining))
        headers = self.header_translator.forwarded_headers(response.headers)
        return AttemptResult(
            Errored(head.status), FailureResponse(head.status, headers, body)
        )

    async def read_body(self, response: UpstreamResponse) -> bytes:
        """Return the body of a response; raises as `UpstreamResponse.read_all`."""
        memory = self.body_limits.long_bodies
        return await response.read_all(MAX_RESPONSE_BYTES, self.response_buffer, memory)

    async def check_end(
        self, upstream: UpstreamEntry, response: UpstreamResponse
    ) -> BrokenResponse | None:
        """Return an outcome if the body may have ended because the upstream crashed.

        The end of a connection looks the same after a complete body without a length.
        """
        if response.has_length:
            return None
        # Tested once, since a second test would delay the end of every such response.
        if await self.client.refuses_connections(upstream.address, repeats=False):
            return BrokenResponse("upstream ended with a body without a length")
        return None

    def report_outcome(self, upstream: UpstreamEntry, outcome: Outcome) -> None:
        """Record a failed attempt in the health data of the upstream at fault."""
        match outcome:
            case NotSent(is_unreachable=True):
                self.fleet.record_failure(upstream.instance, is_unresponsive=True)
            case BrokenResponse(is_own_limit=True):
                # The upstream answered; this node has no memory for the response.
                pass
            case BrokenResponse() | SilentUpstream():
                # A stream marks its silent engine before it times out, and the streams
                # that a crash ends are reported among the connections it refuses.
                self.fleet.record_failure(upstream.instance, is_unresponsive=None)
            case Rejected(pause_s=float()):
                # The upstream is full and gets no requests for the time it named.
                pass
            case Rejected(faulty_upstream=faulty) if faulty is not None:
                self._report_faulty(upstream, faulty)
            case Rejected():
                # The upstream was chosen because it should have had a free slot, so the
                # rejection counts as a failure.
                self.fleet.record_failure(upstream.instance)
            case DeadlineExceeded() | Errored() | NotSent():
                pass

    def is_hopeless(self, request: IncomingRequest, tried: Iterable[str]) -> bool:
        """Return whether operators have excluded all upstreams that are left."""
        return is_hopeless(self.fleet, request, tried)

    async def handle_failure(
        self,
        request: IncomingRequest,
        progress: Progress,
        result: AttemptResult,
        reply: Reply,
    ) -> bool:
        """Respond to the client or return True if the request is to be retried."""
        fleet = self.fleet
        assert result.outcome is not None
        remaining = request.deadline_at - fleet.now()
        budget = fleet.retry_budget(request.service)
        step = next_step(
            result.outcome, progress, remaining, budget.can_take(fleet.now())
        )
        match step:
            case Retry(takes_budget):
                if takes_budget:
                    budget.take(fleet.now())
                return True
            case ForwardFailure():
                failure = result.failure
                assert failure is not None
                await reply.send(failure.status, failure.headers, failure.body)
            case Refuse(kind):
                retry_after_s = (
                    fleet.pause_left_s(request.service, request) or RETRY_AFTER_S
                )
                await self.refuse(request.head.request_id, reply, kind, retry_after_s)
            case Disconnect():
                self.count("broken_off")
        return False

    async def refuse(
        self,
        request_id: str,
        reply: Reply,
        kind: ErrorKind,
        retry_after_s: float = RETRY_AFTER_S,
    ) -> None:
        """Send an error response of this node."""
        reply.error_kind = kind
        self.count(f"refused_{kind}")
        self.metrics.error_responses.labels(kind).inc()
        answer = ERROR_RESPONSES[kind]
        delay = retry_after_s if answer.is_retryable else None
        headers = self.header_translator.refusal_headers(request_id, delay)
        await reply.send(answer.status, headers, f"{kind}\n".encode())

    def log_end(
        self, request: IncomingRequest, reply: Reply, attempts: AttemptLog, why: str
    ) -> None:
        """Count a finished request and write its log line."""
        now = self.fleet.now()
        outcome = str(reply.status) if reply.is_complete else "incomplete"
        self.metrics.requests.labels(request.route.kind, outcome).inc()
        age = self.fleet.published.list_age_s(now)
        log.info(
            "request ended",
            extra={
                "request_id": request.head.request_id,
                "route": request.route.name,
                "service": request.service,
                "status": reply.status,
                "complete": reply.is_complete,
                "why": why,
                "took_s": round(now - request.arrived_at, 3),
                "left_s": round(request.deadline_at - now, 3),
                "predicted_s": round(attempts.predicted_s, 3),
                "prompt_tokens": request.head.prompt_tokens,
                "attempts": attempts.attempts,
                "waited_s": round(attempts.waited_s, 3),
                "retry_after_s": attempts.retry_after_s,
                "version": self.fleet.published.version,
                "list_age_s": None if age is None else round(age, 3),
            },
        )

    def _report_faulty(self, upstream: UpstreamEntry, faulty: str) -> None:
        """Record a failure of the upstream with this address or instance name.

        If none is known, the failure counts against `upstream`.
        """
        for candidate in self.fleet.published.entries(self.fleet.now()):
            if candidate.address == faulty or candidate.instance == faulty:
                self.fleet.record_failure(candidate.instance)
                return
        self.fleet.record_failure(upstream.instance)


def priority_of(request: IncomingRequest) -> int | None:
    """Return the priority of the account, or else of the route."""
    if request.account is not None and request.account.priority is not None:
        return request.account.priority
    return request.route.priority


def is_pause(outcome: Outcome | None) -> bool:
    """Return whether an upstream may get the same request after a time it named."""
    return isinstance(outcome, Rejected) and outcome.pause_s is not None


def describe_outcome(outcome: Outcome | None) -> str:
    """Return a short description of an outcome for log lines."""
    match outcome:
        case None:
            return "complete"
        case NotSent(reason=reason):
            return f"not sent: {reason}"
        case Rejected(status, faulty):
            return f"rejected {status}" + (f" by {faulty}" if faulty else "")
        case BrokenResponse(reason):
            return f"broken: {reason}"
        case SilentUpstream(waited_s):
            return f"silent for {waited_s:.2f} s"
        case DeadlineExceeded():
            return "the deadline passed during the response"
        case Errored(status):
            return f"status {status}"
