"""Keep prompts that crash engines away from them; see `quarantine/`."""

import asyncio
import logging
from collections import Counter
from collections.abc import Sequence

import msgspec

from dandelionpond.adapters.connection_probe import refuses_connections
from dandelionpond.adapters.engine_api import Piece, StreamEnd, StreamEvent
from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.membership.messages import Exchange, UpstreamState
from dandelionpond.membership.table import EPOCH_SIZE
from dandelionpond.quarantine.evidence import SAME_CRASH_S, SETTLE_S, Suspect
from dandelionpond.quarantine.messages import ALL_ACCOUNTS, PromptKey, prompt_key
from dandelionpond.quarantine.quarantine import REPORT_S, PromptQuarantine, Refused
from dandelionpond.quarantine.table import Quarantine
from dandelionpond.quarantine.wire import decode_news, encode_news
from dandelionpond.runtime.core import Core
from dandelionpond.runtime.gossip import Gossip

log = logging.getLogger("dandelionpond.quarantine")

TICK_S = 0.1
# Numbers of blocks whose prefix is a part of a prompt; the last block is one as well.
# They are the same for all prompts, so that prompts with the same beginning have parts
# in common whatever their lengths, and with the last one they are at most `MAX_PARTS`.
PART_BLOCKS = (
    *range(1, 9),
    *(10, 12, 14, 16, 20, 24, 28, 32, 40, 48, 56, 64),
    *(80, 96, 112, 128, 160, 192, 224, 256, 384, 512, 768),
)
# Time in seconds after the first tokens of an answer for which a crash of its engine
# may still be due to its prompt. Afterwards the prompt counts as answered.
BEGINNING_S = 0.25
# Delay in seconds before a prompt is sent again that may have crashed its engine: the
# reports of other nodes may show that it did.
MIN_RETRY_DELAY_S = SETTLE_S + 0.05
# Prompts that were on the same engine are separated by the random part of the delay and
# by the choice among this many engines. Sent again together, they would be under the
# same suspicion after the next crash.
RETRY_JITTER_S = 0.3
RETRY_ENGINES = 4
# Once in this many heartbeats a node sends news that are not new, for peers that missed
# them.
REPEAT_HEARTBEATS = 8
# Heartbeats for which a peer counts as starting and gets all news in replies.
STARTUP_HEARTBEATS = 5
INVALID_LOG_INTERVAL_S = 60.0


class CrashCounters(msgspec.Struct):
    """Counts of lost connections to engines that had a prompt, and of news of peers.

    `connections_lost` counts those after which the engine still accepted connections or
    did not respond, `engines_leaving` those to engines that stop as planned, and
    `late_crashes` crashes well after the beginning of the prompt's answer.
    """

    engines_crashed: int = 0
    connections_lost: int = 0
    engines_leaving: int = 0
    late_crashes: int = 0
    news_received: int = 0
    invalid_news: int = 0


def build_prompt_key(account: str, prefix_hashes: tuple[int, ...]) -> PromptKey:
    """Return the key of a prompt whose parts are hashes of its prefix blocks."""
    parts = [
        prefix_hashes[blocks - 1]
        for blocks in PART_BLOCKS
        if blocks < len(prefix_hashes)
    ]
    return PromptKey(prompt_key(account, ()).account, (*parts, *prefix_hashes[-1:]))


