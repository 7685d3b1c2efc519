"""Track the outstanding jobs of this node and its peers on each upstream.

All requests reach the engines through the nodes, so the sum of the nodes' outstanding
jobs is a more recent estimate of an engine's load than the engine's own load reports,
which lag by a few hundred milliseconds.
"""

from collections.abc import Callable, Container, Iterable
from enum import IntEnum

import msgspec

from dandelionpond.placement.ended_starts import EndedStarts

# Share of a prefill that counts as remaining until the engine reports its end, because
# predicted prefill times are too short by about this share.
RESIDUAL_PREFILL_SHARE = 0.05

# Minimum time in seconds without a message after which the jobs of a peer are dropped:
# the peer has stopped and its connections have ended, or it is partitioned from this
# node.
PEER_JOBS_TTL_S = 2.5
# A held request waits for a part with at least this prefill time in seconds, even if
# the part was sent after the request's planned start. Engines prefill the newest part
# first, so sending the request would delay the part's prompt by more than the wait.
LONG_PART_S = 0.1
# Time in seconds for which the starts of peers' jobs are known after their end.
STARTS_PERIOD_S = 1.0


class Phase(IntEnum):
    """The work that an upstream does for a job.

    PREFILL and DECODE are the two phases of a prompt on its main engine;
    HELPER_PREFILL is the prefill of one part on another engine. CALL is a plain call.
    HOLDING means that the engine only keeps reserved memory for the prompt.
    """

    PREFILL = 0
    DECODE = 1
    HELPER_PREFILL = 2
    CALL = 3
    HOLDING = 4


# Phases of jobs that take no slot of their upstream.
_WITHOUT_SLOT = frozenset((Phase.HELPER_PREFILL, Phase.HOLDING))


class Job(msgspec.Struct, frozen=True):
    """The work that one request has on one upstream.

    `prefill_s` is the prefill time of the prompt's part on an idle engine. `value` is
    the weight of the request relative to others. `is_late` means that the request has
    already missed its target and can only still be completed. `age_s` is the time from
    sending the job to the message that reports it; it is negative for a job that is to
    be sent later. A job with `is_held` is kept back at its node until earlier prefills
    on its engines have ended, even past its planned start.
    """

    instance: str
    phase: Phase
    age_s: float
    prefill_s: float = 0.0
    context_tokens: int = 0
    memory_tokens: int = 0
    gap_target_s: float = 0.0
    value: float = 1.0
    is_late: bool = False
    is_held: bool = False


class Stream(msgspec.Struct, frozen=True):
    """A response stream that is being generated or will be after prefill."""

    gap_target_s: float
    value: float
    is_late: bool = False


class Load(msgspec.Struct, frozen=True):
    """The outstanding work on one upstream; times are in seconds.

    `backlog_s` is the remaining prefill time and `memory_tokens` the maximum memory
    that the upstream's jobs need. `helper_prefills` counts parts of prompts whose main
    engine is another one. `decoding` are the streams that this engine generates,
    `prefilling` those that it will generate after their prefill.
    """

    requests: int = 0
    helper_prefills: int = 0
    context_tokens: int = 0
    backlog_s: float = 0.0
    memory_tokens: int = 0
    decoding: tuple[Stream, ...] = ()
    prefilling: tuple[Stream, ...] = ()


IDLE = Load()


class JobChanges(msgspec.Struct, frozen=True):
    """The upstreams whose jobs have changed.

    `has_long_part` means that one of the changed jobs has a long prefill. All nodes
    place long prompts on engines of all failure domains.
    """

    instances: frozenset[str]
    has_long_part: bool


class _TimedJob:
    """A job with its start in local monotonic seconds, which replaces `age_s`."""

    __slots__ = ("is_own", "job", "started_at")

    def __init__(self, job: Job, started_at: float, is_own: bool = True) -> None:
        self.job = job
        self.started_at = started_at
        self.is_own = is_own


