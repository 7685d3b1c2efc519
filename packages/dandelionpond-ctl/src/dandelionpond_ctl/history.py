"""Tell the history of one request from the log lines of nodes."""

from collections.abc import Iterable, Iterator
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

import msgspec

from dandelionpond_ctl.exit_codes import USAGE
from dandelionpond_ctl.folder import CommandError

# Time in seconds before a request in which a change of belief may explain it.
BEFORE_S = 10.0
# Lines of one request's surroundings that are shown, the latest ones.
MAX_AROUND = 40
_ENDED = "request ended"
_REFUSED = "request refused"
# Fields that every line has and that a reader of the history already knows.
_COMMON = frozenset(
    ("time", "level", "name", "message", "node", "incarnation", "settings")
)


class Line(msgspec.Struct, frozen=True):
    """Hold one log line; `at` is the time of the node's clock."""

    at: datetime
    node: str
    message: str
    fields: dict[str, Any]

    @property
    def request_id(self) -> str | None:
        """Return the request that the line is about."""
        found = self.fields.get("request_id")
        return found if isinstance(found, str) else None


class History(msgspec.Struct, frozen=True):
    """Hold the lines about one request, its cause, and what happened around it."""

    request_id: str
    lines: tuple[Line, ...]
    causes: tuple[str, ...]
    around: tuple[Line, ...]


def read_lines(files: Iterable[Path]) -> Iterator[Line]:
    """Yield the log lines of files; `/dev/stdin` is standard input.

    Text before the JSON of a line, which some collectors add, and lines of other
    programs are passed over. Raises `CommandError` for a file that cannot be read.
    """
    for file in files:
        try:
            with file.open(errors="replace") as opened:
                yield from _lines(opened)
        except OSError as error:
            raise CommandError(f"{file}: {error.strerror}", USAGE) from error


def history(request_id: str, lines: Iterable[Line]) -> History | None:
    """Return the history of a request, or None if no line names it."""
    kept = sorted(lines, key=lambda line: line.at)
    own = tuple(line for line in kept if line.request_id == request_id)
    if not own:
        return None
    around = [line for line in kept if any(_explains(line, one) for one in own)]
    causes = tuple(_cause(line) for line in own)
    return History(request_id, own, causes, tuple(around[-MAX_AROUND:]))


def show(found: History) -> None:
    """Print a history as text."""
    for line, cause in zip(found.lines, found.causes, strict=True):
        print(f"{_when(line)} {line.node}: {line.message}")
        for name, value in line.fields.items():
            if name not in ("attempts", "request_id"):
                print(f"  {name}: {_text(value)}")
        for number, attempt in enumerate(line.fields.get("attempts", ()), 1):
            parts = ", ".join(f"{name} {_text(v)}" for name, v in attempt.items())
            print(f"  attempt {number}: {parts}")
        print(f"cause: {cause}")
    if found.around:
        print(f"what these nodes learned from {BEFORE_S:.0f} s before to the end:")
    for line in found.around:
        parts = ", ".join(f"{name} {_text(v)}" for name, v in line.fields.items())
        print(f"  {_when(line)} {line.node}: {line.message}" + (parts and f": {parts}"))


def _lines(texts: Iterable[str]) -> Iterator[Line]:
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            data = msgspec.json.decode(text[start:])
            at = datetime.strptime(data["time"], "%Y-%m-%d %H:%M:%S,%f")
            node, message = str(data["node"]), str(data["message"])
        except (msgspec.DecodeError, KeyError, TypeError, ValueError):
            # A line of another program, or one that was cut when its writer ended.
            continue
        fields = {name: v for name, v in data.items() if name not in _COMMON}
        yield Line(at.replace(tzinfo=UTC), node, message, fields)


def _explains(line: Line, request: Line) -> bool:
    """Return whether a line tells a change of belief that may bear on a request."""
    if line.node != request.node or line.message in (_ENDED, _REFUSED):
        return False
    took = timedelta(seconds=float(request.fields.get("took_s", 0.0)) + BEFORE_S)
    if not request.at - took <= line.at <= request.at:
        return False
    upstream = line.fields.get("upstream")
    tried = [one.get("upstream") for one in request.fields.get("attempts", ())]
    return upstream is None or upstream in tried


def _cause(line: Line) -> str:
    fields = line.fields
    attempts = fields.get("attempts") or ()
    if line.message == _REFUSED:
        return f"refused before it was sent anywhere: {fields.get('kind')}"
    last = attempts[-1].get("outcome") if attempts else None
    status, why = fields.get("status"), fields.get("why")
    if fields.get("complete") and status is not None and status < 400:
        return "none: the answer is complete"
    if not status:
        return f"the client left or was cut off before an answer began: {last or why}"
    if status < 400:
        return f"the answer was cut off midway: {last or why}"
    if status in (429, 503):
        return f"it ran nowhere and was refused: {why}"
    if status in (502, 504):
        ran = [one for one in attempts if not _is_untouched(one)]
        names = ", ".join(str(one.get("upstream")) for one in ran) or "no upstream"
        return f"the outcome is unknown, it may have run at {names}: {why}"
    return f"status {status}: {why}"


def _is_untouched(attempt: dict[str, Any]) -> bool:
    return str(attempt.get("outcome", "")).startswith(("not sent", "rejected"))


def _when(line: Line) -> str:
    return line.at.isoformat(sep=" ", timespec="milliseconds").removesuffix("+00:00")


def _text(value: object) -> str:
    if isinstance(value, str):
        return value
    return msgspec.json.encode(value).decode()
