"""State machine for the graceful shutdown of a node."""
