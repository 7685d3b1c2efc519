"""Define the routing document, the upstream entries and the snapshot of both.

A platform adapter decodes the platform's own format into these types. Nodes exchange
snapshots in this form.
"""

from enum import StrEnum

import msgspec


class RouteKind(StrEnum):
    """The kind of a route, by whether its requests may be sent again."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Split(msgspec.Struct, frozen=True):
    """A service's share of a route's requests; weights are relative."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """A rule that assigns the requests of one host and path prefix to services.

    `timeout_s` limits the time until the response is complete. `target_s` is the target
    for the time to the response or, for a stream, to the first event. `gap_target_s` is
    the target for the pause between two events. `max_attempts` limits the upstreams
    that one request is sent to. Without `allowed_regions`, upstreams of all regions may
    serve its requests.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_s: float
    splits: tuple[Split, ...]
    priority: int = 0
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    gap_target_s: float = 0.0
    allowed_regions: tuple[str, ...] = ()

    @property
    def may_repeat(self) -> bool:
        """Return whether a request that may have been executed may be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


class EngineCostModel(msgspec.Struct, frozen=True, omit_defaults=True):
    """The published cost model of a service's engines.

    A pass in which at least one request decodes takes `stride` token steps. Each step
    takes `step_s`, plus `per_sequence_s` and `per_context_token_s` for each decoding
    request. Prefill takes 1 / `read_tokens_per_s` for each token and `per_pair_s` for
    each pair of a token and an earlier one. `keeps_prompts` is whether engines keep
    prompts after their requests, so that a later one with the same beginning needs less
    prefill.
    """

    slots: int
    memory_tokens: int
    stride: int
    step_s: float
    per_sequence_s: float
    per_context_token_s: float
    read_tokens_per_s: float
    per_pair_s: float
    keeps_prompts: bool = False


class ColdStart(msgspec.Struct, frozen=True):
    """How the upstreams of a service start.

    An upstream is cold for `duration_s` after a start, and bears `requests_per_s`
    meanwhile. More may crash it.
    """

    duration_s: float
    requests_per_s: float


class Service(msgspec.Struct, frozen=True):
    """A service.

    `engine` is None for a service without engines, and `cold_start` for one whose
    upstreams bear their full load from the start.
    """

    name: str
    max_connections: int
    engine: EngineCostModel | None = None
    cold_start: ColdStart | None = None


class Account(msgspec.Struct, frozen=True):
    """A client account and the API keys that identify it.

    Without `allowed_regions`, upstreams of all regions may serve its requests.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    allowed_regions: tuple[str, ...] = ()


class RequestLimits(msgspec.Struct, frozen=True):
    """The limits on the size of client requests and on slow or idle clients."""

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 15.0
    idle_timeout_s: float = 75.0


class RoutingDocument(msgspec.Struct, frozen=True):
    """One version of the routes, services, client accounts and limits."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    accounts: tuple[Account, ...] = ()
    limits: RequestLimits = RequestLimits()


class UpstreamState(StrEnum):
    """The state of an upstream: READY accepts new requests, LEAVING does not."""

    READY = "ready"
    LEAVING = "leaving"


class UpstreamEntry(msgspec.Struct, frozen=True):
    """An upstream as it has registered itself with the platform.

    `instance` and `started_ms` (Unix milliseconds) together identify one incarnation,
    because an upstream may restart under the same instance name. `cold_remaining_s` is
    the time for which the upstream is still cold, counted from when it wrote the entry;
    None if the entry does not say.
    """

    instance: str
    service: str
    address: str
    failure_domain: str
    slots: int
    state: UpstreamState
    started_ms: int = 0
    cold_remaining_s: float | None = None


class Evacuation(msgspec.Struct, frozen=True):
    """An operator's request to send nothing to the upstreams of a failure domain.

    `revision` is the store's revision at which it was made.
    """

    failure_domain: str
    revision: int


class Snapshot(msgspec.Struct, frozen=True):
    """The result of one read of the platform's metadata store.

    `store_revision` is the store's revision when the entries were read. `document` is
    None if it was not read or is not newer than the one that the reader already had.
    At `document_revision` the store held no document newer than `document`, or than the
    one that the reader already had; 0 if unknown. `evacuations` were read with the
    entries.
    """

    store_revision: int
    entries: tuple[UpstreamEntry, ...]
    document: RoutingDocument | None = None
    document_revision: int = 0
    evacuations: tuple[Evacuation, ...] = ()
