"""The HTTP entry for published routes: listener, forwarding, store reads and peers."""