class CrashingPrompts:
    """This node's quarantine of prompts, and its exchange with peers."""

    def __init__(self, core: Core, gossip: Gossip) -> None:
        self._core = core
        self._gossip = gossip
        self.quarantine = PromptQuarantine(
            core.local.name, relays_news=True, are_prefixes=True
        )
        self.quarantine.on_news = self._spread
        self.quarantine.on_change = self._change
        self.counters = CrashCounters()
        self._changed_at = float("-inf")
        self._evaluated_at = float("-inf")
        self._invalid_logged_at = float("-inf")
        # Times of the latest logged crashes by engine.
        self._logged_crashes: dict[str, float] = {}
        # Running attempts of prompts that may have crashed an engine, by engine.
        self._suspect_attempts: Counter[str] = Counter()
        gossip.news_exchange = self

    def start(self) -> None:
        """Start the periodic evaluation of crashes."""
        self._core.tasks.every(lambda: TICK_S, self._tick, "quarantine")

    def check(self, key: PromptKey, request_id: str) -> Failure | None:
        """Return None if a prompt may be sent; see `PromptQuarantine.check`."""
        live_nodes = self._gossip.membership.active_names
        now = self._core.now()
        return _to_failure(self.quarantine.check(key, request_id, now, live_nodes))

    def preview(self, key: PromptKey) -> Failure | None:
        """Return what `check` would for a new prompt, without effect."""
        live_nodes = self._gossip.membership.active_names
        return _to_failure(self.quarantine.preview(key, self._core.now(), live_nodes))

    async def record_lost_connection(
        self,
        engine: str,
        key: PromptKey,
        request_id: str,
        sent_at: float,
        began_at: float | None,
    ) -> bool:
        """Record a crash and return whether an engine that had a prompt crashed."""
        lost_at = self._core.now()
        if self._is_leaving(engine):
            self.counters.engines_leaving += 1
            return False
        if not await self._refuses_connections(engine):
            self.counters.connections_lost += 1
            return False
        self.counters.engines_crashed += 1
        self._log_crash(engine, request_id, lost_at)
        if began_at is not None and lost_at - began_at > BEGINNING_S:
            self.counters.late_crashes += 1
            return True
        # Engines work on several prompts at a time, so the one whose answer has begun
        # is not more likely to be the cause than the others.
        suspect = Suspect(key.account, key.parts, sent_at, had_begun=False)
        self.quarantine.record_crash(key, engine, suspect, request_id, self._core.now())
        return True

    def choose_retry_time(self) -> float:
        """Return when a prompt may be sent again that may have crashed an engine."""
        jitter_s = RETRY_JITTER_S * self._core.random.random()
        return self._core.now() + MIN_RETRY_DELAY_S + jitter_s

    async def wait_until(self, at: float) -> None:
        """Wait until a time and evaluate the crashes that have settled by then."""
        delay_s = at - self._core.now()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
            now = self._core.now()
            # Crashes settle this long before their prompts are sent again, so a later
            # evaluation has counted them.
            if now - self._evaluated_at >= MIN_RETRY_DELAY_S - SETTLE_S:
                self._evaluate(now)

    def choose_engine(self, engines: Sequence[str]) -> str:
        """Return the engine for a prompt that may have crashed another one.

        It is one of the best `RETRY_ENGINES`, if possible without another such prompt.
        """
        best = engines[:RETRY_ENGINES]
        others = [engine for engine in best if not self._suspect_attempts[engine]]
        return self._core.random.choice(others or best)

    def track_suspect(self, engine: str, task: asyncio.Task[None]) -> None:
        """Record that a prompt that may have crashed an engine runs on another one."""
        self._suspect_attempts[engine] += 1

        def remove(task: asyncio.Task[None]) -> None:
            self._suspect_attempts[engine] -= 1
            if not self._suspect_attempts[engine]:
                del self._suspect_attempts[engine]

        task.add_done_callback(remove)

    def news_for(self, heartbeat: int, request: Exchange | None = None) -> bytes:
        """Return the news for a message of this node with its `heartbeat`.

        They are left out if nothing has changed of late, except for a peer that starts
        and sends a `request`.
        """
        now = self._core.now()
        is_starting = (
            request is not None and request.heartbeat % EPOCH_SIZE <= STARTUP_HEARTBEATS
        )
        is_due = now - self._changed_at <= REPORT_S or (
            heartbeat % REPEAT_HEARTBEATS == 0
        )
        if not (is_starting or is_due):
            return b""
        return encode_news(self.quarantine.news(now))

    def receive_news(self, peer: str, data: bytes) -> None:
        """Apply the news of a peer; invalid ones are counted and ignored."""
        if not data:
            return
        now = self._core.now()
        news = decode_news(data)
        if news is None:
            self.counters.invalid_news += 1
            if now - self._invalid_logged_at >= INVALID_LOG_INTERVAL_S:
                self._invalid_logged_at = now
                extra = {"peer": peer, "bytes": len(data)}
                log.warning("invalid news of crashing prompts", extra=extra)
            return
        self.counters.news_received += 1
        self.quarantine.receive(news, now)

    def read_counters(self) -> dict[str, int]:
        """Return the counts of events."""
        return {
            **msgspec.structs.asdict(self.counters),
            **self.quarantine.read_counters(),
        }

    async def _tick(self) -> None:
        now = self._core.now()
        self._evaluate(now)
        self._logged_crashes = {
            engine: at
            for engine, at in self._logged_crashes.items()
            if now - at <= SAME_CRASH_S
        }

    def _evaluate(self, now: float) -> None:
        self._evaluated_at = now
        self.quarantine.tick(now)

    def _is_leaving(self, engine: str) -> bool:
        """Return whether an engine stops as planned, by its own word or the list."""
        state = self._gossip.upstreams.state_of(engine)
        return state in (
            UpstreamState.LEAVING,
            UpstreamState.GONE,
        ) or self._core.marks.is_leaving(engine, self._core.now())

    async def _refuses_connections(self, engine: str) -> bool:
        upstream = self._core.settings.upstreams.get(engine)
        if upstream is None:
            return False
        host, port = self._core.upstream_endpoint(engine, upstream.url)
        return host is not None and await refuses_connections(host, port)

    def _spread(self) -> None:
        """Send news to peers for some time, beginning before the next heartbeat."""
        self._changed_at = self._core.now()
        self._gossip.membership.schedule_exchange(self._changed_at)

    def _change(self, change: str, entry: Quarantine) -> None:
        now = self._core.now()
        log.warning(
            change,
            extra={
                "part": f"{entry.part:016x}",
                "all_accounts": entry.account == ALL_ACCOUNTS,
                "sequence": entry.sequence,
                "failed_trials": entry.failed_trials,
                "crash_age_s": round(now - entry.crashed_at, 3),
                "trial_in_s": round(max(0.0, entry.trial_due_at - now), 3),
            },
        )
        self._spread()

    def _log_crash(self, engine: str, request_id: str, now: float) -> None:
        """Log a crash once, with one of the prompts that the engine had."""
        if engine not in self._logged_crashes:
            extra = {"engine": engine, "request_id": request_id}
            log.warning("engine crashed", extra=extra)
        self._logged_crashes.setdefault(engine, now)


