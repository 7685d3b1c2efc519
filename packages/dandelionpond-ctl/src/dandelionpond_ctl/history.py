"""Build the history of one request from the log lines of nodes."""

from collections.abc import Iterable, Iterator
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

import msgspec

from dandelionpond_ctl.exit_codes import USAGE
from dandelionpond_ctl.folder import CommandError

# State changes up to this long before a request started may explain its outcome.
LOOKBACK_S = 10.0
# Only the latest related lines are shown.
MAX_RELATED_LINES = 40
_REQUEST_ENDED = "request ended"
_REQUEST_REFUSED = "request refused"
# Fields of every log line, which the history shows elsewhere or leaves out.
_COMMON_FIELDS = frozenset(
    ("time", "level", "name", "message", "node", "incarnation", "settings")
)


class LogLine(msgspec.Struct, frozen=True):
    """A log line; `at` is the time by the node's clock."""

    at: datetime
    node: str
    message: str
    fields: dict[str, Any]

    @property
    def request_id(self) -> str | None:
        """Return the identifier of the request that the line is about, if any."""
        request_id = self.fields.get("request_id")
        return request_id if isinstance(request_id, str) else None


class History(msgspec.Struct, frozen=True):
    """The log lines about one request and the cause derived from each.

    `around` has the related lines of the same nodes.
    """

    request_id: str
    lines: tuple[LogLine, ...]
    causes: tuple[str, ...]
    around: tuple[LogLine, ...]


def read_lines(files: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the log lines of files; `/dev/stdin` is standard input.

    Text before the JSON of a line, which some collectors add, and lines of other
    programs are skipped. Raises `CommandError` for a file that cannot be read.
    """
    for file in files:
        try:
            with file.open(errors="replace") as stream:
                yield from _parse_lines(stream)
        except OSError as error:
            raise CommandError(f"{file}: {error.strerror}", USAGE) from error


def build_history(request_id: str, lines: Iterable[LogLine]) -> History | None:
    """Return the history of a request, or None if no line names it."""
    sorted_lines = sorted(lines, key=lambda line: line.at)
    request_lines = tuple(
        line for line in sorted_lines if line.request_id == request_id
    )
    if not request_lines:
        return None
    related = [
        line
        for line in sorted_lines
        if any(_may_explain(line, request) for request in request_lines)
    ]
    causes = tuple(_describe_cause(line) for line in request_lines)
    return History(
        request_id, request_lines, causes, tuple(related[-MAX_RELATED_LINES:])
    )


def print_history(request_history: History) -> None:
    """Print a history as text."""
    for line, cause in zip(request_history.lines, request_history.causes, strict=True):
        print(f"{_format_time(line)} {line.node}: {line.message}")
        for name, value in line.fields.items():
            if name not in ("attempts", "request_id"):
                print(f"  {name}: {_format_value(value)}")
        for number, attempt in enumerate(line.fields.get("attempts", ()), 1):
            parts = ", ".join(
                f"{name} {_format_value(value)}" for name, value in attempt.items()
            )
            print(f"  attempt {number}: {parts}")
        print(f"cause: {cause}")
    if request_history.around:
        print(f"what these nodes learned from {LOOKBACK_S:.0f} s before to the end:")
    for line in request_history.around:
        parts = ", ".join(
            f"{name} {_format_value(value)}" for name, value in line.fields.items()
        )
        print(
            f"  {_format_time(line)} {line.node}: {line.message}"
            + (parts and f": {parts}")
        )


def _parse_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            data = msgspec.json.decode(text[start:])
            at = datetime.strptime(data["time"], "%Y-%m-%d %H:%M:%S,%f")
            node, message = str(data["node"]), str(data["message"])
        except (msgspec.DecodeError, KeyError, TypeError, ValueError):
            # A line of another program, or one cut off when its writer exited.
            continue
        fields = {
            name: value for name, value in data.items() if name not in _COMMON_FIELDS
        }
        yield LogLine(at.replace(tzinfo=UTC), node, message, fields)


def _may_explain(line: LogLine, request: LogLine) -> bool:
    """Return whether a line reports a state change that may explain a request.

    It does if the node logged it during the request or shortly before, and if it is
    about an upstream that was tried or about none.
    """
    if line.node != request.node or line.message in (_REQUEST_ENDED, _REQUEST_REFUSED):
        return False
    window = timedelta(seconds=float(request.fields.get("took_s", 0.0)) + LOOKBACK_S)
    if not request.at - window <= line.at <= request.at:
        return False
    upstream = line.fields.get("upstream")
    tried = [attempt.get("upstream") for attempt in request.fields.get("attempts", ())]
    return upstream is None or upstream in tried


def _describe_cause(line: LogLine) -> str:
    fields = line.fields
    attempts = fields.get("attempts") or ()
    if line.message == _REQUEST_REFUSED:
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
        ran = [attempt for attempt in attempts if not _did_not_run(attempt)]
        names = (
            ", ".join(str(attempt.get("upstream")) for attempt in ran) or "no upstream"
        )
        return f"the outcome is unknown, it may have run at {names}: {why}"
    return f"status {status}: {why}"


def _did_not_run(attempt: dict[str, Any]) -> bool:
    return str(attempt.get("outcome", "")).startswith(("not sent", "rejected"))


def _format_time(line: LogLine) -> str:
    return line.at.isoformat(sep=" ", timespec="milliseconds").removesuffix("+00:00")


def _format_value(value: object) -> str:
    if isinstance(value, str):
        return value
    return msgspec.json.encode(value).decode()
