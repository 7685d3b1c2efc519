"""Track leases on engine memory until their release is confirmed."""
