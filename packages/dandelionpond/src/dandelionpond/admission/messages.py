"""Define waiting prompts, the decisions on them and what nodes tell each other.

Times in messages are whole milliseconds relative to when the message was sent.
"""

import msgspec

MS_PER_S = 1000
# Prompt length in tokens at which the second size class begins; each further class
# begins at twice the length of the one before.
SIZE_CLASS_TOKENS = 4_000
# First size class whose prompts need a large part of an engine's memory (64,000 tokens
# and more).
FIRST_LONG_SIZE = 5


class PromptClass(msgspec.Struct, frozen=True, array_like=True):
    """The prompts of one service, priority and size class."""

    service: str
    priority: int
    size: int

    @property
    def is_long(self) -> bool:
        """Return whether the prompts need a large part of an engine's memory."""
        return self.size >= FIRST_LONG_SIZE


class WaitingPrompt(msgspec.Struct, frozen=True):
    """A prompt that asks for capacity; times are monotonic seconds.

    `key` identifies the prompt across attempts of its caller. `engine_s` is the engine
    time that it needs and `first_event_s` the time from its placement to its first
    event. Its caller leaves at `give_up_at`. `patience_s` is the time from an arrival
    until then. `was_admitted` is whether it has been placed before.
    """

    id: str
    key: int
    account: str
    prompt_class: PromptClass
    engine_s: float
    first_event_s: float
    arrived_at: float
    give_up_at: float
    patience_s: float
    deadline_at: float
    was_admitted: bool = False

    @property
    def start_by(self) -> float:
        """Return the latest start at which the first event is in time."""
        return self.arrived_at + self.patience_s - self.first_event_s


class Admitted(msgspec.Struct, frozen=True):
    """The prompt may be placed now."""


class Wait(msgspec.Struct, frozen=True):
    """The prompt waits; its turn is expected in `expected_s` seconds."""

    expected_s: float


class RefusedForRoom(msgspec.Struct, frozen=True):
    """The prompt is refused; its turn comes in `retry_after_s` seconds."""

    retry_after_s: float


class WaitingGroup(msgspec.Struct, frozen=True, array_like=True):
    """The prompts of one account and class that wait at the sender.

    `engine_ms` is the mean engine time of a prompt, `start_by_ms` the earliest of their
    latest starts. Prompts with `is_blocked` had their turn, but no engine had enough
    free memory.
    """

    account: str
    prompt_class: PromptClass
    is_blocked: bool
    count: int
    engine_ms: int
    start_by_ms: int


class AccountUse(msgspec.Struct, frozen=True, array_like=True):
    """The engine time that an account has used lately through the sender."""

    account: str
    engine_ms: int


class ClassCounts(msgspec.Struct, frozen=True, array_like=True):
    """How many prompts of a class asked lately, and how many were admitted, in tenths.

    Prompts of accounts far above their fair share do not count.
    """

    prompt_class: PromptClass
    asked: int
    admitted: int


class ReturnTime(msgspec.Struct, frozen=True, array_like=True):
    """A refused prompt, the time until its turn and since its first arrival."""

    key: int
    account: str
    prompt_class: PromptClass
    due_ms: int
    age_ms: int


class RoomNews(msgspec.Struct, frozen=True, array_like=True):
    """What one node tells its peers while capacity is short."""

    waiting: tuple[WaitingGroup, ...] = ()
    used: tuple[AccountUse, ...] = ()
    classes: tuple[ClassCounts, ...] = ()
    returns: tuple[ReturnTime, ...] = ()
    is_short: bool = False


def size_class(tokens: int) -> int:
    """Return the size class of a prompt with this many tokens."""
    return (tokens // SIZE_CLASS_TOKENS).bit_length()
