"""Hold what every part of a running node shares."""

import logging
import random
import secrets
import time
from collections.abc import Callable

from dandelionpond import __version__
from dandelionpond.clock import Clock
from dandelionpond.config.keeper import Accepted, Refused, SettingsKeeper
from dandelionpond.config.local import LocalSettings
from dandelionpond.config.merge import Merged
from dandelionpond.config.schema import Settings
from dandelionpond.http.keys import KeyIndex
from dandelionpond.identity import Identity
from dandelionpond.logs import NodeContextFilter
from dandelionpond.metrics import Metrics
from dandelionpond.record.recorder import Recorder
from dandelionpond.record.registry import Decision
from dandelionpond.requests.pause_detector import PauseDetector
from dandelionpond.runtime.tasks import Tasks

log = logging.getLogger("dandelionpond.settings")


def new_identity(name: str) -> Identity:
    """Return the identity of a new incarnation of a node."""
    return Identity(name, time.time_ns() // 1_000_000, secrets.randbits(64))


class Core:
    """Hold the clock, the random source, the settings in force and the counters.

    `on_settings` functions are called with the settings after each accepted revision.
    """

    def __init__(
        self,
        local: LocalSettings,
        identity: Identity,
        clock: Clock,
        logs: NodeContextFilter | None = None,
    ) -> None:
        self.local = local
        self.identity = identity
        self.clock = clock
        seed = local.random_seed
        self.random = random.Random(secrets.randbits(64) if seed is None else seed)
        self.metrics = Metrics()
        self.tasks = Tasks()
        self.pause_detector = PauseDetector(clock.monotonic())
        self.keeper = SettingsKeeper()
        self.recorder = Recorder(Settings().record, __version__)
        self.keys = KeyIndex(Settings())
        self.on_settings: list[Callable[[Settings], None]] = []
        self._logs = logs

    @property
    def merged_settings(self) -> Merged | None:
        """Return the merged settings in force, or None before the first ones."""
        return self.keeper.merged

    @property
    def settings(self) -> Settings:
        """Return the settings in force; defaults before the first ones arrive."""
        merged = self.keeper.merged
        return merged.settings if merged else Settings()

    @property
    def settings_digest(self) -> str:
        """Return the digest of the settings in force."""
        merged = self.keeper.merged
        return merged.digest if merged else ""

    @property
    def region(self) -> str:
        """Return the region of this node's failure domain."""
        domain = self.settings.failure_domains.get(self.local.failure_domain)
        return domain.region if domain else "default"

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.clock.monotonic()

    def arrived_at(self) -> float:
        """Return when a message that is read now can have arrived at the earliest."""
        return self.pause_detector.arrived_at(self.now())

    async def tick_pause_detector(self) -> None:
        """Learn that the event loop runs."""
        self.pause_detector.tick(self.now())

    def upstream_url(self, upstream: str, published: str) -> str:
        """Return the base URL under which this node reaches an upstream."""
        return self.local.upstream_routes.get(upstream, published).rstrip("/")

    def record(self, decision: Decision, input: object, outcome: object) -> None:
        """Record a decision with its whole input."""
        at = self.clock.wall().timestamp()
        self.recorder.record(decision, input, outcome, at, self.settings_digest)

    def offer_settings(self, revision: int, files: dict[str, bytes]) -> object:
        """Offer a folder to the keeper and put it into force if it is accepted."""
        verdict = self.keeper.offer(revision, files, self.now())
        match verdict:
            case Accepted():
                self._apply()
                log.info(
                    "settings accepted",
                    extra={"revision": revision, "digest": verdict.digest[:16]},
                )
            case Refused(errors=errors):
                first = errors[0]
                log.warning(
                    "settings refused",
                    extra={
                        "revision": revision,
                        "errors": len(errors),
                        "first": f"{first.file}: {first.path}: {first.reason}",
                    },
                )
        return verdict

    def _apply(self) -> None:
        settings = self.settings
        self.keys = KeyIndex(settings)
        self.metrics.settings_revision.set(self.keeper.revision)
        if self._logs is not None:
            self._logs.settings_digest = self.settings_digest
        for apply in self.on_settings:
            apply(settings)
