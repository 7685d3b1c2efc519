"""Exchange heartbeats between nodes: liveness, known state and outstanding work."""
