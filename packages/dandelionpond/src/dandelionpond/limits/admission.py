"""Refuse requests that cannot meet their deadline, and limit engine queues."""

import math

import msgspec

from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.limits.settings import LimitsSettings

# Weight per second of a new measurement of the service rate.
_LEARNING_RATE = 0.05
# Growth of an engine's window per second that the request has waited, in seconds.
_WINDOW_GROWTH = 0.1


class AdmissionInput(msgspec.Struct, frozen=True):
    """Inputs of an admission decision; times are in seconds."""

    request_id: str
    tokens_before: float
    rate_tokens_per_s: float
    needed_s: float
    remaining_s: float
    max_retry_after_s: float


class AdmissionOutcome(msgspec.Struct, frozen=True):
    """Result of an admission decision; `wait_s` is the expected wait in the queue."""

    is_admitted: bool
    wait_s: float
    retry_after_s: float | None


class AdmissionController:
    """Controller that decides whether requests can meet their deadline.

    It uses the measured service rate. `rate_tokens_per_s` is the configured rate at
    which this node's queue is served.
    """

    __slots__ = ("_configured_rate", "_rate", "_settings", "refused")

    def __init__(self, settings: LimitsSettings, rate_tokens_per_s: float) -> None:
        self._settings = settings
        self._configured_rate = max(1.0, rate_tokens_per_s)
        self._rate = self._configured_rate
        self.refused = 0

    @property
    def rate_tokens_per_s(self) -> float:
        """Return the estimated service rate of the node's queue."""
        return self._rate

    def configure(self, settings: LimitsSettings, rate_tokens_per_s: float) -> None:
        """Apply new settings and scale the estimated rate with the configured rate.

        The configured rate changes with each node or engine that joins or leaves, so
        resetting the estimate would discard it several times an hour.
        """
        self._settings = settings
        rate = max(1.0, rate_tokens_per_s)
        self._rate = max(1.0, self._rate * rate / self._configured_rate)
        self._configured_rate = rate

    def record_served(self, tokens: float, elapsed_s: float, backlogged: bool) -> None:
        """Update the estimated rate with the tokens served in a period.

        Only a period in which the queue never emptied (`backlogged`) counts, because
        otherwise low demand would lower the estimate.
        """
        if backlogged and elapsed_s > 0.0:
            weight = 1.0 - math.exp(-_LEARNING_RATE * elapsed_s)
            self._rate += weight * (tokens / elapsed_s - self._rate)
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
        """Decide whether a request can meet its deadline; return input and outcome.

        `tokens_before` are the tokens served before the request, `needed_s` is the time
        that an engine needs for it and `remaining_s` the time until its deadline.
        """
        admission_input = AdmissionInput(
            request_id,
            tokens_before,
            self._rate,
            needed_s,
            remaining_s,
            self._settings.max_retry_after_s,
        )
        outcome = decide_admission(admission_input)
        self.refused += not outcome.is_admitted
        return admission_input, outcome


def decide_admission(admission_input: AdmissionInput) -> AdmissionOutcome:
    """Decide whether a request can meet its deadline; a pure function."""
    wait_s = admission_input.tokens_before / admission_input.rate_tokens_per_s
    if wait_s + admission_input.needed_s <= admission_input.remaining_s:
        return AdmissionOutcome(True, wait_s, None)
    retry_after_s = min(admission_input.max_retry_after_s, max(1.0, wait_s))
    return AdmissionOutcome(False, wait_s, retry_after_s)


def admission_failure(
    admission_input: AdmissionInput, outcome: AdmissionOutcome
) -> Failure:
    """Return the failure for the caller of a refused request."""
    time_left = f"{admission_input.remaining_s:.1f} s left until the deadline"
    if admission_input.needed_s > admission_input.remaining_s:
        message = f"{admission_input.needed_s:.1f} s of work but only {time_left}"
    else:
        message = f"expected wait of {outcome.wait_s:.1f} s with {time_left}"
    kind = ErrorKind.DEADLINE_UNREACHABLE
    return Failure(kind, message, outcome.retry_after_s)


class EngineWindows:
    """Limits on what a node queues in each engine, so that requests queue in the node.

    An engine serves by priority and arrival and does not know accounts; only the node's
    queue is fair between them. The window is a time: a request is sent if the estimated
    prefill queued before it takes at most `engine_queue_s`.
    """

    __slots__ = ("_settings", "held_back")

    def __init__(self, settings: LimitsSettings) -> None:
        self._settings = settings
        self.held_back = 0

    def configure(self, settings: LimitsSettings) -> None:
        """Apply new settings from the next event on."""
        self._settings = settings

    def is_open(
        self, queue_tokens: float, prefill_tokens_per_s: float, waited_s: float = 0.0
    ) -> bool:
        """Return whether one more request may be sent to an engine.

        The window grows by a tenth of the time the request has waited, so that it is
        eventually sent even if no engine ever becomes idle.
        """
        window_s = self._settings.engine_queue_s + _WINDOW_GROWTH * waited_s
        is_open = queue_tokens <= window_s * prefill_tokens_per_s
        self.held_back += not is_open
        return is_open
