"""Forward prompts to engines and relay their streams."""

import asyncio

from dandelionpond.entry.attempts import (
    AttemptLog,
    AttemptResult,
    Forwarder,
    describe_outcome,
)
from dandelionpond.entry.groups import MemoryReservations
from dandelionpond.entry.incoming import IncomingRequest, Reply
from dandelionpond.entry.upstream_client import UpstreamError, UpstreamResponse
from dandelionpond.errors import ErrorKind
from dandelionpond.forwarding.events import EventSplitter, StreamError
from dandelionpond.forwarding.messages import (
    Broken,
    Helper,
    NotSent,
    Outcome,
    ResponseHead,
    Silent,
)
from dandelionpond.forwarding.policy import Progress
from dandelionpond.metrics import length_label
from dandelionpond.placement.choice import (
    FIRST_PATIENCE_FACTOR,
    LONG_READ_S,
    Prompt,
    PromptPlacement,
    patience_s,
)
from dandelionpond.placement.jobs import Job, Phase
from dandelionpond.published.messages import EngineCostModel, UpstreamEntry

# Part of its client's patience after which a silent stream goes on at another engine;
# the rest is for the first event there. Reading a prompt again takes an engine longer
# than most pauses, so only signs of a failure make a node less patient.
STALL_SHARE = 0.8
# Pause in seconds, beyond what work on an engine explains, after which it gets no new
# prompts, and after which a stream goes on elsewhere if peers get nothing either.
DOUBTFUL_STALL_S = 0.5
# Interval in seconds between two looks for a free engine, and part of the remaining
# time of a request that it waits for one.
POLL_INTERVAL_S = 0.02
MAX_WAIT_SHARE = 0.12
# Longest time in seconds that a prompt in parts is held beyond the predicted end of the
# reads before it, and part of its remaining time that it is held at most.
MAX_EXTRA_HOLD_S = 0.8
MAX_HOLD_SHARE = 0.5


class _Run:
    """Hold the state of one prompt over its attempts."""

    __slots__ = (
        "call",
        "first_event_s",
        "longest_pause_s",
        "model",
        "progress",
        "reply",
        "splitter",
        "trace",
    )

    def __init__(
        self, call: IncomingRequest, reply: Reply, model: EngineCostModel
    ) -> None:
        self.call = call
        self.reply = reply
        self.model = model
        route = call.route
        self.progress = Progress(route.may_repeat, route.max_attempts)
        self.splitter = EventSplitter(call.head.last_event_id)
        self.trace = AttemptLog()
        # Seconds from the last sending to its first event, and between two events.
        self.first_event_s = 0.0
        self.longest_pause_s = 0.0


