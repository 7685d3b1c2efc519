"""Retry policy: whether a request is retried, or how it ends for the client."""

import msgspec

from dandelionpond.errors import ErrorKind
from dandelionpond.forwarding.messages import (
    BrokenResponse,
    DeadlineExceeded,
    Errored,
    NotSent,
    Outcome,
    Rejected,
    SilentUpstream,
)

# Failures to send, such as connections that could not be opened, do not count against
# `max_attempts`. This limits them, so that a network partition does not use up the
# whole time of a request.
MAX_UNSENT = 4
# Seconds that must remain for another attempt to be able to succeed.
MIN_REMAINING_S = 0.05


class Progress(msgspec.Struct):
    """The attempts of one request so far.

    `sent` counts the attempts that reached an upstream and `unsent` the ones that did
    not. `has_response_started` is whether the client received a part of the response.
    """

    may_repeat: bool
    max_attempts: int
    sent: int = 0
    unsent: int = 0
    may_have_run: bool = False
    has_response_started: bool = False


class Retry(msgspec.Struct, frozen=True, tag=True):
    """A step that tries another upstream.

    `takes_budget` is whether the retry counts against the budget, which it does if an
    earlier attempt reached an upstream.
    """

    takes_budget: bool


class ForwardFailure(msgspec.Struct, frozen=True, tag=True):
    """A step that forwards the upstream's failure response to the client."""


class Refuse(msgspec.Struct, frozen=True, tag=True):
    """A step that sends an error response of this node."""

    kind: ErrorKind


class Disconnect(msgspec.Struct, frozen=True, tag=True):
    """A step that closes the client's connection.

    It is taken if a started response cannot be completed.
    """


NextStep = Retry | ForwardFailure | Refuse | Disconnect


def next_step(
    outcome: Outcome, progress: Progress, remaining_s: float, has_budget: bool
) -> NextStep:
    """Record the outcome of an attempt in `progress` and return what to do next.

    `has_budget` is whether the service's retry budget permits a retry.
    """
    match outcome:
        case NotSent():
            progress.unsent += 1
        case Rejected():
            progress.sent += 1
        case BrokenResponse() | SilentUpstream() | DeadlineExceeded() | Errored():
            progress.sent += 1
            progress.may_have_run = True
    if _may_retry(progress, remaining_s):
        takes_budget = progress.sent > 0
        if has_budget or not takes_budget:
            return Retry(takes_budget)
    if progress.has_response_started:
        return Disconnect()
    if isinstance(outcome, Errored):
        return ForwardFailure()
    return Refuse(_error_kind(outcome, progress, remaining_s))


def _may_retry(progress: Progress, remaining_s: float) -> bool:
    if remaining_s < MIN_REMAINING_S or progress.unsent >= MAX_UNSENT:
        return False
    if progress.sent >= progress.max_attempts:
        return False
    return progress.may_repeat or not progress.may_have_run


def _error_kind(outcome: Outcome, progress: Progress, remaining_s: float) -> ErrorKind:
    is_late = remaining_s < MIN_REMAINING_S
    if progress.may_have_run:
        if is_late:
            return ErrorKind.DEADLINE_AFTER_SEND
        return ErrorKind.UPSTREAM_FAILED
    if is_late:
        return ErrorKind.DEADLINE_BEFORE_SEND
    if isinstance(outcome, Rejected):
        return ErrorKind.UPSTREAM_REFUSED
    return ErrorKind.NO_UPSTREAM
