"""gRPC client, server and messages for calls between nodes."""
