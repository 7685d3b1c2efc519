"""Write log lines as JSON, one for each change of state."""

import logging
import sys
from typing import Protocol

from pythonjsonlogger.json import JsonFormatter

from dandelionpond.identity import Identity

LOGGER_NAME = "dandelionpond"


class LineStream(Protocol):
    """Take log lines."""

    def write(self, text: str, /) -> int:
        """Take one line with its end."""
        ...

    def flush(self) -> None:
        """Pass on what was taken."""
        ...


class NodeContextFilter(logging.Filter):
    """Add the node, its incarnation and the settings digest to each line."""

    def __init__(self, identity: Identity) -> None:
        super().__init__()
        self._identity = identity
        self.settings_digest = ""

    def filter(self, record: logging.LogRecord) -> bool:
        """Set the fields on a record and let it pass."""
        record.node = self._identity.name
        record.incarnation = self._identity.incarnation
        record.settings = self.settings_digest[:16]
        return True


def configure_logging(
    identity: Identity, level: str, stream: LineStream | None = None
) -> NodeContextFilter:
    """Send the project's log lines to a stream, by default standard error.

    Lines of libraries below WARNING are dropped: they report events, not changes of
    state, and may hold request data.
    """
    context = NodeContextFilter(identity)
    handler: logging.StreamHandler[LineStream] = logging.StreamHandler(
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
