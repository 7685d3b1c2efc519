"""Record decisions in a ring buffer and stream them as JSON lines."""

from collections import deque
from collections.abc import Iterator
from typing import Any

import msgspec

from dandelionpond.record.registry import Decision
from dandelionpond.record.settings import RecordSettings

# Names and hashes are shorter; longer text could be content that must stay in the node.
MAX_TEXT_CHARS = 512


class DecisionRecord(msgspec.Struct, frozen=True):
    """Decision with its complete input and its outcome.

    `at` is in seconds since the Unix epoch, `version` is the version of this package,
    and `settings_digest` is the digest of the settings at the time.
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
    """Buffer of the records that one reader has not taken yet.

    When the buffer is full, the oldest record is dropped and counted in `dropped`.
    """

    __slots__ = ("_buffer", "_recorder", "dropped")

    def __init__(self, recorder: "Recorder", max_records: int) -> None:
        self._recorder = recorder
        self._buffer: deque[DecisionRecord] = deque(maxlen=max_records)
        self.dropped = 0

    def add(self, record: DecisionRecord) -> None:
        """Add a record, dropping the oldest one if the buffer is full."""
        self.dropped += len(self._buffer) == self._buffer.maxlen
        self._buffer.append(record)

    def take(self) -> list[bytes]:
        """Return the buffered records as JSON lines and clear the buffer."""
        records = list(self._buffer)
        self._buffer.clear()
        return list(self._recorder.encode(records))


class Recorder:
    """Ring of the latest `ring_size` decisions, encoded only when they are read.

    Inputs and outcomes must be immutable, because they are stored by reference. A
    record with a text of over 512 characters is left out and counted in `skipped`.
    """

    __slots__ = (
        "_encoder",
        "_ring",
        "_seq",
        "_settings",
        "_subscribers",
        "_version",
        "dropped",
        "skipped",
    )

    def __init__(self, settings: RecordSettings, version: str) -> None:
        self._settings = settings
        self._version = version
        self._ring: deque[DecisionRecord] = deque(maxlen=settings.ring_size)
        self._subscribers: list[Subscription] = []
        self._encoder = msgspec.json.Encoder(order="deterministic")
        self._seq = 0
        self.dropped = 0
        self.skipped = 0

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
        """Add a decision; if the ring is full, drop and count the oldest one."""
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
            subscriber.add(record)

    def lines(self) -> list[bytes]:
        """Return the recorded decisions as JSON lines, oldest first."""
        return list(self.encode(list(self._ring)))

    def subscribe(self) -> Subscription | None:
        """Return a new subscription, or None if there are `max_subscribers` already."""
        if len(self._subscribers) >= self._settings.max_subscribers:
            return None
        subscription = Subscription(self, self._settings.subscriber_buffer)
        self._subscribers.append(subscription)
        return subscription

    def unsubscribe(self, subscription: Subscription) -> None:
        """Remove a subscription."""
        self._subscribers.remove(subscription)

    def encode(self, records: list[DecisionRecord]) -> Iterator[bytes]:
        """Yield each record as a JSON line without a trailing newline."""
        for record in records:
            if _has_long_text(msgspec.to_builtins((record.input, record.outcome))):
                self.skipped += 1
            else:
                yield self._encoder.encode(record)


def _has_long_text(value: Any) -> bool:
    if isinstance(value, str):
        return len(value) > MAX_TEXT_CHARS
    if isinstance(value, dict):
        return any(_has_long_text(k) or _has_long_text(v) for k, v in value.items())
    if isinstance(value, list | tuple):
        return any(_has_long_text(item) for item in value)
    return False
