"""Clients of external systems: engines, services and the platform service."""
