"""Benchmark of routing and queueing policies on simulated engines."""
