"""State shared by all parts of a running node."""

import logging
import random
import secrets
import time
from collections.abc import Callable
from urllib.parse import urlsplit

from dandelionpond import __version__
from dandelionpond.clock import Clock
from dandelionpond.config.local import LocalSettings
from dandelionpond.config.merge import MergedSettings
from dandelionpond.config.schema import Settings
from dandelionpond.config.state import Accepted, Refused, SettingsState
from dandelionpond.http.keys import KeyIndex
from dandelionpond.identity import Identity
from dandelionpond.logs import NodeContextFilter
from dandelionpond.membership.upstream_marks import UpstreamMarks
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
    """Clock, random generator, current settings, metrics and tasks of a node.

    The functions in `settings_listeners` are called with the settings after each
    accepted revision.
    """

    def __init__(
        self,
        local: LocalSettings,
        identity: Identity,
        clock: Clock,
        log_context: NodeContextFilter | None = None,
    ) -> None:
        self.local = local
        self.identity = identity
        self.clock = clock
        seed = local.random_seed
        self.random = random.Random(secrets.randbits(64) if seed is None else seed)
        self.metrics = Metrics()
        self.tasks = Tasks()
        self.pause_detector = PauseDetector(clock.monotonic())
        self.settings_state = SettingsState()
        self.marks = UpstreamMarks()
        self.recorder = Recorder(Settings().record, __version__)
        self.keys = KeyIndex(Settings())
        self.settings_listeners: list[Callable[[Settings], None]] = []
        self._log_context = log_context

    @property
    def merged_settings(self) -> MergedSettings | None:
        """Return the merged settings in effect, or None before the first ones."""
        return self.settings_state.merged

    @property
    def settings(self) -> Settings:
        """Return the settings in effect, or the defaults before the first ones."""
        merged = self.settings_state.merged
        return merged.settings if merged else Settings()

    @property
    def settings_digest(self) -> str:
        """Return the digest of the settings in effect, or "" before the first ones."""
        merged = self.settings_state.merged
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
        """Return the earliest time at which a message read now can have arrived."""
        return self.pause_detector.arrived_at(self.now())

    async def tick_pause_detector(self) -> None:
        """Record that the event loop is running."""
        self.pause_detector.tick(self.now())

    def upstream_url(self, upstream: str, configured_url: str) -> str:
        """Return the base URL for an upstream; local routes override its settings."""
        return self.local.upstream_routes.get(upstream, configured_url).rstrip("/")

    def upstream_endpoint(
        self, upstream: str, configured_url: str
    ) -> tuple[str | None, int]:
        """Return the host and port of an upstream's base URL."""
        url = urlsplit(self.upstream_url(upstream, configured_url))
        return url.hostname, url.port or (443 if url.scheme == "https" else 80)

    def record(
        self, decision: Decision, decision_input: object, outcome: object
    ) -> None:
        """Record a decision with its complete input."""
        recorded_at = self.clock.wall().timestamp()
        self.recorder.record(
            decision, decision_input, outcome, recorded_at, self.settings_digest
        )

    def offer_settings(self, revision: int, files: dict[str, bytes]) -> object:
        """Validate a revision of the settings files and apply it if it is accepted."""
        outcome = self.settings_state.offer(revision, files, self.now())
        match outcome:
            case Accepted():
                self._apply()
                log.info(
                    "settings accepted",
                    extra={"revision": revision, "digest": outcome.digest[:16]},
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
        return outcome

    def _apply(self) -> None:
        settings = self.settings
        self.keys = KeyIndex(settings)
        self.metrics.settings_revision.set(self.settings_state.revision)
        if self._log_context is not None:
            self._log_context.settings_digest = self.settings_digest
        for listener in self.settings_listeners:
            listener(settings)
