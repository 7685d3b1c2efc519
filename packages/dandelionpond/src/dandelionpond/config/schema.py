"""Define the schema of the published settings, which are the same for all nodes."""

from typing import Annotated, Literal

import msgspec

from dandelionpond.config.settings import DistributionSettings
from dandelionpond.limits.settings import AccountLimits, LimitsSettings
from dandelionpond.membership.settings import MembershipSettings
from dandelionpond.memory.settings import MemorySettings
from dandelionpond.orders.settings import OrdersSettings
from dandelionpond.record.settings import RecordSettings
from dandelionpond.requests.settings import RequestsSettings
from dandelionpond.routing.settings import RoutingSettings
from dandelionpond.shutdown.settings import ShutdownSettings

Positive = Annotated[float, msgspec.Meta(gt=0)]
PositiveInt = Annotated[int, msgspec.Meta(gt=0)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$")]


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The base class of sections; unknown fields are errors."""


class FailureDomain(Section, frozen=True):
    """A part of the fleet that can fail as a whole.

    `limit_share` is its fixed part of each fleet-wide limit, relative to the other
    failure domains. It stays in effect during a partition.
    """

    region: Name = "default"
    limit_share: Positive = 1.0


class ClientAccount(Section, frozen=True):
    """A client account with its keys, permissions and limits.

    `key_hashes` are SHA-256 hashes of random bearer keys, in lower-case hexadecimal. An
    empty `models` or `services` list permits none; "*" permits all. `weight` is the
    account's weight in fair queueing.
    """

    key_hashes: tuple[Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")], ...]
    models: tuple[str, ...] = ("*",)
    services: tuple[str, ...] = ()
    limits: AccountLimits = AccountLimits()
    weight: Positive = 1.0


class Model(Section, frozen=True):
    """A model and the version that engines should serve."""

    version: Name
    max_prompt_tokens: PositiveInt
    max_output_tokens: PositiveInt = 8_192
    adapters: tuple[Name, ...] = ()


class Service(Section, frozen=True):
    """A plain service and whether its calls may be repeated.

    `idempotent` permits calls to be repeated. `deduplicates` means that the service
    itself recognises a repeated `Idempotency-Key`. `states_not_run` means that its
    header `X-Execution: not_run` can be trusted.
    """

    idempotent: bool = False
    deduplicates: bool = False
    states_not_run: bool = False
    path: str = "/call"
    timeout_s: Positive = 10.0


class EngineUpstream(Section, frozen=True, tag_field="kind", tag="engine"):
    """A model engine, with its failure domain, models, role and capacity.

    `kv_capacity_tokens` is the size of its KV memory in tokens. `fencing` is `enforced`
    if the engine refuses orders with an old fencing number.
    """

    failure_domain: Name
    url: str
    models: tuple[Name, ...]
    role: Literal["general", "short", "long"] = "general"
    kv_capacity_tokens: PositiveInt = 400_000
    prefill_tokens_per_s: Positive = 20_000.0
    decode_tokens_per_s: Positive = 2_000.0
    fencing: Literal["enforced", "ignored"] = "enforced"
    adapter: Literal["reference"] = "reference"


class ServiceUpstream(Section, frozen=True, tag_field="kind", tag="service"):
    """A worker that runs plain services."""

    failure_domain: Name
    url: str
    services: tuple[Name, ...]


Upstream = EngineUpstream | ServiceUpstream


class Settings(Section, frozen=True):
    """The merged settings of all published files."""

    failure_domains: dict[Name, FailureDomain] = {}
    client_accounts: dict[Name, ClientAccount] = {}
    models: dict[Name, Model] = {}
    services: dict[Name, Service] = {}
    upstreams: dict[Name, Upstream] = {}
    distribution: DistributionSettings = DistributionSettings()
    membership: MembershipSettings = MembershipSettings()
    limits: LimitsSettings = LimitsSettings()
    routing: RoutingSettings = RoutingSettings()
    requests: RequestsSettings = RequestsSettings()
    memory: MemorySettings = MemorySettings()
    orders: OrdersSettings = OrdersSettings()
    shutdown: ShutdownSettings = ShutdownSettings()
    record: RecordSettings = RecordSettings()