class JobTracker:
    """The outstanding jobs of this node's requests and of its peers.

    Times are monotonic seconds of this node. With `ended_starts`, jobs of peers that
    began in the last second count as starts after their end too.
    """

    __slots__ = (
        "_by_instance",
        "_changed_instances",
        "_has_long_change",
        "_own",
        "_peers",
        "change_count",
        "ended_starts",
        "on_change",
    )

    def __init__(self) -> None:
        self._own: dict[str, list[_TimedJob]] = {}
        self._peers: dict[str, tuple[float, list[_TimedJob]]] = {}
        self._by_instance: dict[str, list[_TimedJob]] | None = None
        self._changed_instances: set[str] = set()
        self._has_long_change = False
        # Incremented when this node's jobs change and peers need an update.
        self.change_count = 0
        self.ended_starts: EndedStarts | None = None
        self.on_change: Callable[[], None] = _no_op

    @property
    def own_request_count(self) -> int:
        """Return how many requests of this node have outstanding jobs."""
        return len(self._own)

    def start(self, request: str, jobs: Iterable[Job], now: float) -> None:
        """Set the jobs of one of this node's requests, replacing earlier ones."""
        timed_jobs = [_TimedJob(job, now - job.age_s) for job in jobs]
        earlier_jobs = self._own.get(request, [])
        self._own[request] = timed_jobs
        self._notify_change(earlier_jobs + timed_jobs)

    def take_changes(self) -> JobChanges:
        """Return the changes of this node's jobs since the last call."""
        changes = JobChanges(frozenset(self._changed_instances), self._has_long_change)
        self._changed_instances.clear()
        self._has_long_change = False
        return changes

    def mark_sent(self, request: str, now: float) -> None:
        """Record that a held request is sent now."""
        timed_jobs = self._own.get(request)
        if timed_jobs is None:
            return
        self._own[request] = [
            _TimedJob(msgspec.structs.replace(timed_job.job, is_held=False), now)
            for timed_job in timed_jobs
        ]
        self._notify_change(timed_jobs)

    def mark_decoding(self, request: str) -> None:
        """Record the end of a request's prefill, on the main engine and the helpers."""
        timed_jobs = self._own.get(request)
        if timed_jobs is None:
            return
        self._own[request] = [
            _TimedJob(
                msgspec.structs.replace(timed_job.job, phase=phase),
                timed_job.started_at,
            )
            for timed_job in timed_jobs
            if (phase := _phase_after_prefill(timed_job.job)) is not None
        ]
        self._notify_change(timed_jobs)

    def mark_late(self, request: str) -> None:
        """Record that a request has missed its target."""
        timed_jobs = self._own.get(request)
        if timed_jobs is None:
            return
        self._own[request] = [
            _TimedJob(
                msgspec.structs.replace(timed_job.job, is_late=True),
                timed_job.started_at,
            )
            for timed_job in timed_jobs
        ]
        self._by_instance = None

    def finish(self, request: str) -> None:
        """Remove the jobs of a request."""
        timed_jobs = self._own.pop(request, None)
        if timed_jobs is not None:
            self._notify_change(timed_jobs)

    def own_jobs(self, now: float) -> tuple[Job, ...]:
        """Return this node's jobs with their current ages, as sent to peers."""
        return tuple(
            msgspec.structs.replace(
                timed_job.job, age_s=round(now - timed_job.started_at, 3)
            )
            for timed_jobs in self._own.values()
            for timed_job in timed_jobs
        )

    def requests_at(self, instances: Container[str]) -> list[str]:
        """Return this node's requests that have jobs on some of these upstreams."""
        return [
            request
            for request, timed_jobs in self._own.items()
            if any(timed_job.job.instance in instances for timed_job in timed_jobs)
        ]

    def update_peer(self, peer: str, jobs: Iterable[Job], now: float) -> None:
        """Set the jobs of a peer from its latest message, replacing earlier ones."""
        timed_jobs = [_TimedJob(job, now - job.age_s, is_own=False) for job in jobs]
        if self.ended_starts is not None and peer in self._peers:
            before = _sent(self._peers[peer][1])
            since = now - STARTS_PERIOD_S
            self.ended_starts.record_ends(before, _sent(timed_jobs), since)
        self._peers[peer] = now, timed_jobs
        self._by_instance = None

    def remove_peer(self, peer: str) -> None:
        """Drop the jobs of a peer that has stopped."""
        if self._peers.pop(peer, None) is not None:
            self._by_instance = None

    def expire_peers(self, now: float, silence_limit_s: Callable[[str], float]) -> None:
        """Drop the jobs of peers that have been silent for too long.

        `silence_limit_s` returns the time in seconds after which a peer is not live. A
        peer without changes sends only regular heartbeats, which are rare in a large
        fleet.
        """
        for peer, (heard_at, _) in list(self._peers.items()):
            if now - heard_at > max(PEER_JOBS_TTL_S, silence_limit_s(peer)):
                self.remove_peer(peer)

    def load(self, instance: str, now: float) -> Load:
        """Return the outstanding work on one upstream."""
        timed_jobs = self._jobs_by_instance().get(instance)
        if not timed_jobs:
            return IDLE
        return _summarize(timed_jobs, now)

    def peer_starts(self, instance: str, since: float) -> int:
        """Return how many known jobs of peers on an upstream began after a time.

        That is at most `STARTS_PERIOD_S` ago. Those that are still held have not begun.
        """
        outstanding = sum(
            timed_job.started_at >= since
            and not timed_job.is_own
            and not timed_job.job.is_held
            for timed_job in self._jobs_by_instance().get(instance, ())
        )
        if self.ended_starts is None:
            return outstanding
        return outstanding + self.ended_starts.count(instance, since)

    def slots_in_use(self, instance: str) -> int:
        """Return the number of requests that take a slot of an upstream."""
        return sum(
            timed_job.job.phase not in _WITHOUT_SLOT
            for timed_job in self._jobs_by_instance().get(instance, ())
        )

    def main_jobs(self, instance: str, now: float) -> list[tuple[Job, float]]:
        """Return the jobs that take a slot of an upstream, with their ages."""
        return [
            (timed_job.job, now - timed_job.started_at)
            for timed_job in self._jobs_by_instance().get(instance, ())
            if timed_job.job.phase not in _WITHOUT_SLOT
        ]

    def earlier_prefills_end_at(self, request: str, now: float) -> float | None:
        """Return the expected end of prefills ahead of a held request; None if none.

        Only prefills on the request's own engines count. Held requests are sent in the
        order of their planned starts. All nodes see the same order, so two requests
        cannot wait for each other.
        """
        by_instance = self._jobs_by_instance()
        ends = []
        for held_job in self._own.get(request, ()):
            end = None
            for other in by_instance.get(held_job.job.instance, ()):
                if other is not held_job and _must_precede(other, held_job):
                    start = max(other.started_at, now if other.job.is_held else 0.0)
                    end = (
                        max(start, start if end is None else end) + other.job.prefill_s
                    )
            if end is not None:
                ends.append(end)
        return max(ends, default=None)

    def _notify_change(self, timed_jobs: list[_TimedJob]) -> None:
        self._by_instance = None
        # Plain calls end before peers could make use of an update.
        changed = [
            timed_job.job
            for timed_job in timed_jobs
            if timed_job.job.phase is not Phase.CALL
        ]
        if changed:
            self.change_count += 1
            self._changed_instances.update(job.instance for job in changed)
            self._has_long_change |= any(
                job.prefill_s >= LONG_PART_S for job in changed
            )
            self.on_change()

    def _jobs_by_instance(self) -> dict[str, list[_TimedJob]]:
        if self._by_instance is None:
            by_instance: dict[str, list[_TimedJob]] = {}
            for timed_jobs in self._own.values():
                for timed_job in timed_jobs:
                    by_instance.setdefault(timed_job.job.instance, []).append(timed_job)
            for _, timed_jobs in self._peers.values():
                for timed_job in timed_jobs:
                    by_instance.setdefault(timed_job.job.instance, []).append(timed_job)
            for timed_jobs in by_instance.values():
                timed_jobs.sort(key=_started_at)
            self._by_instance = by_instance
        return self._by_instance


