"""Decide what a key permits and remember the used tickets of this incarnation."""

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
from dandelionpond.requests.ticket import PREFIX, Ticket, decode_ticket


class _Entry:
    __slots__ = ("body_hash", "expires_at", "result", "run")

    def __init__(self, body_hash: bytes, expires_at: float) -> None:
        self.body_hash = body_hash
        self.expires_at = expires_at
        self.run = 1
        # None while the call is running.
        self.result: Outcome | Failure | None = None


class TicketCounters(msgspec.Struct):
    """Count what happened to tickets since the start."""

    issued: int = 0
    begun: int = 0
    recorded: int = 0
    refused_full: int = 0
    outcomes_too_large: int = 0
    expired: int = 0
    late_finishes: int = 0


class TicketTable:
    """Own the used tickets of one incarnation.

    A ticket without an entry is unused. An entry is kept until its ticket expires, and
    longer while its call is running. `now` is in seconds from CLOCK_BOOTTIME.
    """

    __slots__ = (
        "_entries",
        "_expiries",
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
        self._expiries: list[tuple[float, str]] = []
        self._outcome_bytes = 0
        self._is_closed = False
        self.counters = TicketCounters()

    @property
    def size(self) -> int:
        """Return the number of entries; at most `max_tickets`."""
        return len(self._entries)

    @property
    def outcome_bytes(self) -> int:
        """Return the bytes of recorded outcomes."""
        return self._outcome_bytes

    def update(self, settings: RequestsSettings) -> None:
        """Take new settings; tickets keep the expiry that they were issued with."""
        self._settings = settings

    def close(self) -> None:
        """Begin no further run; there is no way back.

        A ticket that has not run by then never will, so `not_run` is certain for it.
        """
        self._is_closed = True

    def issue(self, account: str, service: str, now: float) -> str:
        """Return a new ticket as text; it takes no memory until it is used."""
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
        rule: Service,
        body_hash: bytes,
        now: float,
    ) -> Classification:
        """Return what this node has to do with a call; changes nothing.

        A failed check never yields `not_run` for a key that may have been used.
        """
        if key is None:
            if rule.idempotent:
                return RunWithoutTicket(None)
            return _refuse(ErrorKind.TICKET_REQUIRED, "this service needs a ticket")
        signed = decode_ticket(key)
        if signed is None:
            # A damaged ticket must not run as a plain key: its first use may have run.
            plain = not key.startswith(PREFIX)
            if plain and (rule.idempotent or rule.deduplicates):
                return RunWithoutTicket(key if rule.deduplicates else None)
            return _refuse(ErrorKind.KEY_NOT_TICKET, "the key is not a valid ticket")
        ticket = signed.ticket
        if ticket.issuer != self._identity.name:
            if (ticket.account, ticket.service) != (account, service):
                return _mismatch()
            return ForwardToIssuer(
                ticket.issuer, ticket.incarnation, ticket.peer_address
            )
        if ticket.incarnation != self._identity.incarnation:
            return _refuse(
                ErrorKind.ISSUER_UNREACHABLE, "the issuer has restarted since"
            )
        if not signed.verify(self._secret):
            return _refuse(ErrorKind.KEY_NOT_TICKET, "the key is not a valid ticket")
        if (ticket.account, ticket.service) != (account, service):
            return _mismatch()
        found = self._find(ticket, body_hash, now)
        match found:
            case Outcome():
                return RepeatOutcome(found)
            case Failure():
                return Refuse(found)
        return RunWithTicket(ticket, key if rule.deduplicates else None)

    def begin(
        self, ticket: Ticket, body_hash: bytes, now: float
    ) -> Result[int, RepeatOutcome | Refuse]:
        """Mark a verified ticket as running and return the number of the run.

        The check and the mark are one step, and the expiry is compared with `now`, so
        a pause or another request between `classify` and this call is harmless.
        """
        found = self._find(ticket, body_hash, now)
        match found:
            case Failure():
                return Error(Refuse(found))
            case Outcome():
                return Error(RepeatOutcome(found))
        if self._is_closed:
            return Error(_refuse(ErrorKind.DRAINING, "the issuer is shutting down"))
        entry = self._entries.get(ticket.nonce)
        if entry is not None:
            entry.run += 1
            entry.result = None
        else:
            if len(self._entries) >= self._settings.max_tickets:
                self.expire(now)
            if len(self._entries) >= self._settings.max_tickets:
                self.counters.refused_full += 1
                return Error(_refuse(ErrorKind.OVERLOADED, "the ticket book is full"))
            entry = _Entry(body_hash, ticket.expires_at)
            self._entries[ticket.nonce] = entry
            heapq.heappush(self._expiries, (ticket.expires_at, ticket.nonce))
        self.counters.begun += 1
        return Ok(entry.run)

    def finish(
        self, ticket: Ticket, run: int, result: Outcome | Failure, now: float
    ) -> bool:
        """Record how a run ended; return False if that run had already ended.

        The run number keeps a late end of an earlier run off the entry of a later one.
        """
        entry = self._entries.get(ticket.nonce)
        if entry is None or entry.run != run or entry.result is not None:
            self.counters.late_finishes += 1
            return False
        if now >= entry.expires_at:
            # Any later use is refused as expired. Its heap item, if any, finds nothing.
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
                    ErrorKind.ANSWER_TOO_LARGE, "ran; the outcome was too large to keep"
                )
            else:
                self._outcome_bytes = total
        entry.result = result
        self.counters.recorded += 1
        return True

    def expire(self, now: float) -> int:
        """Remove ended entries whose ticket has expired and return their number."""
        removed = 0
        while self._expiries and self._expiries[0][0] <= now:
            _, nonce = heapq.heappop(self._expiries)
            entry = self._entries.get(nonce)
            # A running entry stays until `finish`, which then removes it.
            if entry is None or entry.result is None:
                continue
            if isinstance(entry.result, Outcome):
                self._outcome_bytes -= len(entry.result.body)
            del self._entries[nonce]
            removed += 1
        self.counters.expired += removed
        return removed

    def _find(
        self, ticket: Ticket, body_hash: bytes, now: float
    ) -> Outcome | Failure | None:
        """Return what forbids a run, or None if the ticket may run."""
        if now >= ticket.expires_at:
            return _failure(ErrorKind.TICKET_EXPIRED, "the ticket has expired")
        entry = self._entries.get(ticket.nonce)
        if entry is None:
            return None
        if entry.body_hash != body_hash:
            return _mismatch().failure
        match entry.result:
            case None:
                return _failure(ErrorKind.CALL_IN_PROGRESS, "the call is running")
            case Failure() if entry.result.execution is Execution.NOT_RUN:
                return None
        return entry.result


def failure_for_unresolved_key(failure: Failure) -> Failure:
    """Return the failure that a node may answer for a key it cannot look up.

    A node that refuses a call before its key is looked up (limit, overload, shutdown)
    does not know whether an earlier use ran, so its `not_run` becomes `key_unresolved`.
    """
    if failure.execution is Execution.NOT_RUN:
        return _failure(ErrorKind.KEY_UNRESOLVED, failure.message)
    return failure


def _failure(kind: ErrorKind, message: str) -> Failure:
    return Failure(kind, message)


def _refuse(kind: ErrorKind, message: str) -> Refuse:
    return Refuse(_failure(kind, message))


def _mismatch() -> Refuse:
    return _refuse(
        ErrorKind.TICKET_MISMATCH, "the ticket is bound to another call or account"
    )
