"""Compute reading and writing times from an engine's published cost model."""

from dandelionpond.published.messages import EngineCostModel


def prefill_s(model: EngineCostModel, tokens: int) -> float:
    """Return the seconds that an idle engine needs to read a prompt alone."""
    pairs = tokens * tokens / 2
    return tokens / model.read_tokens_per_s + pairs * model.per_pair_s


def decode_pass_s(model: EngineCostModel, writers: int, context_tokens: int) -> float:
    """Return the seconds of the token steps of one pass; 0 without a writer.

    `context_tokens` is the sum over the writing requests.
    """
    if writers == 0:
        return 0.0
    step = (
        model.step_s
        + writers * model.per_sequence_s
        + context_tokens * model.per_context_token_s
    )
    return model.stride * step
