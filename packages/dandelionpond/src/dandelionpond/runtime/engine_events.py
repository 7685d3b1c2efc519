"""Translate the stream events of engines into events of a prompt's attempts."""

from dandelionpond.adapters.engine_api import (
    EngineRequest,
    Piece as EnginePiece,
    StreamEnd,
    StreamEvent as EngineEvent,
    StreamFailure,
)
from dandelionpond.errors import Execution
from dandelionpond.requests.messages import (
    ConnectFailed,
    ConnectionReset,
    ConnectionSilent,
    Finished,
    Piece,
    Refused,
    StreamEvent,
)
from dandelionpond.runtime.engines import Engines


class EngineEventTranslator:
    """A translator of one prompt's stream events, which also reports them to `Engines`.

    `is_model_refused` is set when an engine did not serve the version of the model, and
    `is_rejected` when an engine wanted no requests, for a time or because it leaves.
    """

    __slots__ = ("_engines", "is_model_refused", "is_rejected")

    def __init__(self, engines: Engines) -> None:
        self._engines = engines
        self.is_model_refused = False
        self.is_rejected = False

    def translate(
        self, attempt: int, engine: str, request: EngineRequest, event: EngineEvent
    ) -> StreamEvent:
        """Return the event for the attempts and record what it says of the engine."""
        match event:
            case EnginePiece(request_id, offset, tokens, text):
                return Piece(attempt, request_id, offset, tokens, text)
            case StreamEnd(request_id, tokens):
                if request_id == request.request_id:
                    self._engines.record_success(engine)
                    self._engines.on_freed(engine, request_id)
                return Finished(attempt, request_id, tokens)
            case StreamFailure():
                return self._translate_failure(attempt, engine, request, event)
        raise AssertionError(event)

    def _translate_failure(
        self, attempt: int, engine: str, request: EngineRequest, event: StreamFailure
    ) -> StreamEvent:
        match event.reason:
            case "leaving":
                self._engines.record_answer(engine, is_leaving=True)
                self.is_rejected = True
                return Refused(attempt)
            case "paused":
                # The engine is busy, which is no failure of it.
                self.is_rejected = True
                if event.failure.execution is Execution.NOT_RUN:
                    return Refused(attempt)
                return ConnectionReset(attempt)
            case "refused" if event.failure.execution is Execution.NOT_RUN:
                return Refused(attempt)
            case "not_sent":
                # The attempt was abandoned before it was sent; the engine did not fail.
                if not self._engines.wants_requests(engine):
                    self.is_rejected = True
                    return Refused(attempt)
                if self._engines.can_serve(engine, request.model, request.version):
                    return ConnectFailed(attempt)
                self.is_model_refused = True
                return Refused(attempt)
            case "unknown_model":
                self.is_model_refused = True
                self._engines.record_model_refusal(engine, request.model)
                return Refused(attempt)
            case "connect_failed":
                self._engines.record_failure(engine)
                return ConnectFailed(attempt)
            case "silent":
                self._engines.record_failure(engine)
                return ConnectionSilent(attempt)
        self._engines.record_failure(engine)
        return ConnectionReset(attempt)
