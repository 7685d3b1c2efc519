"""Forwarding of requests to plain services."""

import asyncio

from dandelionpond.entry.attempts import (
    ALL_EXCLUDED,
    EXCLUDED_RETRY_AFTER_S,
    RETRY_AFTER_S,
    AttemptLog,
    AttemptResult,
    Forwarder,
    describe_outcome,
    is_pause,
)
from dandelionpond.entry.client_requests import IncomingRequest, Reply
from dandelionpond.entry.fleet import Fleet
from dandelionpond.entry.upstream_client import UpstreamError, UpstreamResponse
from dandelionpond.errors import ErrorKind
from dandelionpond.forwarding.messages import NotSent, ResponseHead, SilentUpstream
from dandelionpond.forwarding.policy import Progress
from dandelionpond.placement.jobs import Job, Phase
from dandelionpond.published.messages import UpstreamEntry

# Weight of a new sample in the moving average of a service's response times.
AVERAGE_WEIGHT = 0.1
# Expected response time in seconds of a service without samples.
INITIAL_RESPONSE_S = 0.05
# An attempt that may be retried times out after this many average response times, but
# not before the minimum in seconds.
TIMEOUT_FACTOR = 6.0
MIN_TIMEOUT_S = 0.15
# Largest share of the remaining time that an attempt uses if another one may follow.
MAX_TIMEOUT_SHARE = 0.5
# Largest share of the remaining time that a call waits for upstreams that all want no
# requests for some time.
MAX_PAUSE_SHARE = 0.12
# Interval in seconds between checks for a free slot after such a time.
RAMP_CHECK_S = 0.02


def latest_wait_end(fleet: Fleet, request: IncomingRequest) -> float:
    """Return until when a call without an upstream waits for one."""
    now = fleet.now()
    return now + MAX_PAUSE_SHARE * (request.deadline_at - now)


def next_wait_s(
    fleet: Fleet,
    request: IncomingRequest,
    tried: frozenset[str],
    wait_until: float,
) -> float | None:
    """Return when to look again for an upstream, in seconds.

    Return None if the call must wait beyond `wait_until` or if there is no upstream.
    """
    now = fleet.now()
    pause_s = fleet.pause_left_s(request.service, request)
    if pause_s is None:
        turn_s = fleet.turn_in_s(request.service, tried, request)
        has_turn = turn_s is not None and now + turn_s <= wait_until
        if not has_turn and not fleet.is_ramping(request.service, request):
            return None
        pause_s = RAMP_CHECK_S
    return pause_s if now + pause_s <= wait_until else None


def call_retry_after_s(fleet: Fleet, request: IncomingRequest) -> float:
    """Return when an upstream may take a call that is refused now, in seconds."""
    return (
        fleet.pause_left_s(request.service, request)
        or fleet.turn_in_s(request.service, request=request)
        or RETRY_AFTER_S
    )


