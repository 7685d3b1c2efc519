"""Refuse what cannot make its deadline, and keep queues in the node."""

import math

import msgspec

from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.limits.settings import LimitsSettings

_LEARNING_RATE = 0.05
_AGEING_SHARE = 0.1


class AdmissionInput(msgspec.Struct, frozen=True):
    """Hold what decides whether a request can make its deadline; times in seconds."""

    request_id: str
    tokens_before: float
    rate_tokens_per_s: float
    needed_s: float
    remaining_s: float
    max_retry_after_s: float


class AdmissionOutcome(msgspec.Struct, frozen=True):
    """Hold the outcome with the expected wait in the node's queue in seconds."""

    is_admitted: bool
    wait_s: float
    retry_after_s: float | None


class AdmissionController:
    """Decide whether a request can make its deadline, from learned throughput.

    `rate_tokens_per_s` is the rate at which this node's queue is served.
    """

    __slots__ = ("_at", "_configured_rate", "_rate", "_settings", "refused")

    def __init__(self, settings: LimitsSettings, rate_tokens_per_s: float) -> None:
        self._settings = settings
        self._configured_rate = max(1.0, rate_tokens_per_s)
        self._rate = self._configured_rate
        self._at = -math.inf
        self.refused = 0

    @property
    def rate_tokens_per_s(self) -> float:
        """Return the learned service rate of the node's queue."""
        return self._rate

    def configure(self, settings: LimitsSettings, rate_tokens_per_s: float) -> None:
        """Take new settings; what was learned moves in proportion to the rate.

        The rate changes with each node or engine that comes or goes, so starting anew
        would forget what was learned several times an hour.
        """
        self._settings = settings
        rate = max(1.0, rate_tokens_per_s)
        self._rate = max(1.0, self._rate * rate / self._configured_rate)
        self._configured_rate = rate

    def record_served(self, tokens: float, elapsed_s: float, backlogged: bool) -> None:
        """Learn the service rate from a period in which the queue never emptied."""
        if backlogged and elapsed_s > 0.0:
            factor = 1.0 - math.exp(-_LEARNING_RATE * elapsed_s)
            self._rate += factor * (tokens / elapsed_s - self._rate)
            self._rate = max(1.0, self._rate)

    def queue_wait_s(self, tokens_before: float) -> float:
        """Return the expected wait in the node's queue in seconds."""
        return tokens_before / self._rate

    def check(
        self,
        tokens_before: float,
        needed_s: float,
        remaining_s: float,
        request_id: str = "",
    ) -> tuple[AdmissionInput, AdmissionOutcome]:
        """Decide whether a request can make its deadline; return what was decided on.

        `tokens_before` are served first, `needed_s` is the time an engine needs and
        `remaining_s` the time until the deadline.
        """
        made = AdmissionInput(
            request_id,
            tokens_before,
            self._rate,
            needed_s,
            remaining_s,
            self._settings.max_retry_after_s,
        )
        outcome = decide_admission(made)
        self.refused += not outcome.is_admitted
        return made, outcome


def decide_admission(made: AdmissionInput) -> AdmissionOutcome:
    """Decide whether a request can make its deadline; a pure function."""
    wait_s = made.tokens_before / made.rate_tokens_per_s
    if wait_s + made.needed_s <= made.remaining_s:
        return AdmissionOutcome(True, wait_s, None)
    retry_after_s = min(made.max_retry_after_s, max(1.0, wait_s))
    return AdmissionOutcome(False, wait_s, retry_after_s)


def admission_failure(made: AdmissionInput, outcome: AdmissionOutcome) -> Failure:
    """Return the failure that a caller gets for a refusal."""
    left = f"{made.remaining_s:.1f} s left"
    if made.needed_s > made.remaining_s:
        message = f"{made.needed_s:.1f} s of work with {left}"
    else:
        message = f"expected wait of {outcome.wait_s:.1f} s with {left}"
    kind = ErrorKind.DEADLINE_UNREACHABLE
    return Failure(kind, message, outcome.retry_after_s)


class EngineWindows:
    """Bound what a node lets wait in each engine, so that queues form in the node.

    An engine serves in order of priority and arrival and knows no accounts; only the
    node's queue is fair. The window is a time: a request is sent when the estimated
    prefill before it takes at most `engine_queue_s`.
    """

    __slots__ = ("_settings", "held_back")

    def __init__(self, settings: LimitsSettings) -> None:
        self._settings = settings
        self.held_back = 0

    def configure(self, settings: LimitsSettings) -> None:
        """Take new settings from the next event on."""
        self._settings = settings

    def is_open(
        self, queue_tokens: float, prefill_tokens_per_s: float, waited_s: float = 0.0
    ) -> bool:
        """Return whether one more request may be sent to an engine.

        The window grows by a tenth of the time the request has waited, so that a
        request for which no engine is ever idle comes to its turn.
        """
        window_s = self._settings.engine_queue_s + _AGEING_SHARE * waited_s
        is_open = queue_tokens <= window_s * prefill_tokens_per_s
        self.held_back += not is_open
        return is_open