def _no_op() -> None:
    """Do nothing; the default of `on_change`."""


def _phase_after_prefill(job: Job) -> Phase | None:
    if job.phase is Phase.PREFILL:
        return Phase.DECODE
    # After its prefill, a helper keeps only the memory that was reserved on it.
    return Phase.HOLDING if job.memory_tokens else None


def _sent(timed_jobs: Iterable[_TimedJob]) -> list[tuple[str, float]]:
    """Return the upstreams and starts of jobs that are not held."""
    return [
        (timed_job.job.instance, timed_job.started_at)
        for timed_job in timed_jobs
        if not timed_job.job.is_held
    ]


def _started_at(timed_job: _TimedJob) -> float:
    return timed_job.started_at


def _is_held(timed_job: _TimedJob) -> bool:
    return timed_job.job.is_held


def _must_precede(other: _TimedJob, held_job: _TimedJob) -> bool:
    """Return whether a held job has to wait for `other` on the same engine."""
    if other.job.phase not in (Phase.PREFILL, Phase.HELPER_PREFILL):
        return False
    is_earlier = other.started_at < held_job.started_at
    return is_earlier or (not other.job.is_held and other.job.prefill_s >= LONG_PART_S)


def _summarize(timed_jobs: list[_TimedJob], now: float) -> Load:
    requests = helper_prefills = context = memory = 0
    backlog, residual, last_start = 0.0, 0.0, timed_jobs[0].started_at
    decoding: list[Stream] = []
    prefilling: list[Stream] = []
    for timed_job in sorted(timed_jobs, key=_is_held):
        job = timed_job.job
        memory += job.memory_tokens
        if job.phase is Phase.HELPER_PREFILL:
            helper_prefills += 1
        elif job.phase is not Phase.HOLDING:
            requests += 1
        if job.phase in (Phase.DECODE, Phase.HOLDING):
            context += job.context_tokens
        if job.phase in (Phase.DECODE, Phase.PREFILL):
            streams = decoding if job.phase is Phase.DECODE else prefilling
            streams.append(Stream(job.gap_target_s, job.value, job.is_late))
        if job.phase in (Phase.PREFILL, Phase.HELPER_PREFILL):
            # Prefills run one after the other, from the start of the first one.
            start = (
                max(timed_job.started_at, now) if job.is_held else timed_job.started_at
            )
            backlog = max(0.0, backlog - (start - last_start)) + job.prefill_s
            last_start = start
            residual = max(residual, RESIDUAL_PREFILL_SHARE * job.prefill_s)
    backlog = max(residual, backlog - (now - last_start))
    return Load(
        requests,
        helper_prefills,
        context,
        backlog,
        memory,
        tuple(decoding),
        tuple(prefilling),
    )
