"""Define the events and actions of plain calls, streams and tickets."""

import msgspec

from dandelionpond.errors import Failure
from dandelionpond.requests.ticket import Ticket


class Message(msgspec.Struct, frozen=True, tag=True):
    """Tag every message with the name of its class."""


class Outcome(Message, frozen=True):
    """Carry the answer of a plain service; `body` is in bytes."""

    status: int
    body: bytes
    content_type: str = "application/octet-stream"


# What a node does with a key.


class RunWithoutTicket(Message, frozen=True):
    """Run without a ticket; `pass_key` goes to a service that de-duplicates."""

    pass_key: str | None


class RunWithTicket(Message, frozen=True):
    """Run under a ticket of this incarnation, after `TicketTable.begin`."""

    ticket: Ticket
    pass_key: str | None


class ForwardToIssuer(Message, frozen=True):
    """Forward to the issuer; the fields are the ticket's unverified claims."""

    issuer: str
    incarnation: str
    peer_address: str


class RepeatOutcome(Message, frozen=True):
    """Answer the outcome that an earlier use of the ticket recorded."""

    outcome: Outcome


class Refuse(Message, frozen=True):
    """Answer a failure without running."""

    failure: Failure


Classification = (
    RunWithoutTicket | RunWithTicket | ForwardToIssuer | RepeatOutcome | Refuse
)


# Events common to plain calls and streams.


class Started(Message, frozen=True):
    """Report that the request was admitted."""


class BytesSent(Message, frozen=True):
    """Report that the first byte of an attempt is about to reach the socket."""

    attempt: int


class ConnectFailed(Message, frozen=True):
    """Report that an attempt got no connection."""

    attempt: int


class ConnectionReset(Message, frozen=True):
    """Report that the connection of an attempt broke."""

    attempt: int


class Tick(Message, frozen=True):
    """Report that time has passed."""


class CallerGone(Message, frozen=True):
    """Report that the caller disconnected or cancelled."""


# Plain calls.


class Answered(Message, frozen=True):
    """Report a complete answer; `says_not_run` is the header `X-Execution`."""

    attempt: int
    request_id: str
    outcome: Outcome
    says_not_run: bool = False


class InvalidAnswer(Message, frozen=True):
    """Report an answer that is truncated, garbled or not for this request."""

    attempt: int


class AnswerTooLarge(Message, frozen=True):
    """Report an answer over the size bound."""

    attempt: int


class SendCall(Message, frozen=True):
    """Send an attempt; its first byte must leave before `send_before` (seconds)."""

    attempt: int
    worker: str
    request_id: str
    new_connection: bool
    send_before: float


class CancelCall(Message, frozen=True):
    """Close the connection of an attempt."""

    attempt: int


class AnswerCall(Message, frozen=True):
    """Give the caller the answer; the call has ended."""

    outcome: Outcome


class FailCall(Message, frozen=True):
    """Give the caller a failure; the call has ended."""

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
    """Carry `tokens` tokens of text that start at `offset` tokens."""

    attempt: int
    request_id: str
    offset: int
    tokens: int
    text: str


class Finished(Message, frozen=True):
    """Report the end marker; `tokens` is the total from offset 0."""

    attempt: int
    request_id: str
    tokens: int


class Refused(Message, frozen=True):
    """Report that the engine refused the attempt and states that it did not run."""

    attempt: int


class ConnectionSilent(Message, frozen=True):
    """Report that the transport itself found the connection silent."""

    attempt: int


class PiecesConsumed(Message, frozen=True):
    """Report that the caller took `pieces` delivered pieces."""

    pieces: int


class Send(Message, frozen=True):
    """Start the prompt on an engine from offset 0."""

    attempt: int
    engine: str
    request_id: str
    new_connection: bool = False


class Resume(Message, frozen=True):
    """Continue on an engine from `offset` tokens, over a new connection."""

    attempt: int
    engine: str
    request_id: str
    offset: int


class Cancel(Message, frozen=True):
    """Close an attempt; if it `may_hold` engine memory, cancel until confirmed."""

    attempt: int
    engine: str
    request_id: str
    may_hold_memory: bool


class Deliver(Message, frozen=True):
    """Give text that starts at `offset` tokens to the caller."""

    offset: int
    text: str


class PauseReading(Message, frozen=True):
    """Stop reading every open attempt; the caller is slow."""


class ResumeReading(Message, frozen=True):
    """Read every open attempt again."""


class Complete(Message, frozen=True):
    """End the answer; `tokens` is the total."""

    tokens: int


class Fail(Message, frozen=True):
    """End the answer with a failure."""

    failure: Failure


StreamEvent = (
    Started
    | BytesSent
    | ConnectFailed
    | ConnectionReset
    | Piece
    | Finished
    | Refused
    | ConnectionSilent
    | PiecesConsumed
    | CallerGone
    | Tick
)
StreamAction = (
    Send | Resume | Cancel | Deliver | PauseReading | ResumeReading | Complete | Fail
)
