"""Manage leases on engine memory until the engine confirms their release."""
