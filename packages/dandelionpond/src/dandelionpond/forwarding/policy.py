"""Decide whether a request is tried again and what its client is told otherwise."""

import msgspec

from dandelionpond.errors import ErrorKind
from dandelionpond.forwarding.messages import (
    Broken,
    Errored,
    NotSent,
    Outcome,
    Rejected,
    Silent,
)

# Connections that could not be opened are not attempts, since nothing was sent; this
# bounds them, so that a cut does not keep a request busy for all its time.
MAX_UNSENT = 4
# Time in seconds below which another attempt cannot bring an answer.
MIN_REMAINING_S = 0.05


class Progress(msgspec.Struct):
    """Hold what happened to one request so far.

    `has_response_started` is whether the client received a part of the answer.
    """

    may_repeat: bool
    max_attempts: int
    sent: int = 0
    unsent: int = 0
    may_have_run: bool = False
    has_response_started: bool = False


class TryAgain(msgspec.Struct, frozen=True, tag=True):
    """Choose another upstream; `takes_budget` if an upstream was reached before."""

    takes_budget: bool


class Deliver(msgspec.Struct, frozen=True, tag=True):
    """Pass the upstream's own failure on."""


class Refuse(msgspec.Struct, frozen=True, tag=True):
    """Answer with an error kind."""

    kind: ErrorKind


class BreakOff(msgspec.Struct, frozen=True, tag=True):
    """Close the channel: the client has a part of an answer that cannot go on."""


Next = TryAgain | Deliver | Refuse | BreakOff


def after(
    outcome: Outcome, progress: Progress, remaining_s: float, has_budget: bool
) -> Next:
    """Return what follows the outcome of an attempt, which it also records.

    `has_budget` is whether the service's retry budget permits a further send.
    """
    match outcome:
        case NotSent():
            progress.unsent += 1
        case Rejected():
            progress.sent += 1
        case Broken() | Silent() | Errored():
            progress.sent += 1
            progress.may_have_run = True
    if _may_try_again(progress, remaining_s):
        takes_budget = progress.sent > 0
        if has_budget or not takes_budget:
            return TryAgain(takes_budget)
    if progress.has_response_started:
        return BreakOff()
    if isinstance(outcome, Errored):
        return Deliver()
    return Refuse(_kind(outcome, progress, remaining_s))


def _may_try_again(progress: Progress, remaining_s: float) -> bool:
    if remaining_s < MIN_REMAINING_S or progress.unsent >= MAX_UNSENT:
        return False
    if progress.sent >= progress.max_attempts:
        return False
    return progress.may_repeat or not progress.may_have_run


def _kind(outcome: Outcome, progress: Progress, remaining_s: float) -> ErrorKind:
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
