"""Define the published settings that all nodes share."""

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
    """Refuse unknown fields in every section."""


class FailureDomain(Section, frozen=True):
    """Describe a failure domain.

    `limit_share` is its fixed part of each fleet-wide limit, relative to the other
    failure domains. It stays in force during a partition.
    """

    region: Name = "default"
    limit_share: Positive = 1.0


class ClientAccount(Section, frozen=True):
    """Describe a client account.

    `key_hashes` are lower-case SHA-256 hashes of random bearer keys, in hexadecimal.
    An empty `models` or `services` list permits none; "*" permits all. `weight` is the
    account's part in fair queueing.
    """

    key_hashes: tuple[Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")], ...]
    models: tuple[str, ...] = ("*",)
    services: tuple[str, ...] = ()
    limits: AccountLimits = AccountLimits()
    weight: Positive = 1.0


class Model(Section, frozen=True):
    """Describe a model and the version that engines should hold."""

    version: Name
    max_prompt_tokens: PositiveInt
    max_output_tokens: PositiveInt = 8_192
    adapters: tuple[Name, ...] = ()


class Service(Section, frozen=True):
    """Describe a plain service.

    `idempotent` permits repeats. `deduplicates` says that the service recognises a
    repeated `Idempotency-Key` by itself. `states_not_run` says that its statement
    `X-Execution: not_run` may be trusted.
    """

    idempotent: bool = False
    deduplicates: bool = False
    states_not_run: bool = False
    path: str = "/call"
    timeout_s: Positive = 10.0


class EngineUpstream(Section, frozen=True, tag_field="kind", tag="engine"):
    """Describe a model engine.

    `kv_capacity_tokens` is its memory in tokens; the rates are tokens per second.
    `fencing` says whether it refuses an order with an old fencing number.
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
    """Describe a worker of plain services."""

    failure_domain: Name
    url: str
    services: tuple[Name, ...]


Upstream = EngineUpstream | ServiceUpstream


class Settings(Section, frozen=True):
    """Hold the merged settings of all published files."""

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
