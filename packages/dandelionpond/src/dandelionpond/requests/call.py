"""Decide the attempts of one plain call."""

from expression import Error, Ok, Result

from dandelionpond.config.schema import Service
from dandelionpond.errors import ErrorKind, Execution, Failure
from dandelionpond.requests.budget import RetryBudget
from dandelionpond.requests.messages import (
    AnswerCall,
    Answered,
    AnswerTooLarge,
    BytesSent,
    CallAction,
    CallerGone,
    CallEvent,
    CancelCall,
    ConnectFailed,
    ConnectionReset,
    FailCall,
    InvalidAnswer,
    Outcome,
    SendCall,
    Started,
    Tick,
)
from dandelionpond.requests.settings import RequestsSettings


class Call:
    """Run one plain call to exactly one answer or failure.

    `workers` are the upstreams in order of preference. `deadline` and `send_until`
    (the expiry of the ticket, if there is one) are in seconds of CLOCK_BOOTTIME.
    The rule of the service is passed with each event, because settings can change
    while the call runs; None means that the service no longer exists.
    """

    __slots__ = (
        "_attempt",
        "_attempt_ends",
        "_budget",
        "_deadline",
        "_idempotent",
        "_may_have_run",
        "_request_id",
        "_result",
        "_send_until",
        "_sent",
        "_settings",
        "_workers",
        "late_events",
    )

    def __init__(
        self,
        request_id: str,
        workers: tuple[str, ...],
        rule: Service,
        settings: RequestsSettings,
        budget: RetryBudget,
        deadline: float,
        send_until: float | None = None,
    ) -> None:
        self._request_id = request_id
        self._workers = workers
        self._idempotent = rule.idempotent
        self._settings = settings
        self._budget = budget
        self._deadline = deadline
        self._send_until = min(deadline, deadline if send_until is None else send_until)
        self._attempt = 0
        self._attempt_ends = deadline
        self._sent = False
        # An earlier attempt may have run, so no later end may say `not_run`.
        self._may_have_run = False
        self._result: Result[Outcome, Failure] | None = None
        self.late_events = 0

    @property
    def result(self) -> Result[Outcome, Failure] | None:
        """Return how the call ended, or None while it is open."""
        return self._result

    @property
    def attempts(self) -> int:
        """Return the number of attempts so far."""
        return self._attempt

    def next_tick(self) -> float:
        """Return the time of the next `Tick` in seconds."""
        return min(self._deadline, self._attempt_ends)

    def may_send(self, attempt: int, now: float) -> bool:
        """Return whether the first byte of an attempt may leave now, and note it.

        The adapter asks in the same loop step that hands the byte to the socket. Hence
        an attempt that was given up during a pause, or that connects too late, never
        sends, and an attempt that sent is never taken for one that did not.
        """
        if (
            self._result is not None
            or attempt != self._attempt
            or now >= min(self._send_until, self._attempt_ends)
        ):
            return False
        self._sent = True
        return True

    def handle(
        self, event: CallEvent, rule: Service | None, now: float
    ) -> list[CallAction]:
        """Take one event and return what to do; never raises for a late event."""
        if self._result is not None:
            self.late_events += 1
            return []
        match event:
            case Started():
                if self._attempt:
                    self.late_events += 1
                    return []
                self._budget.earn()
                return self._send(rule, now)
            case CallerGone():
                # This kind is always `may_have_run`; the caller no longer reads it.
                return self._end_open(
                    Failure(ErrorKind.CALLER_GONE, "the caller disconnected")
                )
            case Tick():
                return self._tick(rule, now)
        if event.attempt != self._attempt:
            self.late_events += 1
            return []
        match event:
            case BytesSent():
                self._sent = True
                return []
            case ConnectFailed() if not self._sent:
                return self._retry(
                    ErrorKind.UPSTREAM_UNREACHABLE, "no connection", rule, now
                )
            case ConnectFailed() | ConnectionReset():
                # Without `BytesSent` a reset is as harmless as a refused connection.
                kind = (
                    ErrorKind.UPSTREAM_FAILED
                    if self._sent
                    else ErrorKind.UPSTREAM_UNREACHABLE
                )
                return self._retry(kind, "the connection broke", rule, now)
            case InvalidAnswer():
                return self._invalid(rule, now)
            case AnswerTooLarge():
                return self._end(
                    Error(
                        Failure(ErrorKind.ANSWER_TOO_LARGE, "the answer is too large")
                    )
                )
            case Answered():
                return self._answered(event, rule, now)

    def _answered(
        self, event: Answered, rule: Service | None, now: float
    ) -> list[CallAction]:
        if event.request_id != self._attempt_id():
            return self._invalid(rule, now)
        if not event.says_not_run:
            return self._end(Ok(event.outcome))
        if rule is not None and rule.states_not_run:
            self._sent = False
            return self._retry(
                ErrorKind.UPSTREAM_REFUSED, "the service did not run it", rule, now
            )
        self._sent = True
        return self._retry(
            ErrorKind.UPSTREAM_FAILED, "the service failed the call", rule, now
        )

    def _invalid(self, rule: Service | None, now: float) -> list[CallAction]:
        self._sent = True
        return self._retry(
            ErrorKind.UPSTREAM_INVALID, "the answer is not valid", rule, now
        )

    def _tick(self, rule: Service | None, now: float) -> list[CallAction]:
        if now >= self._deadline:
            kind = (
                ErrorKind.DEADLINE_AFTER_SEND
                if self._sent
                else ErrorKind.DEADLINE_BEFORE_SEND
            )
            return self._end_open(Failure(kind, "the deadline passed"))
        if not self._attempt or now < self._attempt_ends:
            return []
        if self._sent:
            kind = ErrorKind.UPSTREAM_FAILED
        else:
            kind = ErrorKind.UPSTREAM_UNREACHABLE
        # The edge closes the connection before the next attempt is sent. An attempt
        # without `BytesSent` cannot send after its `CancelCall`: both are on one loop.
        cancel: list[CallAction] = [CancelCall(self._attempt)]
        return cancel + self._retry(kind, "the service did not answer", rule, now)

    def _retry(
        self, kind: ErrorKind, message: str, rule: Service | None, now: float
    ) -> list[CallAction]:
        """Send another attempt if that is safe and permitted, or else end."""
        failure = Failure(kind, message)
        self._may_have_run |= self._sent
        repeatable = self._idempotent and rule is not None and rule.idempotent
        if self._sent and not repeatable:
            return self._end(Error(failure))
        if (
            self._attempt >= self._settings.max_attempts
            or now >= self._send_until
            or not self._budget.take()
        ):
            return self._end(Error(failure))
        return self._send(rule, now)

    def _send(self, rule: Service | None, now: float) -> list[CallAction]:
        if rule is None:
            return self._end(
                Error(Failure(ErrorKind.UNKNOWN_SERVICE, "the service was removed"))
            )
        if not self._workers:
            return self._end(Error(Failure(ErrorKind.NO_UPSTREAM, "no worker is live")))
        if now >= self._send_until:
            return self._end(
                Error(Failure(ErrorKind.DEADLINE_BEFORE_SEND, "too late to send"))
            )
        worker = self._workers[self._attempt % len(self._workers)]
        self._attempt += 1
        self._sent = False
        self._attempt_ends = min(self._deadline, now + rule.timeout_s)
        return [
            SendCall(
                self._attempt,
                worker,
                self._attempt_id(),
                not (self._idempotent and rule.idempotent),
                min(self._send_until, self._attempt_ends),
            )
        ]

    def _attempt_id(self) -> str:
        # A late answer to an earlier attempt has another identifier.
        return f"{self._request_id}-{self._attempt}"

    def _end_open(self, failure: Failure) -> list[CallAction]:
        cancel: list[CallAction] = [CancelCall(self._attempt)] if self._attempt else []
        return cancel + self._end(Error(failure))

    def _end(self, result: Result[Outcome, Failure]) -> list[CallAction]:
        if result.is_ok():
            self._result = result
            return [AnswerCall(result.ok)]
        failure = result.error
        if failure.execution is Execution.NOT_RUN and self._may_have_run:
            kind = (
                ErrorKind.DEADLINE_AFTER_SEND
                if failure.kind is ErrorKind.DEADLINE_BEFORE_SEND
                else ErrorKind.UPSTREAM_FAILED
            )
            failure = Failure(kind, failure.message)
        self._result = Error(failure)
        return [FailCall(failure)]


def call_event_from_result(
    attempt: int, request_id: str, result: Result[Outcome, Failure]
) -> CallEvent:
    """Return the event for what `ServiceClient.call` returned for an attempt.

    The call itself knows from `may_send` whether a byte can have left.
    """
    if result.is_ok():
        return Answered(attempt, request_id, result.ok)
    match result.error.kind:
        case ErrorKind.UPSTREAM_UNREACHABLE | ErrorKind.DEADLINE_BEFORE_SEND:
            return ConnectFailed(attempt)
        case ErrorKind.UPSTREAM_REFUSED:
            return Answered(attempt, request_id, Outcome(503, b""), True)
        case ErrorKind.UPSTREAM_INVALID:
            return InvalidAnswer(attempt)
        case ErrorKind.ANSWER_TOO_LARGE:
            return AnswerTooLarge(attempt)
    return ConnectionReset(attempt)
