"""Track peers and the states of upstreams."""
