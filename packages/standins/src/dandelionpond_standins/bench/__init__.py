"""Compare routing and queueing policies on modelled engines."""
