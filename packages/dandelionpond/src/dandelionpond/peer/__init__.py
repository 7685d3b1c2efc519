"""Exchange messages between nodes over gRPC."""