class PromptWatch:
    """The crashes and answers of one prompt's attempts."""

    __slots__ = ("_crashing_prompts", "_key", "_request_id", "_retry_at")

    def __init__(
        self,
        crashing_prompts: CrashingPrompts,
        account: str,
        prefix_hashes: tuple[int, ...],
        request_id: str,
    ) -> None:
        self._crashing_prompts = crashing_prompts
        self._key = build_prompt_key(account, prefix_hashes)
        self._request_id = request_id
        # When the prompt may be sent again, or None if no engine has crashed.
        self._retry_at: float | None = None

    def check(self) -> Failure | None:
        """Return None if the prompt may be sent now."""
        return self._crashing_prompts.check(self._key, self._request_id)

    def end(self) -> None:
        """End a trial that neither crashed an engine nor was answered."""
        self._crashing_prompts.quarantine.end_trial(self._request_id)

    def begin_attempt(self, engine: str, request_id: str) -> "AttemptWatch":
        """Return the watch of an attempt; `request_id` is the one for the engine."""
        return AttemptWatch(self, engine, request_id)

    async def record_lost_connection(
        self, engine: str, sent_at: float, began_at: float | None
    ) -> None:
        """Record that the connection of an attempt was lost."""
        has_crashed = await self._crashing_prompts.record_lost_connection(
            engine, self._key, self._request_id, sent_at, began_at
        )
        if has_crashed:
            self._retry_at = self._crashing_prompts.choose_retry_time()

    async def wait(self) -> None:
        """Wait until the prompt may be sent, if an engine has crashed."""
        if self._retry_at is not None:
            await self._crashing_prompts.wait_until(self._retry_at)

    def choose_engine(self, engines: Sequence[str]) -> str:
        """Return the engine for the next attempt; `engines` are sorted, best first."""
        if self._retry_at is None:
            return engines[0]
        return self._crashing_prompts.choose_engine(engines)

    def track(self, engine: str, task: asyncio.Task[None]) -> None:
        """Record on which engine an attempt runs, if it may crash the engine."""
        if self._retry_at is not None:
            self._crashing_prompts.track_suspect(engine, task)

    def record_answer(self, sent_at: float, now: float) -> None:
        """Record that an engine answered without a crash."""
        self._crashing_prompts.quarantine.record_answer(self._key, sent_at, now)


class AttemptWatch:
    """The events of one attempt that tell whether its engine crashed.

    `withdrawn` is why the attempt must not be sent, or None.
    """

    __slots__ = (
        "_began_at",
        "_engine",
        "_is_answered",
        "_prompt",
        "_request_id",
        "sent_at",
        "withdrawn",
    )

    def __init__(self, prompt: PromptWatch, engine: str, request_id: str) -> None:
        self._prompt = prompt
        self._engine = engine
        self._request_id = request_id
        self._began_at: float | None = None
        self._is_answered = False
        self.sent_at: float | None = None
        self.withdrawn: Failure | None = None

    def may_send(self) -> bool:
        """Return whether the prompt may be sent now; otherwise set `withdrawn`."""
        self.withdrawn = self._prompt.check()
        return self.withdrawn is None

    async def wait(self) -> None:
        """Wait until the prompt may be sent, if an engine has crashed."""
        await self._prompt.wait()

    def track(self, task: asyncio.Task[None]) -> None:
        """Record on which engine the attempt runs until its task ends."""
        self._prompt.track(self._engine, task)

    async def observe(self, event: StreamEvent, now: float) -> None:
        """Record an answer or a crash that an event of the stream shows."""
        if self.sent_at is None:
            return
        match event:
            case Piece(request_id=self._request_id):
                if self._began_at is None:
                    self._began_at = now
                elif now - self._began_at > BEGINNING_S:
                    self._record_answer(now)
            case StreamEnd(request_id=self._request_id):
                self._record_answer(now)
            case Piece() | StreamEnd():
                # Of another request; it says nothing of this prompt.
                pass
            case _ if event.reason in ("reset", "truncated") and event.sent:
                await self._prompt.record_lost_connection(
                    self._engine, self.sent_at, self._began_at
                )

    def _record_answer(self, now: float) -> None:
        if not self._is_answered and self.sent_at is not None:
            self._is_answered = True
            self._prompt.record_answer(self.sent_at, now)


def _to_failure(refused: Refused | None) -> Failure | None:
    if refused is None:
        return None
    message = "prompts with a part of this one have crashed engines"
    return Failure(ErrorKind.PROMPT_QUARANTINED, message, refused.retry_after_s)
