"""Decide what client connections may hold, how many there are and which to close."""

from collections.abc import Hashable
from enum import StrEnum

import msgspec

# Bytes above the published limit of a head. The limit counts header fields; the request
# line, separators and fields that a load balancer adds come on top of it.
HEAD_ROOM_BYTES = 16 * 1024
# Bytes of memory of a header field beyond its length: two byte strings, a tuple and a
# place in a list.
FIELD_OVERHEAD_BYTES = 136
# Bytes that a connection may hold without being counted. Ordinary requests stay below.
UNCOUNTED_BYTES = 4 * 1024
# Share of the common limit that bodies cannot take from connections. Without it, long
# bodies that fill the limit would close connections with short heads.
CONNECTION_SHARE = 0.25
# Share of the descriptors for connections of clients. The rest is for upstreams, peers,
# the store, readiness, metrics and a batch of connections that are being accepted.
CLIENT_DESCRIPTOR_SHARE = 0.5
# Memory in bytes of an idle connection without and with TLS, and the share of the VM's
# memory for them.
IDLE_CONNECTION_BYTES = 12 * 1024
TLS_CONNECTION_BYTES = 64 * 1024
IDLE_MEMORY_SHARE = 0.2
MIN_CONNECTIONS = 16
# Connections of each listener that is not for requests.
SIDE_CONNECTIONS = 16
# Connections that are refused and read on for a short time. Those that were closed
# because of the memory are no longer counted otherwise.
MAX_LINGERING = 64
# Seconds between two log lines about one client address and reason, and the number of
# such pairs that are remembered.
LOG_INTERVAL_S = 60.0
MAX_LOGGED_CLIENTS = 1_024


class CloseReason(StrEnum):
    """Why a connection was closed or its request refused."""

    HEAD_TOO_LARGE = "head_too_large"
    TARGET_TOO_LONG = "target_too_long"
    EMPTY_LINES = "empty_lines"
    CHUNK_FRAMING = "chunk_framing"
    DISCARDED_BODY = "discarded_body"
    INVALID = "invalid"
    MEMORY = "memory"
    CONNECTIONS = "connections"
    SLOW_HEAD = "slow_head"
    HANDSHAKE = "handshake"


