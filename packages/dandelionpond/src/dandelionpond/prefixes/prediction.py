"""The predicted time to first token at one engine, and what it costs others."""

import msgspec


class FirstTokenPrediction(msgspec.Struct, frozen=True):
    """The terms of a prediction, in seconds.

    `wait_s` is the time in the engine's queue, `prefill_s` the prefill of the part of
    the prompt that the engine does not hold, and `step_delay_s` the extra time of a
    step that is shared with other prefill. `others_s` is the weighted delay that the
    choice causes to requests behind it. `saved_s` is the prefill that the engine does
    not need; it is part of no sum.
    """

    wait_s: float
    prefill_s: float
    step_delay_s: float
    others_s: float
    saved_s: float

    @property
    def ttft_s(self) -> float:
        """Return the time to first token."""
        return self.wait_s + self.prefill_s + self.step_delay_s

    @property
    def cost_s(self) -> float:
        """Return the figure by which engines are compared; the lowest wins."""
        return self.ttft_s + self.others_s


def predict_first_token(
    prompt_tokens: float,
    cached_tokens: float,
    queue_tokens: float,
    later_tokens: float,
    tokens_per_s: float,
    correction: float,
    step_delay_s: float,
    impact_weight: float,
) -> FirstTokenPrediction:
    """Return the prediction for a prompt at an engine with a constant prefill rate.

    `queue_tokens` is prefill that the engine serves before the prompt, `later_tokens`
    prefill that it serves after it. The prompt delays the latter by its own prefill,
    but by no more than the time that this work still needs.
    """
    uncached = max(1.0, prompt_tokens - cached_tokens)
    return FirstTokenPrediction(
        queue_tokens / tokens_per_s * correction,
        uncached / tokens_per_s * correction,
        step_delay_s,
        impact_weight * min(uncached, later_tokens) / tokens_per_s,
        (prompt_tokens - uncached) / tokens_per_s * correction,
    )