class PromptForwarder:
    """Forward prompts; a stream that breaks off goes on where it may be resumed."""

    def __init__(self, forwarder: Forwarder, groups: MemoryReservations) -> None:
        self._forwarder = forwarder
        self._groups = groups

    async def run(
        self, call: IncomingRequest, reply: Reply, model: EngineCostModel
    ) -> None:
        """Answer one prompt."""
        forwarder = self._forwarder
        run = _Run(call, reply, model)
        tried: set[str] = set()
        why = "gone"
        try:
            while True:
                chosen = await self._place(run, frozenset(tried))
                if chosen is None:
                    why = "no engine is free"
                    await self._give_up(run)
                    return
                placement, entries = chosen
                main = entries[placement.main]
                attempt = await self._attempt(run, placement, entries)
                if not _is_untouched(attempt.outcome):
                    tried.add(main.instance)
                why = describe_outcome(attempt.outcome)
                if attempt.outcome is None:
                    return
                forwarder.report_outcome(main, attempt.outcome)
                if not await forwarder.handle_failure(
                    call, run.progress, attempt, reply
                ):
                    return
                run.splitter.discard_partial()
        finally:
            forwarder.fleet.jobs.finish(call.local_id)
            forwarder.log_end(call, reply, run.trace, why)

    async def _give_up(self, run: _Run) -> None:
        if run.progress.has_response_started:
            self._forwarder.count("broken_off")
            return
        kind = ErrorKind.OVERLOADED
        if run.progress.may_have_run:
            kind = ErrorKind.UPSTREAM_FAILED
        await self._forwarder.refuse(run.call.head.request_id, run.reply, kind)

    async def _place(
        self, run: _Run, tried: frozenset[str]
    ) -> tuple[PromptPlacement, dict[str, UpstreamEntry]] | None:
        """Wait a short while for a free engine and return the placement."""
        fleet, call = self._forwarder.fleet, run.call
        began = fleet.now()
        patience = (call.deadline_at - began) * MAX_WAIT_SHARE
        while True:
            now = fleet.now()
            found = fleet.candidates(call.service, tried)
            prompt = Prompt(
                call.head.prompt_tokens,
                call.head.max_output_tokens,
                call.route.target_s - (now - call.arrived_at),
                call.route.gap_target_s,
            )
            for entries in (found.good, found.avoided):
                placement = fleet.place_prompt(prompt, entries, run.model)
                if placement is not None:
                    return placement, {entry.instance: entry for entry in entries}
            if now - began >= patience:
                return None
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _attempt(
        self, run: _Run, placement: PromptPlacement, entries: dict[str, UpstreamEntry]
    ) -> AttemptResult:
        fleet, call = self._forwarder.fleet, run.call
        began = fleet.now()
        fleet.jobs.start(call.local_id, _jobs(run, placement), began)
        run.trace.predicted_s = placement.first_event_s
        entry = run.trace.add_attempt(
            upstream=placement.main,
            helpers=list(placement.helpers),
            predicted_s=round(placement.first_event_s, 3),
            held_s=round(placement.start_delay_s, 3),
            cost=round(placement.cost, 3),
        )
        try:
            attempt = await self._send(run, placement, entries)
            entry["outcome"] = describe_outcome(attempt.outcome)
        finally:
            entry.update(
                took_s=round(fleet.now() - began, 3),
                first_event_s=round(run.first_event_s, 3),
                longest_pause_s=round(run.longest_pause_s, 3),
                events=run.splitter.forwarded,
            )
        return attempt

    async def _send(
        self, run: _Run, placement: PromptPlacement, entries: dict[str, UpstreamEntry]
    ) -> AttemptResult:
        if placement.start_delay_s > 0:
            await self._hold(run, placement.start_delay_s)
            names = (placement.main, *placement.helpers)
            if not self._forwarder.fleet.are_ready(names):
                reason = "an engine left while the prompt was held"
                return AttemptResult(NotSent(reason, is_unreachable=False))
        if placement.reserved:
            return await self._exchange_in_group(run, placement, entries)
        return await self._exchange(run, placement, entries, None)

    async def _hold(self, run: _Run, planned_s: float) -> None:
        """Wait until the engines of a prompt in parts have read the parts before it.

        An engine reads the newest part first, so the rest of an earlier one would wait
        for all that come after it.
        """
        fleet, request = self._forwarder.fleet, run.call.local_id
        planned_at = fleet.now() + planned_s
        latest = fleet.now() + MAX_HOLD_SHARE * (run.call.deadline_at - fleet.now())
        while True:
            now = fleet.now()
            end = fleet.jobs.earlier_prefills_end_at(request, now)
            if end is None:
                break
            if now >= min(latest, max(end, planned_at) + MAX_EXTRA_HOLD_S):
                self._forwarder.count("held_too_long")
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        fleet.jobs.mark_sent(request, fleet.now())

    async def _exchange_in_group(
        self, run: _Run, placement: PromptPlacement, entries: dict[str, UpstreamEntry]
    ) -> AttemptResult:
        """Reserve memory, send the prompt, and give the memory back in any case."""
        # Two runs of one request never share a reservation.
        sent = run.progress.sent + run.progress.unsent
        group = f"{run.call.head.request_id}-{sent}"
        try:
            if not await self._groups.reserve(group, placement.reserved, entries):
                return AttemptResult(NotSent("memory could not be reserved", False))
            return await self._exchange(run, placement, entries, group)
        finally:
            self._groups.release_group(group)

    async def _exchange(
        self,
        run: _Run,
        placement: PromptPlacement,
        entries: dict[str, UpstreamEntry],
        group: str | None,
    ) -> AttemptResult:
        forwarder, call = self._forwarder, run.call
        began = forwarder.fleet.now()
        remaining = call.deadline_at - began
        main = entries[placement.main]
        limit = remaining
        if placement.part_prefill_s <= LONG_READ_S and self._may_try_again(run):
            # A long prompt is not read again: that takes more than the client waits.
            limit = STALL_SHARE * max(
                patience_s(call.route.gap_target_s),
                FIRST_PATIENCE_FACTOR * call.route.target_s,
                placement.first_event_s,
            )
        helpers = self._helpers(placement, entries, group)
        opened = await forwarder.send(
            call, main, min(limit, remaining), run.splitter.last_event_id, helpers
        )
        if not isinstance(opened, UpstreamResponse):
            return AttemptResult(opened)
        try:
            head = forwarder.check_head(call, opened)
            if not isinstance(head, ResponseHead):
                return AttemptResult(head)
            if head.status >= 400:
                return await forwarder.read_failure(call, opened, head)
            outcome = await self._relay(run, placement, entries, opened, began, limit)
            return AttemptResult(outcome)
        finally:
            opened.close()

    async def _read(
        self, exchange: UpstreamResponse, main: UpstreamEntry, doubt_in_s: float
    ) -> bytes:
        """Read on, and send no further prompts to an engine that is silent too long."""

        def doubt() -> None:
            self._forwarder.fleet.record_failure(main.instance, is_unresponsive=True)

        loop = asyncio.get_running_loop()
        timer = loop.call_later(max(0.0, doubt_in_s), doubt)
        try:
            return await exchange.read()
        finally:
            timer.cancel()

    def _may_try_again(self, run: _Run) -> bool:
        """Return whether a run that falls silent could go on at another engine."""
        fleet, progress = self._forwarder.fleet, run.progress
        if not progress.may_repeat or progress.sent + 1 >= progress.max_attempts:
            return False
        return fleet.retry_budget(run.call.service).can_take(fleet.now())

    def _helpers(
        self,
        placement: PromptPlacement,
        entries: dict[str, UpstreamEntry],
        group: str | None,
    ) -> tuple[Helper, ...]:
        if group is None:
            return tuple(Helper(entries[name].address) for name in placement.helpers)
        reserved = {part.engine for part in placement.reserved}
        # Reserved memory of the main engine goes first in the list.
        return tuple(
            Helper(
                entries[name].address,
                self._groups.holding_id(group, name) if name in reserved else None,
            )
            for name in (placement.main, *placement.helpers)
        )

    async def _relay(
        self,
        run: _Run,
        placement: PromptPlacement,
        entries: dict[str, UpstreamEntry],
        exchange: UpstreamResponse,
        sent_at: float,
        first_event_limit_s: float,
    ) -> Outcome | None:
        """Pass events on until the end; return the outcome if it broke off."""
        fleet, call, reply = self._forwarder.fleet, run.call, run.reply
        metrics = self._forwarder.metrics
        gap_target = call.route.gap_target_s
        stall = STALL_SHARE * patience_s(gap_target)
        main = entries[placement.main]
        is_writing = False
        while True:
            now = fleet.now()
            if is_writing:
                # Without a further try, silence is no reason to end an answer.
                may_try = self._may_try_again(run)
                limit = stall if may_try else call.deadline_at - now
                doubt_in_s = fleet.expected_pause_s(main, run.model) + DOUBTFUL_STALL_S
                if may_try and fleet.is_unresponsive_for_peers(main):
                    limit = min(limit, doubt_in_s)
            else:
                limit = sent_at + first_event_limit_s - now
                doubt_in_s = sent_at + 2 * placement.first_event_s - now
                doubt_in_s += DOUBTFUL_STALL_S
            limit = min(limit, call.deadline_at - now)
            try:
                async with asyncio.timeout(max(0.001, limit)):
                    data = await self._read(exchange, main, doubt_in_s)
                events = run.splitter.feed(data) if data else b""
            except TimeoutError:
                return Silent(fleet.now() - now)
            except UpstreamError as error:
                return error.outcome
            except StreamError as error:
                return Broken(str(error))
            if not data:
                break
            waited = fleet.now() - now
            if is_writing:
                run.longest_pause_s = max(run.longest_pause_s, waited)
                metrics.token_gap.observe(waited)
                is_late = waited > gap_target
            else:
                is_writing = True
                run.first_event_s = fleet.now() - sent_at
                since = fleet.now() - call.arrived_at
                metrics.ttft.labels(length_label(call.head.prompt_tokens)).observe(
                    since
                )
                is_late = since > call.route.target_s
                fleet.jobs.mark_decoding(call.local_id)
                if not placement.helpers:
                    took = run.first_event_s
                    fleet.record_answer(placement.main, took, placement.first_event_s)
            if is_late:
                fleet.jobs.mark_late(call.local_id)
            if events:
                await self._begin(run, exchange)
                await reply.write(events)
        if run.splitter.is_partial:
            return Broken("ended inside an event")
        await self._begin(run, exchange)
        await reply.finish()
        return None

    async def _begin(self, run: _Run, exchange: UpstreamResponse) -> None:
        """Send the head of the first run; later runs go on below it."""
        if run.reply.has_started:
            return
        run.progress.has_response_started = True
        headers = self._forwarder.dialect.forwarded_headers(exchange.headers)
        await run.reply.start(exchange.status, headers)


def _is_untouched(outcome: Outcome | None) -> bool:
    """Return whether an attempt says nothing about its engine."""
    return isinstance(outcome, NotSent) and not outcome.is_unreachable


def _jobs(run: _Run, placement: PromptPlacement) -> list[Job]:
    head, gap = run.call.head, run.call.route.gap_target_s
    value = Prompt(head.prompt_tokens, 0, 0.0, gap).value
    part, age = placement.part_prefill_s, -placement.start_delay_s
    is_held = placement.start_delay_s > 0
    reserved = {part.engine: part.tokens for part in placement.reserved}
    memory = head.prompt_tokens + head.max_output_tokens
    context = head.prompt_tokens
    if reserved:
        context = context // len(reserved)
    jobs = [
        Job(
            placement.main,
            Phase.PREFILL,
            age,
            part,
            context,
            reserved.get(placement.main, memory),
            gap,
            value,
            is_held=is_held,
        )
    ]
    for name in placement.helpers:
        held = reserved.get(name, 0)
        jobs.append(
            Job(
                name,
                Phase.HELPER_PREFILL,
                age,
                part,
                context if held else 0,
                held,
                is_held=is_held,
            )
        )
    return jobs
