"""Input and actions of the dispatcher."""

import msgspec

from dandelionpond.errors import Failure
from dandelionpond.limits.admission import AdmissionInput, AdmissionOutcome
from dandelionpond.routing.choice import RouteChoice
from dandelionpond.routing.router import RouteInput


class DispatchRequest(msgspec.Struct, frozen=True):
    """A prompt to place on engines; `deadline` is in monotonic seconds."""

    request_id: str
    account: str
    weight: float
    model: str
    prompt_tokens: int
    max_tokens: int
    deadline: float
    prefix_hashes: tuple[int, ...] = ()

    @property
    def kv_tokens(self) -> int:
        """Return the engine memory of the finished prompt, in tokens."""
        return self.prompt_tokens + self.max_tokens


class PlaceOnEngine(msgspec.Struct, frozen=True, tag=True):
    """A request to send a prompt to an engine.

    `fallback_engines` are the replacements for later attempts, best first. All engines
    serve the same `version` of the model, which is empty if they do not report one.
    `route_input` and `choice` are the recorded input and outcome of the decision.
    """

    request_id: str
    engine: str
    fallback_engines: tuple[str, ...]
    priority: int
    ttft_s: float
    route_input: RouteInput
    choice: RouteChoice
    version: str = ""


class PlaceOnGroup(msgspec.Struct, frozen=True, tag=True):
    """A request to reserve memory on several engines, then to send the prompt.

    Each engine reserves `part_tokens`.
    """

    request_id: str
    engines: tuple[str, ...]
    part_tokens: int
    priority: int
    ttft_s: float
    version: str = ""


class RefusePrompt(msgspec.Struct, frozen=True, tag=True):
    """A request to answer a prompt with a failure; nothing was sent to an engine.

    `admission_input` and `outcome` are set if the admission decision caused the
    refusal, and are then recorded.
    """

    request_id: str
    failure: Failure
    admission_input: AdmissionInput | None = None
    outcome: AdmissionOutcome | None = None


DispatchAction = PlaceOnEngine | PlaceOnGroup | RefusePrompt
