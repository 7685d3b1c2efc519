"""Compute prefill and decode times from an engine's published cost model."""

from dandelionpond.published.messages import EngineCostModel


def prefill_s(model: EngineCostModel, tokens: int) -> float:
    """Return the seconds that an idle engine needs to prefill a prompt on its own."""
    pairs = tokens * tokens / 2
    return tokens / model.read_tokens_per_s + pairs * model.per_pair_s


def decode_pass_s(model: EngineCostModel, sequences: int, context_tokens: int) -> float:
    """Return the seconds of one pass's decode steps; 0 if no request is decoding.

    `sequences` is the number of requests that are decoding and `context_tokens` the sum
    of their contexts.
    """
    if sequences == 0:
        return 0.0
    step = (
        model.step_s
        + sequences * model.per_sequence_s
        + context_tokens * model.per_context_token_s
    )
    return model.stride * step
