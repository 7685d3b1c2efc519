"""The protocol of one client connection, which bounds what it holds."""

import asyncio
import functools
import http
import logging
import secrets
from collections.abc import Callable
from typing import Any

import httptools
from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT, FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.http.answers import (
    EXECUTION_HEADER,
    FLOW_EXTENSION,
    REQUEST_ID_HEADER,
    error_body,
)
from dandelionpond.http.connection_limits import (
    FIELD_OVERHEAD_BYTES,
    CloseReason,
    ConnectionTable,
)

log = logging.getLogger("dandelionpond.connections")

# Without this timeout a client that sends its headers slowly could hold a socket and a
# buffer indefinitely.
HEADER_TIMEOUT_S = 15.0
# Longest published timeout that is applied.
MAX_HEADER_TIMEOUT_S = 600.0
# Seconds for which a refused connection reads on, so that no reset overtakes the
# refusal.
LINGER_S = 1.0
# Bytes of one read. All connections read into the same buffer, one after the other.
READ_BYTES = 64 * 1024
# Most bytes that the parser gets at once where the end of the message is not known.
# After each such step the counts are checked.
STEP_BYTES = 4 * 1024
# Bytes of a response in the transport's buffer above which the next request of the
# connection is not parsed, and below which it is parsed again.
MAX_UNREAD_BYTES = 16 * 1024
RESUME_UNREAD_BYTES = 4 * 1024

# Pieces of a body that are parsed before other connections have their turn. A read may
# hold ten thousand chunks of one byte.
MAX_PIECES = 512

_END = b"\r\n\r\n"
_read_buffer = bytearray(READ_BYTES)
_read_view = memoryview(_read_buffer)

# Error kind and message of the refusals that the protocol sends itself.
_REFUSALS = {
    CloseReason.INVALID: (
        ErrorKind.INVALID_HEADER,
        "the request is not valid HTTP/1.1",
    ),
    CloseReason.HEAD_TOO_LARGE: (
        ErrorKind.HEAD_TOO_LARGE,
        "the header fields are too large",
    ),
    CloseReason.TARGET_TOO_LONG: (
        ErrorKind.TARGET_TOO_LONG,
        "the request target is too long",
    ),
    CloseReason.CHUNK_FRAMING: (
        ErrorKind.HEAD_TOO_LARGE,
        "the trailers or a chunk extension are too large",
    ),
    CloseReason.MEMORY: (
        ErrorKind.OVERLOADED,
        "the node has no memory for the request",
    ),
}
# Seconds after which a client may repeat a request that found no memory.
RETRY_AFTER_S = 1


def new_request_id() -> str:
    """Return a random request identifier."""
    return f"req-{secrets.token_hex(12)}"


def record_closed(
    table: ConnectionTable, reason: CloseReason, address: str, now: float
) -> None:
    """Count and log why a connection was closed or its request refused."""
    suppressed = table.record(reason, address, now)
    if suppressed is not None:
        log.info(
            "client connection closed",
            extra={"from": address, "reason": reason, "suppressed": suppressed},
        )


class _ReadFlow(FlowControl):
    """Flow control that does not resume reading while bytes wait to be parsed."""

    has_pending = False
    is_lost = False

    def resume_reading(self) -> None:
        if not self.has_pending:
            super().resume_reading()

    def abort(self) -> None:
        """Close the connection, and drop what the client has not read."""
        self._transport.abort()


