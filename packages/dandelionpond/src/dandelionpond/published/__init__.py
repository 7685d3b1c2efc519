"""The routing document and the list of upstreams that the platform publishes."""
