"""Test how a prompt gets its place and gives it back."""

import asyncio
import random
from types import SimpleNamespace

from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.routing.messages import DispatchRequest, PlaceOnGroup, RefusePrompt
from dandelionpond.runtime import placement
from dandelionpond.runtime.placement import Placement

WORK = DispatchRequest("r", "a", 1.0, "m", 900, 10, 100.0)


class FakeEngines:
    """Place each prompt on one group; `answers` are those to its reservations."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.groups = []
        self.ended = []

    async def place(self, work):
        return PlaceOnGroup(work.request_id, ("a", "b", "c"), 310, 0, 1.0)

    async def reserve_group(self, group, place, deadline):
        self.groups.append(group)
        return self.answers.pop(0)

    def finish_group(self, group):
        self.ended.append(group)

    def finish(self, request_id, tokens, decode_s):
        self.ended.append(request_id)


def take(engines, monkeypatch):
    monkeypatch.setattr(placement, "GROUP_RETRY_S", 0.0)
    found = Placement(SimpleNamespace(random=random.Random(1)), engines)
    return found, asyncio.run(found.take(WORK))


class TestPlacement:
    def test_each_try_reserves_under_a_name_of_its_own(self, monkeypatch):
        """Guard against a try refused because releases of the last one are pending."""
        short = Failure(ErrorKind.INSUFFICIENT_MEMORY, "b did not reserve memory")
        engines = FakeEngines([short, short, None])
        found, place = take(engines, monkeypatch)
        assert place.engines == ("a", "b", "c")
        assert len(set(engines.groups)) == 3
        assert found.group == engines.groups[-1]
        assert engines.ended == ["r", "r"]
        found.leave(0, 0.0)
        assert engines.ended[2:] == [engines.groups[-1], "r"]

    def test_other_failures_end_the_prompt(self, monkeypatch):
        """Guard against a prompt that tries again what cannot succeed."""
        full = Failure(ErrorKind.OVERLOADED, "4 prompts on several engines")
        found, place = take(FakeEngines([full]), monkeypatch)
        assert isinstance(place, RefusePrompt)
        assert (found.group, found.place) == ("", None)