class BoundedProtocol(HttpToolsProtocol, asyncio.BufferedProtocol):
    """HTTP protocol that parses one request at a time and counts what it holds.

    Bytes are counted as they arrive, before the parser collects them. Bytes behind a
    request wait until it is answered, at most those of one read; the rest stays in the
    socket. The parser gets them up to the end of a message, which always follows an
    empty line or the announced length of a body.

    A connection on which a request has begun to arrive stays open during a planned stop
    until the request is answered; the header timeout bounds the wait.
    """

    flow: _ReadFlow
    _header_timer: asyncio.TimerHandle | None = None
    _is_stopping = False
    _is_discarding = False
    # Whether the connection was refused and only reads what the client still sends.
    _is_lingering = False
    _is_between_messages = True
    _pending = b""
    # Whether bytes follow those that the parser has been given.
    _has_rest = False
    # Bytes since the last complete head, piece of a body or message.
    _framing_bytes = 0
    # Whether such an end was in the bytes that the parser was given last, and whether
    # it was that of a head.
    _has_progress = False
    _is_head_new = False
    # Bytes of the body that are still expected; None if the length is not known.
    _body_left: int | None = None
    _discarded_bytes = 0
    # Memory of the head of the request that is running.
    _request_bytes = 0
    _held_bytes = 0
    # Whether a part of a request's head has been read, but not all of it.
    is_reading_head = False

    def __init__(self, table: ConnectionTable, *args: Any, **options: Any) -> None:
        self._table = table
        # Pieces of the body that the application does not have yet.
        self._pieces: list[bytes] = []
        # Called before the connection is counted; a TLS handshake counted until then.
        self.on_connection_made: Callable[[], None] | None = None
        super().__init__(*args, **options)

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the header timeout of the first request."""
        super().connection_made(transport)
        self.flow = _ReadFlow(transport)
        if self.on_connection_made is not None:
            self.on_connection_made()
        transport.set_write_buffer_limits(MAX_UNREAD_BYTES, RESUME_UNREAD_BYTES)
        self._start_header_timer()
        victim = self._table.open(self, _listener_name(self.server))
        self._close_other(victim, CloseReason.CONNECTIONS)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the header timeout and release what the connection held."""
        self._stop_header_timer()
        self._pending = b""
        if self.flow is not None:
            self.flow.is_lost = True
        self._table.close(self)
        super().connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _read_view

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes of one read, or keep them until they may be parsed."""
        self._unset_keepalive_if_required()
        if self._is_lingering:
            self._discard(nbytes)
        if self._is_discarding or self.transport.is_closing():
            return
        if self._pending:
            self._pending += bytes(_read_view[:nbytes])
            return
        start = 0
        if self._is_idle:
            self._start_idle_timer()
        elif self._is_between_messages:
            start = self._skip_empty_lines(nbytes)
        parsed = self._parse(_read_buffer, nbytes, start)
        if parsed < nbytes:
            self._pending = bytes(_read_view[parsed:nbytes])
            self.flow.has_pending = True
            self.flow.pause_reading()
        self._update_held()

    def pause_writing(self) -> None:
        """Stop writing; count what the client has not read."""
        super().pause_writing()
        self._update_held()

    def resume_writing(self) -> None:
        """Go on with the response, and with requests that wait behind it."""
        super().resume_writing()
        self._parse_pending()

    def on_message_begin(self) -> None:
        """Start the header timeout of a later request."""
        super().on_message_begin()
        self.scope["extensions"] = {FLOW_EXTENSION: self.flow}  # type: ignore[dict-item]
        # The read may also hold the end of an answered body, which starts the timeout.
        self._unset_keepalive_if_required()
        self._is_between_messages = False
        self.is_reading_head = True
        self._body_left = 0
        if self._header_timer is None:
            self._start_header_timer()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a field of the head; trailers are dropped.

        The application already has the list of fields when trailers arrive, and must
        not take one for a field of the head.
        """
        if not self.is_reading_head:
            return
        super().on_header(name, value)
        field = self.headers[-1][0]
        if field == b"content-length" and value.strip().isdigit():
            self._body_left = int(value)
        elif field == b"transfer-encoding":
            self._body_left = None

    def on_headers_complete(self) -> None:
        """Stop the header timeout."""
        self._stop_header_timer()
        self.is_reading_head = False
        self._has_progress = self._is_head_new = True
        super().on_headers_complete()
        self._table.begin_request(self)
        if self._is_stopping and not self._has_rest:
            self.cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the body until the end of the step."""
        self._pieces.append(body)

    def on_message_complete(self) -> None:
        """Note the end of the message."""
        self._deliver_pieces()
        super().on_message_complete()
        self._is_between_messages = self._has_progress = True
        self._discarded_bytes = 0
        if self.cycle.response_complete:
            # The bytes of this body have stopped the idle timeout.
            self._stop_header_timer()
            self._unset_keepalive_if_required()
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive, self.timeout_keep_alive_handler
            )

    def on_response_complete(self) -> None:
        """Release the request and parse the next one."""
        is_next_queued = bool(self.pipeline)
        super().on_response_complete()
        if not is_next_queued:
            self._request_bytes = 0
            self._table.end_request(self)
        if self.transport.is_closing():
            self._update_held()
            return
        self._parse_pending()
        if self._is_stopping and self._is_idle:
            self.transport.close()
        elif self._is_reading_answered_body and self._header_timer is None:
            # Each byte of the body stops the idle timeout, so the rest of the body has
            # a time of its own, which does not start again.
            rest_s = max(self.timeout_keep_alive, HEADER_TIMEOUT_S)
            self._header_timer = self.loop.call_later(rest_s, self._close_slow_body)

    @property
    def _is_idle(self) -> bool:
        """Return whether all that was read is answered."""
        is_answered: bool = self.cycle is None or self.cycle.response_complete
        return is_answered and self._is_between_messages and not self._pending

    @property
    def _is_reading_answered_body(self) -> bool:
        """Return whether the rest of a body arrives whose request is answered."""
        is_reading_body = not self._is_between_messages and not self.is_reading_head
        return is_reading_body and self.cycle.response_complete

    @property
    def has_unsent_response(self) -> bool:
        """Return whether the last response is complete, but not yet written."""
        is_complete = self.cycle is None or self.cycle.response_complete
        return is_complete and self.transport.get_write_buffer_size() > 0

    def shutdown(self) -> None:
        """Close an idle connection; otherwise close it after the current request."""
        if self.is_reading_head or self._pending:
            self._is_stopping = True
        else:
            super().shutdown()

    def _skip_empty_lines(self, end: int) -> int:
        """Return the number of bytes of empty lines behind a running request.

        Some clients send one behind a body. If it were kept, reading would pause, and
        the end of the connection would not be noticed.
        """
        skipped = end - len(bytes(_read_view[:end]).lstrip(b"\r\n"))
        self._framing_bytes += skipped
        if self._framing_bytes > self._table.limits.max_head_bytes:
            self._refuse(CloseReason.EMPTY_LINES)
            return end
        return skipped

    def _parse(self, data: bytes | bytearray, end: int, position: int = 0) -> int:
        """Parse as much as is allowed now; return the end of what was parsed."""
        piece_count = 0
        with memoryview(data) as view:
            while position < end and self._may_parse():
                if piece_count > MAX_PIECES:
                    self.loop.call_soon(self._parse_pending)
                    break
                stop = self._next_stop(data, position, end)
                self._has_rest = stop < end
                try:
                    self.parser.feed_data(view[position:stop])
                except httptools.HttpParserUpgrade:
                    # The parser takes what follows for another protocol, also a body.
                    self._is_discarding = True
                    self.cycle.keep_alive = False
                    return end
                except httptools.HttpParserError:
                    self._refuse(CloseReason.INVALID)
                    return end
                piece_count += len(self._pieces)
                self._deliver_pieces()
                if not self._count(stop - position):
                    return end
                position = stop
        return position

    def _deliver_pieces(self) -> None:
        """Give the pieces of the body to the application, or discard them.

        To join them first costs a tenth of waking the application for each.
        """
        if not self._pieces:
            return
        body = b"".join(self._pieces)
        self._pieces.clear()
        self._has_progress = True
        if self._body_left is not None:
            self._body_left -= len(body)
        if self.cycle.response_complete:
            self._discarded_bytes += len(body)
        super().on_body(body)

    def _may_parse(self) -> bool:
        if self._is_discarding or self.pipeline or self.transport.is_closing():
            return False
        if not self._is_between_messages or self.cycle is None:
            return True
        return self.cycle.response_complete and not self.flow.write_paused

    def _next_stop(self, data: bytes | bytearray, position: int, end: int) -> int:
        """Return up to where the parser may read without passing a message's end."""
        if not self._is_between_messages and not self.is_reading_head:
            left = self._body_left
            if left is not None:
                return min(end, position + max(1, left))
        stop = min(end, position + STEP_BYTES)
        found = data.find(_END, position, stop)
        return stop if found < 0 else found + len(_END)

    def _count(self, size: int) -> bool:
        """Count parsed bytes; return whether the connection is within its limits."""
        if self._is_head_new:
            self._is_head_new = False
            fields_bytes = FIELD_OVERHEAD_BYTES * len(self.headers)
            self._request_bytes = self._framing_bytes + size + fields_bytes
        self._framing_bytes = 0 if self._has_progress else self._framing_bytes + size
        self._has_progress = False
        limits = self._table.limits
        if self._framing_bytes > limits.max_head_bytes:
            self._refuse(self._reason_of_size())
            return False
        if self._discarded_bytes > limits.body_bytes:
            self._record(CloseReason.DISCARDED_BODY)
            self.transport.abort()
            return False
        return True

    def _reason_of_size(self) -> CloseReason:
        if self._is_between_messages:
            return CloseReason.EMPTY_LINES
        if not self.is_reading_head:
            return CloseReason.CHUNK_FRAMING
        if 2 * len(self.url) > self._table.limits.max_head_bytes:
            return CloseReason.TARGET_TOO_LONG
        return CloseReason.HEAD_TOO_LARGE

    def _parse_pending(self) -> None:
        """Parse bytes that waited; resume reading once none are left."""
        if self._pending:
            self._unset_keepalive_if_required()
            pending, self._pending = self._pending, b""
            self._pending = pending[self._parse(pending, len(pending)) :]
            if not self._pending:
                self.flow.has_pending = False
                if self.cycle is None or len(self.cycle.body) <= HIGH_WATER_LIMIT:
                    self.flow.resume_reading()
            if self._is_idle:
                self._start_idle_timer()
        self._update_held()

    def _update_held(self) -> None:
        """Report the bytes that the connection holds."""
        held = self._framing_bytes + self._request_bytes + len(self._pending)
        held += self.transport.get_write_buffer_size()
        if self.is_reading_head:
            held += FIELD_OVERHEAD_BYTES * len(self.headers)
        if held != self._held_bytes:
            self._held_bytes = held
            self._close_other(self._table.set_held(self, held), CloseReason.MEMORY)

    def _close_other(self, connection: Any, reason: CloseReason) -> None:
        """Close the connection that the table names, which may be this one."""
        if connection is not None:
            connection.close_for(reason)

    def close_for(self, reason: CloseReason) -> None:
        """Close the connection because there are too many or because of its memory.

        If the head of a request was read, but not its body, it is refused.
        """
        if self._is_lingering:
            self.transport.abort()
            return
        is_reading_body = not self._is_between_messages and not self.is_reading_head
        if is_reading_body and reason is CloseReason.MEMORY:
            self._refuse(reason)
        else:
            self._record(reason)
            self.transport.abort()

    def _refuse(self, reason: CloseReason) -> None:
        """Refuse the request that is being read, and close the connection."""
        self._record(reason)
        self._is_discarding = True
        self._pending = b""
        cycle = self.cycle
        is_running = cycle is not None and not cycle.response_complete
        if self.is_reading_head or self._is_between_messages:
            if is_running:
                # An earlier request is running. Its response is the last one.
                cycle.keep_alive = False
                return
        elif not is_running or cycle.response_started:
            # The request has its response, or a part of it.
            self.transport.abort()
            return
        else:
            # The application waits for the rest of the body and has not run it.
            cycle.disconnected = True
            cycle.message_event.set()
        if reason not in _REFUSALS:
            self._close()
            return
        self.transport.write(_refusal(reason))
        if self._table.linger(self):
            self._linger()
        else:
            self._close()

    def _linger(self) -> None:
        """End the connection, but read what the client still sends for some time.

        A socket that is closed with unread bytes resets its connection. The client, if
        it is still sending, would see an error instead of the refusal.
        """
        self._is_lingering = True
        self._discarded_bytes = 0
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.flow.has_pending = False
        self.flow.resume_reading()
        self._stop_header_timer()
        self._header_timer = self.loop.call_later(LINGER_S, self.transport.abort)

    def _discard(self, size: int) -> None:
        """Count bytes that arrive after a refusal; a request has no more than these."""
        self._discarded_bytes += size
        limits = self._table.limits
        if self._discarded_bytes > limits.body_bytes + limits.max_head_bytes:
            self.transport.abort()

    def _close(self) -> None:
        """Close the connection, also if the client does not read what is left."""
        self.transport.close()
        if self.transport.get_write_buffer_size() > 0:
            self._stop_header_timer()
            self._header_timer = self.loop.call_later(
                HEADER_TIMEOUT_S, self.transport.abort
            )

    def _record(self, reason: CloseReason) -> None:
        address = self.client[0] if self.client else ""
        record_closed(self._table, reason, address, self.loop.time())

    def _start_header_timer(self) -> None:
        published_s = min(self._table.limits.header_timeout_s, MAX_HEADER_TIMEOUT_S)
        self._header_timer = self.loop.call_later(
            max(HEADER_TIMEOUT_S, published_s), self._close_slow_connection
        )

    def _start_idle_timer(self) -> None:
        """Start the header timeout when bytes arrive that begin no message yet."""
        if self._header_timer is None and not self.transport.is_closing():
            self._start_header_timer()

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _close_slow_connection(self) -> None:
        self._header_timer = None
        self._table.counters[CloseReason.SLOW_HEAD] += 1
        self._close()

    def _close_slow_body(self) -> None:
        self._header_timer = None
        self._record(CloseReason.DISCARDED_BODY)
        self._close()


def _listener_name(server: tuple[str, int | None] | None) -> str:
    return str(server[1]) if server else ""


@functools.cache
def _phrase(status: int) -> str:
    return http.HTTPStatus(status).phrase


def _refusal(reason: CloseReason) -> bytes:
    """Return a response with a JSON error body instead of the plain text of uvicorn."""
    kind, message = _REFUSALS[reason]
    failure = Failure(kind, message)
    request_id = new_request_id()
    body = error_body(failure, request_id)
    status = failure.response.status
    retry = f"retry-after: {RETRY_AFTER_S}\r\n" if failure.response.is_retryable else ""
    head = (
        f"HTTP/1.1 {status} {_phrase(status)}\r\ncontent-type: application/json\r\n"
        f"{REQUEST_ID_HEADER}: {request_id}\r\n"
        f"{EXECUTION_HEADER}: {failure.execution}\r\n{retry}"
        f"content-length: {len(body)}\r\nconnection: close\r\n\r\n"
    )
    return head.encode() + body
