"""Request handling: attempts, retries, token streams and at-most-once calls."""