class ConnectionLimits(msgspec.Struct, frozen=True):
    """The published limits on requests that apply to each connection.

    `header_timeout_s` is the time in seconds that a client may take for a head; 0 if it
    is not published. The node waits 15 s at least.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 0.0

    @property
    def max_head_bytes(self) -> int:
        """Return the bytes of a head, of trailers or between two pieces of a body."""
        return self.head_bytes + HEAD_ROOM_BYTES


class BufferLimit:
    """A limit on the bytes that are buffered at the same time.

    `refused` counts the reservations that did not fit.
    """

    __slots__ = ("max_bytes", "peak_bytes", "refused", "used_bytes")

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self.peak_bytes = 0
        self.refused = 0

    def take(self, size: int) -> bool:
        """Reserve bytes; return False if the limit is reached."""
        if self.used_bytes + size > self.max_bytes:
            self.refused += 1
            return False
        self.add(size)
        return True

    def add(self, size: int) -> None:
        """Count bytes that are already held, also beyond the limit."""
        self.used_bytes += size
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self.used_bytes -= size


def max_client_connections(
    memory_bytes: int,
    max_descriptors: int,
    connection_bytes: int = IDLE_CONNECTION_BYTES,
) -> int:
    """Return how many connections of clients a process may keep."""
    by_memory = int(IDLE_MEMORY_SHARE * memory_bytes) // connection_bytes
    by_descriptors = int(CLIENT_DESCRIPTOR_SHARE * max_descriptors)
    return max(MIN_CONNECTIONS, min(by_memory, by_descriptors))


class _Group:
    """The connections of one listener, by what they are doing, oldest first.

    `fresh` connections have not sent a complete head yet, `idle` ones wait for their
    next request.
    """

    __slots__ = ("count", "fresh", "idle", "max_count")

    def __init__(self, max_count: int) -> None:
        self.max_count = max_count
        self.count = 0
        self.fresh: dict[Hashable, None] = {}
        self.idle: dict[Hashable, None] = {}


class LogLimiter:
    """A limit of log lines to one for each client, reason and `LOG_INTERVAL_S`.

    While the table is full of clients that had a line in this time, others get none.
    `counters` has all lines that were left out, and those for which there was no room.
    """

    __slots__ = ("_entries", "counters")

    def __init__(self) -> None:
        # Time of the last line and the lines left out since, by address and reason, the
        # oldest first.
        self._entries: dict[tuple[str, str], tuple[float, int]] = {}
        self.counters = {"suppressed": 0, "table_full": 0}

    def admit(self, address: str, reason: str, now: float) -> int | None:
        """Return how many lines were left out before this one; None to leave it out."""
        key = address, reason
        logged_at, suppressed = self._entries.get(key, (-LOG_INTERVAL_S, 0))
        if now - logged_at < LOG_INTERVAL_S:
            self._entries[key] = logged_at, suppressed + 1
            self.counters["suppressed"] += 1
            return None
        self._entries.pop(key, None)
        if len(self._entries) >= MAX_LOGGED_CLIENTS:
            oldest = next(iter(self._entries))
            if now - self._entries[oldest][0] < LOG_INTERVAL_S:
                self.counters["suppressed"] += 1
                self.counters["table_full"] += 1
                return None
            del self._entries[oldest]
        self._entries[key] = now, 0
        return suppressed


class ConnectionTable:
    """The open connections and the bytes that they hold.

    `limit` is shared with the bodies of requests. Connections are any objects. Methods
    that return a connection name the one that has to be closed, which is then no longer
    counted.
    """

    __slots__ = (
        "_groups",
        "_held",
        "_held_bytes",
        "_limit",
        "_lingering",
        "_max_connections",
        "_opened",
        "_sequence",
        "counters",
        "limits",
        "log_limiter",
    )

    def __init__(self, limit: BufferLimit, max_connections: int) -> None:
        self._limit = limit
        self._max_connections = max_connections
        self._groups: dict[str, _Group] = {}
        # Group and order of opening of each connection.
        self._opened: dict[Hashable, tuple[_Group, int]] = {}
        self._sequence = 0
        self._held: dict[Hashable, int] = {}
        self._held_bytes = 0
        self._lingering: set[Hashable] = set()
        self.log_limiter = LogLimiter()
        self.limits = ConnectionLimits()
        self.counters = {reason.value: 0 for reason in CloseReason}

    @property
    def count(self) -> int:
        """Return the number of open connections."""
        return len(self._opened)

    @property
    def held_bytes(self) -> int:
        """Return the counted bytes of all connections."""
        return self._held_bytes

    def add_group(self, name: str, max_connections: int) -> None:
        """Give the connections of a listener a number of their own."""
        self._groups[name] = _Group(max_connections)

    def open(self, connection: Hashable, group_name: str) -> Hashable | None:
        """Add a connection; return the one to close if there are too many.

        That is the one that has waited longest for its first request, else for its
        next one, else the new one.
        """
        group = self._groups.get(group_name)
        if group is None:
            group = self._groups[group_name] = _Group(self._max_connections)
        self._sequence += 1
        self._opened[connection] = group, self._sequence
        group.count += 1
        group.fresh[connection] = None
        if group.count <= group.max_count:
            return None
        victim = next(iter(group.fresh))
        if victim is connection and group.idle:
            victim = next(iter(group.idle))
        self.close(victim)
        return victim

    def close(self, connection: Hashable) -> None:
        """Remove a connection; one that is not known is ignored."""
        self._lingering.discard(connection)
        opened = self._opened.pop(connection, None)
        if opened is None:
            return
        group = opened[0]
        group.count -= 1
        group.fresh.pop(connection, None)
        group.idle.pop(connection, None)
        size = self._held.pop(connection, 0)
        self._held_bytes -= size
        self._limit.release(size)

    def begin_request(self, connection: Hashable) -> None:
        """Note that a complete head was read."""
        opened = self._opened.get(connection)
        if opened is not None:
            opened[0].fresh.pop(connection, None)
            opened[0].idle.pop(connection, None)

    def end_request(self, connection: Hashable) -> None:
        """Note that a response was completed."""
        opened = self._opened.get(connection)
        if opened is not None:
            opened[0].idle[connection] = None

    def linger(self, connection: Hashable) -> bool:
        """Return whether a refused connection may read on; it may until `close`."""
        if len(self._lingering) >= MAX_LINGERING:
            return False
        self._lingering.add(connection)
        return True

    def set_held(self, connection: Hashable, size: int) -> Hashable | None:
        """Set the bytes that a connection holds; return the one to close, if any.

        Past the limit that is the one that holds most, of equal ones the newest.
        """
        if connection not in self._opened:
            return None
        if size <= UNCOUNTED_BYTES:
            size = 0
        change = size - self._held.get(connection, 0)
        if not change:
            return None
        if size:
            self._held[connection] = size
        else:
            del self._held[connection]
        self._held_bytes += change
        self._limit.add(change)
        if change < 0 or not self._is_over_limit():
            return None
        victim = max(
            self._held, key=lambda other: (self._held[other], self._opened[other][1])
        )
        self.close(victim)
        return victim

    def record(self, reason: CloseReason, address: str, now: float) -> int | None:
        """Count a reason; return as `LogLimiter.admit` whether to log it."""
        self.counters[reason.value] += 1
        return self.log_limiter.admit(address, reason, now)

    def _is_over_limit(self) -> bool:
        limit = self._limit
        return (
            limit.used_bytes > limit.max_bytes
            and self._held_bytes > CONNECTION_SHARE * limit.max_bytes
        )
