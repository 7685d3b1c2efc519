"""Keep the outstanding work of this node and its peers on each upstream.

Load reports of engines lag by a few hundred milliseconds. All work reaches the engines
through the nodes, so the sum of what they have outstanding is the fresher picture.
"""

from collections.abc import Callable, Iterable
from enum import IntEnum

import msgspec

# Part of a read that counts as left while its engine has not said that it is done:
# predictions are that much too short.
RESIDUAL_SHARE = 0.05

# Work of a peer that has been silent for this many seconds no longer counts: the peer
# has stopped and its connections have ended, or it is cut off.
PEER_WORK_TTL_S = 2.5
# Reading time in seconds of a part that is worth waiting for, although it was sent
# later than planned work: to overtake it would cost its prompt more than the wait.
LONG_PART_S = 0.1


class Phase(IntEnum):
    """Say what an upstream does for a job: read, write, help, answer or hold memory."""

    PREFILL = 0
    DECODE = 1
    HELPER_PREFILL = 2
    CALL = 3
    HOLDING = 4


class Job(msgspec.Struct, frozen=True):
    """Describe the work that one request has on one upstream.

    `read_s` is the time to read the prompt's part on an idle engine. `value` weighs the
    request against others; `is_late` says that it has missed its target already, so
    that only its completion is at stake. `age_s` counts from the sending, at the time
    of the message that carries the job; it is negative for one that is sent later. A
    job that `is_held` waits at its node, also beyond the planned time, until earlier
    reads are done.
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


class Writer(msgspec.Struct, frozen=True):
    """Describe a request that waits for its next event, or will once it has read."""

    gap_target_s: float
    value: float
    is_late: bool = False


class Load(msgspec.Struct, frozen=True):
    """Sum up the outstanding work on one upstream; times are in seconds.

    `backlog_s` is reading that has not finished, `memory_tokens` what the requests
    that run there need at most. `readers` are the requests that will write here.
    """

    requests: int = 0
    helping: int = 0
    context_tokens: int = 0
    backlog_s: float = 0.0
    memory_tokens: int = 0
    writers: tuple[Writer, ...] = ()
    readers: tuple[Writer, ...] = ()


IDLE = Load()


class _Held:
    """A job with the local time of its start in place of its age."""

    __slots__ = ("job", "started_at")

    def __init__(self, job: Job, started_at: float) -> None:
        self.job = job
        self.started_at = started_at


class JobTracker:
    """Own the outstanding jobs; times are monotonic seconds of this node."""

    __slots__ = ("_index", "_own", "_peers", "change_count", "on_change")

    def __init__(self) -> None:
        self._own: dict[str, list[_Held]] = {}
        self._peers: dict[str, tuple[float, list[_Held]]] = {}
        self._index: dict[str, list[_Held]] | None = None
        # Counts changes of the own jobs, which peers must hear of.
        self.change_count = 0
        self.on_change: Callable[[], None] = _ignore

    @property
    def own_request_count(self) -> int:
        """Return the number of this node's requests with outstanding work."""
        return len(self._own)

    def start(self, request: str, jobs: Iterable[Job], now: float) -> None:
        """Replace what a request of this node has outstanding."""
        held = [_Held(job, now - job.age_s) for job in jobs]
        self._own[request] = held
        self._changed(held)

    def mark_sent(self, request: str, now: float) -> None:
        """Learn that a request that was held is sent now."""
        held = self._own.get(request)
        if held is None:
            return
        self._own[request] = [
            _Held(msgspec.structs.replace(one.job, is_held=False), now) for one in held
        ]
        self._changed(held)

    def mark_decoding(self, request: str) -> None:
        """Learn that a request's prompt is read: helpers are done, writing begins."""
        held = self._own.get(request)
        if held is None:
            return
        self._own[request] = [
            _Held(msgspec.structs.replace(one.job, phase=phase), one.started_at)
            for one in held
            if (phase := _phase_after_reading(one.job)) is not None
        ]
        self._changed(held)

    def mark_late(self, request: str) -> None:
        """Learn that a request has missed its target."""
        held = self._own.get(request)
        if held is None:
            return
        self._own[request] = [
            _Held(msgspec.structs.replace(one.job, is_late=True), one.started_at)
            for one in held
        ]
        self._index = None

    def finish(self, request: str) -> None:
        """Learn that a request has nothing outstanding any more."""
        held = self._own.pop(request, None)
        if held is not None:
            self._changed(held)

    def own_jobs(self, now: float) -> tuple[Job, ...]:
        """Return this node's jobs with their present ages, for peers."""
        return tuple(
            msgspec.structs.replace(one.job, age_s=round(now - one.started_at, 3))
            for held in self._own.values()
            for one in held
        )

    def update_peer(self, peer: str, jobs: Iterable[Job], now: float) -> None:
        """Replace what a peer has outstanding by its newest message."""
        self._peers[peer] = (now, [_Held(job, now - job.age_s) for job in jobs])
        self._index = None

    def remove_peer(self, peer: str) -> None:
        """Drop the work of a peer that has stopped."""
        if self._peers.pop(peer, None) is not None:
            self._index = None

    def expire_peers(self, now: float) -> None:
        """Drop the work of peers that have been silent for too long."""
        for peer, (heard_at, _) in list(self._peers.items()):
            if now - heard_at > PEER_WORK_TTL_S:
                self.remove_peer(peer)

    def load(self, instance: str, now: float) -> Load:
        """Return the outstanding work on one upstream."""
        held = self._indexed().get(instance)
        if not held:
            return IDLE
        return _sum_up(held, now)

    def earlier_prefills_end_at(self, request: str, now: float) -> float | None:
        """Return when the reads before a held request should end, or None without any.

        Only the engines of the request count. Held requests go in the order of their
        planned times, which all nodes see alike, so that none wait for each other.
        """
        index = self._indexed()
        ends = []
        for mine in self._own.get(request, ()):
            end = None
            for other in index.get(mine.job.instance, ()):
                if other is not mine and _is_before(other, mine):
                    began = max(other.started_at, now if other.job.is_held else 0.0)
                    end = (
                        max(began, began if end is None else end) + other.job.prefill_s
                    )
            if end is not None:
                ends.append(end)
        return max(ends, default=None)

    def _changed(self, held: list[_Held]) -> None:
        self._index = None
        # Plain calls are over before news of them would help.
        if any(one.job.phase is not Phase.CALL for one in held):
            self.change_count += 1
            self.on_change()

    def _indexed(self) -> dict[str, list[_Held]]:
        if self._index is None:
            index: dict[str, list[_Held]] = {}
            for held in self._own.values():
                for one in held:
                    index.setdefault(one.job.instance, []).append(one)
            for _, work in self._peers.values():
                for one in work:
                    index.setdefault(one.job.instance, []).append(one)
            for work in index.values():
                work.sort(key=_started_at)
            self._index = index
        return self._index


