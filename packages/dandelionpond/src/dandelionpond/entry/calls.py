"""Forward requests to plain services."""

import asyncio

from dandelionpond.entry.attempts import (
    MAX_ANSWER_BYTES,
    Attempt,
    Forwarder,
    Trace,
    describe,
)
from dandelionpond.entry.exchange import Exchange, ExchangeError
from dandelionpond.entry.incoming import Incoming, Reply
from dandelionpond.errors import ErrorKind
from dandelionpond.forwarding.messages import AnswerHead, Silent
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

    async def run(self, call: Incoming, reply: Reply) -> None:
        """Answer one call."""
        forwarder = self._forwarder
        route = call.route
        progress = Progress(route.may_repeat, route.max_attempts)
        trace = Trace()
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
                why = describe(attempt.outcome)
                if attempt.outcome is None:
                    return
                if not await forwarder.settle(call, progress, attempt, reply):
                    return
        finally:
            forwarder.fleet.jobs.finish(call.key)
            forwarder.log_end(call, reply, trace, why)

    def _choose(self, call: Incoming, tried: frozenset[str]) -> UpstreamEntry | None:
        fleet = self._forwarder.fleet
        found = fleet.candidates(call.service, tried)
        return fleet.place_call(found.best, call.route.may_repeat)

    def _limit_s(self, call: Incoming, progress: Progress) -> float:
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
        call: Incoming,
        entry: UpstreamEntry,
        progress: Progress,
        reply: Reply,
        trace: Trace,
    ) -> Attempt:
        forwarder = self._forwarder
        fleet = forwarder.fleet
        began = fleet.now()
        limit = self._limit_s(call, progress)
        fleet.jobs.start(call.key, [Job(entry.instance, Phase.CALL, 0.0)], began)
        line = trace.begin(upstream=entry.instance, limit_s=round(limit, 3))
        try:
            attempt = await self._exchange(call, entry, limit, reply)
            line["outcome"] = describe(attempt.outcome)
        finally:
            took = fleet.now() - began
            line["took_s"] = round(took, 3)
        if attempt.outcome is None:
            forwarder.metrics.call_time.observe(fleet.now() - call.arrived_at)
            expected = self._expected.get(call.service, FIRST_EXPECTED_S)
            fleet.record_answer(entry.instance, took, expected)
            self._expected[call.service] = expected + SAMPLE_WEIGHT * (took - expected)
        else:
            forwarder.learn(entry, attempt.outcome)
        return attempt

    async def _exchange(
        self, call: Incoming, entry: UpstreamEntry, limit_s: float, reply: Reply
    ) -> Attempt:
        forwarder = self._forwarder
        began = forwarder.fleet.now()
        opened = await forwarder.open(call, entry, limit_s)
        if not isinstance(opened, Exchange):
            return Attempt(opened)
        try:
            head = forwarder.judge(call, opened)
            if not isinstance(head, AnswerHead):
                return Attempt(head)
            if head.status >= 400:
                return await forwarder.failure(call, opened, head)
            left = limit_s - (forwarder.fleet.now() - began)
            try:
                async with asyncio.timeout(max(0.001, left)):
                    body = await opened.read_all(MAX_ANSWER_BYTES)
            except ExchangeError as error:
                return Attempt(error.outcome)
            except TimeoutError:
                return Attempt(Silent(limit_s))
            headers = forwarder.dialect.passed_on(opened.headers)
            await reply.whole(head.status, headers, body)
            return Attempt(None)
        finally:
            opened.close()
