"""Table of the used tickets of this incarnation and the decisions about keys."""

import heapq
from random import Random

import msgspec
from expression import Error, Ok, Result

from dandelionpond.config.schema import Service
from dandelionpond.errors import ErrorKind, Execution, Failure
from dandelionpond.identity import Identity
from dandelionpond.requests.messages import (
    Classification,
    ForwardToIssuer,
    Outcome,
    Refuse,
    RepeatOutcome,
    RunWithoutTicket,
    RunWithTicket,
)
from dandelionpond.requests.settings import RequestsSettings
from dandelionpond.requests.ticket import TICKET_PREFIX, Ticket, decode_ticket


class _Entry:
    __slots__ = ("body_hash", "expires_at", "result", "run_number")

    def __init__(self, body_hash: bytes, expires_at: float) -> None:
        self.body_hash = body_hash
        self.expires_at = expires_at
        self.run_number = 1
        # None while the call is running.
        self.result: Outcome | Failure | None = None


class TicketCounters(msgspec.Struct):
    """Counts of ticket operations since the process started."""

    issued: int = 0
    begun: int = 0
    recorded: int = 0
    refused_full: int = 0
    outcomes_too_large: int = 0
    expired: int = 0
    late_finishes: int = 0


class TicketTable:
    """Issuer of tickets and table of the used ones, for one incarnation.

    A ticket without an entry is unused. An entry is kept until its ticket has expired
    and its call has ended. `now` is in seconds of CLOCK_BOOTTIME.
    """

    __slots__ = (
        "_entries",
        "_expiry_heap",
        "_identity",
        "_is_closed",
        "_outcome_bytes",
        "_peer_address",
        "_random",
        "_secret",
        "_settings",
        "counters",
    )

    def __init__(
        self,
        identity: Identity,
        peer_address: str,
        secret: bytes,
        settings: RequestsSettings,
        random: Random,
    ) -> None:
        self._identity = identity
        self._peer_address = peer_address
        self._secret = secret
        self._settings = settings
        self._random = random
        self._entries: dict[str, _Entry] = {}
        self._expiry_heap: list[tuple[float, str]] = []
        self._outcome_bytes = 0
        self._is_closed = False
        self.counters = TicketCounters()

    @property
    def size(self) -> int:
        """Return the number of entries; at most `max_tickets`."""
        return len(self._entries)

    @property
    def outcome_bytes(self) -> int:
        """Return the total size of the recorded outcomes in bytes."""
        return self._outcome_bytes

    def update(self, settings: RequestsSettings) -> None:
        """Replace the settings; issued tickets keep their expiry."""
        self._settings = settings

    def close(self) -> None:
        """Permanently stop starting runs.

        A ticket that has not run by now never will, so `not_run` is certain for it.
        """
        self._is_closed = True

    def issue(self, account: str, service: str, now: float) -> str:
        """Return a new encoded ticket; it takes no memory until it is used."""
        self.counters.issued += 1
        ticket = Ticket(
            self._identity.name,
            self._identity.incarnation,
            self._peer_address,
            account,
            service,
            now + self._settings.ticket_ttl_s,
            f"{self._random.getrandbits(128):032x}",
        )
        return ticket.encode(self._secret)

    def classify(
        self,
        key: str | None,
        account: str,
        service: str,
        service_settings: Service,
        body_hash: bytes,
        now: float,
    ) -> Classification:
        """Return what this node must do with a call; changes no state.

        A failed check never results in `not_run` for a key that may have been used.
        """
        if key is None:
            if service_settings.idempotent:
                return RunWithoutTicket(None)
            return _refusal(
                ErrorKind.TICKET_REQUIRED,
                "this service requires a ticket in Idempotency-Key",
            )
        unverified = decode_ticket(key)
        if unverified is None:
            # A corrupted ticket must not run as a plain key, since an earlier use of
            # the intact ticket may have run.
            is_plain_key = not key.startswith(TICKET_PREFIX)
            if is_plain_key and (
                service_settings.idempotent or service_settings.deduplicates
            ):
                return RunWithoutTicket(key if service_settings.deduplicates else None)
            return _refusal(ErrorKind.KEY_NOT_TICKET, "the key is not a valid ticket")
        ticket = unverified.ticket
        if ticket.issuer != self._identity.name:
            if (ticket.account, ticket.service) != (account, service):
                return _ticket_mismatch()
            return ForwardToIssuer(
                ticket.issuer, ticket.incarnation, ticket.peer_address
            )
        if ticket.incarnation != self._identity.incarnation:
            return _refusal(
                ErrorKind.ISSUER_UNREACHABLE,
                "the node that issued the ticket has restarted",
            )
        if not unverified.verify(self._secret):
            return _refusal(ErrorKind.KEY_NOT_TICKET, "the key is not a valid ticket")
        if (ticket.account, ticket.service) != (account, service):
            return _ticket_mismatch()
        blocking_result = self._find_blocking_result(ticket, body_hash, now)
        match blocking_result:
            case Outcome():
                return RepeatOutcome(blocking_result)
            case Failure():
                return Refuse(blocking_result)
        return RunWithTicket(ticket, key if service_settings.deduplicates else None)

    def begin(
        self, ticket: Ticket, body_hash: bytes, now: float
    ) -> Result[int, RepeatOutcome | Refuse]:
        """Mark a verified ticket as running and return the number of the run.

        The ticket is checked again and marked in one step, with its expiry compared to
        `now`, so a pause or another request after `classify` does no harm.
        """
        blocking_result = self._find_blocking_result(ticket, body_hash, now)
        match blocking_result:
            case Failure():
                return Error(Refuse(blocking_result))
            case Outcome():
                return Error(RepeatOutcome(blocking_result))
        if self._is_closed:
            return Error(_refusal(ErrorKind.DRAINING, "the issuer is shutting down"))
        entry = self._entries.get(ticket.nonce)
        if entry is not None:
            entry.run_number += 1
            entry.result = None
        else:
            if len(self._entries) >= self._settings.max_tickets:
                self.expire(now)
            if len(self._entries) >= self._settings.max_tickets:
                self.counters.refused_full += 1
                return Error(_refusal(ErrorKind.OVERLOADED, "the ticket table is full"))
            entry = _Entry(body_hash, ticket.expires_at)
            self._entries[ticket.nonce] = entry
            heapq.heappush(self._expiry_heap, (ticket.expires_at, ticket.nonce))
        self.counters.begun += 1
        return Ok(entry.run_number)

    def finish(
        self, ticket: Ticket, run_number: int, result: Outcome | Failure, now: float
    ) -> bool:
        """Record the result of a run; return False if that run had already ended.

        The run number prevents the late result of an earlier run from being recorded
        for a later run of the same ticket.
        """
        entry = self._entries.get(ticket.nonce)
        if entry is None or entry.run_number != run_number or entry.result is not None:
            self.counters.late_finishes += 1
            return False
        if now >= entry.expires_at:
            # Later uses are refused as expired. `expire` skips an item that is still in
            # the heap.
            del self._entries[ticket.nonce]
            self.counters.expired += 1
            return True
        if isinstance(result, Outcome):
            size = len(result.body)
            total = self._outcome_bytes + size
            if (
                size > self._settings.max_outcome_bytes
                or total > self._settings.max_outcomes_total_bytes
            ):
                self.counters.outcomes_too_large += 1
                result = _failure(
                    ErrorKind.ANSWER_TOO_LARGE,
                    "the call ran but its outcome is too large to store",
                )
            else:
                self._outcome_bytes = total
        entry.result = result
        self.counters.recorded += 1
        return True

    def expire(self, now: float) -> int:
        """Remove expired entries whose call has ended; return their number."""
        removed = 0
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            _, nonce = heapq.heappop(self._expiry_heap)
            entry = self._entries.get(nonce)
            # The entry of a running call stays until `finish` removes it.
            if entry is None or entry.result is None:
                continue
            if isinstance(entry.result, Outcome):
                self._outcome_bytes -= len(entry.result.body)
            del self._entries[nonce]
            removed += 1
        self.counters.expired += removed
        return removed

    def _find_blocking_result(
        self, ticket: Ticket, body_hash: bytes, now: float
    ) -> Outcome | Failure | None:
        """Return the result that prevents a run, or None if the ticket may run."""
        if now >= ticket.expires_at:
            return _failure(ErrorKind.TICKET_EXPIRED, "the ticket has expired")
        entry = self._entries.get(ticket.nonce)
        if entry is None:
            return None
        if entry.body_hash != body_hash:
            return _ticket_mismatch().failure
        match entry.result:
            case None:
                return _failure(ErrorKind.CALL_IN_PROGRESS, "the call is running")
            case Failure() if entry.result.execution is Execution.NOT_RUN:
                return None
        return entry.result


def failure_for_unresolved_key(failure: Failure) -> Failure:
    """Return the failure to report for a call whose key has not been looked up.

    A node that refuses a call before it looks up the key (limit, overload, shutdown)
    does not know whether an earlier use ran, so `not_run` becomes `key_unresolved`.
    """
    if failure.execution is Execution.NOT_RUN:
        return _failure(ErrorKind.KEY_UNRESOLVED, failure.message)
    return failure


def _failure(kind: ErrorKind, message: str) -> Failure:
    return Failure(kind, message)


def _refusal(kind: ErrorKind, message: str) -> Refuse:
    return Refuse(_failure(kind, message))


def _ticket_mismatch() -> Refuse:
    return _refusal(
        ErrorKind.TICKET_MISMATCH, "the ticket is bound to another call or account"
    )
