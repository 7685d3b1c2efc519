"""Admit requests by client account, in tokens and concurrency."""

import math
from collections.abc import Collection

import msgspec

from dandelionpond.errors import ErrorKind
from dandelionpond.limits.messages import Share
from dandelionpond.limits.settings import AccountLimits, LimitsSettings


class Admitted(msgspec.Struct, frozen=True, tag=True):
    """State that a request is admitted and its tokens are charged."""

    account: str
    tokens: float


class LimitInput(msgspec.Struct, frozen=True):
    """Hold what decides whether an account's limit admits a request.

    `level` and `size` are those of the account's bucket in tokens; `tokens_per_s` and
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
    """Hold the outcome: no kind means admitted; the time is in seconds."""

    kind: ErrorKind | None
    retry_after_s: float | None


class Refused(msgspec.Struct, frozen=True, tag=True):
    """State why a request is refused and when to come back, in seconds.

    `limit_input` is the recorded input; it is None for an account without a limit.
    """

    kind: ErrorKind
    retry_after_s: float | None
    limit_input: LimitInput | None = None

    @property
    def outcome(self) -> LimitOutcome:
        """Return the recorded outcome."""
        return LimitOutcome(self.kind, self.retry_after_s)


class _Bucket:
    __slots__ = ("at", "in_flight", "level", "limits", "share")

    def __init__(self, limits: AccountLimits, share: Share, now: float) -> None:
        self.limits = limits
        self.share = share
        self.at = now
        self.in_flight = 0
        self.level = self.size

    @property
    def size(self) -> float:
        """Return this node's part of the burst, in proportion to its rate."""
        part = self.share.tokens_per_s / max(1e-9, self.limits.tokens_per_s)
        return self.limits.burst_tokens * min(1.0, part)


class AccountLimiter:
    """Own one token bucket and one counter for each client account.

    A prompt may be larger than a node's part of the burst. Such a prompt is admitted
    when the bucket is full and leaves a debt that delays the account's next requests;
    so in any T seconds a node admits at most `rate * T` + its part of the burst + one
    prompt. Only accounts in the settings have a bucket; others are refused.
    """

    __slots__ = ("_buckets", "_settings", "refused")

    def __init__(self, settings: LimitsSettings) -> None:
        self._settings = settings
        self._buckets: dict[str, _Bucket] = {}
        self.refused = 0

    def set_shares(
        self, limits: dict[str, AccountLimits], shares: dict[str, Share], now: float
    ) -> None:
        """Replace the limits and this node's share of them for each account.

        A bucket keeps its level, bounded by its new size, so that a changed share
        gives nothing away.
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
            self._buckets[account] = _Bucket(limits, share, now)
            return
        _refill(bucket, now)
        bucket.limits, bucket.share = limits, share
        bucket.level = min(bucket.level, bucket.size)

    def retain(self, accounts: Collection[str]) -> None:
        """Forget accounts that are not named and have no request in flight."""
        for name in [name for name in self._buckets if name not in accounts]:
            if not self._buckets[name].in_flight:
                del self._buckets[name]
            else:
                self._buckets[name].share = Share(0.0, 0)

    def configure(self, settings: LimitsSettings) -> None:
        """Take new settings from the next event on."""
        self._settings = settings

    def in_flight(self, account: str) -> int:
        """Return the requests of an account that have not ended."""
        bucket = self._buckets.get(account)
        return bucket.in_flight if bucket else 0

    def admit(
        self, account: str, tokens: float, now: float, request_id: str = ""
    ) -> Admitted | Refused:
        """Admit a request and charge its tokens, or say when to come back."""
        bucket = self._buckets.get(account)
        if bucket is None:
            self.refused += 1
            return Refused(ErrorKind.NOT_PERMITTED, None)
        _refill(bucket, now)
        made = LimitInput(
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
        outcome = decide_limit(made)
        if outcome.kind is not None:
            self.refused += 1
            return Refused(outcome.kind, outcome.retry_after_s, made)
        bucket.level -= tokens
        bucket.in_flight += 1
        return Admitted(account, tokens)

    def finish(self, admitted: Admitted, used_tokens: float, now: float) -> None:
        """Record the end of a request and return or charge the difference in tokens."""
        bucket = self._buckets.get(admitted.account)
        if bucket is None:
            return
        _refill(bucket, now)
        bucket.in_flight = max(0, bucket.in_flight - 1)
        level = bucket.level + admitted.tokens - used_tokens
        bucket.level = min(bucket.size, level)


def decide_limit(made: LimitInput) -> LimitOutcome:
    """Decide whether an account's limit admits a request; a pure function."""
    if made.in_flight >= made.concurrency:
        return LimitOutcome(ErrorKind.CONCURRENCY_LIMITED, made.report_interval_s)
    missing = min(made.tokens, made.size) - made.level
    rate = made.tokens_per_s
    if missing <= 1e-6 and rate > 0.0:
        return LimitOutcome(None, None)
    wait = missing / rate if rate > 0.0 else math.inf
    retry_after_s = min(made.max_retry_after_s, max(0.001, wait))
    return LimitOutcome(ErrorKind.RATE_LIMITED, retry_after_s)


def _refill(bucket: _Bucket, now: float) -> None:
    elapsed = max(0.0, now - bucket.at)
    gained = bucket.level + elapsed * bucket.share.tokens_per_s
    bucket.level = min(bucket.size, gained)
    bucket.at = max(bucket.at, now)
