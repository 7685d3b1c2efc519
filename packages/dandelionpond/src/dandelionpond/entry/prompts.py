"""Forward prompts and relay the response streams."""

import asyncio
import contextlib

from dandelionpond.admission.messages import RefusedForRoom
from dandelionpond.entry.attempts import (
    ALL_EXCLUDED,
    EXCLUDED_RETRY_AFTER_S,
    RETRY_AFTER_S,
    AttemptResult,
    Forwarder,
    describe_outcome,
    is_pause,
)
from dandelionpond.entry.client_requests import IncomingRequest, Reply
from dandelionpond.entry.delivery import (
    DEADLINE_RECHECK_S,
    ClientLeft,
    DeliveryTimeout,
    StreamDelivery,
)
from dandelionpond.entry.prompt_placer import PromptPlacer
from dandelionpond.entry.prompt_state import PromptState, build_jobs
from dandelionpond.entry.reservations import MemoryReservations
from dandelionpond.entry.room import WaitingRoom
from dandelionpond.entry.upstream_client import UpstreamError, UpstreamResponse
from dandelionpond.errors import ErrorKind
from dandelionpond.forwarding.messages import (
    BrokenResponse,
    DeadlineExceeded,
    Helper,
    NotSent,
    Outcome,
    ResponseHead,
    SilentUpstream,
)
from dandelionpond.metrics import length_label
from dandelionpond.placement.placement import (
    FIRST_EVENT_TIMEOUT_FACTOR,
    LONG_PREFILL_S,
    PromptPlacement,
    client_timeout_s,
)
from dandelionpond.published.messages import EngineCostModel, UpstreamEntry
from dandelionpond.quarantine.evidence import SETTLE_S, Suspect
from dandelionpond.quarantine.quarantine import Refused

# Share of the client's timeout after which a silent stream is resumed on another
# engine; the rest is left for the first event there. Repeating the prefill takes longer
# than most pauses, so the limit is lowered only if there are signs of a failure.
STALL_TIMEOUT_SHARE = 0.8
# Time in seconds beyond the pause that an engine's load explains. After it, the engine
# gets no new prompts, and a stream is resumed elsewhere if the engine is unresponsive
# to peers as well.
SUSPECT_STALL_S = 0.5
# Interval in seconds between two checks whether a held prompt may be sent.
HOLD_CHECK_INTERVAL_S = 0.02
# Maximum time in seconds that a prompt in several parts is held beyond the predicted
# end of earlier prefills, and the maximum share of its remaining time that it is held.
MAX_EXTRA_HOLD_S = 0.8
MAX_HOLD_SHARE = 0.5
# Number of parts of a prompt that are logged if its engine crashed.
MAX_LOGGED_PARTS = 16
# Time in seconds after the first event of an answer for which a crash of its engine may
# still be due to the beginning of this answer.
BEGINNING_S = 0.25
# Delay in seconds before a prompt is sent again that may have crashed its engine: the
# reports of other nodes may show that it did.
SUSPECT_RETRY_DELAY_S = SETTLE_S + 0.05
# Why a response ended of which the client had not read all.
UNREAD_AT_DEADLINE = "the deadline passed before the client had read the response"


