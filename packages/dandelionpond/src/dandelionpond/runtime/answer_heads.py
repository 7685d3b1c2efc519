"""Record what the heads of upstreams' answers say of the upstreams."""

import logging
from typing import Protocol

from dandelionpond.adapters.answer_head import AnswerHead
from dandelionpond.runtime.core import Core

log = logging.getLogger("dandelionpond.marks")


class AnswerListener(Protocol):
    """A listener for the states that upstreams give in their answers."""

    def upstream_answered(self, upstream: str, is_leaving: bool) -> None:
        """Handle the state that an upstream gave."""
        ...


def record_head(
    core: Core, listener: AnswerListener, upstream: str, head: AnswerHead
) -> None:
    """Record the marks in the head of an answer; log each change."""
    now, marks = core.now(), core.marks
    extra: dict[str, object] = {
        "upstream": upstream,
        "answer": head.source,
        "status": head.status,
    }
    if head.is_leaving:
        if marks.record_leaving(upstream, now):
            log.info(
                "upstream says that it leaves", extra=extra | {"until": "it restarts"}
            )
        listener.upstream_answered(upstream, True)
    if head.has_invalid_time and marks.record_invalid_time(upstream, now):
        log.warning("Retry-After states no time", extra=extra)
    if head.pause_s is not None:
        end = marks.record_pause(upstream, head.pause_s, now)
        if end is not None:
            log.info(
                "upstream wants no requests for a time",
                extra=extra | {"pause_s": round(end - now, 3)},
            )


def record_replacement(core: Core, upstream: str, reason: str) -> None:
    """Record that another incarnation of an upstream runs, which has no marks."""
    if core.marks.begin_incarnation(upstream, core.now()):
        log.info(
            "upstream was replaced, marks dropped",
            extra={"upstream": upstream, "reason": reason},
        )
