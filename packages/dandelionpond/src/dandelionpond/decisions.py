"""Register the decisions that nodes record and operators can replay."""

from dandelionpond.limits.admission import (
    AdmissionInput,
    AdmissionOutcome,
    decide_admission,
)
from dandelionpond.limits.limiter import LimitInput, LimitOutcome, decide_limit
from dandelionpond.record.registry import Registry
from dandelionpond.routing.choice import RouteChoice, choose_engine
from dandelionpond.routing.router import RouteInput


def _choose_route(recorded: RouteInput) -> RouteChoice:
    return choose_engine(
        recorded.request, recorded.candidates, recorded.policy, recorded.seed
    )


REGISTRY = Registry()
ROUTE = REGISTRY.register("routing", "choose", RouteInput, RouteChoice, _choose_route)
LIMIT = REGISTRY.register("limits", "limit", LimitInput, LimitOutcome, decide_limit)
ADMISSION = REGISTRY.register(
    "limits", "admission", AdmissionInput, AdmissionOutcome, decide_admission
)
