"""What the head of an upstream's answer says of the upstream itself."""

import math
from collections.abc import Callable, Iterable

import aiohttp
import msgspec

REJECTION_STATUS = 503


class AnswerHead(msgspec.Struct, frozen=True):
    """The marks in the head of one answer.

    `source` names the answer for log lines. `pause_s` is the time in seconds for which
    the upstream wants no requests, or None. `has_invalid_time` means that a rejection
    has a `Retry-After` that states no time.
    """

    source: str
    status: int
    is_leaving: bool = False
    pause_s: float | None = None
    has_invalid_time: bool = False


HeadListener = Callable[[AnswerHead], None]


def parse_retry_after(values: Iterable[str | bytes]) -> float | None:
    """Return the longest time in seconds of several `Retry-After` headers, or None.

    Fractions count. Dates and other text, zero and negative numbers state no time.
    """
    longest = max((_parse_seconds(value) for value in values), default=0.0)
    return longest if longest > 0 else None


def read_marks(response: aiohttp.ClientResponse) -> AnswerHead | None:
    """Return the marks in the head of an answer, or None if it has none."""
    headers = response.headers
    is_leaving = "true" in headers.getall("X-Leaving", ())
    times = headers.getall("Retry-After", ())
    if response.status != REJECTION_STATUS:
        times = ()
    if not is_leaving and not times:
        return None
    pause_s = parse_retry_after(times)
    source = f"{response.method} {response.url.path}"
    has_invalid_time = bool(times) and pause_s is None
    return AnswerHead(source, response.status, is_leaving, pause_s, has_invalid_time)


def _parse_seconds(value: str | bytes) -> float:
    text = value.decode("latin-1") if isinstance(value, bytes) else value
    # `float` also takes underscores and the digits of other scripts.
    if not text.isascii() or "_" in text:
        return 0.0
    try:
        number = float(text)
    except ValueError:
        return 0.0
    return number if math.isfinite(number) else 0.0
