"""Define the routing document, the entries of upstreams and the snapshot of both.

An adapter decodes the platform's own format into these types once; nodes hand
snapshots to each other in this form.
"""

from enum import StrEnum

import msgspec


class RouteKind(StrEnum):
    """Say what may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Split(msgspec.Struct, frozen=True):
    """Give a service its share of a route's requests; weights are relative."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Lead the requests of one host and path prefix to services.

    `timeout_s` bounds the time until the final answer, `target_s` the time to an answer
    (streams: to the first event) that counts as prompt, `gap_target_s` the pause
    between two events. `max_attempts` bounds the upstreams that one request is sent to.
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

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run again after it may have run."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


class EngineCostModel(msgspec.Struct, frozen=True):
    """Hold the published cost model of a service's engines.

    A pass with a writing request takes `stride` token steps. A step takes `step_s`,
    plus `per_sequence_s` and `per_context_token_s` for each writing request. Reading
    takes 1 / `read_tokens_per_s` for each token and `per_pair_s` for each pair of a
    token and an earlier one.
    """

    slots: int
    memory_tokens: int
    stride: int
    step_s: float
    per_sequence_s: float
    per_context_token_s: float
    read_tokens_per_s: float
    per_pair_s: float


class Service(msgspec.Struct, frozen=True):
    """Describe one service; `engine` is None for a plain service."""

    name: str
    max_connections: int
    engine: EngineCostModel | None = None


class Account(msgspec.Struct, frozen=True):
    """Describe one client account and the keys that its requests may carry."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class RequestLimits(msgspec.Struct, frozen=True):
    """Bound what a client may send and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 15.0
    idle_timeout_s: float = 75.0


class RoutingDocument(msgspec.Struct, frozen=True):
    """Hold one version of the routes, services and client accounts."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    accounts: tuple[Account, ...] = ()
    limits: RequestLimits = RequestLimits()


class UpstreamState(StrEnum):
    """Say whether an upstream takes new work."""

    READY = "ready"
    LEAVING = "leaving"


class UpstreamEntry(msgspec.Struct, frozen=True):
    """Describe one upstream as its own entry does.

    `instance` identifies one start, together with `started_ms` (Unix milliseconds),
    because an upstream may start again under the identifier that it had.
    """

    instance: str
    service: str
    address: str
    failure_domain: str
    slots: int
    state: UpstreamState
    started_ms: int = 0


class Snapshot(msgspec.Struct, frozen=True):
    """Hold what one read of the platform saw.

    `store_revision` is the platform's revision at the read of the entries. A document
    of None was not read, or is not newer than the one that the reader knew. The
    platform held no newer document than this one, or than the known one, at
    `document_revision`; 0 is unknown.
    """

    store_revision: int
    entries: tuple[UpstreamEntry, ...]
    document: RoutingDocument | None = None
    document_revision: int = 0
