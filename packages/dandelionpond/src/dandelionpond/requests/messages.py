"""Events and actions of plain calls, streams and tickets."""

import msgspec

from dandelionpond.errors import Failure
from dandelionpond.requests.ticket import Ticket


class Message(msgspec.Struct, frozen=True, tag=True):
    """The base class of all messages; tagged with the class name."""


class Outcome(Message, frozen=True):
    """The answer of a plain service."""

    status: int
    body: bytes
    content_type: str = "application/octet-stream"


# Decisions about the key of a call.


class RunWithoutTicket(Message, frozen=True):
    """A decision to run without a ticket; services that deduplicate get `pass_key`."""

    pass_key: str | None


class RunWithTicket(Message, frozen=True):
    """A decision to run with a ticket of this incarnation after `TicketTable.begin`."""

    ticket: Ticket
    pass_key: str | None


class ForwardToIssuer(Message, frozen=True):
    """A decision to forward to the issuer; the fields are unverified ticket claims."""

    issuer: str
    incarnation: str
    peer_address: str


class RepeatOutcome(Message, frozen=True):
    """A decision to repeat the recorded outcome of an earlier use of the ticket."""

    outcome: Outcome


class Refuse(Message, frozen=True):
    """A decision to answer with a failure and not to run."""

    failure: Failure


Classification = (
    RunWithoutTicket | RunWithTicket | ForwardToIssuer | RepeatOutcome | Refuse
)


# Events of both plain calls and streams.


class Started(Message, frozen=True):
    """The request was admitted."""


class BytesSent(Message, frozen=True):
    """The first byte of an attempt is about to be written to the socket."""

    attempt: int


class ConnectFailed(Message, frozen=True):
    """An attempt could not connect."""

    attempt: int


class ConnectionReset(Message, frozen=True):
    """The connection of an attempt was lost."""

    attempt: int


class Tick(Message, frozen=True):
    """Time has passed; timeouts are due for a check."""


class CallerGone(Message, frozen=True):
    """The caller disconnected or cancelled the request."""


# Plain calls.


class Answered(Message, frozen=True):
    """A complete answer; `says_not_run` if `X-Execution` is `not_run`."""

    attempt: int
    request_id: str
    outcome: Outcome
    says_not_run: bool = False


class InvalidAnswer(Message, frozen=True):
    """The answer is truncated, malformed or belongs to another request."""

    attempt: int


class AnswerTooLarge(Message, frozen=True):
    """The answer exceeds the size limit."""

    attempt: int


class SendCall(Message, frozen=True):
    """A request to send an attempt, if `may_send` still allows it then."""

    attempt: int
    worker: str
    request_id: str
    new_connection: bool


class CancelCall(Message, frozen=True):
    """A request to close the connection of an attempt."""

    attempt: int


class AnswerCall(Message, frozen=True):
    """A request to return the answer to the caller; the call has ended."""

    outcome: Outcome


class FailCall(Message, frozen=True):
    """A request to return a failure to the caller; the call has ended."""

    failure: Failure


CallEvent = (
    Started
    | BytesSent
    | ConnectFailed
    | ConnectionReset
    | Answered
    | InvalidAnswer
    | AnswerTooLarge
    | CallerGone
    | Tick
)
CallAction = SendCall | CancelCall | AnswerCall | FailCall


# Streams.


class Piece(Message, frozen=True):
    """The text of `tokens` tokens, which starts at token `offset` of the answer."""

    attempt: int
    request_id: str
    offset: int
    tokens: int
    text: str


class Finished(Message, frozen=True):
    """The end marker arrived; `tokens` is the length of the whole answer."""

    attempt: int
    request_id: str
    tokens: int


class Refused(Message, frozen=True):
    """The engine refused the attempt and states that it did not run."""

    attempt: int


class Withdrawn(Message, frozen=True):
    """The attempt was not sent and no further one may be, for the reason `failure`."""

    attempt: int
    failure: Failure


class ConnectionSilent(Message, frozen=True):
    """The transport reported that the connection is silent."""

    attempt: int


class PiecesConsumed(Message, frozen=True):
    """The caller consumed `pieces` of the delivered pieces."""

    pieces: int


class Send(Message, frozen=True):
    """A request to send the prompt to an engine, starting at token 0."""

    attempt: int
    engine: str
    request_id: str
    new_connection: bool = False


class Resume(Message, frozen=True):
    """A request to send the prompt to an engine, starting at token `offset`.

    The attempt uses a new connection.
    """

    attempt: int
    engine: str
    request_id: str
    offset: int


class Cancel(Message, frozen=True):
    """A request to close an attempt.

    If it `may_hold_memory`, the cancel is repeated until it is confirmed.
    """

    attempt: int
    engine: str
    request_id: str
    may_hold_memory: bool


class Deliver(Message, frozen=True):
    """A request to send the caller text that starts at token `offset` of the answer."""

    offset: int
    text: str


class PauseReading(Message, frozen=True):
    """A request to stop reading all open attempts because the caller is slow."""


class ResumeReading(Message, frozen=True):
    """A request to resume reading all open attempts."""


class Complete(Message, frozen=True):
    """A request to end the answer; `tokens` is its length."""

    tokens: int


class Fail(Message, frozen=True):
    """A request to end the answer with a failure."""

    failure: Failure


StreamEvent = (
    Started
    | BytesSent
    | ConnectFailed
    | ConnectionReset
    | Piece
    | Finished
    | Refused
    | Withdrawn
    | ConnectionSilent
    | PiecesConsumed
    | CallerGone
    | Tick
)
StreamAction = (
    Send | Resume | Cancel | Deliver | PauseReading | ResumeReading | Complete | Fail
)
