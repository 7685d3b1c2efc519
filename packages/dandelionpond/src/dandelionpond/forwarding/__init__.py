"""Retry policy, retry budget and messages for forwarding requests to upstreams."""
