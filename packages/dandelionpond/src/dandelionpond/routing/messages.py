"""Define what the dispatcher takes and what it decides."""

import msgspec

from dandelionpond.errors import Failure
from dandelionpond.limits.admission import AdmissionInput, AdmissionOutcome
from dandelionpond.routing.choice import RouteChoice
from dandelionpond.routing.router import RouteInput


class Work(msgspec.Struct, frozen=True):
    """Describe one admitted prompt; `deadline` is in monotonic seconds."""

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
        """Return the engine memory taken at the end, in tokens."""
        return self.prompt_tokens + self.max_tokens


class Place(msgspec.Struct, frozen=True, tag=True):
    """Send a prompt to an engine; `others` are its replacements, best first.

    `made` and `choice` are the recorded input and outcome of the decision. All engines
    hold `version` of the model; empty means that they do not report it.
    """

    request_id: str
    engine: str
    others: tuple[str, ...]
    priority: int
    ttft_s: float
    made: RouteInput
    choice: RouteChoice
    version: str = ""


class PlaceGroup(msgspec.Struct, frozen=True, tag=True):
    """Reserve `part_tokens` of memory on each engine and send the prompt."""

    request_id: str
    engines: tuple[str, ...]
    part_tokens: int
    priority: int
    ttft_s: float
    version: str = ""


class Refuse(msgspec.Struct, frozen=True, tag=True):
    """Answer a failure; nothing was sent.

    `made` and `outcome` are recorded if the refusal was decided by the estimate.
    """

    request_id: str
    failure: Failure
    made: AdmissionInput | None = None
    outcome: AdmissionOutcome | None = None


DispatchAction = Place | PlaceGroup | Refuse
