"""Forward requests to plain services."""

import asyncio

from dandelionpond.entry.attempts import (
    MAX_ANSWER_BYTES,
    AttemptLog,
    AttemptResult,
    Forwarder,
    describe_outcome,
)
from dandelionpond.entry.incoming import IncomingRequest, Reply
from dandelionpond.entry.upstream_client import UpstreamError, UpstreamResponse
from dandelionpond.errors import ErrorKind
from dandelionpond.forwarding.messages import ResponseHead, Silent
from dandelionpond.forwarding.policy import Progress
from dandelionpond.placement.jobs import Job, Phase
from dandelionpond.published.messages import UpstreamEntry

# Weight of a new sample in the running mean of answer times.
SAMPLE_WEIGHT = 0.1
FIRST_EXPECTED_S = 0.05
# A call that may be repeated is sent elsewhere after this many times the usual answer
# time, and not before the minimum in seconds.
SILENCE_FACTOR = 6.0
MIN_SILENCE_S = 0.15
# Part of the remaining time that a try leaves to the one after it.
SECOND_TRY_SHARE = 0.5


class CallForwarder:
    """Forward plain calls, each complete answer as a whole."""

    def __init__(self, forwarder: Forwarder) -> None:
        self._forwarder = forwarder
        self._expected: dict[str, float] = {}

    async def run(self, call: IncomingRequest, reply: Reply) -> None:
        """Answer one call."""
        forwarder = self._forwarder
        route = call.route
        progress = Progress(route.may_repeat, route.max_attempts)
        trace = AttemptLog()
        tried: set[str] = set()
        why = "gone"
        try:
            while True:
                entry = self._choose(call, frozenset(tried))
                if entry is None:
                    why = "no upstream"
                    kind = ErrorKind.NO_UPSTREAM
                    if progress.may_have_run:
                        kind = ErrorKind.UPSTREAM_FAILED
                    await forwarder.refuse(call.head.request_id, reply, kind)
                    return
                tried.add(entry.instance)
                attempt = await self._attempt(call, entry, progress, reply, trace)
                why = describe_outcome(attempt.outcome)
                if attempt.outcome is None:
                    return
                if not await forwarder.handle_failure(call, progress, attempt, reply):
                    return
        finally:
            forwarder.fleet.jobs.finish(call.local_id)
            forwarder.log_end(call, reply, trace, why)

    def _choose(
        self, call: IncomingRequest, tried: frozenset[str]
    ) -> UpstreamEntry | None:
        fleet = self._forwarder.fleet
        found = fleet.candidates(call.service, tried)
        return fleet.place_call(found.best, call.route.may_repeat)

    def _limit_s(self, call: IncomingRequest, progress: Progress) -> float:
        """Return how long to wait for an answer before the call goes elsewhere."""
        remaining = call.deadline_at - self._forwarder.fleet.now()
        is_last = progress.sent + 1 >= progress.max_attempts
        if not progress.may_repeat or is_last:
            return remaining
        expected = self._expected.get(call.service, FIRST_EXPECTED_S)
        limit = max(MIN_SILENCE_S, SILENCE_FACTOR * expected)
        return min(limit, remaining * SECOND_TRY_SHARE)

    async def _attempt(
        self,
        call: IncomingRequest,
        entry: UpstreamEntry,
        progress: Progress,
        reply: Reply,
        trace: AttemptLog,
    ) -> AttemptResult:
        forwarder = self._forwarder
        fleet = forwarder.fleet
        began = fleet.now()
        limit = self._limit_s(call, progress)
        fleet.jobs.start(call.local_id, [Job(entry.instance, Phase.CALL, 0.0)], began)
        line = trace.add_attempt(upstream=entry.instance, limit_s=round(limit, 3))
        try:
            attempt = await self._exchange(call, entry, limit, reply)
            line["outcome"] = describe_outcome(attempt.outcome)
        finally:
            took = fleet.now() - began
            line["took_s"] = round(took, 3)
        if attempt.outcome is None:
            forwarder.metrics.call_duration.observe(fleet.now() - call.arrived_at)
            expected = self._expected.get(call.service, FIRST_EXPECTED_S)
            fleet.record_answer(entry.instance, took, expected)
            self._expected[call.service] = expected + SAMPLE_WEIGHT * (took - expected)
        else:
            forwarder.report_outcome(entry, attempt.outcome)
        return attempt

    async def _exchange(
        self, call: IncomingRequest, entry: UpstreamEntry, limit_s: float, reply: Reply
    ) -> AttemptResult:
        forwarder = self._forwarder
        began = forwarder.fleet.now()
        opened = await forwarder.send(call, entry, limit_s)
        if not isinstance(opened, UpstreamResponse):
            return AttemptResult(opened)
        try:
            head = forwarder.check_head(call, opened)
            if not isinstance(head, ResponseHead):
                return AttemptResult(head)
            if head.status >= 400:
                return await forwarder.read_failure(call, opened, head)
            left = limit_s - (forwarder.fleet.now() - began)
            try:
                async with asyncio.timeout(max(0.001, left)):
                    body = await opened.read_all(MAX_ANSWER_BYTES)
            except UpstreamError as error:
                return AttemptResult(error.outcome)
            except TimeoutError:
                return AttemptResult(Silent(limit_s))
            headers = forwarder.dialect.forwarded_headers(opened.headers)
            await reply.send(head.status, headers, body)
            return AttemptResult(None)
        finally:
            opened.close()
