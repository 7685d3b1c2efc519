"""Configure logging: JSON lines, one for each change of state."""

import logging
import sys
from typing import Protocol

from pythonjsonlogger.json import JsonFormatter

from dandelionpond.identity import Identity

LOGGER_NAME = "dandelionpond"


class WritableStream(Protocol):
    """Text stream that a log handler writes to."""

    def write(self, text: str, /) -> int:
        """Write one line, including its line terminator."""
        ...

    def flush(self) -> None:
        """Flush buffered lines."""
        ...


class NodeContextFilter(logging.Filter):
    """Filter that adds node, incarnation and settings digest to each log record."""

    def __init__(self, identity: Identity) -> None:
        super().__init__()
        self._identity = identity
        self.settings_digest = ""

    def filter(self, record: logging.LogRecord) -> bool:
        """Set the fields on a record; never drops it."""
        record.node = self._identity.name
        record.incarnation = self._identity.incarnation
        record.settings = self.settings_digest[:16]
        return True


def configure_logging(
    identity: Identity, level: str, stream: WritableStream | None = None
) -> NodeContextFilter:
    """Log as JSON to a stream, by default standard error.

    Records of other libraries below WARNING are dropped: they report events instead of
    changes of state, and may contain request data.
    """
    context = NodeContextFilter(identity)
    handler: logging.StreamHandler[WritableStream] = logging.StreamHandler(
        stream or sys.stderr
    )
    handler.addFilter(context)
    handler.setFormatter(
        JsonFormatter(
            "{asctime}{levelname}{name}{message}{node}{incarnation}{settings}",
            style="{",
            rename_fields={"asctime": "time", "levelname": "level"},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger(LOGGER_NAME).setLevel(level)
    return context
