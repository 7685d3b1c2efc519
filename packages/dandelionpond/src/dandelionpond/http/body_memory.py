"""Bound the memory of all request bodies that a process holds at the same time."""

from dandelionpond.http.connection_limits import BufferLimit

# Memory of a process that states none.
DEFAULT_MEMORY_BYTES = 256 << 20
# Share of the VM's memory for long request bodies that are held at the same time and
# for what connections hold, and the copies of each body: while it is sent to a slow
# upstream, the part that is not sent yet is held once more.
BODY_MEMORY_SHARE = 0.4
COPIES_OF_BODY = 2
# Copies of a body that is forwarded, at either node: the body, the message, and what
# the gRPC library has yet to send or has received of the message.
COPIES_OF_FORWARDED_BODY = 3
# Length in bytes up to which a body is counted apart, so that long bodies do not keep
# out short requests, and the share of the memory for all short bodies.
SHORT_BODY_BYTES = 64 * 1024
SHORT_BODY_MEMORY_SHARE = 0.15


class BodyLimits:
    """The limits that all request bodies of a process share.

    `long_bodies` also counts what connections hold.
    """

    __slots__ = ("long_bodies", "short_bodies")

    def __init__(self, memory_bytes: int = DEFAULT_MEMORY_BYTES) -> None:
        self.long_bodies = BufferLimit(int(BODY_MEMORY_SHARE * memory_bytes))
        self.short_bodies = BufferLimit(int(SHORT_BODY_MEMORY_SHARE * memory_bytes))

    @property
    def refused(self) -> int:
        """Return the number of bodies for which there was no memory."""
        return self.long_bodies.refused + self.short_bodies.refused


class BodyMemory:
    """The memory that one request holds for its body, from the common limits."""

    __slots__ = ("_held", "_limit", "_limits")

    def __init__(self, limits: BodyLimits) -> None:
        self._limits = limits
        self._limit = limits.short_bodies
        self._held = 0

    @property
    def max_body_bytes(self) -> int:
        """Return the length of the longest body that fits if nothing else is held."""
        return self._limits.long_bodies.max_bytes // COPIES_OF_BODY

    @property
    def is_held(self) -> bool:
        """Return whether any memory is reserved."""
        return self._held > 0

    def grow_to(self, body_bytes: int) -> bool:
        """Reserve memory for a body of this length; return False if there is none."""
        return self._grow(body_bytes, COPIES_OF_BODY * body_bytes)

    def grow_forwarded_to(self, body_bytes: int) -> bool:
        """Reserve memory for a forwarded body; return False if there is none.

        A body whose copies exceed the whole limit takes all of it, so that a small node
        can forward each body that it accepts.
        """
        return self._grow(body_bytes, self._forwarded_bytes(body_bytes))

    def shrink_forwarded_to(self, body_bytes: int) -> None:
        """Release what exceeds the memory of a forwarded body of this length."""
        excess = self._held - self._forwarded_bytes(body_bytes)
        if excess > 0:
            self._limit.release(excess)
            self._held -= excess

    def _forwarded_bytes(self, body_bytes: int) -> int:
        needed = COPIES_OF_FORWARDED_BODY * body_bytes
        return min(needed, self._limits.long_bodies.max_bytes)

    def _grow(self, body_bytes: int, needed: int) -> bool:
        if needed <= self._held:
            return True
        long_limit = self._limits.long_bodies
        if body_bytes > SHORT_BODY_BYTES and self._limit is not long_limit:
            self.release()
            self._limit = long_limit
        if not self._limit.take(needed - self._held):
            return False
        self._held = needed
        return True

    def take_over(self, other: "BodyMemory") -> None:
        """Hold what another reservation holds, instead of it and of the present one."""
        self.release()
        self._limit, self._held = other._limit, other._held
        other._held = 0

    def detach(self) -> "BodyMemory":
        """Return the reservation as another object, which has to be released instead.

        It is for work with the body that may outlast the request.
        """
        other = BodyMemory(self._limits)
        other.take_over(self)
        return other

    def release(self) -> None:
        """Release all memory of the request."""
        self._limit.release(self._held)
        self._held = 0


class CallMemory:
    """The memory that one call holds for its body and for the answer to it."""

    __slots__ = ("answer", "body")

    def __init__(self, body: BodyMemory, answer: BodyMemory) -> None:
        self.body = body
        self.answer = answer

    @classmethod
    def from_limits(cls, limits: BodyLimits) -> "CallMemory":
        """Return the memory of a call that holds nothing yet."""
        return cls(BodyMemory(limits), BodyMemory(limits))

    def release(self) -> None:
        """Release all memory of the call."""
        self.body.release()
        self.answer.release()
