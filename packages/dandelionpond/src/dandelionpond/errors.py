"""Define the closed list of error kinds and the answer that each one gets."""

from enum import StrEnum

import msgspec


class Execution(StrEnum):
    """Say what is known about the execution of a request that got an error."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class ErrorKind(StrEnum):
    """List every kind of expected error; each has one row in `ERROR_RESPONSES`."""

    INVALID_JSON = "invalid_json"
    INVALID_REQUEST = "invalid_request"
    INVALID_HEADER = "invalid_header"
    INVALID_TIMEOUT = "invalid_timeout"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TIMEOUT = "body_timeout"
    PROMPT_TOO_LONG = "prompt_too_long"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_PATH = "unknown_path"
    MISSING_KEY = "missing_key"
    INVALID_KEY = "invalid_key"
    NOT_PERMITTED = "not_permitted"
    TICKET_REQUIRED = "ticket_required"
    KEY_NOT_TICKET = "key_not_ticket"
    TICKET_EXPIRED = "ticket_expired"
    TICKET_MISMATCH = "ticket_mismatch"
    ISSUER_UNREACHABLE = "issuer_unreachable"
    CALL_IN_PROGRESS = "call_in_progress"
    KEY_UNRESOLVED = "key_unresolved"
    RATE_LIMITED = "rate_limited"
    CONCURRENCY_LIMITED = "concurrency_limited"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_BEFORE_SEND = "deadline_before_send"
    DEADLINE_AFTER_SEND = "deadline_after_send"
    NO_UPSTREAM = "no_upstream"
    INSUFFICIENT_MEMORY = "insufficient_memory"
    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_INVALID = "upstream_invalid"
    ANSWER_INCOMPLETE = "answer_incomplete"
    ANSWER_TOO_LARGE = "answer_too_large"
    CALLER_GONE = "caller_gone"
    DRAINING = "draining"
    SETTINGS_UNAVAILABLE = "settings_unavailable"
    INTERNAL = "internal"


class ErrorResponse(msgspec.Struct, frozen=True):
    """Describe the HTTP answer for one error kind.

    `is_retryable` says whether the caller may send the same request again without the
    risk that it runs twice.
    """

    status: int
    type: str
    execution: Execution
    is_retryable: bool


_CALLER = "invalid_request_error"
_KEY = "authentication_error"
_LIMIT = "rate_limit_error"
_SERVER = "server_error"


def _not_run(status: int, type: str, may_repeat: bool = False) -> ErrorResponse:
    return ErrorResponse(status, type, Execution.NOT_RUN, may_repeat)


def _may_have_run(status: int, type: str) -> ErrorResponse:
    return ErrorResponse(status, type, Execution.MAY_HAVE_RUN, False)


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.INVALID_JSON: _not_run(400, _CALLER),
    ErrorKind.INVALID_REQUEST: _not_run(400, _CALLER),
    ErrorKind.INVALID_HEADER: _not_run(400, _CALLER),
    ErrorKind.INVALID_TIMEOUT: _not_run(400, _CALLER),
    ErrorKind.BODY_TOO_LARGE: _not_run(413, _CALLER),
    ErrorKind.BODY_TIMEOUT: _not_run(408, _CALLER),
    ErrorKind.PROMPT_TOO_LONG: _not_run(400, _CALLER),
    ErrorKind.UNKNOWN_MODEL: _not_run(404, _CALLER),
    ErrorKind.UNKNOWN_SERVICE: _not_run(404, _CALLER),
    ErrorKind.UNKNOWN_PATH: _not_run(404, _CALLER),
    ErrorKind.MISSING_KEY: _not_run(401, _KEY),
    ErrorKind.INVALID_KEY: _not_run(401, _KEY),
    ErrorKind.NOT_PERMITTED: _not_run(403, _KEY),
    ErrorKind.TICKET_REQUIRED: _not_run(428, _CALLER),
    # The service may have been idempotent when this key was first used, and this node
    # may not have been running then.
    ErrorKind.KEY_NOT_TICKET: _may_have_run(409, _CALLER),
    ErrorKind.TICKET_EXPIRED: _may_have_run(409, _CALLER),
    ErrorKind.TICKET_MISMATCH: _may_have_run(409, _CALLER),
    ErrorKind.ISSUER_UNREACHABLE: _may_have_run(503, _SERVER),
    # The call was refused before its key was looked up, and an earlier try with the
    # same key may have run.
    ErrorKind.KEY_UNRESOLVED: _may_have_run(503, _SERVER),
    ErrorKind.CALL_IN_PROGRESS: _may_have_run(409, _CALLER),
    ErrorKind.RATE_LIMITED: _not_run(429, _LIMIT, True),
    ErrorKind.CONCURRENCY_LIMITED: _not_run(429, _LIMIT, True),
    ErrorKind.OVERLOADED: _not_run(503, _SERVER, True),
    ErrorKind.DEADLINE_UNREACHABLE: _not_run(503, _SERVER, True),
    ErrorKind.DEADLINE_BEFORE_SEND: _not_run(504, _SERVER, True),
    ErrorKind.DEADLINE_AFTER_SEND: _may_have_run(504, _SERVER),
    ErrorKind.NO_UPSTREAM: _not_run(503, _SERVER, True),
    ErrorKind.INSUFFICIENT_MEMORY: _not_run(503, _SERVER, True),
    ErrorKind.UPSTREAM_REFUSED: _not_run(503, _SERVER, True),
    ErrorKind.UPSTREAM_UNREACHABLE: _not_run(502, _SERVER, True),
    ErrorKind.UPSTREAM_FAILED: _may_have_run(502, _SERVER),
    ErrorKind.UPSTREAM_INVALID: _may_have_run(502, _SERVER),
    ErrorKind.ANSWER_INCOMPLETE: _may_have_run(502, _SERVER),
    ErrorKind.ANSWER_TOO_LARGE: ErrorResponse(502, _SERVER, Execution.RAN, False),
    ErrorKind.CALLER_GONE: _may_have_run(499, _CALLER),
    ErrorKind.DRAINING: _not_run(503, _SERVER, True),
    ErrorKind.SETTINGS_UNAVAILABLE: _not_run(503, _SERVER, True),
    ErrorKind.INTERNAL: _may_have_run(500, _SERVER),
}


class Failure(msgspec.Struct, frozen=True):
    """Carry an expected error as a value.

    `retry_after_s` is in seconds and only set where `is_retryable` of the kind is true.
    `param` names the request field at fault, if there is one.
    """

    kind: ErrorKind
    message: str
    retry_after_s: float | None = None
    param: str | None = None

    @property
    def response(self) -> ErrorResponse:
        """Return the row of `ERROR_RESPONSES` for this kind."""
        return ERROR_RESPONSES[self.kind]

    @property
    def execution(self) -> Execution:
        """Return what is known about the execution of the request."""
        return self.response.execution
