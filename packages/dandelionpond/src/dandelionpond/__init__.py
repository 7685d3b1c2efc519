"""Serve language-model prompts and at-most-once calls between callers and upstreams."""

__version__ = "0.1.0"
