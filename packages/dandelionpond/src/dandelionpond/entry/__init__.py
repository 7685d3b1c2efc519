"""Serve the published routes: listener, attempts, platform reads and peers."""