class CallForwarder:
    """A forwarder of plain calls. Responses are buffered and only sent complete."""

    def __init__(self, forwarder: Forwarder) -> None:
        self._forwarder = forwarder
        self._average_response_s: dict[str, float] = {}

    async def run(self, request: IncomingRequest, reply: Reply) -> None:
        """Forward one call and send its response to the client."""
        forwarder = self._forwarder
        route = request.route
        progress = Progress(route.may_repeat, route.max_attempts)
        attempts = AttemptLog()
        tried: set[str] = set()
        why = "gone"
        try:
            while True:
                upstream = await self._choose(request, frozenset(tried))
                if upstream is None:
                    why = "no upstream"
                    kind = ErrorKind.NO_UPSTREAM
                    if progress.may_have_run:
                        kind = ErrorKind.UPSTREAM_FAILED
                    retry_after_s = call_retry_after_s(forwarder.fleet, request)
                    if forwarder.is_hopeless(request, tried):
                        why, retry_after_s = ALL_EXCLUDED, EXCLUDED_RETRY_AFTER_S
                    await forwarder.refuse(
                        request.head.request_id, reply, kind, retry_after_s
                    )
                    return
                tried.add(upstream.instance)
                timeout_s = self._attempt_timeout_s(request, progress, frozenset(tried))
                result = await self._attempt(
                    request, upstream, timeout_s, reply, attempts
                )
                why = describe_outcome(result.outcome)
                if result.outcome is None:
                    return
                if is_pause(result.outcome):
                    tried.discard(upstream.instance)
                if not await forwarder.handle_failure(request, progress, result, reply):
                    return
        finally:
            forwarder.fleet.jobs.finish(request.local_id)
            forwarder.log_end(request, reply, attempts, why)

    async def _choose(
        self, request: IncomingRequest, tried: frozenset[str]
    ) -> UpstreamEntry | None:
        """Choose an upstream; wait for the first one if all want none for a short time.

        They also wait for their turn at upstreams that are or might be cold. Return
        None if there is none, or as soon as the wait must take too long.
        """
        fleet = self._forwarder.fleet
        wait_until = latest_wait_end(fleet, request)
        while True:
            candidates = fleet.candidates(request.service, tried, request)
            upstream = fleet.place_call(candidates.best, request.route.may_repeat)
            if upstream is not None:
                return upstream
            pause_s = next_wait_s(fleet, request, tried, wait_until)
            if pause_s is None:
                return None
            await asyncio.sleep(pause_s)

    def _attempt_timeout_s(
        self, request: IncomingRequest, progress: Progress, tried: frozenset[str]
    ) -> float:
        """Return the timeout of the next attempt in seconds.

        An attempt ends early only if another upstream could take the call then.
        """
        fleet = self._forwarder.fleet
        remaining = request.deadline_at - fleet.now()
        is_last = progress.sent + 1 >= progress.max_attempts
        if not progress.may_repeat or is_last or not fleet.can_retry(request, tried):
            return remaining
        expected = self._average_response_s.get(request.service, INITIAL_RESPONSE_S)
        timeout_s = max(MIN_TIMEOUT_S, TIMEOUT_FACTOR * expected)
        return min(timeout_s, remaining * MAX_TIMEOUT_SHARE)

    async def _attempt(
        self,
        request: IncomingRequest,
        upstream: UpstreamEntry,
        timeout_s: float,
        reply: Reply,
        attempts: AttemptLog,
    ) -> AttemptResult:
        forwarder = self._forwarder
        fleet = forwarder.fleet
        started_at = fleet.now()
        fleet.jobs.start(
            request.local_id, [Job(upstream.instance, Phase.CALL, 0.0)], started_at
        )
        log_entry = attempts.add_attempt(
            upstream=upstream.instance, limit_s=round(timeout_s, 3)
        )
        try:
            result = await self._send(request, upstream, timeout_s, reply)
            log_entry["outcome"] = describe_outcome(result.outcome)
        finally:
            took = fleet.now() - started_at
            log_entry["took_s"] = round(took, 3)
        if result.outcome is None:
            forwarder.metrics.call_duration.observe(fleet.now() - request.arrived_at)
            expected = self._average_response_s.get(request.service, INITIAL_RESPONSE_S)
            fleet.record_answer(upstream.instance, took, expected)
            self._average_response_s[request.service] = expected + AVERAGE_WEIGHT * (
                took - expected
            )
        else:
            forwarder.report_outcome(upstream, result.outcome)
        return result

    async def _send(
        self,
        request: IncomingRequest,
        upstream: UpstreamEntry,
        timeout_s: float,
        reply: Reply,
    ) -> AttemptResult:
        forwarder = self._forwarder
        started_at = forwarder.fleet.now()
        if not forwarder.fleet.cold.claim((upstream.instance,)):
            return AttemptResult(NotSent("the upstream is cold", False))
        response = await forwarder.send(request, upstream, timeout_s)
        if not isinstance(response, UpstreamResponse):
            return AttemptResult(response)
        try:
            head = forwarder.check_head(request, upstream, response)
            if not isinstance(head, ResponseHead):
                return AttemptResult(head)
            if head.status >= 400:
                return await forwarder.read_failure(request, response, head)
            remaining = timeout_s - (forwarder.fleet.now() - started_at)
            try:
                async with asyncio.timeout(max(0.001, remaining)):
                    body = await forwarder.read_body(response)
            except UpstreamError as error:
                return AttemptResult(error.outcome)
            except TimeoutError:
                return AttemptResult(SilentUpstream(timeout_s))
            broken = await forwarder.check_end(upstream, response)
            if broken is not None:
                return AttemptResult(broken)
            headers = forwarder.header_translator.forwarded_headers(response.headers)
            await reply.send(head.status, headers, body)
            return AttemptResult(None)
        finally:
            response.close()
