"""Gossip-based membership: the states of peers and of upstreams."""
