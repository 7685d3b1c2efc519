"""The state of a prompt across its attempts, and its work on engines."""

from dandelionpond.entry.attempts import AttemptLog
from dandelionpond.entry.client_requests import IncomingRequest, Reply
from dandelionpond.entry.delivery import StreamDelivery
from dandelionpond.forwarding.events import EventSplitter
from dandelionpond.forwarding.policy import Progress
from dandelionpond.placement.jobs import Job, Phase
from dandelionpond.placement.placement import Prompt, PromptPlacement
from dandelionpond.published.messages import EngineCostModel
from dandelionpond.quarantine.messages import prompt_key


class PromptState:
    """The state of one prompt across its attempts.

    `model` is None if its service has no engines. `delivery` is None if nothing is
    buffered for slow clients. `why` is the reason of the end, for the log line.
    """

    __slots__ = (
        "attempt_log",
        "blocks",
        "delivery",
        "first_event_at",
        "first_event_s",
        "has_head",
        "key",
        "longest_pause_s",
        "model",
        "progress",
        "reply",
        "request",
        "sent_at",
        "splitter",
        "was_placed",
        "why",
    )

    def __init__(
        self,
        request: IncomingRequest,
        reply: Reply,
        model: EngineCostModel | None,
        event_fields: frozenset[bytes],
        delivery: StreamDelivery | None = None,
    ) -> None:
        self.request = request
        self.reply = reply
        self.model = model
        self.delivery = delivery
        self.why = "gone"
        # The blocks of the prompt if engines keep prompts, else empty.
        self.blocks: tuple[int, ...] = ()
        route = request.route
        self.progress = Progress(route.may_repeat, route.max_attempts)
        self.splitter = EventSplitter(
            request.head.last_event_id, more_fields=event_fields
        )
        self.attempt_log = AttemptLog()
        # Time from the last send to its first event, and longest time between events.
        self.first_event_s = 0.0
        self.longest_pause_s = 0.0
        # Whether the last attempt received a response head, and the times at which it
        # was sent and received its first event.
        self.has_head = False
        self.sent_at = 0.0
        # Whether the prompt has been placed on an engine before.
        self.was_placed = False
        self.first_event_at: float | None = None
        account = request.account.name if request.account else None
        self.key = prompt_key(account, request.head.part_ids)


def build_jobs(state: PromptState, placement: PromptPlacement) -> list[Job]:
    """Return the work of a placed prompt on each of its engines."""
    if state.model is None:
        return [Job(placement.main, Phase.CALL, 0.0)]
    head, gap_target_s = state.request.head, state.request.route.gap_target_s
    value = Prompt(head.prompt_tokens, 0, 0.0, gap_target_s).value
    prefill_s, age_s = placement.part_prefill_s, -placement.start_delay_s
    is_held = placement.start_delay_s > 0
    reserved = {part.engine: part.tokens for part in placement.reserved}
    memory_tokens = head.prompt_tokens + head.max_output_tokens
    context_tokens = head.prompt_tokens
    if reserved:
        context_tokens = context_tokens // len(reserved)
    jobs = [
        Job(
            placement.main,
            Phase.PREFILL,
            age_s,
            prefill_s,
            context_tokens,
            reserved.get(placement.main, memory_tokens),
            gap_target_s,
            value,
            is_held=is_held,
        )
    ]
    for name in placement.helpers:
        reserved_tokens = reserved.get(name, 0)
        jobs.append(
            Job(
                name,
                Phase.HELPER_PREFILL,
                age_s,
                prefill_s,
                context_tokens if reserved_tokens else 0,
                reserved_tokens,
                is_held=is_held,
            )
        )
    return jobs
