"""Enforce the limits of client accounts across all nodes, and queue requests."""
