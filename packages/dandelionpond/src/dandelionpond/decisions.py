"""Register the decisions that nodes record and operators replay."""

import msgspec

from dandelionpond.record.registry import Registry
from dandelionpond.routing.choice import Candidate, RouteChoice, RouteRequest, choose
from dandelionpond.routing.settings import RoutingSettings


class RouteInput(msgspec.Struct, frozen=True):
    """Hold everything that decides the choice of an engine."""

    request: RouteRequest
    candidates: tuple[Candidate, ...]
    policy: RoutingSettings
    seed: int


def _route(recorded: RouteInput) -> RouteChoice:
    return choose(recorded.request, recorded.candidates, recorded.policy, recorded.seed)


REGISTRY = Registry()
ROUTE = REGISTRY.register("routing", "choose", RouteInput, RouteChoice, _route)