def _ignore() -> None:
    """Stand in until somebody wants to hear of changes."""


def _phase_after_reading(job: Job) -> Phase | None:
    if job.phase is Phase.PREFILL:
        return Phase.DECODE
    # A helper keeps only memory that it reserved.
    return Phase.HOLDING if job.memory_tokens else None


def _started_at(held: _Held) -> float:
    return held.started_at


def _is_held(held: _Held) -> bool:
    return held.job.is_held


def _is_before(other: _Held, mine: _Held) -> bool:
    """Return whether a held job has to wait for another one on its engine."""
    if other.job.phase not in (Phase.PREFILL, Phase.HELPER_PREFILL):
        return False
    is_earlier = other.started_at < mine.started_at
    return is_earlier or (not other.job.is_held and other.job.prefill_s >= LONG_PART_S)


def _sum_up(held: list[_Held], now: float) -> Load:
    requests = helping = context = memory = 0
    backlog, residual, last = 0.0, 0.0, held[0].started_at
    writers: list[Writer] = []
    readers: list[Writer] = []
    for one in sorted(held, key=_is_held):
        job = one.job
        memory += job.memory_tokens
        if job.phase is Phase.HELPER_PREFILL:
            helping += 1
        elif job.phase is not Phase.HOLDING:
            requests += 1
        if job.phase in (Phase.DECODE, Phase.HOLDING):
            context += job.context_tokens
        if job.phase in (Phase.DECODE, Phase.PREFILL):
            known = writers if job.phase is Phase.DECODE else readers
            known.append(Writer(job.gap_target_s, job.value, job.is_late))
        if job.phase in (Phase.PREFILL, Phase.HELPER_PREFILL):
            # Reads are worked off one after the other from the first one's start.
            began = max(one.started_at, now) if job.is_held else one.started_at
            backlog = max(0.0, backlog - (began - last)) + job.prefill_s
            last = began
            residual = max(residual, RESIDUAL_SHARE * job.prefill_s)
    backlog = max(residual, backlog - (now - last))
    return Load(
        requests, helping, context, backlog, memory, tuple(writers), tuple(readers)
    )
