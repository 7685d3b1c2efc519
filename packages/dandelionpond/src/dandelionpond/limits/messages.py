"""Define the messages about shares of client account limits."""

import msgspec


class Share(msgspec.Struct, frozen=True):
    """A share of a limit in tokens per second and requests in flight."""

    tokens_per_s: float
    concurrency: int


class DemandReport(msgspec.Struct, frozen=True):
    """A node's demand on the limit of an account."""

    account: str
    tokens_per_s: float
    concurrency: float


class Grant(msgspec.Struct, frozen=True):
    """A share of an account's limit that a node is granted for `ttl_s` seconds."""

    account: str
    tokens_per_s: float
    concurrency: int
    ttl_s: float


class SendDemand(msgspec.Struct, frozen=True, tag=True):
    """A request to send demand reports to the aggregator node `to`."""

    to: str
    reports: tuple[DemandReport, ...]
