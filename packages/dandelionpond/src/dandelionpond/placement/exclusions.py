"""Decide which upstreams must not get a request, and why."""

from collections.abc import Collection, Mapping
from enum import StrEnum

import msgspec

from dandelionpond.placement.answer_marks import AnswerMarks
from dandelionpond.placement.jobs import JobTracker
from dandelionpond.published.messages import (
    Account,
    Route,
    UpstreamEntry,
    UpstreamState,
)


class Exclusion(StrEnum):
    """The reason why an upstream must not get a request.

    If several reasons apply, the first one of this list is stated. The names are also
    those of counters.
    """

    EVACUATED = "evacuated"
    OUTSIDE_HOMES = "outside_homes"
    LEAVING = "leaving"
    TRIED = "tried"
    COLD = "cold"
    COLD_LIMIT = "cold_limit"
    PAUSED = "paused"
    RAMPING = "ramping"


# Reasons that only operators end. They are stated first and are not worth a wait.
OPERATOR_EXCLUSIONS = frozenset({Exclusion.EVACUATED, Exclusion.OUTSIDE_HOMES})
# Reasons that do not end while a request waits.
LASTING_EXCLUSIONS = OPERATOR_EXCLUSIONS | {Exclusion.LEAVING, Exclusion.TRIED}


class Requirements(msgspec.Struct, frozen=True):
    """What a request requires of its upstreams.

    `homes` are the regions in which upstreams may serve it; None stands for all.
    """

    homes: frozenset[str] | None = None


def requirements_of(route: Route, account: Account | None) -> Requirements:
    """Return what a route and a client account require of the upstreams of a request.

    If both have allowed regions, only those in both are allowed.
    """
    homes: frozenset[str] | None = None
    for regions in (route.allowed_regions, account.allowed_regions if account else ()):
        if regions:
            homes = frozenset(regions) if homes is None else homes.intersection(regions)
    return Requirements(homes)


class ExclusionTable:
    """The table of reasons why upstreams must not get a request.

    `regions` maps failure domains to regions. An upstream in a domain without a region
    is outside of all homes.
    """

    __slots__ = ("_jobs", "_marks", "_regions")

    def __init__(
        self, marks: AnswerMarks, jobs: JobTracker, regions: Mapping[str, str]
    ) -> None:
        self._marks = marks
        self._jobs = jobs
        self._regions = regions

    def operator_reason(
        self,
        entry: UpstreamEntry,
        requirements: Requirements,
        evacuated_domains: Collection[str],
    ) -> Exclusion | None:
        """Return the reason by which operators exclude an upstream; None without one.

        It also holds for upstreams that accept requests.
        """
        if entry.failure_domain in evacuated_domains:
            return Exclusion.EVACUATED
        homes = requirements.homes
        if homes is not None and self._regions.get(entry.failure_domain) not in homes:
            return Exclusion.OUTSIDE_HOMES
        return None

    def reason(
        self,
        entry: UpstreamEntry,
        requirements: Requirements,
        evacuated_domains: Collection[str],
        now: float,
    ) -> Exclusion | None:
        """Return why an upstream must not get a request; None if it may get it."""
        reason = self.operator_reason(entry, requirements, evacuated_domains)
        if reason is not None:
            return reason
        if entry.state is not UpstreamState.READY or self._marks.is_leaving(entry, now):
            return Exclusion.LEAVING
        if now < self._marks.paused_until(entry):
            return Exclusion.PAUSED
        if (
            self._marks.is_ramping(entry, now)
            and self._jobs.load(entry.instance, now).requests >= entry.slots
        ):
            return Exclusion.RAMPING
        return None


def is_hopeless(
    requirements: Requirements, reasons: Collection[Exclusion], candidates: int
) -> bool:
    """Return whether a request has no upstream left because operators excluded them.

    `reasons` are those of the upstreams of its service that must not get it, and
    `candidates` is the number of the others. A request without any upstream for other
    reasons may wait for one to return.
    """
    if candidates:
        return False
    if not reasons:
        return requirements.homes is not None
    return LASTING_EXCLUSIONS.issuperset(reasons) and not (
        OPERATOR_EXCLUSIONS.isdisjoint(reasons)
    )
