"""Encode and decode the news of a quarantine for messages with an opaque field."""

import msgspec

from dandelionpond.quarantine.messages import (
    MAX_PARTS,
    CrashReport,
    QuarantineEntry,
    QuarantineNews,
    WorkingPart,
)
from dandelionpond.quarantine.quarantine import MAX_REPORTS, MAX_WORKING_IN_NEWS
from dandelionpond.quarantine.table import MAX_PACKED_ENTRIES

# The longest news of a node have about 6 KB.
MAX_NEWS_BYTES = 8 * 1024
MAX_INSTANCE_LENGTH = 128
_MAX_HASH = 2**64 - 1
# Limit on ages in milliseconds and on counts. It leaves room for counts to grow in an
# encoding with 64 bits.
MAX_NUMBER = 2**40

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(QuarantineNews)


def encode_news(news: QuarantineNews | None) -> bytes:
    """Return the news in MessagePack, or no bytes if there are none.

    Items that receivers would refuse, and all other news with them, are left out: a
    node counts up from the numbers that it has adopted.
    """
    return b"" if news is None else _encoder.encode(keep_valid_items(news))


def keep_valid_items(news: QuarantineNews) -> QuarantineNews:
    """Return the news without the items that exceed a limit."""
    return QuarantineNews(
        tuple(filter(_is_valid_report, news.reports)),
        tuple(filter(_is_valid_working, news.working)),
        tuple(filter(_is_valid_entry, news.entries)),
    )


def decode_news(data: bytes) -> QuarantineNews | None:
    """Return the news of a peer, or None if they are invalid or exceed a limit."""
    if len(data) > MAX_NEWS_BYTES:
        return None
    try:
        news = _decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
    return news if _is_valid(news) else None


def _is_valid(news: QuarantineNews) -> bool:
    return (
        len(news.reports) <= MAX_REPORTS
        and len(news.working) <= MAX_WORKING_IN_NEWS
        and len(news.entries) <= MAX_PACKED_ENTRIES
        and all(map(_is_valid_report, news.reports))
        and all(map(_is_valid_working, news.working))
        and all(map(_is_valid_entry, news.entries))
    )


def _is_valid_report(report: CrashReport) -> bool:
    return (
        len(report.instance) <= MAX_INSTANCE_LENGTH
        and len(report.parts) <= MAX_PARTS
        and _are_hashes(report.account, *report.parts)
        and _are_numbers(report.age_ms, report.sent_age_ms)
    )


def _is_valid_working(working: WorkingPart) -> bool:
    return _are_hashes(working.part) and _are_numbers(working.age_ms)


def _is_valid_entry(entry: QuarantineEntry) -> bool:
    return _are_hashes(entry.part, entry.account) and _are_numbers(
        entry.sequence, entry.failed_trials, entry.crash_age_ms
    )


def _are_hashes(*values: int) -> bool:
    return all(0 <= value <= _MAX_HASH for value in values)


def _are_numbers(*values: int) -> bool:
    return all(0 <= value <= MAX_NUMBER for value in values)
