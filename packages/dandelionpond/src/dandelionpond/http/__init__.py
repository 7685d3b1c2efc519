"""HTTP APIs for callers and operators."""
