"""Define all error kinds and the HTTP response that each one maps to."""

from enum import StrEnum

import msgspec


class Execution(StrEnum):
    """Whether a request that ended in an error was executed."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class ErrorKind(StrEnum):
    """Kinds of expected errors; `ERROR_RESPONSES` has one entry for each."""

    INVALID_JSON = "invalid_json"
    INVALID_REQUEST = "invalid_request"
    INVALID_HEADER = "invalid_header"
    INVALID_TIMEOUT = "invalid_timeout"
    HEAD_TOO_LARGE = "head_too_large"
    TARGET_TOO_LONG = "target_too_long"
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
    PROMPT_QUARANTINED = "prompt_quarantined"
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
    """HTTP response for one error kind.

    `type` and `execution` are fields of the error object in the body. `is_retryable`
    is true if the request did not run and the same request may succeed later.
    """

    status: int
    type: str
    execution: Execution
    is_retryable: bool


_INVALID_REQUEST = "invalid_request_error"
_AUTHENTICATION = "authentication_error"
_RATE_LIMIT = "rate_limit_error"
_SERVER_ERROR = "server_error"


def _not_run(status: int, type: str, is_retryable: bool = False) -> ErrorResponse:
    return ErrorResponse(status, type, Execution.NOT_RUN, is_retryable)


def _may_have_run(status: int, type: str) -> ErrorResponse:
    return ErrorResponse(status, type, Execution.MAY_HAVE_RUN, False)


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.INVALID_JSON: _not_run(400, _INVALID_REQUEST),
    ErrorKind.INVALID_REQUEST: _not_run(400, _INVALID_REQUEST),
    ErrorKind.INVALID_HEADER: _not_run(400, _INVALID_REQUEST),
    ErrorKind.INVALID_TIMEOUT: _not_run(400, _INVALID_REQUEST),
    ErrorKind.HEAD_TOO_LARGE: _not_run(431, _INVALID_REQUEST),
    ErrorKind.TARGET_TOO_LONG: _not_run(414, _INVALID_REQUEST),
    ErrorKind.BODY_TOO_LARGE: _not_run(413, _INVALID_REQUEST),
    ErrorKind.BODY_TIMEOUT: _not_run(408, _INVALID_REQUEST),
    ErrorKind.PROMPT_TOO_LONG: _not_run(400, _INVALID_REQUEST),
    ErrorKind.UNKNOWN_MODEL: _not_run(404, _INVALID_REQUEST),
    ErrorKind.UNKNOWN_SERVICE: _not_run(404, _INVALID_REQUEST),
    ErrorKind.UNKNOWN_PATH: _not_run(404, _INVALID_REQUEST),
    ErrorKind.MISSING_KEY: _not_run(401, _AUTHENTICATION),
    ErrorKind.INVALID_KEY: _not_run(401, _AUTHENTICATION),
    ErrorKind.NOT_PERMITTED: _not_run(403, _AUTHENTICATION),
    ErrorKind.TICKET_REQUIRED: _not_run(428, _INVALID_REQUEST),
    # The key may first have been used while the service was configured as idempotent,
    # and before this node was started, so an earlier execution cannot be ruled out.
    ErrorKind.KEY_NOT_TICKET: _may_have_run(409, _INVALID_REQUEST),
    ErrorKind.TICKET_EXPIRED: _may_have_run(409, _INVALID_REQUEST),
    ErrorKind.TICKET_MISMATCH: _may_have_run(409, _INVALID_REQUEST),
    ErrorKind.ISSUER_UNREACHABLE: _may_have_run(503, _SERVER_ERROR),
    # The call was refused before its key was looked up, so an earlier attempt with the
    # same key may have run.
    ErrorKind.KEY_UNRESOLVED: _may_have_run(503, _SERVER_ERROR),
    ErrorKind.CALL_IN_PROGRESS: _may_have_run(409, _INVALID_REQUEST),
    ErrorKind.RATE_LIMITED: _not_run(429, _RATE_LIMIT, True),
    ErrorKind.CONCURRENCY_LIMITED: _not_run(429, _RATE_LIMIT, True),
    ErrorKind.OVERLOADED: _not_run(503, _SERVER_ERROR, True),
    ErrorKind.DEADLINE_UNREACHABLE: _not_run(503, _SERVER_ERROR, True),
    ErrorKind.DEADLINE_BEFORE_SEND: _not_run(504, _SERVER_ERROR, True),
    ErrorKind.DEADLINE_AFTER_SEND: _may_have_run(504, _SERVER_ERROR),
    ErrorKind.NO_UPSTREAM: _not_run(503, _SERVER_ERROR, True),
    ErrorKind.INSUFFICIENT_MEMORY: _not_run(503, _SERVER_ERROR, True),
    ErrorKind.PROMPT_QUARANTINED: _not_run(503, _SERVER_ERROR, True),
    ErrorKind.UPSTREAM_REFUSED: _not_run(503, _SERVER_ERROR, True),
    ErrorKind.UPSTREAM_UNREACHABLE: _not_run(502, _SERVER_ERROR, True),
    ErrorKind.UPSTREAM_FAILED: _may_have_run(502, _SERVER_ERROR),
    ErrorKind.UPSTREAM_INVALID: _may_have_run(502, _SERVER_ERROR),
    ErrorKind.ANSWER_INCOMPLETE: _may_have_run(502, _SERVER_ERROR),
    ErrorKind.ANSWER_TOO_LARGE: ErrorResponse(502, _SERVER_ERROR, Execution.RAN, False),
    ErrorKind.CALLER_GONE: _may_have_run(499, _INVALID_REQUEST),
    ErrorKind.DRAINING: _not_run(503, _SERVER_ERROR, True),
    ErrorKind.SETTINGS_UNAVAILABLE: _not_run(503, _SERVER_ERROR, True),
    ErrorKind.INTERNAL: _may_have_run(500, _SERVER_ERROR),
}


class Failure(msgspec.Struct, frozen=True):
    """Expected error, returned as a value instead of raised.

    `retry_after_s` is only set if `response.is_retryable`. `param` is the name of the
    invalid request field, if there is one.
    """

    kind: ErrorKind
    message: str
    retry_after_s: float | None = None
    param: str | None = None

    @property
    def response(self) -> ErrorResponse:
        """Return the HTTP response for this kind."""
        return ERROR_RESPONSES[self.kind]

    @property
    def execution(self) -> Execution:
        """Return whether the request was executed, as far as is known."""
        return self.response.execution
