"""Define the messages of the limits slice."""

import msgspec


class Share(msgspec.Struct, frozen=True):
    """Hold a part of a limit: tokens per second and requests in flight."""

    tokens_per_s: float
    concurrency: int


class DemandReport(msgspec.Struct, frozen=True):
    """Report what a node could use of an account's limit."""

    account: str
    tokens_per_s: float
    concurrency: float


class Grant(msgspec.Struct, frozen=True):
    """Give a node a part of an account's limit for `ttl_s` seconds."""

    account: str
    tokens_per_s: float
    concurrency: int
    ttl_s: float


class SendDemand(msgspec.Struct, frozen=True, tag=True):
    """Ask for demand to be sent to the aggregator node `to`."""

    to: str
    reports: tuple[DemandReport, ...]
