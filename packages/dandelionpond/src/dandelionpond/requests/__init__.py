"""Run attempts, retries, streams and at-most-once calls."""
