"""Record decisions in a bounded ring and stream them as JSON lines."""

from collections import deque
from collections.abc import Iterator
from typing import Any

import msgspec

from dandelionpond.record.registry import Decision
from dandelionpond.record.settings import RecordSettings

# Names and hashes are shorter. A longer text is content that must not leave the node.
MAX_TEXT = 512


class DecisionRecord(msgspec.Struct, frozen=True):
    """Hold one decision with its whole input.

    `at` is in seconds since the Unix epoch, `version` that of this package, and
    `settings_digest` that of the settings in force.
    """

    seq: int
    at: float
    slice: str
    decision: str
    version: str
    settings_digest: str
    input: Any
    outcome: Any


class Subscription:
    """Hold the records that one reader has not taken yet.

    When the buffer is full the oldest record is dropped and counted.
    """

    __slots__ = ("_buffer", "_recorder", "dropped")

    def __init__(self, recorder: "Recorder", bound: int) -> None:
        self._recorder = recorder
        self._buffer: deque[DecisionRecord] = deque(maxlen=bound)
        self.dropped = 0

    def put(self, record: DecisionRecord) -> None:
        """Add a record."""
        self.dropped += len(self._buffer) == self._buffer.maxlen
        self._buffer.append(record)

    def take(self) -> list[bytes]:
        """Return the waiting records as JSON lines and empty the buffer."""
        taken = list(self._buffer)
        self._buffer.clear()
        return list(self._recorder.encode(taken))


class Recorder:
    """Keep the latest `ring_size` decisions; encode them only when they are read.

    Inputs and outcomes must be frozen, because they are kept by reference. A record
    with a text over 512 characters is left out and counted in `refused`.
    """

    __slots__ = (
        "_encoder",
        "_ring",
        "_seq",
        "_settings",
        "_subscribers",
        "_version",
        "dropped",
        "refused",
    )

    def __init__(self, settings: RecordSettings, version: str) -> None:
        self._settings = settings
        self._version = version
        self._ring: deque[DecisionRecord] = deque(maxlen=settings.ring_size)
        self._subscribers: list[Subscription] = []
        self._encoder = msgspec.json.Encoder(order="deterministic")
        self._seq = 0
        self.dropped = 0
        self.refused = 0

    def __len__(self) -> int:
        return len(self._ring)

    def record(
        self,
        decision: Decision,
        input: Any,
        outcome: Any,
        at: float,
        settings_digest: str,
    ) -> None:
        """Add a decision; at the bound the oldest one is dropped and counted."""
        self._seq += 1
        record = DecisionRecord(
            self._seq,
            at,
            decision.slice,
            decision.name,
            self._version,
            settings_digest,
            input,
            outcome,
        )
        if len(self._ring) == self._ring.maxlen:
            self.dropped += 1
        self._ring.append(record)
        for subscriber in self._subscribers:
            subscriber.put(record)

    def lines(self) -> list[bytes]:
        """Return the ring as JSON lines, the oldest first."""
        return list(self.encode(list(self._ring)))

    def subscribe(self) -> Subscription | None:
        """Return a new reader, or None if there are `max_subscribers` already."""
        if len(self._subscribers) >= self._settings.max_subscribers:
            return None
        subscription = Subscription(self, self._settings.subscriber_buffer)
        self._subscribers.append(subscription)
        return subscription

    def unsubscribe(self, subscription: Subscription) -> None:
        """Remove a reader."""
        self._subscribers.remove(subscription)

    def encode(self, records: list[DecisionRecord]) -> Iterator[bytes]:
        """Yield each record as one JSON line without its line end."""
        for record in records:
            if _has_long_text(msgspec.to_builtins((record.input, record.outcome))):
                self.refused += 1
            else:
                yield self._encoder.encode(record)


def _has_long_text(value: Any) -> bool:
    if isinstance(value, str):
        return len(value) > MAX_TEXT
    if isinstance(value, dict):
        return any(_has_long_text(k) or _has_long_text(v) for k, v in value.items())
    if isinstance(value, list | tuple):
        return any(_has_long_text(item) for item in value)
    return False
