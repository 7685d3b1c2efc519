"""Carry out attempts: what plain calls and prompts have in common."""

import asyncio
import logging

import msgspec

from dandelionpond.entry.fleet import Fleet
from dandelionpond.entry.incoming import IncomingRequest, Reply
from dandelionpond.entry.upstream_client import (
    UpstreamClient,
    UpstreamError,
    UpstreamResponse,
)
from dandelionpond.errors import ERROR_RESPONSES, ErrorKind
from dandelionpond.forwarding.messages import (
    AttemptHead,
    Broken,
    Dialect,
    Errored,
    Helper,
    NotSent,
    Outcome,
    Rejected,
    ResponseHead,
    Silent,
)
from dandelionpond.forwarding.policy import (
    BreakOff,
    Deliver,
    Progress,
    Refuse,
    TryAgain,
    after,
)
from dandelionpond.metrics import Metrics
from dandelionpond.published.messages import UpstreamEntry

log = logging.getLogger("dandelionpond.requests")

# Largest answer of a plain service that is held until it is complete, in bytes.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Time in seconds after which a client may come back that was refused for want of an
# upstream; a list of upstreams is renewed about once in this time.
RETRY_AFTER_S = 0.5


class FailedAnswer(msgspec.Struct, frozen=True):
    """Hold a failure that an upstream answered, to be passed on unchanged."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class AttemptLog:
    """Collect what the log line of a request says about its attempts."""

    __slots__ = ("attempts", "predicted_s")

    def __init__(self) -> None:
        self.attempts: list[dict[str, object]] = []
        self.predicted_s = 0.0

    def add_attempt(self, **inputs: object) -> dict[str, object]:
        """Add an attempt with what decided it; it counts as cut off until it ends."""
        attempt = {**inputs, "outcome": "cut off by the client or the stop"}
        self.attempts.append(attempt)
        return attempt


class AttemptResult(msgspec.Struct):
    """Hold the result of one attempt: an outcome, or None if the answer is complete."""

    outcome: Outcome | None
    failed: FailedAnswer | None = None


class Forwarder:
    """Share connections, headers and the end of requests among the kinds of request."""

    def __init__(
        self,
        fleet: Fleet,
        exchanger: UpstreamClient,
        dialect: Dialect,
        metrics: Metrics,
    ) -> None:
        self.fleet = fleet
        self.exchanger = exchanger
        self.dialect = dialect
        self.metrics = metrics
        self.counters: dict[str, int] = {}

    def count(self, event: str) -> None:
        """Count an event; names are constants of the code."""
        self.counters[event] = self.counters.get(event, 0) + 1

    async def send(
        self,
        call: IncomingRequest,
        entry: UpstreamEntry,
        limit_s: float,
        last_event_id: int | None = None,
        helpers: tuple[Helper, ...] = (),
    ) -> UpstreamResponse | Outcome:
        """Send a request and return the answer once its head is there."""
        remaining = call.deadline_at - self.fleet.now()
        account = call.account.name if call.account else None
        head = AttemptHead(
            remaining, entry.instance, account, last_event_id, helpers, _priority(call)
        )
        headers = self.dialect.attempt_headers(call.headers, head)
        began = self.fleet.now()
        try:
            async with asyncio.timeout(max(0.001, limit_s)):
                return await self.exchanger.send_request(
                    entry.address, call.method, call.target, headers, call.body
                )
        except UpstreamError as error:
            return error.outcome
        except TimeoutError:
            return Silent(self.fleet.now() - began)

    def check_head(
        self, call: IncomingRequest, exchange: UpstreamResponse
    ) -> ResponseHead | Outcome:
        """Return the head of a success, or the outcome that the head already shows."""
        head = self.dialect.parse_response(exchange.status, exchange.headers)
        if head.request_id is not None and head.request_id != call.head.request_id:
            return Broken("answer to another request")
        if head.is_not_run:
            return Rejected(head.status, head.faulty_upstream)
        if head.is_encoded:
            return Broken("encoded body")
        if head.status < 300 and not head.is_stamped:
            return Broken("success without a stamp")
        return head

    async def read_failure(
        self, call: IncomingRequest, exchange: UpstreamResponse, head: ResponseHead
    ) -> AttemptResult:
        """Read the rest of a failure that the upstream answered."""
        remaining = call.deadline_at - self.fleet.now()
        try:
            async with asyncio.timeout(max(0.001, remaining)):
                body = await exchange.read_all(MAX_ANSWER_BYTES)
        except UpstreamError as error:
            return AttemptResult(error.outcome)
        except TimeoutError:
            return AttemptResult(Silent(remaining))
        headers = self.dialect.forwarded_headers(exchange.headers)
        return AttemptResult(
            Errored(head.status), FailedAnswer(head.status, headers, body)
        )

    def report_outcome(self, entry: UpstreamEntry, outcome: Outcome) -> None:
        """Tell the fleet what an outcome says about an upstream."""
        match outcome:
            case NotSent(is_unreachable=True):
                self.fleet.record_failure(entry.instance, is_unresponsive=True)
            case Broken() | Silent():
                self.fleet.record_failure(entry.instance)
            case Rejected(faulty_upstream=faulty_upstream) if (
                faulty_upstream is not None
            ):
                self._blame(entry, faulty_upstream)
            case Rejected():
                # It was chosen because it had a free place, by what all nodes know.
                self.fleet.record_failure(entry.instance)
            case Errored() | NotSent():
                pass

    async def handle_failure(
        self,
        call: IncomingRequest,
        progress: Progress,
        attempt: AttemptResult,
        reply: Reply,
    ) -> bool:
        """Act on a failed attempt; return whether to try again."""
        fleet = self.fleet
        assert attempt.outcome is not None
        remaining = call.deadline_at - fleet.now()
        share = fleet.retry_budget(call.service)
        step = after(attempt.outcome, progress, remaining, share.can_take(fleet.now()))
        match step:
            case TryAgain(takes_budget):
                if takes_budget:
                    share.take(fleet.now())
                return True
            case Deliver():
                failed = attempt.failed
                assert failed is not None
                await reply.send(failed.status, failed.headers, failed.body)
            case Refuse(kind):
                await self.refuse(call.head.request_id, reply, kind)
            case BreakOff():
                self.count("broken_off")
        return False

    async def refuse(
        self,
        request_id: str,
        reply: Reply,
        kind: ErrorKind,
        retry_after_s: float = RETRY_AFTER_S,
    ) -> None:
        """Answer with an error kind of this node's own."""
        self.count(f"refused_{kind}")
        self.metrics.error_responses.labels(kind).inc()
        answer = ERROR_RESPONSES[kind]
        wait = retry_after_s if answer.is_retryable else None
        headers = self.dialect.refusal_headers(request_id, wait)
        await reply.send(answer.status, headers, f"{kind}\n".encode())

    def log_end(
        self, call: IncomingRequest, reply: Reply, trace: AttemptLog, why: str
    ) -> None:
        """Count and write the line that tells how a request went."""
        now = self.fleet.now()
        outcome = str(reply.status) if reply.is_complete else "incomplete"
        self.metrics.requests.labels(call.route.kind, outcome).inc()
        age = self.fleet.keeper.list_age_s(now)
        log.info(
            "request ended",
            extra={
                "request_id": call.head.request_id,
                "route": call.route.name,
                "service": call.service,
                "status": reply.status,
                "complete": reply.is_complete,
                "why": why,
                "took_s": round(now - call.arrived_at, 3),
                "left_s": round(call.deadline_at - now, 3),
                "predicted_s": round(trace.predicted_s, 3),
                "prompt_tokens": call.head.prompt_tokens,
                "attempts": trace.attempts,
                "version": self.fleet.keeper.version,
                "list_age_s": None if age is None else round(age, 3),
            },
        )

    def _blame(self, entry: UpstreamEntry, faulty_upstream: str) -> None:
        for candidate in self.fleet.keeper.entries(self.fleet.now()):
            if (
                candidate.address == faulty_upstream
                or candidate.instance == faulty_upstream
            ):
                self.fleet.record_failure(candidate.instance)
                return
        self.fleet.record_failure(entry.instance)


def _priority(call: IncomingRequest) -> int | None:
    if call.account is not None and call.account.priority is not None:
        return call.account.priority
    return call.route.priority


def describe_outcome(outcome: Outcome | None) -> str:
    """Return an outcome as short text for a log line."""
    match outcome:
        case None:
            return "complete"
        case NotSent(reason=reason):
            return f"not sent: {reason}"
        case Rejected(status, faulty_upstream):
            return f"rejected {status}" + (
                f" by {faulty_upstream}" if faulty_upstream else ""
            )
        case Broken(reason):
            return f"broken: {reason}"
        case Silent(waited_s):
            return f"silent for {waited_s:.2f} s"
        case Errored(status):
            return f"status {status}"
