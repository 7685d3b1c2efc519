"""Limit client accounts by token rate and concurrency."""

import math
from collections.abc import Collection

import msgspec

from dandelionpond.errors import ErrorKind
from dandelionpond.limits.messages import Share
from dandelionpond.limits.settings import AccountLimits, LimitsSettings


class Admitted(msgspec.Struct, frozen=True, tag=True):
    """Admission of a request; its tokens were charged."""

    account: str
    tokens: float


class LimitInput(msgspec.Struct, frozen=True):
    """Inputs of the decision whether an account's limit admits a request.

    `level` and `size` describe the account's token bucket in tokens; `tokens_per_s` and
    `concurrency` are this node's share of the limit.
    """

    request_id: str
    account: str
    tokens: float
    level: float
    size: float
    tokens_per_s: float
    in_flight: int
    concurrency: int
    report_interval_s: float
    max_retry_after_s: float


class LimitOutcome(msgspec.Struct, frozen=True):
    """Result of a limit decision; `kind` is None if the request is admitted."""

    kind: ErrorKind | None
    retry_after_s: float | None


class Refused(msgspec.Struct, frozen=True, tag=True):
    """Refusal of a request, with the reason and the seconds after which to retry.

    `limit_input` is the recorded input, or None for an account without a limit.
    """

    kind: ErrorKind
    retry_after_s: float | None
    limit_input: LimitInput | None = None

    @property
    def outcome(self) -> LimitOutcome:
        """Return the recorded outcome."""
        return LimitOutcome(self.kind, self.retry_after_s)


class _TokenBucket:
    __slots__ = ("in_flight", "level", "limits", "refilled_at", "share")

    def __init__(self, limits: AccountLimits, share: Share, now: float) -> None:
        self.limits = limits
        self.share = share
        self.refilled_at = now
        self.in_flight = 0
        self.level = self.size

    @property
    def size(self) -> float:
        """Return this node's part of the burst, in proportion to its share."""
        fraction = self.share.tokens_per_s / max(1e-9, self.limits.tokens_per_s)
        return self.limits.burst_tokens * min(1.0, fraction)


class AccountLimiter:
    """Token bucket and count of requests in flight per client account.

    A prompt may be larger than the bucket, which is this node's part of the burst. Such
    a prompt is admitted when the bucket is full and makes its level negative, which
    delays the account's next requests. In any T seconds a node therefore admits at most
    `rate * T` + its part of the burst + one prompt. Only accounts in the settings have
    a bucket; requests of others are refused.
    """

    __slots__ = ("_buckets", "_settings", "refused")

    def __init__(self, settings: LimitsSettings) -> None:
        self._settings = settings
        self._buckets: dict[str, _TokenBucket] = {}
        self.refused = 0

    def set_shares(
        self, limits: dict[str, AccountLimits], shares: dict[str, Share], now: float
    ) -> None:
        """Replace the limits and this node's share of them for each account.

        A bucket keeps its level up to its new size, so that a changed share grants no
        extra tokens.
        """
        self.retain(limits)
        for name, value in limits.items():
            self.set_share(name, value, shares.get(name, Share(0.0, 0)), now)

    def set_share(
        self, account: str, limits: AccountLimits, share: Share, now: float
    ) -> None:
        """Set the limits and this node's share of them for one account."""
        bucket = self._buckets.get(account)
        if bucket is None:
            self._buckets[account] = _TokenBucket(limits, share, now)
            return
        _refill(bucket, now)
        bucket.limits, bucket.share = limits, share
        bucket.level = min(bucket.level, bucket.size)

    def retain(self, accounts: Collection[str]) -> None:
        """Drop the buckets of accounts that are not in `accounts`.

        A bucket with requests in flight stays without a share, to count their ends.
        """
        for name in [name for name in self._buckets if name not in accounts]:
            if not self._buckets[name].in_flight:
                del self._buckets[name]
            else:
                self._buckets[name].share = Share(0.0, 0)

    def configure(self, settings: LimitsSettings) -> None:
        """Apply new settings from the next event on."""
        self._settings = settings

    def in_flight(self, account: str) -> int:
        """Return the number of an account's requests in flight."""
        bucket = self._buckets.get(account)
        return bucket.in_flight if bucket else 0

    def admit(
        self, account: str, tokens: float, now: float, request_id: str = ""
    ) -> Admitted | Refused:
        """Admit a request and charge its tokens, or refuse it with a time to retry."""
        bucket = self._buckets.get(account)
        if bucket is None:
            self.refused += 1
            return Refused(ErrorKind.NOT_PERMITTED, None)
        _refill(bucket, now)
        limit_input = LimitInput(
            request_id,
            account,
            tokens,
            bucket.level,
            bucket.size,
            bucket.share.tokens_per_s,
            bucket.in_flight,
            bucket.share.concurrency,
            self._settings.report_interval_s,
            self._settings.max_retry_after_s,
        )
        outcome = decide_limit(limit_input)
        if outcome.kind is not None:
            self.refused += 1
            return Refused(outcome.kind, outcome.retry_after_s, limit_input)
        bucket.level -= tokens
        bucket.in_flight += 1
        return Admitted(account, tokens)

    def finish(self, admitted: Admitted, used_tokens: float, now: float) -> None:
        """Record the end of a request and correct the charge to the tokens used."""
        bucket = self._buckets.get(admitted.account)
        if bucket is None:
            return
        _refill(bucket, now)
        bucket.in_flight = max(0, bucket.in_flight - 1)
        level = bucket.level + admitted.tokens - used_tokens
        bucket.level = min(bucket.size, level)


def decide_limit(limit_input: LimitInput) -> LimitOutcome:
    """Decide whether an account's limit admits a request; a pure function."""
    if limit_input.in_flight >= limit_input.concurrency:
        return LimitOutcome(
            ErrorKind.CONCURRENCY_LIMITED, limit_input.report_interval_s
        )
    missing = min(limit_input.tokens, limit_input.size) - limit_input.level
    rate = limit_input.tokens_per_s
    if missing <= 1e-6 and rate > 0.0:
        return LimitOutcome(None, None)
    wait = missing / rate if rate > 0.0 else math.inf
    retry_after_s = min(limit_input.max_retry_after_s, max(0.001, wait))
    return LimitOutcome(ErrorKind.RATE_LIMITED, retry_after_s)


def _refill(bucket: _TokenBucket, now: float) -> None:
    elapsed = max(0.0, now - bucket.refilled_at)
    refilled_level = bucket.level + elapsed * bucket.share.tokens_per_s
    bucket.level = min(bucket.size, refilled_level)
    bucket.refilled_at = max(bucket.refilled_at, now)
