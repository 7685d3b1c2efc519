"""Run one deployment, policy, load and seed."""

import msgspec

from dandelionpond.limits.settings import LimitsSettings
from dandelionpond.routing.settings import RoutingSettings
from dandelionpond_standins.bench.baselines import BaselinePolicy
from dandelionpond_standins.bench.fleet import Fleet
from dandelionpond_standins.bench.measures import measure
from dandelionpond_standins.bench.product_policy import ProductPolicy
from dandelionpond_standins.bench.workload import (
    LONG_PROMPT_TOKENS,
    NODE_COUNT,
    Deployment,
    generate_arrivals,
)
from dandelionpond_standins.engine_model import EngineSpec

# Arrivals in the first and last parts meet a fleet that fills or empties.
_EDGE = 0.15


class Job(msgspec.Struct, frozen=True):
    """Name one run; `with_long` is false for the run without prompts over 100,000."""

    deployment: Deployment
    policy: str
    load: float
    seed: int
    seconds: float
    with_long: bool = True


def run_job(
    job: Job,
    routing: RoutingSettings | None = None,
    limits: LimitsSettings | None = None,
) -> dict[str, object]:
    """Run a job to its end and return its figures."""
    spec = EngineSpec()
    deployment = job.deployment
    arrivals = generate_arrivals(deployment, spec, job.load, job.seconds, job.seed)
    if not job.with_long:
        arrivals = [one for one in arrivals if one.prompt_tokens <= LONG_PROMPT_TOKENS]
    fleet = Fleet(spec, deployment.engines, job.seed)
    if job.policy == "ours":
        policy = routing or RoutingSettings(short_weight=deployment.short_weight)
        fleet.policy = ProductPolicy(
            fleet, policy, limits or LimitsSettings(), job.seed
        )
    else:
        fleet.policy = BaselinePolicy(fleet, job.policy, job.seed)
    outcomes = fleet.run(arrivals, NODE_COUNT)
    return measure(outcomes, spec, _EDGE * job.seconds, (1 - _EDGE) * job.seconds)
