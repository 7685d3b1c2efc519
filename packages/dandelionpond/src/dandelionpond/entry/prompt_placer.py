"""Choose the engines for prompts, or let prompts wait for their turn."""

import asyncio

from dandelionpond.admission.messages import RefusedForRoom
from dandelionpond.entry.attempts import RETRY_AFTER_S, Forwarder
from dandelionpond.entry.client_requests import IncomingRequest
from dandelionpond.entry.fleet import Candidates, Fleet
from dandelionpond.entry.prompt_state import PromptState
from dandelionpond.entry.room import WaitingRoom
from dandelionpond.placement.placement import (
    PlacementTrace,
    Prompt,
    PromptPlacement,
)
from dandelionpond.published.messages import EngineCostModel, UpstreamEntry

# Interval in seconds between two checks for an engine if there is no order of waiting
# prompts, and the share of a request's remaining time for which it waits for one.
POLL_INTERVAL_S = 0.02
MAX_WAIT_SHARE = 0.12

# A placement and the entries of the upstreams that it was chosen from, by instance.
Chosen = tuple[PromptPlacement, dict[str, UpstreamEntry]]


def place_on(
    fleet: Fleet,
    request: IncomingRequest,
    candidates: Candidates,
    model: EngineCostModel | None,
    blocks: tuple[int, ...],
    trace: PlacementTrace | None = None,
) -> Chosen | None:
    """Return a placement on engines that are free now, or None.

    The terms of the engines that were compared are added to `trace`.
    """
    prompt = Prompt(
        request.head.prompt_tokens,
        request.head.max_output_tokens,
        request.route.target_s - (fleet.now() - request.arrived_at),
        request.route.gap_target_s,
    )
    for entries in (candidates.preferred, candidates.avoided):
        if model is None:
            placement = _place_without_engine(fleet, request, entries, trace)
        else:
            placement = fleet.place_prompt(prompt, entries, model, blocks, trace)
        if placement is not None:
            return placement, {entry.instance: entry for entry in entries}
    return None


def _place_without_engine(
    fleet: Fleet,
    request: IncomingRequest,
    entries: tuple[UpstreamEntry, ...],
    trace: PlacementTrace | None,
) -> PromptPlacement | None:
    """Place a stream on an upstream whose times are not predicted."""
    upstream = fleet.place_call(entries, request.route.may_repeat, trace)
    if upstream is None:
        return None
    return PromptPlacement(upstream.instance, (), request.route.target_s, 0.0, 0.0)


def polling_wait_s(fleet: Fleet, request: IncomingRequest) -> float:
    """Return how long a prompt for which there is no order may wait from now on."""
    return (request.deadline_at - fleet.now()) * MAX_WAIT_SHARE


def least_wait_s(
    fleet: Fleet, request: IncomingRequest, tried: frozenset[str] = frozenset()
) -> float:
    """Return for how long no upstream will take a request, as far as is known."""
    return (
        fleet.pause_left_s(request.service, request)
        or fleet.turn_in_s(request.service, tried, request)
        or 0.0
    )


class PromptPlacer:
    """A chooser of engines for the attempts of prompts."""

    def __init__(self, forwarder: Forwarder, room: WaitingRoom) -> None:
        self._forwarder = forwarder
        self._room = room

    async def place(
        self, state: PromptState, tried: frozenset[str]
    ) -> Chosen | RefusedForRoom:
        """Place a prompt; wait for its turn if there is too little capacity."""
        fleet, request, model = self._forwarder.fleet, state.request, state.model
        if model is None:
            return await self._place_by_polling(state, tried)
        started_at = fleet.now()
        if not fleet.room.is_short(started_at):
            chosen = self._try_place(state, tried)
            if chosen is not None:
                if not state.was_placed:
                    self._room.record_placed(request, model)
                state.was_placed = True
                return chosen
        has_engines = bool(fleet.candidates(request.service, tried, request).best)
        if not has_engines or not self._room.may_fit(request, model):
            return await self._place_by_polling(state, tried)
        prompt = self._room.build_prompt(request, model, state.was_placed)
        result = await self._room.wait(
            prompt, request, tried, model, lambda: self._try_place(state, tried)
        )
        state.attempt_log.waited_s += fleet.now() - started_at
        state.was_placed |= not isinstance(result, RefusedForRoom)
        return result

    async def _place_by_polling(
        self, state: PromptState, tried: frozenset[str]
    ) -> Chosen | RefusedForRoom:
        """Place a prompt for which there is no order; wait up to a limit.

        Its service has no engines or none that is known now, or it fits on none.
        """
        fleet, request = self._forwarder.fleet, state.request
        started_at = fleet.now()
        max_wait_s = polling_wait_s(fleet, request)
        while True:
            chosen = self._try_place(state, tried)
            if chosen is not None:
                return chosen
            # Time passes in vain if no engine accepts requests before the wait ends.
            pause_s = least_wait_s(fleet, request, tried)
            has_waited = fleet.now() + pause_s - started_at >= max_wait_s
            if has_waited or self._forwarder.is_hopeless(request, tried):
                return RefusedForRoom(pause_s or RETRY_AFTER_S)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _try_place(self, state: PromptState, tried: frozenset[str]) -> Chosen | None:
        """Return a placement on engines that are free now, or None."""
        fleet, request = self._forwarder.fleet, state.request
        candidates = fleet.candidates(request.service, tried, request)
        return place_on(fleet, request, candidates, state.model, state.blocks)
