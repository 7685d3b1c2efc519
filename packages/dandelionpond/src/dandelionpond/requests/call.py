"""State machine for the attempts of one call to a plain service."""

from collections.abc import Callable

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
    """State machine that runs one plain call to exactly one answer or failure.

    `workers` are the upstreams in order of preference. `deadline` and `send_until`
    (the expiry of the ticket, if there is one) are in seconds of CLOCK_BOOTTIME.
    `may_use` returns whether a worker may get an attempt now.
    The settings of the service are passed with each event, because they can change
    while the call runs. None means that the service no longer exists.
    """

    __slots__ = (
        "_admitted_as_idempotent",
        "_attempt_deadline",
        "_attempt_number",
        "_budget",
        "_deadline",
        "_may_have_run",
        "_may_use",
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
        service: Service,
        settings: RequestsSettings,
        budget: RetryBudget,
        deadline: float,
        send_until: float | None = None,
        may_use: Callable[[str], bool] = lambda worker: True,
    ) -> None:
        self._may_use = may_use
        self._request_id = request_id
        self._workers = workers
        self._admitted_as_idempotent = service.idempotent
        self._settings = settings
        self._budget = budget
        self._deadline = deadline
        self._send_until = min(deadline, deadline if send_until is None else send_until)
        self._attempt_number = 0
        self._attempt_deadline = deadline
        self._sent = False
        # An earlier attempt may have run, so the call must not end as `not_run`.
        self._may_have_run = False
        self._result: Result[Outcome, Failure] | None = None
        self.late_events = 0

    @property
    def result(self) -> Result[Outcome, Failure] | None:
        """Return the end of the call, or None while it is running."""
        return self._result

    @property
    def attempt_count(self) -> int:
        """Return the number of started attempts."""
        return self._attempt_number

    def next_tick(self) -> float:
        """Return the time in seconds at which the next `Tick` is due."""
        return min(self._deadline, self._attempt_deadline)

    def may_send(self, attempt: int, now: float) -> bool:
        """Return whether an attempt may send its first byte now and record the send.

        The adapter calls this in the same event loop step that passes the byte to the
        socket. Therefore an attempt that was abandoned during a pause or that connects
        too late never sends, and an attempt that sent is always known to have sent.
        """
        if (
            self._result is not None
            or attempt != self._attempt_number
            or now >= min(self._send_until, self._attempt_deadline)
        ):
            return False
        self._sent = True
        return True

    def handle(
        self, event: CallEvent, service: Service | None, now: float
    ) -> list[CallAction]:
        """Return the actions for an event; late events are counted and ignored."""
        if self._result is not None:
            self.late_events += 1
            return []
        match event:
            case Started():
                if self._attempt_number:
                    self.late_events += 1
                    return []
                self._budget.add_request()
                return self._send_attempt(service, now)
            case CallerGone():
                # `caller_gone` always states `may_have_run`; nobody reads the answer.
                return self._cancel_and_end(
                    Failure(ErrorKind.CALLER_GONE, "the caller disconnected")
                )
            case Tick():
                return self._handle_tick(service, now)
        if event.attempt != self._attempt_number:
            self.late_events += 1
            return []
        match event:
            case BytesSent():
                self._sent = True
                return []
            case ConnectFailed() if not self._sent:
                return self._retry_or_end(
                    ErrorKind.UPSTREAM_UNREACHABLE,
                    "could not connect to the service",
                    service,
                    now,
                )
            case ConnectFailed() | ConnectionReset():
                # A reset before the first byte is as safe to retry as a failed connect.
                kind = (
                    ErrorKind.UPSTREAM_FAILED
                    if self._sent
                    else ErrorKind.UPSTREAM_UNREACHABLE
                )
                return self._retry_or_end(
                    kind, "the connection to the service was lost", service, now
                )
            case InvalidAnswer():
                return self._handle_invalid_answer(service, now)
            case AnswerTooLarge():
                return self._end(
                    Error(
                        Failure(
                            ErrorKind.ANSWER_TOO_LARGE,
                            "the answer exceeds the size limit",
                        )
                    )
                )
            case Answered():
                return self._handle_answer(event, service, now)

    def _handle_answer(
        self, event: Answered, service: Service | None, now: float
    ) -> list[CallAction]:
        if event.request_id != self._attempt_request_id():
            return self._handle_invalid_answer(service, now)
        if not event.says_not_run:
            return self._end(Ok(event.outcome))
        if service is not None and service.states_not_run:
            self._sent = False
            return self._retry_or_end(
                ErrorKind.UPSTREAM_REFUSED,
                "the service did not run the call",
                service,
                now,
            )
        self._sent = True
        return self._retry_or_end(
            ErrorKind.UPSTREAM_FAILED,
            "the service refused the call; it may have run",
            service,
            now,
        )

    def _handle_invalid_answer(
        self, service: Service | None, now: float
    ) -> list[CallAction]:
        self._sent = True
        return self._retry_or_end(
            ErrorKind.UPSTREAM_INVALID,
            "the service sent an invalid answer",
            service,
            now,
        )

    def _handle_tick(self, service: Service | None, now: float) -> list[CallAction]:
        if now >= self._deadline:
            kind = (
                ErrorKind.DEADLINE_AFTER_SEND
                if self._sent
                else ErrorKind.DEADLINE_BEFORE_SEND
            )
            return self._cancel_and_end(Failure(kind, "the deadline passed"))
        if not self._attempt_number or now < self._attempt_deadline:
            return []
        if self._sent:
            kind = ErrorKind.UPSTREAM_FAILED
        else:
            kind = ErrorKind.UPSTREAM_UNREACHABLE
        # The connection is closed before the next attempt is sent. An attempt that has
        # not sent cannot send after its `CancelCall`, because `may_send` and the cancel
        # run on the same event loop.
        cancel: list[CallAction] = [CancelCall(self._attempt_number)]
        return cancel + self._retry_or_end(
            kind, "the service did not answer in time", service, now
        )

    def _retry_or_end(
        self, kind: ErrorKind, message: str, service: Service | None, now: float
    ) -> list[CallAction]:
        """Start another attempt if that is safe and permitted, else end the call."""
        failure = Failure(kind, message)
        self._may_have_run |= self._sent
        is_repeatable = (
            self._admitted_as_idempotent and service is not None and service.idempotent
        )
        if self._sent and not is_repeatable:
            return self._end(Error(failure))
        if (
            self._attempt_number >= self._settings.max_attempts
            or now >= self._send_until
            or (self._workers and self._next_worker() is None)
            or not self._budget.take()
        ):
            return self._end(Error(failure))
        return self._send_attempt(service, now)

    def _send_attempt(self, service: Service | None, now: float) -> list[CallAction]:
        if service is None:
            return self._end(
                Error(
                    Failure(
                        ErrorKind.UNKNOWN_SERVICE,
                        "the service was removed from the settings",
                    )
                )
            )
        worker = self._next_worker()
        if worker is None:
            return self._end(
                Error(Failure(ErrorKind.NO_UPSTREAM, "no live worker runs the service"))
            )
        if now >= self._send_until:
            return self._end(
                Error(Failure(ErrorKind.DEADLINE_BEFORE_SEND, "too late to send"))
            )
        self._attempt_number += 1
        self._sent = False
        self._attempt_deadline = min(self._deadline, now + service.timeout_s)
        return [
            SendCall(
                self._attempt_number,
                worker,
                self._attempt_request_id(),
                not (self._admitted_as_idempotent and service.idempotent),
            )
        ]

    def _next_worker(self) -> str | None:
        """Return the next worker in turn that may be used, or None."""
        start = self._attempt_number % max(1, len(self._workers))
        in_turn = self._workers[start:] + self._workers[:start]
        return next((worker for worker in in_turn if self._may_use(worker)), None)

    def _attempt_request_id(self) -> str:
        # Each attempt has its own ID, so a late answer to an earlier one is recognized.
        return f"{self._request_id}-{self._attempt_number}"

    def _cancel_and_end(self, failure: Failure) -> list[CallAction]:
        cancel: list[CallAction] = (
            [CancelCall(self._attempt_number)] if self._attempt_number else []
        )
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
    """Translate the result of `ServiceClient.call` for an attempt into an event.

    Whether a byte may have been sent is not part of the event: `Call` knows it from
    `may_send`.
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