class PromptForwarder:
    """A forwarder of prompts that resumes interrupted streams where permitted."""

    def __init__(
        self,
        forwarder: Forwarder,
        reservations: MemoryReservations,
        room: WaitingRoom,
    ) -> None:
        self._forwarder = forwarder
        self._reservations = reservations
        self._room = room
        self._placer = PromptPlacer(forwarder, room)

    async def run(
        self, request: IncomingRequest, reply: Reply, model: EngineCostModel | None
    ) -> None:
        """Answer one prompt, in as many attempts as permitted.

        The engines are released before the rest is delivered to a slow client.
        """
        forwarder = self._forwarder
        event_fields = forwarder.header_translator.event_fields
        delivery = forwarder.create_delivery(request, reply)
        state = PromptState(request, reply, model, event_fields, delivery)
        if model is not None and model.keeps_prompts:
            tokens = forwarder.header_translator.parse_part_tokens(request.headers)
            state.blocks = forwarder.fleet.prefixes.split(request.head.part_ids, tokens)
        account = request.account.name if request.account else ""
        forwarder.accounts.record_asked(account)
        is_broken_off = False
        try:
            is_answered = await self._run_attempts(state, account)
            is_broken_off = not is_answered
            if delivery is not None:
                await _deliver_rest(state, delivery, is_answered)
        except ClientLeft:
            # The server cancels the request for the same reason, before or after this.
            state.why = "gone"
        except DeliveryTimeout:
            if not is_broken_off:
                state.why = UNREAD_AT_DEADLINE
                forwarder.count("broken_off")
            if reply.connection is not None:
                reply.connection.abort()
        finally:
            if delivery is not None:
                delivery.close()
            if reply.error_kind is not None:
                forwarder.accounts.record_refused(account, reply.error_kind)
            forwarder.log_end(request, reply, state.attempt_log, state.why)

    async def _run_attempts(self, state: PromptState, account: str) -> bool:
        """Run attempts; return whether one received the end of the response."""
        forwarder, request = self._forwarder, state.request
        is_admitted = False
        tried: set[str] = set()
        try:
            while True:
                quarantined = self._check_quarantine(state)
                if quarantined is not None:
                    state.why = "a part is in quarantine"
                    await self._refuse(
                        state, ErrorKind.PROMPT_QUARANTINED, quarantined.retry_after_s
                    )
                    return False
                chosen = await self._placer.place(state, frozenset(tried))
                if isinstance(chosen, RefusedForRoom):
                    if forwarder.is_hopeless(request, tried):
                        state.why = ALL_EXCLUDED
                        await self._refuse(
                            state, ErrorKind.NO_UPSTREAM, EXCLUDED_RETRY_AFTER_S
                        )
                        return False
                    state.why = "no engine is free"
                    state.attempt_log.retry_after_s = round(chosen.retry_after_s, 3)
                    await self._refuse(
                        state, ErrorKind.OVERLOADED, chosen.retry_after_s
                    )
                    return False
                if not is_admitted:
                    is_admitted = True
                    forwarder.accounts.record_admitted(account)
                placement, entries = chosen
                main = entries[placement.main]
                result = await self._attempt(state, placement, entries)
                if result.is_displaced:
                    forwarder.count("placements_repeated")
                    forwarder.fleet.jobs.finish(request.local_id)
                    continue
                if not _is_inconclusive(result.outcome) and not is_pause(
                    result.outcome
                ):
                    tried.add(main.instance)
                state.why = describe_outcome(result.outcome)
                if result.outcome is None:
                    took_s = forwarder.fleet.now() - state.sent_at
                    self._room.record_complete(
                        request, placement.main, placement.part_prefill_s, took_s
                    )
                    return True
                forwarder.report_outcome(main, result.outcome)
                state.progress.may_repeat &= state.splitter.may_resume
                if not await forwarder.handle_failure(
                    request, state.progress, result, state.reply
                ):
                    return False
                state.splitter.begin_attempt()
        finally:
            forwarder.fleet.jobs.finish(request.local_id)
            forwarder.fleet.quarantine.end_trial(request.local_id)

    def _check_quarantine(self, state: PromptState) -> Refused | None:
        request = state.request
        return self._forwarder.fleet.check_quarantine(state.key, request.local_id)

    async def _refuse(
        self, state: PromptState, kind: ErrorKind, retry_after_s: float = RETRY_AFTER_S
    ) -> None:
        if state.progress.has_response_started:
            self._forwarder.count("broken_off")
            return
        if state.progress.may_have_run:
            kind = ErrorKind.UPSTREAM_FAILED
        await self._forwarder.refuse(
            state.request.head.request_id, state.reply, kind, retry_after_s
        )

    async def _attempt(
        self,
        state: PromptState,
        placement: PromptPlacement,
        entries: dict[str, UpstreamEntry],
    ) -> AttemptResult:
        fleet, request = self._forwarder.fleet, state.request
        started_at = fleet.now()
        state.first_event_s = 0.0
        state.first_event_at = None
        state.has_head = False
        fleet.jobs.start(request.local_id, build_jobs(state, placement), started_at)
        state.attempt_log.predicted_s = placement.first_event_s
        log_entry = state.attempt_log.add_attempt(
            upstream=placement.main,
            helpers=list(placement.helpers),
            predicted_s=round(placement.first_event_s, 3),
            held_s=round(placement.start_delay_s, 3),
            cost=round(placement.cost, 3),
        )
        try:
            result = await self._send(state, placement, entries)
            log_entry["outcome"] = describe_outcome(result.outcome)
            if isinstance(result.outcome, BrokenResponse):
                await self._record_lost_connection(
                    state, entries[placement.main], result.outcome, log_entry
                )
        finally:
            if state.blocks:
                fleet.prefixes.table.withdraw(request.local_id)
            log_entry.update(
                took_s=round(fleet.now() - started_at, 3),
                first_event_s=round(state.first_event_s, 3),
                longest_pause_s=round(state.longest_pause_s, 3),
                events=state.splitter.forwarded,
            )
        return result

    async def _record_lost_connection(
        self,
        state: PromptState,
        main: UpstreamEntry,
        outcome: BrokenResponse,
        log_entry: dict[str, object],
    ) -> None:
        """Count and log whether an engine crashed while it ran a prompt."""
        has_crashed = await self._forwarder.client.refuses_connections(
            main.address, outcome.is_lost_connection
        )
        event = "upstream_crashed" if has_crashed else "upstream_connection_lost"
        self._forwarder.count(event)
        if has_crashed:
            self._forwarder.fleet.cold.suspect(
                (main.instance,), self._forwarder.fleet.now()
            )
            await self._record_crash(state, main)
        log_entry.update(
            crashed=has_crashed,
            has_head=state.has_head,
            parts=list(state.request.head.part_ids[:MAX_LOGGED_PARTS]),
        )

    async def _record_crash(self, state: PromptState, main: UpstreamEntry) -> None:
        """Report a crash, unless the prompt's answer had begun well before it."""
        fleet = self._forwarder.fleet
        now = fleet.now()
        began_at = state.first_event_at
        if began_at is not None and now - began_at > BEGINNING_S:
            return
        suspect = Suspect(
            state.key.account, state.key.parts, state.sent_at, state.has_head
        )
        fleet.quarantine.record_crash(
            state.key, main.instance, suspect, state.request.local_id, now
        )
        if state.has_head and state.key.parts:
            await asyncio.sleep(SUSPECT_RETRY_DELAY_S)
            fleet.quarantine.tick(fleet.now())

    async def _send(
        self,
        state: PromptState,
        placement: PromptPlacement,
        entries: dict[str, UpstreamEntry],
    ) -> AttemptResult:
        fleet = self._forwarder.fleet
        if placement.start_delay_s > 0:
            await self._hold(state, placement)
            if not self._are_ready(state, placement):
                return self._not_sent(
                    placement, "an engine left while the prompt was held"
                )
        if placement.helpers:
            unreachable = await self._find_unreachable(placement, entries)
            if unreachable:
                for name in unreachable:
                    fleet.record_failure(name, is_unresponsive=True)
                reason = f"helpers are unreachable: {', '.join(sorted(unreachable))}"
                return self._not_sent(placement, reason)
        if placement.reserved:
            return await self._send_with_reservation(state, placement, entries)
        return await self._send_and_relay(state, placement, entries, None)

    def _not_sent(self, placement: PromptPlacement, reason: str) -> AttemptResult:
        """Return the result of an attempt that was given up before it was sent."""
        names = (placement.main, *placement.helpers)
        is_displaced = self._forwarder.fleet.is_evacuated(names)
        if is_displaced:
            reason = "an engine was evacuated before the send"
        return AttemptResult(NotSent(reason, False), is_displaced=is_displaced)

    def _are_ready(self, state: PromptState, placement: PromptPlacement) -> bool:
        names = (placement.main, *placement.helpers)
        return self._forwarder.fleet.are_ready(names, state.request)

    async def _hold(self, state: PromptState, placement: PromptPlacement) -> None:
        """Wait until the engines of a prompt in several parts end earlier prefills.

        Engines prefill the newest part first. If this prompt were sent now, the rest of
        each earlier part would have to wait for it. The wait ends as soon as one of its
        engines is evacuated.
        """
        fleet, local_id = self._forwarder.fleet, state.request.local_id
        names = (placement.main, *placement.helpers)
        planned_at = fleet.now() + placement.start_delay_s
        latest = fleet.now() + MAX_HOLD_SHARE * (
            state.request.deadline_at - fleet.now()
        )
        while True:
            now = fleet.now()
            end = fleet.jobs.earlier_prefills_end_at(local_id, now)
            if end is None:
                break
            if now >= min(latest, max(end, planned_at) + MAX_EXTRA_HOLD_S):
                self._forwarder.count("held_too_long")
                break
            if fleet.is_evacuated(names):
                return
            await asyncio.sleep(HOLD_CHECK_INTERVAL_S)
        fleet.jobs.mark_sent(local_id, fleet.now())

    async def _find_unreachable(
        self, placement: PromptPlacement, entries: dict[str, UpstreamEntry]
    ) -> set[str]:
        """Return the helpers that accept no connection.

        One dead helper fails the whole prompt, which uses up an attempt. After a crash
        of several engines, the next attempt would often meet another one.
        """
        client = self._forwarder.client
        are_reachable = await asyncio.gather(
            *(client.is_reachable(entries[name].address) for name in placement.helpers)
        )
        return {
            name
            for name, is_reachable in zip(placement.helpers, are_reachable, strict=True)
            if not is_reachable
        }

    async def _send_with_reservation(
        self,
        state: PromptState,
        placement: PromptPlacement,
        entries: dict[str, UpstreamEntry],
    ) -> AttemptResult:
        """Reserve memory, send the prompt and release the memory in any case."""
        # The name is unique per attempt, so that attempts never share a reservation.
        attempts = state.progress.sent + state.progress.unsent
        request_id = state.request.head.request_id
        group = f"{request_id}-{attempts}"
        try:
            if not await self._reservations.reserve(
                group, request_id, placement.reserved, entries
            ):
                return self._not_sent(placement, "memory could not be reserved")
            return await self._send_and_relay(state, placement, entries, group)
        finally:
            self._reservations.release_group(group)

    async def _send_and_relay(
        self,
        state: PromptState,
        placement: PromptPlacement,
        entries: dict[str, UpstreamEntry],
        group: str | None,
    ) -> AttemptResult:
        forwarder, request = self._forwarder, state.request
        started_at = forwarder.fleet.now()
        remaining = request.deadline_at - started_at
        main = entries[placement.main]
        timeout_s = remaining
        # The timeout leaves time for another attempt, except if the prefill is long: a
        # second one would take longer than the client waits.
        if placement.part_prefill_s <= LONG_PREFILL_S and self._can_retry(state, main):
            timeout_s = STALL_TIMEOUT_SHARE * max(
                client_timeout_s(request.route.gap_target_s),
                FIRST_EVENT_TIMEOUT_FACTOR * request.route.target_s,
                placement.first_event_s,
            )
        helpers = self._build_helpers(placement, entries, group)
        if self._check_quarantine(state) is not None:
            return AttemptResult(NotSent("a part is in quarantine", False))
        if placement.helpers and not self._are_ready(state, placement):
            # Connections to helpers and reservations have taken time.
            return self._not_sent(placement, "an engine left before the send")
        if not forwarder.fleet.cold.claim((placement.main, *placement.helpers)):
            return AttemptResult(NotSent("an engine is cold", False))
        state.sent_at = started_at
        if state.blocks and state.model is not None:
            forwarder.fleet.record_prompt_sent(
                request.local_id, placement, state.model, state.blocks
            )
        response = await forwarder.send(
            request,
            main,
            min(timeout_s, remaining),
            state.splitter.resume_id,
            helpers,
        )
        if not isinstance(response, UpstreamResponse):
            return AttemptResult(response)
        try:
            head = forwarder.check_head(request, main, response)
            if not isinstance(head, ResponseHead):
                return AttemptResult(head)
            if head.status >= 400:
                return await forwarder.read_failure(request, response, head)
            state.has_head = True
            outcome = await self._relay(
                state, placement, entries, response, started_at, timeout_s
            )
            return AttemptResult(outcome)
        finally:
            response.close()

    async def _read_chunk(
        self, response: UpstreamResponse, main: UpstreamEntry, suspect_in_s: float
    ) -> bytes:
        """Read the next data; record a failure if the engine is silent for too long.

        The failure makes nodes avoid the engine, but does not end the stream.
        """

        def suspect() -> None:
            self._forwarder.fleet.record_failure(main.instance, is_unresponsive=True)

        loop = asyncio.get_running_loop()
        timer = loop.call_later(max(0.0, suspect_in_s), suspect)
        try:
            return await response.read()
        finally:
            timer.cancel()

    def _can_retry(self, state: PromptState, main: UpstreamEntry) -> bool:
        """Return whether the prompt could be sent to another engine than `main`."""
        fleet, progress = self._forwarder.fleet, state.progress
        if not progress.may_repeat or progress.sent + 1 >= progress.max_attempts:
            return False
        if self._is_last(state, main):
            return False
        return fleet.retry_budget(state.request.service).can_take(fleet.now())

    def _is_last(self, state: PromptState, main: UpstreamEntry) -> bool:
        """Return whether evacuations leave no other engine than `main`, which runs."""
        tried = (main.instance,)
        return self._forwarder.fleet.is_evacuated(
            tried
        ) and self._forwarder.is_hopeless(state.request, tried)

    def _build_helpers(
        self,
        placement: PromptPlacement,
        entries: dict[str, UpstreamEntry],
        group: str | None,
    ) -> tuple[Helper, ...]:
        if group is None:
            return tuple(Helper(entries[name].address) for name in placement.helpers)
        reserved = {part.engine for part in placement.reserved}
        # The main engine comes first in the list, with its reserved memory.
        return tuple(
            Helper(
                entries[name].address,
                self._reservations.holding_id(group, name)
                if name in reserved
                else None,
            )
            for name in (placement.main, *placement.helpers)
        )

    async def _relay(
        self,
        state: PromptState,
        placement: PromptPlacement,
        entries: dict[str, UpstreamEntry],
        response: UpstreamResponse,
        sent_at: float,
        first_event_timeout_s: float,
    ) -> Outcome | None:
        """Relay events until the end; return the outcome if the stream failed."""
        fleet, request, reply = self._forwarder.fleet, state.request, state.reply
        gap_target_s = request.route.gap_target_s
        stall_timeout_s = STALL_TIMEOUT_SHARE * client_timeout_s(gap_target_s)
        main = entries[placement.main]
        has_first_event = False
        # Only complete events count as progress: an engine that is stuck may still send
        # single bytes or comments.
        progress_at, progress = sent_at, state.splitter.progress
        while True:
            now = fleet.now()
            if has_first_event:
                # A silent stream is not ended if there is no further attempt.
                can_retry = self._can_retry(state, main)
                end_at = request.deadline_at
                suspect_at = progress_at + SUSPECT_STALL_S
                if state.model is not None:
                    suspect_at += fleet.expected_pause_s(main, state.model)
                if can_retry:
                    end_at = progress_at + stall_timeout_s
                    if fleet.is_unresponsive_to_peers(main):
                        end_at = min(end_at, suspect_at)
            else:
                end_at = sent_at + first_event_timeout_s
                suspect_at = sent_at + 2 * placement.first_event_s + SUSPECT_STALL_S
            end_at = min(end_at, request.deadline_at)
            # Until then an engine that meets the deadline is taken to be sending.
            explained_until = progress_at
            if has_first_event and end_at >= request.deadline_at:
                explained_until = suspect_at
            try:
                # What has already arrived is read even after the end, because the node
                # itself may have been paused.
                async with asyncio.timeout(max(0.001, end_at - now)):
                    data = await self._read_chunk(response, main, suspect_at - now)
            except TimeoutError:
                if fleet.now() < request.deadline_at and self._is_last(state, main):
                    # The evacuation came during the wait. Without another engine, the
                    # stream is not given up.
                    first_event_timeout_s = request.deadline_at - sent_at
                    continue
                return _outcome_of_wait(fleet.now(), progress_at, explained_until)
            except UpstreamError as error:
                return error.outcome
            if not data:
                break
            received_at = fleet.now()
            events = state.splitter.feed(data)
            has_progress = state.splitter.progress != progress
            if has_progress:
                progress = state.splitter.progress
                pause_s = received_at - progress_at if has_first_event else None
                self._record_event(state, placement, sent_at, received_at, pause_s)
                has_first_event = True
            if events:
                await self._send_head(state, response)
                await self._write(state, events)
            if state.splitter.error is not None:
                self._forwarder.count("damaged_events")
                return BrokenResponse(state.splitter.error, is_invalid=True)
            if has_progress:
                # After the write, because a slow client is no fault of the engine. The
                # write returns at once while the events fit in the buffer.
                progress_at = fleet.now()
            elif now >= end_at:
                return _outcome_of_wait(now, progress_at, explained_until)
        if state.splitter.is_partial:
            return BrokenResponse("ended in the middle of an event")
        if not has_first_event and state.splitter.last_event_id is None:
            return BrokenResponse("ended before the first event")
        broken = await self._forwarder.check_end(main, response)
        if broken is not None:
            return broken
        fleet.quarantine.record_answer(state.key, sent_at, fleet.now())
        await self._send_head(state, response)
        if state.delivery is None:
            await self._wait_for_client(state)
            await reply.finish()
        return None

    async def _write(self, state: PromptState, events: bytes) -> None:
        """Send events to the client, or buffer them for it.

        Raises as `StreamDelivery.write`.
        """
        if state.delivery is not None:
            await state.delivery.write(events)
            return
        await self._wait_for_client(state)
        await state.reply.write(events)

    async def _wait_for_client(self, state: PromptState) -> None:
        """Wait until a write would not block.

        Raises DeliveryTimeout if the deadline passes before. A server without flow
        control blocks in the write instead.
        """
        connection = state.reply.connection
        if connection is None:
            return
        while connection.write_paused:
            remaining_s = state.request.deadline_at - self._forwarder.fleet.now()
            if remaining_s <= 0:
                raise DeliveryTimeout
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(DEADLINE_RECHECK_S, remaining_s)):
                    await connection.drain()

    def _record_event(
        self,
        state: PromptState,
        placement: PromptPlacement,
        sent_at: float,
        received_at: float,
        pause_s: float | None,
    ) -> None:
        """Measure an event; `pause_s` is None for the first one of an attempt."""
        fleet, request = self._forwarder.fleet, state.request
        metrics = self._forwarder.metrics
        if pause_s is not None:
            state.longest_pause_s = max(state.longest_pause_s, pause_s)
            metrics.token_gap.observe(pause_s)
            is_late = pause_s > request.route.gap_target_s
        else:
            state.first_event_at = received_at
            state.first_event_s = received_at - sent_at
            ttft_s = received_at - request.arrived_at
            length = length_label(request.head.prompt_tokens)
            metrics.ttft.labels(length).observe(ttft_s)
            is_late = ttft_s > request.route.target_s
            if state.model is not None:
                fleet.jobs.mark_decoding(request.local_id)
            if state.blocks:
                fleet.prefixes.table.record_first_token(request.local_id)
            if not placement.helpers:
                fleet.record_answer(
                    placement.main, state.first_event_s, placement.first_event_s
                )
        if is_late:
            fleet.jobs.mark_late(request.local_id)

    async def _send_head(self, state: PromptState, response: UpstreamResponse) -> None:
        """Send the response head; later attempts continue the same response."""
        if state.reply.has_started:
            return
        state.progress.has_response_started = True
        headers = self._forwarder.header_translator.forwarded_headers(response.headers)
        await state.reply.start(response.status, headers)


async def _deliver_rest(
    state: PromptState, delivery: StreamDelivery, is_answered: bool
) -> None:
    """Deliver buffered events, and the end of the response if an attempt received it.

    Events of a response that broke off are delivered as well, so that the client can
    resume it behind them.
    """
    if state.reply.is_complete:
        # The response was an error.
        return
    if not is_answered:
        await delivery.flush()
        return
    why, state.why = state.why, "gone"
    await delivery.finish()
    state.why = why


def _outcome_of_wait(now: float, progress_at: float, explained_until: float) -> Outcome:
    """Return the outcome of an attempt whose time ended without the next event."""
    if now < explained_until:
        return DeadlineExceeded()
    return SilentUpstream(now - progress_at)


def _is_inconclusive(outcome: Outcome | None) -> bool:
    """Return whether an attempt gives no information about its engine."""
    return isinstance(outcome, NotSent) and not outcome.is_unreachable
