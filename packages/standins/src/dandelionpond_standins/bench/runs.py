"""Single runs of the benchmark."""

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

# Share of a run at its start and at its end whose arrivals are not counted, as the
# fleet's load is still rising or already falling.
_EDGE_SHARE = 0.15


class Job(msgspec.Struct, frozen=True):
    """The parameters of one run.

    `load` is relative to capacity, and requests arrive for `seconds` of simulated time.
    Without `with_long`, prompts over 100,000 tokens are left out.
    """

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
    """Simulate one run and return its figures.

    `routing` and `limits` replace the default settings of the product's policy.
    """
    spec = EngineSpec()
    deployment = job.deployment
    arrivals = generate_arrivals(deployment, spec, job.load, job.seconds, job.seed)
    if not job.with_long:
        arrivals = [
            arrival
            for arrival in arrivals
            if arrival.prompt_tokens <= LONG_PROMPT_TOKENS
        ]
    fleet = Fleet(spec, deployment.engines, job.seed)
    if job.policy == "ours":
        routing_settings = routing or RoutingSettings(
            short_weight=deployment.short_weight
        )
        fleet.policy = ProductPolicy(
            fleet, routing_settings, limits or LimitsSettings(), job.seed
        )
    else:
        fleet.policy = BaselinePolicy(fleet, job.policy, job.seed)
    outcomes = fleet.run(arrivals, NODE_COUNT)
    return measure(
        outcomes, spec, _EDGE_SHARE * job.seconds, (1 - _EDGE_SHARE) * job.seconds
    )
