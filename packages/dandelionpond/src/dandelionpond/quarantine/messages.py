"""What nodes tell each other about parts of prompts that may crash engines.

Ages are whole milliseconds before the message was sent. Parts and client accounts are
sent as hashes.
"""

import functools
from collections.abc import Iterable

import msgspec
import xxhash

MS_PER_S = 1000
# Stands for all client accounts in `QuarantineEntry.account`.
ALL_ACCOUNTS = 0
# Limit on the parts of a prompt that are checked and reported. The ones nearest to its
# end are taken, because fewer prompts share them.
MAX_PARTS = 32


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """An engine's crash while it had a request of the reporting node.

    `sent_age_ms` tells when the request was sent. `had_begun` is whether the engine had
    begun its answer just before. `parts` are the parts that the prompt may share with
    others.
    """

    instance: str
    age_ms: int
    sent_age_ms: int
    account: int
    had_begun: bool
    parts: tuple[int, ...]


class WorkingPart(msgspec.Struct, frozen=True, array_like=True):
    """A part of a prompt on which an engine wrote an answer without a crash.

    `age_ms` tells when the prompt was sent.
    """

    part: int
    age_ms: int


class QuarantineEntry(msgspec.Struct, frozen=True, array_like=True):
    """The state of one part; the entry with the highest `sequence` is valid.

    `account` is the client account whose prompts are refused, or `ALL_ACCOUNTS`.
    `failed_trials` counts the crashes in trials. `crash_age_ms` tells when the last
    crash was observed.
    """

    part: int
    account: int
    sequence: int
    is_released: bool
    failed_trials: int
    crash_age_ms: int


class QuarantineNews(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """All that one node tells its peers."""

    reports: tuple[CrashReport, ...] = ()
    working: tuple[WorkingPart, ...] = ()
    entries: tuple[QuarantineEntry, ...] = ()


class PromptKey(msgspec.Struct, frozen=True):
    """The hashes of a prompt's client account and of the parts that others may have."""

    account: int
    parts: tuple[int, ...]


def prompt_key(account: str | None, part_ids: Iterable[str]) -> PromptKey:
    """Return the key of a prompt; its last part belongs to it alone and is left out."""
    shared = tuple(part_ids)[:-1]
    return PromptKey(
        _hash_text(account or "") or 1, tuple(map(_hash_text, shared[-MAX_PARTS:]))
    )


@functools.lru_cache(maxsize=4_096)
def _hash_text(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
