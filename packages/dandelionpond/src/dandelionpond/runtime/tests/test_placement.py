"""Tests of the placement of a prompt and its release."""

import asyncio
import random
from types import SimpleNamespace

from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.routing.messages import DispatchRequest, PlaceOnGroup, RefusePrompt
from dandelionpond.runtime import placement
from dandelionpond.runtime.placement import PromptPlacement

REQUEST = DispatchRequest("r", "a", 1.0, "m", 900, 10, 100.0)


class FakeEngines:
    """Fake engines that place each prompt on one group.

    `reservation_results` are returned in order.
    """

    def __init__(self, reservation_results):
        self.reservation_results = list(reservation_results)
        self.reserved_groups = []
        self.released = []

    async def place(self, request):
        return PlaceOnGroup(request.request_id, ("a", "b", "c"), 310, 0, 1.0)

    async def reserve_group(self, group_id, place, deadline):
        self.reserved_groups.append(group_id)
        return self.reservation_results.pop(0)

    def finish_group(self, group_id):
        self.released.append(group_id)

    def finish(self, request_id, tokens, decode_s):
        self.released.append(request_id)


def acquire(engines, monkeypatch):
    monkeypatch.setattr(placement, "GROUP_RETRY_S", 0.0)
    prompt_placement = PromptPlacement(
        SimpleNamespace(random=random.Random(1)), engines
    )
    return prompt_placement, asyncio.run(prompt_placement.acquire(REQUEST))


class TestPromptPlacement:
    def test_each_try_reserves_under_a_name_of_its_own(self, monkeypatch):
        """A retry must not be refused because earlier releases are still pending.

        Each try therefore reserves its group under a new identifier.
        """
        no_memory = Failure(ErrorKind.INSUFFICIENT_MEMORY, "b did not reserve memory")
        engines = FakeEngines([no_memory, no_memory, None])
        prompt_placement, target = acquire(engines, monkeypatch)
        assert target.engines == ("a", "b", "c")
        assert len(set(engines.reserved_groups)) == 3
        assert prompt_placement.group_id == engines.reserved_groups[-1]
        assert engines.released == ["r", "r"]
        prompt_placement.release(0, 0.0)
        assert engines.released[2:] == [engines.reserved_groups[-1], "r"]

    def test_other_failures_end_the_prompt(self, monkeypatch):
        """A prompt must not be placed again after a failure that this cannot fix."""
        overloaded = Failure(ErrorKind.OVERLOADED, "4 prompts on several engines")
        prompt_placement, target = acquire(FakeEngines([overloaded]), monkeypatch)
        assert isinstance(target, RefusePrompt)
        assert (prompt_placement.group_id, prompt_placement.target) == ("", None)
